//! Fingerprints of requests.

use bergamot_quarantine::RequestPrint;
use bergamot_types::prelude::*;

struct FingerprintCase {
    name: &'static str,
    account: Option<&'static str>,
    path: &'static str,
    body: &'static [u8],
}

const SAME: FingerprintCase = FingerprintCase {
    name: "the same request",
    account: Some("east-hall"),
    path: "/history/9?lang=hu",
    body: b"summarise",
};

fn fingerprint(case: &FingerprintCase) -> RequestPrint {
    let account = case.account.map(ClientAccount::new);
    RequestPrint::of(account.as_ref(), case.path, case.body)
}

#[test]
fn only_the_same_request_has_the_same_fingerprint() {
    let others = [
        FingerprintCase {
            name: "another account",
            account: Some("west-hall"),
            ..SAME
        },
        FingerprintCase {
            name: "no account",
            account: None,
            ..SAME
        },
        FingerprintCase {
            name: "another path",
            path: "/history/8?lang=hu",
            ..SAME
        },
        FingerprintCase {
            name: "another query",
            path: "/history/9",
            ..SAME
        },
        FingerprintCase {
            name: "another body",
            body: b"summarise.",
            ..SAME
        },
        FingerprintCase {
            name: "the same bytes with another boundary between path and body",
            path: "/history/9?lang=husumm",
            body: b"arise",
            ..SAME
        },
        FingerprintCase {
            name: "the same bytes with another boundary between account and path",
            account: Some("east-hall/history"),
            path: "/9?lang=hu",
            ..SAME
        },
    ];
    assert_eq!(fingerprint(&SAME), fingerprint(&SAME));
    for case in &others {
        assert_ne!(fingerprint(&SAME), fingerprint(case), "{}", case.name);
    }
}

/// VMs of different versions compare fingerprints, so their computation may not change. The
/// expected value was computed with another implementation of SHA-256.
#[test]
fn a_fingerprint_does_not_change_between_versions() {
    let text = "7a095636dd33a1c965e9933f9f7f48c8";
    assert_eq!(fingerprint(&SAME).to_string(), text);
    assert_eq!(text.parse(), Ok(fingerprint(&SAME)));
    for malformed in ["", "f8", "zz", "7a095636dd33a1c965e9933f9f7f48c800"] {
        assert!(malformed.parse::<RequestPrint>().is_err(), "{malformed}");
    }
}
