//! The bundle document.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The bundle document.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleDocument {
    /// Human-readable version. Bundles are identified by their digest, not by this.
    pub version: String,
    /// The accounts that may send requests.
    pub accounts: Vec<AccountSpec>,
    /// The models that engines run.
    pub models: Vec<ModelSpec>,
    /// Plain services that requests are routed to.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Hex-encoded public keys of operators that are not trusted from this roll on.
    #[serde(default)]
    pub revoked_signers: Vec<String>,
}

/// One client account.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Name of the account.
    pub name: ClientAccount,
    /// Hex-encoded SHA-256 digest of the account's token.
    pub token_sha256: String,
    /// Maximum requests per second across all entry VMs.
    pub requests_per_second: f64,
    /// Maximum concurrent requests across all entry VMs.
    pub concurrency: u32,
    /// Priority; 0 is the most urgent, 9 the least.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

/// A model that some of the upstreams run.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name by which callers request the model.
    pub name: ModelName,
    /// Version of the weights.
    pub version: String,
    /// Adapter that is loaded on top of the weights.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Number of VMs per replica.
    pub vms_per_replica: u32,
    /// Number of replicas in the whole fleet.
    pub replicas: u32,
    /// Priority; 0 is the most urgent, 9 the least. A repair may take VMs from a less urgent model.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Accounts that may request the model. An empty list allows all accounts.
    #[serde(default)]
    pub accounts: Vec<ClientAccount>,
}

/// A plain service.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The service's name in request paths.
    pub name: ServiceName,
    /// Rules for particular calls. Other calls are idempotent if their method is.
    #[serde(default)]
    pub routes: Vec<RouteSpec>,
    /// Accounts that may call the service. An empty list allows all accounts.
    #[serde(default)]
    pub accounts: Vec<ClientAccount>,
}

/// A rule for calls of a plain service.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the paths that the rule applies to.
    pub path_prefix: String,
    /// Whether running a call twice is harmless.
    pub idempotent: bool,
}

fn default_priority() -> u8 {
    5
}

impl BundleDocument {
    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }
}

impl ServiceSpec {
    /// Whether a call may be retried. The rule with the longest matching prefix decides, or else
    /// the method.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let rule = self
            .routes
            .iter()
            .filter(|rule| rule.method == method && path.starts_with(&rule.path_prefix))
            .max_by_key(|rule| rule.path_prefix.len());
        match rule {
            Some(rule) => rule.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"),
        }
    }
}

/// Whether `accounts` contains `account`. An empty list allows all accounts.
pub fn is_allowed(accounts: &[ClientAccount], account: &ClientAccount) -> bool {
    accounts.is_empty() || accounts.contains(account)
}
