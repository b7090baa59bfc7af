//! Guards against resets of open flows by a balancer whose own link loses what it sends.
//!
//! Callers of a living backend server then miss answers, as many of them as there are, and the
//! questions to other balancers are lost on the same link, so that nobody refutes the conclusion
//! that the backend server is dead: all its open flows at that balancer were reset.

use valvestage_policy::steering::{
    BackendDirectory, CallerPacket, EntryPolicy, FlowAddresses, PacketVerdict,
};

use crate::deployment::Deployment;
use crate::fixtures::{OWN_ZONE, address, backend, data, millis, opening, routes, service_address};

/// The only backend server.
const SERVER: u64 = 1;

/// Callers that send requests, and those whose flows rest.
const ACTIVE: [u8; 4] = [21, 22, 23, 24];
const RESTING: [u8; 3] = [31, 32, 33];

/// Times of a request and its retransmissions in milliseconds.
const TRANSMISSIONS_MS: [u64; 4] = [0, 200, 600, 1_400];

/// Time between the requests of two callers in milliseconds.
const SPREAD_MS: u64 = 7;

/// Time until an answer is acknowledged in milliseconds.
const ANSWER_MS: u64 = 20;

fn flow_of(caller: u8) -> FlowAddresses {
    FlowAddresses { caller: address(caller, 10_000), service: service_address(443) }
}

/// Returns a packet of a caller on its open flow.
fn packet(caller: u8, sequence: u32, length: u32, acknowledged: u32) -> CallerPacket {
    data(flow_of(caller), BackendDirectory::token_of(SERVER), sequence, length, acknowledged)
}

/// What happens while all active callers send a request.
#[derive(Clone, Copy)]
struct Trouble {
    /// Until when the balancer's link loses what it sends, in milliseconds.
    link_fails_until: u64,
    /// Whether the backend server is dead.
    is_dead: bool,
}

/// Several balancers, one of which serves the open flows of some callers.
struct Site {
    deployment: Deployment,
    node: usize,
}

impl Site {
    fn new(balancers: usize) -> Self {
        let mut deployment = Deployment::new(balancers);
        deployment.store.put_routes(routes(3, &[(443, "core")]));
        deployment.store.put_backend(backend(SERVER, "core", OWN_ZONE));
        deployment.run(millis(4_000));
        let mut site = Self { deployment, node: balancers - 1 };

        for caller in ACTIVE.into_iter().chain(RESTING) {
            site.send(opening(flow_of(caller), 0));
            site.send(packet(caller, 1_001, 100, 501));
            site.run_ms();
            site.send(packet(caller, 1_101, 0, 801));
        }
        site.deployment.run(millis(1_000));
        assert_eq!(site.run_ms(), 0);
        site
    }

    fn policy(&mut self) -> &mut EntryPolicy {
        self.deployment.nodes[self.node].as_mut().expect("the balancer runs")
    }

    /// Sends a packet, and returns the number of resets that answer it.
    fn send(&mut self, packet: CallerPacket) -> usize {
        let now = self.deployment.now;
        let verdict = self.policy().on_packet(&packet, now);

        usize::from(matches!(verdict, PacketVerdict::Reset(_)))
    }

    /// Lets a millisecond pass, and returns the number of resets in it.
    fn run_ms(&mut self) -> usize {
        self.deployment.run(millis(1));

        self.policy().take_resets().len()
    }

    /// Lets all active callers send a request, and returns the times of the resets in milliseconds.
    fn play(&mut self, trouble: Trouble) -> Vec<u64> {
        let mut resets = Vec::new();
        let mut answered_at = [None; ACTIVE.len()];

        for now in 0..TRANSMISSIONS_MS[3] + 400 {
            let link_fails = now < trouble.link_fails_until;
            self.deployment.disconnected_outbound = Vec::from_iter(link_fails.then_some(self.node));
            let mut count = 0;
            for (place, caller) in ACTIVE.into_iter().enumerate() {
                let offset = SPREAD_MS * u64::try_from(place).unwrap();
                let is_sent = TRANSMISSIONS_MS.iter().any(|at| at + offset == now);
                if answered_at[place] == Some(now) {
                    count += self.send(packet(caller, 1_201, 0, 1_101));
                } else if is_sent && answered_at[place].is_none() && resets.is_empty() {
                    count += self.send(packet(caller, 1_101, 100, 801));
                    let is_answered = !link_fails && !trouble.is_dead;
                    answered_at[place] = is_answered.then_some(now + ANSWER_MS);
                }
            }
            count += self.run_ms();
            resets.extend(std::iter::repeat_n(now + 1, count));
        }
        resets
    }
}

/// Guards against resets when the link of one balancer loses everything that it sends for a while.
#[test]
fn a_balancer_whose_link_loses_what_it_sends_resets_no_open_flow() {
    for link_fails_until in [150, 300, 450, 580, 700, 1_000, 1_300] {
        let mut site = Site::new(6);

        let resets = site.play(Trouble { link_fails_until, is_dead: false });
        assert_eq!(resets, [], "{link_fails_until} ms");
    }
}

/// Guards against a later end of the flows of a dead backend server because the link is checked.
#[test]
fn a_dead_backend_server_is_known_as_soon_as_before() {
    for balancers in [1, 6] {
        let resets = Site::new(balancers).play(Trouble { link_fails_until: 0, is_dead: true });

        assert_eq!(resets.len(), ACTIVE.len() + RESTING.len(), "{balancers} balancers");
        // The third caller's first retransmission, and the time for refutations.
        let known_at = TRANSMISSIONS_MS[1] + 2 * SPREAD_MS + 200;
        assert!(resets.iter().all(|at| (known_at..known_at + 110).contains(at)), "{resets:?}");
    }
}

/// Guards against a dead backend server that stays unknown after the link of the balancer has failed:
/// the next retransmissions show it.
#[test]
fn a_dead_backend_server_is_known_after_the_link_has_failed() {
    let resets = Site::new(6).play(Trouble { link_fails_until: 450, is_dead: true });

    assert_eq!(resets.len(), ACTIVE.len() + RESTING.len());
    let known_at = TRANSMISSIONS_MS[2] + 200;
    assert!(resets.iter().all(|at| (known_at..known_at + 150).contains(at)), "{resets:?}");
}
