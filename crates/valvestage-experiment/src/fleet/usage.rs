//! Resources that the balancers use over a span of time.

use std::time::Duration;

/// Cumulative resource usage of one balancer.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeUsage {
    /// Datagrams sent to other balancers.
    pub sent_datagrams: u64,
    /// Bytes of these datagrams in their encoded form.
    pub sent_bytes: u64,
    /// Bytes received from other balancers.
    pub received_bytes: u64,
    /// Bytes sent to balancers in other availability zones.
    pub cross_zone_bytes: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Time spent in calls of the policy.
    pub busy_time: Duration,
}

/// Resource usage of each balancer over a span of time.
#[derive(Debug, Clone)]
pub struct FleetUsage {
    nodes: Vec<NodeUsage>,
    span: Duration,
}

impl FleetUsage {
    /// Returns the usage between two readings of the counters, which are a span of time apart.
    pub fn between(before: &[NodeUsage], after: &[NodeUsage], span: Duration) -> Self {
        let used = |(before, after): (&NodeUsage, &NodeUsage)| NodeUsage {
            sent_datagrams: after.sent_datagrams - before.sent_datagrams,
            sent_bytes: after.sent_bytes - before.sent_bytes,
            received_bytes: after.received_bytes - before.received_bytes,
            cross_zone_bytes: after.cross_zone_bytes - before.cross_zone_bytes,
            store_calls: after.store_calls - before.store_calls,
            busy_time: after.busy_time - before.busy_time,
        };

        Self { nodes: before.iter().zip(after).map(used).collect(), span }
    }

    /// Returns the rows of a report. All but the calls to the store are rates per second: the mean
    /// of all balancers, that of the busiest balancer, or the total.
    pub fn rows(&self) -> Vec<(&'static str, f64)> {
        vec![
            (
                "datagrams sent a second, mean",
                self.mean_per_second(|node| node.sent_datagrams as f64),
            ),
            ("the same, busiest", self.max_per_second(|node| node.sent_datagrams as f64)),
            ("bytes sent a second, mean", self.mean_per_second(|node| node.sent_bytes as f64)),
            ("the same, busiest", self.max_per_second(|node| node.sent_bytes as f64)),
            (
                "bytes received a second, busiest",
                self.max_per_second(|node| node.received_bytes as f64),
            ),
            (
                "bytes to other zones a second, all",
                self.total_per_second(|node| node.cross_zone_bytes as f64),
            ),
            (
                "processor ms a second, mean",
                self.mean_per_second(|node| node.busy_time.as_secs_f64() * 1e3),
            ),
            ("the same, busiest", self.max_per_second(|node| node.busy_time.as_secs_f64() * 1e3)),
            (
                "calls to the store, all",
                self.total_per_second(|node| node.store_calls as f64) * self.seconds(),
            ),
        ]
    }

    fn seconds(&self) -> f64 {
        self.span.as_secs_f64()
    }

    fn total_per_second(&self, measure: impl Fn(&NodeUsage) -> f64) -> f64 {
        self.nodes.iter().map(measure).sum::<f64>() / self.seconds()
    }

    fn mean_per_second(&self, measure: impl Fn(&NodeUsage) -> f64) -> f64 {
        self.total_per_second(measure) / self.nodes.len() as f64
    }

    fn max_per_second(&self, measure: impl Fn(&NodeUsage) -> f64) -> f64 {
        self.nodes.iter().map(measure).fold(0.0, f64::max) / self.seconds()
    }
}
