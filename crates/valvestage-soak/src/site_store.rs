//! The store of a run: the platform stand-in, with the objects that backend servers and the
//! operator write.

use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::thread;

use serde_json::{Map, Value};
use valvestage_core::ids::{ConfigurationVersion, InstanceId};
use valvestage_platform::catalogue::{BACKEND_KIND, CONFIGURATION_KIND, EVACUATION_KIND};
use valvestage_standins::platform::published_objects::{BackendObject, configuration_object};
use valvestage_standins::platform::{Faults, PlatformStandin, start};

use crate::site_plan::{Routes, SitePlan};
use crate::slot_schedule::SLOTS;

/// Idle time after which balancers may drop a flow's state, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Store stand-in with methods that write objects as the operator and the backend servers do.
#[derive(Clone, Default)]
pub struct SiteStore {
    standin: PlatformStandin,
}

impl SiteStore {
    /// Starts a thread that serves API calls on `listener` until the process exits.
    pub fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let standin = self.standin.clone();
        let serve = move || {
            let served = actix_rt::System::new().block_on(async move {
                let (_, server) = start(listener, standin)?;
                server.await
            });
            if let Err(error) = served {
                log::error!("the store's server failed: {error}");
            }
        };

        thread::Builder::new().name("store".into()).spawn(serve).map(drop)
    }

    /// Replaces the store's injected faults by `faults`.
    pub fn set_faults(&self, faults: Faults) {
        self.standin.inject_faults(faults);
    }

    /// Discards the history of changes, so that watches opened earlier fail.
    pub fn compact_history(&self) {
        self.standin.compact_history();
    }

    /// Writes the configuration object, replacing any earlier version.
    pub fn put_configuration(
        &self,
        version: ConfigurationVersion,
        routes: &Routes,
        priority_of: impl Fn(SocketAddrV4) -> u8,
    ) {
        let routes = routes.iter().map(|(address, service)| (*address, *service));
        let priority_of = |address| Some(priority_of(address));
        let spec = configuration_object(version, routes, priority_of, IDLE_TIMEOUT_MS);

        self.standin.put_object(CONFIGURATION_KIND, "main", spec);
    }

    /// Writes the entry of the backend server `instance` at `place`, replacing an earlier entry of
    /// that instance.
    pub fn put_backend(
        &self,
        plan: &SitePlan,
        place: usize,
        instance: InstanceId,
        service: &str,
        is_draining: bool,
    ) {
        let zone = SitePlan::zone_name(SitePlan::zone_of(place));
        let address = plan.backend(place);
        let object = BackendObject { service, address, zone: &zone, slots: SLOTS, is_draining };

        self.standin.put_object(BACKEND_KIND, &entry_name(instance), object.value());
    }

    /// Writes the evacuation object of `zone`, after which balancers send no new flows there.
    pub fn evacuate(&self, zone: usize) {
        let spec = Value::Object(Map::new());

        self.standin.put_object(EVACUATION_KIND, &SitePlan::zone_name(zone), spec);
    }

    /// Deletes the evacuation object of `zone`, which ends the evacuation.
    pub fn end_evacuation(&self, zone: usize) {
        self.standin.delete_object(EVACUATION_KIND, &SitePlan::zone_name(zone));
    }

    /// Deletes the entry of a backend server.
    pub fn delete_backend(&self, instance: InstanceId) {
        self.standin.delete_object(BACKEND_KIND, &entry_name(instance));
    }
}

fn entry_name(instance: InstanceId) -> String {
    format!("i-{instance:x}")
}
