//! Keeping knowledge up to date, from the store and from other balancers.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, StoreRevision, ZoneName};

use super::backend_entry::BackendEntry;
use super::decision::{Decision, NewsSource};
use super::entry_policy::EntryOptions;
use super::knowledge::Knowledge;
use super::knowledge_parts::{backends_messages, entries_of, routes_messages, routes_of};
use super::part_assembly::PartAssembly;
use super::peer_message::{BackendsPart, KnowledgePull, PeerHeartbeat, PeerMessage, RoutesPart};
use super::peer_table::PeerTable;
use super::route_map::RouteMap;
use super::seeded_draw::SeededDraw;
use super::store_follower::{Completeness, StoreCall, StoreFollower, StoreKind, StoreReply};
use super::watch_duty::{DutyState, WatchDuty, millis_since, time_of_age};

/// Time between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Balancers that each round goes to. 4 every 400 ms are some 2 KB a second, half of what control
/// may cost a VM; news reaches 420 balancers in five rounds, and is passed on at once.
const HEARTBEAT_FANOUT: usize = 4;

/// Balancers named in a heartbeat.
const PEERS_TOLD: usize = 4;

/// Entries that lapsed while the store was away return within about 2 s; one that is missing after
/// that is gone.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Nobody else is asked before an answer can have come whole. All that is known before 3,000 backend
/// servers has some 70 datagrams, which take 80 ms on a link of 10 Mbit/s.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// `KeeperAction` is what the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Send a message to another balancer.
    Tell(SocketAddrV4, PeerMessage),
    /// Call the store, and give the reply to the keeper.
    Call(StoreKind, StoreCall),
}

/// `BackendNews` is what the store says of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendNews {
    /// The incarnation.
    pub instance: InstanceId,
    /// The store's revision at the change.
    pub revision: StoreRevision,
    /// Its entry; none if it was deleted.
    pub entry: Option<BackendEntry>,
}

/// `KnowledgeKeeper` decides when to ask the store and what to tell other balancers.
#[derive(Debug)]
pub struct KnowledgeKeeper {
    zone: ZoneName,
    peers: PeerTable,
    duty: WatchDuty,
    draw: SeededDraw,
    routes_follower: StoreFollower,
    backends_follower: StoreFollower,
    /// What the list that is being read has so far.
    listed: HashSet<InstanceId>,
    routes_parts: Option<PartAssembly<RoutesPart>>,
    backends_parts: Option<PartAssembly<BackendsPart>>,
    next_heartbeat: Instant,
    /// Whether something is new that others may not know.
    has_news: bool,
    /// Whether the next heartbeats ask those that know more to answer at once.
    asks: bool,
    /// Until when an answer of a peer is awaited; two at once would mix their parts.
    pulling_until: Option<Instant>,
    /// The backend servers that others were told to seem dead.
    told_suspects: Vec<InstanceId>,
    /// When the store last failed to answer this balancer or another one.
    last_failure: Option<Instant>,
    /// Whether a peer has told all that it remembers: the store does not tell which backend servers
    /// are gone, and their flows still come.
    has_history: bool,
    /// What was learned since it was last taken.
    decisions: Vec<Decision>,
    was_certain: bool,
}

impl KnowledgeKeeper {
    /// `new` knows nothing but the balancers that the settings name.
    #[must_use]
    pub fn new(options: &EntryOptions, now: Instant) -> Self {
        let EntryOptions { peer_address: own, seeds, seed, is_first_start, .. } = options;
        let own = *own;
        let zone = options.steering.zone.clone();
        let mut draw = SeededDraw::new(*seed);
        let duty = WatchDuty::new(own, zone.clone(), *is_first_start, draw.unit(), now);
        Self {
            zone,
            peers: PeerTable::new(own, seeds),
            duty,
            draw,
            routes_follower: StoreFollower::default(),
            backends_follower: StoreFollower::default(),
            listed: HashSet::new(),
            routes_parts: None,
            backends_parts: None,
            next_heartbeat: now,
            has_news: false,
            asks: true,
            pulling_until: None,
            told_suspects: Vec::new(),
            last_failure: None,
            has_history: false,
            decisions: Vec::new(),
            was_certain: false,
        }
    }

    /// `take_decisions` gives what was learned since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// `peer_count` gives the number of balancers that were heard of.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// `is_watching` tells whether this balancer follows the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.duty.is_on_duty()
    }

    /// `is_store_failing` tells whether the store does not answer this balancer.
    #[must_use]
    pub fn is_store_failing(&self) -> bool {
        self.routes_follower.is_failing() || self.backends_follower.is_failing()
    }

    /// `on_tick` gives what is due; to be called several times a second, and after each news.
    pub fn on_tick(
        &mut self,
        knowledge: &mut Knowledge,
        suspects: &[InstanceId],
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.expire_missing(knowledge, now);
        self.note_suspects(suspects);
        self.step_duty(knowledge, now);
        let mut actions = self.calls(knowledge, now);

        if self.has_news || self.next_heartbeat <= now {
            let lost = self.peers.forget_silent(now);
            self.decisions.extend(lost.into_iter().map(|peer| Decision::PeerLost { peer }));
            self.note_certainty(knowledge, now);
            actions.extend(self.heartbeats(knowledge, suspects, now));
        }
        actions
    }

    /// `on_pause` takes in that the process stood still: others may know more by now.
    pub fn on_pause(&mut self) {
        self.has_news = true;
        self.asks = true;
    }

    /// `on_seeds` takes in that the settings name other balancers than before.
    pub fn on_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.peers.set_seeds(seeds);
    }

    /// `next_due` gives when [`Self::on_tick`] has something to do at the latest.
    #[must_use]
    pub fn next_due(&self) -> Instant {
        let heartbeat = self.next_heartbeat;

        self.duty.next_due().map_or(heartbeat, |due| due.min(heartbeat))
    }

    /// Others are told of a new suspect at once.
    fn note_suspects(&mut self, suspects: &[InstanceId]) {
        self.has_news |= suspects.iter().any(|suspect| !self.told_suspects.contains(suspect));

        self.told_suspects = suspects.to_vec();
    }

    fn step_duty(&mut self, knowledge: &Knowledge, now: Instant) {
        let was_on_duty = self.duty.is_on_duty();
        let state = DutyState {
            is_answering: self.answering_since(now).is_some(),
            is_failing: self.is_store_failing(),
            is_complete: knowledge.is_complete() || knowledge.is_certain(now),
            has_zones: self.peers.hears_other_zones(now),
            recent_peers: self.peers.recent_count(now),
            draw: self.draw.unit(),
        };

        self.duty.step(state, now);
        let on_duty = self.duty.is_on_duty();
        if on_duty != was_on_duty {
            self.has_news |= on_duty;
            if on_duty {
                self.begin_following(knowledge, now);
            }
            let others = self.duty.others();
            self.decisions.push(Decision::WatchDuty { on_duty, others });
        }
    }

    /// Whether entries that go may be ones that lapsed in an outage, and return.
    fn is_unsettled(&self, now: Instant) -> bool {
        /// A failed call is followed by another one within 0.8 s, so that the store has returned by
        /// then if it answers.
        const RETRY_TIME: Duration = Duration::from_millis(800);

        self.last_failure
            .is_some_and(|at| now.saturating_duration_since(at) < RETRY_TIME + RETURN_TIME)
    }

    fn note_failure<T>(&mut self, reply: &StoreReply<T>, now: Instant) {
        if matches!(reply, StoreReply::Failed) {
            self.last_failure = Some(now);
        }
    }

    /// Where nobody has followed the store for a while, it may have been away.
    fn begin_following(&mut self, knowledge: &Knowledge, now: Instant) {
        /// Entries lapse after three heartbeats of some 0.8 s.
        const SHORTEST_LAPSE: Duration = Duration::from_secs(2);

        let confirmed_at = knowledge.confirmed_at();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= SHORTEST_LAPSE;
        if confirmed_at.is_some_and(is_old) {
            self.backends_follower.assume_outage();
        }
    }

    fn note_certainty(&mut self, knowledge: &Knowledge, now: Instant) {
        let is_certain = knowledge.is_certain(now);

        if is_certain != self.was_certain {
            self.was_certain = is_certain;
            let version = knowledge.routes.version;
            self.decisions.push(Decision::Certainty { is_certain, version });
        }
    }

    /// Keeps that something else is believed of a backend server, and tells others.
    fn note_backend(&mut self, knowledge: &Knowledge, instance: InstanceId, source: NewsSource) {
        self.has_news = true;
        let Some(entry) = knowledge.directory.get(instance) else { return };

        self.decisions.push(match entry.missing_until {
            Some(_) => Decision::BackendMissing { instance },
            None => Decision::BackendChanged {
                instance,
                revision: entry.revision,
                service: entry.service.clone(),
                phase: entry.phase,
                source,
            },
        });
    }

    /// Puts a configuration in force if it is newer, and tells others.
    fn take_routes(&mut self, knowledge: &mut Knowledge, routes: RouteMap, source: NewsSource) {
        let former = knowledge.routes.version;

        if knowledge.replace_routes(routes) {
            self.has_news = true;
            self.decisions.push(Decision::RoutesInForce {
                version: knowledge.routes.version,
                former,
                addresses: knowledge.routes.routes.len(),
                source,
            });
        }
    }

    fn expire_missing(&mut self, knowledge: &mut Knowledge, now: Instant) {
        for instance in knowledge.directory.expire_missing(now) {
            self.note_backend(knowledge, instance, NewsSource::Expiry);
        }
    }

    fn calls(&mut self, knowledge: &Knowledge, now: Instant) -> Vec<KeeperAction> {
        if !self.duty.is_on_duty() {
            return Vec::new();
        }

        let known_until = knowledge.directory.complete_until();
        let routes = self.routes_follower.next_call(0, now);
        let backends = self.backends_follower.next_call(known_until, now);
        let routes = routes.map(|call| KeeperAction::Call(StoreKind::Configuration, call));
        let backends = backends.map(|call| KeeperAction::Call(StoreKind::Backends, call));
        routes.into_iter().chain(backends).collect()
    }

    /// When the store last answered this balancer, for both kinds; none while it does not.
    fn answering_since(&self, now: Instant) -> Option<Instant> {
        /// One watch, and a slow answer.
        const ANSWER_LIFE: Duration = Duration::from_millis(2_500);

        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= ANSWER_LIFE;
        self.answered_at().filter(is_recent).filter(|_| !self.is_store_failing())
    }

    /// When the store last answered for the kind that it answered longer ago.
    fn answered_at(&self) -> Option<Instant> {
        let routes = self.routes_follower.last_answer()?;
        let backends = self.backends_follower.last_answer()?;

        Some(routes.min(backends))
    }

    fn heartbeats(
        &mut self,
        knowledge: &Knowledge,
        suspects: &[InstanceId],
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.has_news = false;
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let is_ignorant = !knowledge.is_complete() && !knowledge.is_certain(now);
        let asks = std::mem::take(&mut self.asks) || is_ignorant;
        let heartbeat = self.heartbeat(knowledge, suspects, asks, now);

        let chosen = self.peers.choose(HEARTBEAT_FANOUT, &mut self.draw).into_iter();
        chosen
            .map(|peer| KeeperAction::Tell(peer, PeerMessage::Heartbeat(heartbeat.clone())))
            .collect()
    }

    fn heartbeat(
        &mut self,
        knowledge: &Knowledge,
        suspects: &[InstanceId],
        asks: bool,
        now: Instant,
    ) -> PeerHeartbeat {
        let draw = self.draw.below(1 << 16);

        PeerHeartbeat {
            zone: self.zone.clone(),
            asks,
            version: knowledge.routes.version,
            complete_until: knowledge.directory.complete_until(),
            changed_at: knowledge.directory.changed_at(),
            age_ms: knowledge.confirmed_at().map_or(u32::MAX, |at| millis_since(at, now)),
            outage_age_ms: self.last_failure.map_or(u32::MAX, |at| millis_since(at, now)),
            watchers: self.duty.sightings(self.answering_since(now), now),
            peers: self.peers.sample(PEERS_TOLD, draw, now),
            suspects: suspects.to_vec(),
        }
    }

    /// `on_message` takes a message of another balancer in.
    pub fn on_message(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        message: PeerMessage,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let is_new = self.peers.on_heard(sender, now);
        if is_new {
            self.decisions.push(Decision::PeerFound { peer: sender });
        }

        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.on_heartbeat(knowledge, sender, &heartbeat, is_new, now)
            }
            PeerMessage::Pull(pull) => answer_pull(knowledge, sender, pull, now),
            PeerMessage::Routes(part) => {
                self.on_routes_part(knowledge, sender, part);
                Vec::new()
            }
            PeerMessage::Backends(part) => {
                self.on_backends_part(knowledge, sender, part, now);
                Vec::new()
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        heartbeat: &PeerHeartbeat,
        is_new: bool,
        now: Instant,
    ) -> Vec<KeeperAction> {
        if heartbeat.zone != self.zone {
            self.peers.on_other_zone(now);
        }
        self.last_failure = self.last_failure.max(time_of_age(heartbeat.outage_age_ms, now));
        for peer in &heartbeat.peers {
            self.peers.on_told(*peer, now);
        }
        for sighting in &heartbeat.watchers {
            self.has_news |= self.duty.on_sighting(sighting, now);
        }

        let mut actions = Vec::new();
        let knows_less = heartbeat.version < knowledge.routes.version
            || heartbeat.complete_until < knowledge.directory.changed_at();
        if heartbeat.asks && (is_new || knows_less) {
            // One that has just started, or woken, learns at once whom it can ask.
            let answer = self.heartbeat(knowledge, &[], false, now);
            actions.push(KeeperAction::Tell(sender, PeerMessage::Heartbeat(answer)));
        }
        let directory = &mut knowledge.directory;
        // While entries are missing that may return, changes are known beyond what is complete.
        let has_changes = heartbeat.changed_at > directory.complete_until()
            && (heartbeat.complete_until > directory.complete_until()
                || heartbeat.changed_at > directory.changed_at());
        let knows_more = heartbeat.version > knowledge.routes.version
            || has_changes
            || !self.has_history && heartbeat.complete_until > 0;
        if knows_more {
            actions.extend(self.pull(knowledge, sender, now));
            return actions;
        }

        // Nothing has changed after what is known here, so it is complete as far as the peer's is.
        directory.complete(heartbeat.complete_until);
        if heartbeat.version == knowledge.routes.version
            && heartbeat.complete_until == directory.complete_until()
        {
            knowledge.confirm(time_of_age(heartbeat.age_ms, now));
        }
        actions
    }

    fn pull(
        &mut self,
        knowledge: &Knowledge,
        sender: SocketAddrV4,
        now: Instant,
    ) -> Option<KeeperAction> {
        if self.pulling_until.is_some_and(|until| until > now) {
            return None;
        }

        self.pulling_until = Some(now + PULL_TIMEOUT);
        self.duty.on_telling_peer(now);
        let pull = KnowledgePull {
            version: knowledge.routes.version,
            complete_until: if self.has_history { knowledge.directory.complete_until() } else { 0 },
        };
        Some(KeeperAction::Tell(sender, PeerMessage::Pull(pull)))
    }

    fn on_routes_part(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        part: RoutesPart,
    ) {
        let (version, number) = (part.version, part.part);
        if version <= knowledge.routes.version {
            return;
        }

        let parts = PartAssembly::add(&mut self.routes_parts, sender, version, number, part);
        if let Some(parts) = parts {
            // At a start the backend servers are still to come from the same peer.
            if self.has_history {
                self.pulling_until = None;
            }
            self.take_routes(knowledge, routes_of(parts), NewsSource::Peer(sender));
        }
    }

    fn on_backends_part(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        part: BackendsPart,
        now: Instant,
    ) {
        let (after, until, number) = (part.after, part.until, part.part);
        let parts = PartAssembly::add(&mut self.backends_parts, sender, until, number, part);
        let Some(parts) = parts else { return };

        self.pulling_until = None;
        self.has_history |= after == 0;
        let mut listed = HashSet::new();
        let mut changed = Vec::new();
        let directory = &mut knowledge.directory;
        for entry in parts.into_iter().flat_map(|part| entries_of(part, now)) {
            let instance = entry.instance;
            listed.insert(instance);
            if !directory.is_obsolete(&entry) && directory.put(entry) {
                changed.push(instance);
            }
        }
        if after == 0 && until > directory.complete_until() {
            changed.extend(directory.retain_listed(&listed, until, None, now));
        }
        if after <= directory.complete_until() {
            directory.complete(until);
        }
        for instance in changed {
            self.note_backend(knowledge, instance, NewsSource::Peer(sender));
        }
    }

    /// `on_routes_reply` takes the store's answer about the configuration in.
    pub fn on_routes_reply(
        &mut self,
        knowledge: &mut Knowledge,
        reply: StoreReply<RouteMap>,
        now: Instant,
    ) {
        self.note_failure(&reply, now);
        let was_failing = self.routes_follower.is_failing();
        let news = self.routes_follower.on_reply(reply, now);
        let is_failing = self.routes_follower.is_failing();
        self.note_link(StoreKind::Configuration, was_failing, is_failing);

        for routes in news.objects {
            self.take_routes(knowledge, routes, NewsSource::Store);
        }
        self.confirm(knowledge);
    }

    /// Takes in that the store has confirmed what is known.
    fn confirm(&mut self, knowledge: &mut Knowledge) {
        if let Some(at) = self.answered_at() {
            knowledge.confirm(Some(at));
            self.has_news |= self.duty.on_answer(at);
        }
    }

    fn note_link(&mut self, kind: StoreKind, was_failing: bool, is_failing: bool) {
        if was_failing != is_failing {
            self.decisions.push(Decision::StoreLink { kind, answers: !is_failing });
        }
    }

    /// `on_backends_reply` takes the store's answer about backend servers in.
    pub fn on_backends_reply(
        &mut self,
        knowledge: &mut Knowledge,
        reply: StoreReply<BackendNews>,
        now: Instant,
    ) {
        self.note_failure(&reply, now);
        let was_failing = self.backends_follower.is_failing();
        let news = self.backends_follower.on_reply(reply, now);
        let is_failing = self.backends_follower.is_failing();
        self.note_link(StoreKind::Backends, was_failing, is_failing);
        let begins = matches!(
            news.completes,
            Completeness::ListBegins | Completeness::ListEnds { single_page: true, .. }
        );
        if begins {
            self.listed.clear();
        }

        let directory = &mut knowledge.directory;
        let may_return = self.is_unsettled(now);
        let mut changed = Vec::new();
        for change in news.objects {
            self.listed.insert(change.instance);
            let is_news = match change.entry {
                Some(entry) => directory.put(entry),
                None if may_return => directory.mark_missing(change.instance, now + RETURN_TIME),
                None => directory.mark_gone(change.instance, change.revision, now),
            };
            if is_news {
                changed.push(change.instance);
            }
        }
        changed.extend(self.complete(knowledge, news.completes, now));
        for instance in changed {
            self.note_backend(knowledge, instance, NewsSource::Store);
        }
        self.confirm(knowledge);
    }

    /// Takes in what a reply completes; gives the backend servers that it shows to be gone.
    fn complete(
        &mut self,
        knowledge: &mut Knowledge,
        completes: Completeness,
        now: Instant,
    ) -> Vec<InstanceId> {
        let directory = &mut knowledge.directory;

        match completes {
            Completeness::Unchanged | Completeness::ListBegins => Vec::new(),
            Completeness::Until(revision) => {
                directory.complete(revision);
                Vec::new()
            }
            Completeness::ListEnds { revision, after_outage, .. } => {
                let may_return = after_outage || self.is_unsettled(now);
                let missing_until = may_return.then(|| now + RETURN_TIME);
                let absent = directory.retain_listed(&self.listed, revision, missing_until, now);
                directory.complete(revision);
                self.has_news = true;
                absent
            }
        }
    }
}

/// Tells a balancer what it does not know.
fn answer_pull(
    knowledge: &Knowledge,
    sender: SocketAddrV4,
    pull: KnowledgePull,
    now: Instant,
) -> Vec<KeeperAction> {
    let mut messages = Vec::new();

    if knowledge.routes.version > pull.version {
        messages.extend(routes_messages(&knowledge.routes));
    }
    let directory = &knowledge.directory;
    if directory.is_complete()
        && (directory.changed_at() > pull.complete_until || pull.complete_until == 0)
    {
        messages.extend(backends_messages(directory, pull.complete_until, now));
    }
    messages.into_iter().map(|message| KeeperAction::Tell(sender, message)).collect()
}
