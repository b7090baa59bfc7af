//! Communication with the other balancers.
//!
//! | module | contents |
//! |---|---|
//! | [`peer_message`] | the messages |
//! | [`peer_table`] | the known balancers |
//! | [`peer_exchange`] | pulling missing knowledge and answering pulls, at a limited rate |
//! | `awaited_answer` | an answer in progress |
//! | [`zone_members`] | the balancers of one availability zone |
//! | `answer_queue` | pulls of others that wait for their answers |
//! | [`route_chunk`] | some of the routes of a configuration |
//! | [`route_catalogue`] | a configuration in chunks |
//! | `route_transfer` | fetching a newer configuration |
//! | [`backend_parts`] | encoding of backend servers in datagrams |
//! | `part_size` | how many backend servers go into one datagram |
//! | `backend_walk` | reading the backend servers that a peer knows, window by window |
//! | `part_coverage` | what the parts of answers about backend servers show together |
//! | [`part_assembly`] | reassembly of values that are split over several datagrams |
//! | [`report_budget`] | limit on the size of the observations in a heartbeat |
//! | `name_list` | names that are listed once in a datagram |

pub(in crate::steering) mod answer_queue;
pub(in crate::steering) mod awaited_answer;
pub mod backend_parts;
pub(in crate::steering) mod backend_walk;
pub(in crate::steering) mod name_list;
pub mod part_assembly;
mod part_coverage;
mod part_size;
pub mod peer_exchange;
pub mod peer_message;
pub mod peer_table;
pub mod report_budget;
pub mod route_catalogue;
pub mod route_chunk;
pub(in crate::steering) mod route_transfer;
pub mod zone_members;
