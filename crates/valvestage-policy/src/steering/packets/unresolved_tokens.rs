//! Tokens whose backend servers are not known here, about which other balancers are asked.
//!
//! A balancer that reads the store after an entry has lapsed cannot know the backend server of that
//! entry; a balancer that read the store before the lapse may still keep the entry, marked as
//! missing.

use std::time::{Duration, Instant};

use valvestage_core::ids::ShortToken;

use crate::steering::knowledge::backend_directory::BackendDirectory;

/// Maximum number of tokens asked about at once. Packets with further tokens are held, too. Such a
/// token is asked about once its packet is retransmitted after an earlier token was resolved or has
/// expired.
const MAX_UNRESOLVED: usize = 8;

/// Time for which a token is asked about after its last packet, the same as the hold time of
/// packets: five rounds of heartbeats to four balancers each.
const UNRESOLVED_TTL: Duration = Duration::from_secs(2);

/// Unresolved tokens that other balancers are asked about.
#[derive(Debug, Default)]
pub struct UnresolvedTokens {
    /// Each token with the time until which it is asked about; no token occurs twice.
    tokens: Vec<(ShortToken, Instant)>,
}

impl UnresolvedTokens {
    /// Adds an unknown token, or extends its time. A new token is not added while the maximum
    /// number is asked about.
    pub fn add(&mut self, token: ShortToken, now: Instant) {
        self.tokens.retain(|(known, _)| *known != token);
        if self.tokens.len() < MAX_UNRESOLVED {
            self.tokens.push((token, now + UNRESOLVED_TTL));
        }
    }

    /// Drops tokens that are resolved by now, and those that have expired.
    pub fn drop_resolved(&mut self, directory: &BackendDirectory, now: Instant) {
        self.tokens.retain(|(token, until)| *until > now && directory.by_token(*token).is_none());
    }

    /// Returns the tokens to ask about.
    #[must_use]
    pub fn list(&self) -> Vec<ShortToken> {
        self.tokens.iter().map(|(token, _)| *token).collect()
    }
}
