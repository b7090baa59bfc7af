//! The change of owners, as the requests of one service go through it.

use std::time::SystemTime;

use valvestage_core::time::Deadline;

use super::handover::HandedClaim;
use super::request::Request;
use super::service_dispatcher::ServiceDispatcher;
use super::wait_queue::WaitEntry;

impl<P: Clone> ServiceDispatcher<P> {
    /// `start_handover` copies the claims for the next owner, and holds new work back until the
    /// handover is settled.
    pub fn start_handover(&mut self) -> Vec<HandedClaim<P>> {
        self.held.get_or_insert_default();

        self.claims.iter().map(HandedClaim::from).collect()
    }

    /// `complete_handover` leaves what waits to the next owner, and gives the requests that came
    /// since, to be relayed to it.
    ///
    /// What may be running stays here until it is answered, and keeps its place in the queue if it
    /// waits for another try.
    pub fn complete_handover(&mut self) -> Vec<Request<P>> {
        let mut staying = Vec::new();

        while let Some(entry) = self.queue.pop() {
            let Some(claim) = self.claims.get(entry.id) else {
                continue;
            };
            if claim.may_be_run_elsewhere() {
                self.claims.remove(entry.id);
            } else {
                staying.push((claim.request.class, entry));
            }
        }

        for (class, entry) in staying {
            self.queue.push(class, entry);
        }
        self.held.take().unwrap_or_default()
    }

    /// `abort_handover` goes on as before, and gives the requests held back, to be accepted.
    pub fn abort_handover(&mut self) -> Vec<Request<P>> {
        self.held.take().unwrap_or_default()
    }

    /// `import` takes over the claims of the former owner; waiting ones run here.
    pub fn import(&mut self, now: SystemTime, handed: Vec<HandedClaim<P>>) {
        for claim in handed {
            let deadline: Deadline = claim.request.deadline;
            let class = claim.request.class;
            let id = claim.request.id;
            if self.claims.get(id).is_some() || deadline <= now {
                continue;
            }

            let (claim, waits) = claim.into_claim(deadline + self.options.slot_grace);
            self.claims.insert(claim, deadline);
            if waits {
                self.queue.push(class, WaitEntry { id, since: now });
            }
        }
    }
}
