//! The decide thread: passes datagrams, commands and timer ticks to the data handler.

use std::time::{Duration, SystemTime};

use crossbeam_channel::{Receiver, select_biased};

use super::rings::{BatchReceiver, BatchSender};
use crate::commands::Command;
use crate::data_path::{DataHandler, Inbound, Outbound};

/// Interval at which deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the data handler until control sends the stop command or drops its sender, or until the
/// send thread has ended.
pub fn decide_loop(
    mut handler: DataHandler,
    datagrams: &BatchReceiver<Inbound>,
    commands: &Receiver<Command>,
    ring: &BatchSender<Outbound>,
) {
    let mut out = Vec::new();
    let mut next_tick = SystemTime::now() + TICK_INTERVAL;

    loop {
        let wait = next_tick.duration_since(SystemTime::now()).unwrap_or(Duration::ZERO);
        let event = select_biased! {
            recv(commands) -> command => match command {
                Ok(Command::Stop) | Err(_) => return,
                Ok(command) => Event::Command(command),
            },
            recv(datagrams) -> batch => batch.map_or(Event::Nothing, Event::Batch),
            default(wait) => Event::Nothing,
        };

        let now = SystemTime::now();
        match event {
            Event::Command(command) => handler.on_command(now, command, &mut out),
            Event::Batch(batch) => {
                for datagram in &batch {
                    handler.on_datagram(now, datagram.source, &datagram.bytes, &mut out);
                }
            }
            Event::Nothing => {}
        }

        if now >= next_tick {
            handler.tick(now, &mut out);
            next_tick = now + TICK_INTERVAL;
        }
        if !out.is_empty() && !ring.send(std::mem::take(&mut out)) {
            return;
        }
    }
}

enum Event {
    Command(Command),
    Batch(Vec<Inbound>),
    Nothing,
}
