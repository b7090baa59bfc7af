//! The queue of requests that wait for a free slot.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use valvestage_core::RequestClass;
use valvestage_core::ids::RequestId;

/// One waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitEntry {
    /// Id of the request.
    pub id: RequestId,
    /// Time at which the request entered the queue.
    pub enqueued_at: SystemTime,
}

/// One in this many dequeued requests is a bulk request, if any waits.
const BULK_INTERVAL: usize = 5;

/// Priority queue of waiting requests, with ageing of the lower class.
///
/// An urgent request goes before every bulk request that has waited less than `bulk_extra_wait`
/// longer. Otherwise the bulk request goes first. In any case, every fifth dequeued request is a
/// bulk request if one waits, so that bulk requests do not starve in an overload in which urgent
/// requests wait as long.
#[derive(Debug, Clone)]
pub struct WaitQueue {
    bulk_extra_wait: Duration,
    /// Ordered from the longest waiting to the newest.
    urgent: VecDeque<WaitEntry>,
    /// Ordered from the longest waiting to the newest.
    bulk: VecDeque<WaitEntry>,
    /// Urgent requests dequeued since the last bulk request; less than [`BULK_INTERVAL`].
    urgent_since_bulk: usize,
}

impl WaitQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(bulk_extra_wait: Duration) -> Self {
        Self {
            bulk_extra_wait,
            urgent: VecDeque::new(),
            bulk: VecDeque::new(),
            urgent_since_bulk: 0,
        }
    }

    /// Adds a request at the end of its class.
    pub fn push(&mut self, class: RequestClass, entry: WaitEntry) {
        self.class_mut(class).push_back(entry);
    }

    /// Puts a request back at the head of its class.
    pub fn push_to_front(&mut self, class: RequestClass, entry: WaitEntry) {
        self.class_mut(class).push_front(entry);
    }

    /// Removes and returns the next request to dispatch.
    pub fn pop(&mut self) -> Option<WaitEntry> {
        let class = self.next_class()?;

        self.urgent_since_bulk = match class {
            RequestClass::Urgent => (self.urgent_since_bulk + 1).min(BULK_INTERVAL - 1),
            RequestClass::Bulk => 0,
        };
        self.class_mut(class).pop_front()
    }

    /// Estimates the number of waiting requests that go before a new request of this class.
    #[must_use]
    pub fn estimate_ahead_of(&self, class: RequestClass) -> usize {
        match class {
            RequestClass::Urgent => self.urgent.len(),
            RequestClass::Bulk => {
                self.bulk.len() + self.urgent.len().min(self.bulk.len() * (BULK_INTERVAL - 1))
            }
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.bulk.len()
    }

    /// Reports whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, id: RequestId) {
        self.urgent.retain(|entry| entry.id != id);
        self.bulk.retain(|entry| entry.id != id);
    }

    fn next_class(&self) -> Option<RequestClass> {
        match (self.urgent.front(), self.bulk.front()) {
            (None, None) => None,
            (Some(_), None) => Some(RequestClass::Urgent),
            (None, Some(_)) => Some(RequestClass::Bulk),
            (Some(_), Some(_)) if self.urgent_since_bulk + 1 >= BULK_INTERVAL => {
                Some(RequestClass::Bulk)
            }
            (Some(urgent), Some(bulk))
                if bulk.enqueued_at + self.bulk_extra_wait < urgent.enqueued_at =>
            {
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
