//! The two kinds of requests that callers send to the service.

use std::time::Duration;

use valvestage_policy::steering::{RequestClass, RequestKind};

/// Number of backend servers for which the rates are given.
pub const RATED_SERVERS: f64 = 120.0;

/// Requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct TrafficClass {
    /// Label in tables.
    pub name: &'static str,
    /// Number of the route's address.
    pub address: u16,
    /// Requests per second with [`RATED_SERVERS`] backend servers, at usual load.
    pub rate: f64,
    /// Mean time for which a request occupies a slot.
    pub work: Duration,
    /// Worth of an answer within the target, and of a later one.
    pub worth: f64,
    pub late_worth: f64,
    /// Whether requests share long flows; otherwise each has a flow of its own.
    pub is_long: bool,
    /// What the configuration says about the route.
    pub class: RequestClass,
}

impl TrafficClass {
    /// Returns the time within which callers expect an answer.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.class.target_latency_ms.into())
    }

    /// Returns the time after which an answer is of no use.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.class.timeout_ms.into())
    }

    /// Reports whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.class.kind == RequestKind::Idempotent
    }
}

/// The classes, the most urgent one first: the main service of the gauges customer.
pub const CLASSES: [TrafficClass; 2] = [
    TrafficClass {
        name: "urgent",
        address: 0,
        rate: 487.0,
        work: Duration::from_millis(29),
        worth: 2.0,
        late_worth: 0.6,
        is_long: false,
        class: RequestClass {
            priority: 1,
            kind: RequestKind::NonIdempotent,
            target_latency_ms: 300,
            timeout_ms: 1_500,
        },
    },
    TrafficClass {
        name: "other",
        address: 2,
        rate: 984.0,
        work: Duration::from_millis(22),
        worth: 1.0,
        late_worth: 0.3,
        is_long: true,
        class: RequestClass {
            priority: 2,
            kind: RequestKind::Idempotent,
            target_latency_ms: 250,
            timeout_ms: 1_500,
        },
    },
];
