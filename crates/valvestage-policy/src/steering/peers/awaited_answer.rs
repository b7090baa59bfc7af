//! An answer of another balancer that is in progress.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::steering::decision::IncompleteAnswer;
use crate::steering::store::store_follower::StoreKind;

/// An answer is given up when nothing of it has arrived for this time. The queue of a link of 10
/// Mbit/s holds 50 ms; the rest allows for a slow VM at either end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// A balancer that has left this many pulls in a row unanswered is not asked again by a retry: it
/// may be gone, or have too much to answer. The next heartbeat that announces more knowledge
/// determines whom to ask.
const MAX_UNANSWERED_PULLS: u32 = 3;

/// A pull that was sent to one balancer, and what has arrived of the answer.
#[derive(Debug, Clone)]
pub(in crate::steering) struct AwaitedAnswer {
    peer: SocketAddrV4,
    /// Number of expected datagrams; 0 if the other balancer decides how many to send.
    expected: usize,
    received: usize,
    began_at: Instant,
    waits_until: Instant,
    unanswered_pulls: u32,
}

impl AwaitedAnswer {
    /// Starts to wait for the datagrams of a balancer. `former` is the answer that was awaited
    /// before.
    pub(in crate::steering) fn new(
        peer: SocketAddrV4,
        expected: usize,
        former: Option<&Self>,
        now: Instant,
    ) -> Self {
        let same = former.filter(|former| former.peer == peer && former.received == 0);
        let unanswered_pulls = same.map_or(0, |former| former.unanswered_pulls + 1);

        Self {
            peer,
            expected,
            received: 0,
            began_at: now,
            waits_until: now + ANSWER_TIMEOUT,
            unanswered_pulls,
        }
    }

    /// Returns the balancer that was asked.
    pub(in crate::steering) fn peer(&self) -> SocketAddrV4 {
        self.peer
    }

    /// Reports whether to keep waiting for the answer instead of asking `other`. A balancer that
    /// has left one pull unanswered gives way to the next one that knows as much: if a balancer
    /// that receives nothing were asked again at each of its heartbeats, a configuration would
    /// arrive 3 s late.
    pub(in crate::steering) fn is_pending(&self, other: SocketAddrV4, now: Instant) -> bool {
        let gives_way = self.unanswered_pulls > 0 && self.peer != other;

        !self.is_timed_out(now) && !gives_way
    }

    /// Reports whether the answer has timed out.
    pub(in crate::steering) fn is_timed_out(&self, now: Instant) -> bool {
        self.waits_until <= now
    }

    /// Reports whether a further pull to the same balancer is worthwhile.
    pub(in crate::steering) fn can_retry(&self) -> bool {
        self.received > 0 || self.unanswered_pulls < MAX_UNANSWERED_PULLS
    }

    /// Records the arrival of a datagram that brought something new.
    pub(in crate::steering) fn on_part(&mut self, now: Instant) {
        self.received += 1;
        self.waits_until = now + ANSWER_TIMEOUT;
    }

    /// Reports whether everything that was asked for has arrived.
    pub(in crate::steering) fn is_complete(&self) -> bool {
        self.expected > 0 && self.received >= self.expected
    }

    /// Returns what has arrived so far, for the log.
    pub(in crate::steering) fn incomplete(
        &self,
        kind: StoreKind,
        state: u64,
        now: Instant,
    ) -> IncompleteAnswer {
        IncompleteAnswer {
            peer: self.peer,
            kind,
            state,
            received: self.received,
            expected: self.expected,
            waited: now.saturating_duration_since(self.began_at),
        }
    }
}
