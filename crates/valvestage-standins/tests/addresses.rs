//! Tests that the addresses of deployments that run at the same time do not collide.

use std::collections::BTreeSet;
use std::net::UdpSocket;

use valvestage_standins::layout::AddressPool;

#[test]
fn released_ports_are_not_taken_by_other_pools_or_outgoing_sockets() {
    let mut first = AddressPool::new();
    let released = first.allocate_udp().unwrap();
    drop(first);

    // Neither another pool nor outgoing sockets take ports on the address of the released one, even
    // when there are many of them.
    let mut second = AddressPool::new();
    let others: BTreeSet<_> = (0..500).map(|_| second.allocate_udp().unwrap()).collect();
    let outgoing: Vec<_> = (0..500).map(|_| UdpSocket::bind(("127.0.0.1", 0)).unwrap()).collect();

    assert!(released.ip().is_loopback());
    assert!(others.iter().all(|other| other.ip() != released.ip()));
    assert!(outgoing.iter().all(|socket| socket.local_addr().unwrap().ip() != released.ip()));
    UdpSocket::bind(released).unwrap();
}
