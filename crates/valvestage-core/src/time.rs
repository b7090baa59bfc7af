//! Conversions between [`SystemTime`] and Unix milliseconds.
//!
//! Deadlines are always absolute: a point in time can be passed on and compared, whereas a duration
//! would start anew at every hop.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Point in time until which something is useful or valid, such as the answer to a request or a
/// lease.
pub type Deadline = SystemTime;

/// Converts a time to milliseconds since the Unix epoch; times before the epoch give 0.
#[must_use]
pub fn to_unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);

    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Converts milliseconds since the Unix epoch to a time.
///
/// Values beyond the year 10000 are clamped to it, so that later additions cannot overflow.
#[must_use]
pub fn from_unix_millis(millis: u64) -> SystemTime {
    const YEAR_10000_MILLIS: u64 = 253_402_300_800_000;

    UNIX_EPOCH + Duration::from_millis(millis.min(YEAR_10000_MILLIS))
}

/// Returns the time left until a deadline, or zero if it has passed.
#[must_use]
pub fn remaining(deadline: Deadline, now: SystemTime) -> Duration {
    deadline.duration_since(now).unwrap_or(Duration::ZERO)
}
