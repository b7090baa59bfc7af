//! Measurement of the load that callers' packets cause, while admission control is enabled.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, FlowAddresses};
use super::flow_record::LivenessSignal;
use super::flow_tracker::FlowObservation;
use super::steering_policy::SteeringPolicy;
use crate::steering::health::flow_request::FlowRequest;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::request_class::RoutePriority;

/// State of a flow before a packet of it is observed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FlowBefore {
    /// Its request, unless the answer has been counted.
    request: Option<FlowRequest>,
    /// Whether the flow has had a request.
    has_sent: bool,
}

impl SteeringPolicy {
    /// Returns the state of a flow before a packet is observed; `None` if nothing is measured.
    pub(super) fn flow_before(&self, flow: &FlowAddresses) -> Option<FlowBefore> {
        self.options.admission?;
        let record = self.flows.get(flow)?;

        let request = record.uncounted_request();
        Some(FlowBefore { request, has_sent: record.has_sent_request() })
    }

    /// Counts a first opening packet in the load of its service, if admission control is enabled
    /// and the route has a class.
    pub(super) fn measure_opening(
        &mut self,
        knowledge: &Knowledge,
        flow: FlowAddresses,
        service: &str,
        now: Instant,
    ) {
        let is_retransmission = self.flows.get(&flow).is_some_and(|record| !record.open);
        if self.options.admission.is_none() || is_retransmission {
            return;
        }

        if let Some(priority) = priority_of(knowledge, flow) {
            self.load_meter.on_opening(service, priority, now);
        }
    }

    /// Counts the request that the first packet of a flow carries which was opened through another
    /// balancer.
    pub(super) fn measure_taken_over(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        packet: &CallerPacket,
        now: Instant,
    ) {
        if self.options.admission.is_some() && packet.data_length > 0 {
            self.count_further(knowledge, instance, packet.flow, now);
        }
    }

    /// Counts what a packet of a known flow shows about the load.
    pub(super) fn measure(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        packet: &CallerPacket,
        (before, observation): (FlowBefore, FlowObservation),
        now: Instant,
    ) {
        if let Some(request) = before.request {
            self.measure_answer(knowledge, instance, packet, (request, observation), now);
        }
        if observation.began.is_some() && before.has_sent {
            self.count_further(knowledge, instance, packet.flow, now);
        }
        if let LivenessSignal::Alive(answer) = observation.signal
            && let Some(since) = answer.since.filter(|_| answer.opening)
            && let Some(entry) = knowledge.directory.get(instance)
        {
            self.load_meter.on_handshake(&entry.service, now.saturating_duration_since(since));
        }
    }

    /// Counts an answer as soon as the caller has acknowledged enough of it for an ordinary one. On
    /// a long-lived flow the request ends only with the next one, some second later.
    fn measure_answer(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        packet: &CallerPacket,
        (request, observation): (FlowRequest, FlowObservation),
        now: Instant,
    ) {
        let bytes = request.end(packet.acknowledged).answer_bytes;
        let Some(entry) = knowledge.directory.get(instance) else { return };
        if packet.opening || bytes == 0 {
            return;
        }

        let is_over = observation.ended.is_some() || observation.began.is_some();
        if !self.backends.is_short_answer(packet.flow.service, bytes) {
            self.load_meter.on_completed(&entry.service, now);
            self.flows.mark_counted(&packet.flow, request.started);
        } else if is_over {
            self.load_meter.on_rejected(&entry.service, now);
        }
    }

    fn count_further(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        flow: FlowAddresses,
        now: Instant,
    ) {
        let entry = knowledge.directory.get(instance);

        if let Some((entry, priority)) = entry.zip(priority_of(knowledge, flow)) {
            self.load_meter.on_further(&entry.service, priority, now);
        }
    }
}

fn priority_of(knowledge: &Knowledge, flow: FlowAddresses) -> Option<RoutePriority> {
    knowledge.routes.request_classes.get(&flow.service).map(|class| class.priority)
}
