//! Acquiring, renewing and giving back the lease of this balancer.

use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion};
use valvestage_core::time::{Deadline, from_unix_millis, to_unix_millis};

use super::lease_record::LeaseRecord;
use super::object_key::{ObjectKey, ObjectValue};
use super::platform_call::{PlatformCall, PlatformReply};

/// Renewals start this often within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// `LeaseOptions` sets the length of leases.
#[derive(Debug, Clone, Copy)]
pub struct LeaseOptions {
    /// Length of a lease: longer rides out longer platform outages, and keeps a crashed owner's
    /// services waiting longer.
    pub length: Duration,
    /// Bound on the difference between two clocks.
    pub clock_bound: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self { length: Duration::from_secs(6), clock_bound: Duration::from_millis(250) }
    }
}

/// `LeaseGrant` is a lease as the policy uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Which lease.
    pub epoch: LeaseEpoch,
    /// Its end less the clock bound.
    pub fence: Deadline,
}

/// What is known of the object in the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Knowledge {
    /// Nothing certain: it has to be read.
    None,
    /// It does not exist.
    Missing,
    /// It had this version and value when last read or written.
    Known(ObjectVersion, LeaseRecord),
}

/// `LeaseKeeper` holds the lease of one balancer.
///
/// A lease counts only once its write is confirmed, from the time before the write was sent, so
/// that the holder never believes in it longer than others do.
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    own: BalancerId,
    options: LeaseOptions,
    knowledge: Knowledge,
    /// The epoch that this process acquired; none before the first, or after it was closed.
    epoch: Option<LeaseEpoch>,
    /// End of the confirmed lease.
    expires: Option<Deadline>,
    /// The record of a write that has no answer yet.
    in_flight: Option<LeaseRecord>,
    /// Whether a call is out; at most one is.
    is_waiting: bool,
    not_before: SystemTime,
    is_leaving: bool,
}

impl LeaseKeeper {
    /// `new` starts without a lease.
    #[must_use]
    pub fn new(own: BalancerId, options: LeaseOptions, now: SystemTime) -> Self {
        Self {
            own,
            options,
            knowledge: Knowledge::None,
            epoch: None,
            expires: None,
            in_flight: None,
            is_waiting: false,
            not_before: now,
            is_leaving: false,
        }
    }

    /// `grant` gives the lease while it holds.
    #[must_use]
    pub fn grant(&self, now: SystemTime) -> Option<LeaseGrant> {
        let fence = self.expires?.checked_sub(self.options.clock_bound)?;

        self.epoch.filter(|_| now < fence).map(|epoch| LeaseGrant { epoch, fence })
    }

    /// `give_back` closes the lease at the next step and acquires no other.
    pub fn give_back(&mut self) {
        self.is_leaving = true;
    }

    /// `gives_back` tells whether the lease is on its way out.
    #[must_use]
    pub fn gives_back(&self) -> bool {
        self.is_leaving
    }

    /// `is_given_back` tells whether no lease is held and none will be.
    #[must_use]
    pub fn is_given_back(&self) -> bool {
        self.is_leaving && self.expires.is_none()
    }

    /// `next_call` gives the call that is due, if any.
    pub fn next_call(&mut self, now: SystemTime) -> Option<PlatformCall> {
        if self.is_waiting || now < self.not_before || (self.is_leaving && self.epoch.is_none()) {
            return None;
        }

        let call = match &self.knowledge {
            Knowledge::None => PlatformCall::Read { key: ObjectKey::Lease(self.own) },
            Knowledge::Missing => self.write(None, self.fresh_epoch(now, 0), now),
            Knowledge::Known(version, record) => self.next_write(*version, &record.clone(), now)?,
        };
        self.is_waiting = true;
        Some(call)
    }

    fn next_write(
        &mut self,
        version: ObjectVersion,
        record: &LeaseRecord,
        now: SystemTime,
    ) -> Option<PlatformCall> {
        let is_own = !record.closed && self.epoch == Some(record.epoch);

        if is_own && self.is_leaving {
            return Some(self.write_closed(version, record));
        }
        if is_own {
            return self.renewal_is_due(now).then(|| self.write(Some(version), record.epoch, now));
        }

        // Somebody closed it, or it is a former process's: that one may be paused and believe in
        // it, so its time has to pass first.
        self.epoch = None;
        self.expires = None;
        if !record.has_lapsed(now, self.options.clock_bound) {
            self.not_before = from_unix_millis(record.expires_ms) + self.options.clock_bound * 2;
            return None;
        }

        let epoch = self.fresh_epoch(now, record.epoch);
        Some(self.write(Some(version), epoch, now))
    }

    fn renewal_is_due(&self, now: SystemTime) -> bool {
        let length = self.options.length;
        let renew_before = length - length / RENEWALS_PER_LEASE;

        self.expires.is_none_or(|expires| now + renew_before >= expires)
    }

    fn fresh_epoch(&self, now: SystemTime, former: LeaseEpoch) -> LeaseEpoch {
        to_unix_millis(now).max(former + 1)
    }

    fn write(
        &mut self,
        expected: Option<ObjectVersion>,
        epoch: LeaseEpoch,
        now: SystemTime,
    ) -> PlatformCall {
        let expires_ms = to_unix_millis(now + self.options.length);
        let record = LeaseRecord { holder: self.own, epoch, expires_ms, closed: false };

        self.in_flight = Some(record.clone());
        PlatformCall::Write {
            key: ObjectKey::Lease(self.own),
            expected,
            value: ObjectValue::Lease(record),
        }
    }

    fn write_closed(&mut self, version: ObjectVersion, record: &LeaseRecord) -> PlatformCall {
        let record = LeaseRecord { closed: true, ..record.clone() };

        // From here on it may be closed: nothing is run under it any more.
        self.expires = None;
        self.in_flight = Some(record.clone());
        PlatformCall::Write {
            key: ObjectKey::Lease(self.own),
            expected: Some(version),
            value: ObjectValue::Lease(record),
        }
    }

    /// `on_reply` takes the result of the last call.
    pub fn on_reply(&mut self, now: SystemTime, reply: &PlatformReply) {
        self.is_waiting = false;

        match reply {
            PlatformReply::Written { version } => {
                if let Some(record) = self.in_flight.take() {
                    self.adopt(*version, record);
                }
            }
            PlatformReply::Found { version, value: ObjectValue::Lease(record) } => {
                // A write whose answer was lost shows here.
                if self.in_flight.take().as_ref() == Some(record) {
                    self.adopt(*version, record.clone());
                } else {
                    self.knowledge = Knowledge::Known(*version, record.clone());
                }
            }
            PlatformReply::Found { .. } => self.knowledge = Knowledge::None,
            PlatformReply::Missing => {
                self.in_flight = None;
                self.knowledge = Knowledge::Missing;
            }
            PlatformReply::Conflict => {
                // The write that conflicts may be one of our own whose answer was lost.
                self.knowledge = Knowledge::None;
            }
            PlatformReply::Unknown => {
                self.knowledge = Knowledge::None;
                self.not_before = now + RETRY_PAUSE;
            }
        }
    }

    fn adopt(&mut self, version: ObjectVersion, record: LeaseRecord) {
        if record.closed {
            self.epoch = None;
            self.expires = None;
        } else {
            self.epoch = Some(record.epoch);
            self.expires = Some(from_unix_millis(record.expires_ms));
        }

        self.knowledge = Knowledge::Known(version, record);
    }
}
