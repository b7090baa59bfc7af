//! Memory and time of claims at the owner of a service, by the number of claims held.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use valvestage_core::{RequestClass, Segment};
use valvestage_policy::requests::{
    Authority, BackendReply, PoolOptions, Request, RequestAction, RequestOptions, ServiceDispatcher,
};

use crate::deployment::{backend, configuration};
use crate::table::Table;

/// Payload bytes of a request and of its answer.
const REQUEST_BYTES: usize = 200;
const ANSWER_BYTES: usize = 1_000;

/// Prints memory per claim and time per request, by the number of claims held.
pub fn print_table() {
    let mut table = Table::new(&[
        "answered claims held",
        "bytes a claim (200 B request, 1,000 B answer)",
        "µs a request, from acceptance to answer",
    ]);

    // All dispatchers stay alive: a dispatcher that reused the memory of a dropped one would show
    // too little growth.
    let mut dispatchers = Vec::new();
    for claims in [25_000, 50_000, 100_000] {
        let (bytes, micros, dispatcher) = measure(claims);
        dispatchers.push(dispatcher);
        table.add_row(&[claims.to_string(), format!("{bytes:.0}"), format!("{micros:.2}")]);
    }
    table.print("Claims at the owner of a service");
}

fn measure(claims: usize) -> (f64, f64, ServiceDispatcher<Vec<u8>>) {
    let records = (1..=14).map(|id| backend(id, 1, 3, 3)).collect();
    let now = SystemTime::now();
    let mut dispatcher: ServiceDispatcher<Vec<u8>> =
        ServiceDispatcher::new(1, RequestOptions::default(), PoolOptions::default());
    dispatcher.install(&configuration(1, 1, records), now);
    let authority = Some(Authority {
        covers_from: SystemTime::UNIX_EPOCH,
        fence: now + Duration::from_secs(60),
    });

    let before = resident_bytes();
    let began = Instant::now();
    let mut out = Vec::new();
    for number in 0..claims {
        let request = Request {
            id: number as u128,
            caller: SocketAddr::from(([198, 18, 0, 1], 1)),
            service: 1,
            deadline: now + Duration::from_secs(9),
            repeatable: false,
            class: RequestClass::Urgent,
            payload: vec![0; REQUEST_BYTES],
        };
        dispatcher.accept(now, request, authority, &mut out);
        for action in std::mem::take(&mut out) {
            if let RequestAction::Dispatch { backend, attempt, request, .. } = action {
                let reply = BackendReply { backend, id: request.id, attempt };
                let answer = vec![0; ANSWER_BYTES];
                dispatcher.on_answer(now, reply, Segment::WHOLE, answer, authority, &mut out);
            }
        }
        out.clear();
    }
    let spent = began.elapsed();
    let growth = resident_bytes().saturating_sub(before);

    #[allow(clippy::cast_precision_loss)]
    let (bytes, count) = (growth as f64, claims as f64);
    (bytes / count, spent.as_secs_f64() * 1e6 / count, dispatcher)
}

/// Returns the resident memory of this process, from the second field of /proc/self/statm, which
/// counts pages.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());

    pages.unwrap_or(0) * PAGE_BYTES
}
