//! `record.txt`: what was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>8.3} s  {text}\n", self.seconds(Instant::now()));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Notes what everybody who runs the script wants to see, too.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}
