//! Which rolls are adopted: newer ones that enough trusted operators signed, and no others.

use std::collections::BTreeSet;

use bergamot_bundle::document::ModelSpec;
use bergamot_bundle::{
    AccountSpec, AdoptOutcome, BundleDigest, BundleDocument, KeyRing, RollAdopter, RollRecord,
    SignedBundle, SignerKey, check,
};
use bergamot_types::{ClientAccount, ModelName};

fn key(number: u8) -> SignerKey {
    SignerKey::from_seed(&[number; 32])
}

fn document(version: &str) -> BundleDocument {
    BundleDocument {
        version: version.to_owned(),
        accounts: vec![AccountSpec {
            name: ClientAccount::new("a"),
            token_sha256: BundleDigest::of(b"token").to_string(),
            requests_per_second: 1.0,
            concurrency: 1,
            priority: 1,
        }],
        models: vec![ModelSpec {
            name: ModelName::new("m"),
            version: "1".to_owned(),
            adapter: None,
            vms_per_replica: 2,
            replicas: 1,
            priority: 1,
            accounts: Vec::new(),
        }],
        ..BundleDocument::default()
    }
}

fn signed(document: &BundleDocument, keys: &[SignerKey]) -> SignedBundle {
    SignedBundle::sign(serde_json::to_vec(document).expect("JSON"), keys)
}

fn ring(threshold: usize) -> KeyRing {
    KeyRing {
        signers: [key(1).public(), key(2).public(), key(3).public()].into(),
        threshold,
    }
}

struct AdoptCase {
    name: &'static str,
    threshold: usize,
    bundle_keys: Vec<SignerKey>,
    roll_keys: Vec<SignerKey>,
    is_adopted: bool,
}

#[test]
fn enough_trusted_signatures_are_needed() {
    let cases = [
        AdoptCase {
            name: "one of one",
            threshold: 1,
            bundle_keys: vec![key(1)],
            roll_keys: vec![key(2)],
            is_adopted: true,
        },
        AdoptCase {
            name: "the same signer twice is one",
            threshold: 2,
            bundle_keys: vec![key(1), key(1)],
            roll_keys: vec![key(1), key(2)],
            is_adopted: false,
        },
        AdoptCase {
            name: "a roll by a stranger",
            threshold: 1,
            bundle_keys: vec![key(1)],
            roll_keys: vec![key(9)],
            is_adopted: false,
        },
        AdoptCase {
            name: "no signature",
            threshold: 1,
            bundle_keys: vec![],
            roll_keys: vec![key(1)],
            is_adopted: false,
        },
        AdoptCase {
            name: "two of two",
            threshold: 2,
            bundle_keys: vec![key(1), key(3)],
            roll_keys: vec![key(2), key(3)],
            is_adopted: true,
        },
    ];
    for case in cases {
        let mut keeper = RollAdopter::new(ring(case.threshold));
        let bundle = signed(&document("1"), &case.bundle_keys);
        let record = RollRecord::next(None, bundle.digest(), 1, &case.roll_keys);
        let outcome = keeper.adopt(&record, &bundle);
        assert_eq!(outcome.is_ok(), case.is_adopted, "{}", case.name);
        assert_eq!(keeper.number(), u64::from(case.is_adopted), "{}", case.name);
    }
}

#[test]
fn numbers_only_grow() {
    let mut keeper = RollAdopter::new(ring(1));
    let keys = [key(1)];
    let first = signed(&document("1"), &keys);
    let second = signed(&document("2"), &keys);
    let one = RollRecord::next(None, first.digest(), 1, &keys);
    let two = RollRecord::next(Some(&one), second.digest(), 2, &keys);
    let rival = RollRecord::next(Some(&one), first.digest(), 3, &keys);
    assert_eq!(keeper.adopt(&two, &second), Ok(AdoptOutcome::Adopted));
    assert_eq!(keeper.adopt(&one, &first), Ok(AdoptOutcome::AlreadyNewer));
    assert_eq!(keeper.adopt(&rival, &first), Ok(AdoptOutcome::Conflict));
    assert_eq!(keeper.number(), 2);
    // The record of one bundle does not put another in force.
    let mut fresh = RollAdopter::new(ring(1));
    assert!(fresh.adopt(&two, &first).is_err());
}

#[test]
fn a_revoked_operator_signs_nothing_any_more() {
    let mut keeper = RollAdopter::new(ring(1));
    let mut revoking = document("1");
    revoking.revoked_signers = vec![key(1).public().to_hex()];
    let bundle = signed(&revoking, &[key(2)]);
    let one = RollRecord::next(None, bundle.digest(), 1, &[key(2)]);
    assert_eq!(keeper.adopt(&one, &bundle), Ok(AdoptOutcome::Adopted));
    let next = signed(&document("2"), &[key(1)]);
    let two = RollRecord::next(Some(&one), next.digest(), 2, &[key(1)]);
    assert!(keeper.adopt(&two, &next).is_err());
    let next = signed(&document("2"), &[key(3)]);
    let two = RollRecord::next(Some(&one), next.digest(), 2, &[key(3)]);
    assert_eq!(keeper.adopt(&two, &next), Ok(AdoptOutcome::Adopted));
}

#[test]
fn any_bytes_are_no_bundle() {
    bolero::check!()
        .with_iterations(10_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let bundle = SignedBundle::sign(bytes.clone(), &[key(1)]);
            let _ = bundle.open(&ring(1), &BTreeSet::new());
        });
}

struct CheckCase {
    name: &'static str,
    change: fn(&mut BundleDocument),
    field: &'static str,
}

#[test]
fn unfit_bundles_are_named_by_field() {
    let cases = [
        CheckCase {
            name: "no version",
            change: |document| document.version.clear(),
            field: "version",
        },
        CheckCase {
            name: "an account twice",
            change: |document| document.accounts.push(document.accounts[0].clone()),
            field: "accounts[1].name",
        },
        CheckCase {
            name: "no rate",
            change: |document| document.accounts[0].requests_per_second = f64::NAN,
            field: "accounts[0].requests_per_second",
        },
        CheckCase {
            name: "no VMs",
            change: |document| document.models[0].vms_per_replica = 0,
            field: "models[0].vms_per_replica",
        },
        CheckCase {
            name: "an unknown account",
            change: |document| document.models[0].accounts = vec![ClientAccount::new("b")],
            field: "models[0].accounts",
        },
        CheckCase {
            name: "a revoked key that is none",
            change: |document| document.revoked_signers = vec!["x".to_owned()],
            field: "revoked_signers[0]",
        },
    ];
    for case in cases {
        let mut document = document("1");
        assert!(check(&document).is_empty());
        (case.change)(&mut document);
        let problems = check(&document);
        assert!(
            problems.iter().any(|problem| problem.field == case.field),
            "{}: {problems:?}",
            case.name
        );
    }
}
