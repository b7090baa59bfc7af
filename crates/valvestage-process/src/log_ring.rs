//! Non-blocking log output.
//!
//! Lines go through a bounded ring buffer to a thread that writes them in batches. When the reader
//! of the output stalls, the ring buffer fills up, and further lines are dropped and counted. The
//! count is written as a line of its own as soon as the output accepts data again.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, select};

use crate::errors::ProcessError;

/// Capacity of the ring buffer, in lines: a few seconds of output of a busy balancer.
const RING_LENGTH: usize = 4_096;

/// Size of a batch, in bytes, from which no more lines are added.
const BATCH_BYTES: usize = 64 * 1024;

/// Maximum number of pending flushes; a process normally flushes once, at its end.
const MAX_FLUSHES: usize = 4;

/// Channel that acknowledges a flush once all lines before it are written.
type FlushAck = Sender<()>;

/// Options for writing lines.
#[derive(Debug, Clone, Copy)]
pub struct RingOptions {
    /// Time to collect further lines after the first line of a batch; a flush ends it early.
    pub pause: Duration,
}

impl Default for RingOptions {
    /// Returns a pause of 500 ms: a few wake-ups per second, at the cost that a kill may lose the
    /// lines of that time.
    fn default() -> Self {
        Self { pause: Duration::from_millis(500) }
    }
}

/// Handle through which threads log lines; clones share one ring buffer.
#[derive(Debug, Clone)]
pub struct LogRing {
    lines: Sender<Vec<u8>>,
    flushes: Sender<FlushAck>,
    dropped_lines: Arc<AtomicU64>,
}

impl LogRing {
    /// Starts the thread that writes to `output`, with default options.
    pub fn start(output: impl Write + Send + 'static) -> Result<Self, ProcessError> {
        Self::start_with(output, RingOptions::default())
    }

    /// Starts the thread that writes to `output`, with the given options.
    pub fn start_with(
        output: impl Write + Send + 'static,
        options: RingOptions,
    ) -> Result<Self, ProcessError> {
        let (lines, line_receiver) = bounded(RING_LENGTH);
        let (flushes, flush_receiver) = bounded(MAX_FLUSHES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let mut writer = LineWriter {
            output,
            options,
            lines: line_receiver,
            flushes: flush_receiver,
            dropped_lines: dropped_lines.clone(),
        };

        thread::Builder::new()
            .name("log".into())
            .spawn(move || writer.run())
            .map_err(ProcessError::LogThread)?;
        Ok(Self { lines, flushes, dropped_lines })
    }

    /// Queues a line, given without its line end. Never blocks: a line that finds no room is
    /// dropped and counted.
    pub fn write(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line)
        {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines queued so far are written, and reports whether they are.
    ///
    /// `timeout` limits each of the two waits, for queueing the flush and for its acknowledgement,
    /// so that a stalled reader cannot keep the process from ending.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (done, is_done) = bounded(1);

        self.flushes.send_timeout(done, timeout).is_ok() && is_done.recv_timeout(timeout).is_ok()
    }

    /// Returns the number of dropped lines that no written line has reported yet.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }
}

/// Worker that writes the queued lines in batches.
struct LineWriter<W> {
    output: W,
    options: RingOptions,
    lines: Receiver<Vec<u8>>,
    flushes: Receiver<FlushAck>,
    dropped_lines: Arc<AtomicU64>,
}

impl<W: Write> LineWriter<W> {
    /// Writes until all lines are written and no handle can queue more.
    fn run(&mut self) {
        while let Some((mut batch, mut acks)) = self.wait_for_batch() {
            acks.extend(self.flushes.try_iter());
            // A flush waits for all lines that are queued, so write until the ring buffer is empty.
            loop {
                self.fill_batch(&mut batch);
                self.write_batch(&batch);
                if acks.is_empty() || self.lines.is_empty() {
                    break;
                }
                batch.clear();
            }
            for ack in acks {
                // The flushing thread may have timed out.
                let _ = ack.send(());
            }
        }
    }

    /// Waits for the first line of a batch, then for the pause in which others collect; a flush
    /// ends either wait. Returns `None` once all handles are dropped and no line is left.
    fn wait_for_batch(&self) -> Option<(Vec<u8>, Vec<FlushAck>)> {
        let mut batch = Vec::new();
        select! {
            recv(self.lines) -> line => add_line(&mut batch, &line.ok()?),
            recv(self.flushes) -> ack => return match ack {
                Ok(ack) => Some((batch, vec![ack])),
                Err(_) if self.lines.is_empty() => None,
                Err(_) => Some((batch, Vec::new())),
            },
        }

        let ack = self.flushes.recv_timeout(self.options.pause);
        Some((batch, ack.into_iter().collect()))
    }

    /// Adds the queued lines to the batch, and a line with the number of dropped lines, if any.
    fn fill_batch(&self, batch: &mut Vec<u8>) {
        while batch.len() < BATCH_BYTES
            && let Ok(line) = self.lines.try_recv()
        {
            add_line(batch, &line);
        }

        let count = self.dropped_lines.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!("{{\"event\":\"lines_left_out\",\"count\":{count}}}");
            add_line(batch, line.as_bytes());
        }
    }

    /// Writes a batch. A failure has nowhere to be reported, so it is only counted as a dropped
    /// line; later writes may succeed again.
    fn write_batch(&mut self, batch: &[u8]) {
        if self.output.write_all(batch).and_then(|()| self.output.flush()).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn add_line(batch: &mut Vec<u8>, line: &[u8]) {
    batch.extend_from_slice(line);
    batch.push(b'\n');
}
