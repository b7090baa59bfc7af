//! Ports of a plan that other sockets of the machine get before the balancers bind them, so that
//! these end with "Address already in use" and the run with `NotReady`.

use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, TcpListener, UdpSocket};

use valvestage_soak::site_plan::{CALLERS_PER_ZONE, SitePlan, ZONES};

const BALANCERS: usize = 3;
const BACKENDS: usize = 12;

fn plan() -> SitePlan {
    SitePlan::new(BALANCERS, BACKENDS).unwrap()
}

fn is_in_use<T>(result: io::Result<T>) -> bool {
    result.is_err_and(|error| error.kind() == ErrorKind::AddrInUse)
}

/// Guards against ports that are free for another protocol only, and against ports that a socket
/// which is bound to all addresses takes before the balancers start, or while one restarts.
#[test]
fn ports_are_held_with_their_protocol() {
    let plan = plan();

    for port in [plan.ready_port, plan.control_port] {
        assert!(is_in_use(TcpListener::bind((Ipv4Addr::UNSPECIFIED, port))), "{plan:?}");
    }
    for port in [plan.data_port, plan.peer_port] {
        assert!(is_in_use(UdpSocket::bind((Ipv4Addr::UNSPECIFIED, port))), "{plan:?}");
    }
}

#[test]
fn the_addresses_of_the_site_can_bind_the_ports() {
    let plan = plan();

    for number in 0..BALANCERS {
        let ip = plan.balancer(number);
        TcpListener::bind((ip, plan.ready_port)).unwrap();
        TcpListener::bind((ip, plan.control_port)).unwrap();
        UdpSocket::bind((ip, plan.data_port)).unwrap();
        UdpSocket::bind((ip, plan.peer_port)).unwrap();
        UdpSocket::bind((plan.relay(number), plan.peer_port)).unwrap();
    }
    (0..BACKENDS).for_each(|number| drop(UdpSocket::bind(plan.backend(number)).unwrap()));
    for zone in 0..ZONES {
        (0..CALLERS_PER_ZONE)
            .for_each(|number| drop(UdpSocket::bind(plan.caller(zone, number)).unwrap()));
    }
}

/// Guards against two runs of one test process, whose balancers have the same addresses, that get
/// the same port: one that the kernel has chosen is free again once the socket is closed.
#[test]
fn plans_that_exist_at_the_same_time_share_no_port() {
    const PLANS: usize = 100;
    let plans: Vec<_> = (0..PLANS).map(|_| plan()).collect();

    let tcp: BTreeSet<_> = plans.iter().flat_map(|it| [it.ready_port, it.control_port]).collect();
    let udp: BTreeSet<_> = plans.iter().flat_map(|it| [it.data_port, it.peer_port]).collect();
    assert_eq!((tcp.len(), udp.len()), (2 * PLANS, 2 * PLANS));
}
