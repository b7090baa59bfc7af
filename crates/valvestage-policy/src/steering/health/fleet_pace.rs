//! Pace of backend servers as known from the answers seen by all balancers.
//!
//! Among a hundred balancers, each one sees an answer of a backend server in ten seconds. While
//! some are in question, balancers therefore exchange the sums of what they see. The reference is
//! the usual time from before, so that many may become slow at once.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, ServiceName};

use super::overdue_queue::{OverdueEntry, OverdueQueue};
use super::pace_baseline::PaceBaselines;
use super::service_pace::ServicePace;
use crate::steering::decision::Decision;
use crate::steering::packets::caller_packet::FlowAddresses;
use crate::steering::peers::peer_message::PaceReport;

/// Maximum number of backend servers reported in a heartbeat; each takes up to 13 bytes.
pub const MAX_PACE_REPORTS: usize = 8;

/// Multiple of the usual time after which a request without an answer counts as a slow answer. A
/// queue at a slow backend server can delay the answer itself by many times as much.
const LATE_FACTOR: f64 = 3.0;

/// Ratio to the usual time that such a request counts with. Its answer will take longer than
/// [`LATE_FACTOR`], which is as clear as this answer time.
const LATE_RATIO: f64 = 7.0;

/// Tracks which backend servers are slow.
#[derive(Debug, Default)]
pub struct FleetPace {
    baselines: PaceBaselines,
    /// Requests that will be late unless they are answered.
    waiting: OverdueQueue,
    /// Late requests by flow, with their start. They are counted, so their answers are not.
    late: HashMap<FlowAddresses, Instant>,
    services: HashMap<ServiceName, ServicePace>,
}

impl FleetPace {
    /// Returns the pace of a service's backend servers while some of them are slow.
    #[must_use]
    pub fn uneven_service(&self, service: &str) -> Option<&ServicePace> {
        self.services.get(service).filter(|pace| pace.is_uneven())
    }

    /// Records the start of a request.
    pub fn on_began(&mut self, service: &str, flow: FlowAddresses, started: Instant) {
        let queueing = self.services.get(service).map_or(0.0, ServicePace::queueing);

        if let Some(usual) = self.baselines.usual_time(flow.service, service) {
            let due = started + usual.mul_f64(LATE_FACTOR * queueing.exp());
            self.waiting.push(OverdueEntry { due, started, flow });
        }
    }

    /// Removes and returns a request that is late unless it has been answered.
    pub fn pop_late(&mut self, now: Instant) -> Option<OverdueEntry> {
        self.waiting.pop_due(now)
    }

    /// Records that a request is late, and returns the decision if the backend server has become
    /// slow.
    pub fn on_late(
        &mut self,
        instance: InstanceId,
        service: &str,
        late: &OverdueEntry,
        now: Instant,
    ) -> Option<Decision> {
        self.late.insert(late.flow, late.started);

        let pace = self.service(service, now);
        let log_ratio = LATE_RATIO.ln() + pace.queueing();
        pace.on_answer(instance, log_ratio, now)
    }

    /// Drops all requests under way.
    pub fn on_pause(&mut self) {
        self.waiting.clear();
    }

    /// Records the time of the answer to a request that began at `now - time`, and returns the
    /// decision if the backend server has become slow or recovered.
    pub fn on_answer(
        &mut self,
        instance: InstanceId,
        service: &str,
        flow: FlowAddresses,
        time: Duration,
        now: Instant,
    ) -> Option<Decision> {
        let log_ratio = self.baselines.on_answer(flow.service, service, time, now)?;
        if self.late.remove(&flow).is_some_and(|started| started + time == now) {
            return None;
        }

        self.service(service, now).on_answer(instance, log_ratio, now)
    }

    /// Records what another balancer has seen of a backend server, and returns the decision if it
    /// has become slow or recovered.
    pub fn on_report(
        &mut self,
        peer: SocketAddrV4,
        service: &str,
        report: &PaceReport,
        now: Instant,
    ) -> Option<Decision> {
        self.service(service, now).on_report(peer, report, now)
    }

    /// Records that another balancer reports many backend servers of a service.
    pub fn on_many_reports(&mut self, service: &str, now: Instant) {
        self.service(service, now).on_many_reports(now);
    }

    /// Updates the state of the services whose backend servers are in question. Returns the
    /// decisions about those that have become slow or recovered. To be called several times a
    /// second; `requests_per_slot` returns the requests in flight per slot of a service.
    pub fn on_tick(
        &mut self,
        requests_per_slot: impl Fn(&str) -> f64,
        now: Instant,
    ) -> Vec<Decision> {
        let services = self.services.iter_mut();

        services
            .flat_map(|(service, pace)| {
                pace.set_requests_per_slot(requests_per_slot(service));
                pace.on_tick(now)
            })
            .collect()
    }

    /// Returns the observations to report to other balancers, at most [`MAX_PACE_REPORTS`].
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<PaceReport> {
        let mut reports: Vec<_> =
            self.services.values().flat_map(|pace| pace.reports(now)).collect();

        reports.sort_unstable_by_key(|(rank, _)| *rank);
        reports.into_iter().take(MAX_PACE_REPORTS).map(|(_, report)| report).collect()
    }

    /// Returns the backend servers that are known to be slow, with their factors.
    pub fn slow_backends(&self) -> impl Iterator<Item = (InstanceId, f64)> {
        self.services
            .values()
            .flat_map(|pace| pace.slow_backends().map(|instance| (instance, pace.factor(instance))))
    }

    /// Returns the usual time of a request as a share of the time that it probably takes at a
    /// backend server.
    #[must_use]
    pub fn work_share(&self, service: &str, instance: InstanceId) -> f64 {
        self.uneven_service(service).map_or(1.0, |pace| {
            let probability = pace.slow_probability(instance);
            1.0 - probability + probability / pace.factor(instance)
        })
    }

    /// Removes the records of backend servers and addresses for which the functions return false,
    /// and those without recent answers.
    pub fn forget(
        &mut self,
        keep: impl Fn(InstanceId) -> bool,
        keep_address: impl Fn(&SocketAddrV4) -> bool,
        now: Instant,
    ) {
        /// Time after which a late request is not expected to be answered.
        const LATE_RETENTION: Duration = Duration::from_secs(60);

        self.services.retain(|_, pace| pace.forget(&keep, now));
        self.late.retain(|_, started| now.saturating_duration_since(*started) < LATE_RETENTION);
        self.baselines.forget(keep_address);
    }

    fn service(&mut self, service: &str, now: Instant) -> &mut ServicePace {
        self.services.entry(service.to_owned()).or_insert_with(|| ServicePace::new(now))
    }
}
