//! Shutdown on a signal.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Registers handlers for SIGTERM and SIGINT, and returns the flag that they set.
pub fn stop_flag() -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));

    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    Ok(flag)
}
