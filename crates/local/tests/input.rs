//! Bad input over real sockets, and callers that leave.

mod support;

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;

use bergamot_entry::StopOutcome;
use bergamot_local::ask::chat_body;
use bergamot_local::{LocalFleet, LocalOptions};
use hyper::Method;
use support::{caller, code, fleet, streamed, text, whole};

struct InputCase {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    code: &'static str,
}

#[test]
fn unfit_requests_get_a_clear_error() {
    let fleet = fleet(&LocalOptions::smallest());
    let asked = caller(&fleet, 0);
    let case = |name, method, path, headers, body: String, code| InputCase {
        name,
        method,
        path,
        headers,
        body,
        code,
    };
    const CHAT: &str = "/v1/chat/completions";
    let cases = [
        case(
            "no JSON",
            Method::POST,
            CHAT,
            &[],
            "{".to_owned(),
            "bad_request",
        ),
        case(
            "no model",
            Method::POST,
            CHAT,
            &[],
            "{}".to_owned(),
            "bad_request",
        ),
        case(
            "a negative number of tokens",
            Method::POST,
            CHAT,
            &[],
            r#"{"model":"lot-writer","max_tokens":-1,"messages":[{"role":"user","content":"y"}]}"#
                .to_owned(),
            "bad_request",
        ),
        case(
            "an unknown model",
            Method::POST,
            CHAT,
            &[],
            r#"{"model":"x","messages":[{"role":"user","content":"y"}]}"#.to_owned(),
            "not_found",
        ),
        case(
            "too large",
            Method::POST,
            CHAT,
            &[],
            "x".repeat(2 << 20),
            "request_too_large",
        ),
        case(
            "another method",
            Method::DELETE,
            CHAT,
            &[],
            String::new(),
            "method_not_allowed",
        ),
        case(
            "another path",
            Method::GET,
            "/nowhere",
            &[],
            String::new(),
            "not_found",
        ),
        case(
            "an unfit deadline",
            Method::POST,
            CHAT,
            &[("bergamot-deadline-ms", "soon")],
            chat_body("x", 1, false),
            "bad_request",
        ),
        case(
            "a deadline in the past",
            Method::POST,
            CHAT,
            &[("bergamot-deadline-ms", "0")],
            chat_body("x", 1, false),
            "deadline_exceeded",
        ),
        case(
            "an unfit key",
            Method::POST,
            "/services/ring/confirm",
            &[("idempotency-key", "")],
            String::new(),
            "bad_request",
        ),
        case(
            "an unknown service",
            Method::POST,
            "/services/none/x",
            &[],
            String::new(),
            "not_found",
        ),
    ];
    for case in cases {
        let sent = asked.send(case.method, case.path, case.headers, case.body);
        let reply = fleet.runtime().block_on(sent).expect(case.name);
        assert_eq!(code(&reply), case.code, "{}", case.name);
    }
    broken_bytes(&fleet);
    let reply = fleet.runtime().block_on(asked.chat("after all", 3));
    assert_eq!(text(&reply.expect("answered")), whole("after all", 3));
    assert_eq!(fleet.stop(), StopOutcome::Graceful);
}

/// Bytes that are no protocol at all, to every port.
fn broken_bytes(fleet: &LocalFleet) {
    let daemon = fleet.entries[0].as_ref().expect("it runs");
    for addr in [
        daemon.caller_addr(),
        daemon.peer_addr(),
        daemon.admin_addr(),
    ] {
        let mut stream = TcpStream::connect(addr).expect("it listens");
        stream
            .set_read_timeout(Some(Duration::from_millis(300)))
            .expect("a timeout");
        let _ = stream.write_all(&[0xff; 600]);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let mut cut = TcpStream::connect(addr).expect("it listens");
        let head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{";
        let _ = cut.write_all(head);
        // Dropped with most of the body missing.
    }
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for size in [0_usize, 1, 3, 50, 1_500] {
        let bytes = vec![0x42; size];
        let _ = socket.send_to(&bytes, daemon.peer_addr());
    }
}

/// A caller leaves in the middle of a stream: the engine stops generating.
#[test]
fn a_caller_that_leaves_frees_the_engine() {
    let fleet = fleet(&LocalOptions::smallest());
    let asked = caller(&fleet, 0);
    let path = "/v1/chat/completions";
    let body = streamed("nobody reads this to its end", 100_000);
    fleet.runtime().block_on(async {
        let sent = asked.send(Method::POST, path, &[], body);
        let left = tokio::time::timeout(Duration::from_millis(400), sent).await;
        assert!(left.is_err(), "the stream was still going on");
    });
    fleet
        .wait_for("the engine to be free", |fleet| {
            let engines = fleet.engines.iter();
            engines.map(|engine| engine.engine.running()).sum::<u32>() == 0
        })
        .expect("the engine stops");
    let runs = fleet.engines.iter().flat_map(|e| e.engine.runs.list());
    let unfinished = runs.filter(|run| run.finished.is_none()).count();
    assert_eq!(unfinished, 1, "it began once and was cancelled");
    assert_eq!(fleet.stop(), StopOutcome::Graceful);
}
