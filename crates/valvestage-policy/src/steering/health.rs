//! State of backend servers, inferred from the packets of callers.
//!
//! | module | contents |
//! |---|---|
//! | [`backend_observer`] | entry point that feeds all detectors |
//! | [`backend_health`] | detection of backend servers that seem dead |
//! | [`caller_digest`] | identification of callers in messages about suspicions |
//! | [`link_check`] | checks of this balancer's own link before it concludes anything from silence |
//! | `health_record` | state of one backend server for that detection |
//! | [`refutation_queue`] | questions to other balancers about suspicions, and the answers |
//! | `byte_budget` | limit on the bytes of these messages |
//! | [`backend_pace`] | detection of backend servers that are slower than the others |
//! | [`fleet_pace`] | detection of slow backend servers from the answers of all balancers |
//! | [`service_pace`] | the slow backend servers of one service |
//! | [`pace_baseline`] | usual answer times as the reference for slow answers |
//! | `pace_clock` | how fast evidence on the pace loses its weight |
//! | `pace_evidence` | evidence on the pace of one backend server |
//! | [`flow_request`] | the request that is under way on a flow |
//! | [`overdue_queue`] | deadlines of the requests under way |
//! | [`answer_norm`] | usual size and time of answers |
//! | [`request_judge`] | classification of ended requests |
//! | [`outcome_count`] | decaying counts of requests by outcome |
//! | [`outlier_detector`] | detection of backend servers that fail more requests than the others |
//! | `outlier_record` | state of one backend server for that detection |

pub mod answer_norm;
pub mod backend_health;
pub mod backend_observer;
pub mod backend_pace;
mod byte_budget;
pub mod caller_digest;
pub mod fleet_pace;
pub mod flow_request;
mod health_record;
pub mod link_check;
pub mod outcome_count;
pub mod outlier_detector;
pub(in crate::steering) mod outlier_record;
pub mod overdue_queue;
pub mod pace_baseline;
mod pace_clock;
mod pace_evidence;
pub mod refutation_queue;
pub mod request_judge;
pub mod service_pace;
