//! Trial of an approach from the related paper: only hot keys are spread, over a number of
//! candidates that grows with their popularity.

use valvestage_policy::rendezvous::{best, mix, weighted_score};

use crate::table::Table;
use valvestage_standins::seeded_rng::SeededRng;

const FLOWS: usize = 100_000;
const CALLERS: usize = 5_000;
const BACKENDS: usize = 14;
const SEED: u64 = 42;

/// Share of all flows so far above which a caller is hot.
const HOT_SHARE: f64 = 0.002;

/// Prints the imbalance of flows by skew of the callers, for three placements.
pub fn print_table() {
    let mut table = Table::new(&[
        "skew of callers",
        "address and port (chosen)",
        "caller address",
        "caller address, hot callers spread",
        "exceptions of the last",
    ]);

    for skew in [0.8, 1.1, 1.4] {
        let callers = draw_callers(skew);
        let by_port = callers.iter().enumerate().map(|(flow, caller)| mix(*caller, flow as u64));
        let by_caller = callers.iter().map(|caller| mix(*caller, 0));
        let (spread, exceptions) = spread_hot(&callers);
        table.add_row(&[
            format!("{skew}"),
            format!("{:.3}", imbalance(&count_by_backend(by_port.map(preferred_backend)))),
            format!("{:.3}", imbalance(&count_by_backend(by_caller.map(preferred_backend)))),
            format!("{:.3}", imbalance(&spread)),
            format!("{:.1}%", 100.0 * as_f64(exceptions) / as_f64(FLOWS)),
        ]);
    }
    table.print("Imbalance of flows over 14 backend servers, callers with a power law of flows");
}

/// Draws the caller of each flow from a power law.
fn draw_callers(skew: f64) -> Vec<u64> {
    let weights: Vec<f64> = (1..=CALLERS).map(|rank| as_f64(rank).powf(-skew)).collect();
    let total: f64 = weights.iter().sum();
    let mut sums = Vec::with_capacity(CALLERS);
    let mut sum = 0.0;
    for weight in weights {
        sum += weight / total;
        sums.push(sum);
    }

    let mut rng = SeededRng::new(SEED);
    (0..FLOWS)
        .map(|_| {
            let drawn = rng.next_f64();
            sums.partition_point(|sum| *sum < drawn) as u64
        })
        .collect()
}

/// Places the flows of hot callers on the least loaded of several candidates, whose number grows
/// with the caller's share of flows. Returns the number of flows on each backend server and the
/// number of flows that are not on their preferred one.
fn spread_hot(callers: &[u64]) -> (Vec<usize>, usize) {
    let mut counts = vec![0; BACKENDS];
    let mut popularity = vec![0usize; CALLERS];
    let mut exceptions = 0;

    for (flow, caller) in callers.iter().enumerate() {
        let seen = &mut popularity[usize::try_from(*caller).unwrap_or(0)];
        *seen += 1;
        let share = as_f64(*seen) / as_f64(flow + 1);
        let key = mix(*caller, 0);
        let preferred = preferred_backend(key);

        let chosen = if share > HOT_SHARE && *seen > 10 {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wanted = (share / HOT_SHARE).ceil() as usize + 1;
            least_loaded(key, wanted.min(BACKENDS), &counts)
        } else {
            preferred
        };
        exceptions += usize::from(chosen != preferred);
        counts[chosen] += 1;
    }
    (counts, exceptions)
}

fn least_loaded(key: u64, candidates: usize, counts: &[usize]) -> usize {
    let mut ranked: Vec<usize> = (0..BACKENDS).collect();
    ranked.sort_by(|left, right| {
        let score = |backend: &usize| weighted_score(key, *backend as u64, 1.0);
        score(right).total_cmp(&score(left))
    });

    ranked.into_iter().take(candidates).min_by_key(|backend| counts[*backend]).unwrap_or(0)
}

fn preferred_backend(key: u64) -> usize {
    best((0..BACKENDS).map(|backend| (backend, weighted_score(key, backend as u64, 1.0))))
        .unwrap_or(0)
}

fn count_by_backend(backends: impl Iterator<Item = usize>) -> Vec<usize> {
    let mut counts = vec![0; BACKENDS];

    for backend in backends {
        counts[backend] += 1;
    }
    counts
}

fn imbalance(counts: &[usize]) -> f64 {
    let mean = as_f64(counts.iter().sum()) / as_f64(counts.len());
    let max = as_f64(counts.iter().copied().max().unwrap_or(0));

    (max - mean) / mean
}

fn as_f64(count: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let value = count as f64;

    value
}
