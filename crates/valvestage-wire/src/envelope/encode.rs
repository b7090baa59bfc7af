//! Encoding of envelopes.

use std::io;

use ppp::v2::{Builder, Command, Protocol, Version};
use valvestage_core::time::to_unix_millis;

use super::header::{Envelope, Header};
use super::{MAX_DATAGRAM, tlv_types};
use crate::errors::WireError;

/// Bytes to reserve for the header: enough for the TLVs that most packets have.
const TYPICAL_HEADER_BYTES: usize = 96;

/// Encodes an envelope as a datagram.
pub fn encode(envelope: &Envelope<'_>) -> Result<Vec<u8>, WireError> {
    let mut datagram =
        encode_header(envelope).map_err(|error| WireError::Header(error.to_string()))?;

    datagram.extend_from_slice(envelope.payload);
    if datagram.len() > MAX_DATAGRAM {
        return Err(WireError::Oversized(datagram.len()));
    }

    Ok(datagram)
}

fn encode_header(envelope: &Envelope<'_>) -> io::Result<Vec<u8>> {
    let addresses = (envelope.caller, envelope.service);
    let builder =
        Builder::with_addresses(Version::Two | Command::Proxy, Protocol::Datagram, addresses)
            .reserve_capacity(TYPICAL_HEADER_BYTES + envelope.payload.len());

    let builder = write_flow_tlvs(builder, &envelope.header)?;
    let builder = write_request_tlvs(builder, &envelope.header)?;
    write_path_tlvs(builder, &envelope.header)?.build()
}

fn write_flow_tlvs(mut builder: Builder, header: &Header) -> io::Result<Builder> {
    builder = builder.write_tlv(tlv_types::KIND, &[header.kind as u8])?;

    if let Some(token) = header.token {
        builder = builder.write_tlv(tlv_types::TOKEN, &token.to_bytes())?;
    }
    if let Some(binding) = header.binding {
        let mut value = [0; 12];
        value[..8].copy_from_slice(&binding.key.to_be_bytes());
        value[8..].copy_from_slice(&binding.backend.to_be_bytes());
        builder = builder.write_tlv(tlv_types::BINDING, &value)?;
    }

    Ok(builder)
}

fn write_request_tlvs(mut builder: Builder, header: &Header) -> io::Result<Builder> {
    let Some(id) = header.request else {
        return Ok(builder);
    };

    builder = builder.write_tlv(tlv_types::REQUEST_ID, &id.to_be_bytes())?;
    if let Some(deadline) = header.deadline {
        let attributes = u8::from(header.repeatable) | (header.class as u8) << 1;
        builder =
            builder.write_tlv(tlv_types::DEADLINE, &to_unix_millis(deadline).to_be_bytes())?;
        builder = builder.write_tlv(tlv_types::ATTRIBUTES, &[attributes])?;
    }
    if let Some(attempt) = header.attempt {
        builder = builder.write_tlv(tlv_types::ATTEMPT, &attempt.to_be_bytes())?;
    }
    if let Some(segment) = header.segment {
        let value = encode_u16_pair(segment.index, segment.count);
        builder = builder.write_tlv(tlv_types::SEGMENT, &value)?;
    }

    Ok(builder)
}

fn write_path_tlvs(mut builder: Builder, header: &Header) -> io::Result<Builder> {
    if let Some(target) = header.target {
        let mut value = [0; 10];
        value[..2].copy_from_slice(&target.service.to_be_bytes());
        value[2..6].copy_from_slice(&target.backend.to_be_bytes());
        value[6..].copy_from_slice(&target.incarnation.to_be_bytes());
        builder = builder.write_tlv(tlv_types::TARGET, &value)?;
    }
    if let Some(load) = header.load {
        let value = encode_u16_pair(load.busy_slots, load.open_flows);
        builder = builder.write_tlv(tlv_types::LOAD, &value)?;
    }
    if let Some(hop) = header.hop {
        let mut value = [0; 10];
        value[0] = hop.count;
        value[1] = hop.purpose as u8;
        value[2..].copy_from_slice(&hop.view_epoch.to_be_bytes());
        builder = builder.write_tlv(tlv_types::HOP, &value)?;
    }
    if let Some((outcome, reason)) = header.refusal {
        builder = builder.write_tlv(tlv_types::REFUSAL, &[outcome as u8, reason as u8])?;
    }
    if let Some(retry_after) = header.retry_after {
        let millis = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        builder = builder.write_tlv(tlv_types::RETRY_AFTER, &millis.to_be_bytes())?;
    }

    Ok(builder)
}

fn encode_u16_pair(first: u16, second: u16) -> [u8; 4] {
    let (first, second) = (first.to_be_bytes(), second.to_be_bytes());

    [first[0], first[1], second[0], second[1]]
}
