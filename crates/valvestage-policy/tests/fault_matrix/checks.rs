//! Checks of the promises, during a cell and at its end.

use std::time::Duration;

use valvestage_core::Outcome;
use valvestage_core::ids::ObjectVersion;
use valvestage_policy::control::ObjectKey;

use crate::caller::CallerReply;
use crate::cells::CellResult;
use crate::faults::Fault;
use crate::node::ProcessState;
use crate::oracle::Promise;
use crate::world::World;

/// Longest time until a change is in force; the system promises "within seconds".
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Time without an answer after which a flow counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    fn faults(&self) -> [Fault; 2] {
        [self.cell.first, self.cell.second]
    }

    fn any_fault(&self, allows: impl Fn(Fault) -> bool) -> bool {
        self.faults().into_iter().any(allows)
    }

    /// Checks that the configuration version in force on a ready balancer never decreases, also
    /// over a restart of its process.
    pub fn check_reverts(&mut self) {
        let mut reverted = None;

        for node in self.nodes.values_mut().filter(|node| node.is_ready()) {
            let version = node.policy.director().version_in_force();
            if version < node.highest_version_in_force {
                reverted = Some((node.id, version, node.highest_version_in_force));
            }
            node.highest_version_in_force = node.highest_version_in_force.max(version);
        }
        let promise = Promise::ConfigurationInForceAndNeverReverts;
        self.oracle.check(promise, reverted.is_none(), || {
            let (id, version, highest) = reverted.unwrap_or_default();
            format!("balancer {id} went back from version {highest} to {version}")
        });
    }

    pub fn check_in_force(&mut self, version: ObjectVersion) {
        if self.any_fault(Fault::allows_late_configuration) {
            return;
        }
        let limit = self.now - IN_FORCE_LIMIT;
        let late = self.nodes.values().find(|node| {
            node.process_state == ProcessState::Running
                && node.started <= limit
                && node.policy.director().version_in_force() < version
        });

        let late = late.map(|node| node.id);
        let promise = Promise::ConfigurationInForceAndNeverReverts;
        self.oracle.check(promise, late.is_none(), || {
            format!("balancer {late:?} does not have version {version} after 4 s")
        });
    }

    /// Checks at the end of the load that no flow has broken or stalled.
    pub fn check_flows(&mut self) {
        let now = self.now;

        for flow in self.flows.iter_mut().filter(|flow| flow.opened.is_some()) {
            let is_stalled =
                flow.last_answer.is_some_and(|answered_at| now > answered_at + STALL_TIMEOUT);
            if is_stalled && flow.broken.is_none() {
                flow.broken = Some((now, "stalled"));
            }
        }
        let is_exempt = self.any_fault(Fault::allows_broken_flows);
        for index in 0..self.flows.len() {
            let flow = self.flows[index].clone();
            if flow.opened.is_none() || flow.is_attacker || is_exempt {
                continue;
            }
            let at = flow.broken.map_or(0, |(at, _)| self.elapsed(at));
            let promise = Promise::FlowSurvivesPlannedChange;
            self.oracle.check(promise, flow.broken.is_none(), || {
                let why = flow.broken.map_or("", |(_, why)| why);
                format!("flow {index} (echoes: {}) {why} at {at} ms", flow.echoes_token)
            });
        }
    }

    pub fn check_at_end(&mut self) {
        self.check_requests();
        self.check_leaving_backends();
        self.check_operators();
    }

    fn check_requests(&mut self) {
        let is_exempt = self.any_fault(Fault::allows_unanswered_requests);
        let is_cut = self
            .any_fault(|fault| matches!(fault, Fault::ZoneCutFromZones | Fault::ZoneCutFromAll));

        for request in self.requests.values() {
            let name =
                format!("request {:x} (sent at {} ms)", request.id, self.elapsed(request.sent));
            let not_run = request.has_received(CallerReply::Refused(Outcome::NotRun));
            let answered = request.has_received(CallerReply::Answered);
            let first = request.first_reply();
            let oracle = &mut self.oracle;

            if !request.repeatable {
                oracle.check_request(
                    Promise::RunsAtMostOnce,
                    request.id,
                    request.runs <= 1,
                    || format!("{name} ran {} times", request.runs),
                );
            }
            oracle.check_request(
                Promise::NotRunIsTrue,
                request.id,
                !(not_run && request.runs > 0),
                || format!("{name} was told not to have run, and ran {} times", request.runs),
            );
            let is_contradicted = answered && not_run;
            let is_right = !request.got_wrong_answer && !is_contradicted;
            oracle.check_request(Promise::CompleteOwnAnswer, request.id, is_right, || {
                format!("{name} was told {:?}", request.replies)
            });

            let is_answered = first == Some(CallerReply::Answered);
            let describe =
                || format!("{name} (repeatable: {}) was told {first:?}", request.repeatable);
            if request.is_probe {
                oracle.check_request(
                    Promise::ServesAgainAfterFault,
                    request.id,
                    is_answered,
                    describe,
                );
            } else if request.from_zone.is_some() {
                if is_cut {
                    oracle.check_request(
                        Promise::CutOffZoneKeepsServing,
                        request.id,
                        is_answered,
                        describe,
                    );
                }
            } else if !is_exempt {
                oracle.check_request(
                    Promise::PlannedStopKeepsRequests,
                    request.id,
                    is_answered,
                    describe,
                );
            }
        }
    }

    fn check_leaving_backends(&mut self) {
        // A balancer that is partitioned, or that gets the platform's updates late or not at all,
        // cannot know of the change.
        let is_exempt = self.any_fault(|fault| {
            matches!(
                fault,
                Fault::PlatformDown
                    | Fault::PlatformSlow
                    | Fault::WatchLags
                    | Fault::ZoneCutFromZones
                    | Fault::ZoneCutFromPlatform
                    | Fault::ZoneCutFromAll
            )
        });
        let Some((addresses, since)) = self.leaving_backends.clone().filter(|_| !is_exempt) else {
            return;
        };

        for address in addresses {
            let Some(vm) = self.vms.get(&address) else {
                continue;
            };
            let last = vm.last_new_work;
            let is_quiet = last.is_none_or(|at| at <= since + IN_FORCE_LIMIT);
            let id = vm.id();
            let late = last.map_or(0, |at| self.elapsed(at));
            let accepted = self.elapsed(since);
            self.oracle.check(Promise::LeavingBackendGetsNoNewWork, is_quiet, || {
                format!(
                    "backend server {id} got new work at {late} ms; it leaves since {accepted} ms"
                )
            });
        }
    }

    fn check_operators(&mut self) {
        let winners = |base: ObjectVersion| {
            let same = self.operators.iter().filter(|operator| {
                operator.base.as_ref().is_some_and(|(version, _)| *version == base)
            });
            same.filter(|operator| operator.is_accepted == Some(true)).count()
        };
        let bases: Vec<ObjectVersion> = self
            .operators
            .iter()
            .filter_map(|o| o.base.as_ref().map(|(version, _)| *version))
            .collect();
        let doubled = bases.iter().copied().find(|base| winners(*base) > 1);
        let open = self.operators.iter().find(|operator| operator.is_accepted.is_none());
        let open = open.map(|operator| operator.id.clone());
        let known = self.platform.get(ObjectKey::Configuration).is_some();

        if !self.operators.is_empty() {
            self.oracle.check(Promise::OneOperatorWins, doubled.is_none() && known, || {
                format!("two changes were accepted on version {doubled:?}")
            });
            self.oracle.check(Promise::OneOperatorWins, open.is_none(), || {
                format!("the operator of {open:?} was told nothing")
            });
        }
    }

    pub fn result(self) -> CellResult {
        let count = |echoes: bool| {
            let opened = self
                .flows
                .iter()
                .filter(|f| f.opened.is_some() && f.echoes_token == echoes && !f.is_attacker);
            let broken = opened.clone().filter(|flow| flow.broken.is_some()).count() as u64;
            (opened.count() as u64, broken)
        };

        CellResult {
            cell: self.cell,
            is_reached: self.fault_site.is_some(),
            violations: self.oracle.violations(),
            checked: self
                .oracle
                .checked
                .iter()
                .map(|(promise, count)| (*promise, *count))
                .collect(),
            events: self.events,
            echoing: count(true),
            not_echoing: count(false),
            event_log: self.event_log,
        }
    }
}
