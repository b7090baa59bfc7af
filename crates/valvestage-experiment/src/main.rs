//! `valvestage-experiment`: simulations and benchmarks with fixed seeds.
//!
//! | command | measures |
//! |---|---|
//! | `requests` | strategies for spreading requests over slots: steady load, faults, overload |
//! | `placement` | strategies for placing flows when each balancer knows only its own flows |
//! | `flows` | strategies for keeping flows on their backend servers during changes |
//! | `capacity` | growth of state, messages and processor time with the size of a deployment |
//! | `fleet` | costs and delays by number of entry VMs, up to a whole fleet |
//! | `shortage` | what callers get while a service is short of slots, next to an ideal dispatcher |
//! | `data-path` | packets per second compared with a bare relay, nanoseconds per decision |

mod capacity;
mod data_path;
mod deployment;
mod event_queue;
mod fleet;
mod flows;
mod placement;
mod requests;
mod shortage;
mod table;

use bpaf::Bpaf;

/// Prints tables of measurements
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Strategies for spreading requests over slots; deterministic
    #[bpaf(command)]
    Requests,
    /// Strategies for placing flows when each balancer knows only its own; deterministic
    #[bpaf(command)]
    Placement,
    /// Strategies for keeping flows on their backend servers during changes; deterministic
    #[bpaf(command)]
    Flows,
    /// Growth of state, messages and processor time, for docs/CAPACITY.md
    #[bpaf(command)]
    Capacity,
    /// Costs and delays by number of entry VMs
    #[bpaf(command)]
    Fleet {
        /// Simulates only a first start and a restart of all balancers
        #[bpaf(long("starts"))]
        starts_only: bool,
        /// Number of balancers of each fleet, with ten backend servers per balancer
        #[bpaf(positional("BALANCERS"))]
        sizes: Vec<usize>,
    },
    /// Requests of two priorities while a service is short of slots
    #[bpaf(command)]
    Shortage(#[bpaf(external(shortage::shortage_options))] shortage::ShortageOptions),
    /// The data path of one balancer compared with a bare relay
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
        Command::Shortage(options) => shortage::print_tables(&options),
        Command::DataPath => data_path::print_tables(),
    }
}
