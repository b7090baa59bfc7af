//! Labels of the metrics.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use valvestage_core::{RefusalReason, RetryReason};
use valvestage_policy::flows::FlowSource;

/// `ReasonLabel` tells refusals apart.
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

/// `RetryLabel` tells retries apart.
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

/// `SourceLabel` tells the layers apart that found a flow's backend server.
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

/// `DirectionLabel` tells bytes sent from bytes received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// `PlatformResult` is the result of a platform call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlatformResult {
    /// It was carried out.
    Done,
    /// The object had another version.
    Conflict,
    /// No answer came.
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

/// `PlatformLabel` tells platform calls apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlatformLabel {
    /// `read`, `write` or `watch`.
    pub call: &'static str,
    /// How it ended.
    pub result: PlatformResult,
}
