//! Handling of packets from backend servers.

use std::time::{Duration, SystemTime};

use valvestage_core::{PacketKind, RefusalReason, Segment};
use valvestage_policy::flows::{MAX_HOPS, RelayHeader};
use valvestage_policy::requests::BackendReply;
use valvestage_wire::{Envelope, Header, Target};

use super::data_handler::DataHandler;
use super::datagrams::Outbound;

/// Time for which a backend server that has refused a flow at its connection limit gets no new
/// flows.
const CONNECTIONS_FULL_BACKOFF: Duration = Duration::from_secs(1);

impl DataHandler {
    pub(super) fn on_backend_packet(
        &mut self,
        now: SystemTime,
        sender: Target,
        envelope: &Envelope<'_>,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        // The target in the header has to match the record of the source address, so that a backend
        // server cannot answer for another one.
        if envelope.header.target != Some(sender) {
            return Err(RefusalReason::WrongService);
        }

        match envelope.header.kind {
            PacketKind::Open | PacketKind::Data | PacketKind::Close => {
                self.on_backend_flow_packet(sender, envelope, out)
            }
            PacketKind::Answer => self.on_answer(now, sender, envelope, out),
            PacketKind::Refusal if envelope.header.request.is_some() => {
                self.on_request_refused(now, sender, envelope, out)
            }
            PacketKind::Refusal => self.on_flow_refused(now, sender, envelope, out),
            PacketKind::Request | PacketKind::Cancel | PacketKind::Binding => {
                Err(RefusalReason::Malformed)
            }
        }
    }

    fn on_backend_flow_packet(
        &mut self,
        sender: Target,
        envelope: &Envelope<'_>,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let kind = envelope.header.kind;
        let keys = self.policy.director().keys().ok_or(RefusalReason::NoConfiguration)?;
        let key = keys.hasher().key(envelope.caller, sender.service);
        let mut header = Header::new(kind);

        // The answer to the opening packet carries the flow's token.
        if kind == PacketKind::Open {
            let history = self.policy.director().history();
            let backend = history.find(sender.service, sender.backend);
            header.token = backend.and_then(|backend| keys.issue(key, backend));
        }

        self.policy.on_backend_packet(key, sender.backend, kind);
        self.push_to_caller(&Envelope { header, ..*envelope }, out);
        Ok(())
    }

    /// Handles the refusal of a flow. A backend server at its connection limit returns the opening
    /// packet with its payload, and the flow is placed on another backend server.
    fn on_flow_refused(
        &mut self,
        now: SystemTime,
        sender: Target,
        envelope: &Envelope<'_>,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let (_, reason) = envelope.header.refusal.ok_or(RefusalReason::Malformed)?;
        self.metrics.count_refusal(reason);
        if reason != RefusalReason::BackendConnections {
            return Ok(());
        }

        let director = self.policy.director_mut();
        let keys = director.keys().ok_or(RefusalReason::NoConfiguration)?;
        let key = keys.hasher().key(envelope.caller, sender.service);
        director.on_connections_full(key, sender.backend, now + CONNECTIONS_FULL_BACKOFF);

        let header = Header::new(PacketKind::Open);
        let reopening = Envelope { header, ..*envelope };
        let hop = RelayHeader { count: MAX_HOPS, ..RelayHeader::FIRST };
        self.on_flow_packet(now, &reopening, sender.service, hop, out)
    }

    fn on_answer(
        &mut self,
        now: SystemTime,
        sender: Target,
        envelope: &Envelope<'_>,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let reply = read_reply(sender, envelope)?;
        let position = envelope.header.segment.unwrap_or(Segment::WHOLE);
        let payload = envelope.payload.to_vec();

        self.decide(out, |policy, actions| {
            policy.on_answer(now, sender.service, reply, position, payload, actions);
        });
        Ok(())
    }

    fn on_request_refused(
        &mut self,
        now: SystemTime,
        sender: Target,
        envelope: &Envelope<'_>,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let reply = read_reply(sender, envelope)?;
        let (_, reason) = envelope.header.refusal.ok_or(RefusalReason::Malformed)?;
        self.metrics.count_refusal(reason);

        self.decide(out, |policy, actions| {
            policy.on_refused(now, sender.service, reply, reason, actions);
        });
        Ok(())
    }
}

fn read_reply(sender: Target, envelope: &Envelope<'_>) -> Result<BackendReply, RefusalReason> {
    let header = &envelope.header;

    Ok(BackendReply {
        backend: sender.backend,
        id: header.request.ok_or(RefusalReason::Malformed)?,
        attempt: header.attempt.ok_or(RefusalReason::Malformed)?,
    })
}
