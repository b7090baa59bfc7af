//! The request rate of a backend server during slow start.

use serde::{Deserialize, Serialize};

/// Request rate that a backend server sustains during its slow start, while it is cold. Above 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdRate {
    /// Hundredths of a request per second.
    hundredths: u32,
}

/// Reports a number that is not a valid rate.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("invalid rate of a cold backend server: {0} requests per second, expected 0.01 to 1000000")]
pub struct ColdRateError(f64);

/// The highest rate, in requests per second. A backend server that sustains more needs no limit.
const MAX_RATE: f64 = 1e6;

impl ColdRate {
    /// Returns the rate as bytes, which are the same at every balancer.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 4] {
        self.hundredths.to_le_bytes()
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.hundredths) / 100.0
    }
}

impl TryFrom<f64> for ColdRate {
    type Error = ColdRateError;

    fn try_from(per_second: f64) -> Result<Self, ColdRateError> {
        let hundredths = (per_second * 100.0).round();
        if !(1.0..=MAX_RATE * 100.0).contains(&hundredths) {
            return Err(ColdRateError(per_second));
        }

        // Within the range of `u32`, as checked above.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let hundredths = hundredths as u32;
        Ok(Self { hundredths })
    }
}
