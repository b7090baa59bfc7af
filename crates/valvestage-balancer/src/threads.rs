//! The threads of the data path, joined by bounded rings.
//!
//! ```text
//! socket -> receive -> ring of batches -> decide -> ring of batches -> send -> socket
//!                                           ^
//!                            ring of commands from control
//! ```
//!
//! A full ring sheds the batch, with a counter; no thread waits for a slower one.

mod decide;
mod receive;
mod rings;
mod send;

pub use decide::decide_loop;
pub use receive::{BUFFER_BYTES, receive_batch, receive_loop};
pub use rings::{BATCH_DATAGRAMS, BatchReceiver, BatchSender, batch_ring};
pub use send::{send_all, send_loop};
