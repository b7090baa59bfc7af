//! Checks of this balancer's own link.
//!
//! If the link of this balancer loses what it sends, callers of any backend server miss answers, and
//! the questions to other balancers are lost on the same link, so that nobody refutes. Therefore
//! queries go out together with the retransmissions that show missing answers. The balancer that
//! receives one acknowledges it, which shows that the retransmission has left this VM, too.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use crate::steering::peers::peer_message::QueryNumber;

/// Number of balancers that get a query which only checks the link.
pub const BALANCERS_TO_CHECK: u8 = 2;

/// What was sent up to this time before a query counts as sent together with it: the turn of a slow
/// VM in which the packet is forwarded.
const SAME_MOMENT: Duration = Duration::from_millis(10);

/// What was sent between two queries counts as sent over a link that works if both were acknowledged
/// and no more than this time lies between them.
pub(super) const CHECK_WINDOW: Duration = Duration::from_millis(100);

/// Shortest time between two queries that only check the link. It doubles with each query that stays
/// unacknowledged.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Longest such time: callers retransmit 400 ms after their first retransmission.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of queries that are kept, the latest ones.
const MAX_QUERIES: usize = 32;

/// Query to other balancers.
#[derive(Debug)]
struct SentQuery {
    number: QueryNumber,
    sent_at: Instant,
    is_acknowledged: bool,
    /// The backend servers whose latest missing answers it checks.
    instances: Vec<InstanceId>,
}

/// Time in which the link has worked, as an acknowledgement shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CheckedTime {
    /// Its beginning.
    pub from: Instant,
    /// When the query was sent that was acknowledged.
    pub until: Instant,
}

/// The latest queries of this balancer, and which of them were acknowledged.
#[derive(Debug, Default)]
pub(super) struct LinkCheck {
    last_number: QueryNumber,
    /// In the order in which they were sent; at most [`MAX_QUERIES`].
    queries: VecDeque<SentQuery>,
    /// Earliest time of the next query that only checks the link; `None` before the first query.
    next_at: Option<Instant>,
    /// Number of queries since the last acknowledgement.
    unacknowledged: u32,
    /// Until when queries show nothing, after a stall of the process.
    ignored_until: Option<Instant>,
}

impl LinkCheck {
    /// Returns when the next query that only checks the link may be sent.
    pub(super) fn next_at(&self, now: Instant) -> Instant {
        self.next_at.max(self.ignored_until).map_or(now, |at| at.max(now))
    }

    /// Reports whether a query that is sent now shows whether the link works.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.ignored_until.is_none_or(|until| until <= now)
    }

    /// Records that the process was stalled, and reads until a time what has arrived meanwhile. The
    /// queries before show nothing any more, and the next one waits.
    pub(super) fn on_stall(&mut self, read_until: Instant) {
        self.queries.clear();
        self.ignored_until = Some(read_until);
    }

    /// Records that a query is being sent, and returns its number.
    pub(super) fn on_sent(&mut self, instances: Vec<InstanceId>, now: Instant) -> QueryNumber {
        let interval = MIN_CHECK_INTERVAL * (1 << self.unacknowledged.min(4));
        self.next_at = Some(now + interval.min(MAX_CHECK_INTERVAL));
        self.unacknowledged += 1;
        self.last_number = self.last_number.wrapping_add(1);
        if !self.is_usable(now) {
            return self.last_number;
        }
        self.queries.push_back(SentQuery {
            number: self.last_number,
            sent_at: now,
            is_acknowledged: false,
            instances,
        });

        if self.queries.len() > MAX_QUERIES {
            self.queries.pop_front();
        }
        self.last_number
    }

    /// Records that another balancer has acknowledged a query. Returns the time in which the link
    /// has worked, and the backend servers whose missing answers the query checks; `None` if that is
    /// known already.
    pub(super) fn on_acknowledged(
        &mut self,
        number: QueryNumber,
    ) -> Option<(CheckedTime, Vec<InstanceId>)> {
        self.unacknowledged = 0;
        let place = self.queries.iter().position(|query| query.number == number)?;
        let former = place.checked_sub(1).map(|former| &self.queries[former]);
        let former_at = former.filter(|query| query.is_acknowledged).map(|query| query.sent_at);
        let query = &mut self.queries[place];
        if std::mem::replace(&mut query.is_acknowledged, true) {
            return None;
        }

        let until = query.sent_at;
        self.next_at = self.next_at.min(Some(until + MIN_CHECK_INTERVAL));
        let is_near = |at: &Instant| until.saturating_duration_since(*at) <= CHECK_WINDOW;
        let moment = until.checked_sub(SAME_MOMENT).unwrap_or(until);
        let from = former_at.filter(is_near).map_or(moment, |at| at.min(moment));
        Some((CheckedTime { from, until }, std::mem::take(&mut query.instances)))
    }
}
