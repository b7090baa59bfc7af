//! Tests of balancer processes, run against stand-ins: SIGKILL, SIGSTOP for longer than a lease,
//! SIGTERM, and an outage of the platform.
//!
//! The tests wait for events (a number of runs, a change of owner, an exit) and not for fixed
//! times, so that their result does not depend on the speed of the host.

mod deployment;

use deployment::{Deployment, lock_forks};
use nix::sys::signal::Signal;
use valvestage_standins::caller::CallerSummary;
use valvestage_standins::platform::Faults;

/// Number of runs after which a fault is injected, so that it occurs under load.
const RUNS_BEFORE_FAULT: u64 = 60;

/// Asserts what holds under every fault: no request runs twice or at the wrong service, no caller
/// gets contradicting answers or the answer of another request, no request reported as not run has
/// run, and at least one request is answered.
fn assert_safe(deployment: &Deployment, summary: &CallerSummary) {
    let backends = deployment.log.summary();

    assert_eq!(backends.repeated, 0, "a request ran twice");
    assert_eq!(backends.misdelivered, 0, "a request reached the wrong service");
    assert_eq!(summary.contradicted, 0, "a caller got contradicting results");
    assert_eq!(summary.foreign_answers, 0, "a caller got the answer to another request");
    for id in &summary.not_run_ids {
        let id = u128::from_str_radix(id, 16).unwrap();
        assert!(!deployment.log.has_run(id), "{id:032x} ran, but was reported as not run");
    }
    assert!(summary.answered > 0);
}

#[test]
fn an_owner_is_killed() {
    let deployment = Deployment::start();
    let load = deployment.start_load();
    deployment.wait_for_runs(RUNS_BEFORE_FAULT);

    let owner = deployment.owner();
    deployment.signal(owner, Signal::SIGKILL);
    deployment.wait_until("another owner", |d| d.owner() != owner);
    let summary = load.join().unwrap();

    assert_safe(&deployment, &summary);
    deployment.wait_until_served();
}

#[test]
fn an_owner_is_suspended_past_its_lease_and_resumes() {
    let deployment = Deployment::start();
    let load = deployment.start_load();
    deployment.wait_for_runs(RUNS_BEFORE_FAULT);

    let owner = deployment.owner();
    deployment.signal(owner, Signal::SIGSTOP);
    deployment.wait_until("another owner", |d| d.owner() != owner);
    deployment.signal(owner, Signal::SIGCONT);
    let summary = load.join().unwrap();

    assert_safe(&deployment, &summary);
    deployment.wait_until_served();
}

#[test]
fn an_owner_stops_as_planned() {
    let mut deployment = Deployment::start();
    let load = deployment.start_load();
    deployment.wait_for_runs(RUNS_BEFORE_FAULT);

    let owner = deployment.owner();
    deployment.signal(owner, Signal::SIGTERM);
    let exit = deployment.wait_for_exit(owner);
    let summary = load.join().unwrap();

    assert!(exit.success(), "exit {exit}");
    assert_safe(&deployment, &summary);
    assert_eq!(summary.answered, summary.requests, "a request was cut: {summary:?}");
    assert_eq!(summary.broken_echoing + summary.broken_silent, 0, "a flow broke: {summary:?}");
    assert_ne!(deployment.owner(), owner);
    deployment.wait_until_served();
}

#[test]
fn the_platform_is_unavailable_for_longer_than_a_lease() {
    let deployment = Deployment::start();
    let load = deployment.start_load();
    deployment.wait_for_runs(RUNS_BEFORE_FAULT);

    deployment.platform.inject_faults(Faults { down: true, ..Faults::default() });
    deployment.wait_until("the lease to lapse", |d| !d.any_lease_is_valid());
    let runs = deployment.log.summary().runs;
    deployment.wait_for_runs(runs + RUNS_BEFORE_FAULT);
    deployment.platform.inject_faults(Faults::default());
    let summary = load.join().unwrap();

    // Flows and repeatable requests continue; other requests are refused and do not run twice.
    assert_safe(&deployment, &summary);
    assert_eq!(summary.broken_echoing + summary.broken_silent, 0, "a flow broke: {summary:?}");
    deployment.wait_until_served();
}

#[test]
fn all_balancers_of_a_zone_are_suspended_and_resume() {
    let deployment = Deployment::start();
    let load = deployment.start_load();
    deployment.wait_for_runs(RUNS_BEFORE_FAULT);

    let zone = deployment.balancers_of("zone-b");
    for id in &zone {
        deployment.signal(*id, Signal::SIGSTOP);
    }
    deployment.wait_until("owners in the other zone", |d| {
        d.owners().iter().all(|owner| !zone.contains(owner))
    });
    let runs = deployment.log.summary().runs;
    deployment.wait_for_runs(runs + RUNS_BEFORE_FAULT / 2);
    for id in &zone {
        deployment.signal(*id, Signal::SIGCONT);
    }
    let summary = load.join().unwrap();

    assert_safe(&deployment, &summary);
    deployment.wait_until_served();
}

#[test]
fn exit_codes_of_a_wrong_command_line_and_wrong_settings() {
    let run = |arguments: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_valvestage-balancer"));
        let _fork_lock = lock_forks();
        command.args(arguments).output().unwrap()
    };

    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    assert_eq!(run(&["--no-such-flag"]).status.code(), Some(2));
    let missing = run(&["--settings", "nowhere.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("nowhere.toml"));

    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../settings/rs-sul/balancer-1.toml");
    assert_eq!(run(&["--settings", example, "--check-settings"]).status.code(), Some(0));
}
