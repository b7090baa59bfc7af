//! Open connections that stall forever while new connections work.

use std::io::Write;
use std::net::TcpStream;

use crate::site::{Site, wait_until};

/// Number of connections with an incomplete request; more than all routers and metrics collectors
/// open.
const STALLED: usize = 40;

#[test]
fn a_watch_on_a_stalled_connection_ends_and_the_next_request_opens_a_new_one() {
    let mut site = Site::configured();
    let relay = site.relay_store();
    let balancer = site.ready_balancer("one", &[]);

    for version in [9, 11, 14] {
        // Stalls the connections of the watches, one for each kind of objects.
        relay.silence_open();
        site.configure(version, "core");
        wait_until("the version is in force", || {
            balancer.metric("valvestage_entry_configuration_version") == Some(version)
        });
    }
}

#[test]
fn stalled_clients_do_not_block_readiness_and_metrics() {
    let site = Site::configured();
    let balancer = site.ready_balancer("one", &[]);

    let stalled: Vec<TcpStream> = balancer
        .http_addresses()
        .into_iter()
        .cycle()
        .take(STALLED)
        .map(|address| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost:").unwrap();
            stream
        })
        .collect();
    assert!(balancer.is_ready());
    wait_until("the configuration is in force", || {
        balancer.metric("valvestage_entry_configuration_version") == Some(3)
    });
    drop(stalled);
}
