//! Evacuated failure domains and cold upstreams, as the entry VMs' logs and metrics tell of them.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use bergamot_platform::HttpClient;
use hyper::Method;
use indexmap::IndexMap;
use serde::Serialize;

use crate::log_line::LogLine;
use crate::story::{StoryLine, read_log};

/// Time for reading one VM's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(3);
/// Metrics that concern evacuations and cold upstreams, by the start of their lines.
const DOMAIN_METRICS: [&str; 4] = [
    "bergamot_state{name=\"evacuated_domains\"}",
    "bergamot_state{name=\"cold_upstreams\"}",
    "bergamot_warmup_permits",
    "warmup_permits",
];

/// What one VM last knew, by its log.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct VmKnowledge {
    /// The VM, or its log if that does not name it.
    pub vm: String,
    /// Evacuated failure domains.
    pub evacuated: IndexMap<String, KnownEvacuation>,
    /// Cold upstreams.
    pub cold: IndexMap<String, KnownCold>,
}

/// What a VM knows of an evacuation.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct KnownEvacuation {
    /// When the VM learned of it, in milliseconds of its time of day.
    pub at: u64,
    /// The key's revision.
    pub revision: String,
    /// Where the VM learned of it.
    pub source: String,
    /// How long after the write of the key the VM learned of it, as it states.
    pub known_after: String,
}

/// What a VM knows of a cold upstream.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct KnownCold {
    /// When the VM learned of it, in milliseconds of its time of day.
    pub at: u64,
    /// Until when the upstream is cold, in milliseconds of the VM's time of day; none if the VM
    /// does not state it.
    pub until: Option<u64>,
    /// Where the VM learned of it.
    pub source: String,
}

impl VmKnowledge {
    /// Takes one log line into account. A process that starts knows nothing.
    fn apply(&mut self, at: u64, line: &LogLine) {
        let field = |name: &str| line.field(name).to_owned();
        match line.event.as_str() {
            "started" => {
                self.evacuated.clear();
                self.cold.clear();
                if !line.field("vm").is_empty() {
                    self.vm = field("vm");
                }
            }
            "domain_evacuated" => {
                let known = KnownEvacuation {
                    at,
                    revision: field("revision"),
                    source: field("source"),
                    known_after: field("known_after"),
                };
                self.evacuated.insert(field("domain"), known);
            }
            "domain_returned" => {
                self.evacuated.shift_remove(line.field("domain"));
            }
            "upstream_cold" => {
                let known = KnownCold {
                    at,
                    until: line
                        .field("left")
                        .parse()
                        .ok()
                        .and_then(|left| at.checked_add(left)),
                    source: field("source"),
                };
                self.cold.insert(field("upstream"), known);
            }
            "upstream_warm" => {
                self.cold.shift_remove(line.field("upstream"));
            }
            _ => {}
        }
    }
}

/// Reads what each VM last knew. One log belongs to one VM.
///
/// # Errors
/// When a log cannot be read.
pub fn read_knowledge(logs: &[PathBuf]) -> anyhow::Result<Vec<VmKnowledge>> {
    let mut knowledge = Vec::new();
    for path in logs {
        let mut vm = VmKnowledge {
            vm: path.display().to_string(),
            ..VmKnowledge::default()
        };
        for StoryLine { at, line, .. } in read_log(path)? {
            vm.apply(at, &line);
        }
        knowledge.push(vm);
    }
    Ok(knowledge)
}

/// Returns a line for each evacuated domain and each cold upstream. For an evacuation the line names
/// the VMs that do not know of it.
pub fn describe_knowledge(knowledge: &[VmKnowledge]) -> Vec<String> {
    let mut lines = Vec::new();
    for domain in names(knowledge, |vm| vm.evacuated.keys()) {
        lines.push(describe_evacuation(&domain, knowledge));
    }
    for upstream in names(knowledge, |vm| vm.cold.keys()) {
        lines.push(describe_cold(&upstream, knowledge));
    }
    lines
}

fn names<'a, Keys>(knowledge: &'a [VmKnowledge], keys: fn(&'a VmKnowledge) -> Keys) -> Vec<String>
where
    Keys: Iterator<Item = &'a String>,
{
    let mut names: Vec<String> = knowledge.iter().flat_map(keys).cloned().collect();
    names.sort();
    names.dedup();
    names
}

fn describe_evacuation(domain: &str, knowledge: &[VmKnowledge]) -> String {
    let known = knowledge.iter().filter_map(|vm| vm.evacuated.get(domain));
    let times = known.clone().map(|it| it.at);
    let (first, last) = (times.clone().min(), times.max());
    let delays = known.clone().filter_map(|it| it.known_after.parse().ok());
    let slowest: Option<u64> = delays.max();
    let unknown = knowledge
        .iter()
        .filter(|vm| !vm.evacuated.contains_key(domain));
    let unknown: Vec<&str> = unknown.map(|vm| vm.vm.as_str()).collect();
    format!(
        "{domain} is evacuated at {} of {} VMs, learned from at={} to at={}, latest {} ms after the key; not at: {}",
        known.count(),
        knowledge.len(),
        first.unwrap_or(0),
        last.unwrap_or(0),
        slowest.map_or_else(|| "?".to_owned(), |delay| delay.to_string()),
        if unknown.is_empty() {
            "-".to_owned()
        } else {
            unknown.join(", ")
        },
    )
}

fn describe_cold(upstream: &str, knowledge: &[VmKnowledge]) -> String {
    let known = knowledge.iter().filter_map(|vm| {
        let cold = vm.cold.get(upstream)?;
        let until = cold
            .until
            .map_or_else(|| "?".to_owned(), |until| until.to_string());
        Some(format!("{} (until={until} by {})", vm.vm, cold.source))
    });
    let known: Vec<String> = known.collect();
    format!("{upstream} is cold at {}", known.join(", "))
}

/// Reads one VM's metrics about evacuations and cold upstreams, as they are exposed.
///
/// # Errors
/// When the VM does not answer with its metrics.
pub async fn read_metrics(caller: &HttpClient, addr: &str) -> anyhow::Result<Vec<String>> {
    let url = format!("http://{addr}/metrics");
    let request = bergamot_platform::http::build(Method::GET, &url, bytes::Bytes::new())?;
    let reply = caller.call(request, METRICS_TIMEOUT).await?;
    if !reply.status.is_success() {
        anyhow::bail!("{url} answered {}", reply.status);
    }
    let text = std::str::from_utf8(&reply.body).context("the metrics are not text")?;
    let is_about_domains = |line: &&str| DOMAIN_METRICS.iter().any(|start| line.starts_with(start));
    let lines = text.lines().filter(is_about_domains);
    Ok(lines.map(str::to_owned).collect())
}
