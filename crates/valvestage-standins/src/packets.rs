//! Both ends of flows, the caller's and the backend server's, in the platform's packet format.

pub mod backend_flow;
pub mod caller_flow;
pub mod flow_packet;
pub mod packet_request;
pub mod socket_set;

/// Id of a request, unique among all requests of a run.
pub type RequestId = u64;
