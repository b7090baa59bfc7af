//! Values of the objects that the platform's operator and the backend servers write.

use std::net::SocketAddrV4;

use serde_json::{Value, json};

/// Returns the value of a configuration object that routes addresses to services. Routes whose
/// address has a priority carry all fields of a request class.
#[must_use]
pub fn configuration_object<'a>(
    version: u64,
    routes: impl IntoIterator<Item = (SocketAddrV4, &'a str)>,
    priority_of: impl Fn(SocketAddrV4) -> Option<u8>,
    idle_timeout_ms: u64,
) -> Value {
    let routes: Vec<Value> = routes
        .into_iter()
        .map(|(address, service)| {
            let mut route = json!({"name": address.to_string(), "host": address.ip().to_string(),
                "path_prefix": format!("/{}/", address.port()), "service": service});
            if let Some(priority) = priority_of(address) {
                route["priority"] = json!(priority);
                route["route_type"] = json!("non_idempotent");
                route["target_latency_ms"] = json!(300);
                route["timeout_ms"] = json!(3_000);
            }
            route
        })
        .collect();

    json!({"version": version, "routes": routes, "services": [],
        "limits": {"idle_timeout_ms": idle_timeout_ms}})
}

/// Entry that a backend server publishes about itself.
#[derive(Debug, Clone, Copy)]
pub struct BackendObject<'a> {
    /// Name of the service that it runs.
    pub service: &'a str,
    /// Address on which it receives packets.
    pub address: SocketAddrV4,
    /// Availability zone of its VM.
    pub zone: &'a str,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is draining, and takes no new work.
    pub is_draining: bool,
}

impl BackendObject<'_> {
    /// Returns the entry as the value of an object.
    #[must_use]
    pub fn value(&self) -> Value {
        let state = if self.is_draining { "draining" } else { "ready" };

        json!({"service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v", "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1})
    }
}
