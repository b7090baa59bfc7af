//! What is printed of one seed, to find out why something happened.
//!
//! ```text
//! VALVESTAGE_TRACE=decisions,faults VALVESTAGE_TRACE_FLOW=9 VALVESTAGE_SEEDS=17 cargo test ... traced -- --ignored --nocapture
//! ```

use crate::events::FlowNumber;

/// `TraceOptions` says what is printed. Nothing without the variables of the environment.
#[derive(Debug, Clone, Copy, Default)]
pub struct TraceOptions {
    /// What balancers decide and learn.
    pub decisions: bool,
    /// Faults as they begin and end.
    pub faults: bool,
    /// Messages between balancers.
    pub messages: bool,
    /// Packets of this flow, with what becomes of them.
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
            flow: flow.map(|text| text.parse().expect("a flow's number")),
        }
    }
}
