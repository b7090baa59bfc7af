//! Fault injection for the request model.

use valvestage_core::BackendState;

use super::model::{Model, NOTICED_AFTER};
use super::model_event::Event;
use super::model_server::Server;
use super::scenario::Scenario;
use crate::deployment::{configuration, zone_name};

impl Model<'_> {
    pub(super) fn strike(&mut self) {
        match self.scenario {
            Scenario::TwoSlow => self.each_server(2, |server| server.slow_factor = 10),
            Scenario::OneShedding => self.each_server(1, |server| server.is_shedding = true),
            // Reported load is a hint that the policy does not use, because it counts occupancy
            // itself; so a false report has no effect. Skewed callers are handled at sending.
            Scenario::Steady | Scenario::OneLying | Scenario::SkewedCallers => {}
            Scenario::ColdStart => {
                for server in self.servers.values_mut() {
                    server.record.incarnation += 1;
                }
                self.reinstall(2);
            }
            Scenario::ThreeDraining => {
                self.each_server(3, |server| server.record.state = BackendState::Draining);
                self.reinstall(2);
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
                self.owner_is_lost = true;
                self.schedule(NOTICED_AFTER, Event::TakeOver);
            }
        }
    }

    fn each_server(&mut self, count: usize, change: impl Fn(&mut Server)) {
        for server in self.servers.values_mut().take(count) {
            change(server);
        }
    }

    fn reinstall(&mut self, version: u64) {
        let count = self.dispatchers.len() as u32;

        for index in 0..count {
            let records = self.records_for(index, count);
            let next = configuration(version, 1, records);
            self.dispatchers[index as usize].install(&next, self.now);
        }
    }

    /// Replaces the failed owner by a successor that has no state of the running requests.
    pub(super) fn take_over(&mut self) {
        let count = self.dispatchers.len() as u32;

        self.dispatchers[0] = self.make_dispatcher(0, self.records_for(0, count));
        self.owner_is_lost = false;
    }
}
