//! The file that says where everything is.

use serde::{Deserialize, Serialize};

/// One account.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ReadyAccount {
    /// Its name.
    pub name: String,
    /// Its token.
    pub token: String,
}

/// One upstream.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ReadyUpstream {
    /// Its name.
    pub name: String,
    /// `engine` or `service`.
    pub kind: String,
    /// Its VM.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its fabric domain.
    pub fabric_domain: String,
    /// Where it listens.
    pub addr: String,
}

/// Everything a caller or a checker needs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ReadyFile {
    /// Where callers connect.
    pub entries: Vec<String>,
    /// Where operators connect, in the same order.
    pub admins: Vec<String>,
    /// The accounts.
    pub accounts: Vec<ReadyAccount>,
    /// The upstreams.
    pub upstreams: Vec<ReadyUpstream>,
    /// The key-value service.
    pub kv: String,
    /// The VM list.
    pub vm_list: String,
    /// The weight store.
    pub weight_store: String,
    /// A model to ask for.
    pub model: String,
    /// A service with a non-idempotent `POST /confirm`.
    pub service: String,
}
