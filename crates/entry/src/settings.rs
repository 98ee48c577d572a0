//! Settings of the daemon. They are read from a JSON file and validated before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bergamot_bundle::KeyRing;
use bergamot_placement::PlacementOptions;
use bergamot_routing::BalanceOptions;
use bergamot_types::prelude::*;
use bergamot_types::units::Megabytes;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

/// The largest body takes at most this part of the memory.
const MEMORY_PER_BODY: u64 = 8;

/// All settings of the daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This entry VM's name.
    pub entry: EntryId,
    /// This VM's name in the platform's VM list.
    pub vm: VmId,
    /// This VM's failure domain.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to. Port 0 lets the system choose a port.
    pub caller_addr: SocketAddr,
    /// Address that peers connect to, for both UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Address that operators connect to.
    pub admin_addr: SocketAddr,
    /// URL of the key-value store, such as `http://10.0.0.5:2379`.
    pub kv_url: String,
    /// URL of the VM list.
    pub vm_list_url: String,
    /// Keys of the trusted operators.
    pub operators: KeyRing,
    /// TLS for callers' connections; `None` for plain text.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Timeouts, intervals and limits.
    #[serde(default)]
    pub tuning: TuningSettings,
    /// Settings of group placement and repair.
    #[serde(default)]
    pub placement: PlacementOptions,
    /// Settings of load balancing between upstreams.
    #[serde(default)]
    pub balance: BalanceOptions,
}

/// TLS for callers' connections. The files are reloaded when they change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Timeouts, intervals and limits. Times are in milliseconds.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TuningSettings {
    /// Number of worker threads that serve callers.
    pub caller_threads: usize,
    /// Memory that this process may take, in megabytes. Request bodies get a quarter of it.
    #[serde(rename = "memory_mb")]
    #[serde_as(as = "Megabytes")]
    pub memory_bytes: u64,
    /// Maximum number of callers' connections. Memory and the limit on open descriptors may allow fewer.
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Millis,
    /// Deadline of a request that does not specify one.
    pub default_deadline: Millis,
    /// Longest deadline that a caller may specify.
    pub max_deadline: Millis,
    /// Maximum number of concurrent model requests per routable replica.
    pub requests_per_replica: usize,
    /// Maximum number of queued model requests.
    pub model_queue: usize,
    /// Maximum number of concurrent service calls.
    pub service_concurrency: usize,
    /// Maximum number of queued service calls.
    pub service_queue: usize,
    /// Share of requests that may be retried.
    pub retry_share: f64,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Timeout for connecting to an upstream.
    pub connect_timeout: Millis,
    /// How long a stream may be idle before it counts as broken.
    pub stream_idle: Millis,
    /// Interval between probes of an upstream by one prober.
    pub probe_period: Millis,
    /// Timeout of a probe or an order.
    pub probe_timeout: Millis,
    /// Interval between reads of the roll.
    pub sync_period: Millis,
    /// Interval between reads of the roster. In between, peers announce newer versions.
    pub roster_period: Millis,
    /// Interval between reads of the VM list.
    pub vm_list_period: Millis,
    /// Interval between reads of other failure domains' group records.
    pub remote_period: Millis,
    /// Timeout of a call to the platform.
    pub platform_timeout: Millis,
    /// Maximum rate of calls to the key-value store, per second.
    pub kv_calls_per_second: f64,
    /// Interval between heartbeats.
    pub heartbeat_period: Millis,
    /// How long a peer may send no heartbeat before it is suspected.
    pub suspect_after: Millis,
    /// Timeout of a query to a peer.
    pub peer_timeout: Millis,
    /// How long answers are stored for retries of the same request.
    pub keep_answers: Millis,
    /// Maximum size of a stored answer, in bytes.
    pub max_kept_bytes: usize,
    /// How long a group of a new roll may take to start serving before the roll is stopped.
    pub gate_timeout: Millis,
    /// How long a stop waits for requests in flight.
    pub stop_deadline: Millis,
}

impl Default for TuningSettings {
    fn default() -> Self {
        Self {
            caller_threads: 1,
            memory_bytes: 512_000_000,
            max_connections: 4_096,
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
    /// Loads and validates a settings file.
    ///
    /// # Errors
    /// Returns an error with the file, the field and the reason.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let file = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| anyhow::anyhow!("{file}: cannot be read: {error}"))?;
        let settings: Self =
            serde_json::from_str(&text).map_err(|error| anyhow::anyhow!("{file}: {error}"))?;
        match settings.problem() {
            Some((field, reason)) => Err(anyhow::anyhow!("{file}: {field}: {reason}")),
            None => Ok(settings),
        }
    }

    /// Returns the first invalid field and the reason, if any.
    pub fn problem(&self) -> Option<(&'static str, String)> {
        let tuning = &self.tuning;
        let rules: [(bool, &'static str, &str); 12] = [
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
                tuning.max_connections == 0,
                "tuning.max_connections",
                "must be at least 1",
            ),
            (
                tuning.max_body_bytes as u64 > tuning.memory_bytes / MEMORY_PER_BODY,
                "tuning.max_body_bytes",
                "must not exceed an eighth of memory_mb, or the largest body is never accepted",
            ),
            (
                tuning.default_deadline > tuning.max_deadline,
                "tuning.default_deadline",
                "must not exceed max_deadline",
            ),
            (
                tuning.probe_period + tuning.probe_timeout > self.balance.evidence_max_age,
                "tuning.probe_period",
                "probe_period plus probe_timeout must not exceed balance.evidence_max_age, or evidence expires before the next probe",
            ),
            (
                self.placement.min_drain < self.balance.evidence_max_age,
                "placement.min_drain",
                "must not be below balance.evidence_max_age, or a group is released while other entry VMs send requests to it",
            ),
            (
                !(0.0..=1.0).contains(&tuning.retry_share),
                "tuning.retry_share",
                "must be 0 to 1",
            ),
        ];
        rules
            .into_iter()
            .find(|(is_violated, ..)| *is_violated)
            .map(|(_, field, reason)| (field, reason.to_owned()))
    }

    /// Returns settings for a single VM, as printed by `--print-default`.
    pub fn sample() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let signer_key = bergamot_bundle::SignerKey::from_seed(&[0; 32]).public();
        Self {
            entry: EntryId::from("entry-1"),
            vm: VmId::from("vm-entry-1"),
            failure_domain: FailureDomain::from("fd-1"),
            caller_addr: loopback(8080),
            peer_addr: loopback(8081),
            admin_addr: loopback(8082),
            kv_url: "http://127.0.0.1:2379".to_owned(),
            vm_list_url: "http://127.0.0.1:2380".to_owned(),
            operators: KeyRing {
                signers: [signer_key].into(),
                threshold: 1,
            },
            tls: None,
            tuning: TuningSettings::default(),
            placement: PlacementOptions::default(),
            balance: BalanceOptions::default(),
        }
    }
}
