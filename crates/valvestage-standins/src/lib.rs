//! Small stand-ins for the systems around valvestage, for the demo and for tests with processes.
//!
//! | module | stands in for |
//! |---|---|
//! | [`platform`] | the platform's object API, with outages and lost answers on demand |
//! | [`fabric`] | the fabric that sprays packets over the balancers |
//! | [`backend`] | backend servers, which record each run |
//! | [`caller`] | callers that hold flows and send requests, and judge what they get |
//! | [`packets`] | both ends of flows that only packets show |
//! | [`layout`] | addresses and settings of a whole deployment on one machine |
//! | [`draws`] | seeded draws |
//! | [`signals`] | ending on a signal |

pub mod backend;
pub mod caller;
pub mod draws;
pub mod fabric;
pub mod layout;
pub mod packets;
pub mod platform;
pub mod signals;
