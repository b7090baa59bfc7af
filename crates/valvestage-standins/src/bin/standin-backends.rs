//! Stand-in for all backend servers of a deployment, with one thread each.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use valvestage_core::ids::ServiceId;
use valvestage_core::settings::DeploymentSettings;
use valvestage_standins::backend::{BackendOptions, BackendServer, RunLog};
use valvestage_standins::signals::stop_flag;

/// Interval between two samples of the busy slots.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Runs stand-ins for all backend servers; writes backends.json and ran.txt when stopped
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Folder with the files of the deployment
    #[bpaf(long, argument("FOLDER"))]
    folder: PathBuf,
    /// Mean run time of a request, milliseconds
    #[bpaf(long, argument("MS"), fallback(40))]
    mean_run_ms: u64,
    /// Number of segments of each answer, sent as one datagram each
    #[bpaf(long, argument("COUNT"), fallback(3))]
    segments: u16,
}

fn main() -> io::Result<()> {
    let arguments = arguments().run();
    let stop = stop_flag()?;
    let settings = DeploymentSettings::read(&arguments.folder.join("deployment.toml"))
        .map_err(io::Error::other)?;
    let log = Arc::new(RunLog::default());

    let mut busy_slots: BTreeMap<ServiceId, Vec<Arc<AtomicU16>>> = BTreeMap::new();
    let mut servers = Vec::new();
    for record in settings.to_configuration("standin").backends {
        let service = record.service;
        let options = BackendOptions {
            seed: record.id.into(),
            record,
            mean_run_time: Duration::from_millis(arguments.mean_run_ms),
            answer_segments: arguments.segments,
        };
        let server = BackendServer::new(options, log.clone())?;
        busy_slots.entry(service).or_default().push(server.busy_slots());
        servers.push(server);
    }

    thread::scope(|scope| {
        for server in servers {
            scope.spawn(|| server.run(&stop));
        }
        sample_busy_slots(&busy_slots, &log, &stop);
    });

    let summary = serde_json::to_string_pretty(&log.summary()).map_err(io::Error::other)?;
    fs::write(arguments.folder.join("backends.json"), summary)?;
    let ran: Vec<_> =
        log.non_repeatable_run_ids().iter().map(|id| format!("{id:032x}\n")).collect();
    fs::write(arguments.folder.join("ran.txt"), ran.concat())
}

/// Samples periodically how evenly the busy slots of each service are distributed over its backend
/// servers.
fn sample_busy_slots(
    busy_slots: &BTreeMap<ServiceId, Vec<Arc<AtomicU16>>>,
    log: &RunLog,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(SAMPLE_INTERVAL);

        for counters in busy_slots.values() {
            let counts: Vec<_> =
                counters.iter().map(|c| u64::from(c.load(Ordering::Relaxed))).collect();
            let sum: u64 = counts.iter().sum();
            let max = counts.iter().copied().max().unwrap_or(0);
            if sum == 0 {
                continue;
            }

            // (max - mean) / mean, in thousandths, with mean = sum / count.
            let imbalance = (max * counts.len() as u64 - sum) * 1_000 / sum;
            log.update_summary(|summary| {
                summary.samples += 1;
                summary.imbalance_thousandths += imbalance;
            });
        }
    }
}
