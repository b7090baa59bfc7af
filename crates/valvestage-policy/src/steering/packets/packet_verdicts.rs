//! Verdicts that several steps of steering share.

use std::hash::Hasher;
use std::time::Instant;

use siphasher::sip::SipHasher13;
use valvestage_core::ids::InstanceId;

use super::caller_packet::{DropReason, FlowAddresses, PacketVerdict, ResetReason};
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_directory::BackendDirectory;

/// Returns the verdict on a packet that may be refused because its service address has no route: a
/// packet that asks to open a flow, or one of an open flow whose route was dropped. If the
/// configuration may be out of date, the packet is dropped rather than refused: the caller
/// retransmits it.
pub(in crate::steering) fn no_route_verdict(knowledge: &Knowledge, now: Instant) -> PacketVerdict {
    if knowledge.is_certain(now) && knowledge.has_newest_routes(now) {
        PacketVerdict::Reset(ResetReason::NoRoute)
    } else {
        PacketVerdict::Drop(DropReason::NoRoute)
    }
}

/// Returns the verdict that forwards a packet to a backend server.
pub(in crate::steering) fn forward(knowledge: &Knowledge, instance: InstanceId) -> PacketVerdict {
    match knowledge.directory.get(instance) {
        Some(entry) => PacketVerdict::Forward {
            instance,
            number: entry.name.number,
            address: entry.address,
            token: BackendDirectory::token_of(entry.name.number),
        },
        None => PacketVerdict::Drop(DropReason::UnknownToken),
    }
}

/// Returns a hash of a flow that is the same at every balancer.
pub(in crate::steering) fn hash_flow(flow: &FlowAddresses) -> u64 {
    let mut hasher = SipHasher13::new();

    for address in [flow.caller, flow.service] {
        hasher.write(&address.ip().octets());
        hasher.write_u16(address.port());
    }
    hasher.finish()
}
