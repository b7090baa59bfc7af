//! Ending on a signal.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::{SIGINT, SIGTERM};

/// `stop_flag` gives a flag that SIGTERM and SIGINT set.
pub fn stop_flag() -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));

    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    Ok(flag)
}
