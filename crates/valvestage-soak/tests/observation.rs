//! Receiving observations with a time limit.

use std::time::{Duration, Instant};

use crossbeam_channel::unbounded;
use valvestage_soak::observation::{Observation, ObservedEvent, receive_until};

fn observation() -> Observation {
    Observation { at: Instant::now(), event: ObservedEvent::Altered }
}

#[test]
fn observations_that_arrive_meanwhile_wait_for_the_next_call() {
    const WAITING: usize = 10;
    // Ends the loop of an implementation that drains the queue although new observations keep
    // arriving.
    const GIVE_UP: usize = 1_000;
    let (sender, receiver) = unbounded();
    for _ in 0..WAITING {
        sender.send(observation()).unwrap();
    }

    let mut taken = 0;
    receive_until(&receiver, Instant::now(), |_| {
        taken += 1;
        if taken < GIVE_UP {
            sender.send(observation()).unwrap();
        }
    });
    assert_eq!(taken, WAITING);
    assert_eq!(receiver.len(), WAITING);
}

#[test]
fn observations_before_the_deadline_are_received() {
    let (sender, receiver) = unbounded();
    sender.send(observation()).unwrap();

    let mut taken = 0;
    receive_until(&receiver, Instant::now() + Duration::from_millis(5), |_| taken += 1);
    assert_eq!(taken, 1);
}
