//! Operators, who change the configuration by a read and a write that is conditional on the version
//! read.

use std::time::Duration;

use valvestage_core::ids::{BackendId, ObjectVersion};
use valvestage_core::{BackendState, RawConfiguration};
use valvestage_policy::control::{ObjectKey, ObjectValue, PlatformCall, PlatformReply};

use crate::ablations::Ablation;
use crate::node::zone_name;
use crate::scenario::Timer;
use crate::steps::Step;
use crate::world::{Event, World};

const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time from an operator's read to the write.
const READ_TO_WRITE_DELAY: Duration = Duration::from_millis(4);

/// Offset from the id of a backend server to the id of the one that takes over its address.
const REPLACEMENT_ID_OFFSET: BackendId = 900;

/// Change that an operator makes to the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationChange {
    Weight(BackendId, u16),
    Drain(BackendId),
    StopZone(usize),
    /// Replaces a backend server by one of service 2 at the same address.
    ReuseAddress(BackendId),
}

/// Operator who makes one change, and repeats it until its result is known.
#[derive(Debug, Clone)]
pub struct Operator {
    pub id: String,
    pub change: ConfigurationChange,
    /// Version and value of the configuration last read.
    pub base: Option<(ObjectVersion, RawConfiguration)>,
    /// Whether an earlier write is in doubt: it got no answer, and may have taken effect.
    pub is_in_doubt: bool,
    /// Whether the change was accepted; `None` until that is known.
    pub is_accepted: Option<bool>,
}

impl World {
    pub fn add_operator(&mut self, id: &str, change: ConfigurationChange) {
        self.operators.push(Operator {
            id: id.to_owned(),
            change,
            base: None,
            is_in_doubt: false,
            is_accepted: None,
        });

        let index = self.operators.len() - 1;
        self.schedule(Duration::ZERO, Event::Timer(Timer::OperatorReads(index)));
    }

    pub fn operator_reads(&mut self, index: usize) {
        let reply = self.platform.call(&PlatformCall::Read { key: ObjectKey::Configuration });
        let PlatformReply::Found { version, value: ObjectValue::Configuration(raw) } = reply else {
            self.schedule(RETRY_INTERVAL, Event::Timer(Timer::OperatorReads(index)));
            return;
        };

        let operator = &mut self.operators[index];
        let base = operator.base.as_ref().map(|(version, _)| *version);
        if operator.is_in_doubt && raw.change_id == operator.id {
            operator.is_accepted = Some(true);
            return;
        }
        if operator.is_in_doubt && base != Some(version) {
            operator.is_accepted = Some(false);
            return;
        }
        operator.base = Some((version, raw));
        self.schedule(READ_TO_WRITE_DELAY, Event::Timer(Timer::OperatorWrites(index)));
    }

    pub fn operator_writes(&mut self, index: usize) {
        let operator = self.operators[index].clone();
        let Some((base, raw)) = operator.base else {
            return;
        };
        let before = self.platform.get(ObjectKey::Configuration).map(|(version, _)| *version);
        let unconditional = self.ablation == Ablation::ConditionalWrite;
        let call = PlatformCall::Write {
            key: ObjectKey::Configuration,
            expected: if unconditional { before } else { Some(base) },
            value: ObjectValue::Configuration(apply_change(&raw, operator.change, &operator.id)),
        };
        if operator.id == "planned" {
            let owner = self.owner_of_first_service();
            self.on_step_reached(Step::ChangeSent, owner, None);
        }

        let reply = self.platform.call(&call);
        let after = self.platform.get(ObjectKey::Configuration).map(|(version, _)| *version);
        if before != after {
            self.on_change_accepted(&operator.id, operator.change, after.unwrap_or(0));
        }

        let operator = &mut self.operators[index];
        match reply {
            PlatformReply::Written { .. } => operator.is_accepted = Some(true),
            PlatformReply::Conflict if !operator.is_in_doubt => operator.is_accepted = Some(false),
            _ => {
                operator.is_in_doubt = true;
                self.schedule(RETRY_INTERVAL, Event::Timer(Timer::OperatorReads(index)));
            }
        }
    }

    /// Records that a change took effect in the platform, whether or not the operator's answer is
    /// lost.
    fn on_change_accepted(
        &mut self,
        id: &str,
        change: ConfigurationChange,
        version: ObjectVersion,
    ) {
        let now = self.now;
        self.log_event(format!("change {id} is accepted as version {version}"));
        self.schedule(crate::checks::IN_FORCE_LIMIT, Event::Timer(Timer::CheckInForce(version)));

        let zone = |zone: usize| zone_name(zone);
        match change {
            ConfigurationChange::Drain(backend) => {
                let vms = self.vms.iter().filter(|(_, vm)| vm.id() == backend);
                self.leaving_backends = Some((vms.map(|(address, _)| *address).collect(), now));
            }
            ConfigurationChange::StopZone(stopped) => {
                let vms = self.vms.iter().filter(|(_, vm)| vm.record.zone == zone(stopped));
                self.leaving_backends = Some((vms.map(|(address, _)| *address).collect(), now));
            }
            ConfigurationChange::ReuseAddress(backend) => self.reassign_vm(backend),
            ConfigurationChange::Weight(..) => {}
        }
    }

    /// Reassigns the VM to service 2 at once, even though no balancer knows of it yet.
    fn reassign_vm(&mut self, backend: BackendId) {
        if let Some(vm) = self.vms.values_mut().find(|vm| vm.id() == backend) {
            vm.record.id = REPLACEMENT_ID_OFFSET + backend;
            vm.record.service = 2;
            vm.record.incarnation = 1;
            vm.running.clear();
            vm.flows.clear();
        }
    }
}

fn apply_change(raw: &RawConfiguration, change: ConfigurationChange, id: &str) -> RawConfiguration {
    let mut next = raw.clone();
    next.change_id = id.to_owned();

    let find = |backends: &mut Vec<valvestage_core::Backend>, id: BackendId| {
        backends.iter().position(|backend| backend.id == id)
    };
    match change {
        ConfigurationChange::Weight(backend, weight) => {
            if let Some(index) = find(&mut next.backends, backend) {
                next.backends[index].weight = weight;
            }
        }
        ConfigurationChange::Drain(backend) => {
            if let Some(index) = find(&mut next.backends, backend) {
                next.backends[index].state = BackendState::Draining;
            }
        }
        ConfigurationChange::StopZone(zone) => {
            next.stopped_zones.insert(zone_name(zone));
        }
        ConfigurationChange::ReuseAddress(backend) => {
            if let Some(index) = find(&mut next.backends, backend) {
                let record = &mut next.backends[index];
                record.id = REPLACEMENT_ID_OFFSET + backend;
                record.name = format!("reusing-{backend}");
                record.service = 2;
                record.incarnation = 1;
            }
        }
    }
    next
}
