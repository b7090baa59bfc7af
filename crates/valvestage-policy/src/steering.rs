//! Packet steering for flows whose payload only the two endpoints can read.
//!
//! A balancer sees the packets that callers send, but not the answers of backend servers, and keeps
//! no state that has to survive a restart. Once a flow is open, every packet of its caller carries
//! a token that names the backend server of the flow, so any balancer can steer any flow.
//!
//! Packet path:
//!
//! | module | contents |
//! |---|---|
//! | [`packets`] | what is known about a packet, and the verdict on it: forward, drop, or end its flow |
//! | [`placement`] | choice of a backend server for a new flow |
//! | [`health`] | detection of backend servers that seem dead, are slow, or fail requests |
//! | [`load`] | load of each service over all balancers |
//! | [`admission`] | refusal of new flows by priority while a service is short of slots |
//!
//! Control path:
//!
//! | module | contents |
//! |---|---|
//! | [`knowledge`] | what is known about routes and backend servers |
//! | [`store`] | following the platform's store, and the choice of the balancers that do so |
//! | [`peers`] | messages, pulls and answers between balancers |
//! | [`keeper`] | keeping the knowledge up to date from the store and the peers |
//!
//! Shared: [`entry_policy`] combines both paths, [`decision`] describes decisions for logs and
//! counters, [`seeded_draw`] is a reproducible random number generator, and [`text_digest`] hashes
//! names.

pub mod admission;
pub mod decision;
pub mod entry_policy;
pub mod health;
pub mod keeper;
pub mod knowledge;
pub mod load;
pub mod packets;
pub mod peers;
pub mod placement;
pub mod seeded_draw;
pub mod store;
pub mod text_digest;

pub use admission::admission_policy::AdmissionPolicy;
pub use decision::{
    AnswerTime, Decision, DroppedPacket, EvacuationPhase, FlowPlacement, FlowRefusal,
    IncompleteAnswer, ShortageReport, UpdateSource,
};
pub use entry_policy::{EntryOptions, EntryPolicy};
pub use keeper::keeper_action::KeeperAction;
pub use keeper::knowledge_keeper::KnowledgeKeeper;
pub use knowledge::Knowledge;
pub use knowledge::backend_directory::BackendDirectory;
pub use knowledge::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
pub use knowledge::backend_name::{BackendName, StartMillis};
pub use knowledge::cold_rate::ColdRate;
pub use knowledge::entry_times::EntryTimes;
pub use knowledge::evacuated_zones::EvacuationReport;
pub use knowledge::request_class::{RequestClass, RequestKind, RoutePriority};
pub use knowledge::route_map::{RouteMap, RouteTarget};
pub use knowledge::zone_contacts::{ZoneContacts, ZoneReach};
pub use load::fleet_load::FleetLoad;
pub use load::load_meter::LoadMeter;
pub use load::service_load::{ClassLoad, ServiceLoad};
pub use packets::caller_packet::{
    CallerPacket, DropReason, FlowAddresses, PacketVerdict, ResetReason,
};
pub use packets::flow_reset::FlowReset;
pub use packets::held_packets::{HeldPacket, HeldPackets};
pub use packets::steering_policy::SteeringPolicy;
pub use peers::peer_message::PeerMessage;
pub use placement::cold_shares::ColdLimit;
pub use placement::steering_options::{AdmissionOptions, SteeringOptions};
pub use store::evacuation_follower::EvacuationUpdate;
pub use store::store_follower::{ListFreshness, StoreCall, StoreFollower, StoreKind, StoreReply};
pub use store::store_link::{BackendUpdate, EntryChange, StoreLink};
