//! Envelopes: decoding reverses encoding, and no input makes decoding panic.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use valvestage_core::time::from_unix_millis;
use valvestage_core::{LoadReport, Outcome, PacketKind, RefusalReason, RequestClass, Segment};
use valvestage_policy::flows::{Binding, FlowToken, RelayHeader, RelayPurpose};
use valvestage_wire::envelope::{MAX_DATAGRAM, decode, encode};
use valvestage_wire::{Envelope, Header, Target, WireError};

/// Returns a generator with a fixed seed, so that every run draws the same cases.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 42))
}

#[derive(Debug, Clone)]
struct EnvelopeCase {
    caller: SocketAddr,
    service: SocketAddr,
    header: Header,
    payload: Vec<u8>,
}

fn address(g: &mut Gen, v4: bool) -> SocketAddr {
    let ip: IpAddr = if v4 {
        Ipv4Addr::from(u32::arbitrary(g)).into()
    } else {
        Ipv6Addr::from(u128::arbitrary(g)).into()
    };

    SocketAddr::new(ip, u16::arbitrary(g))
}

fn optional<T>(g: &mut Gen, draw: impl FnOnce(&mut Gen) -> T) -> Option<T> {
    if bool::arbitrary(g) { Some(draw(g)) } else { None }
}

impl Arbitrary for EnvelopeCase {
    fn arbitrary(g: &mut Gen) -> Self {
        let v4 = bool::arbitrary(g);
        let mut header = Header::new(*g.choose(&PacketKind::ALL).unwrap());

        header.request = optional(g, u128::arbitrary);
        if header.request.is_some() {
            header.deadline = optional(g, |g| from_unix_millis(u64::arbitrary(g)));
            header.attempt = optional(g, u16::arbitrary);
            header.segment = optional(g, |_| Segment { index: 3, count: 7 });
        }
        if header.deadline.is_some() {
            header.repeatable = bool::arbitrary(g);
            header.class = *g.choose(&[RequestClass::Urgent, RequestClass::Bulk]).unwrap();
        }
        header.token = optional(g, |g| FlowToken {
            key_id: u8::arbitrary(g),
            service: u16::arbitrary(g),
            backend: u32::arbitrary(g),
            incarnation: u32::arbitrary(g),
            mac: u64::arbitrary(g),
        });
        header.retry_after = optional(g, |g| Duration::from_millis(u32::arbitrary(g).into()));
        header.load = optional(g, |g| LoadReport {
            busy_slots: u16::arbitrary(g),
            open_flows: u16::arbitrary(g),
        });
        header.target = optional(g, |g| Target {
            service: u16::arbitrary(g),
            backend: u32::arbitrary(g),
            incarnation: u32::arbitrary(g),
        });
        header.hop = optional(g, |g| RelayHeader {
            count: u8::arbitrary(g),
            purpose: *g.choose(&[RelayPurpose::Home, RelayPurpose::FormerHome]).unwrap(),
            view_epoch: u64::arbitrary(g),
        });
        header.refusal = optional(g, |g| {
            let outcome = *g.choose(&[Outcome::NotRun, Outcome::InDoubt]).unwrap();
            (outcome, *g.choose(RefusalReason::ALL).unwrap())
        });
        header.binding =
            optional(g, |g| Binding { key: u64::arbitrary(g), backend: u32::arbitrary(g) });

        let length = usize::arbitrary(g) % 1_200;
        let payload = (0..length).map(|_| u8::arbitrary(g)).collect();
        Self { caller: address(g, v4), service: address(g, v4), header, payload }
    }
}

impl EnvelopeCase {
    fn envelope(&self) -> Envelope<'_> {
        Envelope {
            caller: self.caller,
            service: self.service,
            header: self.header,
            payload: &self.payload,
        }
    }
}

#[test]
fn what_is_written_is_read_back() {
    fn holds(case: EnvelopeCase) -> bool {
        let datagram = encode(&case.envelope()).unwrap();

        decode(&datagram).unwrap() == case.envelope()
    }

    seeded().tests(2_000).quickcheck(holds as fn(EnvelopeCase) -> bool);
}

#[test]
fn any_bytes_are_read_or_refused() {
    fn holds(bytes: Vec<u8>) -> bool {
        let _ = decode(&bytes);
        true
    }

    seeded().tests(5_000).quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn an_altered_or_truncated_datagram_is_read_or_refused() {
    fn holds(case: EnvelopeCase, place: usize, byte: u8, length: usize) -> bool {
        let mut datagram = encode(&case.envelope()).unwrap();
        let place = place % datagram.len();
        datagram[place] = byte;

        let _ = decode(&datagram);
        let _ = decode(&datagram[..length % datagram.len()]);
        true
    }

    seeded().tests(5_000).quickcheck(holds as fn(EnvelopeCase, usize, u8, usize) -> bool);
}

#[test]
fn a_payload_that_fits_no_datagram_is_refused() {
    let payload = vec![0; MAX_DATAGRAM];
    let envelope = Envelope {
        caller: "127.0.0.1:1".parse().unwrap(),
        service: "127.0.0.1:2".parse().unwrap(),
        header: Header::new(PacketKind::Data),
        payload: &payload,
    };

    assert!(matches!(encode(&envelope), Err(WireError::Oversized(_))));
    assert!(matches!(decode(&[0; MAX_DATAGRAM + 1]), Err(WireError::Oversized(_))));
}

#[test]
fn a_header_without_addresses_is_refused() {
    // PROXY protocol v2, LOCAL command, unspecified family, no length.
    let mut datagram = b"\r\n\r\n\0\r\nQUIT\n".to_vec();
    datagram.extend_from_slice(&[0x20, 0x00, 0x00, 0x00]);

    assert!(matches!(decode(&datagram), Err(WireError::Addresses)));
}
