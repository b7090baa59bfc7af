//! Nine seconds after the last fault a balancer still takes an ended backend server for a running
//! one.
//!
//! Backend servers of a partitioned zone end, and others start under their names or as their
//! replacements. Two balancers conclude different ends, each at the revision that it read last,
//! which is the same for both.
//!
//! Cause: a balancer that got the changes from either of them knows all changes up to that
//! revision, and queries no other peer. The conclusions differed because one balancer did not know
//! an entry that the others knew: it had read the store without the entry, and accepted a peer's
//! later report of it as if it were in the store (2,014,712); or it had read the entry as unusable,
//! and took the incarnation under that name for gone since an earlier lapse (2,016,408).
//!
//! In the trace: heartbeats that report the same complete position and the same last change, by
//! balancers of which one has `BackendChanged` with the phase gone at that revision and the other
//! does not.

use super::assert_no_violations;

#[test]
fn a_backend_server_that_ended_in_a_cut_is_not_believed_in_for_good() {
    assert_no_violations(&[2_014_712, 2_016_408]);
}

/// A follower of the store records an entry as missing, and then stops following. Other balancers
/// conclude the entry's end at a revision that it already knows. It did not compare its knowledge
/// with theirs while an entry was missing, not even after the return time had passed. In the trace
/// `BackendMissing` is its last line about the entry, and heartbeats have the same complete
/// position but another digest for ten seconds.
#[test]
fn a_balancer_that_stopped_following_does_not_keep_a_missing_entry_for_good() {
    assert_no_violations(&[27_783, 20_702]);
}

/// A starting balancer reads the store when an outage may just have ended, records an entry as
/// missing, and stops following. Its peers learned of the entry's end at an earlier revision, and
/// send it only the changes after its complete position, which cannot advance while the entry is
/// missing. In the trace `BackendMissing` is its last line about the entry, its heartbeats keep the
/// same complete position, and it requests changes at each heartbeat that it receives.
#[test]
fn a_balancer_that_misses_an_entry_learns_its_end_from_peers_that_knew_it_before() {
    assert_no_violations(&[2_000_749, 2_001_739]);
}

#[test]
fn a_start_under_a_former_name_is_learned() {
    assert_no_violations(&[2_203_988]);
}

/// An entry lapses in a partition. A balancer that starts meanwhile learns of it as already gone,
/// at the position that the entry had while it was present. Another balancer records the entry as
/// missing, requests everything from the first one again and again, and takes the entry, which is
/// reported as gone, for present. In the trace `Asked` from the start position stands once a second
/// until the end.
#[test]
fn an_end_that_is_told_at_the_position_of_the_entry_is_learned() {
    assert_no_violations(&[2_300_643, 2_302_693, 2_303_151]);
}

/// A new incarnation writes its entry, and another writer makes it unusable before any balancer
/// reads it. A list of the store shows the name's entry as unusable, at a later position than that
/// of the new incarnation, which was therefore taken for older than its predecessor. In the trace
/// `BackendChanged` with the phase unusable precedes that of the new incarnation, which ends as
/// superseded.
#[test]
fn a_start_whose_entry_is_spoiled_is_learned() {
    assert_no_violations(&[2_203_988, 1_100_903]);
}
