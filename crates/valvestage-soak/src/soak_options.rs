//! What a run is like.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use crate::fault_kind::FaultKind;

/// `SoakOptions` says what a run is like.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The balancer's program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// Seed of all draws.
    pub seed: u64,
    /// How long faults begin.
    pub faults_for: Duration,
    /// Balancers; at least one in each zone.
    pub balancers: usize,
    /// Backend servers; two services in each zone.
    pub backends: usize,
    /// New flows a second of the whole site.
    pub flows_per_second: u32,
    /// The kinds of faults that are drawn.
    pub kinds: Vec<FaultKind>,
    /// Whether promises with a bound in time are checked. On a machine whose other work is not known
    /// they cannot be.
    pub timed: bool,
    /// Ends the run early when it is set; balancers are ended with it.
    pub stop: Arc<AtomicBool>,
    /// What is spoiled on purpose, so that a test can show that a check is able to fail.
    pub sabotage: Option<Sabotage>,
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
            sabotage: None,
        }
    }
}

/// `Sabotage` takes one mechanism away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    /// Balancers are not told that backend servers drain or change.
    HideBackends,
    /// Balancers are not told of configurations after the first.
    HideConfigurations,
    /// Balancers are told of configurations that do not have the steady route.
    DropRoute,
    /// Balancers are told newer versions with older routes.
    RollBack,
    /// Balancers are told that each backend server runs the other service.
    SwapServices,
    /// Packets without data go to another backend server.
    Misroute,
    /// Packets are changed on their way to backend servers.
    SpoilPackets,
    /// Answers are changed on their way to callers.
    SpoilAnswers,
    /// Requests are run once more.
    RunTwice,
    /// Callers get resets that no balancer decided on.
    ForgeResets,
    /// Killed balancers are not started again.
    LeaveDead,
    /// A balancer is ended behind the run's back.
    EndUnseen,
}
