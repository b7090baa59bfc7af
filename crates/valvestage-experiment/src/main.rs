//! `valvestage-experiment`: measurements, from fixed seeds.
//!
//! | command | measures |
//! |---|---|
//! | `requests` | ways to spread requests over slots, steady and under faults, and overload |
//! | `placement` | ways to place flows where each balancer sees only its own |
//! | `flows` | ways to keep flows on their backend servers through changes |
//! | `capacity` | slopes of state, messages and processor time |
//! | `data-path` | packets a second against a bare relay, nanoseconds a decision |

mod capacity;
mod data_path;
mod deployment;
mod flows;
mod placement;
mod requests;
mod table;

use bpaf::Bpaf;

/// Prints tables of measurements
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Ways to spread requests over slots; the same on each run
    #[bpaf(command)]
    Requests,
    /// Ways to place flows where each balancer sees only its own; the same on each run
    #[bpaf(command)]
    Placement,
    /// Ways to keep flows through changes; the same on each run
    #[bpaf(command)]
    Flows,
    /// Slopes for docs/CAPACITY.md
    #[bpaf(command)]
    Capacity,
    /// The data path of one balancer against a bare relay
    #[bpaf(command)]
    DataPath,
}

fn main() {
    match command().run() {
        Command::Requests => requests::print_tables(),
        Command::Placement => placement::print_tables(),
        Command::Flows => flows::print_tables(),
        Command::Capacity => capacity::print_tables(),
        Command::DataPath => data_path::print_tables(),
    }
}
