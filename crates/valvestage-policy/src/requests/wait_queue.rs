//! Requests that wait for a slot.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use valvestage_core::RequestClass;
use valvestage_core::ids::RequestId;

/// `WaitEntry` is one place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitEntry {
    /// The request.
    pub id: RequestId,
    /// Since when it waits.
    pub since: SystemTime,
}

/// Of this many turns one goes to a bulk request, if one waits.
const BULK_TURN: usize = 5;

/// `WaitQueue` orders waiting requests by class, with ageing.
///
/// An urgent request goes before every bulk request that has waited less than `bulk_patience`
/// longer than it; beyond that the bulk request goes first. Every fifth turn is a bulk request's
/// in any case, so that it does not starve in an overload, when urgent ones wait as long.
#[derive(Debug, Clone)]
pub struct WaitQueue {
    bulk_patience: Duration,
    /// Oldest first.
    urgent: VecDeque<WaitEntry>,
    /// Oldest first.
    bulk: VecDeque<WaitEntry>,
    /// Urgent turns since the last bulk turn; less than [`BULK_TURN`].
    urgent_turns: usize,
}

impl WaitQueue {
    /// `new` starts an empty queue.
    #[must_use]
    pub fn new(bulk_patience: Duration) -> Self {
        Self { bulk_patience, urgent: VecDeque::new(), bulk: VecDeque::new(), urgent_turns: 0 }
    }

    /// `push` adds a request at the end of its class.
    pub fn push(&mut self, class: RequestClass, entry: WaitEntry) {
        self.class_mut(class).push_back(entry);
    }

    /// `push_first` puts a request back at the head of its class, after a refused try.
    pub fn push_first(&mut self, class: RequestClass, entry: WaitEntry) {
        self.class_mut(class).push_front(entry);
    }

    /// `pop` takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<WaitEntry> {
        let class = self.next_class()?;

        self.urgent_turns = match class {
            RequestClass::Urgent => (self.urgent_turns + 1).min(BULK_TURN - 1),
            RequestClass::Bulk => 0,
        };
        self.class_mut(class).pop_front()
    }

    /// `ahead_of` counts the requests that go before a new one of a class.
    #[must_use]
    pub fn ahead_of(&self, class: RequestClass) -> usize {
        match class {
            RequestClass::Urgent => self.urgent.len(),
            RequestClass::Bulk => {
                self.bulk.len() + self.urgent.len().min(self.bulk.len() * (BULK_TURN - 1))
            }
        }
    }

    /// `len` counts the waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.bulk.len()
    }

    /// `is_empty` tells whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// `remove` takes a request out, wherever it waits.
    pub fn remove(&mut self, id: RequestId) {
        self.urgent.retain(|entry| entry.id != id);
        self.bulk.retain(|entry| entry.id != id);
    }

    fn next_class(&self) -> Option<RequestClass> {
        match (self.urgent.front(), self.bulk.front()) {
            (None, None) => None,
            (Some(_), None) => Some(RequestClass::Urgent),
            (None, Some(_)) => Some(RequestClass::Bulk),
            (Some(_), Some(_)) if self.urgent_turns + 1 >= BULK_TURN => Some(RequestClass::Bulk),
            (Some(urgent), Some(bulk)) if bulk.since + self.bulk_patience < urgent.since => {
                Some(RequestClass::Bulk)
            }
            (Some(_), Some(_)) => Some(RequestClass::Urgent),
        }
    }

    fn class_mut(&mut self, class: RequestClass) -> &mut VecDeque<WaitEntry> {
        match class {
            RequestClass::Urgent => &mut self.urgent,
            RequestClass::Bulk => &mut self.bulk,
        }
    }
}
