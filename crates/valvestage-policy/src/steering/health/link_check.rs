//! Checks of this balancer's own link.
//!
//! If the link of this balancer loses what it sends, callers of any backend server miss answers, and
//! the questions to other balancers are lost on the same link, so that nobody refutes. Therefore a
//! query goes out together with a retransmission that completes the evidence. The balancer that
//! receives it acknowledges it, which shows that the retransmission has left this VM, too.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use crate::steering::peers::peer_message::QueryNumber;

/// Number of balancers that get a query which only checks the link.
pub const BALANCERS_TO_CHECK: u8 = 2;

/// A retransmission that was forwarded within this time before a query counts as sent together with
/// it.
pub(super) const CHECK_WINDOW: Duration = Duration::from_millis(50);

/// Shortest time between two queries that only check the link. It doubles with each query that stays
/// unacknowledged.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest such time: callers retransmit 400 ms after their first retransmission.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of queries whose acknowledgements are awaited, the latest ones.
const MAX_PENDING: usize = 32;

/// Query that no balancer has acknowledged yet.
#[derive(Debug)]
struct PendingQuery {
    number: QueryNumber,
    sent_at: Instant,
    /// The backend servers whose latest missing answers it checks.
    instances: Vec<InstanceId>,
}

/// The queries of this balancer whose acknowledgements are awaited.
#[derive(Debug, Default)]
pub(super) struct LinkCheck {
    last_number: QueryNumber,
    /// In the order in which they were sent; at most [`MAX_PENDING`].
    pending: VecDeque<PendingQuery>,
    /// Earliest time of the next query that only checks the link; `None` before the first query.
    next_at: Option<Instant>,
    /// Number of queries since the last acknowledgement.
    unacknowledged: u32,
}

impl LinkCheck {
    /// Returns when the next query that only checks the link may be sent.
    pub(super) fn next_at(&self, now: Instant) -> Instant {
        self.next_at.map_or(now, |at| at.max(now))
    }

    /// Records that a query is being sent, and returns its number.
    pub(super) fn on_sent(&mut self, instances: Vec<InstanceId>, now: Instant) -> QueryNumber {
        let interval = MIN_CHECK_INTERVAL * (1 << self.unacknowledged.min(3));
        self.next_at = Some(now + interval.min(MAX_CHECK_INTERVAL));
        self.unacknowledged += 1;
        self.last_number = self.last_number.wrapping_add(1);
        self.pending.push_back(PendingQuery { number: self.last_number, sent_at: now, instances });

        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
        self.last_number
    }

    /// Records that another balancer has acknowledged a query. Returns when the query was sent and
    /// the backend servers whose missing answers it checks; `None` if that is known already.
    pub(super) fn on_acknowledged(
        &mut self,
        number: QueryNumber,
    ) -> Option<(Instant, Vec<InstanceId>)> {
        self.unacknowledged = 0;
        let query = self.pending.iter_mut().find(|query| query.number == number)?;
        let instances = std::mem::take(&mut query.instances);

        (!instances.is_empty()).then_some((query.sent_at, instances))
    }
}
