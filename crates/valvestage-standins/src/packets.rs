//! Stand-ins that speak the platform's packets: both ends of flows.

pub mod backend_flow;
pub mod caller_flow;
pub mod flow_packet;
pub mod packet_request;
pub mod socket_set;

/// `RequestId` names one request; no two have the same.
pub type RequestId = u64;
