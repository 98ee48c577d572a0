//! The roll record, and the adoption of newer bundles by an entry VM.

use std::collections::BTreeSet;
use std::sync::Arc;

use bergamot_types::Invariant;
use bergamot_types::mutate::{Mutation, is_on};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::check::check;
use crate::document::BundleDocument;
use crate::keys::{BundleDigest, Error, KeyRing, Signature, SignerKey, SignerPublic};

/// A bundle's bytes, with their signatures.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SignedBundle {
    /// The document, byte for byte as it was signed.
    #[serde_as(as = "Base64")]
    pub bytes: Vec<u8>,
    /// Signatures of `bytes`.
    pub signatures: Vec<Signature>,
}

impl SignedBundle {
    /// Signs a document with each of `keys`.
    pub fn sign(bytes: Vec<u8>, keys: &[SignerKey]) -> Self {
        let signatures = keys.iter().map(|key| key.sign(&bytes)).collect();
        Self { bytes, signatures }
    }

    /// Returns the digest that identifies the document.
    pub fn digest(&self) -> BundleDigest {
        BundleDigest::of(&self.bytes)
    }

    /// Parses the document, and verifies its signatures and content.
    ///
    /// # Errors
    /// If too few trusted operators signed, or if the document is invalid.
    pub fn open(
        &self,
        ring: &KeyRing,
        revoked: &BTreeSet<SignerPublic>,
    ) -> Result<BundleDocument, Error> {
        let document: BundleDocument = serde_json::from_slice(&self.bytes)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let mut revoked = revoked.clone();
        revoked.extend(revoked_by(&document));
        ring.verify(&self.bytes, &self.signatures, &revoked)?;
        match check(&document).first() {
            Some(problem) => Err(Error::Malformed(problem.to_string())),
            None => Ok(document),
        }
    }
}

fn revoked_by(document: &BundleDocument) -> impl Iterator<Item = SignerPublic> + '_ {
    document
        .revoked_signers
        .iter()
        .filter_map(|key| SignerPublic::from_hex(key).ok())
}

/// The record that determines the active bundle. There is one; it changes only by compare-and-swap.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RollRecord {
    /// Incremented with each roll.
    pub number: u64,
    /// Digest of the active bundle.
    pub digest: BundleDigest,
    /// Digest of the previously active bundle, for operators.
    pub previous: Option<BundleDigest>,
    /// Identifies the attempt to write this record. If the reply to a swap is lost, reading the
    /// nonce back settles the outcome.
    pub nonce: u64,
    /// Signatures of the fields above.
    pub signatures: Vec<Signature>,
}

impl RollRecord {
    /// Creates the record that succeeds `current`, signed with each of `keys`.
    pub fn next(
        current: Option<&Self>,
        digest: BundleDigest,
        nonce: u64,
        keys: &[SignerKey],
    ) -> Self {
        let mut record = Self {
            number: current.map_or(1, |record| record.number + 1),
            digest,
            previous: current.map(|record| record.digest),
            nonce,
            signatures: Vec::new(),
        };
        let bytes = record.signed_bytes();
        record.signatures = keys.iter().map(|key| key.sign(&bytes)).collect();
        record
    }

    /// Returns the bytes that the signatures cover.
    pub fn signed_bytes(&self) -> Vec<u8> {
        let previous = self.previous.map_or_else(String::new, |d| d.to_string());
        format!(
            "bergamot-roll-v1\n{}\n{}\n{}\n{}\n",
            self.number, self.digest, previous, self.nonce
        )
        .into_bytes()
    }
}

/// Outcome of [`RollAdopter::adopt`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdoptOutcome {
    /// The offered bundle is now active on this VM.
    Adopted,
    /// A bundle that is at least as new was already active on this VM.
    AlreadyNewer,
    /// Another bundle was adopted under the same number. Only one of the two records can have won
    /// the swap.
    Conflict,
}

/// Adopts rolls on one entry VM and holds the active bundle. Its roll number only increases.
#[derive(Clone, Debug)]
pub struct RollAdopter {
    ring: KeyRing,
    revoked: BTreeSet<SignerPublic>,
    current: Option<Arc<ActiveBundle>>,
}

/// An active bundle, with the record that activated it.
#[derive(Clone, PartialEq, Debug)]
pub struct ActiveBundle {
    /// The roll record.
    pub record: RollRecord,
    /// The signed bundle, for peers that request it.
    pub signed: SignedBundle,
    /// The parsed bundle.
    pub document: BundleDocument,
}

impl RollAdopter {
    /// Creates an adopter without an active bundle. Bundles must be signed by operators in `ring`.
    pub fn new(ring: KeyRing) -> Self {
        Self {
            ring,
            revoked: BTreeSet::new(),
            current: None,
        }
    }

    /// Returns the active bundle.
    pub fn current(&self) -> Option<&Arc<ActiveBundle>> {
        self.current.as_ref()
    }

    /// Returns the number of the active roll; zero if there is none.
    pub fn number(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |active| active.record.number)
    }

    /// Adopts a roll from the key-value store or a peer if it is newer than the active one and
    /// signed by enough trusted operators.
    ///
    /// # Errors
    /// If the signatures, the digest or the document are invalid. The active bundle stays active.
    pub fn adopt(
        &mut self,
        record: &RollRecord,
        signed: &SignedBundle,
    ) -> Result<AdoptOutcome, Error> {
        let accepts_any_roll = is_on(Mutation::AdoptAnyRoll);
        if record.number < self.number() && !accepts_any_roll {
            return Ok(AdoptOutcome::AlreadyNewer);
        }
        if let Some(active) = self.current.as_ref()
            && active.record.number == record.number
        {
            return Ok(match active.record.digest == record.digest {
                true => AdoptOutcome::AlreadyNewer,
                false => AdoptOutcome::Conflict,
            });
        }
        if signed.digest() != record.digest {
            return Err(Error::DigestMismatch);
        }
        let document = signed.open(&self.ring, &self.revoked)?;
        let mut revoked = self.revoked.clone();
        revoked.extend(revoked_by(&document));
        self.ring
            .verify(&record.signed_bytes(), &record.signatures, &revoked)?;
        Invariant::BundleNeverReverts.check(record.number > self.number(), || {
            format!(
                "adopted roll {} after roll {}",
                record.number,
                self.number()
            )
        });
        self.revoked = revoked;
        self.current = Some(Arc::new(ActiveBundle {
            record: record.clone(),
            signed: signed.clone(),
            document,
        }));
        Ok(AdoptOutcome::Adopted)
    }
}
