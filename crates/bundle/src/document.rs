//! What a bundle says.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The whole document.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleDocument {
    /// A name for people; the digest is what counts.
    pub version: String,
    /// Who may call.
    pub accounts: Vec<AccountSpec>,
    /// What the engines run.
    pub models: Vec<ModelSpec>,
    /// Plain services that are routed to as well.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Hex public keys of operators that are no longer trusted, from this roll on.
    #[serde(default)]
    pub revoked_signers: Vec<String>,
}

/// One client account.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The account.
    pub name: ClientAccount,
    /// Hex SHA-256 of its token.
    pub token_sha256: String,
    /// Requests per second over all entry VMs.
    pub requests_per_second: f64,
    /// Requests at once over all entry VMs.
    pub concurrency: u32,
    /// 0 is the most urgent, 9 the least.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

/// One model that some upstreams must run.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name callers ask for.
    pub name: ModelName,
    /// Version of the weights.
    pub version: String,
    /// Adapter loaded on top, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// VMs in each replica.
    pub vms_per_replica: u32,
    /// Replicas wanted over the whole fleet.
    pub replicas: u32,
    /// 0 is the most urgent, 9 the least; a repair may take VMs from a less urgent model.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Accounts that may call it; empty means all.
    #[serde(default)]
    pub accounts: Vec<ClientAccount>,
}

/// One plain service.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name in the path.
    pub name: ServiceName,
    /// Routes with a special rule; all others are idempotent if their method is.
    #[serde(default)]
    pub routes: Vec<RouteSpec>,
    /// Accounts that may call it; empty means all.
    #[serde(default)]
    pub accounts: Vec<ClientAccount>,
}

/// A rule for calls of a plain service.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The method, in capitals.
    pub method: String,
    /// Calls whose path starts with this.
    pub path_prefix: String,
    /// Whether a call may run twice.
    pub idempotent: bool,
}

fn default_priority() -> u8 {
    5
}

impl BundleDocument {
    /// The model of that name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }
}

impl ServiceSpec {
    /// Whether a call may be repeated: by the longest matching rule, else by its method.
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

/// Whether `account` is on the list, an empty list meaning everyone.
pub fn is_allowed(accounts: &[ClientAccount], account: &ClientAccount) -> bool {
    accounts.is_empty() || accounts.contains(account)
}
