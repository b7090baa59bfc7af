//! The log of the latest decisions of one balancer.

use std::collections::VecDeque;

use super::decision_record::{DecisionRecord, Subject};

/// Ring buffer of the latest decisions.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    capacity: usize,
    /// Decisions from the oldest to the newest; at most `capacity`.
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// Creates an empty log that holds up to `capacity` decisions.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: VecDeque::with_capacity(capacity) }
    }

    /// Adds a decision, and drops the oldest one if the log is full.
    pub fn push(&mut self, record: DecisionRecord) {
        if self.records.len() >= self.capacity {
            self.records.pop_front();
        }

        self.records.push_back(record);
    }

    /// Returns the logged decisions about a subject, from the oldest to the newest.
    #[must_use]
    pub fn about(&self, subject: Subject) -> Vec<DecisionRecord> {
        self.records.iter().filter(|record| record.subject == subject).cloned().collect()
    }
}
