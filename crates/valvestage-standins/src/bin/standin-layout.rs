//! Generator of the addresses, secrets and settings of a deployment.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use valvestage_standins::layout::{find_plan, write_layout};

/// Writes addresses (free loopback ports), secrets and settings of a deployment into a folder
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Folder to write into
    #[bpaf(long, argument("FOLDER"))]
    folder: PathBuf,
    /// Region of the deployment: bzh-ouest or rs-sul
    #[bpaf(long, argument("REGION"), fallback("bzh-ouest".to_owned()))]
    deployment: String,
    /// Seed from which the secrets are derived
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let Some(plan) = find_plan(&arguments.deployment) else {
        eprintln!("standin-layout: unknown deployment {}", arguments.deployment);
        return ExitCode::from(2);
    };

    match write_layout(plan, &arguments.folder, arguments.seed, "") {
        Ok(layout) => {
            println!("{} balancers in {}", layout.balancers.len(), arguments.folder.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("standin-layout: failed to write the deployment: {error}");
            ExitCode::FAILURE
        }
    }
}
