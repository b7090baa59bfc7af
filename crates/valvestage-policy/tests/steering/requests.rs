//! Load of requests on one flow each, with one backend server that answers differently.

use std::time::Instant;

use valvestage_policy::steering::{
    BackendDirectory, FlowAddresses, Knowledge, PacketVerdict, SteeringPolicy,
};

use crate::fixtures::{OWN_ZONE, backend, data, flow, knowledge, millis, opening, start};

/// The backend server that answers differently.
const BAD: u64 = 1;

/// Number of backend servers, including the bad one.
const SERVERS: u64 = 5;

/// Number of requests, of which the second half is counted.
const REQUESTS: u16 = 400;

/// Size of the answers of backend servers.
pub struct FixedAnswers {
    /// Bytes of an answer of a good backend server.
    pub usual: u32,
    /// Bytes of an answer of the bad backend server; 0 if callers give up without an answer.
    pub at_bad: u32,
}

/// Distribution of the requests over backend servers.
#[derive(Debug)]
pub struct RequestRun {
    /// Requests of the second half that went to the bad backend server.
    pub at_bad_late: usize,
    /// An even share of the second half.
    pub per_server_late: usize,
}

impl RequestRun {
    /// Sends a request every 10 ms, and returns where they went.
    pub fn play(mut policy: SteeringPolicy, answers: FixedAnswers) -> Self {
        let servers: Vec<_> = (1..=SERVERS).map(|id| backend(id, "core", OWN_ZONE)).collect();
        let known = knowledge(&servers);
        let began = start();
        let mut at_bad_late = 0;

        for number in 0..REQUESTS {
            let now = began + millis(u64::from(number) * 10);
            policy.judge_overdue(&known, now);
            let instance = play_one(&mut policy, &known, flow(number + 1), &answers, now);
            at_bad_late += usize::from(instance == BAD && number >= REQUESTS / 2);
        }
        let per_server_late = usize::from(REQUESTS / 2) / usize::try_from(SERVERS).unwrap();
        Self { at_bad_late, per_server_late }
    }
}

/// Plays one request, from its opening packet to the last packet of the caller. The answer comes at
/// once, so that all backend servers stay equally busy.
fn play_one(
    policy: &mut SteeringPolicy,
    known: &Knowledge,
    flow: FlowAddresses,
    answers: &FixedAnswers,
    now: Instant,
) -> u64 {
    let verdict = policy.on_packet(known, &opening(flow, 0), now);
    let PacketVerdict::Forward { instance, .. } = verdict else { panic!("{verdict:?}") };
    let token = BackendDirectory::token_of(instance);
    policy.on_packet(known, &data(flow, token, 1_001, 100, 500), now + millis(1));

    let bytes = if instance == BAD { answers.at_bad } else { answers.usual };
    let mut last = data(flow, token, 1_101, 0, 500 + bytes);
    last.closing = true;
    policy.on_packet(known, &last, now + millis(4));
    instance
}
