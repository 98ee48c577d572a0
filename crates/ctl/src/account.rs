//! Where callers' requests went, out of the logs of many VMs: in time, late and why, refused, lost.

pub mod plot;
pub mod stages;
pub mod table;

use std::io::BufRead;
use std::path::Path;

use anyhow::Context;
use indexmap::IndexMap;
use serde::Serialize;

use crate::log_line::LogLine;
use stages::StageTimes;

/// What a request came to, as far as its entry VM knows.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// Within its objectives.
    InTime,
    /// The first event, or the answer, came late from the first upstream that it was sent to.
    LateFirst,
    /// The same after it had been sent again.
    LateResent,
    /// A pause was too long, as the stream broke off and went on elsewhere.
    LateBroken,
    /// A pause was too long at one upstream.
    LatePause,
    /// Refused.
    Refused,
    /// Its caller left.
    CallerLeft,
    /// It came to no end: its upstreams were lost, or its time was up.
    Lost,
}

impl RequestEnd {
    /// All of them, in the order of the table.
    pub const ALL: [Self; 8] = [
        Self::InTime,
        Self::LateFirst,
        Self::LateResent,
        Self::LateBroken,
        Self::LatePause,
        Self::Refused,
        Self::CallerLeft,
        Self::Lost,
    ];

    /// Its name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::LateFirst => "late_first",
            Self::LateResent => "late_resent",
            Self::LateBroken => "late_broken",
            Self::LatePause => "late_pause",
            Self::Refused => "refused",
            Self::CallerLeft => "caller_left",
            Self::Lost => "lost",
        }
    }

    /// Whether the caller got its whole answer, but too late.
    pub const fn is_late(self) -> bool {
        matches!(
            self,
            Self::LateFirst | Self::LateResent | Self::LateBroken | Self::LatePause
        )
    }

    /// The end of a stream, by the line that its entry VM wrote about it.
    fn of_stream(line: &LogLine) -> Self {
        match line.field("outcome") {
            "ok" => {}
            "caller_left" => return Self::CallerLeft,
            _ => return Self::Lost,
        }
        let number = |name: &str| millis(line, name).unwrap_or_default();
        let sends = (number("first_sends"), number("sends"));
        let is_late = number("first") > millis(line, "objective").unwrap_or(u64::MAX);
        let is_paused = number("longest_gap") > millis(line, "pause_objective").unwrap_or(u64::MAX);
        match (is_late, is_paused) {
            (true, _) if sends.0 > 1 => Self::LateResent,
            (true, _) => Self::LateFirst,
            (false, true) if sends.1 > sends.0 => Self::LateBroken,
            (false, true) => Self::LatePause,
            (false, false) => Self::InTime,
        }
    }

    /// The end of a request to a plain service.
    fn of_answer(line: &LogLine) -> Self {
        let number = |name: &str| millis(line, name).unwrap_or_default();
        let is_late = number("waited") > millis(line, "objective").unwrap_or(u64::MAX);
        match (is_late, number("attempt") > 1) {
            (false, _) => Self::InTime,
            (true, true) => Self::LateResent,
            (true, false) => Self::LateFirst,
        }
    }
}

/// Counts of ends.
pub type EndCounts = IndexMap<RequestEnd, u64>;

/// The account of all logs.
#[derive(Clone, Default, Debug, Serialize)]
pub struct RequestAccount {
    /// By route.
    pub routes: IndexMap<String, EndCounts>,
    /// By second of the first log line, in order.
    pub seconds: IndexMap<u64, EndCounts>,
    /// Refusals by kind.
    pub refusals: IndexMap<String, u64>,
    /// Streams that broke off, by reason.
    pub breaks: IndexMap<String, u64>,
    /// Times of the stages of streams, by route.
    pub stages: IndexMap<String, StageTimes>,
    /// Lines that tell of no event, such as torn ones.
    pub unread_lines: u64,
    /// The time of the first line, in milliseconds of the VMs' time of day.
    pub began_at: Option<u64>,
}

impl RequestAccount {
    /// Takes in a log. Keeps no line, so that logs of any length can be read.
    ///
    /// # Errors
    /// When it cannot be read.
    pub fn read(&mut self, path: &Path) -> anyhow::Result<()> {
        let name = path.display();
        let file = std::fs::File::open(path).with_context(|| format!("{name} cannot be opened"))?;
        for text in std::io::BufReader::new(file).split(b'\n') {
            let text = text.with_context(|| format!("{name} cannot be read"))?;
            self.take(&String::from_utf8_lossy(&text));
        }
        Ok(())
    }

    /// Takes in one line.
    pub fn take(&mut self, text: &str) {
        let Some(line) = LogLine::parse(text) else {
            self.unread_lines += 1;
            return;
        };
        let at = line.at.unwrap_or_default();
        let began_at = *self.began_at.get_or_insert(at);
        let second = at.saturating_sub(began_at) / 1_000;
        match line.event.as_str() {
            "stream_ended" => {
                let route = line.field("route").to_owned();
                self.stages.entry(route).or_default().take(&line);
                self.count(&line, second, RequestEnd::of_stream(&line));
            }
            "answered" => self.count(&line, second, RequestEnd::of_answer(&line)),
            "refused" => {
                let kind = line.field("kind").to_owned();
                *self.refusals.entry(kind).or_default() += 1;
                self.count(&line, second, RequestEnd::Refused);
            }
            "stream_broken" => {
                let reason = line.field("reason").to_owned();
                *self.breaks.entry(reason).or_default() += 1;
            }
            _ => {}
        }
    }

    fn count(&mut self, line: &LogLine, second: u64, end: RequestEnd) {
        let route = line.field("route").to_owned();
        *self
            .routes
            .entry(route)
            .or_default()
            .entry(end)
            .or_default() += 1;
        *self
            .seconds
            .entry(second)
            .or_default()
            .entry(end)
            .or_default() += 1;
    }
}

/// A number in a line, such as milliseconds with their unit.
pub(crate) fn millis(line: &LogLine, name: &str) -> Option<u64> {
    let text = line.field(name);
    text.strip_suffix("ms").unwrap_or(text).parse().ok()
}
