//! The shared key by which balancers authenticate each other.

use std::fmt;
use std::path::Path;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::errors::WireError;

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Secret key shared by all balancers of a deployment; its `Debug` output hides the secret.
#[derive(Clone)]
pub struct PeerKey {
    secret: Vec<u8>,
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(..)")
    }
}

impl PeerKey {
    /// Reads the key from a file, without leading and trailing white space.
    pub fn read(file: &Path) -> Result<Self, WireError> {
        let refuse =
            |problem: String| WireError::KeyFile { file: file.display().to_string(), problem };

        let text = std::fs::read_to_string(file).map_err(|error| refuse(error.to_string()))?;
        Self::try_from(text.trim().as_bytes()).map_err(|problem| refuse(problem.to_owned()))
    }

    /// Derives the key of one direction of a connection from the label of the direction and the
    /// nonces of client and server.
    pub(super) fn derive(&self, label: &[u8], client: &[u8], server: &[u8]) -> [u8; 32] {
        let mut mac = hmac_with_key(&self.secret);
        mac.update(label);
        mac.update(client);
        mac.update(server);

        mac.finalize().into_bytes().into()
    }
}

impl TryFrom<&[u8]> for PeerKey {
    type Error = &'static str;

    fn try_from(secret: &[u8]) -> Result<Self, Self::Error> {
        if secret.len() < MIN_KEY_BYTES {
            return Err("the key is shorter than 16 bytes");
        }

        Ok(Self { secret: secret.to_vec() })
    }
}

/// Returns an HMAC-SHA-256 with the given key.
///
/// This cannot fail, because HMAC takes keys of any length.
pub(super) fn hmac_with_key(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC takes keys of any length")
}
