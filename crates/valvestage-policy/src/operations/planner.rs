//! Creation of the plan for an intent.

use std::collections::BTreeMap;

use valvestage_core::ids::ServiceId;
use valvestage_core::{Backend, BackendState, Configuration, RawConfiguration};

use super::intent::{Intent, NewBackend};
use super::plan::{Plan, PlanRefusal, ServiceEffect};
use crate::errors::PolicyError;
use crate::flows::place;
use crate::rendezvous::mix;

/// Number of sampled flow keys from which the percentage of moved flows is estimated.
const SAMPLED_FLOWS: u64 = 2_000;

/// Present load of a service, summed over all balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceDemand {
    /// Number of occupied slots.
    pub busy_slots: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Creates the plan for an intent on the configuration `base`, whose platform object is `raw`.
///
/// An intent that refers to an unknown object is an error. An intent that would break existing
/// flows or leave too few slots gives a plan with a refusal, so that its effects can still be
/// inspected.
pub fn create_plan(
    id: String,
    base: &Configuration,
    raw: &RawConfiguration,
    intent: Intent,
    demand: &BTreeMap<ServiceId, ServiceDemand>,
    flows_by_backend: &BTreeMap<String, u64>,
) -> Result<Plan, PolicyError> {
    let mut result = raw.clone();
    result.change_id.clone_from(&id);
    let steps = apply(&mut result, base, &intent)?;
    let next = Configuration::try_from((base.version + 1, result.clone()))?;

    let effects = effects(base, &next, demand);
    let refusal = find_refusal(base, &intent, &effects, flows_by_backend);
    let dangers = find_warnings(&intent, &effects);

    Ok(Plan { id, base_version: base.version, intent, steps, effects, dangers, refusal, result })
}

fn apply(
    result: &mut RawConfiguration,
    base: &Configuration,
    intent: &Intent,
) -> Result<Vec<String>, PolicyError> {
    match intent {
        Intent::AddBackend(new) => add_backend(result, base, new),
        Intent::DrainBackend { name } => {
            find_backend(result, name)?.state = BackendState::Draining;
            Ok(vec![
                format!(
                    "{name} gets no new flows or requests, on every balancer within 4 seconds."
                ),
                format!("Existing flows and requests of {name} continue until they end."),
            ])
        }
        Intent::ResumeBackend { name } => {
            find_backend(result, name)?.state = BackendState::Active;
            Ok(vec![format!("{name} gets new flows and requests again, in slow start at first.")])
        }
        Intent::RemoveBackend { name } => {
            find_backend(result, name)?;
            result.backends.retain(|backend| backend.name != *name);
            Ok(vec![format!("{name} is removed from the configuration.")])
        }
        Intent::SetWeight { name, weight } => {
            let backend = find_backend(result, name)?;
            let former = std::mem::replace(&mut backend.weight, *weight);
            Ok(vec![
                format!("The weight of {name} changes from {former} to {weight}."),
                "It applies to new flows and requests only; established flows stay.".to_owned(),
            ])
        }
        Intent::StopZone { zone } => {
            check_zone(base, zone)?;
            result.stopped_zones.insert(zone.clone());
            Ok(vec![
                format!("Backend servers in {zone} get no new flows or requests."),
                "Their existing flows and requests continue until they end.".to_owned(),
            ])
        }
        Intent::ResumeZone { zone } => {
            check_zone(base, zone)?;
            result.stopped_zones.remove(zone);
            Ok(vec![format!("Backend servers in {zone} get new flows and requests again.")])
        }
    }
}

fn add_backend(
    result: &mut RawConfiguration,
    base: &Configuration,
    new: &NewBackend,
) -> Result<Vec<String>, PolicyError> {
    let service = base.services().find(|service| service.name == new.service);
    let service = service.ok_or_else(|| not_found("service", &new.service))?.id;

    // Ids are never reused, not even those of removed records. The version grows with each write,
    // so an id above it is new.
    let highest = base.backends().map(|backend| backend.id).max().unwrap_or(0);
    let version = u32::try_from(base.version).unwrap_or(u32::MAX);
    result.backends.push(Backend {
        id: highest.max(version).saturating_add(1),
        name: new.name.clone(),
        service,
        zone: new.zone.clone(),
        address: new.address,
        incarnation: 1,
        slots: new.slots,
        connections: new.connections,
        weight: new.weight,
        state: BackendState::Active,
    });

    Ok(vec![
        format!("{} is added to {} in {}.", new.name, new.service, new.zone),
        "It starts with one slot and ramps up to all of its slots within seconds.".to_owned(),
    ])
}

fn find_backend<'a>(
    result: &'a mut RawConfiguration,
    name: &str,
) -> Result<&'a mut Backend, PolicyError> {
    let found = result.backends.iter_mut().find(|backend| backend.name == name);

    found.ok_or_else(|| not_found("backend server", name))
}

fn check_zone(base: &Configuration, zone: &str) -> Result<(), PolicyError> {
    let exists = base.backends().any(|backend| backend.zone == zone);

    if exists { Ok(()) } else { Err(not_found("availability zone", zone)) }
}

fn not_found(what: &'static str, name: &str) -> PolicyError {
    PolicyError::NotFound { what, name: name.to_owned() }
}

/// Returns the effects on the services whose slots or flow placement change.
fn effects(
    base: &Configuration,
    next: &Configuration,
    demand: &BTreeMap<ServiceId, ServiceDemand>,
) -> Vec<ServiceEffect> {
    let effect = |service: &valvestage_core::Service| ServiceEffect {
        service: service.name.clone(),
        slots_before: open_slots(base, service.id),
        slots_after: open_slots(next, service.id),
        slots_busy: demand.get(&service.id).map_or(0, |demand| demand.busy_slots + demand.waiting),
        new_flows_moved_percent: moved_flows_percent(base, next, service.id),
    };

    base.services()
        .map(effect)
        .filter(|e| e.slots_before != e.slots_after || e.new_flows_moved_percent > 0.0)
        .collect()
}

fn open_slots(configuration: &Configuration, service: ServiceId) -> u32 {
    let eligible = configuration.eligible(service).iter();

    eligible.filter_map(|id| configuration.backend(*id)).map(|b| u32::from(b.slots)).sum()
}

fn moved_flows_percent(base: &Configuration, next: &Configuration, service: ServiceId) -> f64 {
    let key = |index| mix(index, u64::from(service));
    let moved = (0..SAMPLED_FLOWS)
        .filter(|index| {
            let former = place(base, service, key(*index), |_| true);
            former != place(next, service, key(*index), |_| true)
        })
        .count();

    #[allow(clippy::cast_precision_loss)]
    let share = moved as f64 / SAMPLED_FLOWS as f64;
    (share * 1_000.0).round() / 10.0
}

fn find_refusal(
    base: &Configuration,
    intent: &Intent,
    effects: &[ServiceEffect],
    flows_on: &BTreeMap<String, u64>,
) -> Option<PlanRefusal> {
    if let Intent::RemoveBackend { name } = intent {
        return removal_refusal(base, name, flows_on);
    }

    // With fewer slots than are in use, later requests could not be served as before.
    let short = effects
        .iter()
        .filter(|effect| effect.slots_after < effect.slots_before)
        .find(|effect| effect.slots_after < effect.slots_busy.max(1))?;
    let missing = short.slots_busy.max(1) - short.slots_after;
    Some(PlanRefusal {
        problem: format!(
            "{} would be {missing} slots short: {} of its slots are occupied or waited for, and {} would remain.",
            short.service, short.slots_busy, short.slots_after
        ),
        remedy: format!(
            "Add backend servers to {} first, or wait until it is less busy.",
            short.service
        ),
    })
}

fn removal_refusal(
    base: &Configuration,
    name: &str,
    flows_on: &BTreeMap<String, u64>,
) -> Option<PlanRefusal> {
    let backend = base.backends().find(|backend| backend.name == name)?;
    let flows = flows_on.get(name).copied().unwrap_or(0);

    if base.takes_new_work(backend) {
        return Some(PlanRefusal {
            problem: format!("{name} still takes new work; removing it would break its flows."),
            remedy: format!("Drain it first: `valvectl plan drain {name}`."),
        });
    }
    if flows > 0 {
        return Some(PlanRefusal {
            problem: format!("{name} still has {flows} flows, which would break."),
            remedy: format!("Wait until they end; `valvectl status` shows the flows of {name}."),
        });
    }
    None
}

fn find_warnings(intent: &Intent, effects: &[ServiceEffect]) -> Vec<String> {
    let mut dangers = Vec::new();

    for effect in effects.iter().filter(|effect| effect.slots_after < effect.slots_before) {
        let free = effect.slots_after.saturating_sub(effect.slots_busy);
        if free * 5 < effect.slots_after {
            dangers.push(format!(
                "{} would have {free} of {} slots free: requests of a burst would have to wait.",
                effect.service, effect.slots_after
            ));
        }
    }
    if let Intent::AddBackend(new) = intent {
        dangers.push(format!(
            "If the VM at {} served another service before, make sure that it has been replaced: it refuses packets for any service other than {}.",
            new.address, new.service
        ));
    }

    dangers
}
