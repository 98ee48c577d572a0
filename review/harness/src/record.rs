//! The record of a run.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Instant;

/// Writes lines with the time since the beginning of the run.
pub struct Record {
    file: BufWriter<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path, began: Instant) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: BufWriter::new(file),
            began,
        })
    }

    /// Seconds since the beginning; negative before it.
    pub fn seconds(&self, at: Instant) -> f64 {
        match at.checked_duration_since(self.began) {
            Some(since) => since.as_secs_f64(),
            None => -(self.began - at).as_secs_f64(),
        }
    }

    pub fn at(&mut self, at: Instant, text: &str) -> io::Result<()> {
        let seconds = self.seconds(at);
        writeln!(self.file, "{seconds:9.3} s  {text}")
    }

    pub fn line(&mut self, text: &str) -> io::Result<()> {
        writeln!(self.file, "{text}")
    }

    /// Writes a line that is also printed.
    pub fn result(&mut self, text: &str) -> io::Result<()> {
        println!("{text}");
        self.line(text)
    }
}
