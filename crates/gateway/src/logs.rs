//! Logger that passes lines through a bounded ring to a writer thread, so that no other thread
//! waits for the reader of standard output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamot_types::prelude::*;

/// Capacity of the ring in lines. A few seconds of lines at peak load, less than 1 MB.
const RING_CAPACITY_LINES: usize = 4_096;
/// Longest wait for the last lines to be written when the process ends, so that a reader of
/// standard output that has stopped reading can't delay the end for longer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// An item of the ring.
enum RingItem {
    Line(Vec<u8>),
    /// Requests that all earlier lines be written and the sender notified.
    Flush(SyncSender<()>),
}

/// The ring's producer, to which the logger writes.
struct RingWriter {
    sender: SyncSender<RingItem>,
    dropped_lines: Arc<AtomicU64>,
}

/// Handle of a running logger.
pub struct LogHandle {
    sender: SyncSender<RingItem>,
}

impl LogHandle {
    /// Waits at most 100 ms until all lines logged so far are written.
    pub fn flush(&self) {
        let (sender, flushed) = sync_channel(1);
        if self.sender.try_send(RingItem::Flush(sender)).is_ok() {
            // After a timeout the process ends anyway.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl Write for RingWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.sender.try_send(RingItem::Line(line.to_vec())).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts the logger. The filter is taken from `RUST_LOG` and defaults to `info`.
///
/// # Errors
/// If the writer thread cannot be started.
pub fn start() -> std::io::Result<LogHandle> {
    let (sender, receiver) = sync_channel(RING_CAPACITY_LINES);
    let dropped_lines = Arc::new(AtomicU64::new(0));
    let handle = LogHandle {
        sender: sender.clone(),
    };
    let writer = RingWriter {
        sender,
        dropped_lines: Arc::clone(&dropped_lines),
    };
    std::thread::Builder::new()
        .name("duty-logs".to_owned())
        .spawn(move || write_lines(&receiver, &dropped_lines))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(|output, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(
                output,
                "at={} level={level} {}",
                unix_time_ms(),
                record.args()
            )
        })
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .init();
    Ok(handle)
}

/// Returns the VM's wall-clock time in milliseconds since 1970, or zero if its clock shows an
/// earlier time. Only used to order the lines of several processes.
fn unix_time_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis())
}

fn write_lines(receiver: &Receiver<RingItem>, dropped_lines: &AtomicU64) {
    let mut output = std::io::stdout().lock();
    let mut flush_senders = Vec::new();
    while let Ok(item) = receiver.recv() {
        let queued_items = std::iter::from_fn(|| receiver.try_recv().ok());
        for item in std::iter::once(item).chain(queued_items) {
            match item {
                // If standard output is closed, there is nowhere to report the error.
                RingItem::Line(line) => drop(output.write_all(&line)),
                RingItem::Flush(sender) => flush_senders.push(sender),
            }
        }
        let dropped_count = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let at = unix_time_ms();
            let _ = writeln!(
                output,
                "at={at} level=warn event=lines_dropped count={dropped_count}"
            );
        }
        let _ = output.flush();
        for sender in flush_senders.drain(..) {
            let _ = sender.send(());
        }
    }
}

/// Joins ids with commas for a log line.
pub(crate) fn join_ids(ids: &[UpstreamId]) -> String {
    let ids: Vec<&str> = ids.iter().map(UpstreamId::as_str).collect();
    ids.join(",")
}
