//! Backend servers: they answer what they hold, and keep their entries.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::{BackendEntry, BackendName, BackendPhase};

use crate::events::{FlowNumber, Millis};
use crate::site::{SERVICES, ZONES};

/// Time between two writes of an entry, and silence after which it lapses.
pub const BEAT_MS: Millis = 770;
pub const LAPSE_MS: Millis = 3 * BEAT_MS;

/// Time that one serves on after it said that it leaves.
pub const LEAVES_AFTER: Millis = 5_000;

/// Time of one request.
pub const WORK_MS: Millis = 40;

/// A flow at a backend server.
#[derive(Debug, Default)]
pub struct HeldFlow {
    pub is_open: bool,
    /// Number after the last byte that came.
    pub received: u32,
    pub is_working: bool,
    /// The token of the last packet.
    pub token: u32,
}

/// `Backend` is one incarnation.
pub struct Backend {
    pub instance: InstanceId,
    pub name: BackendName,
    /// Another one that has started under its name.
    pub heir: Option<InstanceId>,
    /// When the store first had its entry, if it started under the name of another one.
    pub born_at: Option<Millis>,
    pub service: usize,
    pub zone: usize,
    pub address: SocketAddrV4,
    pub has_ended: bool,
    pub silent_until: Millis,
    /// When it said that it leaves.
    pub drains_since: Option<Millis>,
    /// When the store took that, unless it lost it.
    pub drain_stored_at: Option<Millis>,
    pub flows: BTreeMap<FlowNumber, HeldFlow>,
    /// Until when it bears little, if it has started during traffic.
    pub cold_until: Option<Millis>,
    /// Opening packets that it took while it was cold: when they were sent, and when they arrived.
    pub cold_openings: Vec<(Millis, Millis)>,
    /// When it last wrote its entry.
    pub last_beat: Millis,
    /// Whether another one comes in its place, with those that ended together with it.
    pub comes_back: bool,
    /// When something last happened to it.
    pub disturbed_at: Millis,
}

impl Backend {
    pub fn new(instance: InstanceId, service: usize, zone: usize, address: SocketAddrV4) -> Self {
        Self {
            instance,
            name: name_of(instance),
            heir: None,
            born_at: None,
            service,
            zone,
            address,
            has_ended: false,
            silent_until: 0,
            drains_since: None,
            drain_stored_at: None,
            flows: BTreeMap::new(),
            cold_until: None,
            cold_openings: Vec::new(),
            last_beat: 0,
            comes_back: false,
            disturbed_at: 0,
        }
    }

    pub fn is_silent(&self, now: Millis) -> bool {
        self.silent_until > now
    }

    /// What it writes, at a place where times are counted from an instant.
    pub fn entry(&self, base: Instant) -> BackendEntry {
        let phase =
            if self.drains_since.is_some() { BackendPhase::Draining } else { BackendPhase::Ready };

        BackendEntry {
            instance: self.instance,
            name: self.name,
            position: StorePosition::START,
            service: SERVICES[self.service].to_owned(),
            address: self.address,
            zone: ZONES[self.zone].to_owned(),
            slots: 2,
            cold_until: self.cold_until.map(|at| base + Duration::from_millis(at)),
            phase,
            missing_until: None,
        }
    }
}

/// Bits of an incarnation's number that are those of its name.
const NAME_BITS: u32 = 40;

/// The name under which a backend server writes its entry.
fn name_of(instance: InstanceId) -> BackendName {
    BackendName { digest: 0, number: instance & ((1 << NAME_BITS) - 1) }
}

/// The next incarnation under the name of one.
pub fn next_birth(instance: InstanceId) -> InstanceId {
    instance + (1 << NAME_BITS)
}

/// Where the backend server of a number listens.
pub fn backend_address(number: u64) -> SocketAddrV4 {
    let [.., high, low] = number.to_be_bytes();

    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 8_080)
}
