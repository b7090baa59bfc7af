//! Label sets of the metrics.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use valvestage_core::{RefusalReason, RetryReason};
use valvestage_policy::flows::FlowSource;

/// Label of the refusal counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Label of a [`RefusalReason`].
    pub reason: &'static str,
}

impl From<RefusalReason> for ReasonLabel {
    fn from(reason: RefusalReason) -> Self {
        Self { reason: reason.label() }
    }
}

/// Label of the retry counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabel {
    /// Label of a [`RetryReason`].
    pub reason: &'static str,
}

impl From<RetryReason> for RetryLabel {
    fn from(reason: RetryReason) -> Self {
        Self { reason: reason.label() }
    }
}

/// Label of the flow packet counter: the layer that found the flow's backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabel {
    /// `token`, `table`, `placement` or `history`.
    pub layer: &'static str,
}

impl From<FlowSource> for SourceLabel {
    fn from(source: FlowSource) -> Self {
        let layer = match source {
            FlowSource::Token => "token",
            FlowSource::Table => "table",
            FlowSource::Placement => "placement",
            FlowSource::History => "history",
        };

        Self { layer }
    }
}

/// Label of the control traffic gauge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Result of a platform call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlatformResult {
    /// The platform carried out the call.
    Done,
    /// The write was rejected because the object has another version than expected.
    Conflict,
    /// No usable answer arrived.
    NoAnswer,
}

impl EncodeLabelValue for PlatformResult {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        let label = match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::NoAnswer => "no_answer",
        };

        EncodeLabelValue::encode(&label, encoder)
    }
}

/// Labels of the platform call counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlatformLabel {
    /// `read`, `write` or `watch`.
    pub call: &'static str,
    /// Result of the call.
    pub result: PlatformResult,
}
