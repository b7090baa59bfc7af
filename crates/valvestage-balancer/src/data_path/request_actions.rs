//! Executes the actions that the request policy returns.

use std::net::SocketAddr;

use valvestage_core::ids::{BackendId, Incarnation, RequestId, ServiceId};
use valvestage_core::{PacketKind, RefusalReason, Segment};
use valvestage_policy::requests::{Refusal, Request, RequestAction};
use valvestage_wire::{Envelope, Header, Target};

use super::data_handler::DataHandler;
use super::datagrams::Outbound;
use crate::commands::Payload;

impl DataHandler {
    /// Turns all actions into datagrams, and leaves the list of actions empty.
    pub(super) fn perform_actions(
        &self,
        actions: &mut Vec<RequestAction<Payload>>,
        out: &mut Vec<Outbound>,
    ) {
        for action in actions.drain(..) {
            self.perform_action(action, out);
        }
    }

    fn perform_action(&self, action: RequestAction<Payload>, out: &mut Vec<Outbound>) {
        match action {
            RequestAction::Dispatch { backend, incarnation, attempt, deadline, retry, request } => {
                self.metrics.dispatches.inc();
                if let Some(reason) = retry {
                    self.metrics.count_retry(reason);
                }

                let mut header = request_header(&request, PacketKind::Request);
                header.deadline = Some(deadline);
                header.attempt = Some(attempt);
                self.push_request(&request, backend, incarnation, header, out);
            }
            RequestAction::Cancel { backend, incarnation, id, service, attempt, caller } => {
                let mut header = Header::new(PacketKind::Cancel);
                header.request = Some(id);
                header.attempt = Some(attempt);
                let target = Target { service, backend, incarnation };
                self.push_to_target(caller, target, header, &[], out);
            }
            RequestAction::Answer { id, service, caller, segments } => {
                self.metrics.answers.inc();
                self.push_answer(id, service, caller, &segments, out);
            }
            RequestAction::Refuse { id, service, caller, refusal } => {
                self.metrics.count_refusal(refusal.reason);
                self.push_refusal(id, service, caller, refusal, out);
            }
            RequestAction::Relay { peer, hop, request } => {
                let Some(address) = self.service_address(request.service) else {
                    return;
                };
                let header = request_header(&request, PacketKind::Request);
                let envelope = Envelope {
                    caller: request.caller,
                    service: address,
                    header,
                    payload: &request.payload,
                };
                self.push_to_peer(&envelope, peer, hop, out);
            }
        }
    }

    fn push_request(
        &self,
        request: &Request<Payload>,
        backend: BackendId,
        incarnation: Incarnation,
        header: Header,
        out: &mut Vec<Outbound>,
    ) {
        let target = Target { service: request.service, backend, incarnation };

        self.push_to_target(request.caller, target, header, &request.payload, out);
    }

    fn push_to_target(
        &self,
        caller: SocketAddr,
        target: Target,
        mut header: Header,
        payload: &[u8],
        out: &mut Vec<Outbound>,
    ) {
        let history = self.policy.director().history();
        let backend = history.find(target.service, target.backend);
        let (Some(backend), Some(service)) = (backend, self.service_address(target.service)) else {
            self.metrics.count_refusal(RefusalReason::BackendGone);
            return;
        };

        header.target = Some(target);
        self.push(backend.address, &Envelope { caller, service, header, payload }, out);
    }

    fn push_answer(
        &self,
        id: RequestId,
        service: ServiceId,
        caller: SocketAddr,
        segments: &[Payload],
        out: &mut Vec<Outbound>,
    ) {
        let Some(service) = self.service_address(service) else {
            return;
        };
        let count = u16::try_from(segments.len()).unwrap_or(Segment::MAX_COUNT);

        for (index, payload) in (0..count).zip(segments) {
            let mut header = Header::new(PacketKind::Answer);
            header.request = Some(id);
            header.segment = Some(Segment { index, count });
            self.push_to_caller(&Envelope { caller, service, header, payload }, out);
        }
    }

    fn push_refusal(
        &self,
        id: RequestId,
        service: ServiceId,
        caller: SocketAddr,
        refusal: Refusal,
        out: &mut Vec<Outbound>,
    ) {
        let Some(service) = self.service_address(service) else {
            return;
        };

        let mut header = Header::new(PacketKind::Refusal);
        header.request = Some(id);
        header.refusal = Some((refusal.outcome, refusal.reason));
        header.retry_after = Some(refusal.retry_after);
        self.push_to_caller(&Envelope { caller, service, header, payload: &[] }, out);
    }

    fn service_address(&self, service: ServiceId) -> Option<SocketAddr> {
        let configuration = self.policy.director().history().current()?;

        configuration.service(service).map(|service| service.address)
    }
}

fn request_header(request: &Request<Payload>, kind: PacketKind) -> Header {
    let mut header = Header::new(kind);

    header.request = Some(request.id);
    header.deadline = Some(request.deadline);
    header.repeatable = request.repeatable;
    header.class = request.class;
    header
}
