//! Acquisition, renewal and release of the lease of this balancer.

use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion};
use valvestage_core::time::{Deadline, from_unix_millis, to_unix_millis};

use super::lease_record::LeaseRecord;
use super::object_key::{ObjectKey, ObjectValue};
use super::platform_call::{PlatformCall, PlatformReply};

/// Number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Delay before a retry, after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Parameters of leases.
#[derive(Debug, Clone, Copy)]
pub struct LeaseOptions {
    /// Length of a lease. A longer lease bridges longer platform outages, but leaves the services
    /// of a crashed balancer without an owner for longer.
    pub length: Duration,
    /// Upper bound of the difference between the clocks of any two balancers.
    pub clock_bound: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self { length: Duration::from_secs(6), clock_bound: Duration::from_millis(250) }
    }
}

/// Lease that this balancer holds, as the policy uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Epoch of the lease.
    pub epoch: LeaseEpoch,
    /// End of the lease minus the clock bound.
    pub fence: Deadline,
}

/// Last known state of the lease object in the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CachedLease {
    /// Not known: the object has to be read.
    Unread,
    /// The object does not exist.
    Missing,
    /// Version and value at the last read or write.
    Known(ObjectVersion, LeaseRecord),
}

/// State machine that acquires and renews the lease of one balancer.
///
/// A lease is valid only once its write is confirmed, and its time runs from before the write was
/// sent, so that the holder never relies on it for longer than other balancers respect it.
#[derive(Debug, Clone)]
pub struct LeaseManager {
    own: BalancerId,
    options: LeaseOptions,
    cached: CachedLease,
    /// Epoch of the lease that this process acquired; `None` before the first and after its close.
    epoch: Option<LeaseEpoch>,
    /// End of the last confirmed lease.
    expires: Option<Deadline>,
    /// Record of a write whose result is not known yet.
    in_flight: Option<LeaseRecord>,
    /// Whether a call is pending; there is at most one.
    is_call_pending: bool,
    not_before: SystemTime,
    is_leaving: bool,
}

impl LeaseManager {
    /// Creates the state machine of a balancer that holds no lease.
    #[must_use]
    pub fn new(own: BalancerId, options: LeaseOptions, now: SystemTime) -> Self {
        Self {
            own,
            options,
            cached: CachedLease::Unread,
            epoch: None,
            expires: None,
            in_flight: None,
            is_call_pending: false,
            not_before: now,
            is_leaving: false,
        }
    }

    /// Returns the lease while it is valid.
    #[must_use]
    pub fn grant(&self, now: SystemTime) -> Option<LeaseGrant> {
        let fence = self.expires?.checked_sub(self.options.clock_bound)?;

        self.epoch.filter(|_| now < fence).map(|epoch| LeaseGrant { epoch, fence })
    }

    /// Releases the lease with the next call. No other lease is acquired afterwards.
    pub fn release(&mut self) {
        self.is_leaving = true;
    }

    /// Reports whether the lease is being released or has been.
    #[must_use]
    pub fn is_releasing(&self) -> bool {
        self.is_leaving
    }

    /// Reports whether the lease is being released and this balancer no longer relies on it. The
    /// write that closes it may still be pending.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.is_leaving && self.expires.is_none()
    }

    /// Returns the platform call that is due, if any.
    pub fn next_call(&mut self, now: SystemTime) -> Option<PlatformCall> {
        if self.is_call_pending
            || now < self.not_before
            || (self.is_leaving && self.epoch.is_none())
        {
            return None;
        }

        let call = match &self.cached {
            CachedLease::Unread => PlatformCall::Read { key: ObjectKey::Lease(self.own) },
            CachedLease::Missing => self.write(None, self.next_epoch(now, 0), now),
            CachedLease::Known(version, record) => {
                self.next_write(*version, &record.clone(), now)?
            }
        };
        self.is_call_pending = true;
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

        // The lease was closed, or a former process of this balancer acquired it. That process may
        // only be paused and still rely on the lease, so the lease has to lapse first.
        self.epoch = None;
        self.expires = None;
        if !record.has_lapsed(now, self.options.clock_bound) {
            self.not_before = from_unix_millis(record.expires_ms) + self.options.clock_bound * 2;
            return None;
        }

        let epoch = self.next_epoch(now, record.epoch);
        Some(self.write(Some(version), epoch, now))
    }

    fn renewal_is_due(&self, now: SystemTime) -> bool {
        let length = self.options.length;
        let renew_before = length - length / RENEWALS_PER_LEASE;

        self.expires.is_none_or(|expires| now + renew_before >= expires)
    }

    fn next_epoch(&self, now: SystemTime, former: LeaseEpoch) -> LeaseEpoch {
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

        // The write may take effect at any time from here on, so nothing is run under the lease any
        // more.
        self.expires = None;
        self.in_flight = Some(record.clone());
        PlatformCall::Write {
            key: ObjectKey::Lease(self.own),
            expected: Some(version),
            value: ObjectValue::Lease(record),
        }
    }

    /// Handles the reply to the pending call.
    pub fn on_reply(&mut self, now: SystemTime, reply: &PlatformReply) {
        self.is_call_pending = false;

        match reply {
            PlatformReply::Written { version } => {
                if let Some(record) = self.in_flight.take() {
                    self.apply_record(*version, record);
                }
            }
            PlatformReply::Found { version, value: ObjectValue::Lease(record) } => {
                // The value of a write whose answer was lost shows that the write took effect.
                if self.in_flight.take().as_ref() == Some(record) {
                    self.apply_record(*version, record.clone());
                } else {
                    self.cached = CachedLease::Known(*version, record.clone());
                }
            }
            PlatformReply::Found { .. } => self.cached = CachedLease::Unread,
            PlatformReply::Missing => {
                self.in_flight = None;
                self.cached = CachedLease::Missing;
            }
            PlatformReply::Conflict => {
                // The conflicting write may be an earlier one of this balancer whose answer was
                // lost.
                self.cached = CachedLease::Unread;
            }
            PlatformReply::Unknown => {
                self.cached = CachedLease::Unread;
                self.not_before = now + RETRY_PAUSE;
            }
        }
    }

    fn apply_record(&mut self, version: ObjectVersion, record: LeaseRecord) {
        if record.closed {
            self.epoch = None;
            self.expires = None;
        } else {
            self.epoch = Some(record.epoch);
            self.expires = Some(from_unix_millis(record.expires_ms));
        }

        self.cached = CachedLease::Known(version, record);
    }
}
