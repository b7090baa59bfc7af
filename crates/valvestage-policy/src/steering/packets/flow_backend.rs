//! The backend server that a packet of an open flow is for.

use valvestage_core::ids::InstanceId;

use super::caller_packet::CallerPacket;
use super::flow_tracker::FlowTracker;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendEntry;

/// `instance_of` gives the backend server of a flow. Before it is open the token goes before the record: a copy of
/// the opening packet may have gone to another one than the one that the caller took.
pub(in crate::steering) fn instance_of(
    flows: &FlowTracker,
    knowledge: &Knowledge,
    packet: &CallerPacket,
) -> Option<InstanceId> {
    let record = flows.get(&packet.flow);
    if let Some(record) = record
        && record.open
    {
        return Some(record.instance);
    }

    let named = knowledge.directory.by_token(packet.token).map(|entry| entry.instance);
    named.or(record.map(|record| record.instance))
}

/// `present_birth` gives where a flow of an incarnation goes on. If another process has started under its name, that one alone
/// knows whether the flow was opened there, unless it runs another service than those before it did.
pub(in crate::steering) fn present_birth(
    knowledge: &Knowledge,
    packet: &CallerPacket,
    instance: InstanceId,
) -> InstanceId {
    let directory = &knowledge.directory;
    let Some(present) = directory.heir(instance).or_else(|| directory.get(instance)) else {
        return instance;
    };
    let is_led_to =
        |entry: &&BackendEntry| knowledge.routes.leads_to(packet.flow.service, &entry.service);
    if is_led_to(&present) {
        return present.instance;
    }

    let former = directory.other_births(present).find(is_led_to);
    former.unwrap_or(present).instance
}
