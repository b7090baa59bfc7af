//! Limit on the requests that this balancer sends to cold backend servers.
//!
//! A backend server that has just started can process only few requests per second from all
//! balancers together. The balancers neither share a counter nor can they coordinate, since they
//! may be cut off from each other. The rate is therefore divided among few of them: the first ones
//! by rendezvous hashing over the balancers of the backend server's availability zone get equal
//! shares, each of which enforces its own share, and no other balancer sends flows to the backend
//! server. A balancer that is cut off from the zone does not reach the backend server either, so
//! the two sides of a partition cannot both use the same rate. A balancer that may still be unknown
//! to the others gets no share.

use std::collections::{HashMap, VecDeque};
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;
use valvestage_core::ids::{InstanceId, ZoneName};

use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendEntry;
use crate::steering::knowledge::cold_rate::ColdRate;
use crate::steering::peers::zone_members::ZoneMembers;

/// Number of balancers among which the rate of one backend server is divided. With more of them,
/// each has less than one request of a low rate; with fewer, the death of one takes a larger part
/// of the rate away.
const SHARE_HOLDERS: usize = 4;

/// Sliding window over which requests are counted: one second, and a margin for coarse timers.
const WINDOW: Duration = Duration::from_millis(1_010);

/// How far a cold backend server may exceed its rate; set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor on the rate; above 0.
    pub rate_factor: f64,
    /// Requests per second allowed on top of that; not negative.
    pub extra_rate: f64,
}

impl ColdLimit {
    /// Returns the maximum number of requests in any second for a backend server with the given
    /// rate.
    #[must_use]
    pub fn allowed(self, rate: ColdRate) -> f64 {
        rate.per_second() * self.rate_factor + self.extra_rate
    }
}

/// Returns how many of the allowed requests per second the holder with this rank may send. All
/// shares together leave room for one further holder, since the balancers may briefly disagree on
/// which of them exist.
#[must_use]
pub fn holder_share(allowed: f64, rank: usize, holders: usize) -> usize {
    if rank >= holders {
        return 0;
    }

    // At most a few millions, and not negative.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = allowed.max(0.0) as usize;
    let mut total = allowed * holders / (holders + 1);
    if total + total.div_ceil(holders) > allowed {
        total -= 1;
    }
    (total + holders - 1 - rank) / holders
}

/// Enforces this balancer's shares of the rates of cold backend servers.
#[derive(Debug, Default)]
pub struct ColdShares {
    /// Requests per second that this balancer may send to each cold backend server; 0 for those not
    /// listed.
    shares: HashMap<InstanceId, usize>,
    /// Times of the requests sent within the last [`WINDOW`].
    sent: HashMap<InstanceId, VecDeque<Instant>>,
}

impl ColdShares {
    /// Returns the maximum number of requests per second to a backend server at present; `None` if
    /// it is not limited.
    #[must_use]
    pub fn allowed_rate(
        limit: Option<ColdLimit>,
        knowledge: &Knowledge,
        entry: &BackendEntry,
        now: Instant,
    ) -> Option<f64> {
        let limit = limit.filter(|_| entry.cold_until.is_some_and(|until| until > now))?;
        let rate = knowledge.routes.cold_rates.get(&entry.service)?;

        Some(limit.allowed(*rate))
    }

    /// Recomputes the shares; to be called several times per second.
    pub fn renew(
        &mut self,
        limit: Option<ColdLimit>,
        knowledge: &Knowledge,
        (zone, members): (&ZoneName, &ZoneMembers),
        now: Instant,
    ) {
        self.shares.clear();
        self.sent.retain(|_, times| times.back().is_some_and(|at| now - *at < WINDOW));
        if limit.is_none() || !members.is_settled {
            return;
        }

        for entry in knowledge.directory.iter().filter(|entry| entry.zone == *zone) {
            if let Some(allowed) = Self::allowed_rate(limit, knowledge, entry, now) {
                let (rank, holders) = rank_in(members, entry.instance);
                self.shares.insert(entry.instance, holder_share(allowed, rank, holders));
            }
        }
    }

    /// Reports whether this balancer may send one more request to a cold backend server now.
    #[must_use]
    pub fn has_room(&self, instance: InstanceId, now: Instant) -> bool {
        let share = self.shares.get(&instance).copied().unwrap_or_default();
        let sent = self.sent.get(&instance).into_iter().flatten();

        sent.filter(|at| now.saturating_duration_since(**at) < WINDOW).count() < share
    }

    /// Records that a request is sent to a cold backend server.
    pub fn on_request(&mut self, instance: InstanceId, now: Instant) {
        let sent = self.sent.entry(instance).or_default();

        while sent.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
            sent.pop_front();
        }
        sent.push_back(now);
    }
}

/// Returns the rank of this balancer among the members by rendezvous hashing, and the number of
/// balancers that hold shares.
fn rank_in(members: &ZoneMembers, instance: InstanceId) -> (usize, usize) {
    let own = weight_of(members.own, instance);
    let before = members.others.iter().filter(|other| weight_of(**other, instance) > own).count();

    (before, SHARE_HOLDERS.min(members.others.len() + 1))
}

fn weight_of(member: SocketAddrV4, instance: InstanceId) -> (u64, SocketAddrV4) {
    let mut hasher = SipHasher13::new();
    hasher.write(&member.ip().octets());
    hasher.write_u16(member.port());
    hasher.write_u64(instance);

    (hasher.finish(), member)
}
