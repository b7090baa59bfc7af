//! Assignment of backend server instances to places. A place is a fixed backend server address,
//! used by one instance after another.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use crate::site_plan::{SERVICES, other_service};

/// Smallest number of places with which each zone has both services: every fourth place of a zone
/// has the second one.
pub const MIN_BACKENDS: usize = 12;

/// Smallest number of backend servers that a service keeps when places change to the other service.
const MIN_PER_SERVICE: usize = 3;

/// Instance at one place.
#[derive(Debug, Clone, Copy)]
pub struct BackendPlace {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Name of the service that the instance runs.
    pub service: &'static str,
    /// Time until which the place is reserved for a fault in progress.
    pub reserved_until: Instant,
}

/// All places of a site, by number.
#[derive(Debug)]
pub struct BackendPlaces {
    places: Vec<BackendPlace>,
    next_instance: InstanceId,
}

impl BackendPlaces {
    /// Assigns an instance to each of `count` places. With at least [`MIN_BACKENDS`] places, each
    /// zone has both services.
    #[must_use]
    pub fn new(count: usize, seed: u64, now: Instant) -> Self {
        // Seeds that differ in their low 16 bits give disjoint ranges of ids.
        let first = (seed & 0xffff) << 24 | 1;
        let mut places = Self { places: Vec::new(), next_instance: first };

        for place in 0..count {
            let service = SERVICES[usize::from(place / 3 % 4 == 3)];
            let instance = places.allocate_instance();
            places.places.push(BackendPlace { instance, service, reserved_until: now });
        }
        places
    }

    /// Returns the instance at a place.
    #[must_use]
    pub fn get(&self, place: usize) -> BackendPlace {
        self.places[place]
    }

    /// Returns the first place that no fault has reserved, searching circularly from `from`, or
    /// `None` if all are reserved.
    #[must_use]
    pub fn idle_place(&self, from: usize, now: Instant) -> Option<usize> {
        let order = (0..self.places.len())
            .map(|step| (from % self.places.len() + step) % self.places.len());

        order.into_iter().find(|place| self.places[*place].reserved_until <= now)
    }

    /// Reserves a place until a time, so that no other fault affects it.
    pub fn reserve(&mut self, place: usize, until: Instant) {
        self.places[place].reserved_until = until;
    }

    /// Returns the service of the next instance at a place: the other service, or the same one if
    /// too few of its backend servers would be left.
    #[must_use]
    pub fn next_service(&self, place: usize) -> &'static str {
        let service = self.places[place].service;
        let same = self.places.iter().filter(|other| other.service == service).count();

        if same > MIN_PER_SERVICE { other_service(service) } else { service }
    }

    /// Assigns a new instance to a place, and returns its id.
    pub fn replace(&mut self, place: usize, service: &'static str) -> InstanceId {
        let instance = self.allocate_instance();

        self.places[place].instance = instance;
        self.places[place].service = service;
        instance
    }

    fn allocate_instance(&mut self) -> InstanceId {
        // Ids are far apart, as those of the platform are.
        const STEP: InstanceId = 7_919;
        self.next_instance += STEP;

        self.next_instance
    }
}
