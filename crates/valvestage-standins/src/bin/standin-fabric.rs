//! Stand-in for the fabric.

use std::io;
use std::path::PathBuf;

use bpaf::Bpaf;
use valvestage_standins::fabric::{FabricOptions, SprayFaults, run};
use valvestage_standins::layout::Layout;
use valvestage_standins::signals::stop_flag;

/// Sprays the packets of callers over the balancers that are ready
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Folder with the files of the deployment
    #[bpaf(long, argument("FOLDER"))]
    folder: PathBuf,
    /// Share of packets dropped
    #[bpaf(long, argument("SHARE"), fallback(0.0))]
    lost: f64,
    /// Share of packets sent twice
    #[bpaf(long, argument("SHARE"), fallback(0.0))]
    doubled: f64,
    /// Share of packets delayed until the next one has been sent
    #[bpaf(long, argument("SHARE"), fallback(0.0))]
    reordered: f64,
    /// Seed of the random numbers
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    seed: u64,
}

fn main() -> io::Result<()> {
    let arguments = arguments().run();
    let layout = Layout::read(&arguments.folder)?;
    let stop = stop_flag()?;

    let options = FabricOptions {
        caller_address: layout.fabric_callers,
        balancer_address: layout.fabric_balancers,
        balancers: layout.balancers.iter().map(|b| (b.data, b.admin)).collect(),
        faults: SprayFaults {
            loss_rate: arguments.lost,
            duplication_rate: arguments.doubled,
            reordering_rate: arguments.reordered,
        },
        seed: arguments.seed,
    };
    run(&options, &stop)?;
    Ok(())
}
