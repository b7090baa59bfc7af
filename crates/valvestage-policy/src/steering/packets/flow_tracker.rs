//! Records of the flows that this balancer has seen packets of.

use std::time::{Duration, Instant};

use hashbrown::HashMap;
use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, FlowAddresses};
use super::flow_record::{FlowRecord, LivenessSignal};
use super::flow_reset::FlowReset;
use crate::steering::health::flow_request::EndedRequest;
use crate::steering::placement::backend_load::BackendLoad;

/// Retention of a flow after its caller has ended it, for late packets. Senders stop retransmitting
/// within 1.6 s.
const CLOSED_RETENTION: Duration = Duration::from_secs(2);

/// Retention of a flow that never opened. Callers give up after 1.4 s.
const UNOPENED_RETENTION: Duration = Duration::from_secs(3);

/// Time without a packet after which the caller of a request has given it up, or has its answer:
/// callers retransmit within 1.6 s.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(2);

/// What one packet shows about its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowObservation {
    /// What the packet shows about the liveness of the backend server.
    pub signal: LivenessSignal,
    /// Request that the packet ends, if any.
    pub ended: Option<EndedRequest>,
    /// Start of the request that the packet begins, if any.
    pub began: Option<Instant>,
}

impl FlowObservation {
    /// Returns the observation for a packet of an unknown flow.
    fn neutral() -> Self {
        Self { signal: LivenessSignal::Neutral, ended: None, began: None }
    }
}

/// Selects which flows of an ended backend server are reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::steering) enum FlowSelection {
    /// Open flows that their callers have not ended.
    Open,
    /// Open flows, not ended by their callers, that wait for no answer.
    Idle,
}

/// Backend server whose flows are to be reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::steering) struct EndedBackend {
    /// Incarnation that has ended.
    pub instance: InstanceId,
    /// Restricts the reset to flows first seen before this time; `None` means all flows. Later
    /// flows may belong to the process that has started under the same name.
    pub seen_before: Option<Instant>,
}

impl EndedBackend {
    /// Selects all flows of an incarnation.
    pub(in crate::steering) fn all_of(instance: InstanceId) -> Self {
        Self { instance, seen_before: None }
    }

    fn covers(&self, record: &FlowRecord) -> bool {
        record.instance == self.instance
            && self.seen_before.is_none_or(|before| record.first_packet < before)
    }
}

/// Records of all known flows, with the load that they put on each backend server.
#[derive(Debug, Default)]
pub struct FlowTracker {
    /// Invariant: `loads` is the sum over these records.
    records: HashMap<FlowAddresses, FlowRecord>,
    loads: HashMap<InstanceId, BackendLoad>,
}

impl FlowTracker {
    /// Returns the record of a flow, if the flow is known.
    #[must_use]
    pub fn get(&self, flow: &FlowAddresses) -> Option<&FlowRecord> {
        self.records.get(flow)
    }

    /// Returns the number of known flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether no flow is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the load that the known flows put on a backend server.
    #[must_use]
    pub fn load(&self, instance: InstanceId) -> BackendLoad {
        self.loads.get(&instance).copied().unwrap_or_default()
    }

    /// Iterates over the backend servers that have flows, each with the load of these flows.
    pub fn loads(&self) -> impl Iterator<Item = (InstanceId, BackendLoad)> {
        self.loads.iter().map(|(instance, load)| (*instance, *load))
    }

    /// Adds the record of a flow, replacing an earlier one of the same flow.
    pub fn insert(&mut self, flow: FlowAddresses, record: FlowRecord) {
        self.remove(&flow);

        self.loads.entry(record.instance).or_default().add(&record);
        self.records.insert(flow, record);
    }

    /// Updates the record of the packet's flow, and returns what the packet shows.
    pub fn observe(&mut self, packet: &CallerPacket, now: Instant) -> FlowObservation {
        let Some(record) = self.records.get_mut(&packet.flow) else {
            return FlowObservation::neutral();
        };

        let load = self.loads.entry(record.instance).or_default();
        load.subtract(record);
        let before = record.request_started();
        let ended = record.end_request(packet);
        let signal = record.observe(packet, now);
        load.add(record);
        let began = record.request_started().filter(|began| before != Some(*began));
        FlowObservation { signal, ended, began }
    }

    /// Records that the service address of a flow has a route.
    pub fn mark_routed(&mut self, flow: &FlowAddresses) {
        if let Some(record) = self.records.get_mut(flow) {
            record.mark_routed();
        }
    }

    /// Returns the request of a flow that began at `started`, with its backend server, if it still
    /// waits for an answer or its answer seems complete.
    pub fn take_overdue_request(
        &mut self,
        flow: &FlowAddresses,
        started: Instant,
        now: Instant,
    ) -> Option<(InstanceId, EndedRequest)> {
        let record = self.records.get_mut(flow)?;
        let instance = record.instance;

        record.take_overdue_request(started, now).map(|ended| (instance, ended))
    }

    /// Records that the answer to the request that began at `started` has been counted.
    pub fn mark_counted(&mut self, flow: &FlowAddresses, started: Instant) {
        if let Some(record) = self.records.get_mut(flow) {
            record.mark_counted(started);
        }
    }

    /// Handles a packet as a probe of its flow's backend server. Returns true if an earlier probe
    /// has shown that the backend server does not answer.
    pub fn has_failed_probe(
        &mut self,
        packet: &CallerPacket,
        not_before: Option<Instant>,
        now: Instant,
    ) -> bool {
        let record = self.records.get_mut(&packet.flow);

        record.is_some_and(|record| record.has_failed_probe(packet, not_before, now))
    }

    /// Drops all requests under way without an outcome.
    pub fn forget_requests(&mut self) {
        self.records.values_mut().for_each(FlowRecord::forget_request);
    }

    /// Removes a flow, and its load from its backend server.
    pub fn remove(&mut self, flow: &FlowAddresses) {
        let Some(record) = self.records.remove(flow) else {
            return;
        };

        if let Some(load) = self.loads.get_mut(&record.instance) {
            load.subtract(&record);
            if load.is_zero() {
                self.loads.remove(&record.instance);
            }
        }
    }

    /// Removes the selected flows of some backend servers, and returns the reset of each, with its
    /// backend server.
    pub(in crate::steering) fn take_flows_of(
        &mut self,
        ended: &[EndedBackend],
        selection: FlowSelection,
    ) -> Vec<(FlowReset, InstanceId)> {
        let is_taken = |record: &FlowRecord| {
            record.open
                && !record.closing
                && ended.iter().any(|ended| ended.covers(record))
                && (selection == FlowSelection::Open || !record.is_busy())
        };
        let taken = self.records.iter().filter(|(_, record)| is_taken(record));
        let mut taken: Vec<_> =
            taken.map(|(flow, record)| (record.reset_of(*flow), record.instance)).collect();

        // Sorted, so that a simulation with the same seed repeats exactly.
        taken.sort_unstable_by_key(|(reset, _)| reset.flow);
        for (reset, _) in &taken {
            self.remove(&reset.flow);
        }
        taken
    }

    /// Removes an open flow that waits for an answer of a backend server, and returns its reset.
    pub(in crate::steering) fn take_waiting_flow(
        &mut self,
        flow: &FlowAddresses,
        instance: InstanceId,
    ) -> Option<FlowReset> {
        let waits = |record: &&FlowRecord| {
            record.instance == instance && record.open && !record.closing && record.is_busy()
        };
        let reset = self.get(flow).filter(waits)?.reset_of(*flow);

        self.remove(flow);
        Some(reset)
    }

    /// Removes the flows without packets for longer than their retention; `idle_timeout` is the
    /// retention of open flows.
    pub fn expire(&mut self, now: Instant, idle_timeout: Duration) {
        let is_over = |record: &FlowRecord| {
            let keep = match (record.open, record.closing) {
                (false, _) => UNOPENED_RETENTION,
                (true, true) => CLOSED_RETENTION,
                (true, false) => idle_timeout,
            };
            now.saturating_duration_since(record.last_packet) > keep
        };

        let over = self.records.iter().filter(|(_, record)| is_over(record));
        let over: Vec<FlowAddresses> = over.map(|(flow, _)| *flow).collect();
        for flow in over {
            self.remove(&flow);
        }
        self.give_up_silent(now);
    }

    /// Ceases to count the requests whose callers have given them up. After an outage, all requests
    /// that ran into their callers' deadlines would otherwise count until their flows expire.
    fn give_up_silent(&mut self, now: Instant) {
        let Self { records, loads } = self;
        let is_silent = |record: &&mut FlowRecord| {
            let silence = now.saturating_duration_since(record.last_packet);
            record.is_waiting() && silence > GIVEN_UP_AFTER
        };

        for record in records.values_mut().filter(is_silent) {
            let load = loads.entry(record.instance).or_default();
            load.subtract(record);
            record.give_up();
            load.add(record);
        }
    }
}
