//! Following the platform's store.
//!
//! | module | contents |
//! |---|---|
//! | [`watch_role`] | the choice of the balancers that follow the store |
//! | [`store_follower`] | listing and watching one kind of object |
//! | [`evacuation_follower`] | following the evacuated availability zones |
//! | [`store_link`] | all kinds of objects, and how their replies are applied |

pub mod evacuation_follower;
pub mod store_follower;
pub mod store_link;
pub mod watch_role;
