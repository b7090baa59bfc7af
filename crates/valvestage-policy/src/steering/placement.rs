//! Where a new flow goes.
//!
//! | module | contents |
//! |---|---|
//! | `flow_placer` | the backend server for a flow |
//! | [`backend_choice`] | the best of some backend servers |
//! | [`fleet_demand`] | what callers ask of each service, over the whole deployment |
//! | [`zone_shares`] | the availability zones of new flows, by that |
//! | [`backend_load`] | how busy each one is, as seen here |
//! | [`steering_options`] | limits and weights |

pub mod backend_choice;
pub mod backend_load;
pub mod fleet_demand;
pub(in crate::steering) mod flow_placer;
pub mod steering_options;
pub mod zone_shares;
