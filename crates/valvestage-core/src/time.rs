//! Conversions between [`SystemTime`] and Unix milliseconds.
//!
//! Deadlines are absolute everywhere: a point in time can be passed on and compared, a duration
//! starts anew at every hop.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Point in time after which a piece of work has no value.
pub type Deadline = SystemTime;

/// `to_unix_millis` gives milliseconds since the Unix epoch; 0 for times before it.
#[must_use]
pub fn to_unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);

    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// `from_unix_millis` gives the time at that many milliseconds since the Unix epoch.
///
/// Values beyond the year 10000 are cut to it, so that later additions cannot overflow.
#[must_use]
pub fn from_unix_millis(millis: u64) -> SystemTime {
    const YEAR_10000_MILLIS: u64 = 253_402_300_800_000;

    UNIX_EPOCH + Duration::from_millis(millis.min(YEAR_10000_MILLIS))
}

/// `remaining` gives the time left until a deadline, zero if it has passed.
#[must_use]
pub fn remaining(deadline: Deadline, now: SystemTime) -> Duration {
    deadline.duration_since(now).unwrap_or(Duration::ZERO)
}
