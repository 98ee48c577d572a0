//! Which requests are the same one.

use bergamot_quarantine::RequestPrint;
use bergamot_types::prelude::*;

struct PrintCase {
    name: &'static str,
    account: Option<&'static str>,
    path: &'static str,
    body: &'static [u8],
}

const SAME: PrintCase = PrintCase {
    name: "the request itself",
    account: Some("east-hall"),
    path: "/history/9?lang=hu",
    body: b"summarise",
};

fn print(case: &PrintCase) -> RequestPrint {
    let account = case.account.map(ClientAccount::new);
    RequestPrint::of(account.as_ref(), case.path, case.body)
}

#[test]
fn a_print_is_the_same_for_the_same_request_only() {
    let others = [
        PrintCase {
            name: "another account",
            account: Some("west-hall"),
            ..SAME
        },
        PrintCase {
            name: "no account",
            account: None,
            ..SAME
        },
        PrintCase {
            name: "another path",
            path: "/history/8?lang=hu",
            ..SAME
        },
        PrintCase {
            name: "another query",
            path: "/history/9",
            ..SAME
        },
        PrintCase {
            name: "another body",
            body: b"summarise.",
            ..SAME
        },
        PrintCase {
            name: "the same bytes with another border between path and body",
            path: "/history/9?lang=husumm",
            body: b"arise",
            ..SAME
        },
        PrintCase {
            name: "the same bytes with another border between account and path",
            account: Some("east-hall/history"),
            path: "/9?lang=hu",
            ..SAME
        },
    ];
    assert_eq!(print(&SAME), print(&SAME));
    for case in &others {
        assert_ne!(print(&SAME), print(case), "{}", case.name);
    }
}

/// VMs of two versions compare prints: what one is made of may not change. The text was worked out by another
/// program's SHA-256.
#[test]
fn a_print_is_the_same_in_every_version() {
    let text = "7a095636dd33a1c965e9933f9f7f48c8";
    assert_eq!(print(&SAME).to_string(), text);
    assert_eq!(text.parse(), Ok(print(&SAME)));
    for wrong in ["", "f8", "zz", "7a095636dd33a1c965e9933f9f7f48c800"] {
        assert!(wrong.parse::<RequestPrint>().is_err(), "{wrong}");
    }
}
