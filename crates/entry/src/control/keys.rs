//! Names of the keys in the key-value service.

use bergamot_bundle::BundleDigest;
use bergamot_types::prelude::*;

/// The roll record.
pub const ROLL_KEY: &str = "/bergamot/live/roll";
/// The roster record.
pub const ROSTER_KEY: &str = "/bergamot/live/roster";
/// Prefix of the records of all fabric domains.
pub const GROUP_PREFIX: &str = "/bergamot/live/groups/";
/// Prefix of the published bundles.
pub const BUNDLE_PREFIX: &str = "/bergamot/bundles/";

/// The key of one fabric domain's record.
pub fn group_key(failure_domain: &FailureDomain, fabric: &FabricDomain) -> String {
    format!("{GROUP_PREFIX}{failure_domain}/{fabric}")
}

/// The prefix of the records of one failure domain.
pub fn home_prefix(failure_domain: &FailureDomain) -> String {
    format!("{GROUP_PREFIX}{failure_domain}/")
}

/// The key of one bundle.
pub fn bundle_key(digest: &BundleDigest) -> String {
    format!("{BUNDLE_PREFIX}{digest}")
}
