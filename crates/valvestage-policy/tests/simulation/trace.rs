//! Trace output of one seed, to find the cause of a violation.
//!
//! ```text
//! VALVESTAGE_TRACE=decisions,faults VALVESTAGE_TRACE_FLOW=9 VALVESTAGE_SEEDS=17 cargo test ... traced -- --ignored --nocapture
//! ```

use crate::events::FlowNumber;

/// What a trace prints, as set by environment variables; by default nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct TraceOptions {
    /// Decisions of balancers, and changes of their knowledge.
    pub decisions: bool,
    /// Faults as they begin and end.
    pub faults: bool,
    /// Messages between balancers.
    pub messages: bool,
    /// Packets of this flow, with the verdicts on them and the answers.
    pub flow: Option<FlowNumber>,
}

impl TraceOptions {
    pub fn from_environment() -> Self {
        let Ok(words) = std::env::var("VALVESTAGE_TRACE") else { return Self::default() };
        let has = |word: &str| words.split(',').any(|other| other == word);
        let flow = std::env::var("VALVESTAGE_TRACE_FLOW").ok();

        Self {
            decisions: has("decisions"),
            faults: has("faults"),
            messages: has("messages"),
            flow: flow
                .map(|text| text.parse().expect("VALVESTAGE_TRACE_FLOW is the number of a flow")),
        }
    }
}
