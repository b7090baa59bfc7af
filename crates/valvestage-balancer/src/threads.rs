//! The threads of the data path, connected by bounded rings.
//!
//! ```text
//! socket -> receive -> ring of batches -> decide -> ring of batches -> send -> socket
//!                                           ^
//!                           queue of commands from control
//! ```
//!
//! A batch for a full ring is dropped and counted, so that no thread waits for a slower one.

mod decide;
mod receive;
mod rings;
mod send;

pub use decide::decide_loop;
pub use receive::{RECEIVE_BUFFER_BYTES, receive_batch, receive_loop};
pub use rings::{BATCH_DATAGRAMS, BatchReceiver, BatchSender, batch_ring};
pub use send::{send_all, send_loop};
