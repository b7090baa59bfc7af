//! Scenarios of the fleet, and the time until the balancers know of each change.

use std::time::Duration;

use valvestage_policy::steering::{BackendPhase, EntryPolicy};

use super::usage::FleetUsage;
use super::world::{FleetWorld, zone_of};

/// Time that a fleet gets to settle after its first start, included in the usage of the start.
const SETTLE: Duration = Duration::from_secs(6);

/// Simulated spans of time: without any change; after a change or a restart; and with a partitioned
/// zone before the configuration changes.
const QUIET: Duration = Duration::from_secs(5);
const RETURN: Duration = Duration::from_secs(3);
const CUT: Duration = Duration::from_secs(5);

/// Maximum time to wait until all balancers satisfy a condition.
const LIMIT: Duration = Duration::from_secs(30);

/// Time between the kill and the restart of all balancers.
const DOWN: Duration = Duration::from_secs(1);

/// Number of backend servers that are drained at the same time.
const RELEASED: usize = 200;

/// Measurements of one scenario.
pub struct SceneReport {
    pub name: &'static str,
    /// Each measure with its value. The time of a condition that was not met within the limit is
    /// infinite.
    pub rows: Vec<(&'static str, f64)>,
}

/// Runs all scenarios on one fleet in sequence, or only those in which all balancers start.
pub fn play(balancers: usize, backends: usize, starts_only: bool) -> Vec<SceneReport> {
    eprintln!("{balancers} balancers, {backends} backend servers");
    let mut world = FleetWorld::new(balancers, backends);
    let first = first_start(&mut world);
    if starts_only {
        return vec![first, kill_all(&mut world)];
    }

    vec![
        first,
        quiet(&mut world),
        configuration(&mut world),
        release(&mut world),
        refused(&mut world),
        quiet_after_refusals(&mut world),
        cut(&mut world),
        kill_all(&mut world),
    ]
}

fn first_start(world: &mut FleetWorld) -> SceneReport {
    let count = world.nodes.len();
    for node in 0..count {
        world.start(node, true);
    }

    let before = world.usage.clone();
    let begun_at = world.now();
    let mut rows = times(world, EntryPolicy::is_ready);
    world.run(SETTLE);
    rows.extend(FleetUsage::between(&before, &world.usage, world.now() - begun_at).rows());
    SceneReport { name: "A first start of all", rows }
}

fn quiet(world: &mut FleetWorld) -> SceneReport {
    SceneReport { name: "Nothing happens", rows: measured(world, QUIET) }
}

fn configuration(world: &mut FleetWorld) -> SceneReport {
    let version = world.store.change_routes();
    let rows = times(world, |node| node.knowledge().routes.version >= version);

    SceneReport { name: "A new configuration", rows }
}

fn release(world: &mut FleetWorld) -> SceneReport {
    let last = world.store.drain(RELEASED);
    let knows = |node: &EntryPolicy| {
        let entry = node.knowledge().directory.get(last);
        entry.is_some_and(|entry| entry.phase == BackendPhase::Draining)
    };
    let mut rows = times(world, knows);

    rows.extend(measured(world, RETURN));
    SceneReport { name: "200 backend servers leave", rows }
}

fn refused(world: &mut FleetWorld) -> SceneReport {
    world.refused.iter_mut().enumerate().for_each(|(node, is_refused)| *is_refused = node % 3 == 0);
    let rows = measured(world, QUIET);

    world.refused.fill(false);
    SceneReport { name: "The store turns a third away", rows }
}

fn quiet_after_refusals(world: &mut FleetWorld) -> SceneReport {
    SceneReport { name: "Nothing happens, once the store has failed", rows: measured(world, QUIET) }
}

fn cut(world: &mut FleetWorld) -> SceneReport {
    world.cut_zone = Some(2);
    world.run(CUT);
    let version = world.store.change_routes();
    world.run(RETURN);
    world.cut_zone = None;

    let in_cut = (0..world.nodes.len()).filter(|node| zone_of(*node) == 2).count();
    let mut rows = times(world, |node| node.knowledge().routes.version >= version);
    rows.extend(measured(world, RETURN));
    rows.push(("balancers that were cut off", in_cut as f64));
    SceneReport { name: "A zone was cut off for 8 s", rows }
}

fn kill_all(world: &mut FleetWorld) -> SceneReport {
    let count = world.nodes.len();
    (0..count).for_each(|node| world.stop(node));
    world.run(DOWN);
    (0..count).for_each(|node| world.start(node, false));

    let before = world.usage.clone();
    let begun_at = world.now();
    let mut rows = times(world, EntryPolicy::is_ready);
    world.run(RETURN.saturating_sub(world.now() - begun_at));
    rows.extend(FleetUsage::between(&before, &world.usage, world.now() - begun_at).rows());
    SceneReport { name: "All were killed", rows }
}

/// Simulates a span of time, and returns the usage in it.
fn measured(world: &mut FleetWorld, span: Duration) -> Vec<(&'static str, f64)> {
    let before = world.usage.clone();
    world.run(span);

    FleetUsage::between(&before, &world.usage, span).rows()
}

/// Simulates until all balancers satisfy a condition, and returns the times until the first, a
/// tenth, half, 99 of 100 and all of them do.
fn times(world: &mut FleetWorld, holds: impl Fn(&EntryPolicy) -> bool) -> Vec<(&'static str, f64)> {
    let count = world.nodes.len();
    let begin = world.now();
    let marks = [
        ("first, ms", 1),
        ("a tenth, ms", count / 10),
        ("half, ms", count / 2),
        ("99 of 100, ms", count * 99 / 100),
        ("all, ms", count),
    ];

    marks
        .into_iter()
        .map(|(name, enough)| {
            let left = LIMIT.saturating_sub(world.now() - begin);
            let is_reached = world.run_until(enough, left, &holds).is_some();
            let took = (world.now() - begin).as_secs_f64() * 1e3;
            (name, if is_reached { took } else { f64::INFINITY })
        })
        .collect()
}
