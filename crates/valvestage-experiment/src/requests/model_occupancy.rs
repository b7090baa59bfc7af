//! Sampling of how evenly the slots of the model's backend servers are used.

use std::time::Duration;

use super::model::Model;
use super::model_event::Event;

/// Interval at which the occupancy of slots is sampled.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of samples in a window of one second.
const SAMPLES_PER_SECOND: u32 = 10;

impl Model<'_> {
    pub(super) fn sample_occupancy(&mut self) {
        let busy: Vec<u32> = self.servers.values().map(|s| s.running.len() as u32).collect();
        add_imbalance(&mut self.measures.imbalance_100ms_sum, &busy);

        for (server, busy) in self.servers.values_mut().zip(&busy) {
            server.busy_sum += busy;
        }
        self.samples += 1;
        if self.samples.is_multiple_of(SAMPLES_PER_SECOND) {
            let sums: Vec<u32> =
                self.servers.values_mut().map(|s| std::mem::take(&mut s.busy_sum)).collect();
            add_imbalance(&mut self.measures.imbalance_1s_sum, &sums);
        }
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
    }
}

/// Adds (max - mean) / mean to a sum of imbalances and counts it. Skips samples without busy slots.
fn add_imbalance(sum: &mut (f64, u64), busy: &[u32]) {
    let total: u32 = busy.iter().sum();
    if total == 0 {
        return;
    }

    let mean = f64::from(total) / f64::from(busy.len() as u32);
    let max = f64::from(busy.iter().copied().max().unwrap_or(0));
    sum.0 += (max - mean) / mean;
    sum.1 += 1;
}
