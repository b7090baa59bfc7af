//! How many lines of each event a second are written.
//!
//! Ordinary events come with every flow and would grow with the load; exceptions are what somebody
//! looks for. So each event has its own number of lines a second, and what is left out is counted in
//! the next line of the event.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Lines a second of an event that comes with every flow. 5 cost under a twentieth of the process's
/// time on a calm day (docs/OPERATIONS.md has the measurement).
const ORDINARY: u32 = 20;

/// Lines a second of every other event.
const EXCEPTIONAL: u32 = 50;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// `LogBudget` counts lines of each event.
#[derive(Debug, Default)]
pub struct LogBudget {
    counts: HashMap<&'static str, EventCount>,
}

/// Lines of one event in the present window.
#[derive(Debug)]
struct EventCount {
    window_ends: Instant,
    written: u32,
    left_out: u64,
}

impl LogBudget {
    /// `admit` tells whether a line may be written, and how many were left out since the last one.
    pub fn admit(&mut self, event: &'static str, is_ordinary: bool, now: Instant) -> Option<u64> {
        let limit = if is_ordinary { ORDINARY } else { EXCEPTIONAL };
        let count = self.counts.entry(event).or_insert_with(|| EventCount {
            window_ends: now + WINDOW,
            written: 0,
            left_out: 0,
        });

        if count.window_ends <= now {
            count.window_ends = now + WINDOW;
            count.written = 0;
        }
        if count.written >= limit {
            count.left_out += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.left_out))
    }
}
