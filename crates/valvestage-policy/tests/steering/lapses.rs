//! Guards against ending the flows of live backend servers whose entries lapse. A zone that is cut
//! off from the store loses the entries of all its backend servers, which go on answering the
//! balancers in their zone. When the partition heals, these balancers learn from others that the
//! entries are gone, some seconds before the entries return. If they end the flows then, a
//! deployment of three zones loses one request in twelve during the two seconds after a partition.

use std::time::{Duration, Instant};

use valvestage_policy::steering::peers::backend_parts::{backends_messages, entries_of};
use valvestage_policy::steering::peers::peer_message::{BackendsPull, ChangeCursor, WalkScope};
use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, BackendPhase, CallerPacket, EntryTimes, Knowledge,
    PacketVerdict, PeerMessage, ResetReason, SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{
    OTHER_ZONE, OWN_ZONE, at, backend, data, flow, knowledge, millis, opening, start,
};

/// Longer than entries take to return.
const RETURNED_AFTER: Duration = Duration::from_millis(2_400);

/// Longer than a dead backend server is silent before its entry lapses.
const SILENT_BEFORE_LAPSE: Duration = Duration::from_millis(2_100);

struct Site {
    policy: SteeringPolicy,
    known: Knowledge,
    now: Instant,
}

impl Site {
    /// Creates a balancer with one open flow, answered just now, on the only backend server.
    fn with_open_flow(zone: &str) -> Self {
        let options = SteeringOptions { zone: OWN_ZONE.to_owned(), ..Default::default() };
        let mut site = Self {
            policy: SteeringPolicy::new(options, 1),
            known: knowledge(&[backend(1, "core", zone)]),
            now: start(),
        };

        site.send(&opening(flow(1), 0));
        site.now += millis(7);
        site.send(&data(flow(1), BackendDirectory::token_of(1), 1_001, 0, 501));
        site
    }

    fn send(&mut self, packet: &CallerPacket) -> PacketVerdict {
        self.policy.on_packet(&self.known, packet, self.now)
    }

    /// Sends a request on the flow, and returns the verdict.
    fn request(&mut self) -> PacketVerdict {
        self.send(&data(flow(1), BackendDirectory::token_of(1), 1_001, 100, 501))
    }

    fn lapse(&mut self) {
        assert!(self.known.directory.mark_gone(1, at(2_000), self.now));
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }
}

#[track_caller]
fn assert_stays(verdict: PacketVerdict) {
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 1, .. }), "{verdict:?}");
}

#[track_caller]
fn assert_ends(verdict: PacketVerdict) {
    assert_eq!(verdict, PacketVerdict::Reset(ResetReason::BackendGone));
}

#[test]
fn flows_of_a_backend_server_that_showed_life_survive_its_lapse() {
    let mut site = Site::with_open_flow(OWN_ZONE);

    site.wait(millis(500));
    site.lapse();
    site.wait(millis(50));
    assert_stays(site.request());
}

#[test]
fn flows_end_if_the_entry_does_not_return_in_time() {
    let mut site = Site::with_open_flow(OWN_ZONE);

    site.lapse();
    site.wait(RETURNED_AFTER);
    assert_ends(site.request());
}

#[test]
fn flows_stay_if_the_entry_returns() {
    let mut site = Site::with_open_flow(OWN_ZONE);

    site.lapse();
    site.wait(millis(1_500));
    site.known.directory.put(BackendEntry { position: at(2_500), ..backend(1, "core", OWN_ZONE) });
    site.wait(RETURNED_AFTER);
    assert_stays(site.request());
}

#[test]
fn flows_of_a_backend_server_that_was_silent_before_its_lapse_end_at_once() {
    let mut site = Site::with_open_flow(OWN_ZONE);

    for _ in 0..2 {
        site.wait(SILENT_BEFORE_LAPSE / 2);
        site.known.confirm(Some(site.now));
    }
    site.lapse();
    site.wait(millis(1));
    assert_ends(site.request());
}

#[test]
fn flows_of_a_draining_backend_server_end_at_once_with_its_entry() {
    let mut site = Site::with_open_flow(OWN_ZONE);
    let draining = BackendEntry {
        position: at(1_500),
        phase: BackendPhase::Draining,
        ..backend(1, "core", OWN_ZONE)
    };
    site.known.directory.put(draining);

    site.lapse();
    site.wait(millis(1));
    assert_ends(site.request());
}

/// Creates a balancer that was partitioned together with its zone: nothing has confirmed its
/// knowledge for five seconds.
fn after_partition(zone: &str) -> Site {
    let mut site = Site::with_open_flow(zone);

    site.wait(millis(5_000));
    site
}

#[test]
fn a_lapse_in_a_partitioned_zone_ends_no_flow_on_its_own_backend_servers() {
    let mut site = after_partition(OWN_ZONE);

    site.lapse();
    site.wait(millis(50));
    assert_stays(site.request());
    // The lapse is followed by a confirmation of the knowledge.
    site.known.confirm(Some(site.now));
    assert_stays(site.request());
    site.wait(RETURNED_AFTER);
    assert_ends(site.request());
}

#[test]
fn a_lapse_in_a_partition_that_is_learned_after_the_confirmation_ends_no_flow() {
    let mut site = after_partition(OWN_ZONE);

    site.known.confirm(Some(site.now));
    site.wait(millis(100));
    site.lapse();
    assert_stays(site.request());
}

#[test]
fn flows_to_the_other_side_of_a_partition_end_at_once() {
    let mut site = after_partition(OTHER_ZONE);

    site.lapse();
    site.wait(millis(50));
    assert_ends(site.request());
}

#[test]
fn the_time_to_return_does_not_run_while_the_store_is_away() {
    let mut site = Site::with_open_flow(OWN_ZONE);

    site.wait(millis(500));
    site.lapse();
    // The store fails to answer 2 s later, and answers again 0.5 s after that.
    site.wait(millis(2_000));
    site.known.settle_at(site.now + millis(3_100));
    site.wait(millis(500));
    assert_stays(site.request());

    site.wait(millis(2_600));
    assert_ends(site.request());
}

/// Lets the entry of a backend server lapse, and then begins a store outage. This balancer has seen
/// no packets of the backend server's flows.
fn after_an_unseen_lapse() -> Site {
    let mut site = Site::with_open_flow(OWN_ZONE);
    site.known.directory.put(backend(3, "core", OTHER_ZONE));

    site.known.directory.mark_gone(3, at(2_000), site.now);
    site.wait(millis(2_000));
    site.known.settle_at(site.now + millis(3_100));
    site
}

fn request_on_unseen(site: &mut Site) -> PacketVerdict {
    site.send(&data(flow(3), BackendDirectory::token_of(3), 1_001, 100, 501))
}

#[test]
fn an_unseen_backend_server_may_be_alive_while_its_entry_cannot_return() {
    let mut site = after_an_unseen_lapse();

    let verdict = request_on_unseen(&mut site);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 3, .. }), "{verdict:?}");
}

#[test]
fn the_first_retransmission_shows_that_an_unseen_backend_server_is_dead() {
    let mut site = after_an_unseen_lapse();

    request_on_unseen(&mut site);
    site.wait(millis(200));
    assert_ends(request_on_unseen(&mut site));
}

/// The answers to one caller may be lost on its own link. Its first retransmission ended all flows.
#[test]
fn a_retransmission_of_one_caller_ends_no_other_flow_of_an_unseen_backend_server() {
    let mut site = after_an_unseen_lapse();
    let rest = |port| data(flow(port), BackendDirectory::token_of(3), 1_001, 0, 501);

    site.send(&rest(4));
    request_on_unseen(&mut site);
    site.wait(millis(200));
    assert_ends(request_on_unseen(&mut site));
    site.policy.reset_ended_flows(&mut site.known, site.now);
    assert_eq!(site.policy.take_resets(), []);
    let verdict = site.send(&rest(4));
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 3, .. }), "{verdict:?}");
}

#[test]
fn retransmissions_of_several_callers_end_the_flows_of_an_unseen_backend_server() {
    let mut site = after_an_unseen_lapse();
    let request = |port| data(flow(port), BackendDirectory::token_of(3), 1_001, 100, 501);

    site.send(&data(flow(4), BackendDirectory::token_of(3), 1_001, 0, 501));
    for _ in 0..2 {
        for port in [5, 6, 7] {
            site.send(&request(port));
        }
        site.wait(millis(200));
    }
    site.policy.reset_ended_flows(&mut site.known, site.now);
    let resets = site.policy.take_resets();
    assert!(resets.iter().any(|reset| reset.flow == flow(4)), "{resets:?}");
}

#[test]
fn an_unseen_backend_server_is_gone_once_the_store_has_answered_for_long_enough() {
    let mut site = after_an_unseen_lapse();

    site.wait(millis(3_100));
    assert_ends(request_on_unseen(&mut site));
}

/// Creates a balancer that has just started and receives an entry that lapsed the given time ago.
fn lapse_reported_at_start(ago: Duration) -> Site {
    let mut site = Site::with_open_flow(OWN_ZONE);
    let mut sender = BackendDirectory::default();
    let mut lapsed = backend(9, "core", OWN_ZONE);
    lapsed.address = backend(2, "core", OWN_ZONE).address;
    sender.put(lapsed);
    sender.complete(at(1_000));
    sender.mark_gone(9, at(2_000), site.now);
    site.now += ago;

    let pull = BackendsPull { after: ChangeCursor::START, scope: WalkScope::Everything };
    for message in backends_messages(&sender, pull, site.now) {
        let PeerMessage::Backends(part) = message else { panic!("not a part of backends") };
        for entry in entries_of(part, site.now) {
            site.known.directory.apply_entry(entry, site.now);
        }
    }
    site
}

#[test]
fn a_balancer_that_starts_after_a_lapse_ends_no_flow_while_the_entry_may_return() {
    let request_on_lapsed =
        |mut site: Site| site.send(&data(flow(2), BackendDirectory::token_of(9), 1_001, 100, 501));

    let verdict = request_on_lapsed(lapse_reported_at_start(millis(600)));
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 9, .. }), "{verdict:?}");
    assert_ends(request_on_lapsed(lapse_reported_at_start(RETURNED_AFTER)));
}

/// Creates a balancer that has just started and reads an entry in the store, which lapses 600 ms
/// later. The balancer has had no time to see whether the backend server shows life.
fn lapsed_after_start() -> Site {
    let mut site = Site::with_open_flow(OWN_ZONE);
    site.known.directory.put(backend(3, "core", OTHER_ZONE));
    site.known.set_packets_seen_from(site.now);

    site.wait(millis(600));
    site.known.directory.mark_gone(3, at(2_000), site.now);
    site.wait(millis(300));
    site
}

#[test]
fn a_balancer_that_started_shortly_before_a_lapse_ends_no_unseen_flow() {
    let mut site = lapsed_after_start();

    let verdict = request_on_unseen(&mut site);
    assert!(matches!(verdict, PacketVerdict::Forward { instance: 3, .. }), "{verdict:?}");
    site.wait(RETURNED_AFTER);
    assert_ends(request_on_unseen(&mut site));
}

#[test]
fn a_balancer_that_started_shortly_before_a_lapse_ends_flows_at_a_retransmission() {
    let mut site = lapsed_after_start();

    request_on_unseen(&mut site);
    site.wait(millis(200));
    assert_ends(request_on_unseen(&mut site));
}

#[test]
fn a_balancer_that_has_run_for_long_takes_silence_for_an_end() {
    let mut site = Site::with_open_flow(OWN_ZONE);
    site.known.directory.put(backend(3, "core", OTHER_ZONE));
    site.known.set_packets_seen_from(site.now);

    site.wait(SILENT_BEFORE_LAPSE);
    site.known.directory.mark_gone(3, at(2_000), site.now);
    site.wait(millis(300));
    assert_ends(request_on_unseen(&mut site));
}

/// A request is answered after the lapse: the entry cannot return, but the flow goes on.
#[test]
fn a_backend_server_that_answers_after_its_lapse_keeps_its_flows() {
    let mut site = Site::with_open_flow(OWN_ZONE);

    site.lapse();
    site.wait(millis(1_000));
    assert_stays(site.request());
    site.wait(millis(40));
    site.send(&data(flow(1), BackendDirectory::token_of(1), 1_101, 0, 900));
    site.wait(RETURNED_AFTER);
    assert_stays(site.send(&data(flow(1), BackendDirectory::token_of(1), 1_101, 100, 900)));
}

/// A balancer that receives messages, but whose own messages are lost, gets no answers to its
/// requests for the changes that only others know, and the entry may have returned.
#[test]
fn a_balancer_that_is_behind_its_peers_ends_no_flow() {
    let mut site = Site::with_open_flow(OWN_ZONE);

    site.lapse();
    site.wait(millis(1_000));
    site.known.note_behind(site.now);
    site.wait(RETURNED_AFTER);
    assert_stays(site.request());
    site.known.note_caught_up();
    site.wait(millis(200));
    assert_ends(site.request());
}

/// Heartbeat intervals of backend servers of small and large deployments, in milliseconds.
const HEARTBEATS_MS: [u64; 5] = [300, 770, 1_200, 2_000, 5_000];

/// Creates a balancer whose backend server was silent for a share of the time in which its entry
/// lapses.
fn silent_for(heartbeat_ms: u64, share: f64) -> Site {
    let mut site = Site::with_open_flow(OWN_ZONE);
    let times = EntryTimes::new(millis(heartbeat_ms));
    site.known.set_entry_times(times);

    let silence = times.lapse().mul_f64(share);
    for _ in 0..40 {
        site.wait(silence / 40);
        site.known.confirm(Some(site.now));
    }
    site.lapse();
    site.wait(millis(50));
    site
}

/// Guards against times that fit only one heartbeat interval. With a longer interval, a backend
/// server that answered nothing for some seconds before its entry lapsed may still be alive.
#[test]
fn signs_of_life_within_the_lapse_time_keep_flows() {
    for heartbeat_ms in HEARTBEATS_MS {
        assert_stays(silent_for(heartbeat_ms, 0.8).request());
    }
}

#[test]
fn silence_for_the_lapse_time_ends_flows() {
    for heartbeat_ms in HEARTBEATS_MS {
        assert_ends(silent_for(heartbeat_ms, 1.0).request());
    }
}

#[test]
fn a_start_is_known_after_a_lapse_and_a_heartbeat() {
    for heartbeat_ms in HEARTBEATS_MS {
        let times = EntryTimes::new(millis(heartbeat_ms));
        assert!(times.start_known_within() > times.lapse() + millis(heartbeat_ms));
        assert!(times.backup_settles_within() >= times.shortest_lapse());
        assert!(times.shortest_lapse() < times.lapse());
    }
}
