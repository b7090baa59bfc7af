//! Membership: which balancers are alive, and which of them is the home of a flow or service.

mod heartbeat_message;
mod heartbeat_options;
mod heartbeat_table;
mod live_view;
mod peer_entry;
mod peer_record;

pub use heartbeat_message::{HeartbeatDigest, HeartbeatMessage};
pub use heartbeat_options::HeartbeatOptions;
pub use heartbeat_table::HeartbeatTable;
pub use live_view::LiveView;
pub use peer_record::{PeerRecord, PeerState};
