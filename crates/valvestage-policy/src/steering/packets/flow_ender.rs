//! Which callers are told that their flows are over, and when.
//!
//! A reset that only answers packets comes too late for a flow that rests: its caller has then sent the next
//! request on it, and may not send that again if it is not idempotent. And a caller whose request was
//! acknowledged before its backend server died sends nothing more, and waits until its deadline. So when a
//! backend server has ended, or is given up, the flows there are told without being asked.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use valvestage_core::ids::InstanceId;

use super::caller_packet::{FlowAddresses, ResetReason};
use super::flow_reset::FlowReset;
use super::flow_tracker::{EndedBackend, FlowSelection, FlowTracker};
use crate::steering::knowledge::lapse::LapseJudge;

/// Flows told in one round of 100 ms at most. At the size to design for a balancer has 6,200 flows, some 900
/// of them in one availability zone: if all of that is lost they are told within 1.5 s, in bursts of 2.3 KB.
const TOLD_PER_ROUND: usize = 64;

/// A caller that was told is not told again for packets that it sent before it knew. Callers send again after
/// 200 ms, and then the reset was lost.
const TELL_AGAIN_AFTER: Duration = Duration::from_millis(150);

/// `EndedFlow` is a flow whose caller is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::steering) struct EndedFlow {
    /// What the caller is sent.
    pub reset: FlowReset,
    /// Its backend server.
    pub instance: InstanceId,
    /// Why it is over.
    pub reason: ResetReason,
}

/// `FlowEnder` collects ended backend servers, and tells the callers of their flows within a budget.
#[derive(Debug, Default)]
pub(in crate::steering) struct FlowEnder {
    /// Backend servers whose entries are gone, whose flows were not told yet; some may have lapsed only.
    gone: Vec<InstanceId>,
    /// Backend servers that were given up since the last round.
    silent: Vec<InstanceId>,
    /// Flows to be told; their records are dropped already.
    due: VecDeque<EndedFlow>,
    /// Callers that were told, until when they are not told again.
    told: HashMap<FlowAddresses, Instant>,
}

impl FlowEnder {
    /// `on_gone` takes in that the entries of some backend servers are gone.
    pub(in crate::steering) fn on_gone(&mut self, instances: Vec<InstanceId>) {
        self.gone.extend(instances);
    }

    /// `on_given_up` takes in that the open flows of a backend server are being ended.
    pub(in crate::steering) fn on_given_up(&mut self, instance: InstanceId) {
        if !self.silent.contains(&instance) {
            self.silent.push(instance);
        }
    }

    /// `round` gives the flows whose callers are to be told now.
    pub(in crate::steering) fn round(
        &mut self,
        flows: &mut FlowTracker,
        judge: &LapseJudge<'_>,
    ) -> Vec<EndedFlow> {
        self.collect_gone(flows, judge);
        self.collect_silent(flows);

        let count = self.due.len().min(TOLD_PER_ROUND);
        let ended: Vec<_> = self.due.drain(..count).collect();
        for flow in ended.iter().map(|ended| ended.reset.flow) {
            self.on_told(flow, judge.now);
        }
        ended
    }

    /// Takes the flows of those backend servers that have ended, and forgets those that have returned.
    fn collect_gone(&mut self, flows: &mut FlowTracker, judge: &LapseJudge<'_>) {
        self.gone.retain(|instance| judge.is_gone(*instance));
        let ended = self.gone.extract_if(.., |instance| judge.has_ended(*instance));
        let ended: Vec<_> = ended.map(|instance| judge.ended(instance)).collect();

        self.collect(flows, &ended, ResetReason::BackendGone, FlowSelection::Open);
    }

    /// Takes the resting flows of backend servers that were given up. Those that wait for an answer may still
    /// get it; they are told when they send again.
    fn collect_silent(&mut self, flows: &mut FlowTracker) {
        let silent: Vec<_> =
            std::mem::take(&mut self.silent).into_iter().map(EndedBackend::all_of).collect();

        self.collect(flows, &silent, ResetReason::BackendSilent, FlowSelection::Resting);
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

        let taken = flows.take_at(ended, selection);
        let ended =
            taken.into_iter().map(|(reset, instance)| EndedFlow { reset, instance, reason });
        self.due.extend(ended);
    }

    /// `on_told` takes in that a caller is being told.
    pub(in crate::steering) fn on_told(&mut self, flow: FlowAddresses, now: Instant) {
        self.told.insert(flow, now + TELL_AGAIN_AFTER);
    }

    /// `is_told` tells whether a caller was told a moment ago.
    pub(in crate::steering) fn is_told(&self, flow: &FlowAddresses, now: Instant) -> bool {
        self.told.get(flow).is_some_and(|until| *until > now)
    }

    /// `forget` drops what is over.
    pub(in crate::steering) fn forget(&mut self, now: Instant) {
        self.told.retain(|_, until| *until > now);
    }
}
