//! Log lines go through a bounded ring to a thread of their own, so that no duty waits for
//! whoever reads standard output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lines that wait for the writer at most: a few seconds' worth at the peak, under 1 MB.
const RING_LINES: usize = 4_096;
/// Time for the last lines to be written at the end of the process. A reader of standard output that stands still
/// holds the end up for no longer.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// What goes through the ring.
enum RingItem {
    Line(Vec<u8>),
    /// All lines before it are to be written, and this told.
    Flush(SyncSender<()>),
}

/// The end of the ring that the logger writes to.
struct RingWriter {
    sender: SyncSender<RingItem>,
    dropped: Arc<AtomicU64>,
}

/// A started logger.
pub struct LogHandle {
    sender: SyncSender<RingItem>,
}

impl LogHandle {
    /// Waits until the lines so far are written, for 100 ms at most.
    pub fn flush(&self) {
        let (sender, written) = sync_channel(1);
        if self.sender.try_send(RingItem::Flush(sender)).is_ok() {
            // Out of time: the process ends all the same.
            let _ = written.recv_timeout(FLUSH_TIME);
        }
    }
}

impl Write for RingWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.sender.try_send(RingItem::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts the logger; the filter comes from `RUST_LOG`, `info` by default.
///
/// # Errors
/// When the writer's thread cannot be started.
pub fn start() -> std::io::Result<LogHandle> {
    let (sender, receiver) = sync_channel(RING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let handle = LogHandle {
        sender: sender.clone(),
    };
    let writer = RingWriter {
        sender,
        dropped: Arc::clone(&dropped),
    };
    std::thread::Builder::new()
        .name("duty-logs".to_owned())
        .spawn(move || write_lines(&receiver, &dropped))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(|out, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(out, "at={} level={level} {}", time_of_day(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .init();
    Ok(handle)
}

/// The VM's time of day in milliseconds, to order lines of several processes; nothing else goes
/// by it. Zero on a VM whose clock stands before 1970.
fn time_of_day() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

fn write_lines(receiver: &Receiver<RingItem>, dropped: &AtomicU64) {
    let mut out = std::io::stdout().lock();
    let mut flushes = Vec::new();
    while let Ok(item) = receiver.recv() {
        let waiting = std::iter::from_fn(|| receiver.try_recv().ok());
        for item in std::iter::once(item).chain(waiting) {
            match item {
                // There is nowhere left to report that standard output is closed.
                RingItem::Line(line) => drop(out.write_all(&line)),
                RingItem::Flush(sender) => flushes.push(sender),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let at = time_of_day();
            let _ = writeln!(out, "at={at} level=warn event=lines_dropped count={lost}");
        }
        let _ = out.flush();
        for sender in flushes.drain(..) {
            let _ = sender.send(());
        }
    }
}
