//! Resets that are sent to callers without a packet to answer.
//!
//! A reset that only answers packets comes too late for an idle flow: by then the caller has sent
//! its next request, which it cannot repeat if the request is not idempotent. And a caller whose
//! request was acknowledged before its backend server died sends nothing more and waits until its
//! deadline. Therefore, when a backend server has ended or is considered dead, its flows are reset
//! proactively.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::caller_packet::{FlowAddresses, ResetReason};
use super::flow_reset::FlowReset;
use super::flow_tracker::{EndedBackend, FlowSelection, FlowTracker};
use crate::steering::knowledge::lapse::LapseDetector;

/// Maximum number of resets per round of 100 ms. At the design size a balancer has 6,200 flows,
/// some 900 of them in one availability zone: if the whole zone is lost, they are reset within 1.5
/// s, in bursts of 2.3 KB.
const MAX_RESETS_PER_ROUND: usize = 64;

/// Time for which no further reset is sent on a flow, since packets may still arrive that the
/// caller sent before it got the reset. Callers retransmit after 200 ms, so a packet after that
/// time means that the reset was lost.
const RESET_REPEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Flow whose caller is to be sent a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::steering) struct PendingReset {
    /// Reset to send to the caller.
    pub reset: FlowReset,
    /// Backend server of the flow.
    pub instance: InstanceId,
    /// Reason for the reset.
    pub reason: ResetReason,
}

/// Collects ended backend servers and issues the resets of their flows at a limited rate.
#[derive(Debug, Default)]
pub(in crate::steering) struct ResetScheduler {
    /// Backend servers whose entries are gone and whose flows are not reset yet; some of the
    /// entries may only have lapsed.
    gone: Vec<InstanceId>,
    /// Backend servers that have come to be considered dead since the last round.
    silent: Vec<InstanceId>,
    /// Flows that have missed an answer of a backend server which has come to be considered dead
    /// since the last round.
    unanswered: Vec<(InstanceId, FlowAddresses)>,
    /// Flows to reset; their records are removed already.
    due: VecDeque<PendingReset>,
    /// Flows that were reset recently, each with the time until which no further reset is sent.
    recent_resets: HashMap<FlowAddresses, Instant>,
}

impl ResetScheduler {
    /// Records that the entries of some backend servers are gone.
    pub(in crate::steering) fn on_gone(&mut self, instances: Vec<InstanceId>) {
        self.gone.extend(instances);
    }

    /// Records that a backend server is considered dead, so that its idle flows are reset in the
    /// next round.
    pub(in crate::steering) fn on_considered_dead(&mut self, instance: InstanceId) {
        if !self.silent.contains(&instance) {
            self.silent.push(instance);
        }
    }

    /// Records that flows have missed an answer of a backend server that is considered dead, so that
    /// they are reset in the next round. Their callers' next retransmissions come later.
    pub(in crate::steering) fn on_unanswered(
        &mut self,
        instance: InstanceId,
        flows: Vec<FlowAddresses>,
    ) {
        self.unanswered.extend(flows.into_iter().map(|flow| (instance, flow)));
    }

    /// Returns the flows whose callers are to be sent a reset now, at most [`MAX_RESETS_PER_ROUND`].
    pub(in crate::steering) fn take_due(
        &mut self,
        flows: &mut FlowTracker,
        detector: &LapseDetector<'_>,
    ) -> Vec<PendingReset> {
        self.collect_gone(flows, detector);
        self.collect_silent(flows);

        let count = self.due.len().min(MAX_RESETS_PER_ROUND);
        let ended: Vec<_> = self.due.drain(..count).collect();
        for flow in ended.iter().map(|ended| ended.reset.flow) {
            self.on_reset_sent(flow, detector.now);
        }
        ended
    }

    /// Queues resets for the flows of the gone backend servers that have ended, and drops those
    /// backend servers whose entries have returned.
    fn collect_gone(&mut self, flows: &mut FlowTracker, detector: &LapseDetector<'_>) {
        self.gone.retain(|instance| detector.is_gone(*instance));
        let ended = self.gone.extract_if(.., |instance| detector.has_ended(*instance));
        let ended: Vec<_> = ended.map(|instance| detector.flows_to_end(instance)).collect();

        self.collect(flows, &ended, ResetReason::BackendGone, FlowSelection::Open);
    }

    /// Queues resets for the idle flows of backend servers that are considered dead, and for those
    /// that have missed an answer. Other flows that wait for an answer may still get it; they are
    /// reset when the caller retransmits.
    fn collect_silent(&mut self, flows: &mut FlowTracker) {
        let reason = ResetReason::BackendSilent;
        for (instance, flow) in std::mem::take(&mut self.unanswered) {
            let reset = flows.take_waiting_flow(&flow, instance);
            self.due.extend(reset.map(|reset| PendingReset { reset, instance, reason }));
        }
        let silent: Vec<_> =
            std::mem::take(&mut self.silent).into_iter().map(EndedBackend::all_of).collect();

        self.collect(flows, &silent, reason, FlowSelection::Idle);
    }

    fn collect(
        &mut self,
        flows: &mut FlowTracker,
        ended: &[EndedBackend],
        reason: ResetReason,
        selection: FlowSelection,
    ) {
        if ended.is_empty() {
            return;
        }

        let taken = flows.take_flows_of(ended, selection);
        let ended =
            taken.into_iter().map(|(reset, instance)| PendingReset { reset, instance, reason });
        self.due.extend(ended);
    }

    /// Records that a reset is being sent on a flow.
    pub(in crate::steering) fn on_reset_sent(&mut self, flow: FlowAddresses, now: Instant) {
        self.recent_resets.insert(flow, now + RESET_REPEAT_INTERVAL);
    }

    /// Reports whether a reset was sent on a flow within the last [`RESET_REPEAT_INTERVAL`].
    pub(in crate::steering) fn was_reset_recently(
        &self,
        flow: &FlowAddresses,
        now: Instant,
    ) -> bool {
        self.recent_resets.get(flow).is_some_and(|until| *until > now)
    }

    /// Drops the records of resets that are older than [`RESET_REPEAT_INTERVAL`].
    pub(in crate::steering) fn forget(&mut self, now: Instant) {
        self.recent_resets.retain(|_, until| *until > now);
    }
}
