//! Resources that the balancers use over a span of time.

use std::time::Duration;

/// Cumulative resource usage of one balancer.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeUsage {
    /// Datagrams sent to other balancers.
    pub sent: u64,
    /// Bytes of these datagrams in their encoded form.
    pub sent_bytes: u64,
    /// Bytes received from other balancers.
    pub received_bytes: u64,
    /// Bytes sent to balancers in other availability zones.
    pub far_bytes: u64,
    /// Calls to the store.
    pub calls: u64,
    /// Time spent in calls of the policy.
    pub busy: Duration,
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
            sent: after.sent - before.sent,
            sent_bytes: after.sent_bytes - before.sent_bytes,
            received_bytes: after.received_bytes - before.received_bytes,
            far_bytes: after.far_bytes - before.far_bytes,
            calls: after.calls - before.calls,
            busy: after.busy - before.busy,
        };

        Self { nodes: before.iter().zip(after).map(used).collect(), span }
    }

    /// Returns the rows of a report. All but the calls to the store are rates per second: the mean
    /// of all balancers, that of the busiest balancer, or the total.
    pub fn rows(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("datagrams sent a second, mean", self.mean(|node| node.sent as f64)),
            ("the same, busiest", self.most(|node| node.sent as f64)),
            ("bytes sent a second, mean", self.mean(|node| node.sent_bytes as f64)),
            ("the same, busiest", self.most(|node| node.sent_bytes as f64)),
            ("bytes received a second, busiest", self.most(|node| node.received_bytes as f64)),
            ("bytes to other zones a second, all", self.total(|node| node.far_bytes as f64)),
            ("processor ms a second, mean", self.mean(|node| node.busy.as_secs_f64() * 1e3)),
            ("the same, busiest", self.most(|node| node.busy.as_secs_f64() * 1e3)),
            ("calls to the store, all", self.total(|node| node.calls as f64) * self.seconds()),
        ]
    }

    fn seconds(&self) -> f64 {
        self.span.as_secs_f64()
    }

    fn total(&self, measure: impl Fn(&NodeUsage) -> f64) -> f64 {
        self.nodes.iter().map(measure).sum::<f64>() / self.seconds()
    }

    fn mean(&self, measure: impl Fn(&NodeUsage) -> f64) -> f64 {
        self.total(measure) / self.nodes.len() as f64
    }

    fn most(&self, measure: impl Fn(&NodeUsage) -> f64) -> f64 {
        self.nodes.iter().map(measure).fold(0.0, f64::max) / self.seconds()
    }
}
