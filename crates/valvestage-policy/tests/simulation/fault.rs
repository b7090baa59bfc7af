//! The events of a seed: ordinary ones, in series and overlapping.

use valvestage_policy::steering::seeded_draw::SeededDraw;

use crate::events::Millis;
use crate::store::MAX_ROUTES;

/// Events begin from here on; before, everything has started.
const FIRST_AT: Millis = 5_000;

/// The last one begins before this.
const LAST_AT: Millis = 15_000;

/// The longest that one lasts.
const MAX_MS: usize = 4_500;

/// The least by which the configuration grows after calls fell silent, in addresses, and how much later that is at most.
const LARGE_GROWTH: usize = 4_300;
const GROWTH_LATER_MS: usize = 900;

/// The longest that a store is away which is restored.
const LONGEST_AWAY_MS: usize = 2_500;

/// Other faults begin from so long before a restore on, over so long a time.
const BEFORE_RESTORE_MS: Millis = 3_000;
const NEAR_RESTORE_MS: usize = 8_000;

/// What happens. Numbers choose a balancer, zone or backend server among those that there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// An address leads to the other service.
    RouteChange(usize),
    /// Another address is dropped, or comes back.
    RouteDrop(usize),
    /// The configuration grows by so many addresses.
    RouteGrowth(usize),
    /// A balancer is killed, and starts again a moment later.
    Restart(usize),
    /// All balancers one after the other.
    RollingRestart,
    /// All of them at once.
    Herd,
    /// A balancer does not reach the store; nor, with the flag, does the store reach it.
    StoreCut(usize),
    /// A balancer does not hear others, or is not heard.
    PeerCut { balancer: usize, is_deaf: bool },
    /// A zone is cut off from the others and from the store.
    ZoneCut(usize),
    /// A balancer stands still.
    Freeze(usize),
    /// Open calls to the store fall silent for good.
    SilentCalls,
    /// The store refuses.
    StoreRefuses,
    /// The store says nothing.
    StoreSilent,
    /// Entries lapse while the store refuses.
    StoreLapse,
    /// The store forgets its history.
    StoreForgets,
    /// The store is away, and comes back from an older copy. What its callers wrote since is written again.
    StoreRestored(RestoreDepth),
    /// A share of the store's answers is lost.
    StoreLoses,
    /// A backend server says nothing.
    BackendSilent(usize),
    /// A backend server ends without a word.
    BackendCrash(usize),
    /// A backend server leaves, and a new one comes.
    BackendReplaced(usize),
    /// A backend server leaves, and one of the other service has its address.
    AddressReused(usize),
    /// A backend server ends without a word, and starts again under its name.
    Rebirth(usize),
    /// Another writer puts an entry that names no backend server to use in the place of one.
    ForeignEntry(usize),
    /// The operator evacuates a zone, and takes it back.
    Evacuation(usize),
    /// The backend servers of a zone end together, and others come together.
    ColdReturn(usize),
}

/// How much a store has lost that was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestoreDepth {
    /// The last changes.
    Changes(u64),
    /// The changes of the last milliseconds.
    Age(Millis),
}

/// Seeds from here on have starts under the same name and entries of other writers besides.
pub const REBIRTH_SEEDS: u64 = 1_000_000;

/// Seeds from here on have evacuations and backend servers that bear little while they are cold besides those.
pub const PLACES_SEEDS: u64 = 2_000_000;

/// Seeds from here on have only cuts, standstills and outages, which overlap.
pub const CUT_SEEDS: u64 = 3_000_000;

/// Seeds from here on have calls that fall silent just before the configuration grows to nearly all that the store takes.
pub const GROWTH_SEEDS: u64 = 4_000_000;

/// Seeds from here on have stores that are restored from an older copy, and other faults near them.
pub const RESTORE_SEEDS: u64 = 5_000_000;

/// Which faults a seed draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultSeries {
    /// Those of every deployment.
    Ordinary,
    /// Starts under a former name and entries of other writers besides.
    Rebirths,
    /// Evacuations and cold returns besides those.
    Places,
    /// Only what keeps balancers from the store, from each other and from callers.
    Cuts,
    /// Silent calls and a growth of the configuration, and few others.
    Growths,
    /// Restored stores, and faults of all kinds near them.
    Restores,
}

impl FaultSeries {
    pub fn of(seed: u64) -> Self {
        match seed {
            ..REBIRTH_SEEDS => Self::Ordinary,
            REBIRTH_SEEDS..PLACES_SEEDS => Self::Rebirths,
            PLACES_SEEDS..CUT_SEEDS => Self::Places,
            CUT_SEEDS..GROWTH_SEEDS => Self::Cuts,
            GROWTH_SEEDS..RESTORE_SEEDS => Self::Growths,
            RESTORE_SEEDS.. => Self::Restores,
        }
    }
}

/// One fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    pub kind: FaultKind,
    pub at: Millis,
    /// How long it lasts, where it does.
    pub for_ms: Millis,
}

/// The faults of a seed.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    pub faults: Vec<Fault>,
}

impl FaultPlan {
    pub fn draw(seed: u64) -> Self {
        let mut draw = SeededDraw::new(seed ^ 0xfa17);

        let mut faults = match FaultSeries::of(seed) {
            FaultSeries::Ordinary => draw_ordinary(&mut draw),
            FaultSeries::Rebirths => draw_with_rebirths(&mut draw),
            FaultSeries::Places => draw_with_places(&mut draw),
            FaultSeries::Cuts => draw_cuts(&mut draw),
            FaultSeries::Growths => draw_growth(&mut draw),
            FaultSeries::Restores => draw_restores(&mut draw),
        };
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }
}

fn draw_ordinary(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 2 + draw.below(7);

    (0..count).map(|_| draw_fault(draw)).collect()
}

fn draw_with_rebirths(draw: &mut SeededDraw) -> Vec<Fault> {
    let mut faults = draw_ordinary(draw);
    let others = 1 + draw.below(3);

    faults.extend((0..others).map(|_| draw_rebirth(draw)));
    faults
}

fn draw_with_places(draw: &mut SeededDraw) -> Vec<Fault> {
    let mut faults = draw_with_rebirths(draw);
    let others = 1 + draw.below(4);

    faults.extend((0..others).map(|_| draw_place(draw)));
    faults
}

fn draw_cuts(draw: &mut SeededDraw) -> Vec<Fault> {
    let count = 3 + draw.below(5);

    (0..count).map(|_| draw_cut(draw)).collect()
}

fn draw_cut(draw: &mut SeededDraw) -> Fault {
    let which = draw.below(1_000);
    let kind = match draw.below(8) {
        0 | 1 => FaultKind::ZoneCut(which),
        2 => FaultKind::Herd,
        3 => FaultKind::Freeze(which),
        4 => FaultKind::Restart(which),
        5 => FaultKind::StoreCut(which),
        6 => FaultKind::StoreSilent,
        _ => FaultKind::StoreLapse,
    };

    timed(kind, draw)
}

/// All open calls fall silent, and the configuration grows while nobody has noticed.
fn draw_growth(draw: &mut SeededDraw) -> Vec<Fault> {
    let silent = timed(FaultKind::SilentCalls, draw);
    let routes = LARGE_GROWTH + draw.below(MAX_ROUTES - LARGE_GROWTH);
    let later = u64::try_from(draw.below(GROWTH_LATER_MS)).expect("it fits");
    let growth = Fault { kind: FaultKind::RouteGrowth(routes), at: silent.at + later, for_ms: 0 };
    let others = draw.below(3);

    let mut faults = vec![silent, growth];
    faults.extend((0..others).map(|_| draw_fault(draw)));
    faults
}

/// One restored store or two, with most other faults shortly before and after the first one.
fn draw_restores(draw: &mut SeededDraw) -> Vec<Fault> {
    let restores = 1 + draw.below(2);
    let others = 1 + draw.below(6);

    let mut faults: Vec<_> = (0..restores).map(|_| draw_restore(draw)).collect();
    let center = faults[0].at;
    for _ in 0..others {
        let which = draw.below(1_000);
        let mut fault = match draw.below(8) {
            0 | 1 => timed(FaultKind::BackendReplaced(which), draw),
            2 => draw_rebirth(draw),
            3 => draw_place(draw),
            _ => draw_fault(draw),
        };
        if draw.below(4) > 0 {
            let later = u64::try_from(draw.below(NEAR_RESTORE_MS)).expect("it fits");
            let at = (center + later).saturating_sub(BEFORE_RESTORE_MS);
            fault.at = at.clamp(FIRST_AT, LAST_AT);
        }
        faults.push(fault);
    }
    faults
}

fn draw_restore(draw: &mut SeededDraw) -> Fault {
    let depth = if draw.below(2) == 0 {
        RestoreDepth::Changes(1 + u64::try_from(draw.below(6)).expect("few"))
    } else {
        RestoreDepth::Age(500 + u64::try_from(draw.below(5_500)).expect("it fits"))
    };
    let away_ms = u64::try_from(draw.below(LONGEST_AWAY_MS)).expect("it fits");

    Fault { for_ms: away_ms, ..timed(FaultKind::StoreRestored(depth), draw) }
}

fn draw_fault(draw: &mut SeededDraw) -> Fault {
    let which = draw.below(1_000);
    let kind = match draw.below(20) {
        0 | 1 => FaultKind::RouteChange(which),
        2 => FaultKind::RouteDrop(which),
        3 => FaultKind::RouteGrowth(500 + 5 * which),
        4 => FaultKind::Restart(which),
        5 => FaultKind::RollingRestart,
        6 => FaultKind::Herd,
        7 => FaultKind::StoreCut(which),
        8 => FaultKind::PeerCut { balancer: which, is_deaf: which.is_multiple_of(2) },
        9 | 10 => FaultKind::ZoneCut(which),
        11 => FaultKind::Freeze(which),
        12 => FaultKind::SilentCalls,
        13 => FaultKind::StoreRefuses,
        14 => FaultKind::StoreSilent,
        15 => {
            if which.is_multiple_of(2) {
                FaultKind::StoreLapse
            } else {
                FaultKind::StoreLoses
            }
        }
        16 => FaultKind::StoreForgets,
        17 => {
            if which.is_multiple_of(2) {
                FaultKind::BackendSilent(which)
            } else {
                FaultKind::BackendCrash(which)
            }
        }
        18 => FaultKind::BackendReplaced(which),
        _ => FaultKind::AddressReused(which),
    };
    timed(kind, draw)
}

fn draw_rebirth(draw: &mut SeededDraw) -> Fault {
    let which = draw.below(1_000);
    let kind =
        if draw.below(3) == 0 { FaultKind::ForeignEntry(which) } else { FaultKind::Rebirth(which) };

    timed(kind, draw)
}

fn draw_place(draw: &mut SeededDraw) -> Fault {
    let which = draw.below(1_000);
    let kind = match draw.below(3) {
        0 => FaultKind::ColdReturn(which),
        _ => FaultKind::Evacuation(which),
    };

    timed(kind, draw)
}

fn timed(kind: FaultKind, draw: &mut SeededDraw) -> Fault {
    let window = usize::try_from(LAST_AT - FIRST_AT).expect("it fits");
    let at = FIRST_AT + u64::try_from(draw.below(window)).expect("it fits");
    let for_ms = u64::try_from(500 + draw.below(MAX_MS - 500)).expect("it fits");

    Fault { kind, at, for_ms }
}
