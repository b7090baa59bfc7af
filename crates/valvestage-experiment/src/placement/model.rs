//! Queueing model of requests that open their own flows, placed by balancers that know only their
//! own requests.
//!
//! Requests arrive at random balancers in a Poisson process, run times are exponential, and each
//! backend server serves requests in order of arrival. The counts that balancers gossip are stale:
//! each balancer sends its counts to four random others every 400 ms, as with heartbeats, and a
//! receiver keeps them until it gets newer ones.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use valvestage_policy::rendezvous::mix;
use valvestage_standins::seeded_rng::SeededRng;

use super::PlacementSize;
use super::placement_strategy::PlacementStrategy;

/// Mean run time in milliseconds: that of a preview.
const MEAN_RUN_MS: f64 = 15.0;

/// Number of requests in each run.
const REQUESTS_PER_RUN: usize = 60_000;

/// Round-trip time in milliseconds between a balancer and a backend server of its zone.
const ROUND_TRIP_MS: f64 = 1.0;

/// Milliseconds that a backend server in another zone adds to the round trip.
const CROSS_ZONE_EXTRA_MS: f64 = 2.0;

/// Load in requests per slot by which the own zone may exceed another one and still be preferred:
/// the default of `SteeringOptions`.
const ZONE_PREFERENCE: f64 = 1.5;

/// Number of backend servers in a balancer's preferred subset.
const SUBSET_SIZE: usize = 4;

/// Load in own requests per slot from which a balancer considers all backend servers instead of its
/// subset.
const SPILL_THRESHOLD: f64 = 1.0;

/// Interval of gossip rounds in milliseconds, and number of receivers in each round.
const GOSSIP_ROUND: (f64, usize) = (400.0, 4);

/// Length in milliseconds of the windows in which the imbalance is measured.
const WINDOW_MS: f64 = 1_000.0;

/// Load of a run.
#[derive(Debug, Clone, Copy)]
pub struct PlacementLoad {
    /// Share of all slots that are busy on average.
    pub share: f64,
    /// Seed of all random draws of the run.
    pub seed: u64,
}

/// Results of a run.
#[derive(Debug, Clone, Copy)]
pub struct PlacementMeasures {
    /// 99th percentile of the time from arrival at the balancer to the answer, in milliseconds.
    pub p99_ms: f64,
    /// Share of requests that found all slots of their backend server busy.
    pub waited: f64,
    /// Mean over windows of 1 s of (max - mean) / mean of the requests that arrive at each backend
    /// server.
    pub imbalance: f64,
}

/// What one balancer knows about the load of the backend servers.
struct BalancerView {
    zone: usize,
    /// Requests in flight at each backend server that this balancer has sent.
    in_flight: Vec<u32>,
    /// Last counts received from each other balancer, by backend server.
    reported: Vec<Vec<u32>>,
    subset: Vec<usize>,
}

/// Slots and queue of one backend server.
#[derive(Default)]
struct BackendQueue {
    busy: usize,
    waiting: VecDeque<(f64, usize)>,
    arrivals: u32,
}

/// End of a run: its time, backend server and balancer, and the time at which the request was sent.
/// Times are in nanoseconds.
type RunEnd = Reverse<(u64, usize, usize, u64)>;

struct PlacementModel<'a> {
    size: &'a PlacementSize,
    strategy: PlacementStrategy,
    rng: SeededRng,
    balancers: Vec<BalancerView>,
    backends: Vec<BackendQueue>,
    run_ends: BinaryHeap<RunEnd>,
    response_times: Vec<f64>,
    waited: usize,
}

/// Simulates a load under one strategy.
pub fn run(
    size: &PlacementSize,
    strategy: PlacementStrategy,
    load: PlacementLoad,
) -> PlacementMeasures {
    let mut model = PlacementModel::new(size, strategy, load.seed);
    let mean_gap = MEAN_RUN_MS / (as_f64(size.backends * size.slots) * load.share);
    let (mut now, mut next_gossip, mut next_window) = (0.0, 0.0, WINDOW_MS);
    let mut imbalances = Vec::new();

    for _ in 0..REQUESTS_PER_RUN {
        now += -model.rng.next_f64().ln() * mean_gap;
        model.complete_runs_until(now);
        if strategy == PlacementStrategy::GossipedCounts && now >= next_gossip {
            next_gossip = now + GOSSIP_ROUND.0;
            model.gossip_counts();
        }
        if now >= next_window {
            next_window += WINDOW_MS;
            imbalances.push(model.take_imbalance());
        }
        model.place_request(now);
    }

    model.response_times.sort_by(f64::total_cmp);
    PlacementMeasures {
        p99_ms: model.response_times[model.response_times.len() * 99 / 100],
        waited: as_f64(model.waited) / as_f64(REQUESTS_PER_RUN),
        imbalance: imbalances.iter().sum::<f64>() / as_f64(imbalances.len().max(1)),
    }
}

/// Returns the 99th percentile of response times in milliseconds for one queue in front of all
/// slots.
pub fn ideal_p99_ms(size: &PlacementSize, load: PlacementLoad) -> f64 {
    let mut rng = SeededRng::new(load.seed);
    let slots = size.backends * size.slots;
    let mean_gap = MEAN_RUN_MS / (as_f64(slots) * load.share);
    let mut free_at: BinaryHeap<Reverse<u64>> = vec![Reverse(0); slots].into();
    let mut now = 0.0;
    let mut response_times = Vec::with_capacity(REQUESTS_PER_RUN);

    for _ in 0..REQUESTS_PER_RUN {
        now += -rng.next_f64().ln() * mean_gap;
        let Some(Reverse(free)) = free_at.pop() else { continue };
        let end = now.max(millis_of(free)) - rng.next_f64().ln() * MEAN_RUN_MS;
        free_at.push(Reverse(nanos_of(end)));
        response_times.push(end - now + ROUND_TRIP_MS);
    }
    response_times.sort_by(f64::total_cmp);
    response_times[response_times.len() * 99 / 100]
}

impl<'a> PlacementModel<'a> {
    fn new(size: &'a PlacementSize, strategy: PlacementStrategy, seed: u64) -> Self {
        let balancers = (0..size.balancers).map(|number| BalancerView::new(size, number)).collect();

        Self {
            size,
            strategy,
            rng: SeededRng::new(seed),
            balancers,
            backends: (0..size.backends).map(|_| BackendQueue::default()).collect(),
            run_ends: BinaryHeap::new(),
            response_times: Vec::with_capacity(REQUESTS_PER_RUN),
            waited: 0,
        }
    }

    fn place_request(&mut self, now: f64) {
        let balancer = self.rng.below(self.size.balancers);
        let backend = self.choose_backend(balancer);
        self.balancers[balancer].in_flight[backend] += 1;
        let queue = &mut self.backends[backend];
        queue.arrivals += 1;

        if queue.busy < self.size.slots {
            queue.busy += 1;
            self.start_run(now, now, backend, balancer);
        } else {
            self.waited += 1;
            queue.waiting.push_back((now, balancer));
        }
    }

    fn start_run(&mut self, now: f64, sent: f64, backend: usize, balancer: usize) {
        let end = now - self.rng.next_f64().ln() * MEAN_RUN_MS;

        self.run_ends.push(Reverse((nanos_of(end), backend, balancer, nanos_of(sent))));
    }

    fn complete_runs_until(&mut self, now: f64) {
        while let Some(Reverse((end, ..))) = self.run_ends.peek()
            && millis_of(*end) <= now
        {
            let Some(Reverse((end, backend, balancer, sent))) = self.run_ends.pop() else { return };
            let end = millis_of(end);
            let is_near = self.balancers[balancer].zone == backend % self.size.zones;
            let round_trip =
                if is_near { ROUND_TRIP_MS } else { ROUND_TRIP_MS + CROSS_ZONE_EXTRA_MS };
            self.response_times.push(end - millis_of(sent) + round_trip);
            self.balancers[balancer].in_flight[backend] -= 1;

            match self.backends[backend].waiting.pop_front() {
                Some((sent, balancer)) => self.start_run(end, sent, backend, balancer),
                None => self.backends[backend].busy -= 1,
            }
        }
    }

    fn choose_backend(&mut self, balancer: usize) -> usize {
        let view = &self.balancers[balancer];
        let in_zone: Vec<usize> = (0..self.size.backends)
            .filter(|backend| backend % self.size.zones == view.zone)
            .collect();

        match self.strategy {
            PlacementStrategy::Random => in_zone[self.rng.below(in_zone.len())],
            PlacementStrategy::TwoChoices => {
                let two = [0; 2].map(|_| in_zone[self.rng.below(in_zone.len())]);
                if view.in_flight[two[1]] < view.in_flight[two[0]] { two[1] } else { two[0] }
            }
            PlacementStrategy::Subset => {
                let draw = self.rng.next_u64();
                let view = &self.balancers[balancer];
                let best = self.least_loaded(balancer, view.subset.iter().copied(), draw);
                let load = f64::from(view.in_flight[best]) / as_f64(self.size.slots);
                if load < SPILL_THRESHOLD { best } else { self.least_loaded_of_all(balancer, draw) }
            }
            PlacementStrategy::LocalCounts
            | PlacementStrategy::GossipedCounts
            | PlacementStrategy::Exact => {
                let draw = self.rng.next_u64();
                self.least_loaded_of_all(balancer, draw)
            }
        }
    }

    fn least_loaded_of_all(&self, balancer: usize, draw: u64) -> usize {
        self.least_loaded(balancer, 0..self.size.backends, draw)
    }

    fn least_loaded(
        &self,
        balancer: usize,
        among: impl Iterator<Item = usize>,
        draw: u64,
    ) -> usize {
        let view = &self.balancers[balancer];
        let load = |backend: usize| {
            let requests = match self.strategy {
                PlacementStrategy::Exact => {
                    let queue = &self.backends[backend];
                    as_f64(queue.busy + queue.waiting.len())
                }
                _ => {
                    let reported: u32 = view.reported.iter().map(|counts| counts[backend]).sum();
                    f64::from(view.in_flight[backend] + reported)
                }
            };
            let is_near = backend % self.size.zones == view.zone;
            requests / as_f64(self.size.slots) + if is_near { 0.0 } else { ZONE_PREFERENCE }
        };

        let rank = |backend: &usize| (load(*backend), mix(draw, *backend as u64));
        among
            .min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
            })
            .unwrap_or(0)
    }

    /// Lets each balancer send its counts to some others, where they replace its former counts.
    fn gossip_counts(&mut self) {
        for sender in 0..self.size.balancers {
            let counts = self.balancers[sender].in_flight.clone();
            for _ in 0..GOSSIP_ROUND.1 {
                let receiver = self.rng.below(self.size.balancers);
                if receiver != sender {
                    self.balancers[receiver].reported[sender].clone_from(&counts);
                }
            }
        }
    }

    fn take_imbalance(&mut self) -> f64 {
        let arrivals: Vec<f64> = self
            .backends
            .iter_mut()
            .map(|queue| f64::from(std::mem::take(&mut queue.arrivals)))
            .collect();
        let mean = arrivals.iter().sum::<f64>() / as_f64(arrivals.len());

        (arrivals.iter().copied().fold(0.0, f64::max) - mean) / mean.max(f64::MIN_POSITIVE)
    }
}

impl BalancerView {
    fn new(size: &PlacementSize, number: usize) -> Self {
        let zone = number % size.zones;
        let mut in_zone: Vec<usize> =
            (0..size.backends).filter(|backend| backend % size.zones == zone).collect();
        in_zone.sort_by_key(|backend| mix(number as u64, *backend as u64));

        Self {
            zone,
            in_flight: vec![0; size.backends],
            reported: vec![vec![0; size.backends]; size.balancers],
            subset: in_zone.into_iter().take(SUBSET_SIZE).collect(),
        }
    }
}

/// Converts a time to whole nanoseconds, which have a total order.
fn nanos_of(millis: f64) -> u64 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let nanos = (millis * 1e6) as u64;

    nanos
}

fn millis_of(nanos: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let millis = nanos as f64 / 1e6;

    millis
}

fn as_f64(count: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let value = count as f64;

    value
}
