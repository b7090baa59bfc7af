//! Deadlines of the requests that are under way.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::steering::packets::caller_packet::FlowAddresses;

/// Deadline of one request. Entries are ordered by the time at which requests become overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OverdueEntry {
    /// Time at which the request becomes overdue.
    pub due: Instant,
    /// Start of the request, which identifies it among the requests of its flow.
    pub started: Instant,
    /// The flow that the request was sent on.
    pub flow: FlowAddresses,
}

/// Priority queue of requests by deadline. Requests that have ended stay in it until they are due.
#[derive(Debug, Default)]
pub struct OverdueQueue {
    entries: BinaryHeap<Reverse<OverdueEntry>>,
}

impl OverdueQueue {
    /// Adds a request to the queue.
    pub fn push(&mut self, entry: OverdueEntry) {
        self.entries.push(Reverse(entry));
    }

    /// Removes and returns a request whose deadline has passed; it may have ended already.
    pub fn pop_due(&mut self, now: Instant) -> Option<OverdueEntry> {
        self.entries.peek().filter(|Reverse(entry)| entry.due <= now)?;

        self.entries.pop().map(|Reverse(entry)| entry)
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
