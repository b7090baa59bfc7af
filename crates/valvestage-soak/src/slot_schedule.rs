//! Slots and queue of one simulated backend server.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Requests that a backend server processes concurrently, as its entry says.
pub const SLOTS: u32 = 3;

/// Requests that wait for a slot at most.
const QUEUE_LENGTH: usize = 8;

/// Times at which slots become free and waiting requests begin.
#[derive(Debug)]
pub struct SlotSchedule {
    /// When each slot becomes free.
    free_at: [Instant; SLOTS as usize],
    /// When each waiting request begins, in ascending order.
    begins: VecDeque<Instant>,
}

impl SlotSchedule {
    /// Creates a schedule in which all slots are free.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { free_at: [now; SLOTS as usize], begins: VecDeque::new() }
    }

    /// Adds a request that takes `work` in a slot, and returns when it ends. If the queue is full,
    /// returns the time of its rejection as an error: rejections come after the wait.
    pub fn add(&mut self, work: Duration, now: Instant) -> Result<Instant, Instant> {
        while self.begins.front().is_some_and(|begin| *begin <= now) {
            self.begins.pop_front();
        }
        let [first, others @ ..] = &mut self.free_at;
        let next =
            others.iter_mut().fold(first, |next, slot| if *slot < *next { slot } else { next });
        let begin = now.max(*next);
        if self.begins.len() >= QUEUE_LENGTH {
            return Err(begin);
        }

        if begin > now {
            self.begins.push_back(begin);
        }
        *next = begin + work;
        Ok(*next)
    }
}
