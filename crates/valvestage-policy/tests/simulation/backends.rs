//! The simulated backend servers: they serve their flows and write their entries to the store.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::{BackendEntry, BackendName, BackendPhase, StartMillis};

use crate::events::{FlowNumber, Millis};
use crate::site::{SERVICES, ZONES};

/// Interval between two writes of an entry, and the time without a write after which it lapses.
pub const WRITE_INTERVAL_MS: Millis = 770;
pub const LAPSE_MS: Millis = 3 * WRITE_INTERVAL_MS;

/// How long a draining backend server keeps serving its flows.
pub const DRAIN_MS: Millis = 5_000;

/// Processing time of one request.
pub const REQUEST_MS: Millis = 40;

/// State of a flow at its backend server.
#[derive(Debug, Default)]
pub struct HeldFlow {
    pub is_open: bool,
    /// Sequence number after the last byte received.
    pub received: u32,
    pub is_processing: bool,
    /// Token of the last packet received.
    pub token: u32,
}

/// One incarnation of a backend server: a process, from its start to its end.
pub struct Backend {
    pub instance: InstanceId,
    pub name: BackendName,
    /// The next incarnation, once one has started under the same name.
    pub successor: Option<InstanceId>,
    /// When the store first had the entry of this incarnation; None again if a restore lost it.
    /// Oracles read it only for the successors of other incarnations.
    pub entry_stored_at: Option<Millis>,
    pub service: usize,
    pub zone: usize,
    pub address: SocketAddrV4,
    pub has_ended: bool,
    pub silent_until: Millis,
    /// When draining began.
    pub draining_since: Option<Millis>,
    /// When the store accepted the draining entry; None again if a restore lost it.
    pub drain_stored_at: Option<Millis>,
    pub flows: BTreeMap<FlowNumber, HeldFlow>,
    /// End of the cold phase, if the backend server started during traffic.
    pub cold_until: Option<Millis>,
    /// Opening packets received while cold: the time at which each was sent to its balancer, and
    /// the time at which it arrived here.
    pub cold_openings: Vec<(Millis, Millis)>,
    /// When the entry was last written. After a restore of the store it lies in the future, so that
    /// the next write comes later.
    pub last_written_at: Millis,
    /// Whether a cold backend server is to replace this one when its zone returns.
    pub returns_with_zone: bool,
    /// From when on another backend server may get the address; 0 if none is to get it.
    pub address_free_at: Millis,
}

impl Backend {
    pub fn new(instance: InstanceId, service: usize, zone: usize, address: SocketAddrV4) -> Self {
        Self {
            instance,
            name: name_of(instance),
            successor: None,
            entry_stored_at: None,
            service,
            zone,
            address,
            has_ended: false,
            silent_until: 0,
            draining_since: None,
            drain_stored_at: None,
            flows: BTreeMap::new(),
            cold_until: None,
            cold_openings: Vec::new(),
            last_written_at: 0,
            returns_with_zone: false,
            address_free_at: 0,
        }
    }

    pub fn is_silent(&self, now: Millis) -> bool {
        self.silent_until > now
    }

    /// Returns the entry that the backend server writes. `base` is the instant of the simulation's
    /// start.
    pub fn entry(&self, base: Instant) -> BackendEntry {
        let phase = if self.draining_since.is_some() {
            BackendPhase::Draining
        } else {
            BackendPhase::Ready
        };

        BackendEntry {
            instance: self.instance,
            name: self.name,
            born: Some(born_of(self.instance)),
            position: StorePosition::START,
            service: SERVICES[self.service].to_owned(),
            address: self.address,
            zone: ZONES[self.zone].to_owned(),
            slots: 2,
            cold_until: self.cold_until.map(|at| base + Duration::from_millis(at)),
            phase,
            missing_until: None,
            listed_at: None,
        }
    }
}

/// Number of low bits of an instance id that identify the name; the higher ones count incarnations.
const NAME_BITS: u32 = 40;

/// Returns the name under which a backend server writes its entry.
fn name_of(instance: InstanceId) -> BackendName {
    BackendName { digest: 0, number: instance & ((1 << NAME_BITS) - 1) }
}

/// Returns the start time that an incarnation tells, in milliseconds since 1970.
fn born_of(instance: InstanceId) -> StartMillis {
    const FIRST_BORN: StartMillis = 1_796_000_000_000;

    FIRST_BORN + (instance >> NAME_BITS)
}

/// Returns the id of the next incarnation under the same name.
pub fn next_incarnation(instance: InstanceId) -> InstanceId {
    instance + (1 << NAME_BITS)
}

/// Returns the address on which the backend server of a number listens.
pub fn backend_address(number: u64) -> SocketAddrV4 {
    let [.., high, low] = number.to_be_bytes();

    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 8_080)
}
