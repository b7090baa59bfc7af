//! Backend servers of the request model.

use std::collections::BTreeMap;

use valvestage_core::ids::{Attempt, BackendId, RequestId};
use valvestage_core::{Backend, RefusalReason};
use valvestage_policy::requests::BackendReply;

use super::model::Model;
use super::model_event::Event;

/// A simulated backend server with its running requests and injected faults.
pub(super) struct SimulatedServer {
    pub(super) record: Backend,
    pub(super) running: BTreeMap<(RequestId, Attempt), ()>,
    pub(super) slow_factor: u32,
    pub(super) is_shedding: bool,
    pub(super) is_cut: bool,
    /// Sum of busy slots over the samples of the current window of one second.
    pub(super) busy_sum: u32,
}

impl Model<'_> {
    pub(super) fn deliver_to_backend(
        &mut self,
        dispatcher: usize,
        backend: BackendId,
        id: RequestId,
        attempt: Attempt,
    ) {
        let after = self.backend_delay(dispatcher, backend);
        let reply = BackendReply { backend, id, attempt };
        let Some(server) = self.servers.get_mut(&backend).filter(|server| !server.is_cut) else {
            return;
        };

        if server.is_shedding || server.running.len() >= usize::from(server.record.slots) {
            self.measures.shed += 1;
            let reason = RefusalReason::BackendShedding;
            self.schedule(after, Event::Refusal { dispatcher, reply, reason });
            return;
        }
        server.running.insert((id, attempt), ());
        let run_time = self.pending[&id].run_time * server.slow_factor;
        self.schedule(run_time, Event::CompleteRun { dispatcher, backend, id, attempt });
    }

    pub(super) fn complete_run(
        &mut self,
        dispatcher: usize,
        backend: BackendId,
        id: RequestId,
        attempt: Attempt,
    ) {
        let after = self.backend_delay(dispatcher, backend);
        let Some(server) = self.servers.get_mut(&backend) else {
            return;
        };

        if server.running.remove(&(id, attempt)).is_some() && !server.is_cut {
            let reply = BackendReply { backend, id, attempt };
            self.schedule(after, Event::Answer { dispatcher, reply });
        }
    }

    /// Stops a run at its backend server, which frees the slot and reports the cancellation.
    pub(super) fn cancel_run(
        &mut self,
        dispatcher: usize,
        backend: BackendId,
        id: RequestId,
        attempt: Attempt,
    ) {
        let after = self.backend_delay(dispatcher, backend);
        let Some(server) = self.servers.get_mut(&backend).filter(|server| !server.is_cut) else {
            return;
        };

        if server.running.remove(&(id, attempt)).is_some() {
            let reply = BackendReply { backend, id, attempt };
            let reason = RefusalReason::Cancelled;
            self.schedule(after, Event::Refusal { dispatcher, reply, reason });
        }
    }
}
