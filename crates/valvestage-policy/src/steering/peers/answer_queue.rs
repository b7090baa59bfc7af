//! The pulls of other balancers that wait for their answers.
//!
//! Many balancers may ask at the same moment. They are answered in turn at the pace of the link:
//! datagrams that are sent faster wait in queues on the way, and queues that overflow lose answers
//! as well as packets of callers.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::peer_message::{BackendsPull, ChunksPull, RoutesPull, WalkScope};

/// Maximum share of its link that a balancer uses for answers, since callers' packets take the same
/// link.
const LINK_SHARE: f64 = 0.66;

/// Maximum number of datagrams that are sent at once, not counting the rest of an answer that has
/// begun: with it there are up to 36, or 50 KB. Queues have been observed to lose what exceeds 64
/// KB.
const BURST_DATAGRAMS: u32 = 20;

/// Bytes of a full datagram.
const FULL_BYTES: u32 = 1_400;

/// A pull that has waited longer than this is dropped: the balancer that sent it asks again after
/// 150 ms.
const PULL_TTL: Duration = Duration::from_millis(120);

/// Maximum number of waiting pulls.
const MAX_WAITING: usize = 64;

/// What another balancer asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::steering) enum PeerPull {
    /// The index of a newer configuration.
    Routes(RoutesPull),
    /// Some chunks of a configuration.
    Chunks(ChunksPull),
    /// Changes of backend servers.
    Backends(BackendsPull),
}

impl PeerPull {
    /// Reports whether the answer is a whole window of datagrams, after which more are asked for.
    fn is_large(&self) -> bool {
        match self {
            Self::Chunks(_) => true,
            Self::Backends(pull) => pull.scope == WalkScope::Everything,
            Self::Routes(_) => false,
        }
    }

    /// Reports whether both ask for the same kind of knowledge: of two such pulls of one balancer
    /// only the later one is answered.
    fn is_same_kind(&self, other: &Self) -> bool {
        matches!(self, Self::Backends(_)) == matches!(other, Self::Backends(_))
    }
}

/// A pull that waits for its turn.
#[derive(Debug)]
struct WaitingPull {
    peer: SocketAddrV4,
    pull: PeerPull,
    until: Instant,
}

/// Queue of the pulls of other balancers, which limits the rate of answers.
#[derive(Debug)]
pub(in crate::steering) struct AnswerQueue {
    /// Time for one full datagram at the share of the link that answers may use.
    datagram_time: Duration,
    /// Waiting pulls in the order of their arrival, at most one per peer and kind of knowledge.
    waiting: VecDeque<WaitingPull>,
    /// Balancers that were recently sent a whole window, and until when they are likely to ask for
    /// the next one.
    under_way: HashMap<SocketAddrV4, Instant>,
    /// When the link will have sent all answers so far.
    busy_until: Option<Instant>,
}

impl AnswerQueue {
    /// Creates a queue for a link of `link_mbps` megabits per second.
    pub(in crate::steering) fn new(link_mbps: f64) -> Self {
        const BITS: f64 = 8.0;
        let megabits = f64::from(FULL_BYTES) * BITS / 1e6;

        Self {
            datagram_time: Duration::from_secs_f64(megabits / (link_mbps * LINK_SHARE)),
            waiting: VecDeque::new(),
            under_way: HashMap::new(),
            busy_until: None,
        }
    }

    /// Adds a pull, or replaces a waiting one of the same peer and kind of knowledge.
    pub(in crate::steering) fn push(&mut self, peer: SocketAddrV4, pull: PeerPull, now: Instant) {
        let until = now + PULL_TTL;
        let same = self
            .waiting
            .iter_mut()
            .find(|waiting| waiting.peer == peer && waiting.pull.is_same_kind(&pull));

        if let Some(waiting) = same {
            waiting.pull = pull;
            waiting.until = until;
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(WaitingPull { peer, pull, until });
        }
    }

    /// Returns the next pull to answer; `None` while the link is busy or none waits.
    ///
    /// A balancer that has received some of an answer goes before one that has received none: it
    /// completes sooner and can then answer others. If all balancers took turns, all would complete
    /// at the same late moment.
    pub(in crate::steering) fn pop(&mut self, now: Instant) -> Option<(SocketAddrV4, PeerPull)> {
        self.waiting.retain(|waiting| waiting.until >= now);
        if self.busy_until.is_some_and(|until| until > now + self.burst_time()) {
            return None;
        }

        self.under_way.retain(|_, until| *until >= now);
        let is_idle = self.busy_until.is_none_or(|until| until <= now);
        let continuation = self.waiting.iter().position(|waiting| self.is_continuation(waiting));
        let index = continuation.or(is_idle.then_some(0))?;
        let WaitingPull { peer, pull, .. } = self.waiting.remove(index)?;
        if pull.is_large() {
            self.under_way.insert(peer, now + PULL_TTL);
        }
        Some((peer, pull))
    }

    /// Records that an answer of `bytes` bytes is sent.
    pub(in crate::steering) fn record_sent(&mut self, bytes: usize, now: Instant) {
        let begins_at = self.busy_until.map_or(now, |until| until.max(now));
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);

        self.busy_until = Some(begins_at + self.datagram_time.saturating_mul(bytes) / FULL_BYTES);
    }

    /// Returns when the next pull has its turn; `None` if none waits.
    pub(in crate::steering) fn next_due(&self) -> Option<Instant> {
        let burst_time = self.burst_time();
        let busy_until = self.busy_until.filter(|_| !self.waiting.is_empty())?;
        if !self.waiting.iter().any(|waiting| self.is_continuation(waiting)) {
            return Some(busy_until);
        }

        Some(busy_until.checked_sub(burst_time).unwrap_or(busy_until))
    }

    /// Reports whether a pull is small, or continues an answer that its balancer has begun to
    /// fetch. Other pulls wait until the link is idle.
    fn is_continuation(&self, waiting: &WaitingPull) -> bool {
        !waiting.pull.is_large() || self.under_way.contains_key(&waiting.peer)
    }

    fn burst_time(&self) -> Duration {
        self.datagram_time * BURST_DATAGRAMS
    }
}
