//! Simulated balancer: its control and data policies, and the state of its process.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, ObjectVersion};
use valvestage_core::time::to_unix_millis;
use valvestage_policy::BalancerPolicy;
use valvestage_policy::balancer::BalancerOptions;
use valvestage_policy::control::{ControlOptions, ControlPolicy, LeaseOptions, PlannedStop};
use valvestage_policy::membership::{HeartbeatOptions, PeerRecord, PeerState};

use crate::ablations::Ablation;
use crate::world::NodeEvent;

/// Duration of the balancers' leases.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Longest time to the deadline of a request.
pub const MAX_DEADLINE: Duration = Duration::from_secs(5);
/// Time without a heartbeat after which a balancer is considered dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(1_200);

/// Payload of requests and answers: the request's id and the number of the segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Payload {
    pub id: u128,
    pub segment: u16,
}

/// State of a balancer's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// The process is paused; what arrives waits until it resumes.
    Frozen,
    /// There is no process.
    Dead,
}

/// Simulated balancer.
pub struct Node {
    pub id: BalancerId,
    pub zone: usize,
    pub process_state: ProcessState,
    pub control: ControlPolicy,
    pub policy: BalancerPolicy<Payload>,
    /// Planned stop in progress.
    pub stop: Option<PlannedStop>,
    pub stop_began: Option<SystemTime>,
    /// Events that arrived while the process was frozen.
    pub inbox: Vec<NodeEvent>,
    /// Highest configuration version that was ever in force on this VM while the balancer was
    /// ready, over all processes that ran on the VM.
    pub highest_version_in_force: ObjectVersion,
    /// When the process last froze or resumed.
    pub last_frozen: Option<SystemTime>,
    pub started: SystemTime,
}

pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

pub fn node_address(id: BalancerId) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, u8::try_from(id).unwrap()], 9_000))
}

pub fn initial_peer_record(id: BalancerId, zone: usize, now: SystemTime) -> PeerRecord {
    PeerRecord {
        id,
        zone: zone_name(zone),
        data_address: node_address(id),
        peer_address: node_address(id),
        started_ms: to_unix_millis(now),
        revision: 0,
        heartbeat_count: 0,
        state: PeerState::Joining,
        lease_epoch: 0,
        configuration: 0,
        owner_map: 0,
        token_keys: 0,
    }
}

impl Node {
    pub fn new(
        id: BalancerId,
        zone: usize,
        seeds: &[(BalancerId, usize)],
        ablation: Ablation,
        now: SystemTime,
    ) -> Self {
        let seeds = seeds
            .iter()
            .map(|(id, zone)| PeerRecord { started_ms: 0, ..initial_peer_record(*id, *zone, now) });
        let control_options = ControlOptions {
            heartbeat: HeartbeatOptions { dead_after: DEAD_AFTER, ..HeartbeatOptions::default() },
            heartbeat_interval: Duration::from_millis(150),
            lease: LeaseOptions { length: LEASE_DURATION, clock_bound: Duration::from_millis(100) },
            stale_after: Duration::from_secs(2),
            join_without_platform_after: Duration::from_secs(4),
            newest_only: ablation != Ablation::NewestVersion,
            ..ControlOptions::default()
        };
        let control =
            ControlPolicy::new(control_options, initial_peer_record(id, zone, now), seeds, now);

        let mut options = BalancerOptions::new(id, zone_name(zone));
        options.requests.max_deadline = MAX_DEADLINE;
        options.requests.claims = ablation != Ablation::ClaimTable;
        options.requests.window = ablation != Ablation::CoveredWindow;
        options.requests.fence = ablation != Ablation::DeadlineFence;
        options.flows.layers.former_home = ablation != Ablation::History;
        options.flows.layers.table = ablation != Ablation::History;
        options.flows.layers.newest_only = ablation != Ablation::NewestVersion;
        options.flows.layers.service_check = ablation != Ablation::ServiceCheck;
        if ablation == Ablation::PauseDetection {
            options.pause_limit = Duration::from_secs(3_600);
        }

        Self {
            id,
            zone,
            process_state: ProcessState::Running,
            control,
            policy: BalancerPolicy::new(options),
            stop: None,
            stop_began: None,
            inbox: Vec::new(),
            highest_version_in_force: 0,
            last_frozen: None,
            started: now,
        }
    }

    /// Reports whether the fabric may send packets to this balancer.
    pub fn is_ready(&self) -> bool {
        self.process_state == ProcessState::Running && self.control.is_serving()
    }
}
