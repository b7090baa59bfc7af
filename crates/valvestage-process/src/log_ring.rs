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

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, select};

use crate::errors::ProcessError;

/// Lines in the ring: some seconds of a busy balancer's.
const RING_LENGTH: usize = 4_096;

/// Bytes of a batch after which no more lines are added.
const BATCH_BYTES: usize = 64 * 1024;

/// Flushes under way at most; there is one, at the end of a process.
const MAX_FLUSHES: usize = 4;

/// Tells whoever asked that all lines before are written.
type FlushAnswer = Sender<()>;

/// `RingOptions` says how lines are written.
#[derive(Debug, Clone, Copy)]
pub struct RingOptions {
    /// Pause between the first line of a batch and its writing; a flush ends it.
    pub pause: Duration,
}

impl Default for RingOptions {
    /// A few wake-ups a second, and what a kill may lose.
    fn default() -> Self {
        Self { pause: Duration::from_millis(500) }
    }
}

/// `LogRing` takes lines; clones share one ring.
#[derive(Debug, Clone)]
pub struct LogRing {
    lines: Sender<Vec<u8>>,
    flushes: Sender<FlushAnswer>,
    left_out: Arc<AtomicU64>,
}

impl LogRing {
    /// `start` starts the thread that writes to an output.
    pub fn start(output: impl Write + Send + 'static) -> Result<Self, ProcessError> {
        Self::start_with(output, RingOptions::default())
    }

    /// `start_with` does so with other options.
    pub fn start_with(
        output: impl Write + Send + 'static,
        options: RingOptions,
    ) -> Result<Self, ProcessError> {
        let (lines, line_receiver) = bounded(RING_LENGTH);
        let (flushes, flush_receiver) = bounded(MAX_FLUSHES);
        let left_out = Arc::new(AtomicU64::new(0));
        let mut writer = LineWriter {
            output,
            options,
            lines: line_receiver,
            flushes: flush_receiver,
            left_out: left_out.clone(),
        };

        thread::Builder::new()
            .name("log".into())
            .spawn(move || writer.run())
            .map_err(ProcessError::LogThread)?;
        Ok(Self { lines, flushes, left_out })
    }

    /// `write` hands a line over, without its line end.
    pub fn write(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line)
        {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// `flush` waits until the lines so far are written, at most for the time given; false if they are
    /// not. A reader that stalls is no reason to stay.
    pub fn flush(&self, longest: Duration) -> bool {
        let (done, is_done) = bounded(1);

        self.flushes.send_timeout(done, longest).is_ok() && is_done.recv_timeout(longest).is_ok()
    }

    /// `left_out` gives the number of lines left out that no line has told of yet.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

/// Writes lines in batches.
struct LineWriter<W> {
    output: W,
    options: RingOptions,
    lines: Receiver<Vec<u8>>,
    flushes: Receiver<FlushAnswer>,
    left_out: Arc<AtomicU64>,
}

impl<W: Write> LineWriter<W> {
    /// Writes until nobody can hand over lines any more.
    fn run(&mut self) {
        while let Some((mut batch, mut answers)) = self.wait() {
            answers.extend(self.flushes.try_iter());
            // Whoever flushes waits for all lines that are there.
            loop {
                self.fill(&mut batch);
                self.write(&batch);
                if answers.is_empty() || self.lines.is_empty() {
                    break;
                }
                batch.clear();
            }
            for answer in answers {
                // Whoever asked may have given up.
                let _ = answer.send(());
            }
        }
    }

    /// Waits for a first line, and for others to gather; a flush ends either wait. None: all who could
    /// hand over lines are gone.
    fn wait(&self) -> Option<(Vec<u8>, Vec<FlushAnswer>)> {
        let mut batch = Vec::new();
        select! {
            recv(self.lines) -> line => add_line(&mut batch, &line.ok()?),
            recv(self.flushes) -> answer => return match answer {
                Ok(answer) => Some((batch, vec![answer])),
                Err(_) if self.lines.is_empty() => None,
                Err(_) => Some((batch, Vec::new())),
            },
        }

        let answer = self.flushes.recv_timeout(self.options.pause);
        Some((batch, answer.into_iter().collect()))
    }

    /// Adds what has gathered, and how many lines were left out.
    fn fill(&self, batch: &mut Vec<u8>) {
        while batch.len() < BATCH_BYTES
            && let Ok(line) = self.lines.try_recv()
        {
            add_line(batch, &line);
        }

        let count = self.left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!("{{\"event\":\"lines_left_out\",\"count\":{count}}}");
            add_line(batch, line.as_bytes());
        }
    }

    /// Nobody can be told that the log cannot be written; what follows may be writable again.
    fn write(&mut self, batch: &[u8]) {
        if self.output.write_all(batch).and_then(|()| self.output.flush()).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn add_line(batch: &mut Vec<u8>, line: &[u8]) {
    batch.extend_from_slice(line);
    batch.push(b'\n');
}
