//! The log never blocks the threads that write to it, and drops lines only when it is full.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use valvestage_process::log_ring::{LogRing, RingOptions};

/// An output whose writes each wait for a permit and report what they wrote; dropping the sender of
/// permits lets all writes through.
struct StalledOutput {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.permits.recv();
        let _ = self.written.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_loses_lines_that_are_counted_and_told_of() {
    let (permit, permits) = channel();
    let (written, lines) = channel();
    let ring = LogRing::start(StalledOutput { permits, written }).unwrap();

    // The output accepts nothing, so the ring buffer fills up. If `write` waited for room, this
    // loop would never end.
    for number in 0..20_000 {
        ring.write(format!("line {number}").into_bytes());
    }
    assert!(ring.dropped_lines() >= 10_000, "only {} lines dropped", ring.dropped_lines());

    drop(permit);
    let mut text = String::new();
    let deadline = Instant::now() + Duration::from_secs(60);
    while !text.contains("lines_left_out") {
        assert!(Instant::now() < deadline, "no line reports the dropped lines");
        if let Ok(more) = lines.recv_timeout(Duration::from_secs(1)) {
            text.push_str(&more);
        }
    }
    assert!(text.contains("line 0\n"));
}

#[test]
fn lines_come_in_order_and_whole() {
    let (permit, permits) = channel();
    let (written, lines) = channel();
    let ring = LogRing::start(StalledOutput { permits, written }).unwrap();
    drop(permit);

    for number in 0..100 {
        ring.write(format!("line {number}").into_bytes());
    }
    let mut text = String::new();
    while text.lines().count() < 100 {
        text.push_str(&lines.recv_timeout(Duration::from_secs(60)).unwrap());
    }
    let expected: Vec<String> = (0..100).map(|number| format!("line {number}")).collect();
    assert_eq!(text.lines().collect::<Vec<_>>(), expected);
}

#[test]
fn a_flush_ends_the_pause_in_which_lines_gather() {
    /// Far longer than the time for which the flush waits.
    const PAUSE: Duration = Duration::from_secs(3_600);
    let (permit, permits) = channel();
    let (written, lines) = channel();
    let output = StalledOutput { permits, written };
    let ring = LogRing::start_with(output, RingOptions { pause: PAUSE }).unwrap();
    drop(permit);

    for number in 0..3 {
        ring.write(format!("line {number}").into_bytes());
        assert!(ring.flush(Duration::from_secs(60)), "line {number} is not written");
        assert_eq!(lines.recv().unwrap(), format!("line {number}\n"));
    }
}

#[test]
fn lines_are_written_when_nobody_is_left_to_write_more() {
    for _ in 0..100 {
        let (permit, permits) = channel();
        let (written, lines) = channel();
        let ring = LogRing::start(StalledOutput { permits, written }).unwrap();
        drop(permit);

        ring.write(b"last line".to_vec());
        drop(ring);
        assert_eq!(lines.recv().unwrap(), "last line\n");
    }
}
