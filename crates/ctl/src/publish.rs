//! Publishing: an immutable document under its digest.

use anyhow::bail;
use bergamot_bundle::{BundleDigest, SignedBundle};
use bergamot_platform::{CasOutcome, KvClient};
use serde::Serialize;

/// Prefix of the published bundles.
pub const BUNDLE_PREFIX: &str = "/bergamot/bundles/";

/// What became of a publication.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishOutcome {
    /// It is there now.
    Published(BundleDigest),
    /// It was there already.
    AlreadyThere(BundleDigest),
}

/// Writes a signed bundle. Publishing the same one again changes nothing.
///
/// # Errors
/// When the service cannot be reached: nothing is in force through this in any case.
pub async fn publish(kv: &KvClient, signed: &SignedBundle) -> anyhow::Result<PublishOutcome> {
    let digest = signed.digest();
    let key = format!("{BUNDLE_PREFIX}{digest}");
    let value = serde_json::to_vec(signed)?;
    match kv.cas(&key, 0, &value).await {
        Ok(CasOutcome::Won(_)) => Ok(PublishOutcome::Published(digest)),
        Ok(CasOutcome::Lost(Some(_))) => Ok(PublishOutcome::AlreadyThere(digest)),
        Ok(CasOutcome::Lost(None)) => bail!("the bundle was neither written nor found"),
        Err(error) if error.is_ambiguous() => match kv.get(&key).await? {
            Some(_) => Ok(PublishOutcome::Published(digest)),
            None => bail!("the bundle was not published: {error}"),
        },
        Err(error) => Err(error.into()),
    }
}
