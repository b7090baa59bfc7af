//! Time per decision for established flows, and memory per flow.

use std::hint::black_box;
use std::time::{Instant, SystemTime};

use valvestage_core::ids::FlowKey;
use valvestage_policy::flows::{FlowDirector, FlowPacket, RelayHeader};

use crate::capacity::director_with_flows;
use crate::table::Table;
use valvestage_standins::seeded_rng::SeededRng;

const DECISIONS: usize = 2_000_000;

/// Prints the time per decision and the memory per flow, by flows held and number of balancers.
pub fn print_table() {
    let mut table = Table::new(&["flows held", "balancers", "ns a decision", "bytes a flow"]);

    for (flows, balancers) in [(100_000, 8), (300_000, 8), (600_000, 8), (50_000, 420)] {
        let (mut director, keys) = director_with_flows(flows, balancers);
        table.add_row(&[
            flows.to_string(),
            balancers.to_string(),
            format!("{:.0}", decision_nanoseconds(&mut director, &keys)),
            format!("{:.1}", bytes_per_flow(&director)),
        ]);
    }
    table.print("Established flows at their home balancer");
}

/// Returns the mean time of a decision in nanoseconds, for packets of established flows in random
/// order.
pub fn decision_nanoseconds(director: &mut FlowDirector, keys: &[FlowKey]) -> f64 {
    let mut rng = SeededRng::new(5);
    let order: Vec<FlowKey> = (0..DECISIONS).map(|_| keys[rng.below(keys.len())]).collect();
    let now = SystemTime::now();

    let began = Instant::now();
    for key in order {
        let packet = FlowPacket {
            key,
            service: 1,
            opening: false,
            closing: false,
            token: None,
            hop: RelayHeader::FIRST,
        };
        black_box(director.decide(now, &packet));
    }
    #[allow(clippy::cast_precision_loss)]
    let nanoseconds = began.elapsed().as_nanos() as f64 / DECISIONS as f64;
    nanoseconds
}

/// Returns the allocated bytes of the flow table per flow held.
pub fn bytes_per_flow(director: &FlowDirector) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let bytes = director.table().allocated_bytes() as f64 / director.table().len() as f64;

    bytes
}
