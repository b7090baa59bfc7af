//! Queue of simulation events in order of time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::SystemTime;

/// Priority queue of events by time. Events of the same time keep the order of insertion.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Queued<E>>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }

    /// Schedules an event at a time.
    pub fn push(&mut self, at: SystemTime, event: E) {
        self.sequence += 1;

        self.heap.push(Queued { at, sequence: self.sequence, event });
    }

    /// Removes and returns the earliest event with its time.
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
    /// Orders the earliest event as the greatest, because the heap pops the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
