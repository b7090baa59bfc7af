//! How fast evidence on the pace of a service's backend servers loses its weight.
//!
//! Evidence keeps its weight for seconds while new answers agree with it. When backend servers that
//! were seen to be usual answer slowly, all evidence of the usual pace is out of date, and loses
//! most of its weight at once. The same holds for evidence of slowness when slow ones answer at the
//! usual pace again.

use std::time::{Duration, Instant};

use super::pace_evidence::ShownPace;

/// Time after which evidence has lost half of its weight while new answers agree with it.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Factor on that time for evidence of slowness while many backend servers are slow, since these
/// give few answers. While few are slow, evidence of both kinds has to lose weight alike, or chance
/// slow answers would add up.
const SLOW_RETENTION: f64 = 3.0;

/// Time after a sign of a change during which no sign of the opposite change counts: reports of
/// other balancers may contain answers from before.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Number of half-lives that evidence of the usual pace ages when many backend servers have become
/// slow.
const USUAL_AGED_BY: f64 = 2.5;

/// Number of half-lives that evidence of slowness ages when some of the slow backend servers have
/// recovered. A recovery of all shows several times.
const SLOW_AGED_BY: f64 = 2.5;

/// Time constant of the shares of contradicting answers of usual backend servers.
const USUAL_WINDOW: Duration = Duration::from_millis(700);

/// The same for slow backend servers, which give fewer answers.
const SLOW_WINDOW: Duration = Duration::from_millis(1_500);

/// Times of a clock in seconds, for the two kinds of evidence.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClockReading {
    usual: f64,
    slow: f64,
}

/// Moving share of the answers that contradict what was known of their backend servers.
#[derive(Debug, Clone)]
struct ContradictionShare {
    answers: f64,
    contradictions: f64,
    time_constant: Duration,
}

impl ContradictionShare {
    fn new(time_constant: Duration) -> Self {
        Self { answers: 0.0, contradictions: 0.0, time_constant }
    }

    fn decay(&mut self, elapsed: Duration) {
        let left = (-elapsed.as_secs_f64() / self.time_constant.as_secs_f64()).exp();

        self.answers *= left;
        self.contradictions *= left;
    }

    fn add(&mut self, weight: f64, is_contradiction: bool) {
        self.answers += weight;
        if is_contradiction {
            self.contradictions += weight;
        }
    }

    /// Returns the share if there are so many contradictions and the share is so large.
    fn at_least(&self, contradictions: f64, share: f64) -> Option<f64> {
        /// Number of virtual answers that agree.
        const PRIOR_ANSWERS: f64 = 1.0;

        let actual = self.contradictions / (self.answers + PRIOR_ANSWERS);
        (self.contradictions >= contradictions && actual >= share).then_some(actual)
    }

    fn reset(&mut self) {
        (self.answers, self.contradictions) = (0.0, 0.0);
    }
}

/// Clock of one service, which leaps when answers contradict the evidence.
#[derive(Debug, Clone)]
pub(super) struct PaceClock {
    reading: ClockReading,
    /// Answers of backend servers that were seen to be usual.
    of_usual: ContradictionShare,
    /// Answers seen here of backend servers that were not seen to be slow.
    of_others: ContradictionShare,
    /// Answers of backend servers that were seen to be slow.
    of_slow: ContradictionShare,
    advanced_at: Instant,
    /// Whether many backend servers are slow.
    is_widespread: bool,
    /// Time until which no recovery shows, after many have become slow.
    slowed_until: Option<Instant>,
    /// Time until which no slowdown shows, after many have recovered.
    recovered_until: Option<Instant>,
}

impl PaceClock {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            reading: ClockReading::default(),
            of_usual: ContradictionShare::new(USUAL_WINDOW),
            of_others: ContradictionShare::new(USUAL_WINDOW),
            of_slow: ContradictionShare::new(SLOW_WINDOW),
            advanced_at: now,
            is_widespread: false,
            slowed_until: None,
            recovered_until: None,
        }
    }

    /// Sets whether many backend servers are slow.
    pub(super) fn set_widespread(&mut self, is_widespread: bool) {
        self.is_widespread = is_widespread;
    }

    /// Advances the clock to a time.
    pub(super) fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_at);

        self.reading.usual += elapsed.as_secs_f64();
        let retention = if self.is_widespread { SLOW_RETENTION } else { 1.0 };
        self.reading.slow += elapsed.as_secs_f64() / retention;
        self.of_usual.decay(elapsed);
        self.of_others.decay(elapsed);
        self.of_slow.decay(elapsed);
        self.advanced_at = self.advanced_at.max(now);
    }

    /// Records answers of a backend server whose earlier answers showed this pace. One in twenty
    /// answers contradicts by chance.
    pub(super) fn on_answers(&mut self, weight: f64, shown: ShownPace, is_slow: bool) {
        match shown {
            ShownPace::Usual => {
                self.of_usual.add(weight, is_slow);
                if self.of_usual.at_least(2.0, 0.2).is_some() {
                    self.on_slowdown();
                }
            }
            ShownPace::Slow => {
                self.of_slow.add(weight, !is_slow);
                if self.of_slow.at_least(1.5, 0.45).is_some() {
                    self.on_recovery();
                }
            }
            ShownPace::Unclear => {}
        }
    }

    /// Records an answer seen here of a backend server whose earlier answers showed this pace.
    pub(super) fn on_own_answer(&mut self, shown: ShownPace, is_slow: bool) {
        self.on_answers(1.0, shown, is_slow);
        if shown != ShownPace::Slow {
            self.of_others.add(1.0, is_slow);
        }
        if self.slowdown().is_some() {
            self.on_slowdown();
        }
    }

    /// Ages the evidence of the usual pace, since many backend servers have become slow.
    pub(super) fn on_slowdown(&mut self) {
        let is_settling = self.slowed_until.max(self.recovered_until) > Some(self.advanced_at);
        if is_settling {
            return;
        }

        self.reading.usual += USUAL_AGED_BY * HALF_LIFE.as_secs_f64();
        self.of_usual.reset();
        self.slowed_until = Some(self.advanced_at + SETTLING_TIME);
    }

    /// Ages the evidence of slowness, since many backend servers have recovered.
    fn on_recovery(&mut self) {
        if self.slowed_until > Some(self.advanced_at) {
            return;
        }

        self.reading.slow += SLOW_AGED_BY * HALF_LIFE.as_secs_f64();
        self.of_slow.reset();
        self.recovered_until = Some(self.advanced_at + SETTLING_TIME);
    }

    /// Returns the share of slow answers among the backend servers that were not seen to be slow,
    /// if chance seldom causes it; `None` otherwise.
    pub(super) fn slowdown(&self) -> Option<f64> {
        self.of_others.at_least(2.5, 0.2)
    }

    pub(super) fn read(&self) -> ClockReading {
        self.reading
    }

    /// Returns the fraction of its weight that evidence has kept since a reading.
    pub(super) fn remaining_weight(&self, since: ClockReading, is_slow: bool) -> f64 {
        let elapsed =
            if is_slow { self.reading.slow - since.slow } else { self.reading.usual - since.usual };

        (-elapsed.max(0.0) / HALF_LIFE.as_secs_f64()).exp2()
    }
}
