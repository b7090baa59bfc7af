//! Callers: flows that notice when they break, and requests that are sent again.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::SystemTime;

use valvestage_core::Outcome;
use valvestage_core::ids::{BackendId, RequestId, ServiceId};
use valvestage_policy::flows::FlowToken;

pub fn caller_address(number: u32) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(0xc612_0000 + number).into(), 4_000)
}

#[derive(Debug, Clone)]
pub struct Flow {
    pub caller: SocketAddr,
    pub service: ServiceId,
    pub echoes: bool,
    pub token: Option<FlowToken>,
    pub backend: Option<BackendId>,
    pub opened: Option<SystemTime>,
    pub last_heard: Option<SystemTime>,
    /// When and why it broke.
    pub broken: Option<(SystemTime, &'static str)>,
    /// Whether it sends tokens that are not its own.
    pub is_intruder: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Answered,
    Told(Outcome),
}

#[derive(Debug, Clone)]
pub struct Request {
    pub id: RequestId,
    pub caller: SocketAddr,
    pub service: ServiceId,
    pub repeatable: bool,
    pub sent: SystemTime,
    pub deadline: SystemTime,
    /// All that it was told, in order.
    pub endings: Vec<(SystemTime, Ending)>,
    /// Times that it ran, over all backend servers.
    pub runs: u32,
    /// Whether an answer was not its own, or not whole.
    pub got_wrong_answer: bool,
    /// Whether it only shows that the service is there again after the fault.
    pub is_probe: bool,
    /// Whether it was sent by a caller that reaches only one zone.
    pub from_zone: Option<usize>,
}

impl Request {
    pub fn first_ending(&self) -> Option<Ending> {
        self.endings.first().map(|(_, ending)| *ending)
    }

    pub fn was_told(&self, ending: Ending) -> bool {
        self.endings.iter().any(|(_, told)| *told == ending)
    }
}
