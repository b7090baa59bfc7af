//! Control traffic of one balancer while half of its backend servers are suspected at once. Guards
//! against queries, refutations and heartbeats that together cost more than 4 KB per second.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_entry::peer_codec::encode;
use valvestage_policy::steering::peers::peer_message::{
    HealthReport, PeerHeartbeat, SuspicionQuery, SuspicionReport,
};
use valvestage_policy::steering::{
    BackendDirectory, BackendEntry, BackendName, BackendPhase, BackendUpdate, CallerPacket,
    EntryChange, EntryOptions, EntryPolicy, FlowAddresses, KeeperAction, PacketVerdict,
    PeerMessage, RouteMap, RouteTarget, SteeringOptions, StoreKind, StoreReply,
};

const BACKENDS: u64 = 120;

/// The numbers of backend servers have ten hexadecimal digits.
const FIRST: u64 = 0xff_0000_0000;

/// Flows through this balancer; each backend server has several.
const FLOWS: u16 = 600;

const PEERS: u8 = 108;

/// Bytes per second that control traffic may cost a VM.
const BYTES_PER_SECOND: usize = 4_000;

/// Bytes of the headers of a datagram.
const HEADER_BYTES: usize = 28;

const STEP: Duration = Duration::from_millis(10);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn peer(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000)
}

/// Returns the flow of a caller that has no other one.
fn flow(port: u16) -> FlowAddresses {
    let [high, low] = port.to_be_bytes();

    FlowAddresses {
        caller: SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 10_000 + port),
        service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

/// Returns the report of a suspicion with as many callers as balancers report.
fn suspicion(instance: u64) -> SuspicionReport {
    SuspicionReport { instance, callers: vec![1, 2, 3] }
}

fn backends() -> Vec<BackendUpdate> {
    let position = StorePosition::new(0, 5);
    let entry = |number: u64| {
        let name = BackendName { digest: 0, number: FIRST + number };
        let entry = BackendEntry {
            instance: FIRST + number,
            name,
            born: None,
            position,
            service: "core".to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 2, u8::try_from(number).unwrap()), 80),
            zone: "zone-a".to_owned(),
            slots: 2,
            cold_until: None,
            phase: BackendPhase::Ready,
            missing_until: None,
            listed_at: None,
        };
        BackendUpdate { name, position, change: EntryChange::Written(entry) }
    };

    (0..BACKENDS).map(entry).collect()
}

fn routes() -> RouteMap {
    let target = RouteTarget { service: "core".to_owned(), weight: 1 };
    let routes = [(flow(0).service, vec![target])].into();

    RouteMap { version: 3, routes, idle_timeout_ms: 15_000, ..Default::default() }
}

/// A flow with a request every second.
struct Flow {
    port: u16,
    instance: u64,
    sent: u32,
    answered: u32,
}

struct Balancer {
    policy: EntryPolicy,
    now: Instant,
    flows: Vec<Flow>,
    /// Bytes sent to other balancers since the last reset.
    bytes: usize,
}

impl Balancer {
    fn ready() -> Self {
        let now = Instant::now();
        let options = EntryOptions {
            steering: SteeringOptions { zone: "zone-a".to_owned(), ..Default::default() },
            peer_address: peer(200),
            seeds: vec![peer(1)],
            link_mbps: 10.0,
            evacuable_zones: None,
            is_first_start: true,
            seed: 1,
        };
        let policy = EntryPolicy::new(options, now);
        let mut balancer = Self { policy, now, flows: Vec::new(), bytes: 0 };

        balancer.run(millis(1_000), |_| {});
        assert!(balancer.policy.is_ready());
        (1..=PEERS).for_each(|number| balancer.hear(number, Vec::new()));
        balancer
    }

    /// Runs for some time, and calls `step` every 10 ms.
    fn run(&mut self, time: Duration, mut step: impl FnMut(&mut Self)) {
        let end = self.now + time;

        while self.now < end {
            self.now += STEP;
            step(self);
            let actions = self.policy.on_tick(self.now);
            self.perform(actions);
        }
    }

    fn perform(&mut self, actions: Vec<KeeperAction>) {
        for action in actions {
            let position = StorePosition::new(0, 5);
            let further = match action {
                KeeperAction::Send(_, message) => {
                    self.bytes += encode(&message).unwrap().len() + HEADER_BYTES;
                    Vec::new()
                }
                KeeperAction::Call(StoreKind::Configuration, _) => self.policy.on_routes_reply(
                    StoreReply::Page { objects: vec![routes()], next_after: None, position },
                    self.now,
                ),
                KeeperAction::Call(StoreKind::Backends, _) => self.policy.on_backends_reply(
                    StoreReply::Page { objects: backends(), next_after: None, position },
                    self.now,
                ),
                KeeperAction::Call(StoreKind::Evacuations, _) => Vec::new(),
            };
            let sent = further.into_iter().filter(|it| matches!(it, KeeperAction::Send(..)));
            for message in sent {
                self.perform(vec![message]);
            }
        }
    }

    /// Handles a heartbeat of another balancer.
    fn hear(&mut self, number: u8, suspects: Vec<SuspicionReport>) {
        let position = StorePosition::new(0, 5);
        let heartbeat = PeerHeartbeat {
            zone: "zone-a".to_owned(),
            wants_answer: false,
            version: 3,
            complete_until: position,
            changed_at: position,
            era_head: position,
            live_digest: self.policy.knowledge().directory.live_digest(),
            age_ms: 0,
            outage_age_ms: u32::MAX,
            watchers: Vec::new(),
            peers: Vec::new(),
            health: HealthReport { suspects, ..Default::default() },
            evacuations: None,
            demands: None,
            loads: Vec::new(),
            unresolved_tokens: Vec::new(),
        };

        self.receive(number, PeerMessage::Heartbeat(heartbeat));
    }

    fn receive(&mut self, number: u8, message: PeerMessage) {
        let actions = self.policy.on_message(peer(number), message, self.now);

        self.perform(actions);
    }

    fn open_flows(&mut self) {
        for port in 0..FLOWS {
            let opening = CallerPacket {
                flow: flow(port),
                opening: true,
                closing: false,
                reset: false,
                token: 0,
                sequence: 1_000,
                acknowledged: 0,
                data_length: 0,
            };
            let verdict = self.policy.on_packet(&opening, self.now);
            let PacketVerdict::Forward { instance, .. } = verdict else { panic!("{verdict:?}") };
            self.flows.push(Flow { port, instance, sent: 1_001, answered: 501 });
        }
        (0..self.flows.len()).for_each(|place| self.send(place, 0));
    }

    fn send(&mut self, place: usize, length: u32) {
        let Flow { port, instance, sent, answered } = self.flows[place];
        let packet = CallerPacket {
            flow: flow(port),
            opening: false,
            closing: false,
            reset: false,
            token: BackendDirectory::token_of(instance),
            sequence: sent,
            acknowledged: answered,
            data_length: length,
        };

        self.policy.on_packet(&packet, self.now);
    }
}

/// Half of the backend servers fall silent at once: their callers retransmit. The others are
/// suspected by other balancers, whose suspicions this balancer can refute.
#[test]
fn control_traffic_stays_within_4_kb_per_second_while_half_of_the_backend_servers_are_suspected() {
    let mut balancer = Balancer::ready();
    balancer.open_flows();
    balancer.run(millis(2_000), |_| {});
    let is_silent = |instance: u64| (instance - FIRST).is_multiple_of(2);

    let mut steps: u64 = 0;
    let mut seconds = Vec::new();
    for _ in 0..6 {
        balancer.bytes = 0;
        balancer.run(millis(1_000), |balancer| {
            // Each flow sends a request a second, and its answer comes 50 ms later or never, when
            // it is retransmitted 200 ms later.
            for place in 0..balancer.flows.len() {
                let offset = u64::try_from(place).unwrap() * 7 % 100;
                let is_at = |wait: u64| (steps + 100 - offset) % 100 == wait;
                let is_silent = is_silent(balancer.flows[place].instance);
                if is_at(0) || is_silent && is_at(20) {
                    balancer.send(place, 100);
                }
                if !is_silent && is_at(5) {
                    balancer.flows[place].sent += 100;
                    balancer.flows[place].answered += 800;
                    balancer.send(place, 0);
                }
            }
            // Ten heartbeats a second arrive, with eight suspects each, and eight queries.
            if steps.is_multiple_of(10) {
                let number = u8::try_from(steps % u64::from(PEERS)).unwrap() + 1;
                let suspects = (0..8).map(|next| FIRST + (steps + 2 * next + 1) % BACKENDS);
                let suspects: Vec<_> = suspects.map(suspicion).collect();
                balancer.hear(number, suspects.clone());
                let query = SuspicionQuery { number: u16::MAX, suspects, doubted: Vec::new() };
                balancer.receive(number + 1, PeerMessage::SuspicionQuery(query));
            }
            steps += 1;
        });
        seconds.push(balancer.bytes);
        let suspects = balancer.policy.steering().suspects(balancer.now).len();
        assert!(suspects >= 30, "{suspects} suspects");
    }
    assert!(seconds.iter().all(|bytes| *bytes <= BYTES_PER_SECOND), "{seconds:?}");
    println!("{seconds:?} bytes per second");
}
