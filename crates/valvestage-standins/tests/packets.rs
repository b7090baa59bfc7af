//! Tests of the encoding of packets, requests and answers.

use std::net::{Ipv4Addr, SocketAddrV4};

use valvestage_platform::packet;
use valvestage_standins::packets::flow_packet::{FlowPacket, flags};
use valvestage_standins::packets::packet_request::PacketRequest;

fn sample_packet() -> FlowPacket {
    FlowPacket {
        flags: flags::ACK,
        token: 7,
        sequence: 1_001,
        acknowledged: 501,
        source: SocketAddrV4::new(Ipv4Addr::new(127, 1, 2, 3), 40_001),
        destination: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        data: vec![1, 2, 3],
    }
}

#[test]
fn decoding_returns_the_encoded_packet() {
    let bytes = sample_packet().encode();

    assert_eq!(FlowPacket::decode(&bytes), Some(sample_packet()));
    assert!(FlowPacket::has_valid_checksum(&bytes));
}

#[test]
fn checksum_stays_valid_when_a_balancer_changes_the_token() {
    let bytes = sample_packet().encode();
    let read = packet::decode(&bytes).unwrap();
    assert_eq!((read.sequence, read.acknowledged, read.token), (1_001, 501, 7));

    let mut forwarded = Vec::new();
    packet::encode_forward(&bytes, 9, 8, &mut forwarded);
    assert!(FlowPacket::has_valid_checksum(&forwarded[packet::PREFIX_BYTES..]));
    let reset = packet::encode_reset(&read);
    assert!(FlowPacket::is_balancer_reset(&reset));
}

#[test]
fn checksum_detects_changes_outside_the_token() {
    let bytes = sample_packet().encode();

    for at in (0..bytes.len()).filter(|at| !(1..10).contains(at)) {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(!FlowPacket::has_valid_checksum(&changed), "byte {at}");
    }
}

#[test]
fn answers_of_two_requests_differ() {
    let request = |id| PacketRequest { id, repeatable: true, answer_bytes: 600 };

    assert_eq!(PacketRequest::decode(&request(5).encode()), Some(request(5)));
    assert_ne!(request(5).answer(), request(6).answer());
}
