//! Throughput of the data path of one balancer, compared with a bare relay in the same run.

pub mod decision_time;
mod packet_rate;

use crate::table::Table;

/// Number of runs of each subject. The subjects alternate, and ratios use their medians.
const RUNS: usize = 5;

/// Prints the time per decision and the packets per second.
pub fn print_tables() {
    decision_time::print_table();

    let mut relay = Vec::new();
    let mut balancer = Vec::new();
    let mut with_token = Vec::new();
    for _ in 0..RUNS {
        relay.push(packet_rate::relay());
        balancer.push(packet_rate::balancer(false));
        with_token.push(packet_rate::balancer(true));
    }

    let mut table =
        Table::new(&["what", "packets a second (median)", "least", "most", "over the relay"]);
    let base = median(&relay);
    for (name, rates) in [
        ("bare relay, batched", &relay),
        ("balancer, established flows by table", &balancer),
        ("balancer, established flows by token", &with_token),
    ] {
        let least = rates.iter().copied().fold(f64::MAX, f64::min);
        let most = rates.iter().copied().fold(0.0, f64::max);
        table.row(&[
            name.to_owned(),
            format!("{:.0}", median(rates)),
            format!("{least:.0}"),
            format!("{most:.0}"),
            format!("{:.2}", median(rates) / base),
        ]);
    }
    table.print("One balancer, 100 bytes of payload, loopback");
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);

    sorted[sorted.len() / 2]
}
