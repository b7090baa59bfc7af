//! Rate limit of log lines per event.
//!
//! Lines of ordinary events are written for every new flow, so their number grows with the load,
//! while a reader of the log looks for the exceptional events. Therefore each event has a limit of
//! its own, and its next written line contains the number of its omitted lines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Largest number of lines per second of an event that is logged for every new flow. 5 lines per
/// second take less than a twentieth of the process's CPU time under normal load (see
/// docs/OPERATIONS.md).
const ORDINARY_LINES: u32 = 20;

/// Largest number of lines per second of every other event.
const EXCEPTIONAL_LINES: u32 = 50;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Rate limiter for log lines, with a fixed window per event.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    counts: HashMap<&'static str, EventCount>,
}

/// Counts of one event in its current window.
#[derive(Debug)]
struct EventCount {
    window_ends: Instant,
    written: u32,
    omitted: u64,
}

impl LogRateLimiter {
    /// Reports whether a line of an event may be written. Returns the number of lines omitted since
    /// the last one that was written, or `None` if this line is to be omitted as well.
    pub fn admit(&mut self, event: &'static str, is_ordinary: bool, now: Instant) -> Option<u64> {
        let limit = if is_ordinary { ORDINARY_LINES } else { EXCEPTIONAL_LINES };
        let count = self.counts.entry(event).or_insert_with(|| EventCount {
            window_ends: now + WINDOW,
            written: 0,
            omitted: 0,
        });

        if count.window_ends <= now {
            count.window_ends = now + WINDOW;
            count.written = 0;
        }
        if count.written >= limit {
            count.omitted += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.omitted))
    }
}
