//! Which bundle is in force, and how an entry VM adopts a newer one.

use std::collections::BTreeSet;
use std::sync::Arc;

use bergamot_types::Invariant;
use bergamot_types::mutate::{Mutation, is_on};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::check::check;
use crate::document::BundleDocument;
use crate::keys::{BundleDigest, Error, KeyRing, Signature, SignerKey, SignerPublic};

/// A bundle's bytes with the signatures over them.
#[serde_as]
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SignedBundle {
    /// The document, exactly as it was signed.
    #[serde_as(as = "Base64")]
    pub bytes: Vec<u8>,
    /// Signatures over `bytes`.
    pub signatures: Vec<Signature>,
}

impl SignedBundle {
    /// Signs a document's bytes with each of `keys`.
    pub fn sign(bytes: Vec<u8>, keys: &[SignerKey]) -> Self {
        let signatures = keys.iter().map(|key| key.sign(&bytes)).collect();
        Self { bytes, signatures }
    }

    /// The digest the document is known by.
    pub fn digest(&self) -> BundleDigest {
        BundleDigest::of(&self.bytes)
    }

    /// Checks signatures and content, and reads the document.
    ///
    /// # Errors
    /// When too few trusted operators signed, or the document has problems.
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

/// The one record that says what is in force. Changed only by compare-and-swap.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RollRecord {
    /// Grows by one with each roll.
    pub number: u64,
    /// The bundle in force.
    pub digest: BundleDigest,
    /// The bundle before it, for operators.
    pub previous: Option<BundleDigest>,
    /// Names the writer's attempt, so that a lost answer can be settled by reading back.
    pub nonce: u64,
    /// Signatures over the fields above.
    pub signatures: Vec<Signature>,
}

impl RollRecord {
    /// The record that follows `current`, signed with each of `keys`.
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

    /// The bytes the signatures cover.
    pub fn signed_bytes(&self) -> Vec<u8> {
        let previous = self.previous.map_or_else(String::new, |d| d.to_string());
        format!(
            "bergamot-roll-v1\n{}\n{}\n{}\n{}\n",
            self.number, self.digest, previous, self.nonce
        )
        .into_bytes()
    }
}

/// What became of an offered roll.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdoptOutcome {
    /// It is in force here now.
    Adopted,
    /// One at least as new is in force here.
    AlreadyNewer,
    /// Another record with the same number is in force: only one can have won the swap.
    Conflict,
}

/// Holds the bundle in force on one entry VM. Numbers only grow.
#[derive(Clone, Debug)]
pub struct RollAdopter {
    ring: KeyRing,
    revoked: BTreeSet<SignerPublic>,
    current: Option<Arc<ActiveBundle>>,
}

/// A bundle in force with the record that put it there.
#[derive(Clone, PartialEq, Debug)]
pub struct ActiveBundle {
    /// The record.
    pub record: RollRecord,
    /// The bundle as signed, for passing on to peers.
    pub signed: SignedBundle,
    /// The bundle as read.
    pub document: BundleDocument,
}

impl RollAdopter {
    /// A keeper that trusts `ring` and has adopted nothing yet.
    pub fn new(ring: KeyRing) -> Self {
        Self {
            ring,
            revoked: BTreeSet::new(),
            current: None,
        }
    }

    /// What is in force here.
    pub fn current(&self) -> Option<&Arc<ActiveBundle>> {
        self.current.as_ref()
    }

    /// The number in force here, zero before the first.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |force| force.record.number)
    }

    /// Takes an offered roll, from the key-value service or a peer, if it is newer and signed.
    ///
    /// # Errors
    /// When signatures, digest or document do not hold; nothing changes then.
    pub fn adopt(
        &mut self,
        record: &RollRecord,
        signed: &SignedBundle,
    ) -> Result<AdoptOutcome, Error> {
        let is_any_taken = is_on(Mutation::AdoptAnyRoll);
        if record.number < self.number() && !is_any_taken {
            return Ok(AdoptOutcome::AlreadyNewer);
        }
        if let Some(force) = self.current.as_ref()
            && force.record.number == record.number
        {
            return Ok(match force.record.digest == record.digest {
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
            format!("{} after {}", record.number, self.number())
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
