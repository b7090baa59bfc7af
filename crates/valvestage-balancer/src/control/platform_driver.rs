//! Executes platform calls and records them in metrics and logs.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::ObjectVersion;
use valvestage_platform::objects::WatchResult;
use valvestage_platform::{PlatformClient, PlatformError};
use valvestage_policy::control::{PlatformCall, PlatformReply};

use super::control_state::ControlState;
use crate::metrics::{PlatformLabel, PlatformResult};

/// Executor of platform calls, shared by the control tasks.
#[derive(Clone)]
pub(super) struct PlatformDriver {
    client: PlatformClient,
    state: Arc<ControlState>,
}

impl PlatformDriver {
    pub(super) fn new(client: PlatformClient, state: Arc<ControlState>) -> Self {
        Self { client, state }
    }

    /// Executes a call. If no usable answer arrives, the reply is [`PlatformReply::Unknown`].
    pub(super) async fn execute(&self, call: PlatformCall) -> PlatformReply {
        let name = match call {
            PlatformCall::Read { .. } => "read",
            PlatformCall::Write { .. } => "write",
        };
        let (reply, error) = self.client.execute(call).await;

        if let Some(error) = error {
            log::warn!(step = name; "{error}");
        }
        let result = match &reply {
            PlatformReply::Unknown => PlatformResult::NoAnswer,
            PlatformReply::Conflict => PlatformResult::Conflict,
            _ => PlatformResult::Done,
        };
        self.record_result(name, result);
        reply
    }

    /// Waits until objects have changed since version `after`, at most for the time `wait`.
    pub(super) async fn watch(
        &self,
        after: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        let result = self.client.watch(after, wait).await;

        self.record_result(
            "watch",
            if result.is_ok() { PlatformResult::Done } else { PlatformResult::NoAnswer },
        );
        result
    }

    fn record_result(&self, call: &'static str, result: PlatformResult) {
        if result != PlatformResult::NoAnswer {
            self.state.update(|policy, _| policy.record_platform_contact(SystemTime::now()));
        }

        let label = PlatformLabel { call, result };
        self.state.metrics.platform_calls.get_or_create(&label).inc();
    }
}
