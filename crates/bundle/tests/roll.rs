//! Only newer rolls that enough trusted operators signed are adopted.

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
fn rolls_without_enough_trusted_signatures_are_rejected() {
    let cases = [
        AdoptCase {
            name: "one signer, threshold 1",
            threshold: 1,
            bundle_keys: vec![key(1)],
            roll_keys: vec![key(2)],
            is_adopted: true,
        },
        AdoptCase {
            name: "same signer twice, threshold 2",
            threshold: 2,
            bundle_keys: vec![key(1), key(1)],
            roll_keys: vec![key(1), key(2)],
            is_adopted: false,
        },
        AdoptCase {
            name: "roll record signed by an untrusted key",
            threshold: 1,
            bundle_keys: vec![key(1)],
            roll_keys: vec![key(9)],
            is_adopted: false,
        },
        AdoptCase {
            name: "bundle without signatures",
            threshold: 1,
            bundle_keys: vec![],
            roll_keys: vec![key(1)],
            is_adopted: false,
        },
        AdoptCase {
            name: "two signers, threshold 2",
            threshold: 2,
            bundle_keys: vec![key(1), key(3)],
            roll_keys: vec![key(2), key(3)],
            is_adopted: true,
        },
    ];
    for case in cases {
        let mut adopter = RollAdopter::new(ring(case.threshold));
        let bundle = signed(&document("1"), &case.bundle_keys);
        let record = RollRecord::next(None, bundle.digest(), 1, &case.roll_keys);
        let outcome = adopter.adopt(&record, &bundle);
        assert_eq!(outcome.is_ok(), case.is_adopted, "{}", case.name);
        assert_eq!(
            adopter.number(),
            u64::from(case.is_adopted),
            "{}",
            case.name
        );
    }
}

#[test]
fn older_and_conflicting_rolls_are_not_adopted() {
    let mut adopter = RollAdopter::new(ring(1));
    let keys = [key(1)];
    let first_bundle = signed(&document("1"), &keys);
    let second_bundle = signed(&document("2"), &keys);
    let first_roll = RollRecord::next(None, first_bundle.digest(), 1, &keys);
    let second_roll = RollRecord::next(Some(&first_roll), second_bundle.digest(), 2, &keys);
    let conflicting_roll = RollRecord::next(Some(&first_roll), first_bundle.digest(), 3, &keys);
    assert_eq!(
        adopter.adopt(&second_roll, &second_bundle),
        Ok(AdoptOutcome::Adopted)
    );
    assert_eq!(
        adopter.adopt(&first_roll, &first_bundle),
        Ok(AdoptOutcome::AlreadyNewer)
    );
    assert_eq!(
        adopter.adopt(&conflicting_roll, &first_bundle),
        Ok(AdoptOutcome::Conflict)
    );
    assert_eq!(adopter.number(), 2);
    // A roll record must not activate a bundle with another digest.
    let mut fresh_adopter = RollAdopter::new(ring(1));
    assert!(fresh_adopter.adopt(&second_roll, &first_bundle).is_err());
}

#[test]
fn signatures_of_revoked_operators_do_not_count() {
    let mut adopter = RollAdopter::new(ring(1));
    let mut revoking = document("1");
    revoking.revoked_signers = vec![key(1).public().to_hex()];
    let bundle = signed(&revoking, &[key(2)]);
    let first_roll = RollRecord::next(None, bundle.digest(), 1, &[key(2)]);
    assert_eq!(
        adopter.adopt(&first_roll, &bundle),
        Ok(AdoptOutcome::Adopted)
    );
    let next_bundle = signed(&document("2"), &[key(1)]);
    let second_roll = RollRecord::next(Some(&first_roll), next_bundle.digest(), 2, &[key(1)]);
    assert!(adopter.adopt(&second_roll, &next_bundle).is_err());
    let next_bundle = signed(&document("2"), &[key(3)]);
    let second_roll = RollRecord::next(Some(&first_roll), next_bundle.digest(), 2, &[key(3)]);
    assert_eq!(
        adopter.adopt(&second_roll, &next_bundle),
        Ok(AdoptOutcome::Adopted)
    );
}

#[test]
fn opening_arbitrary_bytes_does_not_panic() {
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
    modify: fn(&mut BundleDocument),
    expected_field: &'static str,
}

#[test]
fn invalid_bundles_are_reported_by_field() {
    let cases = [
        CheckCase {
            name: "empty version",
            modify: |document| document.version.clear(),
            expected_field: "version",
        },
        CheckCase {
            name: "duplicate account",
            modify: |document| document.accounts.push(document.accounts[0].clone()),
            expected_field: "accounts[1].name",
        },
        CheckCase {
            name: "request rate is not a number",
            modify: |document| document.accounts[0].requests_per_second = f64::NAN,
            expected_field: "accounts[0].requests_per_second",
        },
        CheckCase {
            name: "replica without VMs",
            modify: |document| document.models[0].vms_per_replica = 0,
            expected_field: "models[0].vms_per_replica",
        },
        CheckCase {
            name: "unknown account",
            modify: |document| document.models[0].accounts = vec![ClientAccount::new("b")],
            expected_field: "models[0].accounts",
        },
        CheckCase {
            name: "malformed revoked key",
            modify: |document| document.revoked_signers = vec!["x".to_owned()],
            expected_field: "revoked_signers[0]",
        },
    ];
    for case in cases {
        let mut document = document("1");
        assert!(check(&document).is_empty());
        (case.modify)(&mut document);
        let problems = check(&document);
        assert!(
            problems
                .iter()
                .any(|problem| problem.field == case.expected_field),
            "{}: {problems:?}",
            case.name
        );
    }
}
