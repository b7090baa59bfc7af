//! Verdicts that several steps of steering come to.

use std::hash::Hasher;
use std::time::Instant;

use siphasher::sip::SipHasher13;
use valvestage_core::ids::InstanceId;

use super::caller_packet::{DropReason, FlowAddresses, PacketVerdict, ResetReason};
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_directory::BackendDirectory;

/// `refuse_route` gives the verdict on a packet for an address without a route. A configuration that may be out of date
/// refuses nothing: the caller sends the packet again.
pub(in crate::steering) fn refuse_route(knowledge: &Knowledge, now: Instant) -> PacketVerdict {
    if knowledge.is_certain(now) {
        PacketVerdict::Reset(ResetReason::NoRoute)
    } else {
        PacketVerdict::Drop(DropReason::NoRoute)
    }
}

/// `forward` gives the verdict that a packet goes to a backend server.
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

/// `draw_of` gives a number that is the same for a flow at every balancer.
pub(in crate::steering) fn draw_of(flow: &FlowAddresses) -> u64 {
    let mut hasher = SipHasher13::new();

    for address in [flow.caller, flow.service] {
        hasher.write(&address.ip().octets());
        hasher.write_u16(address.port());
    }
    hasher.finish()
}
