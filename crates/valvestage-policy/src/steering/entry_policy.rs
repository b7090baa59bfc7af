//! The policy of one entry VM as a whole.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use crate::steering::decision::{AnswerTime, Decision};
use crate::steering::keeper::keeper_action::KeeperAction;
use crate::steering::keeper::knowledge_keeper::KnowledgeKeeper;
use crate::steering::knowledge::lapse::RETURN_TIME;
use crate::steering::knowledge::route_map::RouteMap;
use crate::steering::knowledge::{CATCH_UP_TIME, Knowledge};
use crate::steering::packets::caller_packet::{CallerPacket, PacketVerdict};
use crate::steering::packets::flow_reset::FlowReset;
use crate::steering::packets::steering_policy::SteeringPolicy;
use crate::steering::peers::peer_message::{BalancerReport, PeerMessage};
use crate::steering::placement::steering_options::SteeringOptions;
use crate::steering::store::evacuation_follower::EvacuationUpdate;
use crate::steering::store::store_follower::StoreReply;
use crate::steering::store::store_link::BackendUpdate;

/// Interval at which outdated records are removed.
const CLEANING_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A stall of at least this length counts as a pause of the process. Ticks come at least every
/// 100 ms, and somewhat later on a slow or busy VM.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// A gap between two ticks of at least this length counts as a stall, after which packets may have
/// arrived that have not been read yet: two ticks of [`TICK_INTERVAL`] were missed. It is shorter
/// than the 400 ms after which a request is overdue at the earliest, so that unread
/// acknowledgements are not taken for missing ones.
const MIN_STALL: Duration = Duration::from_millis(300);

/// A balancer may be cut off from the store if the store has confirmed nothing to it for this time,
/// neither directly nor through other balancers. Confirmations come every 1.5 s, and within 3.3 s
/// if the balancers that follow the store have died.
const ISOLATED_AFTER: Duration = Duration::from_millis(3_500);

/// A balancer may be cut off from the other availability zones if it has heard from none of their
/// balancers for this time. Each balancer sends a heartbeat to four other balancers every 400 ms.
const ZONE_SILENCE: Duration = Duration::from_millis(1_500);

/// Start-up options of a balancer.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Limits and weights of steering, including the availability zone of this VM.
    pub steering: SteeringOptions,
    /// Address at which this balancer receives messages from its peers.
    pub peer_address: SocketAddrV4,
    /// Addresses at which some of the other balancers may receive messages.
    pub seeds: Vec<SocketAddrV4>,
    /// Bandwidth of the VM's uplink in megabits per second.
    pub link_mbps: f64,
    /// The availability zones that operators may evacuate; `None` if this deployment has no
    /// evacuations.
    pub evacuable_zones: Option<BTreeSet<ZoneName>>,
    /// Whether the whole deployment starts for the first time, in which case no peer knows
    /// anything.
    pub is_first_start: bool,
    /// Seed of all random draws.
    pub seed: u64,
}

/// An interval in which the process was stalled.
#[derive(Debug, Clone, Copy)]
struct Stall {
    /// Time of the last tick before the interval.
    since: Instant,
    /// Time until which messages that arrived in the interval may be read; later than `since`.
    read_until: Instant,
}

/// Steers packets by the knowledge that it keeps up to date.
#[derive(Debug)]
pub struct EntryPolicy {
    knowledge: Knowledge,
    /// Whether there are other availability zones that can take over when operators evacuate this
    /// one.
    has_other_zones: bool,
    steering: SteeringPolicy,
    keeper: KnowledgeKeeper,
    next_tick: Instant,
    next_cleaning: Instant,
    last_tick: Instant,
    /// When enough was first known to place flows.
    complete_since: Option<Instant>,
    /// Whether this balancer has had the newest configuration that its peers reported, or has waited
    /// for it long enough.
    has_caught_up: bool,
    /// Whether a stall since the last tick has been noted already.
    is_gap_noted: bool,
    /// The latest interval in which the process was stalled.
    stall: Option<Stall>,
    /// The report to other balancers on what is seen here, as of the last tick.
    report: BalancerReport,
    /// Decisions since the last call of [`Self::take_decisions`].
    decisions: Vec<Decision>,
}

impl EntryPolicy {
    /// Creates a policy that knows nothing yet.
    #[must_use]
    pub fn new(options: EntryOptions, now: Instant) -> Self {
        let mut knowledge = Knowledge::default();
        knowledge.set_packets_seen_from(now);
        knowledge.set_entry_times(options.steering.entry_times);
        if options.evacuable_zones.is_some() {
            knowledge.await_evacuations();
        }
        let zones = options.evacuable_zones.as_ref();
        let has_other_zones = zones.is_some_and(|zones| zones.len() > 1);

        Self {
            knowledge,
            has_other_zones,
            keeper: KnowledgeKeeper::new(&options, now),
            steering: SteeringPolicy::new(options.steering, options.seed),
            next_tick: now,
            next_cleaning: now + CLEANING_INTERVAL,
            last_tick: now,
            complete_since: None,
            has_caught_up: false,
            is_gap_noted: false,
            stall: None,
            report: BalancerReport::default(),
            decisions: Vec::new(),
        }
    }

    /// Reports whether enough is known to place flows. After the start, the configuration also has to
    /// be as new as the newest one that a peer has reported.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.knowledge.is_complete() && self.has_caught_up
    }

    /// Updates whether this balancer has caught up with its peers since its start. It does not wait
    /// for a newer configuration for longer than it takes to pull one: the peer may have gone, and
    /// while configurations follow each other, a newer one is reported again and again.
    fn update_caught_up(&mut self, now: Instant) {
        if self.has_caught_up || !self.knowledge.is_complete() {
            return;
        }

        let complete_since = *self.complete_since.get_or_insert(now);
        self.has_caught_up =
            self.knowledge.has_newest_routes(now) || complete_since + CATCH_UP_TIME <= now;
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.decisions);

        decisions.extend(self.keeper.take_decisions());
        decisions.extend(self.steering.take_decisions());
        decisions
    }

    /// Returns the answers of backend servers observed since the last call.
    pub fn take_answers(&mut self) -> Vec<AnswerTime> {
        self.steering.take_answers()
    }

    /// Returns the resets to be sent since the last call, apart from those that are verdicts on
    /// packets.
    pub fn take_resets(&mut self) -> Vec<FlowReset> {
        self.steering.take_resets()
    }

    /// Returns what is known about routes and backend servers.
    #[must_use]
    pub fn knowledge(&self) -> &Knowledge {
        &self.knowledge
    }

    /// Returns the keeper of the knowledge, for inspection.
    #[must_use]
    pub fn keeper(&self) -> &KnowledgeKeeper {
        &self.keeper
    }

    /// Returns the steering policy, which holds the flow state.
    #[must_use]
    pub fn steering(&self) -> &SteeringPolicy {
        &self.steering
    }

    /// Decides about a packet of a caller.
    pub fn on_packet(&mut self, packet: &CallerPacket, now: Instant) -> PacketVerdict {
        self.note_gap(now);

        self.steering.on_packet(&self.knowledge, packet, now)
    }

    /// Reports whether enough is known to decide about a packet that was held back.
    #[must_use]
    pub fn can_decide(&self, packet: &CallerPacket) -> bool {
        self.steering.can_decide(&self.knowledge, packet)
    }

    /// Records that the hold time of a packet has ended before what it needs became known, or that
    /// there was no room to hold it.
    pub fn on_hold_expired(&mut self, packet: &CallerPacket, now: Instant) {
        self.steering.on_hold_expired(&self.knowledge, packet, now);
    }

    /// Handles a message of another balancer.
    pub fn on_message(
        &mut self,
        sender: SocketAddrV4,
        mut message: PeerMessage,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.note_gap(now);
        if let PeerMessage::Heartbeat(heartbeat) = &mut message {
            if let Some(stall) = self.stall.filter(|stall| stall.read_until > now) {
                heartbeat.add_age(now.saturating_duration_since(stall.since));
            }
            self.steering.on_peer_health(sender, &heartbeat.health, now);
            let paces = &heartbeat.health.paces;
            self.steering.on_peer_paces(&self.knowledge, sender, paces, now);
            if let Some(demands) = &heartbeat.demands {
                self.steering.on_peer_demand(sender, &heartbeat.zone, demands, now);
                self.steering.on_peer_load(sender, &heartbeat.zone, &heartbeat.loads, now);
            }
        }
        self.on_suspicion_message(sender, &mut message, now);

        let mut actions = self.keeper.on_message(&mut self.knowledge, sender, message, now);
        actions.extend(self.suspicion_messages(now));
        actions.extend(self.step_keeper(now));
        actions
    }

    /// Handles a message about suspicions other than a heartbeat.
    fn on_suspicion_message(
        &mut self,
        sender: SocketAddrV4,
        message: &mut PeerMessage,
        now: Instant,
    ) {
        match message {
            PeerMessage::SuspicionQuery(query) => {
                self.steering.on_suspicion_query(sender, query, now);
            }
            PeerMessage::Refutation(refutation) => {
                if let Some(stall) = self.stall.filter(|stall| stall.read_until > now) {
                    refutation.add_age(now.saturating_duration_since(stall.since));
                }
                self.steering.on_refutation(sender, refutation, now);
                // Heartbeats before the next tick would report the refuted suspicion again.
                self.report = self.steering.report(now);
            }
            _ => {}
        }
    }

    /// Returns the actions that send queries and refutations.
    fn suspicion_messages(&mut self, now: Instant) -> Vec<KeeperAction> {
        let messages = self.steering.take_suspicion_messages(now);
        let actions = self.keeper.send_suspicion_messages(messages, now);

        self.note_told(&actions, now);
        actions
    }

    /// Records which balancers are told of suspicions, so that they are told of their ends.
    fn note_told(&mut self, actions: &[KeeperAction], now: Instant) {
        for action in actions {
            match action {
                KeeperAction::Send(peer, PeerMessage::SuspicionQuery(query)) => {
                    self.steering.on_told(*peer, &query.suspects, now);
                }
                KeeperAction::Send(peer, PeerMessage::Heartbeat(heartbeat)) => {
                    self.steering.on_told(*peer, &heartbeat.health.suspects, now);
                }
                _ => {}
            }
        }
    }

    /// Handles the store's reply about the configuration.
    pub fn on_routes_reply(
        &mut self,
        reply: StoreReply<RouteMap>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.keeper.on_routes_reply(&mut self.knowledge, reply, now);

        self.step_keeper(now)
    }

    /// Handles the store's reply about backend servers.
    pub fn on_backends_reply(
        &mut self,
        reply: StoreReply<BackendUpdate>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.keeper.on_backends_reply(&mut self.knowledge, reply, now);

        self.step_keeper(now)
    }

    /// Handles the store's reply about evacuated availability zones.
    pub fn on_evacuations_reply(
        &mut self,
        reply: StoreReply<EvacuationUpdate>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.keeper.on_evacuations_reply(&mut self.knowledge, reply, now);

        self.step_keeper(now)
    }

    /// Replaces the configured addresses of other balancers.
    pub fn on_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.keeper.set_seeds(seeds);
    }

    /// Returns the latest time at which [`Self::on_tick`] is to be called.
    #[must_use]
    pub fn next_due(&self) -> Instant {
        let suspicions = self.steering.next_due(self.last_tick);

        self.next_tick.min(self.keeper.next_due()).min(suspicions.unwrap_or(self.next_tick))
    }

    /// Performs all work that is due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<KeeperAction> {
        if now < self.next_due() {
            return Vec::new();
        }

        self.note_gap(now);
        self.steering.set_has_peers(self.keeper.has_peers());
        // After a stall, the acknowledgement that a request seems to miss, or the refutation of a
        // suspicion, may be among the packets and messages that are not read yet.
        if !std::mem::take(&mut self.is_gap_noted) {
            self.steering.judge_overdue(&self.knowledge, now);
            self.steering.end_silent_flows(&self.knowledge, now);
        }
        self.last_tick = now;
        self.next_tick = now + TICK_INTERVAL;
        self.update_zones(now);
        self.steering.update_demand(&self.knowledge, self.keeper.peer_count(), now);
        self.steering.update_load(&self.knowledge, self.keeper.peer_count(), now);
        self.steering.update_admission(&self.knowledge, now);
        self.steering.drop_resolved_tokens(&self.knowledge, now);
        self.report = self.steering.report(now);
        if self.next_cleaning <= now {
            self.next_cleaning = now + CLEANING_INTERVAL;
            self.steering.on_tick(&mut self.knowledge, now);
        }
        let mut actions = self.step_keeper(now);
        actions.extend(self.suspicion_messages(now));
        self.steering.reset_ended_flows(&mut self.knowledge, now);
        actions
    }

    /// Updates the shares of cold backend servers, releases the zones whose evacuation has ended,
    /// and updates whether this balancer is isolated.
    fn update_zones(&mut self, now: Instant) {
        if self.steering.has_cold_limit() {
            let members = self.keeper.zone_members(now);
            self.steering.update_cold_shares(&self.knowledge, &members, now);
        }

        for zone in self.knowledge.release_returning_zones(now) {
            self.decisions.push(Decision::ZoneReturned { zone });
        }
        let is_isolated = self.is_isolated(now);
        if self.knowledge.set_isolated(is_isolated) {
            self.decisions.push(Decision::Isolated { is_isolated });
        }
    }

    /// Reports whether this balancer is cut off, together with its availability zone, from all
    /// other zones and from the store. Operators may have evacuated the zone, but nothing else can
    /// serve its callers in that case.
    fn is_isolated(&self, now: Instant) -> bool {
        let is_unconfirmed = self.knowledge.age(now).is_some_and(|age| age >= ISOLATED_AFTER);
        let hears_others = self.knowledge.contacts.hears_others(ZONE_SILENCE, now);

        self.has_other_zones && is_unconfirmed && !hears_others
    }

    /// Records a stall if the process was stalled since the last tick, and a pause if the stall was
    /// long. Packets that arrived meanwhile are read before the next tick.
    fn note_gap(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if self.is_gap_noted || gap < MIN_STALL {
            return;
        }

        self.is_gap_noted = true;
        let read_until = now + TICK_INTERVAL;
        self.stall = Some(Stall { since: self.last_tick, read_until });
        self.steering.on_stall(read_until, now);
        // After a longer gap the knowledge is outdated, so other balancers are asked at once.
        if gap >= MIN_PAUSE {
            self.decisions.push(Decision::Paused { time: gap });
            // The store may have been unavailable in the meantime, so entries that lapsed before
            // get the full time to return.
            self.knowledge.settle_at(now + RETURN_TIME);
            self.keeper.on_pause(now);
            self.steering.on_pause();
        }
    }

    fn step_keeper(&mut self, now: Instant) -> Vec<KeeperAction> {
        let actions = self.keeper.on_tick(&mut self.knowledge, &self.report, now);

        self.update_caught_up(now);
        self.note_told(&actions, now);
        actions
    }
}
