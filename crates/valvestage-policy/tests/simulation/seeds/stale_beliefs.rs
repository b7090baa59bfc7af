//! Nine seconds after the last fault a balancer still believes in a backend server that is gone.
//!
//! What happens: backend servers of a zone that is cut off end, and others start under their names or in their places. Two
//! balancers conclude different ends, each at the revision that it read last, which is the same.
//!
//! Why: whoever was told by one of them knows all changes up to that revision and asks nobody else. And they concluded different ends since one of
//! them did not know an entry that the others knew: it had read the store without it, and took in what a peer told of it later
//! as if it were there (2,014,712); or it had read it spoiled, and held the one under its name for gone since an
//! earlier lapse (2,016,408).
//!
//! What showed it: heartbeats with the same `complete_until` and `changed_at` by balancers of which one has `BackendChanged` with
//! the phase gone at that revision, and another one has not.

use super::assert_hold;

#[test]
fn a_backend_server_that_ended_in_a_cut_is_not_believed_in_for_good() {
    assert_hold(&[2_014_712, 2_016_408]);
}

/// An entry is missing at a balancer that follows the store, which then leaves that to others. They conclude its end at the revision
/// that it knows already, and it did not compare itself with them while it missed an entry, also when the time of that was over.
/// `BackendMissing` is its last line about the entry; heartbeats have the same `complete_until` and another digest for ten seconds.
#[test]
fn one_that_stopped_following_does_not_believe_in_a_missing_entry_for_good() {
    assert_hold(&[27_783, 20_702]);
}

/// A balancer that starts reads the store while it may have been away, misses an entry, and leaves the store to others. They know at an earlier
/// revision that the entry went, and tell it changes after the one up to which it knows everything; what it misses keeps that
/// where it is. `BackendMissing` is its last line about the entry; its heartbeats keep one `complete_until`, and it asks for
/// changes at each heartbeat that it hears.
#[test]
fn one_that_misses_an_entry_learns_of_an_end_that_others_knew_before() {
    assert_hold(&[2_000_749, 2_001_739]);
}

#[test]
fn a_start_under_a_former_name_is_learned() {
    assert_hold(&[2_203_988]);
}

/// An entry lapses in a cut, and a balancer that starts meanwhile learns of it as of one that was gone before: at the position that the
/// entry had while it was there. Another one misses the entry, reads everything from the first again and again, and takes what it is told
/// of as gone for what is there. `Asked` from the start stands once a second until the end.
#[test]
fn an_end_that_is_told_at_the_position_of_the_entry_is_learned() {
    assert_hold(&[2_300_643, 2_302_693, 2_303_151]);
}

/// A new incarnation writes its entry, and another writer spoils it before any balancer reads it. A list of the store shows that the
/// entry of the name cannot be used, at a later position than the start, which was taken for older than the process before.
/// `BackendChanged` with the phase unusable stands before that of the new incarnation, which ends as superseded.
#[test]
fn a_start_whose_entry_is_spoiled_is_learned() {
    assert_hold(&[2_203_988, 1_100_903]);
}
