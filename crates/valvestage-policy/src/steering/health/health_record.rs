//! Signs of life and missing answers of one backend server.
//!
//! A missing answer is evidence about the links of its caller as much as about the backend server,
//! however many flows of that caller miss one. Therefore callers are counted, not flows.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use super::caller_digest::{CallerDigest, caller_digest};
use super::link_check::{CHECK_WINDOW, CheckedTime};
use crate::steering::packets::caller_packet::FlowAddresses;
use crate::steering::placement::flow_placer::MAX_ANSWER_TIME;

/// Number of callers that have to miss an answer before a backend server is suspected.
const CALLERS_TO_SUSPECT: usize = 2;

/// Number of callers that have to miss an answer on an open flow before open flows are ended. The
/// callers that other balancers report count, but each caller once. Resetting a flow whose backend
/// server lives is worse than a wait, so this takes more than a suspicion.
const CALLERS_TO_GIVE_UP: usize = 3;

/// Number of flows of one caller that have to miss an answer before its own new flows avoid the
/// backend server. A single flow may have lost datagrams.
const FLOWS_TO_AVOID: usize = 2;

/// Maximum number of callers that are reported with a suspicion. With one that the receiver has
/// seen itself, two would be enough if no caller used both balancers.
pub(in crate::steering) const MAX_REPORTED_CALLERS: usize = CALLERS_TO_GIVE_UP;

/// Maximum number of balancers whose suspicions of one backend server are kept, the latest ones.
const MAX_PEER_SUSPICIONS: usize = 4;

/// Duration of a suspicion, after which a new flow tries the backend server again. The entry of a
/// dead backend server disappears after some 2.3 s.
const SUSPECT_FOR: Duration = Duration::from_millis(2_500);

/// Missing answers further apart than this are treated as unrelated.
const MISS_WINDOW: Duration = Duration::from_secs(2);

/// How long a suspicion reported by another balancer counts. Each heartbeat repeats it.
pub(super) const PEER_REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Time that other balancers have to refute a suspicion before open flows are ended: several round
/// trips between availability zones, and the turns of slow VMs. Dead backend servers are noticed
/// later by this time.
const REFUTATION_TIME: Duration = Duration::from_millis(200);

/// Flow that misses an answer.
#[derive(Debug, Clone, Copy)]
struct MissingAnswer {
    flow: FlowAddresses,
    /// Whether the answer to the opening packet is missing, and not one on an open flow.
    is_opening: bool,
    /// Since when the answer is awaited.
    since: Instant,
    /// When the caller's first retransmission showed that the answer is missing.
    noticed_at: Instant,
    /// When the latest retransmission showed it.
    repeated_at: Instant,
    /// When a query was sent that shows that a retransmission was not lost on the own link.
    checked_at: Option<Instant>,
}

/// That a caller misses an answer, here or at another balancer.
#[derive(Debug, Clone, Copy)]
struct CallerMiss {
    caller: CallerDigest,
    /// When it became known.
    since: Instant,
    /// When the own link was checked for it.
    checked_at: Option<Instant>,
}

/// Enough callers that miss an answer for the flows of a backend server to be ended.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// Since when there is enough.
    since: Instant,
    /// When the own link was last checked for it.
    checked_at: Option<Instant>,
}

/// Suspicion of another balancer.
#[derive(Debug, Clone)]
struct PeerSuspicion {
    /// When it was last reported.
    reported_at: Instant,
    /// The balancer that reported it.
    reported_by: SocketAddrV4,
    /// The callers that miss answers on open flows there, each with the time at which it was first
    /// reported, without a gap of [`PEER_REPORT_TTL`] since.
    callers: Vec<(CallerDigest, Instant)>,
}

/// What a balancer knows about the liveness of one backend server.
#[derive(Debug, Default)]
pub(super) struct HealthRecord {
    /// When a flow of this balancer last got an answer.
    last_answer: Option<Instant>,
    /// When a flow of another balancer last got an answer, as far as was reported.
    reported_answer: Option<Instant>,
    /// Flows that miss an answer, each at most once, all since the last sign of life.
    misses: Vec<MissingAnswer>,
    suspect_until: Option<Instant>,
    /// Start of the current or latest uninterrupted suspicion; kept after its end.
    suspect_since: Option<Instant>,
    /// Suspicions of other balancers, one each, the latest report last; at most
    /// [`MAX_PEER_SUSPICIONS`].
    peer_suspicions: Vec<PeerSuspicion>,
    /// When the last query was sent that checks the own link for this backend server.
    link_check_sent_at: Option<Instant>,
    /// Time until which the backend server is considered dead, as long as enough callers miss an
    /// answer.
    dead_until: Option<Instant>,
}

impl HealthRecord {
    /// Records an answer to a flow of this balancer. Returns whether it ends a suspicion of this
    /// balancer.
    pub(super) fn on_answer(&mut self, now: Instant) -> bool {
        let was_suspect = self.is_own_suspect(now);

        self.last_answer = Some(now);
        self.misses.clear();
        self.suspect_until = None;
        self.peer_suspicions.clear();
        self.dead_until = None;
        was_suspect
    }

    /// Records an answer to a flow of another balancer. It proves nothing about requests that were
    /// sent later. Returns whether it ends a suspicion.
    pub(super) fn on_reported_answer(&mut self, at: Instant, now: Instant) -> bool {
        if self.last_life() >= Some(at) {
            return false;
        }

        let was_suspect = self.is_suspect(now);
        self.reported_answer = Some(at);
        self.misses.retain(|miss| miss.since > at);
        if !have_callers(self.misses.iter(), CALLERS_TO_SUSPECT) {
            self.suspect_until = None;
        }
        self.peer_suspicions.retain(|suspicion| !refutes(at, suspicion.reported_at));
        self.drop_conclusion(now);
        was_suspect && !self.is_suspect(now)
    }

    /// Records that another balancer no longer suspects the backend server.
    pub(super) fn on_retraction(&mut self, peer: SocketAddrV4, now: Instant) {
        self.peer_suspicions.retain(|suspicion| suspicion.reported_by != peer);
        self.drop_conclusion(now);
    }

    /// Records that another balancer suspects the backend server, and of which callers open flows
    /// miss answers there.
    pub(super) fn on_peer_suspicion(
        &mut self,
        peer: SocketAddrV4,
        callers: &[CallerDigest],
        now: Instant,
    ) {
        /// A sign of life seen here within this time takes precedence over reports of others.
        const ANSWER_PRECEDENCE: Duration = Duration::from_millis(500);

        let has_answered = self.last_answer.is_some_and(|life| now - life <= ANSWER_PRECEDENCE);
        if has_answered || self.reported_answer.is_some_and(|life| refutes(life, now)) {
            return;
        }
        let former = self.take_peer_suspicion(peer, now);
        let callers = callers.iter().take(MAX_REPORTED_CALLERS).map(|caller| {
            let known = former.iter().find(|(known, _)| known == caller);
            (*caller, known.map_or(now, |(_, since)| *since))
        });
        let callers = callers.collect();
        self.peer_suspicions.push(PeerSuspicion { reported_at: now, reported_by: peer, callers });
        if self.peer_suspicions.len() > MAX_PEER_SUSPICIONS {
            self.peer_suspicions.remove(0);
        }
    }

    /// Removes the suspicions that no longer count and that of a balancer, and returns the callers
    /// of the latter if it still counted.
    fn take_peer_suspicion(
        &mut self,
        peer: SocketAddrV4,
        now: Instant,
    ) -> Vec<(CallerDigest, Instant)> {
        self.peer_suspicions.retain(|suspicion| suspicion.counts(now));
        let place = self.peer_suspicions.iter().position(|it| it.reported_by == peer);

        place.map(|place| self.peer_suspicions.remove(place).callers).unwrap_or_default()
    }

    /// Records that a flow misses an answer since a time. Returns whether a suspicion begins.
    pub(super) fn on_miss(
        &mut self,
        flow: FlowAddresses,
        is_opening: bool,
        since: Instant,
        now: Instant,
    ) -> bool {
        let waited = now.saturating_duration_since(since);
        if waited < MAX_ANSWER_TIME || self.last_life().is_some_and(|life| life >= since) {
            return false;
        }

        self.drop_conclusion(now);
        let former = self.misses.iter().find(|miss| miss.flow == flow && miss.since == since);
        let noticed_at = former.map_or(now, |miss| miss.noticed_at);
        let checked_at = former.and_then(|miss| miss.checked_at);
        self.misses.retain(|miss| miss.flow != flow && miss.counts(now));
        self.misses.push(MissingAnswer {
            flow,
            is_opening,
            since,
            noticed_at,
            repeated_at: now,
            checked_at,
        });
        if !have_callers(self.misses.iter(), CALLERS_TO_SUSPECT) {
            return false;
        }
        let is_new = !self.is_own_suspect(now);
        if is_new {
            self.suspect_since = Some(now);
        }
        self.suspect_until = Some(now + SUSPECT_FOR);
        is_new
    }

    /// Returns since when enough callers have missed an answer, one of them at this balancer, for
    /// the flows of the backend server to be ended; `None` if they are too few. Missing answers to
    /// opening packets count only if `counts_openings`.
    pub(super) fn evidence_since(&self, counts_openings: bool, now: Instant) -> Option<Instant> {
        self.evidence(counts_openings, false, now).map(|evidence| evidence.since)
    }

    /// Returns the evidence of [`Self::evidence_since`]. With `is_checked`, missing answers on open
    /// flows count only if the own link was checked for them.
    fn evidence(&self, counts_openings: bool, is_checked: bool, now: Instant) -> Option<Evidence> {
        let is_counted = |miss: &&MissingAnswer| match miss.is_opening {
            // The entry is missing or gone as well, which does not come over the own link.
            true => counts_openings,
            false => !is_checked || miss.checked_at.is_some(),
        };
        let seen = || self.misses.iter().filter(|miss| miss.counts(now)).filter(is_counted);
        let first_seen = seen().map(|miss| miss.noticed_at).min()?;

        let suspicions = self.peer_suspicions.iter().filter(|suspicion| suspicion.counts(now));
        let reported = suspicions.flat_map(|suspicion| suspicion.callers.iter());
        let reported = reported.map(|(caller, since)| CallerMiss {
            caller: *caller,
            since: *since,
            checked_at: None,
        });
        let callers = first_callers(seen().map(MissingAnswer::of_caller).chain(reported));
        let last = callers.get(CALLERS_TO_GIVE_UP - 1)?;
        Some(Evidence {
            since: first_seen.max(last.since),
            checked_at: callers.iter().filter_map(|miss| miss.checked_at).max(),
        })
    }

    /// Reports whether a query has to be sent now to check the own link: a caller has just
    /// retransmitted on an open flow, and no retransmission of it was checked before.
    pub(super) fn needs_link_check(&self, now: Instant) -> bool {
        let needs_check = |miss: &MissingAnswer| {
            !miss.is_opening
                && miss.checked_at.is_none()
                && self.link_check_sent_at < Some(miss.repeated_at)
                && now.saturating_duration_since(miss.repeated_at) <= CHECK_WINDOW
        };

        self.misses.iter().any(needs_check)
    }

    /// Records that a query is being sent that checks the own link.
    pub(super) fn on_link_check_sent(&mut self, now: Instant) {
        self.link_check_sent_at = Some(now);
    }

    /// Records that the process was stalled, so that answers and refutations are read late.
    pub(super) fn on_stall(&mut self) {
        self.misses.iter_mut().for_each(|miss| miss.checked_at = None);
    }

    /// Records that the own link has worked for some time.
    pub(super) fn on_link_checked(&mut self, time: CheckedTime) {
        for miss in &mut self.misses {
            if (time.from..=time.until).contains(&miss.repeated_at) {
                miss.checked_at.get_or_insert(time.until);
            }
        }
    }

    /// No longer considers the backend server dead if the evidence for that is gone, so that others
    /// have time to refute further evidence as well.
    fn drop_conclusion(&mut self, now: Instant) {
        if self.evidence_since(true, now).is_none() {
            self.dead_until = None;
        }
    }

    /// Considers the backend server dead if nobody has refuted that for [`REFUTATION_TIME`]. Returns
    /// whether that is the case. `has_peers` reports whether other balancers are known.
    pub(super) fn step(&mut self, counts_openings: bool, has_peers: bool, now: Instant) -> bool {
        let dead_from = self.dead_from(counts_openings, has_peers, now);
        let is_dead = dead_from.is_some_and(|at| at <= now);

        if is_dead {
            self.dead_until = Some(now + MISS_WINDOW);
        }
        is_dead
    }

    /// Returns when the backend server may come to be considered dead, if nobody refutes that.
    /// `None` while there is too little evidence, or the own link may have lost what was sent.
    pub(super) fn dead_from(
        &self,
        counts_openings: bool,
        has_peers: bool,
        now: Instant,
    ) -> Option<Instant> {
        let evidence = self.evidence(counts_openings, has_peers, now)?;

        let since = evidence.checked_at.map_or(evidence.since, |at| at.max(evidence.since));
        Some(since + REFUTATION_TIME)
    }

    /// Reports whether the backend server is considered dead.
    pub(super) fn is_considered_dead(&self, counts_openings: bool, now: Instant) -> bool {
        self.dead_until > Some(now) && self.evidence_since(counts_openings, now).is_some()
    }

    /// Returns the callers that miss an answer on an open flow, the first ones first, at most
    /// [`MAX_REPORTED_CALLERS`]; with `is_checked` only those whose retransmissions were not lost on
    /// the own link.
    pub(super) fn reported_callers(&self, is_checked: bool, now: Instant) -> Vec<CallerDigest> {
        let is_reported = |miss: &&MissingAnswer| {
            miss.counts(now) && !miss.is_opening && (!is_checked || miss.checked_at.is_some())
        };
        let misses = self.misses.iter().filter(is_reported);

        let callers = first_callers(misses.map(MissingAnswer::of_caller)).into_iter();
        callers.map(|miss| miss.caller).take(MAX_REPORTED_CALLERS).collect()
    }

    /// Returns the open flows that miss an answer.
    pub(super) fn waiting_flows(&self) -> impl Iterator<Item = FlowAddresses> {
        self.misses.iter().filter(|miss| !miss.is_opening).map(|miss| miss.flow)
    }

    /// Reports whether this balancer suspects the backend server from packets seen here.
    pub(super) fn is_own_suspect(&self, now: Instant) -> bool {
        self.suspect_until > Some(now)
    }

    /// Returns when the latest suspicion from packets seen here began.
    pub(super) fn suspect_since(&self) -> Option<Instant> {
        self.suspect_since
    }

    /// Reports whether this balancer or another one suspects the backend server.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.is_own_suspect(now)
            || self.peer_suspicions.iter().any(|suspicion| suspicion.counts(now))
    }

    /// Reports whether so many flows of a caller miss an answer that its further flows had better
    /// go elsewhere, whether the fault is at the backend server or on a link between the two.
    pub(super) fn is_silent_to(&self, caller: Ipv4Addr, now: Instant) -> bool {
        let misses = self.misses.iter().filter(|miss| miss.caller() == caller);
        let is_recent = |miss: &&MissingAnswer| miss.repeated_at + SUSPECT_FOR > now;

        misses.filter(is_recent).count() >= FLOWS_TO_AVOID
    }

    /// Returns the number of flows that miss an answer.
    pub(super) fn miss_count(&self) -> usize {
        self.misses.len()
    }

    /// Reports whether enough callers have shown at or after a time that they miss an answer for
    /// the flows of the backend server to be ended.
    pub(super) fn was_silent_since(&self, since: Instant) -> bool {
        let misses = self.misses.iter().filter(|miss| miss.repeated_at >= since);

        have_callers(misses, CALLERS_TO_GIVE_UP)
    }

    /// Returns when a flow of this balancer last got an answer.
    pub(super) fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    /// Returns when a flow of any balancer last got an answer, as far as is known.
    pub(super) fn last_life(&self) -> Option<Instant> {
        self.last_answer.max(self.reported_answer)
    }
}

impl MissingAnswer {
    /// Returns what this says of its caller.
    fn of_caller(&self) -> CallerMiss {
        CallerMiss {
            caller: caller_digest(self.caller()),
            since: self.noticed_at,
            checked_at: self.checked_at,
        }
    }

    fn caller(&self) -> Ipv4Addr {
        *self.flow.caller.ip()
    }

    fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.repeated_at) <= MISS_WINDOW
    }
}

impl PeerSuspicion {
    fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) < PEER_REPORT_TTL
    }
}

/// Reports whether the missing answers are those of `count` callers or more.
fn have_callers<'a>(misses: impl Iterator<Item = &'a MissingAnswer>, count: usize) -> bool {
    let mut callers = Vec::with_capacity(count);

    for caller in misses.map(MissingAnswer::caller) {
        if !callers.contains(&caller) {
            callers.push(caller);
        }
        if callers.len() >= count {
            return true;
        }
    }
    false
}

/// Returns the first [`CALLERS_TO_GIVE_UP`] callers, each with its earliest miss.
fn first_callers(misses: impl Iterator<Item = CallerMiss>) -> Vec<CallerMiss> {
    let mut firsts: Vec<CallerMiss> = Vec::with_capacity(CALLERS_TO_GIVE_UP + 1);

    for mut miss in misses {
        if let Some(place) = firsts.iter().position(|known| known.caller == miss.caller) {
            let known = firsts.remove(place);
            miss.since = miss.since.min(known.since);
            miss.checked_at = miss.checked_at.or(known.checked_at);
        }
        let place = firsts.partition_point(|first| first.since <= miss.since);
        firsts.insert(place, miss);
        firsts.truncate(CALLERS_TO_GIVE_UP);
    }
    firsts
}

/// Reports whether an answer refutes a suspicion that was reported at a time. The answers that the
/// suspicion is about were awaited for [`MAX_ANSWER_TIME`] by then.
fn refutes(answered_at: Instant, reported_at: Instant) -> bool {
    answered_at + MAX_ANSWER_TIME > reported_at
}
