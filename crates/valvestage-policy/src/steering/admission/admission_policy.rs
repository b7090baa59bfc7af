//! The verdict on one opening packet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use valvestage_core::ids::{ConfigurationVersion, ServiceName};

use super::caller_rates::CallerRates;
use super::refused_flows::RefusedFlows;
use super::service_admission::ServiceAdmission;
use crate::rendezvous::mix;
use crate::steering::decision::{Decision, FlowRefusal};
use crate::steering::knowledge::request_class::RoutePriority;
use crate::steering::knowledge::route_map::RouteMap;
use crate::steering::load::service_load::ServiceLoad;
use crate::steering::packets::caller_packet::FlowAddresses;
use crate::steering::packets::packet_verdicts::hash_flow;
use crate::steering::placement::steering_options::AdmissionOptions;
use crate::steering::seeded_draw::unit_of;

/// Mixed into the hash of a flow, so that the draw is independent of the choice of its service and
/// of its backend server, which use the same hash.
const DRAW_SALT: u64 = 1;

/// Decides which new flows are admitted while services are short of slots.
#[derive(Debug)]
pub struct AdmissionPolicy {
    options: AdmissionOptions,
    /// Version of the configuration that `services` is from.
    version: ConfigurationVersion,
    /// The services whose routes differ in priority.
    services: BTreeMap<ServiceName, ServiceAdmission>,
    callers: CallerRates,
    refused: RefusedFlows,
    /// Decisions since the last call of [`Self::take_decisions`].
    decisions: Vec<Decision>,
}

impl AdmissionPolicy {
    /// Creates a policy that admits all flows until it knows of a shortage.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            version: ConfigurationVersion::default(),
            services: BTreeMap::new(),
            callers: CallerRates::default(),
            refused: RefusedFlows::default(),
            decisions: Vec::new(),
        }
    }

    /// Updates all shares, given the load of each service; to be called ten times a second.
    pub fn update<'a>(
        &mut self,
        routes: &RouteMap,
        load_of: impl Fn(&str) -> Option<&'a ServiceLoad>,
        now: Instant,
    ) {
        if routes.version != self.version {
            self.replace_services(routes);
        }

        self.callers.update(now);
        self.refused.forget(now);
        let floor = self.options.floor;
        for (service, admission) in &mut self.services {
            let decision = admission.update(service, load_of(service), floor, now);
            self.decisions.extend(decision);
        }
    }

    /// Adopts the services and priorities of a configuration. Shortages of services that remain go
    /// on.
    fn replace_services(&mut self, routes: &RouteMap) {
        let mut former = std::mem::take(&mut self.services);

        self.version = routes.version;
        for (service, priorities) in graded_services(routes) {
            let admission = match former.remove(&service) {
                Some(mut admission) => {
                    admission.set_priorities(priorities);
                    admission
                }
                None => ServiceAdmission::new(priorities),
            };
            self.services.insert(service, admission);
        }
    }

    /// Decides about the first opening packet of a flow. Returns the refusal if the flow is not
    /// admitted. The draw depends on the flow alone, so all balancers draw alike.
    pub fn refusal(
        &mut self,
        routes: &RouteMap,
        flow: FlowAddresses,
        service: &str,
        now: Instant,
    ) -> Option<FlowRefusal> {
        let admission = self.services.get_mut(service)?;
        let priority = routes.request_classes.get(&flow.service)?.priority;
        // Counted outside of shortages too, so that the rates are known when one begins.
        let within = self.callers.on_opening(*flow.caller.ip(), now);
        let share = admission.flow_share(priority, within);
        if !admission.is_short() {
            return None;
        }

        let draw = unit_of(mix(hash_flow(&flow), DRAW_SALT));
        if draw < share {
            return None;
        }
        self.refused.add(flow, now);
        Some(FlowRefusal { flow, service: service.to_owned(), priority, share, draw })
    }

    /// Reports whether a flow was refused here a moment ago.
    #[must_use]
    pub fn was_refused(&self, flow: &FlowAddresses, now: Instant) -> bool {
        self.refused.contains(flow, now)
    }

    /// Removes and returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the number of services that are short of slots.
    #[must_use]
    pub fn short_count(&self) -> usize {
        self.services.values().filter(|admission| admission.is_short()).count()
    }

    /// Iterates over the services whose routes differ in priority, with the share of each priority.
    pub fn shares(&self) -> impl Iterator<Item = (&ServiceName, RoutePriority, f64)> {
        let services = self.services.iter();

        services.flat_map(|(service, admission)| {
            admission.shares().map(move |(priority, share)| (service, priority, share))
        })
    }
}

/// Returns the services whose routes differ in priority, each with its priorities.
fn graded_services(routes: &RouteMap) -> BTreeMap<ServiceName, BTreeSet<RoutePriority>> {
    let mut priorities: BTreeMap<ServiceName, BTreeSet<RoutePriority>> = BTreeMap::new();
    for (address, class) in &routes.request_classes {
        for target in routes.routes.get(address).into_iter().flatten() {
            priorities.entry(target.service.clone()).or_default().insert(class.priority);
        }
    }

    priorities.retain(|_, priorities| priorities.len() > 1);
    priorities
}
