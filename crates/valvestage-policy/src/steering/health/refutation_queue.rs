//! Questions about suspected backend servers, and the answers to them.
//!
//! A balancer sees only a small part of the answers of each backend server. One that begins to
//! suspect a backend server therefore asks others, which answer if they have seen a sign of life
//! recently, at once or when the next one comes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::byte_budget::ByteBudget;
use super::health_record::{MAX_REPORTED_CALLERS, PEER_REPORT_TTL};
use super::link_check::BALANCERS_TO_CHECK;
use crate::steering::peers::peer_message::{
    LifeReport, QueryNumber, SuspicionQuery, SuspicionReport,
};

/// Number of balancers that are asked about a suspicion.
pub const BALANCERS_TO_ASK: u8 = 8;

/// Signs of life older than this are not reported.
pub(in crate::steering) const LIFE_TTL: Duration = Duration::from_secs(1);

/// How long a sign of life is repeated in heartbeats after a suspicion was reported, and how long a
/// balancer that asked is told of the next sign of life.
const REPEAT_FOR: Duration = Duration::from_secs(2);

/// Maximum number of backend servers in one question, and of signs of life in one answer or
/// heartbeat.
pub const MAX_QUERIED: usize = 8;

/// Maximum number of balancers that wait for a sign of life of one backend server.
const MAX_WAITING: usize = 4;

/// Maximum number of balancers that are told when a suspicion is withdrawn.
const MAX_TOLD: usize = 16;

/// Bytes per second for questions, and for answers with acknowledgements. With heartbeats, control traffic stays below 4
/// KB per second also while half of the backend servers are suspected at once.
const BYTES_PER_SECOND: u32 = 500;

/// Bytes of the headers of a datagram and of the fields before the first backend server, with the
/// number of a query.
const HEADER_BYTES: u32 = 35;

/// Maximum number of bytes of a backend server with or without the age of its sign of life.
const ITEM_BYTES: u32 = 9;

/// Maximum number of bytes of the callers of a suspicion, with their number.
#[allow(clippy::cast_possible_truncation)]
const CALLERS_BYTES: u32 = 1 + MAX_REPORTED_CALLERS as u32;

/// Balancer that has asked, and until when it is told of a sign of life.
#[derive(Debug, Clone, Copy)]
struct WaitingPeer {
    peer: SocketAddrV4,
    until: Instant,
}

/// Messages about suspicions that are due, other than heartbeats.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SuspicionMessages {
    /// A question to [`BALANCERS_TO_ASK`] other balancers, or to [`BALANCERS_TO_CHECK`] if it names
    /// no backend server and only checks the link.
    pub query: Option<SuspicionQuery>,
    /// Queries of other balancers to acknowledge.
    pub acknowledgements: Vec<(SocketAddrV4, QueryNumber)>,
    /// Signs of life to report to the balancers that suspect the backend servers.
    pub refutations: Vec<(SocketAddrV4, Vec<LifeReport>)>,
}

impl SuspicionMessages {
    /// Returns the maximum size of the datagrams of these messages in bytes.
    #[must_use]
    pub fn bytes(&self) -> u32 {
        let query = self.query.as_ref().map_or(0, query_bytes);
        let refutations = self.refutations.iter().map(|(_, lives)| message_bytes(lives.len()));
        let acknowledgements = self.acknowledgements.iter().map(|_| message_bytes(0));

        query + refutations.sum::<u32>() + acknowledgements.sum::<u32>()
    }
}

/// Collects questions and answers until they are sent.
#[derive(Debug)]
pub(super) struct RefutationQueue {
    /// Backend servers to ask about, the latest last, each once.
    suspects: Vec<InstanceId>,
    /// Signs of life to report, by receiver.
    refutations: BTreeMap<SocketAddrV4, Vec<(InstanceId, Instant)>>,
    /// Queries to acknowledge, the latest one of each balancer.
    acknowledgements: BTreeMap<SocketAddrV4, QueryNumber>,
    /// Balancers that are told of the next sign of life.
    waiting: HashMap<InstanceId, Vec<WaitingPeer>>,
    /// Balancers that were told of suspicions, and until when these count there.
    told: HashMap<InstanceId, Vec<WaitingPeer>>,
    /// Until when signs of life are repeated in heartbeats.
    repeated: BTreeMap<InstanceId, Instant>,
    query_budget: ByteBudget,
    refutation_budget: ByteBudget,
}

impl Default for RefutationQueue {
    fn default() -> Self {
        Self {
            suspects: Vec::new(),
            refutations: BTreeMap::new(),
            acknowledgements: BTreeMap::new(),
            waiting: HashMap::new(),
            told: HashMap::new(),
            repeated: BTreeMap::new(),
            query_budget: ByteBudget::new(BYTES_PER_SECOND),
            refutation_budget: ByteBudget::new(BYTES_PER_SECOND),
        }
    }
}

impl RefutationQueue {
    /// Asks other balancers about a backend server.
    pub(super) fn ask(&mut self, instance: InstanceId) {
        if !self.suspects.contains(&instance) {
            self.suspects.push(instance);
        }
    }

    /// Records that a query of another balancer has arrived.
    pub(super) fn on_query(&mut self, peer: SocketAddrV4, number: QueryNumber) {
        self.acknowledgements.insert(peer, number);
    }

    /// Records that another balancer suspects a backend server, given its last sign of life that is
    /// known here.
    pub(super) fn on_suspicion(
        &mut self,
        peer: SocketAddrV4,
        instance: InstanceId,
        last_life: Option<Instant>,
        now: Instant,
    ) {
        self.repeated.insert(instance, now + REPEAT_FOR);
        let waiting = self.waiting.entry(instance).or_default();
        waiting.retain(|other| other.peer != peer && other.until > now);
        if waiting.len() < MAX_WAITING {
            waiting.push(WaitingPeer { peer, until: now + REPEAT_FOR });
        }

        if let Some(at) = last_life.filter(|at| is_recent(*at, now)) {
            self.refute(peer, instance, at);
        }
    }

    /// Records a sign of life, and reports it to the balancers that wait for one.
    pub(super) fn on_life(&mut self, instance: InstanceId, at: Instant, now: Instant) {
        let waiting = self.waiting.remove(&instance).unwrap_or_default();

        for peer in waiting.iter().filter(|peer| peer.until > now).map(|waiting| waiting.peer) {
            self.refute(peer, instance, at);
        }
    }

    /// Records that another balancer was told of a suspicion.
    pub(super) fn on_told(&mut self, peer: SocketAddrV4, instance: InstanceId, now: Instant) {
        let told = self.told.entry(instance).or_default();

        told.retain(|other| other.peer != peer && other.until > now);
        if told.len() < MAX_TOLD {
            told.push(WaitingPeer { peer, until: now + PEER_REPORT_TTL });
        }
    }

    /// Withdraws a suspicion that a sign of life has ended, also at the balancers that were told of
    /// it.
    pub(super) fn retract(&mut self, instance: InstanceId, at: Instant, now: Instant) {
        self.suspects.retain(|suspect| *suspect != instance);
        let told = self.told.remove(&instance).unwrap_or_default();

        for peer in told.iter().filter(|peer| peer.until > now).map(|told| told.peer) {
            self.refute(peer, instance, at);
        }
    }

    /// Repeats signs of life of a backend server in heartbeats, so that they spread.
    pub(super) fn repeat(&mut self, instance: InstanceId, now: Instant) {
        self.repeated.insert(instance, now + REPEAT_FOR);
    }

    /// Returns the backend servers whose signs of life are to be repeated in heartbeats.
    pub(super) fn repeated(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        let repeated = self.repeated.iter().filter(move |(_, until)| **until > now);

        repeated.map(|(instance, _)| *instance)
    }

    fn refute(&mut self, peer: SocketAddrV4, instance: InstanceId, at: Instant) {
        let reports = self.refutations.entry(peer).or_default();

        reports.retain(|(other, _)| *other != instance);
        reports.push((instance, at));
    }

    /// Reports whether messages are waiting that may be sent now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.suspects.is_empty() && self.query_budget.is_open(now)
            || !(self.refutations.is_empty() && self.acknowledgements.is_empty())
                && self.refutation_budget.is_open(now)
    }

    /// Returns the messages to send now, as far as their budgets allow. The latest suspicions go
    /// first, and those that do not fit are dropped, since heartbeats report them as well;
    /// refutations wait until they fit. `suspicion` returns the report of this balancer's own
    /// suspicion of a backend server, if there is one.
    pub(super) fn take_messages(
        &mut self,
        suspicion: impl Fn(InstanceId) -> Option<SuspicionReport>,
        now: Instant,
    ) -> SuspicionMessages {
        let mut messages = SuspicionMessages::default();

        if !self.suspects.is_empty() && self.query_budget.is_open(now) {
            let asked = latest(std::mem::take(&mut self.suspects));
            let suspects: Vec<_> = asked.iter().copied().filter_map(&suspicion).collect();
            let is_doubted = |instance: &InstanceId| suspicion(*instance).is_none();
            let doubted = asked.into_iter().filter(is_doubted).collect();
            let query = SuspicionQuery { number: 0, suspects, doubted };
            self.query_budget.spend(query_bytes(&query), now);
            messages.query = Some(query);
        }
        while self.refutation_budget.is_open(now)
            && let Some((peer, lives)) = self.refutations.pop_first()
        {
            let lives = latest(lives.into_iter().filter(|(_, at)| is_recent(*at, now)).collect());
            let reports: Vec<_> =
                lives.into_iter().map(|(instance, at)| life_report(instance, at, now)).collect();
            if !reports.is_empty() {
                self.refutation_budget.spend(message_bytes(reports.len()), now);
                messages.refutations.push((peer, reports));
            }
        }
        messages.acknowledgements = self.take_acknowledgements(&messages.refutations, now);
        messages
    }

    /// Returns the acknowledgements to send now. One for a balancer that is also to get a refutation
    /// goes with it or waits: alone it would show that nothing refutes the suspicion.
    fn take_acknowledgements(
        &mut self,
        refutations: &[(SocketAddrV4, Vec<LifeReport>)],
        now: Instant,
    ) -> Vec<(SocketAddrV4, QueryNumber)> {
        let mut taken = Vec::new();

        self.acknowledgements.retain(|peer, number| {
            if self.refutations.contains_key(peer) {
                return true;
            }
            if !refutations.iter().any(|(receiver, _)| receiver == peer) {
                if !self.refutation_budget.is_open(now) {
                    return true;
                }
                self.refutation_budget.spend(message_bytes(0), now);
            }
            taken.push((*peer, *number));
            false
        });
        taken
    }

    /// Drops what is outdated.
    pub(super) fn forget(&mut self, now: Instant) {
        self.repeated.retain(|_, until| *until > now);
        self.waiting.retain(|_, waiting| waiting.iter().any(|peer| peer.until > now));
        self.told.retain(|_, told| told.iter().any(|peer| peer.until > now));
    }
}

/// Returns the report of a sign of life.
pub(super) fn life_report(instance: InstanceId, at: Instant, now: Instant) -> LifeReport {
    let age = now.saturating_duration_since(at);
    let answered_ago_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);

    LifeReport { instance, answered_ago_ms }
}

/// Reports whether a sign of life is recent enough to be reported.
pub(super) fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < LIFE_TTL
}

/// Returns the last items, the latest first.
fn latest<T>(mut items: Vec<T>) -> Vec<T> {
    items.reverse();
    items.truncate(MAX_QUERIED);
    items
}

/// Returns the number of balancers that a query is sent to.
pub(in crate::steering) fn receivers_of(query: &SuspicionQuery) -> u8 {
    let is_check = query.suspects.is_empty() && query.doubted.is_empty();

    if is_check { BALANCERS_TO_CHECK } else { BALANCERS_TO_ASK }
}

/// Returns the size of a query to all balancers that it is sent to.
fn query_bytes(query: &SuspicionQuery) -> u32 {
    let items = message_bytes(query.suspects.len() + query.doubted.len());
    let suspects = u32::try_from(query.suspects.len()).unwrap_or(u32::MAX);

    (items + CALLERS_BYTES * suspects) * u32::from(receivers_of(query))
}

fn message_bytes(items: usize) -> u32 {
    HEADER_BYTES + ITEM_BYTES * u32::try_from(items).unwrap_or(u32::MAX)
}
