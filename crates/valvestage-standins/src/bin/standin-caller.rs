//! Stand-in for callers: a load generator of flows and requests.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use valvestage_core::settings::DeploymentSettings;
use valvestage_standins::caller::{CallerOptions, ServiceLoad, run};
use valvestage_standins::layout::Layout;

/// Holds flows, sends requests and writes the results into caller.json
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Folder with the files of the deployment
    #[bpaf(long, argument("FOLDER"))]
    folder: PathBuf,
    /// Duration of the load, seconds
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Number of flows to each service
    #[bpaf(long, argument("COUNT"), fallback(200))]
    flows: usize,
    /// Share of all slots that the requests keep busy on average
    #[bpaf(long, argument("SHARE"), fallback(0.5))]
    load: f64,
    /// Mean run time of the backend servers, milliseconds
    #[bpaf(long, argument("MS"), fallback(40))]
    mean_run_ms: u64,
    /// Time from a request to its deadline, milliseconds
    #[bpaf(long, argument("MS"), fallback(8_000))]
    patience_ms: u64,
    /// Seed of the random numbers
    #[bpaf(long, argument("NUMBER"), fallback(7))]
    seed: u64,
}

fn main() -> io::Result<()> {
    let arguments = arguments().run();
    let layout = Layout::read(&arguments.folder)?;
    let settings = DeploymentSettings::read(&arguments.folder.join("deployment.toml"))
        .map_err(io::Error::other)?;

    let services = settings.services.iter().map(|service| {
        #[allow(clippy::cast_precision_loss)]
        let slots = f64::from(service.slots) * service.backends.len() as f64;
        let runs_per_second =
            1_000.0 / Duration::from_millis(arguments.mean_run_ms).as_millis() as f64;
        ServiceLoad {
            address: service.address,
            flows: arguments.flows,
            requests_per_second: slots * runs_per_second * arguments.load,
        }
    });
    let options = CallerOptions {
        fabric: layout.fabric_callers,
        services: services.collect(),
        duration: Duration::from_secs(arguments.seconds),
        flow_pause: Duration::from_millis(200),
        echoing_share: 0.5,
        non_repeatable_share: 0.5,
        request_timeout: Duration::from_millis(arguments.patience_ms),
        resend_pause: Duration::from_millis(500),
        seed: arguments.seed,
    };

    let summary = serde_json::to_string_pretty(&run(options)?).map_err(io::Error::other)?;
    fs::write(arguments.folder.join("caller.json"), summary)
}
