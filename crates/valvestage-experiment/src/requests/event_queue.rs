//! Events in the order of time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::SystemTime;

/// `EventQueue` gives events by time, and those of one time as they came.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Queued<E>>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// `new` starts empty.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }

    /// `push` adds an event.
    pub fn push(&mut self, at: SystemTime, event: E) {
        self.sequence += 1;

        self.heap.push(Queued { at, sequence: self.sequence, event });
    }

    /// `pop` takes the earliest event.
    pub fn pop(&mut self) -> Option<(SystemTime, E)> {
        self.heap.pop().map(|queued| (queued.at, queued.event))
    }
}

#[derive(Debug)]
struct Queued<E> {
    at: SystemTime,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Queued<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Queued<E> {}

impl<E> PartialOrd for Queued<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Queued<E> {
    /// The earliest is the greatest: the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
