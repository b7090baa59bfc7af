//! Report of a demo: reads the results of the stand-ins, prints them as a table, and fails if a
//! guarantee was violated.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use serde::de::DeserializeOwned;
use valvestage_standins::backend::RunSummary;
use valvestage_standins::caller::CallerSummary;

/// Prints the results of a demo; exit code 1 if a guarantee was violated
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Folder with the files of the deployment
    #[bpaf(long, argument("FOLDER"))]
    folder: PathBuf,
}

fn main() -> io::Result<ExitCode> {
    let folder = arguments().run().folder;
    let caller: CallerSummary = read(&folder, "caller.json")?;
    let backends: RunSummary = read(&folder, "backends.json")?;
    let control_rate = control_bytes_per_second(&folder)?;

    // A request that was refused as not run must not be in the record of runs.
    let ran = fs::read_to_string(folder.join("ran.txt"))?;
    let ran: HashSet<&str> = ran.lines().collect();
    let false_not_run = caller.not_run_ids.iter().filter(|id| ran.contains(id.as_str())).count();

    let broken = caller.broken_echoing + caller.broken_silent;
    let classified = caller.answered + caller.not_run + caller.in_doubt + caller.untold;
    println!("flows kept               {}", caller.kept_echoing + caller.kept_silent);
    println!("flows broken             {broken}");
    println!("flows never opened       {}", caller.never_opened);
    println!("requests sent            {} (and {} resends)", caller.requests, caller.resent);
    println!("requests answered        {}", caller.answered);
    println!(
        "requests not run         {} (false: {false_not_run} ran nevertheless)",
        caller.not_run
    );
    println!(
        "requests in doubt        {} (and {} without any result)",
        caller.in_doubt, caller.untold
    );
    println!("ran more than once       {}", backends.repeated);
    println!("packets misdelivered     {}", backends.misdelivered);
    println!("foreign answers          {}", caller.foreign_answers);
    println!("contradictory results    {}", caller.contradicted);
    println!("refused, slots full      {}", backends.shed);
    println!("peak slots in use        {}%", backends.peak_slots_percent);
    println!("imbalance (100 ms)       {}", imbalance(&backends));
    println!(
        "time to answer           {:.1} ms median, {:.1} ms p99",
        caller.median_ms, caller.p99_ms
    );
    println!("control bytes/s          {control_rate}");

    let has_passed = broken == 0
        && caller.never_opened == 0
        && false_not_run == 0
        && backends.repeated == 0
        && backends.misdelivered == 0
        && caller.foreign_answers == 0
        && caller.contradicted == 0
        && classified == caller.requests
        && caller.answered > 0;
    println!("guarantees               {}", if has_passed { "held" } else { "VIOLATED" });
    Ok(if has_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn read<T: DeserializeOwned>(folder: &Path, name: &str) -> io::Result<T> {
    let text = fs::read_to_string(folder.join(name))?;

    serde_json::from_str(&text).map_err(io::Error::other)
}

fn imbalance(backends: &RunSummary) -> String {
    if backends.samples == 0 {
        return "no samples".to_owned();
    }

    #[allow(clippy::cast_precision_loss)]
    let mean = backends.imbalance_thousandths as f64 / backends.samples as f64 / 1_000.0;
    format!("{mean:.2} mean over {} samples", backends.samples)
}

/// Formats the rate of bytes that a balancer sends to its peers, from the metrics of each balancer
/// at the start and the end of the load.
fn control_bytes_per_second(folder: &Path) -> io::Result<String> {
    let start = sent_bytes(folder, "metrics-start")?;
    let end = sent_bytes(folder, "metrics-end")?;
    let seconds: f64 =
        fs::read_to_string(folder.join("metrics-seconds"))?.trim().parse().unwrap_or(1.0);

    let rates: Vec<f64> = start.iter().zip(&end).map(|(s, e)| (e - s) / seconds).collect();
    let peak = rates.iter().copied().fold(0.0, f64::max);
    #[allow(clippy::cast_precision_loss)]
    let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    Ok(format!("{mean:.0} mean, {peak:.0} max, sent to peers by one balancer"))
}

fn sent_bytes(folder: &Path, prefix: &str) -> io::Result<Vec<f64>> {
    const METRIC_PREFIX: &str = "valvestage_control_bytes{direction=\"sent\"} ";
    let mut sent = Vec::new();

    for id in 1.. {
        let Ok(text) = fs::read_to_string(folder.join(format!("{prefix}-{id}.txt"))) else {
            break;
        };
        let line = text.lines().find_map(|line| line.strip_prefix(METRIC_PREFIX));
        sent.push(line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0));
    }
    Ok(sent)
}
