//! Simulated network: delays, partitions, and packet loss, duplication and reordering.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use valvestage_core::Backend;
use valvestage_core::ids::BalancerId;
use valvestage_policy::control::PlatformCall;

use crate::world::{Event, NodeEvent, PlatformCallSource, World};

const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1);
const CALLER_DELAY: Duration = Duration::from_millis(3);
const PLATFORM_DELAY: Duration = Duration::from_millis(2);
const SLOW_PLATFORM_DELAY: Duration = Duration::from_millis(1_500);
const MAX_REORDER_DELAY: Duration = Duration::from_millis(30);

/// Present condition of the simulated network.
#[derive(Debug, Default)]
pub struct Network {
    /// Availability zones that are partitioned from the other zones.
    pub zones_cut_from_zones: BTreeSet<usize>,
    /// Availability zones that are partitioned from the platform.
    pub zones_cut_from_platform: BTreeSet<usize>,
    /// Fraction of the packets that are lost, 0 to 1.
    pub loss_fraction: f64,
    /// Fraction of the packets that are duplicated, 0 to 1.
    pub duplicate_fraction: f64,
    /// Fraction of the packets that are delayed, so that others overtake them, 0 to 1.
    pub reorder_fraction: f64,
    pub platform_is_slow: bool,
}

impl Network {
    pub fn is_cut(&self, left: usize, right: usize) -> bool {
        left != right
            && (self.zones_cut_from_zones.contains(&left)
                || self.zones_cut_from_zones.contains(&right))
    }

    pub fn is_cut_from_platform(&self, zone: usize) -> bool {
        self.zones_cut_from_platform.contains(&zone)
    }

    pub fn platform_delay(&self) -> Duration {
        if self.platform_is_slow { SLOW_PLATFORM_DELAY } else { PLATFORM_DELAY }
    }
}

/// Returns the number of a backend server's availability zone, which is the last digit of its name.
pub fn zone_of(backend: &Backend) -> usize {
    backend.zone.bytes().last().map_or(0, |digit| usize::from(digit - b'0'))
}

impl World {
    /// Sends a datagram, which may be lost, duplicated or delayed.
    ///
    /// `may_duplicate` is false on the last hop to a backend server, since no balancer could do
    /// anything about a duplicate made there, and for packets that the sender has already
    /// duplicated.
    fn send_packet(&mut self, delay: Duration, event: Event, may_duplicate: bool) {
        if self.draw_fraction() < self.network.loss_fraction {
            return;
        }

        let copies = if may_duplicate && self.draw_fraction() < self.network.duplicate_fraction {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = self.draw_fraction() < self.network.reorder_fraction;
            let extra =
                if late { MAX_REORDER_DELAY.mul_f64(self.draw_fraction()) } else { Duration::ZERO };
            self.schedule(delay + extra, event.clone());
        }
    }

    fn zone_delay(left: usize, right: usize) -> Duration {
        if left == right { SAME_ZONE_DELAY } else { CROSS_ZONE_DELAY }
    }

    pub fn send_to_node(&mut self, from: BalancerId, to: BalancerId, event: NodeEvent) {
        let (Some(left), Some(right)) = (self.zone(from), self.zone(to)) else {
            return;
        };
        if self.network.is_cut(left, right) {
            return;
        }

        let is_datagram = matches!(
            event,
            NodeEvent::Flow { .. } | NodeEvent::Request { .. } | NodeEvent::Binding(_)
        );
        let delay = Self::zone_delay(left, right);
        if is_datagram {
            self.send_packet(delay, Event::Node(to, event), true);
        } else {
            self.schedule(delay, Event::Node(to, event));
        }
    }

    pub fn send_to_vm(&mut self, from: BalancerId, address: SocketAddr, event: Event) {
        let (Some(left), Some(right)) = (self.zone(from), self.vm_zone(address)) else {
            return;
        };

        if !self.network.is_cut(left, right) {
            self.send_packet(Self::zone_delay(left, right), event, false);
        }
    }

    pub fn send_flow_to_vm(
        &mut self,
        from: BalancerId,
        flow: usize,
        opening: bool,
        backend: Backend,
    ) {
        let address = backend.address;
        let event = Event::BackendFlow { address, flow, opening, from, backend };

        self.send_to_vm(from, address, event);
    }

    pub fn send_from_vm(&mut self, address: SocketAddr, to: BalancerId, event: NodeEvent) {
        let (Some(left), Some(right)) = (self.vm_zone(address), self.zone(to)) else {
            return;
        };

        if !self.network.is_cut(left, right) {
            self.send_packet(Self::zone_delay(left, right), Event::Node(to, event), true);
        }
    }

    pub fn send_to_caller(&mut self, event: Event) {
        self.send_packet(CALLER_DELAY, event, true);
    }

    /// Sends a caller's packet to a random balancer among those in the fabric's routes, or among
    /// those of one availability zone.
    pub fn send_by_fabric(&mut self, zone: Option<usize>, event: NodeEvent) {
        let candidates: Vec<_> = self
            .fabric
            .iter()
            .copied()
            .filter(|id| zone.is_none() || self.zone(*id) == zone)
            .collect();
        if candidates.is_empty() {
            return;
        }

        // The copies of a duplicated packet may reach two different balancers.
        let copies = if self.draw_fraction() < self.network.duplicate_fraction { 2 } else { 1 };
        for _ in 0..copies {
            let index = usize::try_from(self.draw() % candidates.len() as u64).unwrap_or(0);
            self.send_packet(CALLER_DELAY, Event::Node(candidates[index], event.clone()), false);
        }
    }

    pub fn call_platform(
        &mut self,
        from: BalancerId,
        source: PlatformCallSource,
        call: PlatformCall,
    ) {
        self.schedule(self.network.platform_delay(), Event::Platform { from, source, call });
    }

    pub fn zone(&self, id: BalancerId) -> Option<usize> {
        self.nodes.get(&id).map(|node| node.zone)
    }

    fn vm_zone(&self, address: SocketAddr) -> Option<usize> {
        self.vms.get(&address).map(|vm| zone_of(&vm.record))
    }
}
