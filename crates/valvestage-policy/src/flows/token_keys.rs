//! Keys that authenticate flow tokens.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use valvestage_core::Backend;
use valvestage_core::ids::{FlowKey, ObjectVersion, TokenKeyId};

use super::flow_hasher::FlowHasher;
use super::flow_token::FlowToken;

/// Platform object that holds the keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTokenKeys {
    /// Key of the flow hash; never rotated, since the hash determines the home of each flow.
    pub flow_hash: (u64, u64),
    /// Id of the key that new tokens are made with; one of `keys`.
    pub current: TokenKeyId,
    /// Accepted keys, each with its id and its two halves.
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

/// Result of checking a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenVerdict {
    /// The token was made by a balancer of this deployment for this flow.
    Valid,
    /// The token was made with a key that is not known, or not known any more, so that it cannot be
    /// checked.
    UnknownKey,
    /// The token is forged, altered, or made for another flow.
    Forged,
}

/// Issues and checks tokens.
#[derive(Debug, Clone)]
pub struct TokenKeys {
    /// Version of the platform object that the keys come from.
    pub version: ObjectVersion,
    raw: RawTokenKeys,
}

impl TokenKeys {
    /// Creates the keys from the platform object and its version.
    #[must_use]
    pub fn new(version: ObjectVersion, raw: RawTokenKeys) -> Self {
        Self { version, raw }
    }

    /// Returns the platform object.
    #[must_use]
    pub fn raw(&self) -> &RawTokenKeys {
        &self.raw
    }

    /// Returns the hasher that computes flow keys.
    #[must_use]
    pub fn hasher(&self) -> FlowHasher {
        FlowHasher::new(self.raw.flow_hash)
    }

    /// Issues the token of a flow bound to a backend server. Returns `None` if the current key is
    /// missing from the platform object.
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

    /// Checks whether a token was made for a flow.
    #[must_use]
    pub fn check(&self, key: FlowKey, token: &FlowToken) -> TokenVerdict {
        match self.mac(key, token) {
            None => TokenVerdict::UnknownKey,
            Some(mac) if mac == token.mac => TokenVerdict::Valid,
            Some(_) => TokenVerdict::Forged,
        }
    }

    /// Computes the MAC of a token, or `None` if its key is unknown. SipHash-2-4 is a pseudorandom
    /// function for short input, so its output serves as a MAC.
    fn mac(&self, key: FlowKey, token: &FlowToken) -> Option<u64> {
        let (_, left, right) = self.raw.keys.iter().find(|(id, ..)| *id == token.key_id)?;
        let mut hasher = SipHasher24::new_with_keys(*left, *right);

        hasher.write_u64(key);
        hasher.write_u64(u64::from(token.backend) << 32 | u64::from(token.incarnation));
        hasher.write_u64(u64::from(token.key_id) << 16 | u64::from(token.service));
        Some(hasher.finish())
    }
}
