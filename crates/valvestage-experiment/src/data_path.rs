//! Throughput of the data path of one balancer, compared with a bare relay in the same run.

pub mod decision_time;
mod packet_rate;

use crate::table::Table;

/// Number of runs of each subject. The subjects alternate, and ratios use their medians.
const RUNS: usize = 5;

/// Prints the time per decision and the packets per second.
pub fn print_tables() {
    decision_time::print_table();

    let mut relay_rates = Vec::new();
    let mut balancer_rates = Vec::new();
    let mut token_rates = Vec::new();
    for _ in 0..RUNS {
        relay_rates.push(packet_rate::measure_relay());
        balancer_rates.push(packet_rate::measure_balancer(false));
        token_rates.push(packet_rate::measure_balancer(true));
    }

    let mut table =
        Table::new(&["what", "packets a second (median)", "least", "most", "over the relay"]);
    let relay_median = median(&relay_rates);
    for (name, rates) in [
        ("bare relay, batched", &relay_rates),
        ("balancer, established flows by table", &balancer_rates),
        ("balancer, established flows by token", &token_rates),
    ] {
        let least = rates.iter().copied().fold(f64::MAX, f64::min);
        let most = rates.iter().copied().fold(0.0, f64::max);
        table.add_row(&[
            name.to_owned(),
            format!("{:.0}", median(rates)),
            format!("{least:.0}"),
            format!("{most:.0}"),
            format!("{:.2}", median(rates) / relay_median),
        ]);
    }
    table.print("One balancer, 100 bytes of payload, loopback");
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);

    sorted[sorted.len() / 2]
}
