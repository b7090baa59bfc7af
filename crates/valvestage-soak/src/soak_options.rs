//! Options of a run.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use crate::fault_kind::FaultKind;

/// Options of one run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Path of the balancer's executable.
    pub program: PathBuf,
    /// Folder for the balancers' settings files and logs; created if it does not exist.
    pub folder: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the fault phase; no fault begins later.
    pub faults_for: Duration,
    /// Number of balancers; at least one in each zone.
    pub balancers: usize,
    /// Number of backend servers; enough that each zone has both services.
    pub backends: usize,
    /// New flows per second over the whole site.
    pub flows_per_second: u32,
    /// Kinds of faults to draw from.
    pub kinds: Vec<FaultKind>,
    /// Whether promises with a time bound are checked. They cannot be checked on a VM with unknown
    /// other load, which may delay balancers beyond any bound.
    pub timed: bool,
    /// Ends the run early when set to true; the balancers are killed as well.
    pub stop: Arc<AtomicBool>,
    /// Defect injected on purpose, so that a test can show that a check is able to fail.
    pub defect: Option<InjectedDefect>,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            program: PathBuf::from("target/release/valvestage-entry"),
            folder: std::env::temp_dir().join(format!("valvestage-soak-{}", std::process::id())),
            seed: 1,
            faults_for: Duration::from_secs(30),
            balancers: 6,
            backends: 12,
            flows_per_second: 60,
            kinds: FaultKind::ALL.to_vec(),
            timed: true,
            stop: Arc::default(),
            defect: None,
        }
    }
}

/// Defect that disables or corrupts one mechanism, to test the checks themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Draining and deletion of backend servers are not written to the store.
    WithholdBackendChanges,
    /// Configurations after the first are not written to the store.
    WithholdConfigurations,
    /// Configurations after the first are written without the route of the steady address.
    DropRoute,
    /// Newer configuration versions are written with older routes than they should have.
    RollBack,
    /// Each backend server's entry names the other service.
    SwapServices,
    /// Packets without data, other than opening packets, arrive at another backend server.
    Misroute,
    /// Packets are corrupted on their way to backend servers.
    CorruptPackets,
    /// Answers are corrupted on their way to callers.
    CorruptAnswers,
    /// Each request is reported as executed twice.
    RunTwice,
    /// Callers treat packets with data as resets by a balancer.
    ForgeResets,
    /// Configurations give the least urgent routes the highest priority, and the other way round.
    ReversePriorities,
    /// Killed balancers are not restarted.
    SkipRestarts,
    /// Kills of balancers are not recorded as intended, so that they look like crashes.
    UnrecordedKill,
}
