//! Which balancers are alive, and which of them is home of a flow or service.

mod heartbeat_table;
mod live_view;
mod peer_record;

pub use heartbeat_table::{HeartbeatOptions, HeartbeatTable};
pub use live_view::LiveView;
pub use peer_record::{PeerRecord, PeerState};
