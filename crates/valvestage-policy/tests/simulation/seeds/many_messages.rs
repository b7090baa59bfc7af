//! Balancers send three times as many messages as usual, for ten seconds.
//!
//! What happens: a zone is cut off, calls fall silent, and the configuration grows. For ten seconds nobody in that zone follows the
//! store, sixteen in the other zone follow in their place, and all tell each other of each of their answers.
//!
//! Why: a balancer whose calls had failed once gave way to others after 0.4 s of its next try, and reading the configuration takes
//! 0.7 s. What showed it: `WatchRole` true, false 0.5 s later, and `StoreLink` answers true 0.17 s after that, for each in turn.

use super::assert_hold;

#[test]
fn messages_become_few_again_after_a_large_configuration() {
    assert_hold(&[4_002_129]);
}
