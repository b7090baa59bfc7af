//! The keys that authenticate flow tokens.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use valvestage_core::Backend;
use valvestage_core::ids::{FlowKey, ObjectVersion, TokenKeyId};

use super::flow_hasher::FlowHasher;
use super::flow_token::FlowToken;

/// `RawTokenKeys` is the platform object that holds the keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTokenKeys {
    /// Key of the flow hash; never rotated, since it decides homes.
    pub flow_hash: (u64, u64),
    /// Id of the key that makes new tokens; one of `keys`.
    pub current: TokenKeyId,
    /// The keys that are accepted, with their ids.
    pub keys: Vec<(TokenKeyId, u64, u64)>,
}

impl fmt::Debug for RawTokenKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RawTokenKeys")
            .field("current", &self.current)
            .finish_non_exhaustive()
    }
}

/// `TokenVerdict` is the result of checking a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenVerdict {
    /// Made by a balancer of this deployment for this flow.
    Valid,
    /// Made with a key that is not known (any more); nothing can be said of it.
    UnknownKey,
    /// Forged, altered, or made for another flow.
    Forged,
}

/// `TokenKeys` makes and checks tokens.
#[derive(Debug, Clone)]
pub struct TokenKeys {
    /// Version of the platform object.
    pub version: ObjectVersion,
    raw: RawTokenKeys,
}

impl TokenKeys {
    /// `new` takes the platform object under its version.
    #[must_use]
    pub fn new(version: ObjectVersion, raw: RawTokenKeys) -> Self {
        Self { version, raw }
    }

    /// `raw` gives the platform object.
    #[must_use]
    pub fn raw(&self) -> &RawTokenKeys {
        &self.raw
    }

    /// `hasher` gives the hash that names flows.
    #[must_use]
    pub fn hasher(&self) -> FlowHasher {
        FlowHasher::new(self.raw.flow_hash)
    }

    /// `issue` makes the token of a flow bound to a backend server.
    #[must_use]
    pub fn issue(&self, key: FlowKey, backend: &Backend) -> Option<FlowToken> {
        let mut token = FlowToken {
            key_id: self.raw.current,
            service: backend.service,
            backend: backend.id,
            incarnation: backend.incarnation,
            mac: 0,
        };

        token.mac = self.mac(key, &token)?;
        Some(token)
    }

    /// `check` tells whether a token was made for a flow.
    #[must_use]
    pub fn check(&self, key: FlowKey, token: &FlowToken) -> TokenVerdict {
        match self.mac(key, token) {
            None => TokenVerdict::UnknownKey,
            Some(mac) if mac == token.mac => TokenVerdict::Valid,
            Some(_) => TokenVerdict::Forged,
        }
    }

    /// SipHash-2-4 is a pseudorandom function for short input, so that its output serves as a MAC.
    fn mac(&self, key: FlowKey, token: &FlowToken) -> Option<u64> {
        let (_, left, right) = self.raw.keys.iter().find(|(id, ..)| *id == token.key_id)?;
        let mut hasher = SipHasher24::new_with_keys(*left, *right);

        hasher.write_u64(key);
        hasher.write_u64(u64::from(token.backend) << 32 | u64::from(token.incarnation));
        hasher.write_u64(u64::from(token.key_id) << 16 | u64::from(token.service));
        Some(hasher.finish())
    }
}
