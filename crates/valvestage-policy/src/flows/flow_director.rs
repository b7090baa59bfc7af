//! Decision for each flow packet.

use std::sync::Arc;
use std::time::SystemTime;

use valvestage_core::ids::{BackendId, BalancerId, FlowKey, ObjectVersion, ServiceId};
use valvestage_core::time::to_unix_millis;
use valvestage_core::{Backend, Configuration, RefusalReason};

use super::backend_availability::BackendAvailability;
use super::configuration_history::ConfigurationHistory;
use super::flow_options::{FlowLayers, FlowOptions};
use super::flow_packet::{
    Binding, FlowPacket, FlowSource, FlowVerdict, MAX_HOPS, RelayHeader, RelayPurpose,
};
use super::flow_table::{FlowEntry, FlowTable};
use super::placement::place;
use super::token_keys::{TokenKeys, TokenVerdict};
use crate::membership::LiveView;

/// Number of former views searched for the previous home of a flow.
const KEPT_VIEWS: usize = 3;

/// Decides which backend server or peer each flow packet goes to.
#[derive(Debug)]
pub struct FlowDirector {
    own: BalancerId,
    layers: FlowLayers,
    table: FlowTable,
    history: ConfigurationHistory,
    keys: Option<TokenKeys>,
    view: LiveView,
    /// Views before the present one, newest first; at most [`KEPT_VIEWS`].
    former_views: Vec<LiveView>,
    availability: BackendAvailability,
}

impl FlowDirector {
    /// Creates a director without a configuration, a view or token keys.
    #[must_use]
    pub fn new(own: BalancerId, options: FlowOptions) -> Self {
        Self {
            own,
            layers: options.layers,
            table: FlowTable::with_capacity(options.expected_flows),
            history: ConfigurationHistory::default(),
            keys: None,
            view: LiveView::default(),
            former_views: Vec::new(),
            availability: BackendAvailability::default(),
        }
    }

    /// Returns the verdict for a packet.
    pub fn decide(&mut self, now: SystemTime, packet: &FlowPacket) -> FlowVerdict {
        if self.history.current().is_none() {
            return FlowVerdict::Refuse(RefusalReason::NoConfiguration);
        }

        // Layer 1: the token needs no state.
        if let Some(verdict) = self.decide_by_token(packet) {
            return verdict;
        }

        // Layer 2: the home balancer's table is authoritative.
        if let Some(verdict) = self.relay_to_home(packet) {
            return verdict;
        }
        if let Some(verdict) = self.decide_by_table(now, packet) {
            return verdict;
        }
        if let Some(verdict) = self.relay_to_former_home(packet) {
            return verdict;
        }

        // Layer 3: placement.
        self.decide_by_placement(now, packet)
    }

    fn decide_by_token(&self, packet: &FlowPacket) -> Option<FlowVerdict> {
        let token = packet.token.filter(|_| self.layers.token)?;
        let keys = self.keys.as_ref()?;

        match keys.check(packet.key, &token) {
            TokenVerdict::Valid => {}
            // The key was rotated out: the other layers decide.
            TokenVerdict::UnknownKey => return None,
            TokenVerdict::Forged => return Some(FlowVerdict::Refuse(RefusalReason::BadToken)),
        }
        if token.service != packet.service {
            return Some(FlowVerdict::Refuse(RefusalReason::WrongService));
        }

        let found = self.history.find_incarnation(token.service, token.backend, token.incarnation);
        Some(match found {
            Some(backend) => forward(backend, FlowSource::Token, false),
            None => FlowVerdict::Refuse(RefusalReason::BackendGone),
        })
    }

    fn relay_to_home(&self, packet: &FlowPacket) -> Option<FlowVerdict> {
        let for_former_home = packet.hop.purpose == RelayPurpose::FormerHome;
        if !self.layers.home || for_former_home || packet.hop.count >= MAX_HOPS {
            return None;
        }

        let peer = self.view.home(packet.key).filter(|home| *home != self.own)?;
        Some(self.relay(packet, peer, RelayPurpose::Home))
    }

    fn decide_by_table(&mut self, now: SystemTime, packet: &FlowPacket) -> Option<FlowVerdict> {
        let entry = self.table.get(packet.key, unix_seconds(now))?;
        let reply_with_binding = packet.hop.purpose == RelayPurpose::FormerHome;

        if packet.closing {
            self.table.remove(packet.key);
        }

        let found = self.find(packet.service, entry.backend);
        match found {
            // The caller opens the flow again after its backend server was removed or became
            // unusable.
            _ if packet.opening && !found.is_some_and(|b| self.availability.is_usable(b, now)) => {
                self.table.remove(packet.key);
                None
            }
            Some(backend) => Some(forward(backend, FlowSource::Table, reply_with_binding)),
            None => Some(FlowVerdict::Refuse(RefusalReason::BackendGone)),
        }
    }

    fn relay_to_former_home(&self, packet: &FlowPacket) -> Option<FlowVerdict> {
        let is_binding_request = packet.hop.purpose == RelayPurpose::FormerHome;
        if !self.layers.former_home
            || is_binding_request
            || packet.opening
            || packet.hop.count >= MAX_HOPS
        {
            return None;
        }

        // A balancer that is leaving is not a member of the view any more, but still answers.
        let former = self
            .former_views
            .iter()
            .filter_map(|view| view.home(packet.key))
            .find(|home| *home != self.own && self.view.is_reachable(*home))?;
        Some(self.relay(packet, former, RelayPurpose::FormerHome))
    }

    fn decide_by_placement(&mut self, now: SystemTime, packet: &FlowPacket) -> FlowVerdict {
        let Some(configuration) = self.history.current().cloned() else {
            return FlowVerdict::Refuse(RefusalReason::NoConfiguration);
        };

        let source = if packet.opening { FlowSource::Placement } else { FlowSource::History };
        let placed = if packet.opening {
            self.place_new_flow(now, &configuration, packet)
        } else {
            place(&configuration, packet.service, packet.key, |_| true)
        };
        let Some(backend) = placed.and_then(|id| configuration.backend(id)) else {
            let has_any = !configuration.eligible(packet.service).is_empty();
            let reason =
                if has_any { RefusalReason::ConnectionsFull } else { RefusalReason::NoBackend };
            return FlowVerdict::Refuse(reason);
        };

        if self.layers.table && !packet.closing {
            let entry = FlowEntry { backend: backend.id, last_seen: unix_seconds(now) };
            self.table.insert(packet.key, entry);
        }

        if packet.opening {
            self.availability.on_opening(backend.id, now);
        }
        forward(backend, source, packet.hop.purpose == RelayPurpose::FormerHome)
    }

    fn place_new_flow(
        &self,
        now: SystemTime,
        configuration: &Configuration,
        packet: &FlowPacket,
    ) -> Option<BackendId> {
        let is_usable = |id| {
            configuration
                .backend(id)
                .is_some_and(|backend| self.availability.is_usable(backend, now))
        };

        // If all backend servers with free connections are silent or in zones without a live
        // balancer, choose by hash among them.
        let has_room = |id| !self.availability.is_full(id, now);
        place(configuration, packet.service, packet.key, is_usable)
            .or_else(|| place(configuration, packet.service, packet.key, has_room))
    }

    fn relay(&self, packet: &FlowPacket, peer: BalancerId, purpose: RelayPurpose) -> FlowVerdict {
        let hop =
            RelayHeader { count: packet.hop.count + 1, purpose, view_epoch: self.view.epoch() };

        FlowVerdict::Relay { peer, hop }
    }

    fn find(&self, service: ServiceId, id: BackendId) -> Option<&Backend> {
        if !self.layers.service_check {
            return self.history.current().and_then(|configuration| configuration.backend(id));
        }

        self.history.find(service, id)
    }

    /// Records that a backend server refused a flow for its connection limit, and removes the
    /// binding, so that the opening packet, which comes back with the refusal, is placed again.
    pub fn on_connections_full(&mut self, key: FlowKey, backend: BackendId, until: SystemTime) {
        self.availability.on_full(backend, until);

        if self.table.get(key, 0).is_some_and(|entry| entry.backend == backend) {
            self.table.remove(key);
        }
    }

    /// Records a packet from a backend server.
    #[inline]
    pub fn on_packet_from(&mut self, backend: BackendId) {
        self.availability.on_packet_from(backend);
    }

    /// Removes a flow that its backend server closed.
    pub fn on_closed(&mut self, key: FlowKey) {
        self.table.remove(key);
    }

    /// Inserts a binding from another balancer, unless the flow is bound already.
    pub fn on_binding(&mut self, now: SystemTime, binding: Binding) {
        let entry = FlowEntry { backend: binding.backend, last_seen: unix_seconds(now) };

        self.table.insert_if_absent(binding.key, entry);
    }

    /// Puts a newer configuration in force. Returns whether it was put in force.
    pub fn install_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let is_newer = self.history.install(configuration, self.layers.newest_only);

        self.update_lost_zones();
        is_newer
    }

    fn update_lost_zones(&mut self) {
        let Some(configuration) = self.history.current() else {
            return;
        };

        let lost = self.view.lost_zones(configuration);
        self.availability.set_lost_zones(lost);
    }

    /// Puts newer token keys in force. Returns whether they were newer.
    pub fn install_keys(&mut self, keys: TokenKeys) -> bool {
        if self.keys.as_ref().is_some_and(|known| known.version >= keys.version) {
            return false;
        }

        self.keys = Some(keys);
        true
    }

    /// Replaces the view of live balancers. Returns whether it differs from the former one.
    pub fn install_view(&mut self, view: LiveView) -> bool {
        if view == self.view {
            return false;
        }

        let former = std::mem::replace(&mut self.view, view);
        self.update_lost_zones();
        self.former_views.insert(0, former);
        self.former_views.truncate(KEPT_VIEWS);
        true
    }

    /// Returns the bindings of all flows in the table, for work outside of the data path.
    #[must_use]
    pub fn bindings(&self) -> Vec<Binding> {
        self.table.iter().map(|(key, entry)| Binding { key, backend: entry.backend }).collect()
    }

    /// Removes flows without a packet since a time, and returns how many were removed.
    pub fn drop_idle(&mut self, seen_before: SystemTime) -> usize {
        self.table.drop_idle(unix_seconds(seen_before))
    }

    /// Returns the table of flows that this balancer is home of.
    #[must_use]
    pub fn table(&self) -> &FlowTable {
        &self.table
    }

    /// Returns the kept configuration versions.
    #[must_use]
    pub fn history(&self) -> &ConfigurationHistory {
        &self.history
    }

    /// Returns the present view of live balancers.
    #[must_use]
    pub fn view(&self) -> &LiveView {
        &self.view
    }

    /// Returns the token keys, or `None` before the first are installed.
    #[must_use]
    pub fn keys(&self) -> Option<&TokenKeys> {
        self.keys.as_ref()
    }

    /// Returns the configuration version in force, or 0 before the first.
    #[must_use]
    pub fn version_in_force(&self) -> ObjectVersion {
        self.history.version()
    }
}

fn forward(backend: &Backend, source: FlowSource, reply_with_binding: bool) -> FlowVerdict {
    FlowVerdict::Forward {
        backend: backend.id,
        incarnation: backend.incarnation,
        source,
        reply_with_binding,
    }
}

fn unix_seconds(time: SystemTime) -> u32 {
    u32::try_from(to_unix_millis(time) / 1_000).unwrap_or(u32::MAX)
}
