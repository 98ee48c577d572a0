//! Log lines go through a bounded ring to a thread of their own, so that no duty waits for
//! whoever reads standard output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines that wait for the writer at most: a few seconds' worth at the peak, under 1 MB.
const RING_LINES: usize = 4_096;

/// The end of the ring that the logger writes to.
struct RingWriter {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for RingWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
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
pub fn start() -> std::io::Result<()> {
    let (sender, receiver) = sync_channel(RING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
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
    Ok(())
}

/// The VM's time of day in milliseconds, to order lines of several processes; nothing else goes
/// by it. Zero on a VM whose clock stands before 1970.
fn time_of_day() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

fn write_lines(receiver: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = receiver.recv() {
        // There is nowhere left to report that standard output is closed.
        let _ = out.write_all(&line);
        while let Ok(line) = receiver.try_recv() {
            let _ = out.write_all(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let at = time_of_day();
            let _ = writeln!(out, "at={at} level=warn event=lines_dropped count={lost}");
        }
        let _ = out.flush();
    }
}
