//! Placement of new flows.
//!
//! | module | contents |
//! |---|---|
//! | `flow_placer` | choice of the backend server for a flow |
//! | [`backend_choice`] | choice of the best among several backend servers |
//! | [`fleet_demand`] | demand of the callers for each service, over the whole deployment |
//! | `pace_shares` | shares of new flows while some backend servers are slow |
//! | [`slow_slots`] | slots of the slow backend servers |
//! | [`zone_shares`] | shares of new flows by availability zone, derived from the demand |
//! | [`cold_shares`] | limit on the requests that this balancer sends to cold backend servers |
//! | [`backend_load`] | load of each backend server as seen by this balancer |
//! | `exclusion` | reasons why backend servers get no new flows at present |
//! | [`steering_options`] | limits and weights of steering |

pub mod backend_choice;
pub mod backend_load;
pub mod cold_shares;
pub(in crate::steering) mod exclusion;
pub mod fleet_demand;
pub(in crate::steering) mod flow_placer;
pub(in crate::steering) mod pace_shares;
pub mod slow_slots;
pub mod steering_options;
pub mod zone_shares;
