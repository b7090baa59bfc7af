//! Tests of requests between two attempts: handovers, and attempts that were cancelled.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use valvestage_core::{
    Backend, BackendState, Configuration, RawConfiguration, RefusalReason, RequestClass, Service,
};
use valvestage_policy::requests::{
    Authority, BackendReply, ExportedState, PoolOptions, Request, RequestAction, RequestOptions,
    ServiceDispatcher,
};

fn start() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn authority() -> Option<Authority> {
    let fence = start() + Duration::from_secs(60);

    Some(Authority { covers_from: UNIX_EPOCH, fence })
}

/// Returns a dispatcher with two backend servers of one slot each.
fn dispatcher() -> ServiceDispatcher<()> {
    let address = |last| SocketAddr::from(([192, 0, 2, last], 7_000));
    let backend = |id: u8| Backend {
        id: id.into(),
        name: format!("backend-{id}"),
        service: 1,
        zone: "zone".to_owned(),
        address: address(id),
        incarnation: 1,
        slots: 1,
        connections: 1,
        weight: 100,
        state: BackendState::Active,
    };
    let raw = RawConfiguration {
        change_id: "first".to_owned(),
        services: vec![Service { id: 1, name: "core".to_owned(), address: address(100) }],
        backends: vec![backend(1), backend(2)],
        stopped_zones: BTreeSet::new(),
    };

    let mut dispatcher =
        ServiceDispatcher::new(1, RequestOptions::default(), PoolOptions::default());
    dispatcher.install(&Configuration::try_from((1, raw)).unwrap(), start());
    dispatcher
}

fn request(id: u128, repeatable: bool) -> Request<()> {
    Request {
        id,
        caller: SocketAddr::from(([198, 18, 0, 1], 1)),
        service: 1,
        deadline: start() + Duration::from_secs(9),
        repeatable,
        class: RequestClass::Urgent,
        payload: (),
    }
}

/// Drains the actions and returns the dispatched attempts, in the form of replies to them.
fn sent(out: &mut Vec<RequestAction<()>>) -> Vec<BackendReply> {
    let attempts = out.drain(..).filter_map(|action| match action {
        RequestAction::Dispatch { backend, attempt, request, .. } => {
            Some(BackendReply { backend, id: request.id, attempt })
        }
        _ => None,
    });

    attempts.collect()
}

#[test]
fn a_request_refused_by_every_attempt_is_run_by_the_next_owner() {
    let (mut former, mut out) = (dispatcher(), Vec::new());
    let now = start();
    for id in [1, 2] {
        former.accept(now, request(id, false), authority(), &mut out);
    }
    let attempts = sent(&mut out);

    // The first attempt is refused, and its request waits because the other backend server is busy.
    let refused = attempts[0];
    former.on_refused(now, refused, RefusalReason::BackendShedding, authority(), &mut out);
    assert!(sent(&mut out).is_empty());
    let handed = former.start_handover();
    let states: Vec<_> = handed.iter().map(|claim| &claim.state).collect();
    assert_eq!(states, [&ExportedState::Waiting, &ExportedState::Running]);

    // Only the next owner has the waiting request now.
    former.complete_handover();
    assert!(former.claim(refused.id).is_none());
    let mut next = dispatcher();
    next.import(now, handed);
    next.tick(now, authority(), &mut out);
    let attempts = sent(&mut out);
    assert_eq!(attempts.iter().map(|reply| reply.id).collect::<Vec<_>>(), [refused.id]);
}

#[test]
fn a_repeatable_request_that_waits_for_a_retry_stays_and_gets_it() {
    let (mut former, mut out) = (dispatcher(), Vec::new());
    for id in [1, 2] {
        former.accept(start(), request(id, true), authority(), &mut out);
    }
    let attempts = sent(&mut out);

    // Both attempts time out, and no other backend server has a free slot.
    let later = start() + Duration::from_secs(1);
    former.tick(later, authority(), &mut out);
    assert!(sent(&mut out).is_empty());
    former.start_handover();
    former.complete_handover();

    // The second request is answered, which frees a slot for the retry of the first.
    let place = valvestage_core::Segment::WHOLE;
    former.on_answer(later, attempts[1], place, (), None, &mut out);
    let again = sent(&mut out);
    assert_eq!(again.iter().map(|reply| (reply.id, reply.attempt)).collect::<Vec<_>>(), [(1, 2)]);
}

#[test]
fn a_request_whose_attempt_was_cancelled_is_not_run_again_and_is_in_doubt() {
    let (mut dispatcher, mut out) = (dispatcher(), Vec::new());
    dispatcher.accept(start(), request(1, false), authority(), &mut out);
    let attempts = sent(&mut out);

    // A cancelled attempt had been started by the backend server.
    dispatcher.on_refused(start(), attempts[0], RefusalReason::Cancelled, authority(), &mut out);

    let [RequestAction::Refuse { refusal, .. }] = &out[..] else { panic!("{out:?}") };
    assert_eq!(refusal.outcome, valvestage_core::Outcome::InDoubt);
}
