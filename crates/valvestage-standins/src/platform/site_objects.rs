//! Objects as the platform's operator and backend servers write them.

use std::net::SocketAddrV4;

use serde_json::{Value, json};

/// `configuration_object` gives the value of a configuration that leads addresses to services.
#[must_use]
pub fn configuration_object<'a>(
    version: u64,
    routes: impl IntoIterator<Item = (SocketAddrV4, &'a str)>,
    idle_timeout_ms: u64,
) -> Value {
    let routes: Vec<Value> = routes
        .into_iter()
        .map(|(address, service)| {
            json!({"name": address.to_string(), "host": address.ip().to_string(),
                "path_prefix": format!("/{}/", address.port()), "service": service})
        })
        .collect();

    json!({"version": version, "routes": routes, "services": [],
        "limits": {"idle_timeout_ms": idle_timeout_ms}})
}

/// `BackendObject` is what a backend server writes of itself.
#[derive(Debug, Clone, Copy)]
pub struct BackendObject<'a> {
    /// The service that it runs.
    pub service: &'a str,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Availability zone of its VM.
    pub zone: &'a str,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

impl BackendObject<'_> {
    /// `value` gives the value of its entry.
    #[must_use]
    pub fn value(&self) -> Value {
        let state = if self.is_draining { "draining" } else { "ready" };

        json!({"service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v", "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1})
    }
}
