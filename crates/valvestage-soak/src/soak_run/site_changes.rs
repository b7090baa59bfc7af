//! Changes of backend servers and configurations, recorded in the ground truth and written to the
//! store.

use std::time::Instant;

use valvestage_core::ids::ConfigurationVersion;

use super::SoakRun;
use crate::backend_servers::BackendCommand;
use crate::ground_truth::{BackendRecord, ConfigurationRecord};
use crate::site_plan::{
    INTERMITTENT, MAX_PRIORITY, Routes, SERVICES, STEADY, SWITCHING, SitePlan, URGENT,
    other_service, priority_of,
};
use crate::soak_options::InjectedDefect;

impl SoakRun {
    /// Starts the backend server instance that is assigned to a place, and writes its entry.
    pub(super) fn register_backend(&mut self, place: usize) {
        let entry = self.places.get(place);
        let now = Instant::now();
        let record = BackendRecord {
            service: entry.service,
            zone: SitePlan::zone_of(place),
            draining_at: None,
            ended_at: None,
            registered_at: now,
            disturbed_until: now,
        };

        self.truth.backends.insert(entry.instance, record);
        self.send_command(BackendCommand::Start(place, entry.instance));
        self.write_entry(place, false);
    }

    /// Stops a backend server without notice; its entry stays in the store.
    pub(super) fn stop_backend(&mut self, place: usize, now: Instant) {
        self.send_command(BackendCommand::Stop(place));

        if let Some(record) = self.truth.backends.get_mut(&self.places.get(place).instance) {
            record.ended_at = Some(now);
        }
    }

    pub(super) fn delete_entry(&self, place: usize) {
        if self.options.defect != Some(InjectedDefect::WithholdBackendChanges) {
            self.site.store.delete_backend(self.places.get(place).instance);
        }
    }

    pub(super) fn write_entry(&self, place: usize, is_draining: bool) {
        let entry = self.places.get(place);
        let service = match self.options.defect {
            Some(InjectedDefect::SwapServices) => other_service(entry.service),
            _ => entry.service,
        };

        self.site.store.put_backend(&self.site.plan, place, entry.instance, service, is_draining);
    }

    /// Writes the next configuration. Each one changes the service of the switching address, and
    /// every second one adds or removes the route of the intermittent address. Versions rise by 1
    /// to 4.
    pub(super) fn write_configuration(&mut self) {
        let number = self.configurations as usize;
        self.configurations += 1;
        self.version += 1 + self.rng.below(4) as ConfigurationVersion;
        let mut routes = Routes::new();
        routes.insert(STEADY, SERVICES[0]);
        routes.insert(URGENT, SERVICES[0]);
        routes.insert(SWITCHING, SERVICES[number % 2]);
        if (number / 2).is_multiple_of(2) {
            routes.insert(INTERMITTENT, SERVICES[0]);
        }

        let written = written_routes(self.options.defect, number, &mut routes);
        if let Some(written) = written {
            let is_reversed = self.options.defect == Some(InjectedDefect::ReversePriorities);
            let priority = |address| {
                let priority = priority_of(address);
                if is_reversed { MAX_PRIORITY - priority } else { priority }
            };
            self.site.store.put_configuration(self.version, &written, priority);
        }
        let record =
            ConfigurationRecord { version: self.version, accepted_at: Instant::now(), routes };
        self.truth.configurations.push(record);
    }
}

/// Returns the routes to write to the store, or `None` to write nothing. They differ from the
/// expected `routes` only if a run corrupts configurations on purpose.
fn written_routes(
    defect: Option<InjectedDefect>,
    number: usize,
    routes: &mut Routes,
) -> Option<Routes> {
    let mut written = routes.clone();

    match defect {
        Some(InjectedDefect::WithholdConfigurations) if number > 0 => return None,
        Some(InjectedDefect::DropRoute) if number > 0 => {
            written.remove(&STEADY);
        }
        // The expected route stays that of the second configuration, while the written one
        // alternates.
        Some(InjectedDefect::RollBack) if number > 0 => {
            routes.insert(SWITCHING, SERVICES[1]);
        }
        _ => {}
    }
    Some(written)
}
