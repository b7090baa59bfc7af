//! Handling of caller packets: packet fields, per-flow state and verdicts.
//!
//! | module | contents |
//! |---|---|
//! | [`caller_packet`] | the fields of one packet, and the verdict on it |
//! | [`steering_policy`] | the decision for each packet |
//! | `opening_packets` | opening packets and their retransmissions |
//! | `flow_ends` | whether the flow of a packet has ended |
//! | `flow_backend` | the backend server of an open flow |
//! | [`held_packets`] | packets held until enough is known to decide about them |
//! | [`unresolved_tokens`] | unresolved tokens that other balancers are asked about |
//! | `load_measurement` | measurement of the load that packets cause |
//! | `packet_verdicts` | verdicts that several steps share |
//! | [`flow_record`] | the state of one flow, as seen in its packets |
//! | [`flow_tracker`] | the records of all known flows |
//! | [`flow_reset`] | the reset that ends a flow at its caller |
//! | `reset_scheduler` | resets that are sent without a packet to answer |

pub mod caller_packet;
pub(in crate::steering) mod flow_backend;
pub(in crate::steering) mod flow_ends;
pub mod flow_record;
pub mod flow_reset;
pub mod flow_tracker;
pub mod held_packets;
mod load_measurement;
pub(in crate::steering) mod opening_packets;
pub(in crate::steering) mod packet_verdicts;
pub(in crate::steering) mod reset_scheduler;
pub mod steering_policy;
pub mod unresolved_tokens;
