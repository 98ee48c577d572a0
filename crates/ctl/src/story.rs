//! The story of a request, a group or a VM, out of the logs of several processes.

use std::io::BufRead;
use std::path::{Path, PathBuf};

use anyhow::Context;
use indexmap::IndexMap;

use crate::log_line::LogLine;

/// Time around a request in which lines about the upstreams and groups that it met belong to its
/// story: a repair begins and ends within it.
const SURROUNDING_MS: u64 = 5_000;

/// What is to be explained.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StorySubject {
    /// A request, by its id.
    Request(String),
    /// A replica group, by its name.
    Group(String),
    /// An entry VM or an upstream, by its name.
    Vm(String),
}

impl StorySubject {
    /// The subject of a kind; none when there is no such kind.
    pub fn new(kind: &str, name: &str) -> Option<Self> {
        let name = name.to_owned();
        match kind {
            "request" => Some(Self::Request(name)),
            "group" => Some(Self::Group(name)),
            "vm" => Some(Self::Vm(name)),
            _ => None,
        }
    }
}

/// A line with its place in a log.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StoryLine {
    /// The log.
    pub log: String,
    /// Its number in the log, from 1.
    pub number: usize,
    /// When it was written, in milliseconds: never before the lines above it, as a clock that is set
    /// back, or a line without a time, would have it.
    pub at: u64,
    /// The line.
    pub line: LogLine,
}

/// The lines that tell the story, in order. Lines of one log stay in their order.
///
/// # Errors
/// When a log cannot be read.
pub fn tell(subject: &StorySubject, logs: &[PathBuf]) -> anyhow::Result<Vec<StoryLine>> {
    let lines = read_logs(logs)?;
    let mut told = match subject {
        StorySubject::Request(id) => tell_request(id, &lines),
        StorySubject::Group(name) | StorySubject::Vm(name) => {
            let about = lines.iter().filter(|it| it.line.names(name));
            about.cloned().collect()
        }
    };
    told.sort_by(|a, b| {
        let by_time = a.at.cmp(&b.at);
        by_time.then_with(|| (&a.log, a.number).cmp(&(&b.log, b.number)))
    });
    Ok(told)
}

/// The request's own lines, what its process believed of the store, the configuration and the failure
/// domains, and what befell the upstreams and groups that it met.
fn tell_request(id: &str, lines: &[StoryLine]) -> Vec<StoryLine> {
    let own: Vec<&StoryLine> = lines
        .iter()
        .filter(|it| it.line.field("request") == id)
        .collect();
    let Some(last) = own.last() else {
        return Vec::new();
    };
    let first = own[0].at;
    let met: Vec<&str> = own
        .iter()
        .flat_map(|it| [it.line.field("upstream"), it.line.field("group")])
        .filter(|name| !name.is_empty() && *name != "-")
        .collect();
    let is_near = |at: u64| at + SURROUNDING_MS >= first && at <= last.at + SURROUNDING_MS;
    let beliefs = beliefs_before(last, lines);
    let told = lines.iter().filter(|it| {
        let is_own = it.line.field("request") == id;
        let is_belief = beliefs.contains(&(it.log.as_str(), it.number));
        let is_met = it.line.field("request").is_empty()
            && is_near(it.at)
            && met.iter().any(|name| it.line.names(name));
        is_own || is_belief || is_met
    });
    told.cloned().collect()
}

/// The last line of each kind, before this one in its log, that says what the process believed.
fn beliefs_before<'a>(end: &StoryLine, lines: &'a [StoryLine]) -> Vec<(&'a str, usize)> {
    /// Events of one kind; the last of them holds.
    const BELIEFS: [&[&str]; 4] = [
        &["started", "stopping"],
        &["config_in_force"],
        &["store_lost", "store_regained", "store_read"],
        &["news_source"],
    ];
    let before: Vec<&StoryLine> = lines
        .iter()
        .filter(|it| it.log == end.log && it.number < end.number)
        .collect();
    let last = |events: &&[&str]| {
        let mut held = before.iter().rev();
        held.find(|it| events.contains(&it.line.event.as_str()))
    };
    let beliefs = BELIEFS.iter().filter_map(last).copied();
    let beliefs = beliefs.chain(regional_beliefs(&before));
    beliefs.map(|it| (it.log.as_str(), it.number)).collect()
}

/// Returns the lines that say which failure domains and regions could be used: the last one for each
/// failure domain, and the unknown regions of the last configuration. They explain a request that was
/// never sent, whose own lines name no upstream. A process that starts knows nothing of them.
fn regional_beliefs<'a>(before: &[&'a StoryLine]) -> impl Iterator<Item = &'a StoryLine> {
    let start = before.iter().rposition(|it| it.line.event == "started");
    let mut domains: IndexMap<&str, &StoryLine> = IndexMap::new();
    let mut unknown_regions = None;
    for it in &before[start.unwrap_or(0)..] {
        match it.line.event.as_str() {
            "domain_evacuated" | "domain_returned" => {
                domains.insert(it.line.field("domain"), it);
            }
            // Comes before the warning about the same version.
            "config_in_force" => unknown_regions = None,
            "region_unknown" => unknown_regions = Some(*it),
            _ => {}
        }
    }
    domains.into_values().chain(unknown_regions)
}

fn read_logs(logs: &[PathBuf]) -> anyhow::Result<Vec<StoryLine>> {
    let mut lines = Vec::new();
    for path in logs {
        lines.extend(read_log(path)?);
    }
    Ok(lines)
}

/// Reads the lines of one log that name an event.
pub(crate) fn read_log(path: &Path) -> anyhow::Result<Vec<StoryLine>> {
    let name = path.display().to_string();
    let file = std::fs::File::open(path).with_context(|| format!("{name} cannot be opened"))?;
    let mut lines = Vec::new();
    let mut at = 0;
    for (index, text) in std::io::BufReader::new(file).lines().enumerate() {
        let text = text.with_context(|| format!("{name} cannot be read"))?;
        let Some(line) = LogLine::parse(&text) else {
            continue;
        };
        at = line.at.unwrap_or(at).max(at);
        lines.push(StoryLine {
            at,
            log: name.clone(),
            number: index + 1,
            line,
        });
    }
    Ok(lines)
}
