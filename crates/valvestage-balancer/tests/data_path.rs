//! Tests of the data path: invalid input is counted by reason and never reaches a backend server;
//! flows get tokens and are placed anew if their backend server is full.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use valvestage_balancer::commands::Command;
use valvestage_balancer::data_path::{DataHandler, DataOptions, Outbound};
use valvestage_balancer::metrics::BalancerMetrics;
use valvestage_core::{
    Backend, BackendState, Configuration, PacketKind, RawConfiguration, RefusalReason, Service,
};
use valvestage_policy::balancer::BalancerOptions;
use valvestage_policy::flows::{FlowToken, RawTokenKeys, RelayHeader, RelayPurpose, TokenKeys};
use valvestage_policy::membership::LiveView;
use valvestage_wire::envelope::{MAX_DATAGRAM, decode, encode};
use valvestage_wire::{Envelope, Header, Target};

const FABRIC: &str = "192.0.2.250:9000";
const PEER: &str = "192.0.2.2:9000";
const UNKNOWN_SOURCE: &str = "192.0.2.99:9000";
const CALLER: &str = "198.18.0.1:4000";

fn socket_addr(address: &str) -> SocketAddr {
    address.parse().unwrap()
}

fn now() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn service_address(id: u16) -> SocketAddr {
    SocketAddr::from(([203, 0, 113, u8::try_from(id).unwrap()], 7_000))
}

fn backend_address(id: u32) -> SocketAddr {
    SocketAddr::from(([198, 51, 100, u8::try_from(id).unwrap()], 7_000))
}

fn backend(id: u32, service: u16) -> Backend {
    Backend {
        id,
        name: format!("backend-{id}"),
        service,
        zone: "brest-a".to_owned(),
        address: backend_address(id),
        incarnation: 1,
        slots: 2,
        connections: 2,
        weight: 100,
        state: BackendState::Active,
    }
}

struct Fixture {
    handler: DataHandler,
    metrics: Arc<BalancerMetrics>,
}

impl Fixture {
    /// Creates one balancer, two services with two backend servers each, and one peer whose address
    /// is known but which is not in the set of live balancers.
    fn new() -> Self {
        let service =
            |id| Service { id, name: format!("service-{id}"), address: service_address(id) };
        let raw = RawConfiguration {
            change_id: "first".to_owned(),
            services: vec![service(1), service(2)],
            backends: vec![backend(1, 1), backend(2, 1), backend(3, 2), backend(4, 2)],
            stopped_zones: BTreeSet::new(),
        };
        let keys = RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] };
        let metrics = Arc::new(BalancerMetrics::default());
        let options = DataOptions {
            policy: BalancerOptions::new(1, "brest-a".to_owned()),
            fabric_addresses: vec![socket_addr(FABRIC)],
        };
        let mut handler = DataHandler::new(options, metrics.clone(), now());

        let configuration = Configuration::try_from((1, raw)).unwrap();
        for command in [
            Command::InstallConfiguration(Arc::new(configuration)),
            Command::InstallKeys(TokenKeys::new(1, keys)),
            Command::InstallView {
                view: LiveView::new([(1, "brest-a".to_owned())]),
                addresses: BTreeMap::from([(2, socket_addr(PEER))]),
            },
        ] {
            handler.on_command(now(), command, &mut Vec::new());
        }
        Self { handler, metrics }
    }

    fn deliver(&mut self, source: &str, datagram: &[u8]) -> Vec<Outbound> {
        let mut out = Vec::new();

        self.handler.on_datagram(now(), socket_addr(source), datagram, &mut out);
        out
    }

    fn count(&self, reason: RefusalReason) -> u64 {
        self.metrics.refusals.get_or_create(&reason.into()).get()
    }

    /// Asserts that a datagram is counted under a reason and that nothing is sent to a backend
    /// server.
    fn assert_refused(&mut self, source: &str, datagram: &[u8], reason: RefusalReason) {
        let before = self.count(reason);
        let out = self.deliver(source, datagram);

        assert_eq!(self.count(reason), before + 1, "{}", reason.label());
        assert!(
            out.iter().all(|sent| sent.to == socket_addr(FABRIC)),
            "{}: {out:?}",
            reason.label()
        );
    }
}

fn packet(header: Header, service: SocketAddr) -> Vec<u8> {
    encode(&Envelope { caller: socket_addr(CALLER), service, header, payload: b"payload" }).unwrap()
}

#[test]
fn invalid_input_is_counted_by_reason_and_reaches_no_backend_server() {
    let mut fixture = Fixture::new();
    let open = packet(Header::new(PacketKind::Open), service_address(1));

    // Unknown sources and invalid datagrams.
    fixture.assert_refused(UNKNOWN_SOURCE, &open, RefusalReason::UnauthorisedSource);
    fixture.assert_refused(FABRIC, &[0; MAX_DATAGRAM + 1], RefusalReason::Oversized);
    fixture.assert_refused(FABRIC, b"bare", RefusalReason::Malformed);
    fixture.assert_refused(FABRIC, &open[..20], RefusalReason::Malformed);
    fixture.assert_refused(FABRIC, &[], RefusalReason::Malformed);

    // Packets that callers may not send.
    let unknown = packet(Header::new(PacketKind::Open), socket_addr("203.0.113.9:7000"));
    fixture.assert_refused(FABRIC, &unknown, RefusalReason::UnknownService);
    let target = Target { service: 1, backend: 1, incarnation: 1 };
    let hop = RelayHeader { count: 1, purpose: RelayPurpose::Home, view_epoch: 0 };
    for header in [
        Header { target: Some(target), ..Header::new(PacketKind::Open) },
        Header { hop: Some(hop), ..Header::new(PacketKind::Open) },
        Header::new(PacketKind::Answer),
        Header::new(PacketKind::Refusal),
        Header::new(PacketKind::Binding),
        Header::new(PacketKind::Request),
        Header { request: Some(1), ..Header::new(PacketKind::Request) },
        Header::new(PacketKind::Cancel),
    ] {
        let datagram = packet(header, service_address(1));
        fixture.assert_refused(FABRIC, &datagram, RefusalReason::Malformed);
    }

    // A forged token.
    let token = FlowToken { key_id: 1, service: 1, backend: 1, incarnation: 1, mac: 99 };
    let forged = Header { token: Some(token), ..Header::new(PacketKind::Data) };
    let datagram = packet(forged, service_address(1));
    fixture.assert_refused(FABRIC, &datagram, RefusalReason::BadToken);

    // Invalid packets from peers and backend servers.
    let unmarked = packet(Header::new(PacketKind::Data), service_address(1));
    fixture.assert_refused(PEER, &unmarked, RefusalReason::Malformed);
    let mut wrong = Header::new(PacketKind::Data);
    wrong.target = Some(Target { service: 2, backend: 1, incarnation: 1 });
    let datagram = packet(wrong, service_address(1));
    let source = backend_address(1).to_string();
    fixture.assert_refused(&source, &datagram, RefusalReason::WrongService);
}

#[test]
fn datagrams_before_the_first_configuration_are_refused() {
    let metrics = Arc::new(BalancerMetrics::default());
    let options = DataOptions {
        policy: BalancerOptions::new(1, "brest-a".to_owned()),
        fabric_addresses: vec![socket_addr(FABRIC)],
    };
    let mut handler = DataHandler::new(options, metrics.clone(), now());
    let open = packet(Header::new(PacketKind::Open), service_address(1));
    let mut out = Vec::new();

    handler.on_datagram(now(), socket_addr(FABRIC), &open, &mut out);

    assert!(out.is_empty());
    assert_eq!(metrics.refusals.get_or_create(&RefusalReason::NoConfiguration.into()).get(), 1);
}

#[test]
fn the_answer_to_an_opening_packet_carries_a_token_that_any_balancer_accepts() {
    let mut fixture = Fixture::new();
    let open = packet(Header::new(PacketKind::Open), service_address(1));

    // The opening packet reaches a backend server, which answers it.
    let out = fixture.deliver(FABRIC, &open);
    let [sent] = &out[..] else { panic!("{out:?}") };
    let target = decode(&sent.bytes).unwrap().header.target.unwrap();
    assert_eq!(sent.to, backend_address(target.backend));
    let answer = Header { target: Some(target), ..Header::new(PacketKind::Open) };
    let out = fixture.deliver(&sent.to.to_string(), &packet(answer, service_address(1)));

    // The caller receives a token, and a balancer that has not seen the flow accepts it.
    let token = decode(&out[0].bytes).unwrap().header.token.unwrap();
    let mut other = Fixture::new();
    let data = Header { token: Some(token), ..Header::new(PacketKind::Data) };
    let out = other.deliver(FABRIC, &packet(data, service_address(1)));
    assert_eq!(out[0].to, sent.to);

    // The token is not valid for the other service.
    let to_other_service = packet(data, service_address(2));
    other.assert_refused(FABRIC, &to_other_service, RefusalReason::BadToken);
}

#[test]
fn a_flow_refused_by_a_full_backend_server_is_placed_on_another() {
    let mut fixture = Fixture::new();
    let open = packet(Header::new(PacketKind::Open), service_address(1));
    let first = fixture.deliver(FABRIC, &open)[0].to;

    // The refusal returns the payload, and the packet goes to the other backend server.
    let refuse = |from: SocketAddr| {
        let id = u32::from(from.to_string().as_bytes()[11] - b'0');
        let mut header = Header::new(PacketKind::Refusal);
        header.target = Some(Target { service: 1, backend: id, incarnation: 1 });
        header.refusal =
            Some((valvestage_core::Outcome::NotRun, RefusalReason::BackendConnections));
        packet(header, service_address(1))
    };
    let out = fixture.deliver(&first.to_string(), &refuse(first));
    let second = out[0].to;
    assert_ne!(first, second);
    assert_eq!(decode(&out[0].bytes).unwrap().payload, b"payload");

    // Both backend servers are full: the caller gets a refusal at once.
    fixture.assert_refused(&second.to_string(), &refuse(second), RefusalReason::ConnectionsFull);
}
