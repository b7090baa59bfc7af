//! Steering packets of flows that only their two ends can read.
//!
//! A balancer sees what callers send, not what backend servers answer, and keeps nothing that must
//! last. A token that comes back with every packet of a caller names the backend server of its flow,
//! so any balancer can steer any flow.
//!
//! The way of a packet:
//!
//! | module | contents |
//! |---|---|
//! | [`packets`] | what is known of a packet, and the verdict: forwarded, dropped, or its flow ended |
//! | [`placement`] | where a new flow goes |
//! | [`health`] | which backend servers seem dead, slow, or fail requests |
//!
//! The way of knowledge:
//!
//! | module | contents |
//! |---|---|
//! | [`knowledge`] | what is known of routes and backend servers |
//! | [`store`] | following the platform's store, and who does |
//! | [`peers`] | other balancers: messages, questions, answers |
//! | [`keeper`] | keeping knowledge up to date from both |
//!
//! For both: [`entry_policy`] puts the parts together, [`decision`] tells what was decided, for logs and counters,
//! [`seeded_draw`] has draws that repeat themselves, [`text_digest`] numbers for names.

pub mod decision;
pub mod entry_policy;
pub mod health;
pub mod keeper;
pub mod knowledge;
pub mod packets;
pub mod peers;
pub mod placement;
pub mod seeded_draw;
pub mod store;
pub mod text_digest;

pub use decision::{
    AnswerTime, Decision, DroppedPacket, EvacuationPhase, FlowPlacement, IncompleteAnswer,
    NewsSource,
};
pub use entry_policy::{EntryOptions, EntryPolicy};
pub use keeper::keeper_action::KeeperAction;
pub use keeper::knowledge_keeper::KnowledgeKeeper;
pub use knowledge::Knowledge;
pub use knowledge::backend_directory::BackendDirectory;
pub use knowledge::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
pub use knowledge::backend_name::{BackendName, BirthMillis};
pub use knowledge::cold_rate::ColdRate;
pub use knowledge::entry_times::EntryTimes;
pub use knowledge::evacuated_zones::EvacuationReport;
pub use knowledge::route_map::{RouteMap, RouteTarget};
pub use knowledge::zone_contacts::{ZoneContacts, ZoneReach};
pub use packets::caller_packet::{
    CallerPacket, DropReason, FlowAddresses, PacketVerdict, ResetReason,
};
pub use packets::flow_reset::FlowReset;
pub use packets::held_packets::{HeldPacket, HeldPackets};
pub use packets::steering_policy::SteeringPolicy;
pub use peers::peer_message::PeerMessage;
pub use placement::cold_shares::ColdLimit;
pub use placement::steering_options::SteeringOptions;
pub use store::evacuation_follower::EvacuationNews;
pub use store::store_follower::{ListFreshness, StoreCall, StoreFollower, StoreKind, StoreReply};
pub use store::store_link::{BackendNews, EntryChange, StoreLink};
