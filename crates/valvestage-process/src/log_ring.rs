//! Log lines that never hold up the thread that writes them.
//!
//! Lines go through a bounded ring to a thread that writes them in batches. When the reader of the
//! output stalls, the ring fills up and further lines are left out and counted; the count follows as
//! a line of its own as soon as there is room again.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

use crate::errors::ProcessError;

/// Lines in the ring: some seconds of a busy balancer's.
const RING_LENGTH: usize = 4_096;

/// Pause between the first line of a batch and its writing: a few wake-ups a second, and what a kill may lose.
const BATCH_PAUSE: Duration = Duration::from_millis(500);

/// Bytes of a batch after which no more lines are added.
const BATCH_BYTES: usize = 64 * 1024;

/// `LogRing` takes lines; clones share one ring.
#[derive(Debug, Clone)]
pub struct LogRing {
    lines: Sender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl LogRing {
    /// `start` starts the thread that writes to an output.
    pub fn start(output: impl Write + Send + 'static) -> Result<Self, ProcessError> {
        let (lines, receiver) = bounded(RING_LENGTH);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = left_out.clone();

        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(output, &receiver, &counter))
            .map_err(ProcessError::LogThread)?;
        Ok(Self { lines, left_out })
    }

    /// `write` hands a line over, without its line end.
    pub fn write(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line)
        {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// `left_out` gives the number of lines left out that no line has told of yet.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_PAUSE);
        let mut batch = first;
        batch.push(b'\n');
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            batch.push(b'\n');
        }

        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"event\":\"lines_left_out\",\"count\":{count}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // Nobody can be told that the log cannot be written; what follows may be writable again.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}
