//! Classification of ended requests by what is usual at their address.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::answer_norm::AnswerNorm;
use super::flow_request::EndedRequest;
use super::overdue_queue::{OverdueEntry, OverdueQueue};
use crate::steering::packets::caller_packet::FlowAddresses;

/// Distinguishes ordinary requests from those whose answer was much shorter than usual, or did not
/// come in time.
#[derive(Debug, Default)]
pub struct RequestJudge {
    /// Norms by the address and port that callers send to, since requests of different kinds use
    /// different addresses.
    norms: HashMap<SocketAddrV4, AnswerNorm>,
    overdue: OverdueQueue,
}

impl RequestJudge {
    /// Records the start of a request, and sets its deadline if the usual answer time is known.
    pub fn on_began(&mut self, flow: FlowAddresses, started: Instant) {
        let overdue_after = self.norms.get(&flow.service).and_then(AnswerNorm::overdue_after);

        if let Some(patience) = overdue_after {
            self.overdue.push(OverdueEntry { due: started + patience, started, flow });
        }
    }

    /// Records the time that an answer took, and returns the natural logarithm of its ratio to the
    /// usual time; `None` until enough answers were seen.
    pub fn on_answer_time(&mut self, service: SocketAddrV4, time: Duration) -> Option<f64> {
        let norm = self.norms.entry(service).or_default();
        let log_ratio = norm.log_ratio(time);

        norm.on_time(time);
        log_ratio
    }

    /// Records how a request ended, and reports whether it is poor: whether its answer is missing
    /// or much shorter than usual.
    pub fn is_poor(&mut self, service: SocketAddrV4, ended: EndedRequest) -> bool {
        if ended.answer_bytes == 0 {
            return true;
        }

        let norm = self.norms.entry(service).or_default();
        let is_short = norm.is_short(ended.answer_bytes);
        norm.on_size(ended.answer_bytes);
        is_short
    }

    /// Reports whether an answer is much shorter than usual at its address.
    #[must_use]
    pub fn is_short(&self, service: SocketAddrV4, answer_bytes: u32) -> bool {
        self.norms.get(&service).is_some_and(|norm| norm.is_short(answer_bytes))
    }

    /// Removes and returns a request whose deadline has passed. It may have ended already.
    pub fn pop_overdue(&mut self, now: Instant) -> Option<OverdueEntry> {
        self.overdue.pop_due(now)
    }

    /// Records that the process was paused. Acknowledgements of the answers to requests under way
    /// may have been lost, so the deadlines of these requests are dropped.
    pub fn on_pause(&mut self) {
        self.overdue.clear();
    }

    /// Removes the norms of all addresses for which `keep` returns false.
    pub fn forget(&mut self, keep: impl Fn(&SocketAddrV4) -> bool) {
        self.norms.retain(|address, _| keep(address));
    }
}
