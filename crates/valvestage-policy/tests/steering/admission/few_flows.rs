//! Flows that are refused although nearly all slots are free.
//!
//! Where little is asked, the rate of answers is near zero at most times. Its quotient with the
//! requests in flight then looks like the load of slots of which nearly all are gone.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use valvestage_policy::steering::admission::admission_shares::AdmissionShares;
use valvestage_policy::steering::admission::shortage::{Shortage, load_per_slot};
use valvestage_policy::steering::seeded_draw::SeededDraw;
use valvestage_policy::steering::{
    AdmissionOptions, CallerPacket, ClassLoad, FlowAddresses, Knowledge, PacketVerdict,
    RequestClass, RequestKind, ServiceLoad, SteeringOptions, SteeringPolicy,
};

use crate::fixtures::{
    OWN_ZONE, backend, data, knowledge, millis, opening, routes, service_address, start,
};

const STEP: Duration = Duration::from_millis(10);

/// Steps from an opening packet to the request, and from there to the acknowledgement of the answer.
const HANDSHAKE_STEPS: u64 = 1;
const ANSWER_STEPS: u64 = 2;

/// Steps between two updates of the load.
const UPDATE_STEPS: u64 = 10;

/// Bytes of the answers. While most of the last ones were large, a small one counts as rejected.
const ANSWER_BYTES: [u32; 2] = [600, 3_000];

/// Flow with the step of its opening packet.
struct OpenFlow {
    began: u64,
    flow: FlowAddresses,
    token: u32,
    answer_bytes: u32,
}

/// Returns a service of nine backend servers, of two slots each, with routes of two priorities.
fn graded() -> Knowledge {
    let backends: Vec<_> = (1..=9).map(|id| backend(id, "core", OWN_ZONE)).collect();
    let mut known = knowledge(&backends);
    let mut routes = routes(2, &[(443, "core"), (80, "core")]);
    for (port, priority) in [(443, 0), (80, 2)] {
        let class = RequestClass {
            priority,
            kind: RequestKind::Idempotent,
            target_latency_ms: 400,
            timeout_ms: 2_500,
        };
        routes.request_classes.insert(service_address(port), class);
    }

    known.replace_routes(routes);
    known
}

/// Opens flows at random times, of one request each, and returns the number of those refused.
fn refused(flows_per_second: usize, length: Duration, seed: u64) -> usize {
    let options = SteeringOptions {
        zone: OWN_ZONE.to_owned(),
        admission: Some(AdmissionOptions { floor: 0.05 }),
        ..SteeringOptions::default()
    };
    let (mut policy, known) = (SteeringPolicy::new(options, 1), graded());
    let (mut draw, mut open, mut refused) = (SeededDraw::new(seed), Vec::new(), 0);
    let begin = start();

    for step in 0_u64.. {
        let now = begin + STEP * u32::try_from(step).unwrap();
        if now > begin + length {
            break;
        }
        if step.is_multiple_of(UPDATE_STEPS) {
            policy.update_demand(&known, 0, now);
            policy.update_load(&known, 0, now);
            policy.update_admission(&known, now);
        }
        for OpenFlow { began, flow, token, answer_bytes } in &open {
            let answered = data(*flow, *token, 1_101, 0, 500 + answer_bytes);
            let packet = match step - began {
                HANDSHAKE_STEPS => data(*flow, *token, 1_001, 100, 500),
                _ if step - began == HANDSHAKE_STEPS + ANSWER_STEPS => {
                    CallerPacket { closing: true, ..answered }
                }
                _ => continue,
            };
            policy.on_packet(&known, &packet, now);
        }
        open.retain(|flow| step - flow.began < HANDSHAKE_STEPS + ANSWER_STEPS);

        let steps_per_second = 1_000 / usize::try_from(STEP.as_millis()).unwrap();
        if draw.below(steps_per_second) >= flows_per_second {
            continue;
        }
        let host = Ipv4Addr::from_bits(0x0a09_0000 + u32::try_from(step).unwrap());
        let service = service_address(if draw.below(2) == 0 { 443 } else { 80 });
        let flow = FlowAddresses { caller: SocketAddrV4::new(host, 1_024), service };
        match policy.on_packet(&known, &opening(flow, 0), now) {
            PacketVerdict::Forward { token, .. } => {
                let answer_bytes = ANSWER_BYTES[draw.below(ANSWER_BYTES.len())];
                open.push(OpenFlow { began: step, flow, token, answer_bytes });
            }
            PacketVerdict::Reset(_) => refused += 1,
            verdict => panic!("{verdict:?}"),
        }
    }
    refused
}

#[test]
fn few_flows_are_not_refused_while_slots_are_free() {
    for seed in 0..20 {
        for flows_per_second in [1, 4, 12] {
            let refused = refused(flows_per_second, millis(40_000), seed);
            assert_eq!(refused, 0, "seed {seed}, {flows_per_second} flows a second");
        }
    }
}

/// Returns the load of backend servers of three slots, of which some reject requests.
fn load(backends: f64, (in_flight, completed, rejected): (f64, f64, f64)) -> ServiceLoad {
    ServiceLoad {
        in_flight,
        completed,
        rejected,
        service_time: Some(0.02),
        slots: 3.0 * backends,
        backends,
        is_usable: true,
        ..ServiceLoad::default()
    }
}

fn is_short(load: &ServiceLoad) -> bool {
    let mut shortage = Shortage::default();

    shortage.update(Some(load), millis(100));
    shortage.is_short()
}

#[test]
fn a_rate_of_answers_near_zero_is_no_shortage() {
    for completed in [0.0, 1e-6, 0.1, 2.0] {
        let load = load(9.0, (0.45, completed, 1.0));
        assert!(!is_short(&load), "{load:?}");
    }
}

/// Guards against a capacity that is taken from a rate of answers which is low since little is asked.
/// Requests in flight may be told too high, as the balancers that report them see the most.
#[test]
fn what_one_backend_server_can_process_is_admitted() {
    let class = ClassLoad { opening: 20.0, further: 10.0 };
    for in_flight in [5.0, 8.0, 12.0] {
        let load = ServiceLoad {
            classes: [(0, class), (2, class)].into(),
            ..load(9.0, (in_flight, 10.0, 5.0))
        };
        let shares = AdmissionShares::compute(&load, 0.05).unwrap();
        assert!(shares.iter().all(|(_, share)| share >= 1.0), "{shares:?} at {load:?}");
    }
}

/// Guards against a shortage that is missed since slots are counted which no longer exist: those of
/// crashed backend servers whose loss is not known yet.
#[test]
fn backend_servers_that_are_left_and_full_are_a_shortage() {
    let cases = [
        // One of nine, with its three slots in use and a queue of eight.
        load(9.0, (11.0, 150.0, 30.0)),
        // A fifth of 120.
        load(120.0, (264.0, 3_600.0, 300.0)),
    ];

    for load in cases {
        assert!(load.in_flight / load.slots < 1.0);
        assert!(is_short(&load), "{load:?}");
        let waiting = load.in_flight / (load.completed * 0.02);
        assert!((load_per_slot(&load).unwrap() - waiting).abs() < 1e-9, "{load:?}");
    }
}
