//! What a balancer knows of routes and backend servers.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ServiceName;

use super::backend_directory::BackendDirectory;
use super::route_map::RouteMap;

/// Knowledge that the store has not confirmed for this time may be out of date. Confirmations come
/// with each watch, every 1.5 s, and travel in heartbeats.
const CERTAIN_FOR: Duration = Duration::from_secs(5);

/// `Knowledge` is what placing and steering go by.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// The configuration in force; replaced by [`Knowledge::replace_routes`] only.
    pub routes: RouteMap,
    /// The backend servers.
    pub directory: BackendDirectory,
    /// When the store last confirmed all this, at this balancer or at another one.
    confirmed_at: Option<Instant>,
    /// The services to which earlier configurations led from the addresses in force: flows opened
    /// then stay where they are.
    former_services: HashMap<SocketAddrV4, HashSet<ServiceName>>,
}

impl Knowledge {
    /// `replace_routes` puts a newer configuration in force; false if it is not newer.
    pub fn replace_routes(&mut self, newer: RouteMap) -> bool {
        if newer.version <= self.routes.version {
            return false;
        }

        let former = std::mem::replace(&mut self.routes, newer);
        for (address, targets) in former.routes {
            let services = targets.into_iter().map(|target| target.service);
            self.former_services.entry(address).or_default().extend(services);
        }
        let routes = &self.routes;
        self.former_services.retain(|address, _| routes.routes.contains_key(address));
        true
    }

    /// `confirm` takes in that the store confirmed everything at a time.
    pub fn confirm(&mut self, at: Option<Instant>) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// `confirmed_at` gives when the store last confirmed everything.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// `is_certain` tells whether what is not known does not exist, as of a moment ago.
    #[must_use]
    pub fn is_certain(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|at| now.saturating_duration_since(at) <= CERTAIN_FOR)
    }

    /// `may_lead_to` tells whether an open flow of an address can be at a service.
    #[must_use]
    pub fn may_lead_to(&self, address: SocketAddrV4, service: &str) -> bool {
        let formerly = self.former_services.get(&address);

        self.routes.leads_to(address, service)
            || formerly.is_some_and(|services| services.contains(service))
    }

    /// `is_complete` tells whether enough is known to place flows.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routes.version > 0 && self.directory.is_complete()
    }
}
