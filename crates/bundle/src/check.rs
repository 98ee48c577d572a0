//! Validates bundles before they are signed or adopted.

use std::collections::HashSet;
use std::fmt;

use crate::document::BundleDocument;

/// The least urgent priority.
pub const LOWEST_PRIORITY: u8 = 9;
/// Maximum number of VMs per replica.
pub const MAX_VMS_PER_REPLICA: u32 = 64;

/// A reason why a bundle is invalid.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Problem {
    /// The invalid field, such as `models[2].replicas`.
    pub field: String,
    /// The reason why the field is invalid.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// Returns all problems of `document`. A document without problems may be signed.
pub fn check(document: &BundleDocument) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |field: String, reason: &str| {
        problems.push(Problem {
            field,
            reason: reason.to_owned(),
        });
    };
    if document.version.is_empty() {
        report("version".into(), "must not be empty");
    }
    if document.accounts.is_empty() {
        report("accounts".into(), "must name at least one account");
    }
    let mut accounts = HashSet::new();
    let mut tokens = HashSet::new();
    for (index, account) in document.accounts.iter().enumerate() {
        let at = |name: &str| format!("accounts[{index}].{name}");
        if !accounts.insert(&account.name) {
            report(at("name"), "is named twice");
        }
        let is_hash = hex::decode(&account.token_sha256).is_ok_and(|bytes| bytes.len() == 32);
        if !is_hash {
            report(at("token_sha256"), "must be 64 hex digits");
        }
        if !tokens.insert(&account.token_sha256) {
            report(at("token_sha256"), "belongs to two accounts");
        }
        if !account.requests_per_second.is_finite() || account.requests_per_second <= 0.0 {
            report(at("requests_per_second"), "must be above zero");
        }
        if account.concurrency == 0 {
            report(at("concurrency"), "must be above zero");
        }
        if account.priority > LOWEST_PRIORITY {
            report(at("priority"), "must be 0 to 9");
        }
    }
    let mut models = HashSet::new();
    for (index, model) in document.models.iter().enumerate() {
        let at = |name: &str| format!("models[{index}].{name}");
        if !models.insert(&model.name) {
            report(at("name"), "is named twice");
        }
        if model.version.is_empty() {
            report(at("version"), "must not be empty");
        }
        if model.vms_per_replica == 0 || model.vms_per_replica > MAX_VMS_PER_REPLICA {
            report(at("vms_per_replica"), "must be 1 to 64");
        }
        if model.priority > LOWEST_PRIORITY {
            report(at("priority"), "must be 0 to 9");
        }
        if model.accounts.iter().any(|name| !accounts.contains(name)) {
            report(at("accounts"), "names an account that is not in the bundle");
        }
    }
    let mut services = HashSet::new();
    for (index, service) in document.services.iter().enumerate() {
        let at = |name: &str| format!("services[{index}].{name}");
        if !services.insert(&service.name) || service.name.as_str().contains('/') {
            report(at("name"), "must be unique and without a slash");
        }
        if service.accounts.iter().any(|name| !accounts.contains(name)) {
            report(at("accounts"), "names an account that is not in the bundle");
        }
    }
    for (index, key) in document.revoked_signers.iter().enumerate() {
        if !hex::decode(key).is_ok_and(|bytes| bytes.len() == 32) {
            report(format!("revoked_signers[{index}]"), "must be 64 hex digits");
        }
    }
    problems
}
