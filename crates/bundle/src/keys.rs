//! Keys of operators, digests and signatures.

use std::collections::BTreeSet;
use std::fmt;

use ed25519_dalek::{Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

/// Reasons to reject a document or a record.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum Error {
    #[error("{valid} valid signatures of trusted operators, {needed} needed")]
    TooFewSignatures { valid: usize, needed: usize },
    #[error("the digest does not match the document")]
    DigestMismatch,
    #[error("the document is not valid: {0}")]
    Malformed(String),
    #[error("a key must be 64 hex digits")]
    BadKey,
}

/// SHA-256 digest of a bundle's bytes.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BundleDigest(#[serde_as(as = "Hex")] pub [u8; 32]);

impl BundleDigest {
    /// Computes the digest of a document's bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for BundleDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for BundleDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..6]))
    }
}

/// An operator's public key.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SignerPublic(#[serde_as(as = "Hex")] pub [u8; 32]);

impl SignerPublic {
    /// Parses a key of 64 hex digits.
    ///
    /// # Errors
    /// [`Error::BadKey`] if the text is anything else.
    pub fn from_hex(text: &str) -> Result<Self, Error> {
        let bytes = hex::decode(text.trim()).map_err(|_| Error::BadKey)?;
        let bytes = <[u8; 32]>::try_from(bytes).map_err(|_| Error::BadKey)?;
        Ok(Self(bytes))
    }

    /// Returns the key as 64 hex digits.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }
}

/// A signature, with the public key that verifies it.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Signature {
    /// Public key of the signer.
    pub signer: SignerPublic,
    /// The signature, 64 bytes.
    #[serde_as(as = "Hex")]
    pub bytes: Vec<u8>,
}

/// An operator's secret key.
pub struct SignerKey(SigningKey);

impl SignerKey {
    /// Creates a key from 32 random bytes.
    pub fn from_seed(seed: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(seed))
    }

    /// Parses the secret from 64 hex digits.
    ///
    /// # Errors
    /// [`Error::BadKey`] if the text is anything else.
    pub fn from_hex(text: &str) -> Result<Self, Error> {
        Ok(Self::from_seed(&SignerPublic::from_hex(text)?.0))
    }

    /// Returns the secret, for example to transfer the key to another owner.
    pub fn to_seed(&self) -> [u8; 32] {
        self.0.to_bytes()
    }

    /// Returns the public key.
    pub fn public(&self) -> SignerPublic {
        SignerPublic(self.0.verifying_key().to_bytes())
    }

    /// Signs `bytes`.
    pub fn sign(&self, bytes: &[u8]) -> Signature {
        Signature {
            signer: self.public(),
            bytes: self.0.sign(bytes).to_bytes().to_vec(),
        }
    }
}

/// The trusted operators, and how many of them must sign.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRing {
    /// Public keys of trusted operators.
    pub signers: BTreeSet<SignerPublic>,
    /// Number of distinct signers that are required.
    pub threshold: usize,
}

impl KeyRing {
    /// Verifies that enough distinct operators that are trusted and not revoked signed `bytes`.
    ///
    /// Verifies at most one signature per element of `signatures`.
    ///
    /// # Errors
    /// [`Error::TooFewSignatures`] if fewer did.
    pub fn verify(
        &self,
        bytes: &[u8],
        signatures: &[Signature],
        revoked: &BTreeSet<SignerPublic>,
    ) -> Result<(), Error> {
        let valid: BTreeSet<SignerPublic> = signatures
            .iter()
            .filter(|signature| self.signers.contains(&signature.signer))
            .filter(|signature| !revoked.contains(&signature.signer))
            .filter(|signature| is_valid(bytes, signature))
            .map(|signature| signature.signer)
            .collect();
        let needed = self.threshold.max(1);
        if valid.len() < needed {
            return Err(Error::TooFewSignatures {
                valid: valid.len(),
                needed,
            });
        }
        Ok(())
    }
}

fn is_valid(bytes: &[u8], signature: &Signature) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(&signature.signer.0) else {
        return false;
    };
    let Ok(parsed) = ed25519_dalek::Signature::from_slice(&signature.bytes) else {
        return false;
    };
    key.verify(bytes, &parsed).is_ok()
}
