//! Fault injection for the request model.

use valvestage_core::BackendState;

use super::model::{FAILURE_DETECTION_DELAY, Model};
use super::model_event::Event;
use super::model_server::SimulatedServer;
use super::scenario::Scenario;
use crate::deployment::{configuration, zone_name};

impl Model<'_> {
    pub(super) fn inject_fault(&mut self) {
        match self.scenario {
            Scenario::TwoSlow => self.change_servers(2, |server| server.slow_factor = 10),
            Scenario::OneShedding => self.change_servers(1, |server| server.is_shedding = true),
            // Reported load is a hint that the policy does not use, because it counts occupancy
            // itself; so a false report has no effect. Skewed callers are handled at sending.
            Scenario::Steady | Scenario::OneLying | Scenario::SkewedCallers => {}
            Scenario::ColdStart => {
                for server in self.servers.values_mut() {
                    server.record.incarnation += 1;
                }
                self.install_configuration(2);
            }
            Scenario::ThreeDraining => {
                self.change_servers(3, |server| server.record.state = BackendState::Draining);
                self.install_configuration(2);
            }
            Scenario::ZoneCut => {
                for server in self.servers.values_mut() {
                    server.is_cut = server.record.zone == zone_name(1);
                }
                for dispatcher in &mut self.dispatchers {
                    dispatcher.pool_mut().set_lost_zones([zone_name(1)].into());
                }
            }
            Scenario::BalancerLost => {
                self.is_owner_lost = true;
                self.schedule(FAILURE_DETECTION_DELAY, Event::Failover);
            }
        }
    }

    fn change_servers(&mut self, count: usize, change: impl Fn(&mut SimulatedServer)) {
        for server in self.servers.values_mut().take(count) {
            change(server);
        }
    }

    fn install_configuration(&mut self, version: u64) {
        let count = self.dispatchers.len() as u32;

        for index in 0..count {
            let records = self.dispatcher_records(index, count);
            let next = configuration(version, 1, records);
            self.dispatchers[index as usize].install(&next, self.now);
        }
    }

    /// Replaces the failed owner by a successor that has no state of the running requests.
    pub(super) fn fail_over_owner(&mut self) {
        let count = self.dispatchers.len() as u32;

        self.dispatchers[0] = self.make_dispatcher(0, self.dispatcher_records(0, count));
        self.is_owner_lost = false;
    }
}
