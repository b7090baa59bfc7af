//! Load of each service over all balancers, which admission control decides by.
//!
//! | module | contents |
//! |---|---|
//! | [`load_meter`] | the load that this balancer's own callers cause |
//! | [`fleet_load`] | the load that all balancers' callers cause together |
//! | [`service_load`] | the estimate for one service |
//! | `usable_slots` | what the usable backend servers can process |
//! | `service_time` | time that requests take without a wait |
//! | `load_sum` | weighted sums of reports |
//! | `decaying_rate` | moving averages |

pub(in crate::steering) mod decaying_rate;
pub mod fleet_load;
pub mod load_meter;
mod load_sum;
pub mod service_load;
mod service_time;
pub(in crate::steering) mod usable_slots;
