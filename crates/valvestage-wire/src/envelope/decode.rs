//! Decoding of envelopes.

use std::net::SocketAddr;
use std::time::Duration;

use ppp::v2::{Addresses, Header as ProxyHeader};
use valvestage_core::time::from_unix_millis;
use valvestage_core::{LoadReport, Outcome, PacketKind, RefusalReason, RequestClass, Segment};
use valvestage_policy::flows::{Binding, FlowToken, RelayHeader, RelayPurpose};

use super::header::{Envelope, Header, Target};
use super::{MAX_DATAGRAM, tlv_types};
use crate::errors::WireError;

/// Decodes a datagram.
///
/// Arbitrary input yields an envelope or an error, never a panic.
pub fn decode(datagram: &[u8]) -> Result<Envelope<'_>, WireError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(WireError::Oversized(datagram.len()));
    }

    // PROXY protocol v2, section 2.2: signature, version, family, length, addresses.
    let proxy =
        ProxyHeader::try_from(datagram).map_err(|error| WireError::Header(error.to_string()))?;
    let (caller, service) = read_addresses(&proxy.addresses)?;

    // Section 2.2.7: TLVs fill the header up to its stated length; the payload follows.
    let mut header = Header::new(PacketKind::Data);
    for tlv in proxy.tlvs() {
        let tlv = tlv.map_err(|error| WireError::Header(error.to_string()))?;
        read_tlv(&mut header, tlv.kind, &tlv.value)?;
    }

    let payload = datagram.get(proxy.len()..).unwrap_or_default();
    Ok(Envelope { caller, service, header, payload })
}

fn read_addresses(addresses: &Addresses) -> Result<(SocketAddr, SocketAddr), WireError> {
    match addresses {
        Addresses::IPv4(v4) => Ok((
            (v4.source_address, v4.source_port).into(),
            (v4.destination_address, v4.destination_port).into(),
        )),
        Addresses::IPv6(v6) => Ok((
            (v6.source_address, v6.source_port).into(),
            (v6.destination_address, v6.destination_port).into(),
        )),
        Addresses::Unspecified | Addresses::Unix(_) => Err(WireError::Addresses),
    }
}

fn read_tlv(header: &mut Header, kind: u8, value: &[u8]) -> Result<(), WireError> {
    let refuse = |problem| WireError::tlv(kind, problem);
    let unknown_code = |_| refuse("unknown code");

    match kind {
        tlv_types::KIND => {
            let [code] = fixed(kind, value)?;
            header.kind = PacketKind::try_from(code).map_err(unknown_code)?;
        }
        tlv_types::REQUEST_ID => header.request = Some(u128::from_be_bytes(fixed(kind, value)?)),
        tlv_types::DEADLINE => {
            let millis = u64::from_be_bytes(fixed(kind, value)?);
            header.deadline = Some(from_unix_millis(millis));
        }
        tlv_types::ATTRIBUTES => {
            let [bits] = fixed(kind, value)?;
            header.repeatable = bits & 1 == 1;
            header.class = RequestClass::try_from(bits >> 1).map_err(unknown_code)?;
        }
        tlv_types::TOKEN => {
            let token = FlowToken::try_from(value).map_err(|_| refuse("wrong length"))?;
            header.token = Some(token);
        }
        tlv_types::RETRY_AFTER => {
            let millis = u32::from_be_bytes(fixed(kind, value)?);
            header.retry_after = Some(Duration::from_millis(millis.into()));
        }
        tlv_types::LOAD => {
            let [busy_slots, open_flows] = read_u16_pair(fixed(kind, value)?);
            header.load = Some(LoadReport { busy_slots, open_flows });
        }
        tlv_types::TARGET => header.target = Some(read_target(fixed(kind, value)?)),
        tlv_types::ATTEMPT => header.attempt = Some(u16::from_be_bytes(fixed(kind, value)?)),
        tlv_types::HOP => {
            let hop = read_hop(fixed(kind, value)?);
            header.hop = Some(hop.ok_or_else(|| refuse("unknown code"))?);
        }
        tlv_types::REFUSAL => {
            let [outcome, reason] = fixed(kind, value)?;
            let outcome = if outcome == 0 { Outcome::NotRun } else { Outcome::InDoubt };
            let reason = RefusalReason::try_from(reason).map_err(unknown_code)?;
            header.refusal = Some((outcome, reason));
        }
        tlv_types::SEGMENT => {
            let [index, count] = read_u16_pair(fixed(kind, value)?);
            let segment = Segment::new(index, count);
            header.segment = Some(segment.ok_or_else(|| refuse("index or count out of range"))?);
        }
        tlv_types::BINDING => header.binding = Some(read_binding(fixed(kind, value)?)),
        // Section 2.2.7: receivers ignore TLVs of unknown types.
        _ => {}
    }

    Ok(())
}

/// Returns the value of a TLV as an array, or an error if its length is not `N`.
fn fixed<const N: usize>(kind: u8, value: &[u8]) -> Result<[u8; N], WireError> {
    value.try_into().map_err(|_| WireError::tlv(kind, "wrong length"))
}

fn read_u16_pair(bytes: [u8; 4]) -> [u16; 2] {
    [u16::from_be_bytes([bytes[0], bytes[1]]), u16::from_be_bytes([bytes[2], bytes[3]])]
}

fn read_target(bytes: [u8; 10]) -> Target {
    Target {
        service: u16::from_be_bytes([bytes[0], bytes[1]]),
        backend: u32::from_be_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]),
        incarnation: u32::from_be_bytes([bytes[6], bytes[7], bytes[8], bytes[9]]),
    }
}

fn read_hop(bytes: [u8; 10]) -> Option<RelayHeader> {
    let [count, purpose, epoch @ ..] = bytes;
    let purpose = match purpose {
        0 => RelayPurpose::Home,
        1 => RelayPurpose::FormerHome,
        _ => return None,
    };

    Some(RelayHeader { count, purpose, view_epoch: u64::from_be_bytes(epoch) })
}

fn read_binding(bytes: [u8; 12]) -> Binding {
    let [k0, k1, k2, k3, k4, k5, k6, k7, backend @ ..] = bytes;

    Binding {
        key: u64::from_be_bytes([k0, k1, k2, k3, k4, k5, k6, k7]),
        backend: u32::from_be_bytes(backend),
    }
}
