//! Lookup of the backend server that a packet of an open flow belongs to.

use valvestage_core::ids::InstanceId;

use super::caller_packet::CallerPacket;
use super::flow_tracker::FlowTracker;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendEntry;

/// Returns the backend server of a flow. Before the flow is open, the token takes precedence over
/// the record: the caller may have accepted the answer of a backend server that got another
/// transmission of the opening packet.
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

/// Returns the incarnation that continues the flows of `instance`. If another process has started
/// under the same name, only that process knows whether it has the flow, so the packet goes there,
/// unless it runs another service than its predecessors.
pub(in crate::steering) fn current_incarnation(
    knowledge: &Knowledge,
    packet: &CallerPacket,
    instance: InstanceId,
) -> InstanceId {
    let directory = &knowledge.directory;
    let Some(present) = directory.successor(instance).or_else(|| directory.get(instance)) else {
        return instance;
    };
    let is_led_to =
        |entry: &&BackendEntry| knowledge.routes.leads_to(packet.flow.service, &entry.service);
    if is_led_to(&present) {
        return present.instance;
    }

    let former = directory.other_incarnations(present).find(is_led_to);
    former.unwrap_or(present).instance
}
