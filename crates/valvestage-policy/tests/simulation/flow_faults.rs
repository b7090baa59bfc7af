//! Fault plans of the series with resting flows.

use valvestage_policy::steering::seeded_draw::SeededDraw;

use crate::events::Millis;
use crate::fault::{
    CallerLoss, FIRST_FAULT_AT, Fault, FaultKind, Handover, LAST_FAULT_AT, draw_fault,
    draw_ordinary, with_random_time,
};
use crate::foreign_entry::BrokenEntry;
use crate::site::{BUSY_CALLER, SEED_COUNT};

/// Longest duration of a fault of the series with long faults, in milliseconds, and the time by
/// which they have ended.
const MAX_LONG_DURATION_MS: usize = 12_000;
const LAST_FAULT_END_AT: Millis = 19_500;

/// Interval between the starts of two balancers' leaves.
pub const LEAVE_INTERVAL: Millis = 1_200;

/// Time for which the seeds in new settings may be out of date.
const SEED_LAG: Millis = 3_000;

/// A time after the end of every simulation.
const NEVER: Millis = 60_000;

/// Longest time between the last leave and the first join, in milliseconds.
const MAX_JOIN_DELAY_MS: usize = 600;

/// Duration of a succession of configurations, and the longest time by which it begins before the
/// first join, in milliseconds.
const ROUTE_STORM_MS: Millis = 3_500;
const MAX_STORM_LEAD_MS: usize = 800;

/// Longest stall of a balancer that gets its processor time late, and of one that gets little of it,
/// in milliseconds.
const SHORT_STALL_MS: usize = 250;
const LONG_STALL_MS: usize = 900;

/// Shortest loss of what a balancer sends, and the most that chance adds, in milliseconds.
const MIN_UPLINK_LOSS_MS: Millis = 200;
const MAX_UPLINK_LOSS_MS: usize = 1_800;

/// Longest time between the overwriting of an entry and the drain of its backend server, in
/// milliseconds.
const MAX_DRAIN_DELAY_MS: usize = 5_000;

/// Draws ordinary faults, of which about half last for up to [`MAX_LONG_DURATION_MS`].
pub fn draw_with_long_faults(draw: &mut SeededDraw) -> Vec<Fault> {
    let mut faults = draw_ordinary(draw);

    for fault in &mut faults {
        let longest = usize::try_from(LAST_FAULT_END_AT - fault.at).expect("the number fits");
        if draw.below(2) == 0 {
            let for_ms = 500 + draw.below(longest.min(MAX_LONG_DURATION_MS) - 500);
            fault.for_ms = u64::try_from(for_ms).expect("the number fits");
        }
    }
    faults
}

/// Draws several losses on the link of the busy caller, and in half of the deployments one ordinary
/// fault.
pub fn draw_caller_losses(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 3 + draw.below(4);
    let others = draw.below(2);

    let mut faults: Vec<_> = (0..count).map(|_| draw_caller_loss(draw)).collect();
    faults.extend((0..others).map(|_| draw_fault(draw)));
    faults
}

fn draw_caller_loss(draw: &mut SeededDraw) -> Fault {
    let percent = if draw.below(2) == 0 { 100 } else { 30 + draw.below(70) };
    let is_both_ways = draw.below(4) == 0;

    with_random_time(
        FaultKind::CallerLoss(CallerLoss { caller: BUSY_CALLER, percent, is_both_ways }),
        draw,
    )
}

/// Draws planned work only: balancers that join, three times in four after their seeds have left,
/// and a succession of configurations around that time.
pub fn draw_new_routes(draw: &mut SeededDraw) -> Vec<Fault> {
    let leaving = if draw.below(4) == 0 { 0 } else { SEED_COUNT };

    draw_handover_with_storm(leaving, SEED_LAG, draw)
}

/// Draws balancers that join after their seeds have left, and one to three ordinary faults.
pub fn draw_joins(draw: &mut SeededDraw) -> Vec<Fault> {
    let mut faults = draw_handover_with_storm(SEED_COUNT, SEED_LAG, draw);
    let others = 1 + draw.below(3);

    faults.extend((0..others).map(|_| draw_fault(draw)));
    faults
}

/// Draws planned work only: balancers that join after their seeds have left, for good.
pub fn draw_stale_seeds(draw: &mut SeededDraw) -> Vec<Fault> {
    draw_handover_with_storm(SEED_COUNT, NEVER, draw)
}

fn draw_handover_with_storm(
    leaving: usize,
    seeds_for_ms: Millis,
    draw: &mut SeededDraw,
) -> Vec<Fault> {
    let leave_ms = LEAVE_INTERVAL * u64::try_from(leaving).expect("the count fits");
    let join_after_ms = leave_ms + millis_below(MAX_JOIN_DELAY_MS, draw);
    let kind = FaultKind::Handover(Handover { leaving, join_after_ms, seeds_for_ms });
    let handover = with_random_time(kind, draw);
    let joins_at = handover.at + join_after_ms;
    let at = joins_at.saturating_sub(millis_below(MAX_STORM_LEAD_MS, draw)).max(FIRST_FAULT_AT);
    let storm = Fault { kind: FaultKind::RouteStorm, at, for_ms: ROUTE_STORM_MS };

    vec![handover, storm]
}

/// Draws two to four entries with a broken field. Half of the backend servers concerned drain some
/// time after. Half of the deployments have an ordinary fault, too.
pub fn draw_broken_entries(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 2 + draw.below(3);
    let others = draw.below(2);
    let mut faults = Vec::new();

    for _ in 0..count {
        let pick = draw.below(1_000);
        let broken = FaultKind::BrokenEntry(BrokenEntry::draw(pick, draw));
        let broken = with_random_time(broken, draw);
        faults.push(broken);
        if draw.below(2) == 0 {
            let at = (broken.at + millis_below(MAX_DRAIN_DELAY_MS, draw)).min(LAST_FAULT_AT);
            faults.push(Fault { kind: FaultKind::BackendReplaced(pick), at, for_ms: 0 });
        }
    }
    faults.extend((0..others).map(|_| draw_fault(draw)));
    faults
}

/// Draws two to four groups of balancers that get processor time late and in bursts, and up to two
/// ordinary faults.
pub fn draw_starvations(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 2 + draw.below(3);
    let others = draw.below(3);

    let mut faults: Vec<_> = (0..count).map(|_| draw_starvation(draw)).collect();
    faults.extend((0..others).map(|_| draw_fault(draw)));
    faults
}

fn draw_starvation(draw: &mut SeededDraw) -> Fault {
    let stall_ms = if draw.below(2) == 0 { SHORT_STALL_MS } else { LONG_STALL_MS };
    let kind =
        FaultKind::Starvation { first: draw.below(1_000), count: 1 + draw.below(3), stall_ms };

    with_random_time(kind, draw)
}

/// Draws three to six losses of all that a balancer sends. Half of the deployments have an ordinary
/// fault, too.
pub fn draw_uplink_losses(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 3 + draw.below(4);
    let others = draw.below(2);

    let mut faults: Vec<_> = (0..count).map(|_| draw_uplink_loss(draw)).collect();
    faults.extend((0..others).map(|_| draw_fault(draw)));
    faults
}

fn draw_uplink_loss(draw: &mut SeededDraw) -> Fault {
    let for_ms = MIN_UPLINK_LOSS_MS + millis_below(MAX_UPLINK_LOSS_MS, draw);
    let fault = with_random_time(FaultKind::UplinkLoss(draw.below(1_000)), draw);

    Fault { for_ms, ..fault }
}

fn millis_below(limit: usize, draw: &mut SeededDraw) -> Millis {
    Millis::try_from(draw.below(limit)).expect("the number fits")
}
