//! Evidence from answer times on whether one backend server is slow.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Instant;

use super::pace_clock::{ClockReading, PaceClock};
use crate::steering::peers::peer_message::PaceReport;

/// Limit on the logarithm of the ratio of one answer time to the usual one (ln 8): a packet of a
/// slower answer may have been lost.
const MAX_LOG_RATIO: f64 = 2.079;

/// Lower limit on that logarithm. Answers that are much faster than usual may be errors, and do not
/// outweigh a slow one.
const MIN_LOG_RATIO: f64 = -0.1;

/// Logarithm of the ratio that speaks neither for a slow nor for a usual backend server, about 2.5
/// times the usual time. With the times of single answers varying by a standard deviation of 0.5,
/// one in thirty of a usual backend server lies above.
const NEUTRAL_LOG_RATIO: f64 = 0.9;

/// Log odds per unit of the logarithm of the ratio. The value is half of what the variation of
/// single answers gives, since one in thirty answers takes long for other reasons.
const ODDS_SLOPE: f64 = 2.5;

/// Number of answers that a report of one balancer counts for at most, so that a single faulty
/// balancer cannot outweigh the others.
const MAX_PEER_ANSWERS: f64 = 1.0;

/// Number of answers seen here that count at most.
const MAX_OWN_ANSWERS: f64 = 3.0;

/// Number of answers that count at most, so that a change shows soon.
const MAX_ANSWERS: f64 = 4.0;

/// Weight below which the report of another balancer is dropped.
const MIN_PEER_ANSWERS: f64 = 0.05;

/// Share of its weight that evidence keeps when an answer seen here contradicts it.
const CONTRADICTED_WEIGHT: f64 = 0.4;

/// Number of virtual answers at the usual time that are added for the factor.
const PRIOR_ANSWERS: f64 = 1.0;

/// Reports whether a logarithm of a ratio indicates a slow backend server.
pub(super) fn is_slow_ratio(log_ratio: f64) -> bool {
    log_ratio > NEUTRAL_LOG_RATIO
}

/// Number of answers, and the sum of the logarithms of their ratios to the usual time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PaceSum {
    pub(super) answers: f64,
    pub(super) log_sum: f64,
}

impl PaceSum {
    /// Creates the sum of one answer, with a limited ratio.
    pub(super) fn of_answer(log_ratio: f64) -> Self {
        Self { answers: 1.0, log_sum: log_ratio.clamp(MIN_LOG_RATIO, MAX_LOG_RATIO) }
    }

    /// Reads a report, whose mean ratio is limited like that of one answer.
    pub(super) fn of_report(report: &PaceReport) -> Self {
        let answers = f64::from(report.answers_tenths) / 10.0;
        let log_sum = f64::from(report.log_sum_tenths) / 10.0;
        let limits = (answers * MIN_LOG_RATIO, answers * MAX_LOG_RATIO);

        Self { answers, log_sum: log_sum.clamp(limits.0, limits.1) }
    }

    /// Returns the logarithm of the odds that the backend server is slow, without a prior.
    pub(super) fn log_odds(&self) -> f64 {
        ODDS_SLOPE * (self.log_sum - NEUTRAL_LOG_RATIO * self.answers)
    }

    /// Reports whether the answers are so slow that others are asked for theirs: two slow answers,
    /// since one in thirty answers of a usual backend server is slow.
    pub(super) fn asks_others(&self) -> bool {
        /// Logarithm of the odds of two slow answers.
        const ASKING_ODDS: f64 = 3.2;

        self.log_odds() >= ASKING_ODDS
    }

    /// Returns what the answers show by themselves.
    pub(super) fn shown(&self) -> ShownPace {
        /// Logarithm of the odds of one recent answer at the usual time.
        const CLEARLY_USUAL: f64 = -1.2;
        /// Logarithm of the odds of one recent slow answer.
        const CLEARLY_SLOW: f64 = 2.0;

        let odds = self.log_odds();
        if odds >= CLEARLY_SLOW {
            ShownPace::Slow
        } else if odds <= CLEARLY_USUAL {
            ShownPace::Usual
        } else {
            ShownPace::Unclear
        }
    }

    pub(super) fn is_slow(&self) -> bool {
        self.log_odds() > 0.0
    }

    fn scaled(&self, weight: f64) -> Self {
        Self { answers: self.answers * weight, log_sum: self.log_sum * weight }
    }

    fn limited(&self, max_answers: f64) -> Self {
        if self.answers > max_answers { self.scaled(max_answers / self.answers) } else { *self }
    }

    fn plus(&self, other: &Self) -> Self {
        Self { answers: self.answers + other.answers, log_sum: self.log_sum + other.log_sum }
    }

    /// Returns the mean ratio of answer times to the usual time, closer to 1 the fewer answers
    /// there are.
    pub(super) fn factor(&self) -> f64 {
        (self.log_sum / (self.answers + PRIOR_ANSWERS)).exp()
    }
}

/// What the answers of a backend server show by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShownPace {
    Usual,
    Unclear,
    Slow,
}

/// A sum as of one reading of its service's clock.
#[derive(Debug, Clone, Copy)]
struct DatedSum {
    sum: PaceSum,
    read_at: ClockReading,
}

impl DatedSum {
    fn at(&self, clock: &PaceClock) -> PaceSum {
        self.sum.scaled(clock.remaining_weight(self.read_at, self.sum.is_slow()))
    }
}

/// Evidence on one backend server: answers seen here, and the sums that others have reported.
#[derive(Debug, Default)]
pub(super) struct PaceEvidence {
    own: Option<DatedSum>,
    /// Latest report of each other balancer, ordered so that sums are reproducible.
    peers: BTreeMap<SocketAddrV4, DatedSum>,
    /// When the last answer was seen here.
    pub(super) answered_at: Option<Instant>,
}

impl PaceEvidence {
    pub(super) fn on_answer(&mut self, log_ratio: f64, clock: &PaceClock, now: Instant) {
        let answer = PaceSum::of_answer(log_ratio);
        let former = self.own(clock);
        let is_contradicted = former.is_slow() != answer.is_slow();
        let kept = if is_contradicted { former.scaled(CONTRADICTED_WEIGHT) } else { former };
        let sum = kept.plus(&answer).limited(MAX_OWN_ANSWERS);

        self.own = Some(DatedSum { sum, read_at: clock.read() });
        self.answered_at = Some(now);
    }

    /// Replaces the report of another balancer. Returns the sum if it contains further answers.
    pub(super) fn on_report(
        &mut self,
        peer: SocketAddrV4,
        report: &PaceReport,
        clock: &PaceClock,
    ) -> Option<PaceSum> {
        /// Number of answers by which a sum has to exceed the previous one to contain a further
        /// answer; sums are rounded to tenths.
        const MIN_FURTHER_ANSWERS: f64 = 0.3;

        let sum = PaceSum::of_report(report).limited(MAX_PEER_ANSWERS);
        let former = self.peers.insert(peer, DatedSum { sum, read_at: clock.read() });
        let former = former.map_or_else(PaceSum::default, |former| former.at(clock));
        let is_further = sum.answers >= former.answers + MIN_FURTHER_ANSWERS
            || sum.answers >= MIN_FURTHER_ANSWERS && sum.is_slow() != former.is_slow();

        is_further.then_some(sum)
    }

    pub(super) fn own(&self, clock: &PaceClock) -> PaceSum {
        self.own.map_or_else(PaceSum::default, |own| own.at(clock))
    }

    pub(super) fn total(&self, clock: &PaceClock) -> PaceSum {
        let peers = self.peers.values().map(|peer| peer.at(clock));

        peers.fold(self.own(clock), |sum, peer| sum.plus(&peer)).limited(MAX_ANSWERS)
    }

    pub(super) fn reporting_peers(&self) -> usize {
        self.peers.len()
    }

    /// Drops reports that have lost their weight. Returns whether any evidence is left.
    pub(super) fn retain_recent(&mut self, clock: &PaceClock) -> bool {
        self.peers.retain(|_, peer| peer.at(clock).answers >= MIN_PEER_ANSWERS);

        !self.peers.is_empty() || self.own(clock).answers >= MIN_PEER_ANSWERS
    }
}
