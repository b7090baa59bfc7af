//! Load that flows put on a backend server.

use serde::{Deserialize, Serialize};

use crate::steering::packets::flow_record::FlowRecord;

/// Counts the flows of one backend server that this balancer sees.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Flows with a request or an opening packet that is not answered yet.
    pub busy: u32,
    /// Idle flows whose caller may still send requests.
    pub idle: u32,
    /// Open flows with a request that is not answered yet and that its caller still asks for.
    pub waiting: u32,
    /// Open flows whose caller may still send requests.
    pub open: u32,
}

impl BackendLoad {
    pub(in crate::steering) fn add(&mut self, record: &FlowRecord) {
        if record.is_busy() {
            self.busy += 1;
        } else if !record.closing {
            self.idle += 1;
        }
        self.waiting += u32::from(record.is_waiting());
        self.open += u32::from(record.open && !record.closing);
    }

    pub(in crate::steering) fn subtract(&mut self, record: &FlowRecord) {
        if record.is_busy() {
            self.busy = self.busy.saturating_sub(1);
        } else if !record.closing {
            self.idle = self.idle.saturating_sub(1);
        }
        self.waiting = self.waiting.saturating_sub(u32::from(record.is_waiting()));
        let is_open = record.open && !record.closing;
        self.open = self.open.saturating_sub(u32::from(is_open));
    }

    /// Reports whether there are no flows that count.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the load as a number of requests, where each idle flow counts as
    /// `idle_flow_load`.
    #[must_use]
    pub fn in_requests(&self, idle_flow_load: f64) -> f64 {
        f64::from(self.busy) + f64::from(self.idle) * idle_flow_load
    }
}
