//! Events of a simulation in order of time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

#[derive(Debug)]
struct TimedEvent<E> {
    at: Duration,
    /// Order of insertion, by which events of the same time are handled.
    sequence: u64,
    event: E,
}

impl<E> PartialEq for TimedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for TimedEvent<E> {}

impl<E> PartialOrd for TimedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for TimedEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Queue of events, each with the simulated time at which it happens.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<TimedEvent<E>>>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { events: BinaryHeap::new(), sequence: 0 }
    }

    /// Adds an event.
    pub fn add(&mut self, at: Duration, event: E) {
        self.sequence += 1;
        self.events.push(Reverse(TimedEvent { at, sequence: self.sequence, event }));
    }

    /// Removes and returns the next event with its time, unless it is later than `end`.
    pub fn pop_until(&mut self, end: Duration) -> Option<(Duration, E)> {
        let is_due = self.events.peek().is_some_and(|Reverse(next)| next.at <= end);

        is_due.then(|| self.events.pop()).flatten().map(|Reverse(next)| (next.at, next.event))
    }
}
