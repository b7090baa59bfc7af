//! Entries of backend servers that restart under the same name, and entries written by another
//! program.

use serde_json::{Value, json};

use crate::site::{Caller, FakeBackend, Site, token_of, wait_until};
use crate::{ACK, SYN};

/// Returns the entry of a backend server with its start time.
fn entry_with_birth(backend: &FakeBackend, at: u64) -> Value {
    json!({"service": "core", "address": backend.address().to_string(), "zone": "zone-a", "version": "v", "slots": 2,
        "state": "ready", "cold_left_ms": 0, "seq": 1, "born": at})
}

#[test]
fn malformed_entries_do_not_affect_the_other_entries() {
    let site = Site::configured();
    let good = site.backend(0xa1, "core");
    for (name, spec) in [
        ("i-a0", Value::Null),
        ("i-a2", json!({"service": 7})),
        ("i-a3", json!("ready")),
        ("nothing", json!({})),
        (
            "i-a4",
            json!({"service": "core", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v",
            "slots": 0, "state": "ready", "cold_left_ms": 0, "seq": 1}),
        ),
    ] {
        site.standin.put_object("servers", name, spec);
    }

    let balancer = site.ready_balancer("one", &[]);
    let caller = Caller::new(&balancer);
    caller.send(&balancer, SYN, 40_001, 0, 0);
    assert_eq!(good.receive().0, 0xa1);
    wait_until("only one is usable", || balancer.metric("valvestage_entry_backends") == Some(1));
}

#[test]
fn a_restart_under_the_same_name_is_another_process_with_the_same_number() {
    let site = Site::configured();
    let backend = site.backend(0xb1, "core");
    site.standin.put_object("servers", "i-b1", entry_with_birth(&backend, 1_000));
    let balancer = site.ready_balancer("one", &[]);
    let caller = Caller::new(&balancer);
    caller.send(&balancer, SYN, 40_001, 0, 0);
    let token = token_of(&backend.receive().1);

    site.standin.put_object("servers", "i-b1", entry_with_birth(&backend, 2_000));
    // Three changes: the first process was added and removed, and the second one was added.
    wait_until("the restart is known", || {
        balancer.metric("valvestage_entry_events_total{event=\"backend_changed\"}") == Some(3)
    });
    // The packet is still forwarded: only the process at the address knows whether it has the flow.
    caller.send(&balancer, ACK, 40_001, token, 10);
    assert_eq!(backend.receive().0, 0xb1);
}

#[test]
fn an_entry_that_becomes_unusable_gets_no_new_flows_until_it_is_good_again() {
    let site = Site::configured();
    let (spoiled, other) = (site.backend(0xc1, "core"), site.backend(0xc2, "core"));
    let balancer = site.ready_balancer("one", &[]);

    site.standin.put_object("servers", "i-c1", json!({"service": null}));
    wait_until("only one is usable", || balancer.metric("valvestage_entry_backends") == Some(1));
    let caller = Caller::new(&balancer);
    for port in 40_001..40_005 {
        caller.send(&balancer, SYN, port, 0, 0);
        assert_eq!(other.receive().0, 0xc2);
    }

    site.standin.put_object("servers", "i-c1", entry_with_birth(&spoiled, 1_000));
    wait_until("both are usable", || balancer.metric("valvestage_entry_backends") == Some(2));
    caller.send(&balancer, SYN, 40_010, 0, 0);
    assert_eq!(spoiled.receive().0, 0xc1);
}
