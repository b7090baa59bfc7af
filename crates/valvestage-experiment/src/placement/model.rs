//! Requests on flows of their own, placed by balancers that see only theirs.
//!
//! A queueing model: Poisson arrivals at random balancers, exponential runs, first come first served
//! at each backend server. What balancers tell each other is as old as one told number after the other
//! makes it: each tells four others every 400 ms, as heartbeats do.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use valvestage_policy::rendezvous::mix;
use valvestage_standins::seeded_rng::SeededRng;

use super::PlacementSize;
use super::placement_way::PlacementWay;

/// Mean run, milliseconds: that of a preview.
const RUN_MS: f64 = 15.0;

/// Requests in each run.
const REQUESTS: usize = 60_000;

/// Between balancers and backend servers of one zone, both ways, milliseconds.
const WAY_MS: f64 = 1.0;

/// What another zone adds to that.
const OTHER_ZONE_MS: f64 = 2.0;

/// How much busier, in requests a slot, the own zone may be: the default of `SteeringOptions`.
const ZONE_PREFERENCE: f64 = 1.5;

/// Backend servers that a balancer prefers with subsets.
const SUBSET: usize = 4;

/// Own requests a slot from which on all backend servers are looked at.
const SPILL_FROM: f64 = 1.0;

/// Time between two rounds of telling, milliseconds, and balancers told in each.
const TELLING: (f64, usize) = (400.0, 4);

/// Window of the imbalance, milliseconds.
const WINDOW_MS: f64 = 1_000.0;

/// `PlacementLoad` is what is asked.
#[derive(Debug, Clone, Copy)]
pub struct PlacementLoad {
    /// Share of all slots that are busy on average.
    pub share: f64,
    /// Seed of all draws.
    pub seed: u64,
}

/// `PlacementMeasures` is what a run came to.
#[derive(Debug, Clone, Copy)]
pub struct PlacementMeasures {
    /// 99th percentile of the time from the balancer to the answer, milliseconds.
    pub p99: f64,
    /// Share of requests that found all slots of their backend server busy.
    pub waited: f64,
    /// Mean of (max - mean) / mean of the requests of backend servers in windows of 1 s.
    pub imbalance: f64,
}

/// One balancer's view.
struct BalancerView {
    zone: usize,
    /// Own requests under way at each backend server.
    own: Vec<u32>,
    /// What others told last, summed; as of when they told.
    told: Vec<Vec<u32>>,
    subset: Vec<usize>,
}

/// One backend server.
#[derive(Default)]
struct BackendQueue {
    busy: usize,
    waiting: VecDeque<(f64, usize)>,
    arrivals: u32,
}

/// A run that ends: when, at which backend server, for which balancer, and when it was sent.
type RunEnd = Reverse<(u64, usize, usize, u64)>;

struct PlacementModel<'a> {
    size: &'a PlacementSize,
    way: PlacementWay,
    draws: SeededRng,
    balancers: Vec<BalancerView>,
    backends: Vec<BackendQueue>,
    ends: BinaryHeap<RunEnd>,
    times: Vec<f64>,
    waited: usize,
}

/// `run` plays a load.
pub fn run(size: &PlacementSize, way: PlacementWay, load: PlacementLoad) -> PlacementMeasures {
    let mut model = PlacementModel::new(size, way, load.seed);
    let mean_gap = RUN_MS / (as_f64(size.backends * size.slots) * load.share);
    let (mut now, mut next_telling, mut next_window) = (0.0, 0.0, WINDOW_MS);
    let mut imbalances = Vec::new();

    for _ in 0..REQUESTS {
        now += -model.draws.next_f64().ln() * mean_gap;
        model.end_until(now);
        if way == PlacementWay::ToldCounts && now >= next_telling {
            next_telling = now + TELLING.0;
            model.tell();
        }
        if now >= next_window {
            next_window += WINDOW_MS;
            imbalances.push(model.take_imbalance());
        }
        model.arrive(now);
    }

    model.times.sort_by(f64::total_cmp);
    PlacementMeasures {
        p99: model.times[model.times.len() * 99 / 100],
        waited: as_f64(model.waited) / as_f64(REQUESTS),
        imbalance: imbalances.iter().sum::<f64>() / as_f64(imbalances.len().max(1)),
    }
}

/// `ideal` gives the 99th percentile of one queue before all slots, milliseconds.
pub fn ideal(size: &PlacementSize, load: PlacementLoad) -> f64 {
    let mut draws = SeededRng::new(load.seed);
    let slots = size.backends * size.slots;
    let mean_gap = RUN_MS / (as_f64(slots) * load.share);
    let mut free_at: BinaryHeap<Reverse<u64>> = vec![Reverse(0); slots].into();
    let mut now = 0.0;
    let mut times = Vec::with_capacity(REQUESTS);

    for _ in 0..REQUESTS {
        now += -draws.next_f64().ln() * mean_gap;
        let Some(Reverse(free)) = free_at.pop() else { continue };
        let end = now.max(millis_of(free)) - draws.next_f64().ln() * RUN_MS;
        free_at.push(Reverse(nanos_of(end)));
        times.push(end - now + WAY_MS);
    }
    times.sort_by(f64::total_cmp);
    times[times.len() * 99 / 100]
}

impl<'a> PlacementModel<'a> {
    fn new(size: &'a PlacementSize, way: PlacementWay, seed: u64) -> Self {
        let balancers = (0..size.balancers).map(|number| BalancerView::new(size, number)).collect();

        Self {
            size,
            way,
            draws: SeededRng::new(seed),
            balancers,
            backends: (0..size.backends).map(|_| BackendQueue::default()).collect(),
            ends: BinaryHeap::new(),
            times: Vec::with_capacity(REQUESTS),
            waited: 0,
        }
    }

    fn arrive(&mut self, now: f64) {
        let balancer = self.draws.below(self.size.balancers);
        let backend = self.choose(balancer);
        self.balancers[balancer].own[backend] += 1;
        let queue = &mut self.backends[backend];
        queue.arrivals += 1;

        if queue.busy < self.size.slots {
            queue.busy += 1;
            self.begin(now, now, backend, balancer);
        } else {
            self.waited += 1;
            queue.waiting.push_back((now, balancer));
        }
    }

    fn begin(&mut self, now: f64, sent: f64, backend: usize, balancer: usize) {
        let end = now - self.draws.next_f64().ln() * RUN_MS;

        self.ends.push(Reverse((nanos_of(end), backend, balancer, nanos_of(sent))));
    }

    fn end_until(&mut self, now: f64) {
        while let Some(Reverse((end, ..))) = self.ends.peek()
            && millis_of(*end) <= now
        {
            let Some(Reverse((end, backend, balancer, sent))) = self.ends.pop() else { return };
            let end = millis_of(end);
            let is_near = self.balancers[balancer].zone == backend % self.size.zones;
            let way = if is_near { WAY_MS } else { WAY_MS + OTHER_ZONE_MS };
            self.times.push(end - millis_of(sent) + way);
            self.balancers[balancer].own[backend] -= 1;

            match self.backends[backend].waiting.pop_front() {
                Some((sent, balancer)) => self.begin(end, sent, backend, balancer),
                None => self.backends[backend].busy -= 1,
            }
        }
    }

    fn choose(&mut self, balancer: usize) -> usize {
        let view = &self.balancers[balancer];
        let in_zone: Vec<usize> = (0..self.size.backends)
            .filter(|backend| backend % self.size.zones == view.zone)
            .collect();

        match self.way {
            PlacementWay::Random => in_zone[self.draws.below(in_zone.len())],
            PlacementWay::TwoChoices => {
                let two = [0; 2].map(|_| in_zone[self.draws.below(in_zone.len())]);
                if view.own[two[1]] < view.own[two[0]] { two[1] } else { two[0] }
            }
            PlacementWay::Subset => {
                let draw = self.draws.next_u64();
                let view = &self.balancers[balancer];
                let best = self.least(balancer, view.subset.iter().copied(), draw);
                let load = f64::from(view.own[best]) / as_f64(self.size.slots);
                if load < SPILL_FROM { best } else { self.least_of_all(balancer, draw) }
            }
            PlacementWay::OwnCounts | PlacementWay::ToldCounts | PlacementWay::Exact => {
                let draw = self.draws.next_u64();
                self.least_of_all(balancer, draw)
            }
        }
    }

    fn least_of_all(&self, balancer: usize, draw: u64) -> usize {
        self.least(balancer, 0..self.size.backends, draw)
    }

    fn least(&self, balancer: usize, among: impl Iterator<Item = usize>, draw: u64) -> usize {
        let view = &self.balancers[balancer];
        let load = |backend: usize| {
            let requests = match self.way {
                PlacementWay::Exact => {
                    let queue = &self.backends[backend];
                    as_f64(queue.busy + queue.waiting.len())
                }
                _ => {
                    let told: u32 = view.told.iter().map(|counts| counts[backend]).sum();
                    f64::from(view.own[backend] + told)
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

    /// Each balancer tells some others its counts; what they had from it is replaced.
    fn tell(&mut self) {
        for teller in 0..self.size.balancers {
            let counts = self.balancers[teller].own.clone();
            for _ in 0..TELLING.1 {
                let hearer = self.draws.below(self.size.balancers);
                if hearer != teller {
                    self.balancers[hearer].told[teller].clone_from(&counts);
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
            own: vec![0; size.backends],
            told: vec![vec![0; size.backends]; size.balancers],
            subset: in_zone.into_iter().take(SUBSET).collect(),
        }
    }
}

/// Times are ordered as whole nanoseconds.
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
