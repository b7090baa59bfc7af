//! Measurement of what the control plane costs a balancer without callers.

use std::fmt;
use std::fs;
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend_places::BackendPlaces;
use crate::errors::{SoakError, failed_to};
use crate::site_plan::{Routes, SERVICES, STEADY, priority_of};
use crate::soak_options::SoakOptions;
use crate::soak_site::SoakSite;

/// Time before the measurement, in which balancers discover each other and load the store's
/// objects.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Clock ticks per second (`USER_HZ`) in the CPU times that Linux reports under `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page on the VMs that measurements run on, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Costs of all balancers, each list in ascending order.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlCost {
    /// Message bytes sent per second.
    bytes_per_second: Vec<f64>,
    /// CPU time as a share of one core, in percent.
    core_percent: Vec<f64>,
    /// Resident memory in megabytes.
    memory_mb: Vec<f64>,
}

impl fmt::Display for ControlCost {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let median_and_max = |values: &[f64]| match (values.get(values.len() / 2), values.last()) {
            (Some(median), Some(maximum)) => format!("{median:.2} / {maximum:.2}"),
            _ => "-".to_owned(),
        };

        write!(
            out,
            "{} balancers, median / maximum: {} bytes sent per second, {} % of a core, {} MB",
            self.core_percent.len(),
            median_and_max(&self.bytes_per_second),
            median_and_max(&self.core_percent),
            median_and_max(&self.memory_mb)
        )
    }
}

/// Resource usage of a process: CPU time since its start, and resident memory.
struct ProcessUsage {
    processor_seconds: f64,
    memory_bytes: u64,
}

/// Runs a site without callers for a time, with a new configuration version every ten seconds, and
/// returns the costs.
pub fn measure(options: &SoakOptions, time: Duration) -> Result<ControlCost, SoakError> {
    const CHANGE_INTERVAL: Duration = Duration::from_secs(10);
    let mut site = SoakSite::start(options)?;
    let places = BackendPlaces::new(options.backends, options.seed, Instant::now());
    for place in 0..options.backends {
        let entry = places.get(place);
        site.store.put_backend(&site.plan, place, entry.instance, entry.service, false);
    }
    let routes = Routes::from([(STEADY, SERVICES[0])]);
    site.store.put_configuration(1, &routes, priority_of);
    site.start_balancers()?;
    thread::sleep(SETTLE_TIME);

    let (began, before) = (Instant::now(), usage_of_all(&site)?);
    let bytes_before = bytes_sent_by_all(&site);
    let mut version = 1;
    while began.elapsed() < time {
        thread::sleep(CHANGE_INTERVAL.min(time));
        version += 1;
        site.store.put_configuration(version, &routes, priority_of);
    }
    let (seconds, after) = (began.elapsed().as_secs_f64(), usage_of_all(&site)?);
    let bytes_after = bytes_sent_by_all(&site);

    let bytes = bytes_before.iter().zip(&bytes_after);
    let cores = before.iter().zip(&after);
    Ok(ControlCost {
        bytes_per_second: sorted(bytes.map(|(before, after)| (after - before) / seconds)),
        core_percent: sorted(cores.map(|(before, after)| {
            100.0 * (after.processor_seconds - before.processor_seconds) / seconds
        })),
        memory_mb: sorted(after.iter().map(|used| as_f64(used.memory_bytes) / 1e6)),
    })
}

fn bytes_sent_by_all(site: &SoakSite) -> Vec<f64> {
    site.sent_bytes.iter().map(|count| as_f64(count.load(Ordering::Relaxed))).collect()
}

fn usage_of_all(site: &SoakSite) -> Result<Vec<ProcessUsage>, SoakError> {
    let ids = site.balancers.iter().filter_map(|balancer| balancer.process_id());

    ids.map(|id| read_usage(id).map_err(failed_to("read a balancer's resource usage"))).collect()
}

/// Reads the usage of a process from `/proc`.
fn read_usage(id: u32) -> io::Result<ProcessUsage> {
    /// Indices of the fields of `stat` after the command name in parentheses: user time and system
    /// time.
    const CPU_TIME_FIELDS: [usize; 2] = [11, 12];
    let missing = || io::Error::other("a field of /proc is missing");
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().ok_or_else(missing)?.split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|text| text.parse::<u64>().ok());
    let [user, system] = CPU_TIME_FIELDS.map(ticks);
    let ticks = user.zip(system).map(|(user, system)| user + system).ok_or_else(missing)?;

    let statm = fs::read_to_string(format!("/proc/{id}/statm"))?;
    let resident = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    Ok(ProcessUsage {
        processor_seconds: as_f64(ticks) / TICKS_PER_SECOND,
        memory_bytes: resident.ok_or_else(missing)? * PAGE_BYTES,
    })
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();

    values.sort_by(f64::total_cmp);
    values
}

fn as_f64(count: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let value = count as f64;

    value
}
