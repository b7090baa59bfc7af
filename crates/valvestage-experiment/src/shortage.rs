//! Shortages of slots: what the callers of two priorities get, compared with an ideal dispatcher.
//!
//! The balancers are those of [`crate::fleet`]: the product's policy with its messages and store, in
//! simulated time. Around them are backend servers with slots, a queue and rejections, and callers
//! with retransmissions and retries. Delays are constants. Given a seed, everything except the
//! measured time of decisions is deterministic.
//!
//! | module | contents |
//! |---|---|
//! | `traffic_class` | the two kinds of requests |
//! | `shortage_scenario` | what happens to traffic and backend servers |
//! | `backend_server` | a backend server with its slots and queue |
//! | `caller_flow` | flows and requests of callers |
//! | `shortage_event` | events of a run |
//! | `shortage_run` | a run: events in order of time, faults and balancers |
//! | `caller_steps` | the callers' side of a run |
//! | `server_steps` | the backend servers' side of a run |
//! | `run_tally` | counts by window and class, and the ideal dispatcher |

mod backend_server;
mod caller_flow;
mod caller_steps;
mod run_tally;
mod server_steps;
mod shortage_event;
mod shortage_run;
mod shortage_scenario;
mod traffic_class;

use bpaf::Bpaf;

use self::shortage_run::ShortageRun;
use self::shortage_scenario::SCENARIOS;

/// Sizes that are simulated if none is given.
const DEFAULT_SIZES: [usize; 4] = [8, 109, 300, 985];

/// Arguments of the command.
#[derive(Debug, Clone, Bpaf)]
pub struct ShortageOptions {
    /// Enables admission control in the balancers
    pub admission: bool,
    /// Enables pace sharing between the balancers
    pub pace: bool,
    /// Seed of all draws
    #[bpaf(fallback(1))]
    pub seed: u64,
    /// Scenario by its name; all of them if not given
    pub scenario: Option<String>,
    /// Numbers of balancers
    #[bpaf(positional("BALANCERS"))]
    pub sizes: Vec<usize>,
}

/// Prints the tables of each scenario and number of balancers.
pub fn print_tables(options: &ShortageOptions) {
    let sizes = if options.sizes.is_empty() { &DEFAULT_SIZES[..] } else { &options.sizes };

    for size in sizes {
        for scenario in &SCENARIOS {
            if options.scenario.as_ref().is_none_or(|name| name == scenario.name) {
                ShortageRun::new(*size, *scenario, options).finish().print(*size, scenario);
            }
        }
    }
}
