//! All decisions of one entry VM.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use crate::steering::decision::{AnswerTime, Decision};
use crate::steering::keeper::keeper_action::KeeperAction;
use crate::steering::keeper::knowledge_keeper::KnowledgeKeeper;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::lapse::RETURN_TIME;
use crate::steering::knowledge::route_map::RouteMap;
use crate::steering::packets::caller_packet::{CallerPacket, PacketVerdict};
use crate::steering::packets::flow_reset::FlowReset;
use crate::steering::packets::steering_policy::SteeringPolicy;
use crate::steering::peers::peer_message::{BalancerReport, PeerMessage};
use crate::steering::placement::steering_options::SteeringOptions;
use crate::steering::store::evacuation_follower::EvacuationNews;
use crate::steering::store::store_follower::StoreReply;
use crate::steering::store::store_link::BackendNews;

/// Time between two rounds of forgetting what is too old.
const CLEANING_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A gap between two turns from which on the process counts as having been paused. Turns come at least
/// each 100 ms; a VM that is slow or busy takes some more.
const PAUSE: Duration = Duration::from_secs(1);

/// A gap between two turns from which on packets may have come that are not read yet: two turns of
/// [`TICK_INTERVAL`] were left out. Requests are missed after 400 ms at the earliest.
const STANDSTILL: Duration = Duration::from_millis(300);

/// A balancer that the store has not confirmed anything to for this time, through others or by itself, may be cut off from it.
/// Confirmations come every 1.5 s, and within 3.3 s where those who follow the store have died.
const ISOLATED_AFTER: Duration = Duration::from_millis(3_500);

/// And from other availability zones, if none of their balancers was heard for this time: four of all are told each 400 ms.
const SILENT_ZONES: Duration = Duration::from_millis(1_500);

/// `EntryOptions` is what a balancer is told at its start.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Limits and weights of steering, with the availability zone of this VM.
    pub steering: SteeringOptions,
    /// Where this balancer takes messages of others.
    pub peer_address: SocketAddrV4,
    /// Where some others may take messages.
    pub seeds: Vec<SocketAddrV4>,
    /// What the link of this VM sends, megabits a second.
    pub link_mbps: f64,
    /// The availability zones that operators may evacuate; none: they do not do so here.
    pub evacuable_zones: Option<BTreeSet<ZoneName>>,
    /// Whether the whole deployment starts for the first time: then no peer knows anything.
    pub is_first_start: bool,
    /// Seed of all draws.
    pub seed: u64,
}

/// A time in which the process stood still.
#[derive(Debug, Clone, Copy)]
struct Standstill {
    /// When it had its last turn before.
    since: Instant,
    /// Until when messages that came meanwhile may be read. After `since`.
    read_until: Instant,
}

/// `EntryPolicy` steers packets by what it keeps up to date.
#[derive(Debug)]
pub struct EntryPolicy {
    knowledge: Knowledge,
    /// Whether operators may evacuate this availability zone in favour of others.
    has_other_zones: bool,
    steering: SteeringPolicy,
    keeper: KnowledgeKeeper,
    next_tick: Instant,
    next_cleaning: Instant,
    last_tick: Instant,
    /// Whether it was noted that the process stood still since the last tick.
    is_gap_noted: bool,
    /// The last time in which the process stood still.
    standstill: Option<Standstill>,
    /// What others are told of what is seen here; as of the last tick.
    report: BalancerReport,
    /// What was decided since it was last taken.
    decisions: Vec<Decision>,
}

impl EntryPolicy {
    /// `new` knows nothing yet.
    #[must_use]
    pub fn new(options: EntryOptions, now: Instant) -> Self {
        let mut knowledge = Knowledge::default();
        knowledge.see_from(now);
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
            is_gap_noted: false,
            standstill: None,
            report: BalancerReport::default(),
            decisions: Vec::new(),
        }
    }

    /// `is_ready` tells whether enough is known to place flows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.knowledge.is_complete()
    }

    /// `take_decisions` gives what was decided and learned since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.decisions);

        decisions.extend(self.keeper.take_decisions());
        decisions.extend(self.steering.take_decisions());
        decisions
    }

    /// `take_answers` gives the answers of backend servers seen since the last call.
    pub fn take_answers(&mut self) -> Vec<AnswerTime> {
        self.steering.take_answers()
    }

    /// `take_resets` gives the callers to be told since the last call that their flows are over, besides
    /// those whose packets get that verdict.
    pub fn take_resets(&mut self) -> Vec<FlowReset> {
        self.steering.take_resets()
    }

    /// `knowledge` gives what is known.
    #[must_use]
    pub fn knowledge(&self) -> &Knowledge {
        &self.knowledge
    }

    /// `keeper` gives how it is kept up to date.
    #[must_use]
    pub fn keeper(&self) -> &KnowledgeKeeper {
        &self.keeper
    }

    /// `steering` gives what is known of flows.
    #[must_use]
    pub fn steering(&self) -> &SteeringPolicy {
        &self.steering
    }

    /// `on_packet` decides about a packet of a caller.
    pub fn on_packet(&mut self, packet: &CallerPacket, now: Instant) -> PacketVerdict {
        self.note_gap(now);

        self.steering.on_packet(&self.knowledge, packet, now)
    }

    /// `can_decide` tells whether enough is known to decide about a packet that was held.
    #[must_use]
    pub fn can_decide(&self, packet: &CallerPacket) -> bool {
        self.steering.can_decide(&self.knowledge, packet)
    }

    /// `on_held_too_long` takes in that a packet waited in vain until enough is known.
    pub fn on_held_too_long(&mut self, packet: &CallerPacket, now: Instant) {
        self.steering.on_held_too_long(&self.knowledge, packet, now);
    }

    /// `on_message` takes a message of another balancer in.
    pub fn on_message(
        &mut self,
        sender: SocketAddrV4,
        mut message: PeerMessage,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.note_gap(now);
        if let PeerMessage::Heartbeat(heartbeat) = &mut message {
            if let Some(standstill) =
                self.standstill.filter(|standstill| standstill.read_until > now)
            {
                heartbeat.grow_older(now.saturating_duration_since(standstill.since));
            }
            self.steering.on_peer_health(sender, &heartbeat.health, now);
            if let Some(demands) = &heartbeat.demands {
                self.steering.on_peer_demand(sender, &heartbeat.zone, demands, now);
            }
        }

        let mut actions = self.keeper.on_message(&mut self.knowledge, sender, message, now);
        actions.extend(self.step_keeper(now));
        actions
    }

    /// `on_routes_reply` takes the store's answer about the configuration in.
    pub fn on_routes_reply(
        &mut self,
        reply: StoreReply<RouteMap>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.keeper.on_routes_reply(&mut self.knowledge, reply, now);

        self.step_keeper(now)
    }

    /// `on_backends_reply` takes the store's answer about backend servers in.
    pub fn on_backends_reply(
        &mut self,
        reply: StoreReply<BackendNews>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.keeper.on_backends_reply(&mut self.knowledge, reply, now);

        self.step_keeper(now)
    }

    /// `on_evacuations_reply` takes the store's answer about evacuated zones in.
    pub fn on_evacuations_reply(
        &mut self,
        reply: StoreReply<EvacuationNews>,
        now: Instant,
    ) -> Vec<KeeperAction> {
        self.keeper.on_evacuations_reply(&mut self.knowledge, reply, now);

        self.step_keeper(now)
    }

    /// `on_seeds` takes in that the settings name other balancers than before.
    pub fn on_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.keeper.on_seeds(seeds);
    }

    /// `next_due` gives when [`Self::on_tick`] is to be called at the latest.
    #[must_use]
    pub fn next_due(&self) -> Instant {
        self.next_tick.min(self.keeper.next_due())
    }

    /// `on_tick` does what is due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<KeeperAction> {
        if now < self.next_due() {
            return Vec::new();
        }

        self.note_gap(now);
        // What is not read yet may be the acknowledgement that a request seems to miss.
        if !std::mem::take(&mut self.is_gap_noted) {
            self.steering.judge_overdue(&self.knowledge, now);
        }
        self.last_tick = now;
        self.next_tick = now + TICK_INTERVAL;
        self.look_at_zones(now);
        self.steering.look_at_demand(&self.knowledge, self.keeper.peer_count(), now);
        self.steering.look_at_wanted(&self.knowledge, now);
        self.report = self.steering.report(now);
        if self.next_cleaning <= now {
            self.next_cleaning = now + CLEANING_INTERVAL;
            self.steering.on_tick(&mut self.knowledge, now);
        }
        let actions = self.step_keeper(now);
        self.steering.end_flows(&mut self.knowledge, now);
        actions
    }

    /// Looks at what is the case with this availability zone and the others.
    fn look_at_zones(&mut self, now: Instant) {
        if self.steering.limits_cold() {
            let members = self.keeper.zone_members(now);
            self.steering.look_at_members(&self.knowledge, &members, now);
        }

        for zone in self.knowledge.end_returns(now) {
            self.decisions.push(Decision::ZoneReturned { zone });
        }
        let is_isolated = self.is_isolated(now);
        if self.knowledge.set_isolated(is_isolated) {
            self.decisions.push(Decision::Isolated { is_isolated });
        }
    }

    /// Whether this balancer is cut off with its availability zone from all others and from the store. Operators may
    /// have evacuated the zone, but nothing else can serve its callers then.
    fn is_isolated(&self, now: Instant) -> bool {
        let is_unconfirmed = self.knowledge.age(now).is_some_and(|age| age >= ISOLATED_AFTER);
        let hears_others = self.knowledge.contacts.hears_others(SILENT_ZONES, now);

        self.has_other_zones && is_unconfirmed && !hears_others
    }

    /// Notes whether the process stood still since the last tick. Packets that came meanwhile are read
    /// before the next one.
    fn note_gap(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if self.is_gap_noted || gap < STANDSTILL {
            return;
        }

        self.is_gap_noted = true;
        let read_until = now + TICK_INTERVAL;
        self.standstill = Some(Standstill { since: self.last_tick, read_until });
        self.steering.on_standstill(now);
        // After a longer one beliefs are old: others are asked at once.
        if gap >= PAUSE {
            self.decisions.push(Decision::Paused { time: gap });
            // Nor is it known whether the store was away meanwhile: entries that lapsed before have their time anew.
            self.knowledge.settle_at(now + RETURN_TIME);
            self.keeper.on_pause(now);
            self.steering.on_pause();
        }
    }

    fn step_keeper(&mut self, now: Instant) -> Vec<KeeperAction> {
        self.keeper.on_tick(&mut self.knowledge, &self.report, now)
    }
}
