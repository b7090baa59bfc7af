//! Guards against resets of flows that go on at the other side of a network partition.
//!
//! An availability zone is partitioned for some seconds. The entries of its backend servers lapse,
//! though the backend servers go on serving the callers of their zone through the balancers there.
//! A balancer on the other side learns of the lapse, and has a record of a flow that it served
//! before, or gets a flow whose balancer restarts. A reset would end a flow that was answered a
//! moment ago: without this guard, five of 45,000 simulated series of partitions, restarts and
//! outages end one.

use std::time::{Duration, Instant};

use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, CallerPacket, FlowAddresses, Knowledge, PacketVerdict,
    ResetReason, SteeringOptions, SteeringPolicy, ZoneContacts, ZoneReach,
};

use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, at, backend, data, flow, knowledge, millis, opening, start,
};

/// Third zone, which stays reachable.
const THIRD: &str = "zone-c";

/// Time between two heartbeats of other zones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Duration of the partition.
const PARTITION_TIME: Duration = Duration::from_millis(2_800);

struct Site {
    policy: SteeringPolicy,
    known: Knowledge,
    now: Instant,
    /// Zones whose balancers are reachable.
    reachable_zones: Vec<&'static str>,
    /// Whether the store confirms the knowledge.
    is_confirmed: bool,
}

impl Site {
    /// Returns a balancer that reaches both other zones, with a flow on the only backend server
    /// that was answered just now.
    fn with_flow_in(zone: &str) -> Self {
        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
        let mut site = Self {
            policy: SteeringPolicy::new(options, 1),
            known: knowledge(&[backend(1, "core", zone)]),
            now: start(),
            reachable_zones: vec![OTHER_ZONE, THIRD],
            is_confirmed: true,
        };

        site.advance(millis(4_000));
        site.send(&opening(flow(1), 0));
        site.advance(millis(7));
        site.send(&data(flow(1), BackendDirectory::token_of(1), 1_001, 0, 501));
        site
    }

    /// Advances the time, with heartbeats of other zones and confirmations of the store. Returns
    /// the flows that were reset proactively.
    fn advance(&mut self, time: Duration) -> Vec<FlowAddresses> {
        let until = self.now + time;
        let mut resets = Vec::new();
        while self.now < until {
            for zone in &self.reachable_zones {
                self.known.contacts.on_heard(&(*zone).to_owned(), self.now);
            }
            if self.is_confirmed {
                self.known.confirm(Some(self.now));
            }
            self.now += HEARTBEAT_INTERVAL.min(until - self.now);
            self.policy.end_silent_flows(&self.known, self.now);
            self.policy.reset_ended_flows(&mut self.known, self.now);
            resets.extend(self.policy.take_resets().into_iter().map(|reset| reset.flow));
        }
        resets
    }

    fn send(&mut self, packet: &CallerPacket) -> PacketVerdict {
        self.policy.on_packet(&self.known, packet, self.now)
    }

    /// Sends a request on a flow that was opened through another balancer, or retransmits it.
    fn request(&mut self, port: u16) -> PacketVerdict {
        self.send(&data(flow(port), BackendDirectory::token_of(1), 2_001, 100, 900))
    }

    /// Partitions the zone of the backend server, whose entry lapses just before the end of the
    /// partition. Returns the flows that were reset meanwhile.
    fn partition_other_zone(&mut self) -> Vec<FlowAddresses> {
        self.reachable_zones = vec![THIRD];
        let mut resets = self.advance(PARTITION_TIME - millis(100));
        assert!(self.known.directory.mark_gone(1, at(2_000), self.now));
        resets.extend(self.advance(millis(100)));
        resets
    }

    fn heal(&mut self) {
        self.reachable_zones = vec![OTHER_ZONE, THIRD];
    }
}

#[track_caller]
fn assert_forwarded(verdict: PacketVerdict) {
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 1, .. }), "{verdict:?}");
}

#[track_caller]
fn assert_reset(verdict: PacketVerdict) {
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::BackendGone));
}

#[test]
fn flows_that_may_go_on_at_the_other_side_of_a_partition_are_not_reset() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    assert_eq!(site.partition_other_zone(), []);
    site.heal();
    assert_eq!(site.advance(millis(2_200)), [], "the entry may return");
}

#[test]
fn flows_are_reset_after_the_return_time_of_their_entry_since_the_partition() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.partition_other_zone();
    site.heal();
    assert_eq!(site.advance(millis(3_200)), [flow(1)]);
}

#[test]
fn flows_are_not_reset_while_the_store_confirms_nothing() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.partition_other_zone();
    site.heal();
    site.is_confirmed = false;
    assert_eq!(site.advance(millis(3_200)), []);
}

#[test]
fn flows_are_not_reset_if_their_entry_returns() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.partition_other_zone();
    site.heal();
    site.advance(millis(800));
    site.known
        .directory
        .put(BackendEntry { position: at(2_500), ..backend(1, "core", OTHER_ZONE) });
    assert_eq!(site.advance(millis(6_000)), []);
}

#[test]
fn flows_are_not_reset_in_a_zone_that_was_partitioned_itself() {
    let mut site = Site::with_flow_in(OWN_ZONE);

    site.reachable_zones = Vec::new();
    site.is_confirmed = false;
    assert_eq!(site.advance(millis(1_900)), []);
    site.heal();
    site.is_confirmed = true;
    site.advance(HEARTBEAT_INTERVAL);
    assert!(site.known.directory.mark_gone(1, at(2_000), site.now));
    assert_eq!(site.advance(millis(2_000)), []);
}

#[test]
fn a_flow_that_comes_after_a_cut_gets_one_packet_to_its_backend_server() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.partition_other_zone();
    site.heal();
    site.advance(millis(1_100));
    assert_forwarded(site.request(2));
    site.advance(millis(200));
    assert_reset(site.request(2));
}

#[test]
fn a_packet_sent_during_the_partition_shows_nothing() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.partition_other_zone();
    assert_forwarded(site.request(2));
    site.heal();
    site.advance(millis(200));
    assert_forwarded(site.request(2));
    site.advance(HEARTBEAT_INTERVAL);
    assert_reset(site.request(2));
}

#[test]
fn an_acknowledgement_asks_for_no_answer() {
    let mut site = Site::with_flow_in(OTHER_ZONE);
    let acknowledgement = data(flow(2), BackendDirectory::token_of(1), 2_001, 0, 900);

    site.partition_other_zone();
    site.heal();
    site.advance(millis(100));
    assert_forwarded(site.send(&acknowledgement));
    site.advance(millis(200));
    assert_forwarded(site.send(&acknowledgement));
    assert_forwarded(site.request(2));
}

#[test]
fn an_answer_shows_that_the_backend_server_is_alive() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.partition_other_zone();
    site.heal();
    site.advance(millis(100));
    assert_forwarded(site.request(2));
    site.advance(millis(50));
    assert_forwarded(site.send(&data(flow(2), BackendDirectory::token_of(1), 2_101, 0, 1_800)));
    site.advance(millis(1_000));
    assert_forwarded(site.send(&data(flow(2), BackendDirectory::token_of(1), 2_101, 100, 1_800)));
}

/// Flows are ended without delay if the zone was reachable all the time.
#[test]
fn without_a_partition_a_lapse_after_silence_resets_flows_at_once() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.advance(millis(3_000));
    assert!(site.known.directory.mark_gone(1, at(2_000), site.now));
    assert_eq!(site.advance(HEARTBEAT_INTERVAL), [flow(1)]);
}

/// Guards against a reset by a copy that arrives after the end of the partition: the packet before it
/// was lost in the partition, and no balancer of the zone has been heard since.
#[test]
fn a_copy_that_comes_before_the_zone_is_heard_again_is_forwarded() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.partition_other_zone();
    for pause in [0, 200, 400, 800] {
        site.advance(millis(pause));
        assert_forwarded(site.request(2));
    }
    site.heal();
    site.advance(HEARTBEAT_INTERVAL);
    assert_forwarded(site.request(2));
    site.advance(millis(200));
    assert_reset(site.request(2));
}

/// Guards against resets for silence through a partition: three callers miss answers since their
/// packets do not reach the zone. Flows are ended once the zone is heard and stays silent to them.
#[test]
fn flows_of_a_silent_zone_are_reset_only_once_the_zone_is_heard_again() {
    let mut site = Site::with_flow_in(OTHER_ZONE);

    site.reachable_zones = vec![THIRD];
    assert_eq!(site.advance(millis(1_600)), []);
    for pause in [0, 200, 400, 800] {
        assert_eq!(site.advance(millis(pause)), []);
        (2..=4).for_each(|port| assert_forwarded(site.request(port)));
    }
    assert_eq!(site.advance(HEARTBEAT_INTERVAL), []);

    site.heal();
    site.advance(HEARTBEAT_INTERVAL);
    (2..=4).for_each(|port| assert_forwarded(site.request(port)));
    site.advance(millis(200));
    let verdicts: Vec<_> = (2..=4).map(|port| site.request(port)).collect();
    assert_eq!(verdicts, [PacketVerdict::Reset(ResetReason::BackendSilent); 3]);
    assert_eq!(site.advance(HEARTBEAT_INTERVAL), [flow(1)]);
}

#[test]
fn a_zone_is_silent_after_a_timeout_and_rejoins_with_its_next_heartbeat() {
    let mut contacts = ZoneContacts::default();
    let (zone, began) = (OTHER_ZONE.to_owned(), start());
    assert_eq!(contacts.reach(&zone, began), ZoneReach::Unknown);

    contacts.on_heard(&zone, began);
    contacts.on_heard(&zone, began + millis(1_400));
    assert_eq!(contacts.reach(&zone, began + millis(2_800)), ZoneReach::Since(began));
    assert_eq!(contacts.reach(&THIRD.to_owned(), began), ZoneReach::Silent);
    assert_eq!(contacts.reach(&zone, began + millis(3_000)), ZoneReach::Silent);
    let joined = began + millis(4_000);
    contacts.on_heard(&zone, joined);
    assert_eq!(contacts.reach(&zone, joined), ZoneReach::Since(joined));
    assert_eq!(contacts.reach_of_others(joined), ZoneReach::Since(joined));
}
