//! Identifies requests by a fingerprint of their content, abbreviated to `print` in records and log
//! lines.

use std::fmt;
use std::str::FromStr;

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;
/// The first bytes of the fingerprint of a prompt part. A request's fingerprint begins with them
/// once in four billion.
const PART_MARK: [u8; 4] = *b"part";

/// Digest of a request's account, path and body, which identifies it however often it is sent,
/// wherever, and under whichever ID. Equal on every VM and in every version.
///
/// The first half of a SHA-256. Each part is hashed with its length, so that the parts cannot be
/// shifted against each other. The account is the one the API key belongs to, so no account can
/// produce the fingerprint of another account's request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestPrint([u8; FINGERPRINT_BYTES]);

impl RequestPrint {
    /// Computes the fingerprint of a request; `path` includes the query. Hashes the whole body
    /// once.
    pub fn of(account: Option<&ClientAccount>, path: &str, body: &[u8]) -> Self {
        Self::of_pieces(account, path, [body])
    }

    /// Like [`Self::of`], of a body in pieces. The fingerprint does not depend on where they end.
    pub fn of_pieces<'a, Pieces>(account: Option<&ClientAccount>, path: &str, body: Pieces) -> Self
    where
        Pieces: IntoIterator<Item = &'a [u8], IntoIter: Clone>,
    {
        let account = account.map_or("", ClientAccount::as_str);
        let mut digest = Sha256::new();
        for part in [account.as_bytes(), path.as_bytes()] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let body = body.into_iter();
        let body_bytes: usize = body.clone().map(<[u8]>::len).sum();
        digest.update((body_bytes as u64).to_le_bytes());
        body.for_each(|piece| digest.update(piece));
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Computes the fingerprint of a part of a prompt, which is the same for all accounts.
    pub fn of_part(part: &PromptPartId) -> Self {
        let digest = Sha256::digest(part.as_str().as_bytes());
        let mut bytes = [0; FINGERPRINT_BYTES];
        let (mark, rest) = bytes.split_at_mut(PART_MARK.len());
        mark.copy_from_slice(&PART_MARK);
        rest.copy_from_slice(&digest[..rest.len()]);
        Self(bytes)
    }

    /// Whether this is the fingerprint of a part of a prompt.
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_MARK)
    }

    /// Returns a hash that is equal on every VM.
    pub(crate) fn to_hash(self) -> u64 {
        hash_bytes(&self.0)
    }
}

impl fmt::Display for RequestPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The text is not a fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("expected a request fingerprint of 32 hexadecimal digits")]
pub struct FingerprintError;

impl FromStr for RequestPrint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| FingerprintError)?;
        Ok(Self(bytes))
    }
}
