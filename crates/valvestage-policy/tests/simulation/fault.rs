//! Fault kinds, and the fault plan of a seed: faults of ordinary operation that overlap.

use valvestage_policy::steering::seeded_draw::SeededDraw;

use crate::events::Millis;
use crate::flow_faults::{
    draw_broken_entries, draw_caller_losses, draw_joins, draw_new_routes, draw_stale_seeds,
    draw_starvations, draw_uplink_losses, draw_with_long_faults,
};
use crate::foreign_entry::BrokenEntry;
use crate::store::MAX_ROUTES;

/// Earliest start of a fault. All processes have started by then.
pub const FIRST_FAULT_AT: Millis = 5_000;

/// Randomly drawn start times lie before this time.
pub const LAST_FAULT_AT: Millis = 15_000;

/// Longest duration of a fault, in milliseconds.
const MAX_DURATION_MS: usize = 4_500;

/// Smallest growth of the configuration after open store calls stop being answered, in addresses,
/// and the longest time between the two, in milliseconds.
const MIN_LARGE_GROWTH: usize = 4_300;
const MAX_GROWTH_DELAY_MS: usize = 900;

/// Longest outage of a store that is restored from a backup, in milliseconds.
const MAX_RESTORE_OUTAGE_MS: usize = 2_500;

/// Most faults of a restore seed begin within a window around the first restore: how long before
/// the restore the window starts, and its length.
const RESTORE_WINDOW_LEAD_MS: Millis = 3_000;
const RESTORE_WINDOW_MS: usize = 8_000;

/// A kind of fault. Unless a variant says otherwise, its number selects an address, a balancer, a
/// zone or a backend server, modulo their count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// An address is routed to the other service.
    RouteChange(usize),
    /// An address is removed from the configuration, or added again.
    RouteDrop(usize),
    /// The configuration grows by this number of addresses.
    RouteGrowth(usize),
    /// A balancer is killed, and restarts at the end of the fault.
    Restart(usize),
    /// All balancers restart one after the other.
    RollingRestart,
    /// All balancers restart at once.
    Herd,
    /// A balancer is cut off from the store.
    StoreCut(usize),
    /// A balancer is cut off from the other balancers in one direction: it receives no messages if
    /// `is_deaf` is set, and otherwise its own messages are lost.
    PeerCut { balancer: usize, is_deaf: bool },
    /// A zone is partitioned from the other zones and from the store.
    ZoneCut(usize),
    /// A balancer is paused.
    Freeze(usize),
    /// All open calls to the store never get an answer.
    SilentCalls,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store does not answer.
    StoreSilent,
    /// The store refuses all calls, and entries lapse meanwhile.
    StoreLapse,
    /// The store drops its change history, so that watches of older revisions fail.
    StoreForgets,
    /// The store fails and is restored from a backup. Its clients then write again what was lost.
    StoreRestored(RestoreDepth),
    /// A share of the store's answers is lost.
    StoreLoses,
    /// A backend server does not respond.
    BackendSilent(usize),
    /// A backend server crashes.
    BackendCrash(usize),
    /// A backend server drains, and a new one starts.
    BackendReplaced(usize),
    /// A backend server crashes, and a backend server of the other service starts at its address.
    AddressReused(usize),
    /// A backend server crashes, and a new incarnation starts under its name.
    BackendRestart(usize),
    /// Another writer overwrites an entry with one that names no usable backend server.
    ForeignEntry(usize),
    /// The operator evacuates a zone, and ends the evacuation later.
    Evacuation(usize),
    /// All backend servers of a zone crash together, and cold ones replace them together.
    ColdReturn(usize),
    /// The link of one caller loses datagrams.
    CallerLoss(CallerLoss),
    /// Another writer overwrites an entry with one that has a broken field.
    BrokenEntry(BrokenEntry),
    /// Configurations come in quick succession, and each adds an address.
    RouteStorm,
    /// A configuration adds an address.
    RouteAddition,
    /// Balancers leave, and others join.
    Handover(Handover),
    /// A balancer is told to stop, and ends at the end of the fault.
    Leave(usize),
    /// A spare balancer joins. At the end of the fault the settings of all balancers name some that
    /// stay as seeds.
    Join(usize),
    /// Some balancers get processor time late and in bursts, for at most `stall_ms` not at all.
    Starvation { first: usize, count: usize, stall_ms: usize },
    /// A balancer gets no processor time.
    Stall(usize),
    /// The link of a balancer loses all that it sends, to backend servers, callers, other balancers
    /// and the store.
    UplinkLoss(usize),
}

/// Balancers that leave one after the other, and the spare ones that join some time after that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Handover {
    /// Number of balancers that leave: the first ones, which are the seeds.
    pub leaving: usize,
    /// Time from the first leave to the joins.
    pub join_after_ms: Millis,
    /// Time after the joins at which the settings name balancers that stay as seeds.
    pub seeds_for_ms: Millis,
}

/// A loss on the link of one caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLoss {
    /// Selects the caller, modulo their count.
    pub caller: usize,
    /// Share of the datagrams that are lost, in percent.
    pub percent: usize,
    /// Whether the caller's own datagrams are lost, besides those to it.
    pub is_both_ways: bool,
}

/// How much a restored store has lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestoreDepth {
    /// This number of the last changes.
    Changes(u64),
    /// The changes of this many milliseconds before the outage.
    Age(Millis),
}

/// First seed of the series with restarts under the same name and entries of other writers, besides
/// the ordinary faults.
pub const BACKEND_RESTART_SEEDS: u64 = 1_000_000;

/// First seed of the series that adds evacuations, and cold backend servers with low limits, to the
/// faults of the series before it.
pub const ZONE_FAULT_SEEDS: u64 = 2_000_000;

/// First seed of the series with only overlapping partitions, pauses, restarts and store outages.
pub const CUT_SEEDS: u64 = 3_000_000;

/// First seed of the series in which store calls stop answering just before the configuration grows
/// to nearly the largest size that the store accepts.
pub const GROWTH_SEEDS: u64 = 4_000_000;

/// First seed of the series in which the store is restored from a backup, with other faults around
/// that time.
pub const RESTORE_SEEDS: u64 = 5_000_000;

/// First seed of the series with flows that rest for up to 14 s, and the faults of every
/// deployment.
pub const RESTING_FLOW_SEEDS: u64 = 6_000_000;

/// First seed of the series in which the link of one busy caller loses datagrams, again and again,
/// while the flows of others rest.
pub const CALLER_LOSS_SEEDS: u64 = 6_100_000;

/// First seed of the series with only planned work: configurations that add addresses, callers that
/// use them at once, and balancers that leave and join.
pub const NEW_ROUTE_SEEDS: u64 = 6_200_000;

/// First seed of the series with entries of other writers that have one broken field, and with
/// backend servers that drain some time after.
pub const BROKEN_ENTRY_SEEDS: u64 = 6_300_000;

/// First seed of the series with balancers that get processor time late and in bursts.
pub const LATE_PROCESSOR_SEEDS: u64 = 6_400_000;

/// First seed of the series with balancers that join after their seeds have left, and ordinary
/// faults.
pub const JOIN_SEEDS: u64 = 6_500_000;

/// First seed of the series with few new flows in a second, and the faults of every deployment.
pub const FEW_FLOW_SEEDS: u64 = 6_600_000;

/// First seed of the series with balancers that join after their seeds have left, while no settings
/// ever name others.
pub const STALE_SEED_SEEDS: u64 = 6_700_000;

/// First seed of the series in which the links of balancers lose what they send for moments, while
/// flows rest.
pub const UPLINK_LOSS_SEEDS: u64 = 6_800_000;

/// The set of faults that a seed draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultSeries {
    /// Faults of every deployment.
    Ordinary,
    /// Ordinary faults, restarts under the same name, and entries of other writers.
    BackendRestarts,
    /// The faults of `BackendRestarts`, with evacuations and replacements by cold backend servers.
    ZoneFaults,
    /// Only faults that keep balancers from the store, from each other and from callers.
    Cuts,
    /// Unanswered store calls and a growth of the configuration, with up to two ordinary faults.
    Growths,
    /// Restores of the store, with faults of all kinds around them.
    Restores,
    /// Ordinary faults, with callers whose flows rest.
    RestingFlows,
    /// Losses on the link of one busy caller, and at most one ordinary fault.
    CallerLosses,
    /// Additions of addresses, and balancers that leave and join.
    NewRoutes,
    /// Entries with a broken field, and backend servers that drain.
    BrokenEntries,
    /// Balancers that get processor time late, and ordinary faults.
    LateProcessors,
    /// Balancers whose seeds leave before they join, and ordinary faults.
    Joins,
    /// Ordinary faults, with few new flows.
    FewFlows,
    /// Balancers whose seeds leave before they join, for good.
    StaleSeeds,
    /// Losses of what balancers send, and at most one ordinary fault.
    UplinkLosses,
}

impl FaultSeries {
    pub fn of(seed: u64) -> Self {
        match seed {
            ..BACKEND_RESTART_SEEDS => Self::Ordinary,
            BACKEND_RESTART_SEEDS..ZONE_FAULT_SEEDS => Self::BackendRestarts,
            ZONE_FAULT_SEEDS..CUT_SEEDS => Self::ZoneFaults,
            CUT_SEEDS..GROWTH_SEEDS => Self::Cuts,
            GROWTH_SEEDS..RESTORE_SEEDS => Self::Growths,
            RESTORE_SEEDS..RESTING_FLOW_SEEDS => Self::Restores,
            RESTING_FLOW_SEEDS..CALLER_LOSS_SEEDS => Self::RestingFlows,
            CALLER_LOSS_SEEDS..NEW_ROUTE_SEEDS => Self::CallerLosses,
            NEW_ROUTE_SEEDS..BROKEN_ENTRY_SEEDS => Self::NewRoutes,
            BROKEN_ENTRY_SEEDS..LATE_PROCESSOR_SEEDS => Self::BrokenEntries,
            LATE_PROCESSOR_SEEDS..JOIN_SEEDS => Self::LateProcessors,
            JOIN_SEEDS..FEW_FLOW_SEEDS => Self::Joins,
            FEW_FLOW_SEEDS..STALE_SEED_SEEDS => Self::FewFlows,
            STALE_SEED_SEEDS..UPLINK_LOSS_SEEDS => Self::StaleSeeds,
            UPLINK_LOSS_SEEDS.. => Self::UplinkLosses,
        }
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    pub kind: FaultKind,
    pub at: Millis,
    /// Duration; faults that happen at one moment ignore it.
    pub for_ms: Millis,
}

/// The faults of a seed, in the order of their times.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    pub faults: Vec<Fault>,
}

impl FaultPlan {
    pub fn draw(seed: u64) -> Self {
        let mut draw = SeededDraw::new(seed ^ 0xfa17);

        let mut faults = match FaultSeries::of(seed) {
            FaultSeries::Ordinary => draw_ordinary(&mut draw),
            FaultSeries::BackendRestarts => draw_with_backend_restarts(&mut draw),
            FaultSeries::ZoneFaults => draw_with_zone_faults(&mut draw),
            FaultSeries::Cuts => draw_cuts(&mut draw),
            FaultSeries::Growths => draw_growth(&mut draw),
            FaultSeries::Restores => draw_restores(&mut draw),
            FaultSeries::RestingFlows => draw_with_long_faults(&mut draw),
            FaultSeries::CallerLosses => draw_caller_losses(&mut draw),
            FaultSeries::NewRoutes => draw_new_routes(&mut draw),
            FaultSeries::BrokenEntries => draw_broken_entries(&mut draw),
            FaultSeries::LateProcessors => draw_starvations(&mut draw),
            FaultSeries::Joins => draw_joins(&mut draw),
            FaultSeries::FewFlows => draw_ordinary(&mut draw),
            FaultSeries::StaleSeeds => draw_stale_seeds(&mut draw),
            FaultSeries::UplinkLosses => draw_uplink_losses(&mut draw),
        };
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }
}

pub fn draw_ordinary(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 2 + draw.below(7);

    (0..count).map(|_| draw_fault(draw)).collect()
}

fn draw_with_backend_restarts(draw: &mut SeededDraw) -> Vec<Fault> {
    let mut faults = draw_ordinary(draw);
    let others = 1 + draw.below(3);

    faults.extend((0..others).map(|_| draw_backend_restart(draw)));
    faults
}

fn draw_with_zone_faults(draw: &mut SeededDraw) -> Vec<Fault> {
    let mut faults = draw_with_backend_restarts(draw);
    let others = 1 + draw.below(4);

    faults.extend((0..others).map(|_| draw_zone_fault(draw)));
    faults
}

fn draw_cuts(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 3 + draw.below(5);

    (0..count).map(|_| draw_cut(draw)).collect()
}

fn draw_cut(draw: &mut SeededDraw) -> Fault {
    let pick = draw.below(1_000);
    let kind = match draw.below(8) {
        0 | 1 => FaultKind::ZoneCut(pick),
        2 => FaultKind::Herd,
        3 => FaultKind::Freeze(pick),
        4 => FaultKind::Restart(pick),
        5 => FaultKind::StoreCut(pick),
        6 => FaultKind::StoreSilent,
        _ => FaultKind::StoreLapse,
    };

    with_random_time(kind, draw)
}

/// Draws a loss of all open store calls, and a growth of the configuration before any balancer has
/// detected the loss.
fn draw_growth(draw: &mut SeededDraw) -> Vec<Fault> {
    let silent = with_random_time(FaultKind::SilentCalls, draw);
    let routes = MIN_LARGE_GROWTH + draw.below(MAX_ROUTES - MIN_LARGE_GROWTH);
    let later = u64::try_from(draw.below(MAX_GROWTH_DELAY_MS)).expect("the number fits");
    let growth = Fault { kind: FaultKind::RouteGrowth(routes), at: silent.at + later, for_ms: 0 };
    let others = draw.below(3);

    let mut faults = vec![silent, growth];
    faults.extend((0..others).map(|_| draw_fault(draw)));
    faults
}

/// Draws one or two restores of the store, and other faults, most of them shortly before or after
/// the first restore.
fn draw_restores(draw: &mut SeededDraw) -> Vec<Fault> {
    let restores = 1 + draw.below(2);
    let others = 1 + draw.below(6);

    let mut faults: Vec<_> = (0..restores).map(|_| draw_restore(draw)).collect();
    let center = faults[0].at;
    for _ in 0..others {
        let pick = draw.below(1_000);
        let mut fault = match draw.below(8) {
            0 | 1 => with_random_time(FaultKind::BackendReplaced(pick), draw),
            2 => draw_backend_restart(draw),
            3 => draw_zone_fault(draw),
            _ => draw_fault(draw),
        };
        if draw.below(4) > 0 {
            let later = u64::try_from(draw.below(RESTORE_WINDOW_MS)).expect("the number fits");
            let at = (center + later).saturating_sub(RESTORE_WINDOW_LEAD_MS);
            fault.at = at.clamp(FIRST_FAULT_AT, LAST_FAULT_AT);
        }
        faults.push(fault);
    }
    faults
}

fn draw_restore(draw: &mut SeededDraw) -> Fault {
    let depth = if draw.below(2) == 0 {
        RestoreDepth::Changes(1 + u64::try_from(draw.below(6)).expect("the count fits"))
    } else {
        RestoreDepth::Age(500 + u64::try_from(draw.below(5_500)).expect("the number fits"))
    };
    let away_ms = u64::try_from(draw.below(MAX_RESTORE_OUTAGE_MS)).expect("the number fits");

    Fault { for_ms: away_ms, ..with_random_time(FaultKind::StoreRestored(depth), draw) }
}

pub fn draw_fault(draw: &mut SeededDraw) -> Fault {
    let pick = draw.below(1_000);
    let kind = match draw.below(20) {
        0 | 1 => FaultKind::RouteChange(pick),
        2 => FaultKind::RouteDrop(pick),
        3 => FaultKind::RouteGrowth(500 + 5 * pick),
        4 => FaultKind::Restart(pick),
        5 => FaultKind::RollingRestart,
        6 => FaultKind::Herd,
        7 => FaultKind::StoreCut(pick),
        8 => FaultKind::PeerCut { balancer: pick, is_deaf: pick.is_multiple_of(2) },
        9 | 10 => FaultKind::ZoneCut(pick),
        11 => FaultKind::Freeze(pick),
        12 => FaultKind::SilentCalls,
        13 => FaultKind::StoreRefuses,
        14 => FaultKind::StoreSilent,
        15 => {
            if pick.is_multiple_of(2) {
                FaultKind::StoreLapse
            } else {
                FaultKind::StoreLoses
            }
        }
        16 => FaultKind::StoreForgets,
        17 => {
            if pick.is_multiple_of(2) {
                FaultKind::BackendSilent(pick)
            } else {
                FaultKind::BackendCrash(pick)
            }
        }
        18 => FaultKind::BackendReplaced(pick),
        _ => FaultKind::AddressReused(pick),
    };
    with_random_time(kind, draw)
}

fn draw_backend_restart(draw: &mut SeededDraw) -> Fault {
    let pick = draw.below(1_000);
    let kind = if draw.below(3) == 0 {
        FaultKind::ForeignEntry(pick)
    } else {
        FaultKind::BackendRestart(pick)
    };

    with_random_time(kind, draw)
}

fn draw_zone_fault(draw: &mut SeededDraw) -> Fault {
    let pick = draw.below(1_000);
    let kind = match draw.below(3) {
        0 => FaultKind::ColdReturn(pick),
        _ => FaultKind::Evacuation(pick),
    };

    with_random_time(kind, draw)
}

pub fn with_random_time(kind: FaultKind, draw: &mut SeededDraw) -> Fault {
    let window = usize::try_from(LAST_FAULT_AT - FIRST_FAULT_AT).expect("the number fits");
    let at = FIRST_FAULT_AT + u64::try_from(draw.below(window)).expect("the number fits");
    let for_ms = u64::try_from(500 + draw.below(MAX_DURATION_MS - 500)).expect("the number fits");

    Fault { kind, at, for_ms }
}
