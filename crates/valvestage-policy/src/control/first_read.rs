//! The first read of the configuration after the start of a process.

use std::time::{Duration, SystemTime};

use valvestage_core::ids::ObjectVersion;

use super::object_key::{ObjectKey, ObjectValue};
use super::platform_call::{PlatformCall, PlatformReply};

/// Pause after a read without an answer, or before there is a configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// `FirstRead` reads the configuration itself, not a watch that may lag behind what this VM had in
/// force before it was restarted.
#[derive(Debug, Clone)]
pub struct FirstRead {
    /// Without an answer until then, what peers have has to do.
    give_up_at: SystemTime,
    not_before: SystemTime,
    is_waiting: bool,
    is_answered: bool,
}

impl FirstRead {
    /// `new` gives up waiting for the platform at a time.
    #[must_use]
    pub fn new(give_up_at: SystemTime) -> Self {
        Self {
            give_up_at,
            not_before: SystemTime::UNIX_EPOCH,
            is_waiting: false,
            is_answered: false,
        }
    }

    /// `is_done` tells whether the platform answered, or has not for too long.
    #[must_use]
    pub fn is_done(&self, now: SystemTime) -> bool {
        self.is_answered || now >= self.give_up_at
    }

    /// `next_call` gives the call that is due, if any.
    pub fn next_call(&mut self, now: SystemTime) -> Option<PlatformCall> {
        if self.is_waiting || self.is_answered || now < self.not_before {
            return None;
        }

        self.is_waiting = true;
        Some(PlatformCall::Read { key: ObjectKey::Configuration })
    }

    /// `on_reply` takes the reply, and gives the configuration if there is one.
    pub fn on_reply(
        &mut self,
        now: SystemTime,
        reply: PlatformReply,
    ) -> Option<(ObjectVersion, ObjectValue)> {
        self.is_waiting = false;

        match reply {
            PlatformReply::Found { version, value } => {
                self.is_answered = true;
                Some((version, value))
            }
            _ => {
                self.not_before = now + RETRY_PAUSE;
                None
            }
        }
    }
}
