//! Keys in the key-value store.

use bergamot_bundle::BundleDigest;
use bergamot_types::prelude::*;

/// Key of the roll record.
pub const ROLL_KEY: &str = "/bergamot/live/roll";
/// Key of the roster record.
pub const ROSTER_KEY: &str = "/bergamot/live/roster";
/// Prefix of the keys of all fabric domains' group records.
pub const GROUP_PREFIX: &str = "/bergamot/live/groups/";
/// Prefix of the keys of published bundles.
pub const BUNDLE_PREFIX: &str = "/bergamot/bundles/";

/// Returns the key of a fabric domain's group record.
pub fn group_key(failure_domain: &FailureDomain, fabric: &FabricDomain) -> String {
    format!("{GROUP_PREFIX}{failure_domain}/{fabric}")
}

/// Returns the prefix of the keys of one failure domain's group records.
pub fn home_prefix(failure_domain: &FailureDomain) -> String {
    format!("{GROUP_PREFIX}{failure_domain}/")
}

/// Returns the key of a bundle.
pub fn bundle_key(digest: &BundleDigest) -> String {
    format!("{BUNDLE_PREFIX}{digest}")
}
