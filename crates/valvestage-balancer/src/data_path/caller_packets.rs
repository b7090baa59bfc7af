//! Handling of caller packets, which arrive from the fabric or are relayed by another balancer.

use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BackendId, BalancerId, Incarnation, ServiceId};
use valvestage_core::{Outcome, PacketKind, RefusalReason};
use valvestage_policy::flows::{Binding, FlowPacket, FlowVerdict, RelayHeader};
use valvestage_policy::requests::Request;
use valvestage_wire::{Envelope, Header, Target};

use super::data_handler::DataHandler;
use super::datagrams::Outbound;

/// Time after which the caller of a refused flow may open it again.
const FLOW_RETRY_AFTER: Duration = Duration::from_millis(500);

impl DataHandler {
    pub(super) fn on_caller_packet(
        &mut self,
        now: SystemTime,
        envelope: &Envelope<'_>,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        // Only balancers and backend servers may set these fields.
        let header = &envelope.header;
        if header.hop.is_some() || header.target.is_some() || header.binding.is_some() {
            return Err(RefusalReason::Malformed);
        }

        self.on_packet(now, envelope, RelayHeader::FIRST, out)
    }

    pub(super) fn on_peer_packet(
        &mut self,
        now: SystemTime,
        envelope: &Envelope<'_>,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        if let (PacketKind::Binding, Some(binding)) =
            (envelope.header.kind, envelope.header.binding)
        {
            self.policy.director_mut().on_binding(now, binding);
            return Ok(());
        }

        let hop = envelope.header.hop.filter(|hop| hop.count > 0);
        let hop = hop.ok_or(RefusalReason::Malformed)?;
        self.on_packet(now, envelope, hop, out)
    }

    fn on_packet(
        &mut self,
        now: SystemTime,
        envelope: &Envelope<'_>,
        hop: RelayHeader,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let configuration = self.policy.director().history().current();
        let configuration = configuration.ok_or(RefusalReason::NoConfiguration)?;
        let service = configuration.service_at(envelope.service);
        let service = service.ok_or(RefusalReason::UnknownService)?;

        match envelope.header.kind {
            PacketKind::Open | PacketKind::Data | PacketKind::Close => {
                self.on_flow_packet(now, envelope, service, hop, out)
            }
            PacketKind::Request => self.on_request(now, envelope, service, hop, out),
            PacketKind::Cancel => self.on_cancel(now, envelope, service, hop, out),
            PacketKind::Answer | PacketKind::Refusal | PacketKind::Binding => {
                Err(RefusalReason::Malformed)
            }
        }
    }

    pub(super) fn on_flow_packet(
        &mut self,
        now: SystemTime,
        envelope: &Envelope<'_>,
        service: ServiceId,
        hop: RelayHeader,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let keys = self.policy.director().keys().ok_or(RefusalReason::NoConfiguration)?;
        let packet = FlowPacket {
            key: keys.hasher().key(envelope.caller, service),
            service,
            opening: envelope.header.kind == PacketKind::Open,
            closing: envelope.header.kind == PacketKind::Close,
            token: envelope.header.token,
            hop,
        };

        match self.policy.on_flow(now, &packet) {
            FlowVerdict::Forward { backend, incarnation, source, reply_with_binding } => {
                self.metrics.count_flow_packet(source);
                self.push_flow_packet(envelope, service, backend, incarnation, out);
                if reply_with_binding {
                    self.push_binding(envelope, Binding { key: packet.key, backend }, out);
                }
            }
            FlowVerdict::Relay { peer, hop } => self.push_to_peer(envelope, peer, hop, out),
            FlowVerdict::Refuse(reason) => {
                self.metrics.count_refusal(reason);
                self.push_flow_refusal(envelope, reason, out);
            }
            FlowVerdict::Drop(reason) => return Err(reason),
        }
        Ok(())
    }

    fn push_flow_packet(
        &self,
        envelope: &Envelope<'_>,
        service: ServiceId,
        backend: BackendId,
        incarnation: Incarnation,
        out: &mut Vec<Outbound>,
    ) {
        let history = self.policy.director().history();
        let Some(record) = history.find(service, backend) else {
            self.metrics.count_refusal(RefusalReason::BackendGone);
            return;
        };

        let mut header = Header::new(envelope.header.kind);
        header.target = Some(Target { service, backend, incarnation });
        self.push(record.address, &Envelope { header, ..*envelope }, out);
    }

    /// Sends a binding that this balancer has as the former home of a flow to the flow's current
    /// home.
    fn push_binding(&self, envelope: &Envelope<'_>, binding: Binding, out: &mut Vec<Outbound>) {
        let home = self.policy.director().view().home(binding.key);
        let Some(address) = home.and_then(|home| self.peer_addresses.get(&home)) else {
            return;
        };

        let mut header = Header::new(PacketKind::Binding);
        header.binding = Some(binding);
        self.push(*address, &Envelope { header, payload: &[], ..*envelope }, out);
    }

    pub(super) fn push_to_peer(
        &self,
        envelope: &Envelope<'_>,
        peer: BalancerId,
        hop: RelayHeader,
        out: &mut Vec<Outbound>,
    ) {
        let Some(address) = self.peer_addresses.get(&peer) else {
            self.metrics.count_refusal(RefusalReason::OwnerUnreachable);
            return;
        };

        let header = Header { hop: Some(hop), ..envelope.header };
        self.metrics.relayed.inc();
        self.push(*address, &Envelope { header, ..*envelope }, out);
    }

    fn push_flow_refusal(
        &self,
        envelope: &Envelope<'_>,
        reason: RefusalReason,
        out: &mut Vec<Outbound>,
    ) {
        let mut header = Header::new(PacketKind::Refusal);
        header.refusal = Some((Outcome::NotRun, reason));
        header.retry_after = Some(FLOW_RETRY_AFTER);

        self.push_to_caller(&Envelope { header, payload: &[], ..*envelope }, out);
    }

    fn on_request(
        &mut self,
        now: SystemTime,
        envelope: &Envelope<'_>,
        service: ServiceId,
        hop: RelayHeader,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let header = &envelope.header;
        let request = Request {
            id: header.request.ok_or(RefusalReason::Malformed)?,
            caller: envelope.caller,
            service,
            deadline: header.deadline.ok_or(RefusalReason::Malformed)?,
            repeatable: header.repeatable,
            class: header.class,
            payload: envelope.payload.to_vec(),
        };

        self.decide(out, |policy, actions| policy.on_request(now, request, hop, actions));
        Ok(())
    }

    fn on_cancel(
        &mut self,
        now: SystemTime,
        envelope: &Envelope<'_>,
        service: ServiceId,
        hop: RelayHeader,
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        let id = envelope.header.request.ok_or(RefusalReason::Malformed)?;

        let caller = envelope.caller;
        let owner =
            self.decide(out, |policy, actions| policy.on_cancel(now, service, id, caller, actions));

        if let Some(owner) = owner.filter(|_| hop.count == 0) {
            let hop = RelayHeader { count: 1, ..hop };
            self.push_to_peer(envelope, owner, hop, out);
        }
        Ok(())
    }
}
