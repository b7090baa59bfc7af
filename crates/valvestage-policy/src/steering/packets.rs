//! Packets of callers, in the way that they take: what is known of one, what its flow has shown, and the verdict.
//!
//! | module | contents |
//! |---|---|
//! | [`caller_packet`] | what is known of one packet, and what is done with it |
//! | [`steering_policy`] | what is done with each packet |
//! | `opening_packets` | packets that ask to open a flow, and copies of them |
//! | `flow_ends` | whether the flow of a packet is over |
//! | `flow_backend` | the backend server that a packet of an open flow is for |
//! | [`held_packets`] | packets that wait until enough is known to decide about them |
//! | [`wanted_tokens`] | tokens for which other balancers are asked |
//! | `packet_verdicts` | verdicts that several steps come to |
//! | [`flow_record`] | what the packets of one flow have shown so far |
//! | [`flow_tracker`] | all flows that are known |
//! | [`flow_reset`] | telling a caller that its flow is over |
//! | `flow_ender` | which callers are told unasked |

pub mod caller_packet;
pub(in crate::steering) mod flow_backend;
pub(in crate::steering) mod flow_ender;
mod flow_ends;
pub mod flow_record;
pub mod flow_reset;
pub mod flow_tracker;
pub mod held_packets;
pub(in crate::steering) mod opening_packets;
pub(in crate::steering) mod packet_verdicts;
pub mod steering_policy;
pub mod wanted_tokens;
