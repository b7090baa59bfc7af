//! SIGTERM that arrives before the control thread handles it.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use valvestage_core::settings::EntrySettings;
use valvestage_entry::EntryProcess;
use valvestage_entry::decision_log::DecisionLog;

/// Settings of a balancer whose ports the kernel assigns and whose store does not exist.
fn settings(file: &Path) -> EntrySettings {
    let text = "name = \"early\"\nzone = \"zone-a\"\ndata_address = \"127.0.0.1:0\"\n\
                ready_address = \"127.0.0.1:0\"\ncontrol_address = \"127.0.0.1:0\"\n\
                peer_port = 1\nstore_address = \"127.0.0.1:1\"\nstop_within_s = 1\n";
    fs::write(file, text).unwrap();

    let settings = EntrySettings::read(file).unwrap();
    let peer_address = "127.0.0.1:0".parse().unwrap();
    EntrySettings { peer_address, ..settings }
}

#[test]
fn sigterm_before_the_control_thread_handles_it_stops_the_process() {
    let name = format!("valvestage-early-stop-{}.toml", std::process::id());
    let file = std::env::temp_dir().join(name);
    let settings = settings(&file);
    let log = DecisionLog::new(None, settings.name.clone());

    let stop_requested = Arc::new(AtomicBool::new(true));
    let process = EntryProcess::bind(file.clone(), settings, log, stop_requested).unwrap();
    process.run().unwrap();
    fs::remove_file(file).unwrap();
}
