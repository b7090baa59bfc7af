//! A configuration is not in force at balancers in touch 3 s after its acknowledgement.
//!
//! What is seen: all open calls to the store fall silent, and up to 0.9 s later the configuration grows to some 5,500
//! addresses, which is below what the store takes. One or most balancers do not have it 3.4 s after the acknowledgement and 4 s after the calls fell silent.

use super::assert_hold;

#[test]
fn a_large_configuration_is_in_force_in_time_after_calls_fell_silent() {
    assert_hold(&[4_000_060, 4_000_553, 4_000_709, 4_000_949, 4_001_479, 4_001_758, 4_001_902]);
}
