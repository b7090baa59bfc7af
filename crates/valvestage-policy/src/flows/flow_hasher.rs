//! Keyed hash that identifies a flow.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use valvestage_core::ids::{FlowKey, ServiceId};

/// Hashes flow addresses with a key that all balancers of a deployment share.
///
/// The key prevents callers from choosing addresses that collide. The hash must be the same on
/// every balancer, since it determines the home of the flow.
#[derive(Debug, Clone, Copy)]
pub struct FlowHasher {
    keys: (u64, u64),
}

impl FlowHasher {
    /// Creates a hasher from the two halves of the hash key.
    #[must_use]
    pub fn new(keys: (u64, u64)) -> Self {
        Self { keys }
    }

    /// Returns the key that identifies the flow of a caller address to a service.
    #[must_use]
    #[inline]
    pub fn key(&self, caller: SocketAddr, service: ServiceId) -> FlowKey {
        let mut hasher = SipHasher13::new_with_keys(self.keys.0, self.keys.1);

        match caller {
            SocketAddr::V4(v4) => {
                let ip = u32::from(*v4.ip());
                hasher.write_u64(
                    u64::from(ip) << 32 | u64::from(v4.port()) << 16 | u64::from(service),
                );
            }
            SocketAddr::V6(v6) => {
                v6.ip().hash(&mut hasher);
                hasher.write_u64(u64::from(v6.port()) << 16 | u64::from(service));
            }
        }

        hasher.finish()
    }
}
