//! The load that this balancer's own callers cause.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hashbrown::HashMap;
use valvestage_core::ids::ServiceName;

use super::decaying_rate::{DecayingRate, SampledAverage};
use super::service_load::ClassLoad;
use crate::steering::health::backend_health::BackendHealth;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::request_class::RoutePriority;
use crate::steering::packets::flow_tracker::FlowTracker;
use crate::steering::peers::peer_message::{ClassLoadReport, ServiceLoadReport};
use crate::steering::placement::fleet_demand::service_digest;

/// A longer handshake includes a retransmission, for which callers wait 200 ms, so it says nothing
/// about the network.
const MAX_HANDSHAKE: Duration = Duration::from_millis(150);

/// Weight of a new handshake in the mean time of handshakes.
const HANDSHAKE_WEIGHT: f64 = 0.1;

/// Period after a rejected request in which the load of the service is reported.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);

/// Requests of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct ClassMeter {
    opening: DecayingRate,
    further: DecayingRate,
}

/// Load of one service.
#[derive(Debug, Clone, Default)]
struct ServiceMeter {
    /// Requests that wait for an answer, including those whose packets are on the network.
    waiting: SampledAverage,
    open_flows: SampledAverage,
    completed: DecayingRate,
    classes: BTreeMap<RoutePriority, ClassMeter>,
    /// Mean time of a handshake, in seconds.
    handshake: Option<f64>,
    rejected_at: Option<Instant>,
}

impl ServiceMeter {
    /// Returns the requests at backend servers: of those that wait for an answer, as many are on
    /// the network as are answered in the time of a handshake.
    fn in_flight(&self, now: Instant) -> f64 {
        let on_network = self.completed.per_second(now) * self.handshake.unwrap_or_default();

        (self.waiting.value() - on_network).max(0.0)
    }
}

/// Measured load of one service at one balancer.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct MeasuredLoad {
    pub(super) in_flight: f64,
    pub(super) open_flows: f64,
    pub(super) completed: f64,
    pub(super) classes: BTreeMap<RoutePriority, ClassLoad>,
}

impl MeasuredLoad {
    /// Returns the load as it is reported to other balancers.
    pub(super) fn report(&self, service: &str) -> ServiceLoadReport {
        let classes = self.classes.iter();

        ServiceLoadReport::new(
            service_digest(service),
            (self.in_flight, self.open_flows, self.completed),
            classes
                .map(|(priority, load)| ClassLoadReport::new(*priority, load.opening, load.further))
                .collect(),
        )
    }

    /// Returns the load that another balancer has reported.
    pub(super) fn reported(report: &ServiceLoadReport) -> Self {
        let class_of = |class: &ClassLoadReport| {
            (class.priority, ClassLoad { opening: class.opening(), further: class.further() })
        };

        Self {
            in_flight: report.in_flight(),
            open_flows: f64::from(report.open_flows),
            completed: report.completed(),
            classes: report.classes.iter().map(class_of).collect(),
        }
    }
}

/// Measures the load that this balancer's own callers cause, as moving averages.
#[derive(Debug, Default)]
pub struct LoadMeter {
    services: HashMap<ServiceName, ServiceMeter>,
    sampled_at: Option<Instant>,
}

impl LoadMeter {
    /// Counts the first opening packet of a flow, whether it is placed or refused.
    pub fn on_opening(&mut self, service: &str, priority: RoutePriority, now: Instant) {
        self.class(service, priority).opening.on_event(now);
    }

    /// Counts a request that begins on a flow which was opened before.
    pub fn on_further(&mut self, service: &str, priority: RoutePriority, now: Instant) {
        self.class(service, priority).further.on_event(now);
    }

    /// Counts an answer that is not much shorter than usual.
    pub fn on_completed(&mut self, service: &str, now: Instant) {
        self.service(service).completed.on_event(now);
    }

    /// Records that a backend server has rejected a request.
    pub fn on_rejected(&mut self, service: &str, now: Instant) {
        self.service(service).rejected_at = Some(now);
    }

    /// Records the time from an opening packet to the caller's next packet.
    pub fn on_handshake(&mut self, service: &str, time: Duration) {
        if time > MAX_HANDSHAKE {
            return;
        }

        let mean = &mut self.service(service).handshake;
        let time = time.as_secs_f64();
        *mean = Some(mean.map_or(time, |mean| mean + (time - mean) * HANDSHAKE_WEIGHT));
    }

    /// Samples the requests under way and the open flows; to be called several times a second.
    pub(in crate::steering) fn sample(
        &mut self,
        knowledge: &Knowledge,
        flows: &FlowTracker,
        health: &BackendHealth,
        now: Instant,
    ) {
        let mut samples: HashMap<&ServiceName, (u32, u32)> = HashMap::new();
        for (instance, load) in flows.loads() {
            let entry = knowledge.directory.get(instance).filter(|entry| !entry.is_gone());
            let Some(entry) = entry else { continue };
            let sample = samples.entry(&entry.service).or_default();
            if !health.is_suspect(instance, now) {
                sample.0 += load.waiting;
            }
            sample.1 += load.open;
        }

        for service in samples.keys() {
            self.service(service);
        }
        let since = self.sampled_at.map(|at| now.saturating_duration_since(at));
        self.sampled_at = Some(now);
        for (service, meter) in &mut self.services {
            let (waiting, open) = samples.get(service).copied().unwrap_or_default();
            meter.waiting.on_sample(f64::from(waiting), since.unwrap_or(Duration::MAX));
            meter.open_flows.on_sample(f64::from(open), since.unwrap_or(Duration::MAX));
        }
    }

    /// Returns the load of a service; 0 throughout if nothing was measured.
    pub(super) fn load(&self, service: &str, now: Instant) -> MeasuredLoad {
        let Some(meter) = self.services.get(service) else { return MeasuredLoad::default() };
        let class_of = |class: &ClassMeter| ClassLoad {
            opening: class.opening.per_second(now),
            further: class.further.per_second(now),
        };

        MeasuredLoad {
            in_flight: meter.in_flight(now),
            open_flows: meter.open_flows.value(),
            completed: meter.completed.per_second(now),
            classes: meter.classes.iter().map(|(key, class)| (*key, class_of(class))).collect(),
        }
    }

    /// Reports whether a backend server of a service has rejected a request recently.
    #[must_use]
    pub fn was_rejected(&self, service: &str, now: Instant) -> bool {
        let rejected_at = self.services.get(service).and_then(|meter| meter.rejected_at);

        rejected_at.is_some_and(|at| now.saturating_duration_since(at) < REJECTION_PERIOD)
    }

    /// Iterates over the services that have been measured.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Removes the services for which `keep` returns false.
    pub fn forget(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    /// Drops all measurements: after a pause of the process, the packets that arrived meanwhile
    /// would count as one burst.
    pub fn on_pause(&mut self) {
        *self = Self::default();
    }

    fn class(&mut self, service: &str, priority: RoutePriority) -> &mut ClassMeter {
        self.service(service).classes.entry(priority).or_default()
    }

    fn service(&mut self, service: &str) -> &mut ServiceMeter {
        self.services.entry_ref(service).or_default()
    }
}
