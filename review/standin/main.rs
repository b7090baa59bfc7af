//! Stand-ins for the cases of the review: the platform's store, the routers, backends and clients of
//! one small deployment, around real processes of `valvestage-entry`.
//!
//! `standin CASE FOLDER` plays a case, writes `FOLDER/record.txt` and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.
//! Only the standard library is used, so that `rustc` builds it without a network.

mod backend;
mod balancer;
mod client;
mod deployment;
mod packet;
mod record;
mod router;
mod site;
mod store;

mod foreign_entry;
mod idle_flows;
mod new_routes;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);

    let outcome = match case.as_str() {
        "idle-flows" => idle_flows::play(&folder, has_trouble),
        "foreign-entry" => foreign_entry::play(&folder, has_trouble),
        "foreign-entry-drain" => foreign_entry::play_drain(&folder, has_trouble),
        "new-routes" => new_routes::play(&folder, has_trouble),
        other => Err(format!("unknown case {other}")),
    };
    match outcome {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
