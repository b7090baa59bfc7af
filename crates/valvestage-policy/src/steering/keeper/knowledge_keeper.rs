//! Keeping knowledge up to date, from the store and from other balancers.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use super::keeper_action::KeeperAction;
use super::keeper_exchange::KeeperExchange;
use super::keeper_updates::KeeperUpdates;
use crate::steering::decision::{Decision, UpdateSource};
use crate::steering::entry_policy::EntryOptions;
use crate::steering::health::refutation_queue::{SuspicionMessages, receivers_of};
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::route_map::RouteMap;
use crate::steering::peers::backend_parts::requested_entries_message;
use crate::steering::peers::peer_message::{
    BalancerReport, PeerHeartbeat, PeerMessage, SuspicionRefutation,
};
use crate::steering::peers::peer_table::{PeerTable, RECENTLY_HEARD_WITHIN};
use crate::steering::peers::zone_members::ZoneMembers;
use crate::steering::seeded_draw::SeededDraw;
use crate::steering::store::evacuation_follower::EvacuationUpdate;
use crate::steering::store::store_follower::{StoreKind, StoreReply};
use crate::steering::store::store_link::{BackendUpdate, FollowerState, StoreLink};
use crate::steering::store::watch_role::{RoleInputs, WatchRole, millis_since, time_of_age};

/// Time between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Number of balancers that each round of heartbeats goes to. 4 every 400 ms are some 2 KB per
/// second, half of what control traffic may cost a VM. An update reaches 420 balancers in five
/// rounds, and is passed on at once.
const HEARTBEAT_FANOUT: usize = 4;

/// How long a token that a heartbeat names counts as unresolved at its sender: two rounds of
/// heartbeats.
const UNRESOLVED_TOKEN_TTL: Duration = Duration::from_millis(800);

/// Number of balancers named in a heartbeat.
const PEERS_PER_HEARTBEAT: usize = 4;

/// Decides when to call the store and what to send to other balancers.
#[derive(Debug)]
pub struct KnowledgeKeeper {
    zone: ZoneName,
    peers: PeerTable,
    role: WatchRole,
    draw: SeededDraw,
    store: StoreLink,
    exchange: KeeperExchange,
    next_heartbeat: Instant,
    /// Whether the next heartbeats ask balancers that know more to answer at once.
    wants_answer: bool,
    updates: KeeperUpdates,
    /// Whether a heartbeat has arrived from a balancer that has a configuration and has read all
    /// backend servers.
    has_complete_peer: bool,
    /// Until when packets are likely to wait at other balancers for entries of tokens that this
    /// balancer cannot resolve either.
    resolving_for_peers_until: Option<Instant>,
}

impl KnowledgeKeeper {
    /// Creates a keeper that knows only the balancers that the settings name.
    #[must_use]
    pub fn new(options: &EntryOptions, now: Instant) -> Self {
        let EntryOptions { peer_address: own, seeds, seed, is_first_start, .. } = options;
        let own = *own;
        let zone = options.steering.zone.clone();
        let mut draw = SeededDraw::new(*seed);
        let role = WatchRole::new(own, zone.clone(), *is_first_start, draw.unit(), now);

        Self {
            zone,
            peers: PeerTable::new(own, seeds, now),
            role,
            draw,
            store: StoreLink::new(options.evacuable_zones.clone(), now),
            exchange: KeeperExchange::new(options.link_mbps),
            next_heartbeat: now,
            wants_answer: true,
            updates: KeeperUpdates::default(),
            has_complete_peer: false,
            resolving_for_peers_until: None,
        }
    }

    /// Returns what was learned since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.updates.take_decisions()
    }

    /// Returns the number of known balancers.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Reports whether this balancer follows the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.role.is_watching()
    }

    /// Returns the actions that are due. To be called several times a second, and after each
    /// update.
    pub fn on_tick(
        &mut self,
        knowledge: &mut Knowledge,
        report: &BalancerReport,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.extend_missing_deadlines(knowledge);
        self.resolve_conflicts(knowledge, now);
        self.resolve_named_services(knowledge, now);
        self.step_role(knowledge, now);
        let packets_wait = !report.unresolved_tokens.is_empty()
            || self.resolving_for_peers_until.is_some_and(|until| until > now);
        let mut actions = self.store_calls(knowledge, packets_wait, now);
        actions.extend(self.exchange.on_tick(knowledge, &mut self.updates, now));

        if self.updates.is_notification_due() || self.next_heartbeat <= now {
            for peer in self.peers.forget_silent(now) {
                self.updates.record(Decision::PeerLost { peer });
            }
            self.updates.record_certainty(knowledge, knowledge.is_certain(now));
            actions.extend(self.heartbeats(knowledge, report, now));
        }
        actions
    }

    /// Returns the actions that send messages about suspicions. Queries go to balancers that were
    /// heard from recently. The next heartbeats wait for as long as the messages take of the control
    /// traffic.
    pub fn send_suspicion_messages(
        &mut self,
        messages: SuspicionMessages,
        now: Instant,
    ) -> Vec<KeeperAction> {
        /// What control traffic may cost a VM.
        const BYTES_PER_SECOND: u32 = 4_000;
        self.next_heartbeat += Duration::from_secs(1) * messages.bytes() / BYTES_PER_SECOND;
        let SuspicionMessages { query, acknowledgements, refutations } = messages;
        let mut actions = Vec::new();

        if let Some(query) = query {
            let draw = self.draw.below(1 << 16);
            let asked = self.peers.sample_recent(receivers_of(&query).into(), draw, now);
            let query = PeerMessage::SuspicionQuery(query);
            actions.extend(asked.into_iter().map(|peer| KeeperAction::Send(peer, query.clone())));
        }
        let mut answers: BTreeMap<SocketAddrV4, SuspicionRefutation> = BTreeMap::new();
        for (peer, number) in acknowledgements {
            answers.entry(peer).or_default().acknowledged = Some(number);
        }
        for (peer, alive) in refutations {
            answers.entry(peer).or_default().alive = alive;
        }
        actions.extend(
            answers
                .into_iter()
                .map(|(peer, answer)| KeeperAction::Send(peer, PeerMessage::Refutation(answer))),
        );
        actions
    }

    /// Reports whether another balancer is known. If none was heard from recently, the link of this
    /// one may have failed.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Handles a pause of the process: other balancers may know more by now.
    pub fn on_pause(&mut self, now: Instant) {
        self.updates.notify_if(true);
        self.wants_answer = true;
        self.peers.mark_unsettled(now);
    }

    /// Returns the balancers of this availability zone.
    #[must_use]
    pub fn zone_members(&self, now: Instant) -> ZoneMembers {
        self.peers.zone_members(&self.zone, now)
    }

    /// Replaces the balancers that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.peers.set_seeds(seeds);
    }

    /// Returns when [`Self::on_tick`] has to be called at the latest.
    #[must_use]
    pub fn next_due(&self) -> Instant {
        let others = self.role.next_due().into_iter().chain(self.exchange.next_due());

        others.fold(self.next_heartbeat, Instant::min)
    }

    fn step_role(&mut self, knowledge: &Knowledge, now: Instant) {
        let was_watching = self.role.is_watching();
        let inputs = RoleInputs {
            is_answering: self.store.recent_answer_at(now).is_some(),
            is_failing: self.store.is_attempt_failing(),
            is_complete: knowledge.is_complete() || knowledge.is_certain(now),
            hears_other_zones: knowledge.contacts.hears_others(RECENTLY_HEARD_WITHIN, now),
            page_time: self.store.page_time(),
            has_complete_peer: self.has_complete_peer,
            is_receiving_answer: self.exchange.is_receiving_backends(now),
            // Needed only by a follower that may give up its role.
            recent_peers: if was_watching { self.peers.recent_count(now) } else { 0 },
            draw: self.draw.unit(),
        };

        self.role.step(inputs, now);
        let is_watching = self.role.is_watching();
        if is_watching != was_watching {
            self.updates.notify_if(is_watching);
            if is_watching {
                self.store.prepare_to_follow(knowledge, now);
            }
            let others = self.role.other_follower_count();
            self.updates.record(Decision::WatchRole { is_watching, others });
        }
    }

    /// Applies the conflicting entries that the store still shows once their time is over, and
    /// notifies other balancers. They wait for the same confirmation by the store, and receive it
    /// with the heartbeat that notifies them.
    fn resolve_conflicts(&mut self, knowledge: &mut Knowledge, now: Instant) {
        let confirmed_at = knowledge.confirmed_at();
        let admitted = knowledge.directory.resolve_conflicts(confirmed_at, now);

        self.updates.notify_if(!admitted.is_empty());
        for instance in admitted {
            self.updates.record_backend(knowledge, instance, UpdateSource::Store);
        }
    }

    /// Ends the backend servers whose successors' services have become known. Every other balancer
    /// concludes the same from its own configuration.
    fn resolve_named_services(&mut self, knowledge: &mut Knowledge, now: Instant) {
        for instance in knowledge.directory.resolve_named_services(now) {
            self.updates.record_backend(knowledge, instance, UpdateSource::Store);
        }
    }

    /// Extends the deadlines of missing entries. Their time to return counts from the store's last
    /// failure, since the store may have been unavailable again before they could return.
    fn extend_missing_deadlines(&self, knowledge: &mut Knowledge) {
        if let Some(at) = self.store.settles_at() {
            knowledge.settle_at(at);
        }
    }

    fn store_calls(
        &mut self,
        knowledge: &Knowledge,
        packets_wait: bool,
        now: Instant,
    ) -> Vec<KeeperAction> {
        if !self.role.is_watching() {
            return Vec::new();
        }

        let hears_other_zones = knowledge.contacts.hears_others(RECENTLY_HEARD_WITHIN, now);
        let keeps_watching = self.role.keeps_watching(hears_other_zones);
        let follower =
            FollowerState { keeps_watching, packets_wait, is_alone: self.peers.is_empty() };
        let calls = self.store.calls(knowledge, follower, now).into_iter();
        calls.map(|(kind, call)| KeeperAction::Call(kind, call)).collect()
    }

    fn heartbeats(
        &mut self,
        knowledge: &Knowledge,
        report: &BalancerReport,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.updates.on_notified();
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let is_ignorant = !knowledge.is_complete() && !knowledge.is_certain(now);
        let wants_answer = std::mem::take(&mut self.wants_answer) || is_ignorant;
        let heartbeat = self.heartbeat(knowledge, Some(report), wants_answer, now);

        let chosen = self.peers.next_in_turn(HEARTBEAT_FANOUT, &mut self.draw).into_iter();
        chosen
            .map(|peer| KeeperAction::Send(peer, PeerMessage::Heartbeat(heartbeat.clone())))
            .collect()
    }

    fn heartbeat(
        &mut self,
        knowledge: &Knowledge,
        report: Option<&BalancerReport>,
        wants_answer: bool,
        now: Instant,
    ) -> PeerHeartbeat {
        let draw = self.draw.below(1 << 16);
        let outage = self.store.last_failure();

        PeerHeartbeat {
            zone: self.zone.clone(),
            wants_answer,
            version: knowledge.routes.version,
            complete_until: knowledge.directory.complete_until(),
            changed_at: knowledge.directory.changed_at(),
            era_head: knowledge.directory.era_head(),
            live_digest: knowledge.directory.live_digest(),
            age_ms: knowledge.confirmed_at().map_or(u32::MAX, |at| millis_since(at, now)),
            outage_age_ms: outage.map_or(u32::MAX, |at| millis_since(at, now)),
            watchers: self.role.sightings(
                self.store.recent_answer_at(now),
                self.store.page_time(),
                now,
            ),
            peers: self.peers.sample_recent(PEERS_PER_HEARTBEAT, draw, now),
            evacuations: knowledge.evacuated.report(),
            health: report.map(|report| report.health.clone()).unwrap_or_default(),
            demands: report.map(|report| report.demands.clone()),
            loads: report.map(|report| report.loads.clone()).unwrap_or_default(),
            unresolved_tokens: report
                .map(|report| report.unresolved_tokens.clone())
                .unwrap_or_default(),
        }
    }

    /// Handles a message of another balancer.
    pub fn on_message(
        &mut self,
        knowledge: &mut Knowledge,
        sender: SocketAddrV4,
        message: PeerMessage,
        now: Instant,
    ) -> Vec<KeeperAction> {
        let is_new = self.peers.on_heard(sender, now);
        if is_new {
            self.updates.record(Decision::PeerFound { peer: sender });
        }

        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.on_heartbeat(knowledge, sender, &heartbeat, is_new, now)
            }
            message => {
                let missing_until = self.store.missing_until(now);
                let Self { exchange, updates, .. } = self;
                let actions =
                    exchange.on_message(knowledge, updates, (sender, message), missing_until, now);
                if exchange.take_has_unexpected_end() && self.role.is_watching() {
                    self.store.verify_ends(now);
                }
                actions
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
        self.peers.on_zone(sender, &heartbeat.zone);
        if heartbeat.zone != self.zone {
            knowledge.contacts.on_heard(&heartbeat.zone, now);
        }
        knowledge.note_peer_version(heartbeat.version, now);
        self.store.merge_peer_failure(time_of_age(heartbeat.outage_age_ms, now));
        self.store.enter_era(heartbeat.era_head.era, now);
        knowledge.directory.record_list_position(heartbeat.era_head, now);
        self.has_complete_peer |= heartbeat.version > 0 && !heartbeat.complete_until.is_start();
        for peer in &heartbeat.peers {
            self.peers.on_reported(*peer, now);
        }
        for sighting in &heartbeat.watchers {
            self.updates.notify_if(self.role.on_sighting(sighting, now));
        }
        let knows_evacuations = heartbeat.evacuations.is_some();
        if let Some(report) = heartbeat.evacuations.clone() {
            self.updates.apply_evacuations(knowledge, report, UpdateSource::Peer(sender), now);
        }

        let mut actions = Vec::new();
        let knows_less = heartbeat.version < knowledge.routes.version
            || heartbeat.complete_until < knowledge.directory.changed_at()
            || !knows_evacuations && knowledge.evacuated.is_known();
        if heartbeat.wants_answer && (is_new || knows_less) {
            // A balancer that has just started or resumed learns at once whom it can ask.
            let answer = self.heartbeat(knowledge, None, false, now);
            actions.push(KeeperAction::Send(sender, PeerMessage::Heartbeat(answer)));
        }
        let requested_entries =
            requested_entries_message(&knowledge.directory, &heartbeat.unresolved_tokens, now);
        if requested_entries.is_none() && !heartbeat.unresolved_tokens.is_empty() {
            self.resolving_for_peers_until = Some(now + UNRESOLVED_TOKEN_TTL);
        }
        actions.extend(requested_entries.map(|message| KeeperAction::Send(sender, message)));
        let Self { exchange, updates, .. } = self;
        if exchange.knows_more(knowledge, heartbeat) {
            knowledge.note_behind(now);
            let pulls = exchange.pull_updates(knowledge, updates, (sender, heartbeat), now);
            if !pulls.is_empty() {
                self.role.on_pull_sent(now);
            }
            actions.extend(pulls);
            return actions;
        }

        actions.extend(exchange.compare(knowledge, updates, (sender, heartbeat), now));
        // The peer knows no change that is not known here, so the knowledge here is complete up to
        // the same position as the peer's.
        let directory = &mut knowledge.directory;
        directory.complete(heartbeat.complete_until);
        if heartbeat.version == knowledge.routes.version
            && heartbeat.complete_until == directory.complete_until()
            && knowledge.knows_evacuations()
        {
            knowledge.note_caught_up();
            knowledge.confirm(time_of_age(heartbeat.age_ms, now));
        }
        actions
    }

    /// Handles a reply of the store about the configuration.
    pub fn on_routes_reply(
        &mut self,
        knowledge: &mut Knowledge,
        reply: StoreReply<RouteMap>,
        now: Instant,
    ) {
        let was_failing = self.store.is_kind_failing(StoreKind::Configuration);
        let updates = self.store.on_routes_reply(reply, now);

        self.record_link_state(StoreKind::Configuration, was_failing);
        for routes in updates {
            self.updates.apply_routes(knowledge, routes, UpdateSource::Store);
        }
        self.confirm(knowledge);
    }

    /// Handles a reply of the store about evacuated zones.
    pub fn on_evacuations_reply(
        &mut self,
        knowledge: &mut Knowledge,
        reply: StoreReply<EvacuationUpdate>,
        now: Instant,
    ) {
        let was_failing = self.store.is_kind_failing(StoreKind::Evacuations);
        let report = self.store.on_evacuations_reply(knowledge, reply, now);

        self.record_link_state(StoreKind::Evacuations, was_failing);
        if let Some(report) = report {
            self.updates.apply_evacuations(knowledge, report, UpdateSource::Store, now);
        }
        self.confirm(knowledge);
    }

    /// Records that the store has confirmed the knowledge.
    fn confirm(&mut self, knowledge: &mut Knowledge) {
        if let Some(at) = self.store.answered_at() {
            knowledge.confirm(Some(at));
            self.updates.notify_if(self.role.on_answer(at));
        }
    }

    fn record_link_state(&mut self, kind: StoreKind, was_failing: bool) {
        let is_failing = self.store.is_kind_failing(kind);
        for decision in self.store.take_decisions() {
            self.updates.record(decision);
        }

        if was_failing != is_failing {
            self.updates.record(Decision::StoreLink { kind, answers: !is_failing });
        }
    }

    /// Handles a reply of the store about backend servers.
    pub fn on_backends_reply(
        &mut self,
        knowledge: &mut Knowledge,
        reply: StoreReply<BackendUpdate>,
        now: Instant,
    ) {
        let was_complete = knowledge.directory.is_complete();
        let era = knowledge.directory.changed_at().era;
        let was_failing = self.store.is_kind_failing(StoreKind::Backends);
        let had_page = self.store.page_time().is_some();
        let changed = self.store.on_backends_reply(knowledge, reply, now);

        self.record_link_state(StoreKind::Backends, was_failing);
        // Other balancers leave the reading of a long list to those that read it faster, so they
        // are notified of the time of the first page.
        self.updates.notify_if(!had_page && self.store.page_time().is_some());
        let is_complete_now = knowledge.directory.is_complete() != was_complete;
        let is_new_era = knowledge.directory.changed_at().era > era;
        self.updates.notify_if(is_complete_now || is_new_era || !changed.is_empty());
        for instance in changed {
            self.updates.record_backend(knowledge, instance, UpdateSource::Store);
        }
        self.confirm(knowledge);
    }
}
