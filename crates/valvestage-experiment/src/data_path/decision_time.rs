//! Nanoseconds a decision for established flows, and bytes a flow.

use std::hint::black_box;
use std::time::{Instant, SystemTime};

use valvestage_core::ids::FlowKey;
use valvestage_policy::flows::{FlowDirector, FlowPacket, RelayHeader};

use crate::capacity::full_director;
use crate::table::Table;
use valvestage_standins::seeded_rng::SeededRng;

const DECISIONS: usize = 2_000_000;

/// Prints the table.
pub fn print_table() {
    let mut table = Table::new(&["flows held", "balancers", "ns a decision", "bytes a flow"]);

    for (flows, balancers) in [(100_000, 8), (300_000, 8), (600_000, 8), (50_000, 420)] {
        let (mut director, keys) = full_director(flows, balancers);
        table.row(&[
            flows.to_string(),
            balancers.to_string(),
            format!("{:.0}", nanoseconds(&mut director, &keys)),
            format!("{:.1}", bytes_a_flow(&director)),
        ]);
    }
    table.print("Established flows at their home balancer");
}

/// Time of a decision for flows in random order.
pub fn nanoseconds(director: &mut FlowDirector, keys: &[FlowKey]) -> f64 {
    let mut draws = SeededRng::new(5);
    let order: Vec<FlowKey> = (0..DECISIONS).map(|_| keys[draws.below(keys.len())]).collect();
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

/// Memory of the table over its flows.
pub fn bytes_a_flow(director: &FlowDirector) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let bytes = director.table().allocated_bytes() as f64 / director.table().len() as f64;

    bytes
}
