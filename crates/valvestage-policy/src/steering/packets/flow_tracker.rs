//! The flows that this balancer has seen packets of.

use std::time::{Duration, Instant};

use hashbrown::HashMap;
use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, FlowAddresses};
use super::flow_record::{FlowRecord, FlowSign};
use super::flow_reset::FlowReset;
use crate::steering::health::flow_request::EndedRequest;
use crate::steering::placement::backend_load::BackendLoad;

/// A flow that the caller has ended is kept for packets that come late. Senders give up resending
/// within 1.6 s.
const KEEP_CLOSED: Duration = Duration::from_secs(2);

/// A flow that never opened is forgotten: callers give up after 1.4 s.
const KEEP_UNOPENED: Duration = Duration::from_secs(3);

/// `FlowObservation` is what a packet shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowObservation {
    /// About the backend server.
    pub sign: FlowSign,
    /// The request that it ends.
    pub ended: Option<EndedRequest>,
    /// When the request began that it begins.
    pub began: Option<Instant>,
}

impl FlowObservation {
    /// What a packet of a flow that is not known shows.
    fn nothing() -> Self {
        Self { sign: FlowSign::Neutral, ended: None, began: None }
    }
}

/// `FlowSelection` says which flows are meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::steering) enum FlowSelection {
    /// Those that opened and that their callers have not ended.
    Open,
    /// Those of them that wait for no answer.
    Resting,
}

/// `EndedBackend` is a backend server whose flows are to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::steering) struct EndedBackend {
    /// The incarnation.
    pub instance: InstanceId,
    /// Only flows that were seen before; none: all. Later ones may be at the process that has started under its name.
    pub seen_before: Option<Instant>,
}

impl EndedBackend {
    /// `all_of` means all flows of an incarnation.
    pub(in crate::steering) fn all_of(instance: InstanceId) -> Self {
        Self { instance, seen_before: None }
    }

    fn has(&self, record: &FlowRecord) -> bool {
        record.instance == self.instance
            && self.seen_before.is_none_or(|before| record.first_packet < before)
    }
}

/// `FlowTracker` holds records of flows and the load that they are for each backend server.
#[derive(Debug, Default)]
pub struct FlowTracker {
    /// Invariant: `loads` is the sum over these records.
    records: HashMap<FlowAddresses, FlowRecord>,
    loads: HashMap<InstanceId, BackendLoad>,
}

impl FlowTracker {
    /// `get` gives the record of a flow.
    #[must_use]
    pub fn get(&self, flow: &FlowAddresses) -> Option<&FlowRecord> {
        self.records.get(flow)
    }

    /// `len` gives the number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// `is_empty` tells whether there is no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// `load` gives the load that the flows are for a backend server.
    #[must_use]
    pub fn load(&self, instance: InstanceId) -> BackendLoad {
        self.loads.get(&instance).copied().unwrap_or_default()
    }

    /// `loads` gives the backend servers that have flows, each with the load that these are for it.
    pub fn loads(&self) -> impl Iterator<Item = (InstanceId, BackendLoad)> {
        self.loads.iter().map(|(instance, load)| (*instance, *load))
    }

    /// `insert` adds a record, in place of an earlier one of the flow.
    pub fn insert(&mut self, flow: FlowAddresses, record: FlowRecord) {
        self.remove(&flow);

        self.loads.entry(record.instance).or_default().add(&record);
        self.records.insert(flow, record);
    }

    /// `observe` takes a packet of a known flow in.
    pub fn observe(&mut self, packet: &CallerPacket, now: Instant) -> FlowObservation {
        let Some(record) = self.records.get_mut(&packet.flow) else {
            return FlowObservation::nothing();
        };

        let load = self.loads.entry(record.instance).or_default();
        load.subtract(record);
        let before = record.request_started();
        let ended = record.end_request(packet);
        let sign = record.observe(packet, now);
        load.add(record);
        let began = record.request_started().filter(|began| before != Some(*began));
        FlowObservation { sign, ended, began }
    }

    /// `end_overdue` gives the request of a flow that began at a time, with its backend server, if
    /// it still waits for an answer or its answer seems whole.
    pub fn end_overdue(
        &mut self,
        flow: &FlowAddresses,
        started: Instant,
        now: Instant,
    ) -> Option<(InstanceId, EndedRequest)> {
        let record = self.records.get_mut(flow)?;
        let instance = record.instance;

        record.end_overdue(started, now).map(|ended| (instance, ended))
    }

    /// `misses_probe` takes in a packet that is to show whether the backend server of its flow lives; true if one before it has
    /// shown that it does not.
    pub fn misses_probe(
        &mut self,
        packet: &CallerPacket,
        not_before: Option<Instant>,
        now: Instant,
    ) -> bool {
        let record = self.records.get_mut(&packet.flow);

        record.is_some_and(|record| record.misses_probe(packet, not_before, now))
    }

    /// `forget_requests` leaves the outcome of all requests under way open.
    pub fn forget_requests(&mut self) {
        self.records.values_mut().for_each(FlowRecord::forget_request);
    }

    /// `remove` forgets a flow.
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

    /// `take_at` forgets flows of some backend servers, and gives how to tell their callers, each with its
    /// backend server.
    pub(in crate::steering) fn take_at(
        &mut self,
        ended: &[EndedBackend],
        selection: FlowSelection,
    ) -> Vec<(FlowReset, InstanceId)> {
        let is_taken = |record: &FlowRecord| {
            record.open
                && !record.closing
                && ended.iter().any(|ended| ended.has(record))
                && (selection == FlowSelection::Open || !record.is_busy())
        };
        let taken = self.records.iter().filter(|(_, record)| is_taken(record));
        let mut taken: Vec<_> =
            taken.map(|(flow, record)| (record.reset_of(*flow), record.instance)).collect();

        // The same order on every run, so that a simulated seed repeats itself.
        taken.sort_unstable_by_key(|(reset, _)| reset.flow);
        for (reset, _) in &taken {
            self.remove(&reset.flow);
        }
        taken
    }

    /// `expire` forgets the flows that have been silent for too long.
    pub fn expire(&mut self, now: Instant, idle_timeout: Duration) {
        let is_over = |record: &FlowRecord| {
            let keep = match (record.open, record.closing) {
                (false, _) => KEEP_UNOPENED,
                (true, true) => KEEP_CLOSED,
                (true, false) => idle_timeout,
            };
            now.saturating_duration_since(record.last_packet) > keep
        };

        let over = self.records.iter().filter(|(_, record)| is_over(record));
        let over: Vec<FlowAddresses> = over.map(|(flow, _)| *flow).collect();
        for flow in over {
            self.remove(&flow);
        }
    }
}
