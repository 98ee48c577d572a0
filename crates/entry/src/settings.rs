//! The daemon's settings: one JSON file, checked before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bergamot_bundle::KeyRing;
use bergamot_placement::PlacementOptions;
use bergamot_routing::BalanceOptions;
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Everything the daemon is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This entry VM's name.
    pub entry: EntryId,
    /// Its name in the platform's list.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers connect. Port 0 takes any.
    pub caller_addr: SocketAddr,
    /// Where peers connect, UDP and TCP alike.
    pub peer_addr: SocketAddr,
    /// Where operators connect.
    pub admin_addr: SocketAddr,
    /// The key-value service, such as `http://10.0.0.5:2379`.
    pub kv_url: String,
    /// The VM list.
    pub vm_list_url: String,
    /// The operators that are trusted.
    pub operators: KeyRing,
    /// TLS towards callers; none for plain text.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Times and sizes.
    #[serde(default)]
    pub tuning: TuningSettings,
    /// How groups are placed and repaired.
    #[serde(default)]
    pub placement: PlacementOptions,
    /// How upstreams are chosen.
    #[serde(default)]
    pub balance: BalanceOptions,
}

/// TLS towards callers. The files are read again when they change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Times and sizes. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TuningSettings {
    /// Worker threads of the callers' side.
    pub caller_threads: usize,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The time a request body may take to arrive.
    pub body_timeout: Millis,
    /// The deadline of a request that names none.
    pub default_deadline: Millis,
    /// The longest deadline a caller may name.
    pub max_deadline: Millis,
    /// Model requests that go on at once for each routable replica.
    pub requests_per_replica: usize,
    /// Model requests that wait at most.
    pub model_queue: usize,
    /// Service calls that go on at once.
    pub service_concurrency: usize,
    /// Service calls that wait at most.
    pub service_queue: usize,
    /// Share of requests that may be sent again.
    pub retry_share: f64,
    /// Attempts at one request at most.
    pub max_attempts: u32,
    /// Time for a connection to an upstream.
    pub connect_timeout: Millis,
    /// The longest silence of a stream before it counts as broken.
    pub stream_idle: Millis,
    /// Time between probes of one upstream by one prober.
    pub probe_period: Millis,
    /// Time for one probe or order.
    pub probe_timeout: Millis,
    /// Time between reads of the roll.
    pub sync_period: Millis,
    /// Time between reads of the roster. Peers tell of a newer one in between.
    pub roster_period: Millis,
    /// Time between reads of the VM list.
    pub vm_list_period: Millis,
    /// Time between reads of other failure domains' groups.
    pub remote_period: Millis,
    /// Time for one call to the platform.
    pub platform_timeout: Millis,
    /// Calls to the key-value service per second.
    pub kv_calls_per_second: f64,
    /// Time between heartbeats.
    pub heartbeat_period: Millis,
    /// Silence that raises suspicion of a peer.
    pub suspect_after: Millis,
    /// Time for one question to a peer.
    pub peer_timeout: Millis,
    /// How long answers are kept for repeats.
    pub keep_answers: Millis,
    /// The largest answer kept for repeats, in bytes.
    pub max_kept_bytes: usize,
    /// Time in which a group of a new roll must come up before the roll stops.
    pub gate_timeout: Millis,
    /// Time for what is in flight when the daemon is stopped.
    pub stop_deadline: Millis,
}

impl Default for TuningSettings {
    fn default() -> Self {
        Self {
            caller_threads: 1,
            max_body_bytes: 1 << 20,
            body_timeout: Millis(10_000),
            default_deadline: Millis(60_000),
            max_deadline: Millis(600_000),
            requests_per_replica: 64,
            model_queue: 1_024,
            service_concurrency: 256,
            service_queue: 1_024,
            retry_share: 0.1,
            max_attempts: 4,
            connect_timeout: Millis(500),
            stream_idle: Millis(10_000),
            probe_period: Millis(1_000),
            probe_timeout: Millis(500),
            sync_period: Millis(1_000),
            roster_period: Millis(1_000),
            vm_list_period: Millis(1_000),
            remote_period: Millis(3_000),
            platform_timeout: Millis(1_000),
            kv_calls_per_second: 30.0,
            heartbeat_period: Millis(500),
            suspect_after: Millis(3_000),
            peer_timeout: Millis(400),
            keep_answers: Millis::from_secs(600),
            max_kept_bytes: 256 << 10,
            gate_timeout: Millis(120_000),
            stop_deadline: Millis(60_000),
        }
    }
}

impl EntrySettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Says file, field and reason.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let shown = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| anyhow::anyhow!("{shown}: cannot be read: {error}"))?;
        let settings: Self =
            serde_json::from_str(&text).map_err(|error| anyhow::anyhow!("{shown}: {error}"))?;
        match settings.problem() {
            Some((field, reason)) => Err(anyhow::anyhow!("{shown}: {field}: {reason}")),
            None => Ok(settings),
        }
    }

    /// The first field that is contradictory, with the reason.
    pub fn problem(&self) -> Option<(&'static str, String)> {
        let tuning = &self.tuning;
        let rules: [(bool, &'static str, &str); 10] = [
            (self.entry.as_str().is_empty(), "entry", "must not be empty"),
            (
                self.failure_domain.as_str().is_empty(),
                "failure_domain",
                "must not be empty",
            ),
            (
                !self.kv_url.starts_with("http://"),
                "kv_url",
                "must start with http://",
            ),
            (
                !self.vm_list_url.starts_with("http://"),
                "vm_list_url",
                "must start with http://",
            ),
            (
                self.operators.signers.len() < self.operators.threshold
                    || self.operators.threshold == 0,
                "operators.threshold",
                "must be at least 1 and at most the number of signers",
            ),
            (
                tuning.caller_threads == 0,
                "tuning.caller_threads",
                "must be at least 1",
            ),
            (
                tuning.default_deadline > tuning.max_deadline,
                "tuning.default_deadline",
                "must not be over max_deadline",
            ),
            (
                tuning.probe_period + tuning.probe_timeout > self.balance.evidence_max_age,
                "tuning.probe_period",
                "with probe_timeout must not be over balance.evidence_max_age, or no evidence is ever fresh",
            ),
            (
                self.placement.min_drain < self.balance.evidence_max_age,
                "placement.min_drain",
                "must not be below balance.evidence_max_age, or a group is released while others still send to it",
            ),
            (
                !(0.0..=1.0).contains(&tuning.retry_share),
                "tuning.retry_share",
                "must be 0 to 1",
            ),
        ];
        rules
            .into_iter()
            .find(|(is_wrong, ..)| *is_wrong)
            .map(|(_, field, reason)| (field, reason.to_owned()))
    }

    /// Settings that work on one machine, for `--print-default`.
    pub fn sample() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let signer = bergamot_bundle::SignerKey::from_seed(&[0; 32]).public();
        Self {
            entry: EntryId::from("entry-1"),
            vm: VmId::from("vm-entry-1"),
            failure_domain: FailureDomain::from("fd-1"),
            caller_addr: local(8080),
            peer_addr: local(8081),
            admin_addr: local(8082),
            kv_url: "http://127.0.0.1:2379".to_owned(),
            vm_list_url: "http://127.0.0.1:2380".to_owned(),
            operators: KeyRing {
                signers: [signer].into(),
                threshold: 1,
            },
            tls: None,
            tuning: TuningSettings::default(),
            placement: PlacementOptions::default(),
            balance: BalanceOptions::default(),
        }
    }
}
