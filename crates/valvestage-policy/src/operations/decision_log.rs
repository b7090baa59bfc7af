//! The latest decisions of one balancer.

use std::collections::VecDeque;

use super::decision_record::{DecisionRecord, Subject};

/// `DecisionLog` keeps the latest decisions; the oldest go first.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    capacity: usize,
    /// Oldest first; at most `capacity`.
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// `new` makes room for that many decisions.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: VecDeque::with_capacity(capacity) }
    }

    /// `push` adds a decision.
    pub fn push(&mut self, record: DecisionRecord) {
        if self.records.len() >= self.capacity {
            self.records.pop_front();
        }

        self.records.push_back(record);
    }

    /// `about` lists the decisions about a subject, oldest first.
    #[must_use]
    pub fn about(&self, subject: Subject) -> Vec<DecisionRecord> {
        self.records.iter().filter(|record| record.subject == subject).cloned().collect()
    }
}
