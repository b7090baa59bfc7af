//! Scenarios of the fleet, and the time until the balancers know of each change.

use std::time::Duration;

use valvestage_policy::steering::{BackendPhase, EntryPolicy};

use super::simulation::{FleetSimulation, zone_index};
use super::usage::FleetUsage;

/// Time that a fleet gets to settle after its first start, included in the usage of the start.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Simulated spans of time: without any change; after a change or a restart; and with a partitioned
/// zone before the configuration changes.
const IDLE_SPAN: Duration = Duration::from_secs(5);
const RECOVERY_SPAN: Duration = Duration::from_secs(3);
const PARTITION_SPAN: Duration = Duration::from_secs(5);

/// Maximum time to wait until all balancers satisfy a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between the kill and the restart of all balancers.
const DOWNTIME: Duration = Duration::from_secs(1);

/// Number of backend servers that are drained at the same time.
const DRAINED_BACKENDS: usize = 200;

/// Measurements of one scenario.
pub struct ScenarioReport {
    /// Title of the scenario's table.
    pub name: &'static str,
    /// Each measure with its value. The time of a condition that was not met within the limit is
    /// infinite.
    pub rows: Vec<(&'static str, f64)>,
}

/// Runs all scenarios on one fleet in sequence, or only those in which all balancers start.
pub fn run_all(balancers: usize, backends: usize, starts_only: bool) -> Vec<ScenarioReport> {
    eprintln!("{balancers} balancers, {backends} backend servers");
    let mut simulation = FleetSimulation::new(balancers, backends);
    let first = first_start(&mut simulation);
    if starts_only {
        return vec![first, restart_all(&mut simulation)];
    }

    vec![
        first,
        idle(&mut simulation),
        change_configuration(&mut simulation),
        drain_backends(&mut simulation),
        refuse_third(&mut simulation),
        idle_after_refusals(&mut simulation),
        partition_zone(&mut simulation),
        restart_all(&mut simulation),
    ]
}

fn first_start(simulation: &mut FleetSimulation) -> ScenarioReport {
    let count = simulation.nodes.len();
    for node in 0..count {
        simulation.start(node, true);
    }

    let before = simulation.usage.clone();
    let begun_at = simulation.now();
    let mut rows = measure_times(simulation, EntryPolicy::is_ready);
    simulation.run(SETTLE_TIME);
    rows.extend(
        FleetUsage::between(&before, &simulation.usage, simulation.now() - begun_at).rows(),
    );
    ScenarioReport { name: "A first start of all", rows }
}

fn idle(simulation: &mut FleetSimulation) -> ScenarioReport {
    ScenarioReport { name: "Nothing happens", rows: measure_usage(simulation, IDLE_SPAN) }
}

fn change_configuration(simulation: &mut FleetSimulation) -> ScenarioReport {
    let version = simulation.store.change_routes();
    let rows = measure_times(simulation, |node| node.knowledge().routes.version >= version);

    ScenarioReport { name: "A new configuration", rows }
}

fn drain_backends(simulation: &mut FleetSimulation) -> ScenarioReport {
    let last = simulation.store.drain(DRAINED_BACKENDS);
    let is_draining = |node: &EntryPolicy| {
        let entry = node.knowledge().directory.get(last);
        entry.is_some_and(|entry| entry.phase == BackendPhase::Draining)
    };
    let mut rows = measure_times(simulation, is_draining);

    rows.extend(measure_usage(simulation, RECOVERY_SPAN));
    ScenarioReport { name: "200 backend servers leave", rows }
}

fn refuse_third(simulation: &mut FleetSimulation) -> ScenarioReport {
    simulation
        .refused
        .iter_mut()
        .enumerate()
        .for_each(|(node, is_refused)| *is_refused = node % 3 == 0);
    let rows = measure_usage(simulation, IDLE_SPAN);

    simulation.refused.fill(false);
    ScenarioReport { name: "The store turns a third away", rows }
}

fn idle_after_refusals(simulation: &mut FleetSimulation) -> ScenarioReport {
    ScenarioReport {
        name: "Nothing happens, once the store has failed",
        rows: measure_usage(simulation, IDLE_SPAN),
    }
}

fn partition_zone(simulation: &mut FleetSimulation) -> ScenarioReport {
    simulation.partitioned_zone = Some(2);
    simulation.run(PARTITION_SPAN);
    let version = simulation.store.change_routes();
    simulation.run(RECOVERY_SPAN);
    simulation.partitioned_zone = None;

    let partitioned = (0..simulation.nodes.len()).filter(|node| zone_index(*node) == 2).count();
    let mut rows = measure_times(simulation, |node| node.knowledge().routes.version >= version);
    rows.extend(measure_usage(simulation, RECOVERY_SPAN));
    rows.push(("balancers that were cut off", partitioned as f64));
    ScenarioReport { name: "A zone was cut off for 8 s", rows }
}

fn restart_all(simulation: &mut FleetSimulation) -> ScenarioReport {
    let count = simulation.nodes.len();
    (0..count).for_each(|node| simulation.stop(node));
    simulation.run(DOWNTIME);
    (0..count).for_each(|node| simulation.start(node, false));

    let before = simulation.usage.clone();
    let begun_at = simulation.now();
    let mut rows = measure_times(simulation, EntryPolicy::is_ready);
    simulation.run(RECOVERY_SPAN.saturating_sub(simulation.now() - begun_at));
    rows.extend(
        FleetUsage::between(&before, &simulation.usage, simulation.now() - begun_at).rows(),
    );
    ScenarioReport { name: "All were killed", rows }
}

/// Simulates a span of time, and returns the usage in it.
fn measure_usage(simulation: &mut FleetSimulation, span: Duration) -> Vec<(&'static str, f64)> {
    let before = simulation.usage.clone();
    simulation.run(span);

    FleetUsage::between(&before, &simulation.usage, span).rows()
}

/// Simulates until all balancers satisfy a condition, and returns the times until the first, a
/// tenth, half, 99 of 100 and all of them do.
fn measure_times(
    simulation: &mut FleetSimulation,
    condition: impl Fn(&EntryPolicy) -> bool,
) -> Vec<(&'static str, f64)> {
    let count = simulation.nodes.len();
    let begin = simulation.now();
    let marks = [
        ("first, ms", 1),
        ("a tenth, ms", count / 10),
        ("half, ms", count / 2),
        ("99 of 100, ms", count * 99 / 100),
        ("all, ms", count),
    ];

    marks
        .into_iter()
        .map(|(name, required)| {
            let left = CONDITION_TIMEOUT.saturating_sub(simulation.now() - begin);
            let is_reached = simulation.run_until(required, left, &condition).is_some();
            let took = (simulation.now() - begin).as_secs_f64() * 1e3;
            (name, if is_reached { took } else { f64::INFINITY })
        })
        .collect()
}
