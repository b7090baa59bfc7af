//! Which service an address leads to.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{ConfigurationVersion, RegionName, ServiceName};

use super::cold_rate::ColdRate;
use super::request_class::RequestClass;

/// One of the services that share the new flows of an address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Its weight, relative to the sum over all targets of the address.
    pub weight: u32,
}

/// One version of the configuration, as far as steering needs it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteMap {
    /// Version of the configuration, which only grows. 0 if none was read yet.
    pub version: ConfigurationVersion,
    /// The services behind each address.
    pub routes: HashMap<SocketAddrV4, Vec<RouteTarget>>,
    /// The regions to which new flows of an address may go. Invariant: each address is also in
    /// `routes`. New flows of other addresses may go to all regions.
    pub allowed_regions: HashMap<SocketAddrV4, BTreeSet<RegionName>>,
    /// Request rate of a cold backend server of each service. Services that are not named have no
    /// limit on that rate.
    pub cold_rates: HashMap<ServiceName, ColdRate>,
    /// Requirements of the requests to each address. Invariant: each address is also in `routes`.
    /// Addresses whose requirements are missing or invalid have none.
    pub request_classes: HashMap<SocketAddrV4, RequestClass>,
    /// Maximum number of connections of one backend server of each service, above 0. Services that
    /// are not named have no known limit.
    pub connection_limits: HashMap<ServiceName, u32>,
    /// Idle time after which a flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl RouteMap {
    /// Returns the service for a new flow. The same draw always gives the same service.
    #[must_use]
    pub fn target(&self, address: SocketAddrV4, draw: u64) -> Option<&ServiceName> {
        let targets = self.routes.get(&address)?;
        let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();

        let mut left = draw % total.max(1);
        for target in targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        targets.first().map(|target| &target.service)
    }

    /// Returns the services to which new flows may go.
    #[must_use]
    pub fn services(&self) -> HashSet<ServiceName> {
        self.routes.values().flatten().map(|target| target.service.clone()).collect()
    }

    /// Reports whether new flows of an address may go to a region. `None` stands for an unknown
    /// region.
    #[must_use]
    pub fn allows(&self, address: SocketAddrV4, region: Option<&RegionName>) -> bool {
        let Some(allowed) = self.allowed_regions.get(&address) else { return true };

        region.is_some_and(|region| allowed.contains(region))
    }

    /// Returns the shortest target latency of the routes to a service, in seconds; `None` if none
    /// of them has a class.
    #[must_use]
    pub fn target_latency(&self, service: &str) -> Option<f64> {
        let classes = self.request_classes.iter();
        let of_service = classes.filter(|(address, _)| self.leads_to(**address, service));
        let shortest = of_service.map(|(_, class)| class.target_latency_ms).min();

        shortest.map(|milliseconds| f64::from(milliseconds) / 1_000.0)
    }

    /// Reports whether an address may lead to a service.
    #[must_use]
    pub fn leads_to(&self, address: SocketAddrV4, service: &str) -> bool {
        self.routes
            .get(&address)
            .is_some_and(|targets| targets.iter().any(|target| target.service == service))
    }
}
