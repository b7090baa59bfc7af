//! Tokens of flows whose backend servers are not known here, for which other balancers are asked.
//!
//! A balancer that read the store after an entry lapsed has no way to know where that backend server is; another one that
//! read it before may hold the entry for missing.

use std::time::{Duration, Instant};

use valvestage_core::ids::ShortToken;

use crate::steering::knowledge::backend_directory::BackendDirectory;

/// Tokens asked for at once. Their packets wait, and others follow when these are known or given up.
const MAX_WANTED: usize = 8;

/// For how long one is asked for after its last packet, as packets wait: five rounds of heartbeats to four balancers each.
const WANTED_FOR: Duration = Duration::from_secs(2);

/// `WantedTokens` holds the tokens that are asked for.
#[derive(Debug, Default)]
pub struct WantedTokens {
    /// Each with the time until when it is asked for; no token twice.
    tokens: Vec<(ShortToken, Instant)>,
}

impl WantedTokens {
    /// `want` takes in that a packet has a token that is not known.
    pub fn want(&mut self, token: ShortToken, now: Instant) {
        self.tokens.retain(|(wanted, _)| *wanted != token);
        if self.tokens.len() < MAX_WANTED {
            self.tokens.push((token, now + WANTED_FOR));
        }
    }

    /// `forget` drops what is known by now, and what nobody has known for too long.
    pub fn forget(&mut self, directory: &BackendDirectory, now: Instant) {
        self.tokens.retain(|(token, until)| *until > now && directory.by_token(*token).is_none());
    }

    /// `list` gives the tokens.
    #[must_use]
    pub fn list(&self) -> Vec<ShortToken> {
        self.tokens.iter().map(|(token, _)| *token).collect()
    }
}
