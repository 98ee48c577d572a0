//! Files that operators keep: keys, bundles, signed bundles.

use std::path::Path;

use anyhow::Context;
use bergamot_bundle::{BundleDocument, SignedBundle, SignerKey};

/// Reads a file with an error that names it.
///
/// # Errors
/// When it cannot be read.
pub fn read(path: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(path).with_context(|| format!("{} cannot be read", path.display()))
}

/// Reads a secret key: 64 hex digits.
///
/// # Errors
/// When the file is not a key.
pub fn read_key(path: &Path) -> anyhow::Result<SignerKey> {
    let bytes = read(path)?;
    let text = String::from_utf8_lossy(&bytes);
    SignerKey::from_hex(&text).with_context(|| format!("{} is not a key", path.display()))
}

/// Reads a bundle document with its bytes.
///
/// # Errors
/// When it is not a bundle, with the place in the file.
pub fn read_document(path: &Path) -> anyhow::Result<(Vec<u8>, BundleDocument)> {
    let bytes = read(path)?;
    let document = serde_json::from_slice(&bytes)
        .with_context(|| format!("{} is not a bundle", path.display()))?;
    Ok((bytes, document))
}

/// Reads a signed bundle.
///
/// # Errors
/// When it is not one.
pub fn read_signed(path: &Path) -> anyhow::Result<SignedBundle> {
    let bytes = read(path)?;
    serde_json::from_slice(&bytes)
        .with_context(|| format!("{} is not a signed bundle", path.display()))
}
