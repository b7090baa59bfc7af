//! What a balancer has learned, for its log and for other balancers.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use crate::steering::decision::{Decision, EvacuationPhase, UpdateSource};
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::evacuated_zones::EvacuationReport;
use crate::steering::knowledge::route_map::RouteMap;

/// Collects what was learned, and decides when to notify other balancers at once.
#[derive(Debug, Default)]
pub(in crate::steering) struct KeeperUpdates {
    /// Whether something is new that other balancers may not know.
    is_notification_due: bool,
    /// What was learned since the last call of `take_decisions`.
    decisions: Vec<Decision>,
    was_certain: bool,
}

impl KeeperUpdates {
    /// Returns what was learned since the last call.
    pub(in crate::steering) fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Records something of which other balancers need not be notified.
    pub(in crate::steering) fn record(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }

    /// Requests that other balancers are notified at once if the condition holds.
    pub(in crate::steering) fn notify_if(&mut self, is_new: bool) {
        self.is_notification_due |= is_new;
    }

    /// Reports whether other balancers are to be notified at once.
    pub(in crate::steering) fn is_notification_due(&self) -> bool {
        self.is_notification_due
    }

    /// Records that other balancers are being notified.
    pub(in crate::steering) fn on_notified(&mut self) {
        self.is_notification_due = false;
    }

    /// Records a change of whether the knowledge is confirmed.
    pub(in crate::steering) fn record_certainty(
        &mut self,
        knowledge: &Knowledge,
        is_certain: bool,
    ) {
        if is_certain != self.was_certain {
            self.was_certain = is_certain;
            let version = knowledge.routes.version;
            self.record(Decision::Certainty { is_certain, version });
        }
    }

    /// Records the changed state of a backend server.
    pub(in crate::steering) fn record_backend(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        source: UpdateSource,
    ) {
        let Some(entry) = knowledge.directory.get(instance) else { return };

        self.record(match entry.missing_until {
            Some(_) => Decision::BackendMissing { instance },
            None => Decision::BackendChanged {
                instance,
                position: entry.position,
                service: entry.service.clone(),
                phase: entry.phase,
                source,
            },
        });
    }

    /// Puts a report of evacuated zones in force if it is newer and changes them, and requests that
    /// other balancers are notified.
    pub(in crate::steering) fn apply_evacuations(
        &mut self,
        knowledge: &mut Knowledge,
        report: EvacuationReport,
        source: UpdateSource,
        now: Instant,
    ) {
        let as_of = report.as_of;
        let former = knowledge.evacuated.zones().clone();
        if !knowledge.evacuated.replace(report, now) {
            return;
        }

        self.is_notification_due = true;
        let zones = knowledge.evacuated.zones();
        let begun = zones.difference(&former).map(|zone| (zone, EvacuationPhase::Begun));
        let ended = former.difference(zones).map(|zone| (zone, EvacuationPhase::TakenBack));
        let age = knowledge.age(now);
        for (zone, phase) in begun.chain(ended) {
            let zone = zone.clone();
            self.decisions.push(Decision::Evacuation { zone, phase, position: as_of, source, age });
        }
    }

    /// Puts a configuration in force if it is newer, and requests that other balancers are
    /// notified.
    pub(in crate::steering) fn apply_routes(
        &mut self,
        knowledge: &mut Knowledge,
        routes: RouteMap,
        source: UpdateSource,
    ) {
        let former = knowledge.routes.version;

        if knowledge.replace_routes(routes) {
            self.is_notification_due = true;
            self.record(Decision::RoutesInForce {
                version: knowledge.routes.version,
                former,
                addresses: knowledge.routes.routes.len(),
                source,
            });
        }
    }
}
