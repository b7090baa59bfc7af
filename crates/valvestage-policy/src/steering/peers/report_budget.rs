//! Limit on the size of the observations in a heartbeat.

use super::peer_message::{
    BalancerReport, HealthReport, ServiceDemand, SuspicionReport, long_varint_bytes, varint_bytes,
};

/// Maximum size of the observations in a heartbeat, in bytes: a VM may send 4 KB of control traffic
/// per second in some ten heartbeats, of which the rest and the headers take 140 bytes each.
pub const REPORT_BYTES: usize = 4_000 / 10 - 140;

/// Shortens a report to [`REPORT_BYTES`]. Beside load, the counts of outcomes go first, since in a
/// shortage full backend servers reject requests as well as faulty ones, then paces, then the load of
/// all services but the first. Without load, the counts of outcomes go last. Suspicions, signs of
/// life, avoidances, demand and the load of the first service always stay.
pub fn fit_report(report: &mut BalancerReport) {
    let has_load = !report.loads.is_empty();

    while report_bytes(report) > REPORT_BYTES {
        let is_shorter = has_load && report.health.outcomes.pop().is_some()
            || report.health.paces.pop().is_some()
            || report.loads.len() > 1 && report.loads.pop().is_some()
            || report.health.outcomes.pop().is_some();
        if !is_shorter {
            return;
        }
    }
}

/// Returns the size of the observations in the codec's encoding.
fn report_bytes(report: &BalancerReport) -> usize {
    /// The numbers of suspects, outcomes, avoidances, signs of life, paces, demands and loads, and
    /// the tag of the demands.
    const COUNT_BYTES: usize = 8;
    let demand_bytes = |demand: &ServiceDemand| {
        varint_bytes(demand.service) + varint_bytes(demand.busy_hundredths)
    };
    let demands: usize = report.demands.iter().map(demand_bytes).sum();
    let loads: usize = report.loads.iter().map(|load| load.bytes()).sum();

    COUNT_BYTES + health_bytes(&report.health) + demands + loads
}

fn health_bytes(health: &HealthReport) -> usize {
    let suspects = health.suspects.iter().map(SuspicionReport::bytes);
    let outcomes = health.outcomes.iter().map(|report| {
        let counts = [report.answered_tenths, report.poor_tenths, report.expected_tenths];
        let counts = counts.into_iter().map(|count| varint_bytes(count.into()));
        long_varint_bytes(report.instance) + counts.sum::<usize>()
    });
    let avoided = health
        .avoided
        .iter()
        .map(|report| long_varint_bytes(report.instance) + varint_bytes(report.left_ms));
    let alive = health
        .alive
        .iter()
        .map(|report| long_varint_bytes(report.instance) + varint_bytes(report.answered_ago_ms));
    let paces = health.paces.iter().map(|report| {
        /// The codec stores the sign of a number in its lowest bit.
        const SIGN_FACTOR: u32 = 2;
        let log_sum = u32::from(report.log_sum_tenths.unsigned_abs());
        long_varint_bytes(report.instance)
            + varint_bytes(report.answers_tenths.into())
            + varint_bytes(log_sum * SIGN_FACTOR)
    });

    suspects.chain(outcomes).chain(avoided).chain(alive).chain(paces).sum()
}
