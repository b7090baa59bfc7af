//! The procedures of docs/OPERATIONS.md that lead from a caller's complaint to its cause, with the
//! logs of the real program.

use nix::sys::signal::Signal;
use valvestage_standins::packets::flow_packet::FlowPacket;
use valvestage_standins::packets::flow_packet::flags::FIN;
use valvestage_standins::platform::Faults;
use valvestage_story::sentences::sentence;
use valvestage_story::{LogLine, LogQuery, select_lines};

use crate::site::{Balancer, Caller, FakeBackend, SERVICE, Site, token_of, wait_until};
use crate::{ACK, SYN};

/// Returns the explanation of a caller's flow from the log of a balancer, which is stopped to
/// complete the log.
fn explain_flow(balancer: Balancer, caller: &Caller, port: u16) -> String {
    balancer.signal(Signal::SIGTERM);
    let (_, log) = balancer.wait();
    let lines = log.lines().filter_map(|line| LogLine::try_from(line).ok()).collect();

    let selected = select_lines(lines, &LogQuery::Flow(caller.flow_address(port)));
    selected.iter().map(|line| sentence(line) + "\n").collect()
}

#[test]
fn a_caller_was_sent_to_a_backend_server_that_had_died() {
    let site = Site::configured();
    // The sockets are open, but nothing answers.
    let dead = [site.backend(0xa1, "core"), site.backend(0xa2, "core")];
    let balancer = site.ready_balancer("one", &[]);

    let caller = Caller::new(&balancer);
    caller.send(&balancer, SYN, 40_001, 0, 0);
    wait_until("the opening packet arrives", || dead.iter().any(|backend| backend.has_packet()));
    // Retransmit the opening packet, as callers do, until the flow is moved to the other backend
    // server.
    wait_until("the flow is moved", || {
        caller.send_retransmission(&balancer, 40_001, 1);
        balancer.metric("valvestage_entry_events_total{event=\"moved\"}").is_some()
    });

    let explanation = explain_flow(balancer, &caller, 40_001);
    assert!(explanation.contains("was placed on backend server a"), "{explanation}");
    assert!(explanation.contains("did not answer the opening packet"), "{explanation}");
}

#[test]
fn a_caller_was_refused_since_no_backend_server_takes_flows() {
    let site = Site::configured();
    let _leaving = site.backend(0xb1, "core");
    let balancer = site.ready_balancer("one", &[]);
    site.standin.delete_object("servers", "i-b1");
    // Two changes: the backend server was added and removed.
    wait_until("the removal is known", || {
        balancer.metric("valvestage_entry_events_total{event=\"backend_changed\"}") == Some(2)
    });

    let caller = Caller::new(&balancer);
    caller.send(&balancer, SYN, 40_001, 0, 0);
    caller.receive();
    let explanation = explain_flow(balancer, &caller, 40_001);
    assert!(explanation.contains("no backend server of the service takes flows"), "{explanation}");
}

#[test]
fn a_callers_backend_server_had_ended() {
    let site = Site::configured();
    let backend = site.backend(0xc1, "core");
    let balancer = site.ready_balancer("one", &[]);
    let caller = Caller::new(&balancer);
    caller.send(&balancer, SYN, 40_001, 0, 0);
    let token = crate::site::token_of(&backend.receive().1);
    caller.send(&balancer, ACK, 40_001, token, 10);
    backend.receive();

    site.standin.delete_object("servers", "i-c1");
    // Two changes: the backend server was added and removed.
    wait_until("the removal is known", || {
        balancer.metric("valvestage_entry_events_total{event=\"backend_changed\"}") == Some(2)
    });
    caller.send(&balancer, ACK, 40_001, token, 10);
    caller.receive();
    let explanation = explain_flow(balancer, &caller, 40_001);
    assert!(explanation.contains("Backend server c1 of core is gone"), "{explanation}");
    assert!(explanation.contains("its backend server c1 has ended"), "{explanation}");
}

#[test]
fn a_route_was_not_known_yet_after_an_outage_of_the_store() {
    let site = Site::configured();
    let balancer = site.ready_balancer("one", &[]);
    site.standin.inject_faults(Faults { down: true, ..Faults::default() });
    wait_until("the knowledge is out of date", || {
        balancer.metric("valvestage_entry_events_total{event=\"certainty\"}") == Some(2)
    });

    // No route is known from this address. For all the balancer knows, one may have been added to
    // the store in the meantime.
    let caller = Caller::new(&balancer);
    caller.send_to_port(&balancer, SYN, 40_001, SERVICE.port() + 1);
    wait_until("the packet is dropped", || {
        balancer.metric("valvestage_entry_drops_total{reason=\"no_route\"}") == Some(1)
    });
    let explanation = explain_flow(balancer, &caller, 40_001);
    assert!(explanation.contains("The store did not answer"), "{explanation}");
    assert!(explanation.contains("configuration 3 may be out of date"), "{explanation}");
    assert!(explanation.contains("no route is known from its address"), "{explanation}");
}

#[test]
fn a_callers_backend_server_answered_with_errors() {
    let site = Site::configured();
    let backends = [0xd1, 0xd2, 0xd3].map(|instance| site.backend(instance, "core"));
    let balancer = site.ready_balancer("one", &[]);

    // One of the three backend servers sends short answers until the balancer avoids it.
    let caller = Caller::new(&balancer);
    let mut ports = 40_001..;
    let mut failed_port = None;
    wait_until("the backend server is avoided", || {
        let port = ports.next().unwrap();
        let instance = send_request(&balancer, &caller, &backends, port);
        if instance == 0xd1 {
            failed_port.get_or_insert(port);
        }
        balancer.metric("valvestage_entry_events_total{event=\"avoided\"}").is_some()
    });

    let explanation = explain_flow(balancer, &caller, failed_port.unwrap());
    assert!(explanation.contains("was placed on backend server d1"), "{explanation}");
    assert!(explanation.contains("Backend server d1 failed"), "{explanation}");
}

/// Sends one request on a new flow and acknowledges the answer, which is short if it comes from
/// backend server d1. Returns the instance of the flow's backend server.
fn send_request(balancer: &Balancer, caller: &Caller, backends: &[FakeBackend], port: u16) -> u64 {
    const USUAL_BYTES: u32 = 775;
    const SHORT_BYTES: u32 = 152;
    caller.send(balancer, SYN, port, 0, 0);
    wait_until("the opening packet arrives", || backends.iter().any(FakeBackend::has_packet));
    let backend = backends.iter().find(|backend| backend.has_packet()).unwrap();
    let token = token_of(&backend.receive().1);

    let request = FlowPacket {
        flags: ACK,
        token,
        sequence: 1_001,
        acknowledged: 501,
        data: vec![0; 100],
        ..caller.packet(port)
    };
    caller.send_packet(balancer, &request);
    backend.receive();
    let bytes = if backend.instance == 0xd1 { SHORT_BYTES } else { USUAL_BYTES };
    let last = FlowPacket {
        flags: ACK | FIN,
        sequence: 1_101,
        acknowledged: 501 + bytes,
        data: Vec::new(),
        ..request
    };
    caller.send_packet(balancer, &last);
    backend.receive();
    backend.instance
}

#[test]
fn a_callers_request_hung_after_a_balancer_was_restarted() {
    let site = Site::configured();
    let backend = site.backend(0xd1, "core");
    let former = site.ready_balancer("one", &[]);
    let caller = Caller::new(&former);
    caller.send(&former, SYN, 40_001, 0, 0);
    let token = token_of(&backend.receive().1);

    // The backend server is removed while no balancer is running that could report it to the new
    // one.
    drop(former);
    site.standin.delete_object("servers", "i-d1");
    let _other = site.backend(0xd2, "core");
    let restarted = site.ready_balancer("two", &[]);
    caller.send(&restarted, ACK, 40_001, token, 10);
    wait_until("the packet is dropped", || {
        let name = "valvestage_entry_drops_total{reason=\"unknown_token\"}";
        restarted.metric(name) == Some(1)
    });
    let explanation = explain_flow(restarted, &caller, 40_001);
    let said =
        format!("its token {token} names no backend server that is known up to revision 4, ");
    assert!(explanation.contains(&said), "{explanation}");
}
