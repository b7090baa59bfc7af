//! `valvestage-experiment`: measurements, from fixed seeds.
//!
//! | command | measures |
//! |---|---|
//! | `requests` | ways to spread requests over slots, steady and under faults, and overload |
//! | `placement` | ways to place flows where each balancer sees only its own |
//! | `flows` | ways to keep flows on their backend servers through changes |
//! | `capacity` | slopes of state, messages and processor time |
//! | `fleet` | what grows with the number of entry VMs, up to a whole fleet |
//! | `data-path` | packets a second against a bare relay, nanoseconds a decision |

mod capacity;
mod data_path;
mod deployment;
mod fleet;
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
    /// What grows with the number of entry VMs
    #[bpaf(command)]
    Fleet {
        /// Plays only a first start and a restart of all
        #[bpaf(long("starts"))]
        starts_only: bool,
        /// Balancers of each fleet, each with ten backend servers
        #[bpaf(positional("BALANCERS"))]
        sizes: Vec<usize>,
    },
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
        Command::Fleet { starts_only, sizes } => fleet::print_tables(&sizes, starts_only),
        Command::DataPath => data_path::print_tables(),
    }
}
