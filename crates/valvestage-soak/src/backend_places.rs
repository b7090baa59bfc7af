//! Which backend server is at which place.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use crate::site_plan::{SERVICES, other_service};

/// Places from which on each zone has both services: every fourth place of a zone has the second one.
pub const LEAST_BACKENDS: usize = 12;

/// Backend servers that a service keeps when others of it are replaced.
const LEAST: usize = 3;

/// `BackendPlace` is what is at one address.
#[derive(Debug, Clone, Copy)]
pub struct BackendPlace {
    /// Which incarnation.
    pub instance: InstanceId,
    /// What it runs.
    pub service: &'static str,
    /// Until when something happens to it already.
    pub busy_until: Instant,
}

/// `BackendPlaces` holds all places.
#[derive(Debug)]
pub struct BackendPlaces {
    places: Vec<BackendPlace>,
    next_instance: InstanceId,
}

impl BackendPlaces {
    /// `new` fills all places: both services in each zone.
    #[must_use]
    pub fn new(count: usize, seed: u64, now: Instant) -> Self {
        // Ids of one run have nothing in common with those of another one.
        let first = (seed & 0xffff) << 24 | 1;
        let mut places = Self { places: Vec::new(), next_instance: first };

        for place in 0..count {
            let service = SERVICES[usize::from(place / 3 % 4 == 3)];
            let instance = places.draw_instance();
            places.places.push(BackendPlace { instance, service, busy_until: now });
        }
        places
    }

    /// `get` gives what is at a place.
    #[must_use]
    pub fn get(&self, place: usize) -> BackendPlace {
        self.places[place]
    }

    /// `idle_place` gives a place to which nothing happens, from a number on.
    #[must_use]
    pub fn idle_place(&self, from: usize, now: Instant) -> Option<usize> {
        let order = (0..self.places.len())
            .map(|step| (from % self.places.len() + step) % self.places.len());

        order.into_iter().find(|place| self.places[*place].busy_until <= now)
    }

    /// `occupy` keeps a place from other faults until a time.
    pub fn occupy(&mut self, place: usize, until: Instant) {
        self.places[place].busy_until = until;
    }

    /// `service_after` gives the service that follows at a place: the other one, if enough are left.
    #[must_use]
    pub fn service_after(&self, place: usize) -> &'static str {
        let service = self.places[place].service;
        let same = self.places.iter().filter(|other| other.service == service).count();

        if same > LEAST { other_service(service) } else { service }
    }

    /// `replace` puts a new incarnation at a place, and gives it.
    pub fn replace(&mut self, place: usize, service: &'static str) -> InstanceId {
        let instance = self.draw_instance();

        self.places[place].instance = instance;
        self.places[place].service = service;
        instance
    }

    fn draw_instance(&mut self) -> InstanceId {
        // Far apart, as the platform's are.
        const STEP: InstanceId = 7_919;
        self.next_instance += STEP;

        self.next_instance
    }
}
