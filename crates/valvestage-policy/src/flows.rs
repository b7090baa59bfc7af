//! Selection of the backend server for each flow packet.
//!
//! Three layers are tried in order: the token that the caller echoes, the table of the flow's home
//! balancer, and the placement by the configuration versions.

mod backend_availability;
mod configuration_history;
mod exception_finder;
mod flow_director;
mod flow_hasher;
mod flow_options;
mod flow_packet;
mod flow_table;
mod flow_token;
mod placement;
mod token_keys;

pub use backend_availability::BackendAvailability;
pub use configuration_history::ConfigurationHistory;
pub use exception_finder::ExceptionFinder;
pub use flow_director::FlowDirector;
pub use flow_hasher::FlowHasher;
pub use flow_options::{FlowLayers, FlowOptions};
pub use flow_packet::{
    Binding, FlowPacket, FlowSource, FlowVerdict, MAX_HOPS, RelayHeader, RelayPurpose,
};
pub use flow_table::{FlowEntry, FlowTable};
pub use flow_token::{FlowToken, TOKEN_BYTES};
pub use placement::place;
pub use token_keys::{RawTokenKeys, TokenKeys, TokenVerdict};
