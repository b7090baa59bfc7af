//! Violations that a report does not name.

use std::time::Instant;

use valvestage_soak::Promise;
use valvestage_soak::promise_checker::PromiseChecker;

/// Guards against frequent violations of one promise that hide those of another: the tests which
/// disable one mechanism did not find the matching promise among the first violations.
#[test]
fn frequent_violations_of_one_promise_do_not_hide_another() {
    let now = Instant::now();
    let mut checker = PromiseChecker::new(true, now);
    for number in 0..200 {
        checker.check(Promise::NoFalseRefusal, false, now, || format!("flow {number}"));
    }
    checker.check(Promise::NoOwnEnd, false, now, || "balancer 1".to_owned());

    let results = checker.results();
    assert_eq!(results.broken_count, 201);
    assert!(results.broken.iter().any(|broken| broken.promise == Promise::NoOwnEnd));
    assert!(results.broken.len() < 100, "details are limited");
}
