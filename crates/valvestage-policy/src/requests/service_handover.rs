//! Ownership changes of one service: export and import of its claims.

use std::time::SystemTime;

use valvestage_core::time::Deadline;

use super::exported_claim::ExportedClaim;
use super::request::Request;
use super::service_dispatcher::ServiceDispatcher;
use super::wait_queue::WaitEntry;

impl<P: Clone> ServiceDispatcher<P> {
    /// Exports the claims for the next owner, and holds new requests back until the handover is
    /// completed or aborted.
    pub fn start_handover(&mut self) -> Vec<ExportedClaim<P>> {
        self.held_requests.get_or_insert_default();

        self.claims.iter().map(ExportedClaim::from).collect()
    }

    /// Drops the waiting requests, which the next owner runs, and returns the requests held back
    /// since the start of the handover, which are to be relayed to the next owner.
    ///
    /// A request that may be running stays here until it is answered, and keeps its place in the
    /// queue if it waits for a retry.
    pub fn complete_handover(&mut self) -> Vec<Request<P>> {
        let mut staying = Vec::new();

        while let Some(entry) = self.queue.pop() {
            let Some(claim) = self.claims.get(entry.id) else {
                continue;
            };
            if claim.can_be_run_by_next_owner() {
                self.claims.remove(entry.id);
            } else {
                staying.push((claim.request.class, entry));
            }
        }

        for (class, entry) in staying {
            self.queue.push(class, entry);
        }
        self.held_requests.take().unwrap_or_default()
    }

    /// Keeps the service here, and returns the requests held back, which are to be accepted.
    pub fn abort_handover(&mut self) -> Vec<Request<P>> {
        self.held_requests.take().unwrap_or_default()
    }

    /// Imports the claims of the previous owner, and queues the waiting requests to run them here.
    pub fn import(&mut self, now: SystemTime, exported: Vec<ExportedClaim<P>>) {
        for claim in exported {
            let deadline: Deadline = claim.request.deadline;
            let class = claim.request.class;
            let id = claim.request.id;
            if self.claims.get(id).is_some() || deadline <= now {
                continue;
            }

            let (claim, waits) = claim.into_claim(deadline + self.options.slot_grace);
            self.claims.insert(claim, deadline);
            if waits {
                self.queue.push(class, WaitEntry { id, enqueued_at: now });
            }
        }
    }
}
