//! Stand-ins (test doubles) for the systems around valvestage, used by the demo, the soak test, the
//! experiments and the tests that run real processes.
//!
//! | module | stands in for |
//! |---|---|
//! | [`platform`] | the platform's object API, with fault injection |
//! | [`fabric`] | the fabric that sprays packets over the balancers |
//! | [`backend`] | backend servers that record each request they run |
//! | [`caller`] | callers that hold flows, send requests and check the answers |
//! | [`packets`] | caller and backend server ends of flows in the platform's packet format |
//! | [`layout`] | addresses and settings files of a whole deployment on the loopback network |
//! | [`seeded_rng`] | seeded random numbers |
//! | [`signals`] | shutdown on SIGTERM and SIGINT |

pub mod backend;
pub mod caller;
pub mod fabric;
pub mod layout;
pub mod packets;
pub mod platform;
pub mod seeded_rng;
pub mod signals;
