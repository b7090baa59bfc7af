//! The key that balancers prove to each other.

use std::fmt;
use std::path::Path;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::errors::WireError;

/// Shortest key accepted, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// `PeerKey` is the secret that all balancers of a deployment share.
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
    /// `read` reads the key from a file; white space around it does not count.
    pub fn read(file: &Path) -> Result<Self, WireError> {
        let refuse =
            |problem: String| WireError::KeyFile { file: file.display().to_string(), problem };

        let text = std::fs::read_to_string(file).map_err(|error| refuse(error.to_string()))?;
        Self::try_from(text.trim().as_bytes()).map_err(|problem| refuse(problem.to_owned()))
    }

    /// `derive` gives the key of one direction of one connection.
    pub(super) fn derive(&self, label: &[u8], client: &[u8], server: &[u8]) -> [u8; 32] {
        let mut mac = keyed(&self.secret);
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

/// HMAC takes keys of any length, so this cannot fail.
pub(super) fn keyed(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC takes keys of any length")
}
