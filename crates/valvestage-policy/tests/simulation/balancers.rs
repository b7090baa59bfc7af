//! The simulated balancers: their policy, and the faults that affect them.

use std::net::SocketAddrV4;
use std::time::Instant;

use valvestage_policy::steering::{EntryOptions, EntryPolicy, HeldPackets, SteeringOptions};

use crate::events::{BalancerNumber, FlowNumber, Millis};
use crate::site::{SitePlan, ZONES, balancer_address};

/// The copies of one packet that a balancer holds.
#[derive(Debug, Clone, Copy)]
pub struct HeldCopies {
    pub flow: FlowNumber,
    /// How many of them count as dropped packets if the hold time ends: those that the balancer
    /// should have been able to decide about when they arrived.
    pub counted: u32,
}

/// A simulated balancer, running or down.
pub struct Balancer {
    /// The policy of the running process; None while the balancer is down.
    pub policy: Option<EntryPolicy>,
    /// Whether the balancer is part of the deployment. One that is to be added is not yet, and one
    /// that has left is not any more.
    pub is_member: bool,
    /// Whether the balancer has been told to stop, and still runs.
    pub is_leaving: bool,
    /// Number of starts so far.
    pub start_count: u32,
    /// When the present process first became ready.
    pub ready_at: Option<Millis>,
    /// End of the current or last pause.
    pub paused_until: Millis,
    pub is_cut_from_store: bool,
    /// Whether messages of other balancers are lost, and whether messages to them are lost.
    pub is_inbound_cut: bool,
    pub is_outbound_cut: bool,
    /// Whether everything is lost that the balancer sends.
    pub is_uplink_cut: bool,
    /// End of the last fault that affected the balancer.
    pub disturbed_at: Millis,
    /// End of the last unplanned fault. Planned work excuses no reset of an open flow.
    pub unplanned_until: Millis,
    /// The highest configuration version that was in force since the last start.
    pub highest_version: u64,
    /// When the timer fires next. Timer events for earlier times are ignored.
    pub wakes_at: Millis,
    /// Packets that the balancer cannot decide about yet.
    pub held: HeldPackets<HeldCopies>,
    /// Messages sent in the final phase, which has no faults.
    pub final_messages: usize,
}

impl Balancer {
    pub fn new(is_member: bool) -> Self {
        Self {
            policy: None,
            is_member,
            is_leaving: false,
            start_count: 0,
            ready_at: None,
            paused_until: 0,
            is_cut_from_store: false,
            is_inbound_cut: false,
            is_outbound_cut: false,
            is_uplink_cut: false,
            disturbed_at: 0,
            unplanned_until: 0,
            highest_version: 0,
            wakes_at: Millis::MAX,
            held: HeldPackets::default(),
            final_messages: 0,
        }
    }

    /// Starts a new process without any knowledge.
    pub fn start(
        &mut self,
        number: BalancerNumber,
        plan: &SitePlan,
        seeds: Vec<SocketAddrV4>,
        seed: u64,
        now: Instant,
    ) {
        self.start_count += 1;
        self.highest_version = 0;
        self.ready_at = None;
        self.held = HeldPackets::default();
        let options = EntryOptions {
            steering: SteeringOptions {
                zone: ZONES[plan.zone_of(number)].to_owned(),
                cold_limit: plan.places.map(|places| places.limit),
                ..Default::default()
            },
            peer_address: balancer_address(number),
            seeds,
            link_mbps: if plan.has_slow_links { 10.0 } else { 1_000.0 },
            evacuable_zones: plan
                .places
                .map(|_| ZONES[..plan.zones].iter().map(|zone| (*zone).to_owned()).collect()),
            is_first_start: self.start_count == 1 && plan.is_founder(number),
            seed: seed
                ^ u64::try_from(number << 8).expect("the number fits")
                ^ u64::from(self.start_count),
        };

        self.policy = Some(EntryPolicy::new(options, now));
    }

    /// Records an unplanned fault that affects the balancer until a time.
    pub fn disturb(&mut self, until: Millis) {
        self.disturbed_at = self.disturbed_at.max(until);
        self.unplanned_until = self.unplanned_until.max(until);
    }

    pub fn is_ready(&self, now: Millis) -> bool {
        !self.is_leaving
            && self.paused_until <= now
            && self.policy.as_ref().is_some_and(EntryPolicy::is_ready)
    }
}
