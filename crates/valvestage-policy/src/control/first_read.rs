//! The first read of the configuration after the start of a process.

use std::time::{Duration, SystemTime};

use valvestage_core::ids::ObjectVersion;

use super::object_key::{ObjectKey, ObjectValue};
use super::platform_call::{PlatformCall, PlatformReply};

/// Delay before a retry, after a read without an answer or while there is no configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// State machine of the first read of the configuration.
///
/// It reads the object itself, because a watch may lag behind the version that this VM had in force
/// before its restart.
#[derive(Debug, Clone)]
pub struct FirstRead {
    /// Time after which the configuration from peers is accepted without an answer of the platform.
    give_up_at: SystemTime,
    not_before: SystemTime,
    is_call_pending: bool,
    is_answered: bool,
}

impl FirstRead {
    /// Creates a first read that gives up waiting for the platform at the given time.
    #[must_use]
    pub fn new(give_up_at: SystemTime) -> Self {
        Self {
            give_up_at,
            not_before: SystemTime::UNIX_EPOCH,
            is_call_pending: false,
            is_answered: false,
        }
    }

    /// Reports whether the configuration was read, or the wait for the platform has timed out.
    #[must_use]
    pub fn is_done(&self, now: SystemTime) -> bool {
        self.is_answered || now >= self.give_up_at
    }

    /// Returns the platform call that is due, if any.
    pub fn next_call(&mut self, now: SystemTime) -> Option<PlatformCall> {
        if self.is_call_pending || self.is_answered || now < self.not_before {
            return None;
        }

        self.is_call_pending = true;
        Some(PlatformCall::Read { key: ObjectKey::Configuration })
    }

    /// Handles the reply, and returns the version and value of the configuration if there is one.
    pub fn on_reply(
        &mut self,
        now: SystemTime,
        reply: PlatformReply,
    ) -> Option<(ObjectVersion, ObjectValue)> {
        self.is_call_pending = false;

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
