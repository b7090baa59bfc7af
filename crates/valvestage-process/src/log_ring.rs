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

/// What goes through the ring.
#[derive(Debug)]
enum RingItem {
    /// A line.
    Line(Vec<u8>),
    /// Asks to be told when all lines before it are written.
    Flush(Sender<()>),
}

/// `LogRing` takes lines; clones share one ring.
#[derive(Debug, Clone)]
pub struct LogRing {
    items: Sender<RingItem>,
    left_out: Arc<AtomicU64>,
}

impl LogRing {
    /// `start` starts the thread that writes to an output.
    pub fn start(output: impl Write + Send + 'static) -> Result<Self, ProcessError> {
        let (items, receiver) = bounded(RING_LENGTH);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = left_out.clone();

        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(output, &receiver, &counter))
            .map_err(ProcessError::LogThread)?;
        Ok(Self { items, left_out })
    }

    /// `write` hands a line over, without its line end.
    pub fn write(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.items.try_send(RingItem::Line(line))
        {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// `flush` waits until the lines so far are written, at most for the time given.
    pub fn flush(&self, longest: Duration) {
        let (done, is_done) = bounded(1);

        if self.items.send_timeout(RingItem::Flush(done), longest).is_ok() {
            // A reader that stalls is no reason to stay.
            let _ = is_done.recv_timeout(longest);
        }
    }

    /// `left_out` gives the number of lines left out that no line has told of yet.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

fn write_lines(mut output: impl Write, items: &Receiver<RingItem>, left_out: &AtomicU64) {
    while let Ok(first) = items.recv() {
        let mut batch = LineBatch::default();
        batch.add(first);
        if batch.waiting.is_empty() {
            thread::sleep(BATCH_PAUSE);
        }
        while batch.bytes.len() < BATCH_BYTES
            && let Ok(item) = items.try_recv()
        {
            batch.add(item);
        }
        batch.tell_left_out(left_out.swap(0, Ordering::Relaxed));

        // Nobody can be told that the log cannot be written; what follows may be writable again.
        if output.write_all(&batch.bytes).and_then(|()| output.flush()).is_err() {
            left_out.fetch_add(1, Ordering::Relaxed);
        }
        for done in batch.waiting {
            // Whoever asked may have given up.
            let _ = done.send(());
        }
    }
}

/// Lines to be written at once, and who waits for them.
#[derive(Default)]
struct LineBatch {
    bytes: Vec<u8>,
    waiting: Vec<Sender<()>>,
}

impl LineBatch {
    fn add(&mut self, item: RingItem) {
        match item {
            RingItem::Line(line) => {
                self.bytes.extend_from_slice(&line);
                self.bytes.push(b'\n');
            }
            RingItem::Flush(done) => self.waiting.push(done),
        }
    }

    fn tell_left_out(&mut self, count: u64) {
        if count > 0 {
            let line = format!("{{\"event\":\"lines_left_out\",\"count\":{count}}}");
            self.add(RingItem::Line(line.into_bytes()));
        }
    }
}
