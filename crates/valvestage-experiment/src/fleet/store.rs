//! Simulated store of the platform, limited to what balancers read.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use valvestage_core::StorePosition;
use valvestage_policy::steering::{
    BackendEntry, BackendName, BackendPhase, BackendUpdate, EntryChange, RequestClass, RouteMap,
    RouteTarget, StoreCall, StoreKind, StoreReply,
};

/// Maximum number of objects in one page of a list.
const PAGE_OBJECTS: usize = 500;

/// Services. Every fifth backend server runs the second one, the other four run the first.
const SERVICES: [&str; 2] = ["core", "photos"];
const SECOND_SERVICE_EVERY: usize = 5;

/// Number in the name of the first backend server.
const FIRST_NUMBER: u64 = 0x10_0000;

/// Number of addresses in the configuration.
const ADDRESSES: u16 = 250;

/// Answer of the store to a call, by kind of call.
pub enum StoreAnswer {
    /// Answer to a call for the configuration.
    Routes(StoreReply<RouteMap>),
    /// Answer to a call for backend servers.
    Backends(StoreReply<BackendUpdate>),
}

impl StoreAnswer {
    /// Returns the size of the objects in the answer, given the bytes per route and per entry.
    pub fn object_bytes(&self, route_bytes: usize, entry_bytes: usize) -> usize {
        match self {
            Self::Routes(
                StoreReply::Page { objects, .. } | StoreReply::Changes { objects, .. },
            ) => objects.iter().map(|map| map.routes.len() * route_bytes).sum(),
            Self::Backends(
                StoreReply::Page { objects, .. } | StoreReply::Changes { objects, .. },
            ) => objects.len() * entry_bytes,
            _ => 0,
        }
    }
}

/// A store with a configuration, the entries of backend servers and the history of both.
pub struct FleetStore {
    revision: u64,
    routes: RouteMap,
    route_changes: Vec<(u64, RouteMap)>,
    /// Entries in the order of their names, which lists follow.
    entries: Vec<BackendEntry>,
    /// Indices of the entries that are deleted at present.
    deleted: BTreeSet<usize>,
    entry_changes: Vec<BackendUpdate>,
}

impl FleetStore {
    /// Creates a store with a configuration and a number of backend servers spread over the zones.
    pub fn new(backends: usize, zones: &[String]) -> Self {
        let mut store = Self {
            revision: 1,
            routes: RouteMap::default(),
            route_changes: Vec::new(),
            entries: Vec::with_capacity(backends),
            deleted: BTreeSet::new(),
            entry_changes: Vec::new(),
        };

        for number in 0..backends {
            store.revision += 1;
            let position = StorePosition::new(0, store.revision);
            store.entries.push(new_entry(number, &zones[number % zones.len()], position));
        }
        store.change_routes();
        store
    }

    /// Writes a new configuration, and returns its version.
    pub fn change_routes(&mut self) -> u64 {
        let version = self.routes.version + 3;
        let targets = |port: u16| {
            let service = SERVICES[usize::from(port) % SERVICES.len()].to_owned();
            vec![RouteTarget { service, weight: 1 }]
        };
        let routes = (0..ADDRESSES).map(|port| (service_address(port), targets(port)));

        self.revision += 1;
        self.routes = RouteMap {
            version,
            routes: routes.collect(),
            idle_timeout_ms: 15_000,
            ..self.routes.clone()
        };
        self.route_changes.push((self.revision, self.routes.clone()));
        version
    }

    /// Writes a configuration with the request classes of some addresses and the connection limit
    /// of the first service.
    pub fn classify(&mut self, classes: &[(SocketAddrV4, RequestClass)], limit: u32) {
        self.routes.request_classes = classes.iter().copied().collect();
        self.routes.connection_limits = [(SERVICES[0].to_owned(), limit)].into();

        self.change_routes();
    }

    /// Returns the index of the entry of an incarnation's name.
    pub fn index_of(number: u64) -> usize {
        usize::try_from(number.saturating_sub(FIRST_NUMBER)).unwrap_or(usize::MAX)
    }

    /// Reports whether the backend server of an entry runs the first service.
    pub fn runs_first_service(index: usize) -> bool {
        !index.is_multiple_of(SECOND_SERVICE_EVERY)
    }

    /// Deletes an entry, as the store does when its lease expires.
    pub fn delete(&mut self, index: usize) {
        self.deleted.insert(index);
        self.revision += 1;
        self.entry_changes.push(BackendUpdate {
            name: self.entries[index].name,
            position: StorePosition::new(0, self.revision),
            change: EntryChange::Deleted,
        });
    }

    /// Writes the entry of the next incarnation of a backend server.
    pub fn restart(&mut self, index: usize) {
        self.deleted.remove(&index);
        self.revision += 1;
        let entry = &mut self.entries[index];
        let digest = entry.name.incarnation_digest(entry.instance) + 1;
        entry.instance = entry.name.with_digest(digest);
        entry.position = StorePosition::new(0, self.revision);
        self.entry_changes.push(written_change(&entry.clone()));
    }

    /// Marks a number of backend servers, evenly spread over all, as draining. Returns the instance
    /// number of the last one.
    pub fn drain(&mut self, count: usize) -> u64 {
        let step = (self.entries.len() / count).max(1);
        let mut last = 0;

        for index in (0..self.entries.len()).step_by(step).take(count) {
            self.revision += 1;
            let entry = &mut self.entries[index];
            entry.phase = BackendPhase::Draining;
            entry.position = StorePosition::new(0, self.revision);
            last = entry.instance;
            self.entry_changes.push(written_change(&entry.clone()));
        }
        last
    }

    /// Returns the answer to a call, or `None` for a watch that has no changes to report and whose
    /// wait is not over.
    pub fn answer(&self, kind: StoreKind, call: &StoreCall, is_over: bool) -> Option<StoreAnswer> {
        let position = StorePosition::new(0, self.revision);

        match (kind, call) {
            (StoreKind::Configuration, StoreCall::List { .. }) => {
                let objects = vec![self.routes.clone()];
                Some(StoreAnswer::Routes(StoreReply::Page { objects, next_after: None, position }))
            }
            (StoreKind::Configuration, StoreCall::Watch { revision, .. }) => {
                let changes = self.route_changes.iter().filter(|(at, _)| at > revision);
                let objects: Vec<_> = changes.map(|(_, routes)| routes.clone()).collect();
                (is_over || !objects.is_empty())
                    .then_some(StoreAnswer::Routes(StoreReply::Changes { objects, position }))
            }
            (_, StoreCall::List { after, .. }) => {
                Some(StoreAnswer::Backends(self.list_page(after)))
            }
            (_, StoreCall::Watch { revision, .. }) => {
                let after = StorePosition::new(0, *revision);
                let first = self.entry_changes.partition_point(|change| change.position <= after);
                let objects = self.entry_changes[first..].to_vec();
                (is_over || !objects.is_empty())
                    .then_some(StoreAnswer::Backends(StoreReply::Changes { objects, position }))
            }
        }
    }

    fn list_page(&self, after: &Option<String>) -> StoreReply<BackendUpdate> {
        let first = after.as_ref().and_then(|name| name.parse::<usize>().ok()).unwrap_or(0);
        let end = (first + PAGE_OBJECTS).min(self.entries.len());

        let kept = (first..end).filter(|index| !self.deleted.contains(index));
        StoreReply::Page {
            objects: kept.map(|index| written_change(&self.entries[index])).collect(),
            next_after: (end < self.entries.len()).then(|| end.to_string()),
            position: StorePosition::new(0, self.revision),
        }
    }
}

/// Returns an address of the configuration. Those with even numbers lead to the first service.
pub fn service_address(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 1_000 + number)
}

fn new_entry(number: usize, zone: &str, position: StorePosition) -> BackendEntry {
    let instance = FIRST_NUMBER + u64::try_from(number).unwrap_or(u64::MAX);
    let service = SERVICES[usize::from(number.is_multiple_of(SECOND_SERVICE_EVERY))];
    let [.., second, third, fourth] = (number + 1).to_be_bytes();

    BackendEntry {
        instance,
        name: BackendName { digest: 0, number: instance },
        born: None,
        position,
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, second, third, fourth), 8_080),
        zone: zone.to_owned(),
        slots: 2,
        cold_until: None,
        phase: BackendPhase::Ready,
        missing_until: None,
        listed_at: None,
    }
}

fn written_change(entry: &BackendEntry) -> BackendUpdate {
    BackendUpdate {
        name: entry.name,
        position: entry.position,
        change: EntryChange::Written(entry.clone()),
    }
}
