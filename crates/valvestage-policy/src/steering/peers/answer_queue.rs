//! When other balancers are answered.
//!
//! Many may ask at the same moment. Each has its turn as the link can take it: datagrams that are sent faster wait in
//! queues on the way, which lose what does not fit, packets of callers with it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::peer_message::{BackendsPull, ChunksPull, RoutesPull, WalkScope};

/// The part of its link that a balancer gives to answers at most: callers' packets take the same link.
const LINK_SHARE: f64 = 0.66;

/// Datagrams that are sent at once at most, but for the rest of an answer that has begun: with it 36, or 50 KB. Queues
/// were seen to lose what is beyond 64 KB.
const BURST_DATAGRAMS: u32 = 20;

/// Bytes of a full datagram.
const FULL_BYTES: u32 = 1_400;

/// A question that has waited for so long is not answered any more: the one that asked asks again after 150 ms.
const WAIT_FOR: Duration = Duration::from_millis(120);

/// Questions that wait at most.
const MAX_WAITING: usize = 64;

/// `PeerQuestion` is what another balancer asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::steering) enum PeerQuestion {
    /// What a newer configuration consists of.
    Routes(RoutesPull),
    /// Some of it.
    Chunks(ChunksPull),
    /// Changes of backend servers.
    Backends(BackendsPull),
}

impl PeerQuestion {
    /// Whether a whole window of datagrams answers it, and more are asked for then.
    fn is_large(&self) -> bool {
        match self {
            Self::Chunks(_) => true,
            Self::Backends(pull) => pull.scope == WalkScope::Everything,
            Self::Routes(_) => false,
        }
    }

    /// Whether both are about the same kind of knowledge: one that asks again needs one answer.
    fn is_like(&self, other: &Self) -> bool {
        matches!(self, Self::Backends(_)) == matches!(other, Self::Backends(_))
    }
}

/// A question that waits for its turn.
#[derive(Debug)]
struct WaitingQuestion {
    peer: SocketAddrV4,
    question: PeerQuestion,
    until: Instant,
}

/// `AnswerQueue` holds the questions of other balancers until their turn.
#[derive(Debug)]
pub(in crate::steering) struct AnswerQueue {
    /// Time that the link takes for one full datagram, where it is not for answers alone.
    datagram_time: Duration,
    /// In the order in which they came; one a peer and kind.
    waiting: VecDeque<WaitingQuestion>,
    /// Balancers that were sent chunks a moment ago, until when they are likely to ask for the next ones.
    under_way: HashMap<SocketAddrV4, Instant>,
    /// When the link has sent all answers so far.
    busy_until: Option<Instant>,
}

impl AnswerQueue {
    /// `new` answers over a link of so many megabits a second.
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

    /// `push` takes a question in.
    pub(in crate::steering) fn push(
        &mut self,
        peer: SocketAddrV4,
        question: PeerQuestion,
        now: Instant,
    ) {
        let until = now + WAIT_FOR;
        let same = self
            .waiting
            .iter_mut()
            .find(|waiting| waiting.peer == peer && waiting.question.is_like(&question));

        if let Some(waiting) = same {
            waiting.question = question;
            waiting.until = until;
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(WaitingQuestion { peer, question, until });
        }
    }

    /// `pop` gives the next question to answer; none while the link is busy.
    ///
    /// One that has some chunks already goes before one that has none: it is done sooner, and can tell others. If all had the same
    /// turns, all would be done at the same late moment.
    pub(in crate::steering) fn pop(
        &mut self,
        now: Instant,
    ) -> Option<(SocketAddrV4, PeerQuestion)> {
        self.waiting.retain(|waiting| waiting.until >= now);
        if self.busy_until.is_some_and(|until| until > now + self.burst_time()) {
            return None;
        }

        self.under_way.retain(|_, until| *until >= now);
        let is_idle = self.busy_until.is_none_or(|until| until <= now);
        let goes_on = self.waiting.iter().position(|waiting| self.goes_on(waiting));
        let place = goes_on.or(is_idle.then_some(0))?;
        let WaitingQuestion { peer, question, .. } = self.waiting.remove(place)?;
        if question.is_large() {
            self.under_way.insert(peer, now + WAIT_FOR);
        }
        Some((peer, question))
    }

    /// `spend` takes in that an answer of so many bytes is sent.
    pub(in crate::steering) fn spend(&mut self, bytes: usize, now: Instant) {
        let begins_at = self.busy_until.map_or(now, |until| until.max(now));
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);

        self.busy_until = Some(begins_at + self.datagram_time.saturating_mul(bytes) / FULL_BYTES);
    }

    /// `next_due` gives when the next question has its turn; none if none waits.
    pub(in crate::steering) fn next_due(&self) -> Option<Instant> {
        let burst_time = self.burst_time();
        let busy_until = self.busy_until.filter(|_| !self.waiting.is_empty())?;
        if !self.waiting.iter().any(|waiting| self.goes_on(waiting)) {
            return Some(busy_until);
        }

        Some(busy_until.checked_sub(burst_time).unwrap_or(busy_until))
    }

    /// Whether a question is small, or goes on with what its balancer has begun to fetch. Others wait until the link is idle.
    fn goes_on(&self, waiting: &WaitingQuestion) -> bool {
        !waiting.question.is_large() || self.under_way.contains_key(&waiting.peer)
    }

    fn burst_time(&self) -> Duration {
        self.datagram_time * BURST_DATAGRAMS
    }
}
