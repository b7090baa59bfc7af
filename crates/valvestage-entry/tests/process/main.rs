//! The real program against stand-ins for the store, backend servers and callers.

mod entries;
mod silent_connections;
mod site;
mod troubleshooting;

use std::fs;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nix::sys::signal::Signal;
use valvestage_platform::packet::HEADER_BYTES;
use valvestage_standins::packets::flow_packet::flags::{ACK, RST, SYN};
use valvestage_standins::platform::Faults;

use site::{Caller, FakeBackend, Site, token_of, wait_until};

#[test]
fn any_balancer_steers_a_flow_by_its_token() {
    let site = Site::configured();
    let backends = [site.backend(1, "core"), site.backend(2, "core")];
    let one = site.balancer("one", &[]);
    let two = site.balancer("two", &[&one]);
    one.wait_ready();
    two.wait_ready();

    let caller = Caller::new(&one);
    caller.send(&one, SYN, 40_001, 0, 0);
    wait_until("the packet arrives", || backends.iter().any(FakeBackend::has_packet));
    let backend = backends.iter().find(|backend| backend.has_packet()).unwrap();
    let (instance, packet) = backend.receive();
    assert_eq!(instance, backend.instance);

    let token = token_of(&packet);
    assert_ne!(token, 0);
    for balancer in [&one, &two] {
        caller.send(balancer, ACK, 40_001, token, 100);
        let (instance, packet) = backend.receive();
        assert_eq!((instance, packet.len()), (backend.instance, HEADER_BYTES + 100));
    }
}

#[test]
fn callers_without_a_route_are_refused_at_once() {
    let site = Site::configured();
    let balancer = site.ready_balancer("one", &[]);

    // The route exists, but its service has no backend server.
    let caller = Caller::new(&balancer);
    caller.send(&balancer, SYN, 40_001, 0, 0);
    let reset = caller.receive();
    assert_eq!((reset[0], reset.len()), (RST, HEADER_BYTES));
    wait_until("the reset is counted", || {
        balancer.metric("valvestage_entry_resets_total{reason=\"no_backend\"}") == Some(1)
    });
}

#[test]
fn a_balancer_that_starts_while_the_store_is_away_serves_from_its_peers_knowledge() {
    let site = Site::configured();
    let backend = site.backend(1, "core");
    let one = site.ready_balancer("one", &[]);

    site.standin.inject_faults(Faults { down: true, ..Faults::default() });
    let two = site.balancer("two", &[&one]);
    two.wait_ready();
    wait_until("the configuration is in force", || {
        two.metric("valvestage_entry_configuration_version") == Some(3)
    });
    let caller = Caller::new(&two);
    caller.send(&two, SYN, 40_001, 0, 0);
    assert_eq!(backend.receive().0, 1);
}

#[test]
fn a_change_reaches_a_balancer_that_does_not_follow_the_store() {
    let site = Site::configured();
    let one = site.ready_balancer("one", &[]);
    let two = site.balancer("two", &[&one]);
    let three = site.balancer("three", &[&one]);
    two.wait_ready();
    three.wait_ready();

    site.configure(9, "core");
    for balancer in [&one, &two, &three] {
        wait_until("the version is in force", || {
            balancer.metric("valvestage_entry_configuration_version") == Some(9)
        });
    }
}

#[test]
fn metrics_can_be_read_before_anything_is_known() {
    let site = Site::new();
    site.standin.inject_faults(Faults { down: true, ..Faults::default() });
    let balancer = site.balancer("one", &[]);

    wait_until("a store request has failed", || {
        let name = "valvestage_entry_store_calls_total{kind=\"backends\",outcome=\"failed\"}";
        balancer.metric(name).is_some_and(|count| count > 0)
    });
    assert!(!balancer.is_ready());
}

#[test]
fn sigterm_ends_readiness_first_and_packets_last() {
    let site = Site::configured();
    let backend = site.backend(1, "core");
    let balancer = site.ready_balancer("one", &[]);

    let caller = Caller::new(&balancer);
    balancer.signal(Signal::SIGTERM);
    wait_until("the balancer is not ready", || !balancer.is_ready());
    caller.send(&balancer, SYN, 40_001, 0, 0);
    assert_eq!(backend.receive().0, 1);
    let (status, log) = balancer.wait();
    assert!(status.success(), "{status}");
    assert!(log.contains("\"event\":\"placed\""), "{log}");
    assert!(log.contains("stopped"), "{log}");
}

/// The test waits for each file to be read before it goes on: signals that arrive together count as
/// one, and the balancer is ready whether it has read the file or not.
#[test]
fn settings_are_reloaded_and_invalid_ones_are_ignored() {
    let site = Site::configured();
    let mut balancer = site.ready_balancer("one", &[]);

    let good = fs::read_to_string(&balancer.file).unwrap();
    fs::write(&balancer.file, "zone = 3\n").unwrap();
    balancer.signal(Signal::SIGHUP);
    balancer.wait_for_line("the settings in force stay");
    wait_until("the balancer is ready", || balancer.is_ready());
    fs::write(&balancer.file, good.replace("seeds = []", "seeds = [\"127.9.9.9:1\"]")).unwrap();
    balancer.signal(Signal::SIGHUP);
    balancer.wait_for_line("reloaded");
    wait_until("the balancer is ready", || balancer.is_ready());
    balancer.signal(Signal::SIGTERM);
    let (status, log) = balancer.wait();
    assert!(status.success(), "{status}");
    assert!(log.contains("the settings in force stay"), "{log}");
    assert!(log.contains("reloaded"), "{log}");
}

#[test]
fn a_stalled_log_reader_delays_no_packet() {
    let site = Site::configured();
    let backend = site.backend(1, "core");
    // Nothing reads the balancer's standard output.
    let balancer = site.ready_balancer("one", &[]);

    let caller = Caller::new(&balancer);
    for port in 1..=3_000 {
        caller.send(&balancer, SYN, port, 0, 0);
        assert_eq!(backend.receive().0, 1);
    }
    wait_until("all placements are counted", || {
        balancer.metric("valvestage_entry_events_total{event=\"placed\"}") == Some(3_000)
    });
}

#[test]
fn datagrams_that_are_no_packets_are_counted_and_ignored() {
    let site = Site::configured();
    let balancer = site.ready_balancer("one", &[]);

    let sender = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for datagram in [&[][..], &[1], &[255; 35], &[2; 36], &[255; 1_500]] {
        sender.send_to(datagram, balancer.data_address()).unwrap();
    }
    wait_until("the datagrams are counted", || {
        balancer.metric("valvestage_entry_unreadable_packets_total") == Some(5)
    });
    assert!(balancer.is_ready());
}

#[test]
fn wrong_settings_are_refused_by_name() {
    let folder = std::env::temp_dir().join(format!("valvestage-entry-bad-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let site = Site::new();
    let good = site.settings("one", std::net::Ipv4Addr::LOCALHOST, &[]);

    for (text, expected, code) in [
        (good.clone(), "the settings are right", 0),
        (good.replace("zone = \"zone-a\"", "zone = \"\""), "zone", 2),
        (good.replace("stop_within_s = 6", "stop_within_s = 0"), "stop_within_s", 2),
        (good.replace("name =", "nam ="), "nam", 2),
    ] {
        let file = folder.join("entry.toml");
        fs::write(&file, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_valvestage-entry"))
            .arg("--settings")
            .arg(&file)
            .arg("--check-settings")
            .output()
            .unwrap();
        let said = [output.stdout, output.stderr].concat();
        let said = String::from_utf8_lossy(&said);
        assert!(said.contains(expected), "{said}");
        assert_eq!(output.status.code(), Some(code));
    }
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_flood_of_packets_does_not_delay_updates() {
    let site = Site::configured();
    let balancer = site.ready_balancer("one", &[]);

    // Four threads send more packets than the data thread can read. Each packet asks to open a flow
    // on an address without a route, and is answered with a reset.
    let mut packet = [0; HEADER_BYTES];
    packet[0] = SYN;
    let is_over = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..4)
        .map(|_| {
            let (is_over, address) = (is_over.clone(), balancer.data_address());
            std::thread::spawn(move || {
                let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
                while !is_over.load(Ordering::Relaxed) {
                    let _ = socket.send_to(&packet, address);
                }
            })
        })
        .collect();
    wait_until("the flood has started", || {
        let name = "valvestage_entry_events_total{event=\"reset\"}";
        balancer.metric(name).is_some_and(|count| count > 10_000)
    });
    site.configure(9, "core");
    wait_until("the version is in force", || {
        balancer.metric("valvestage_entry_configuration_version") == Some(9)
    });

    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.join().unwrap();
    }
}
