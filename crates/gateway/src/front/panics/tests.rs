//! Guards against panics that end more than their request, or look like a complete answer. Inside
//! the crate, as no request from outside is known to cause a panic.

use std::rc::Rc;

use bergamot_ports::{
    CallerCall, CallerDialect, OutgoingContext, RefusalContext, ReplyFacts, UpstreamEntry,
};
use bergamot_types::prelude::*;
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ReplyParts;
use hyper::{HeaderMap, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::front::FrontContext;
use crate::front::accept::{accept_callers, accept_peers};
use crate::panics::catch_panic;
use crate::shared::SharedState;
use crate::test_support as support;

struct PanicCase {
    run: fn() -> u32,
    reason: Option<&'static str>,
}

#[tokio::test]
async fn a_panic_becomes_an_error() {
    let cases = [
        PanicCase {
            run: || 1,
            reason: None,
        },
        PanicCase {
            run: || panic!("literal"),
            reason: Some("literal"),
        },
        PanicCase {
            run: || panic!("formatted {}", 1),
            reason: Some("formatted 1"),
        },
        PanicCase {
            run: || std::panic::panic_any(1),
            reason: Some("unknown"),
        },
    ];
    for case in cases {
        let caught = catch_panic(async { (case.run)() }).await;
        let reason = caught.err().map(|panic| panic.to_string());
        assert_eq!(reason.as_deref(), case.reason);
    }
}

/// Panics at the path `/panic`, and rejects all others.
struct PanickingDialect;

impl CallerDialect for PanickingDialect {
    fn read_call(&self, head: &RequestParts) -> Result<CallerCall, ErrorKind> {
        assert_ne!(head.uri.path(), "/panic");
        Err(ErrorKind::NotFound)
    }

    fn outgoing_headers(&self, _: &CallerCall, _: &OutgoingContext<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn reply_facts(&self, _: &RequestId, _: &ReplyParts) -> ReplyFacts {
        unreachable!("nothing is sent")
    }

    fn report_request(&self, _: &UpstreamEntry) -> Request<()> {
        Request::new(())
    }

    fn peer_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn answer_headers(&self, _: &ReplyParts) -> HeaderMap {
        HeaderMap::new()
    }

    fn refusal(&self, context: &RefusalContext<'_>) -> Response<String> {
        let response = Response::builder().status(context.kind.response().status);
        let body = context.kind.code().to_owned();
        response.body(body).expect("the status is valid")
    }
}

fn panicking_front() -> FrontContext<PanickingDialect> {
    let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
    let shared = SharedState::new(support::entry_site(), stalls, records);
    let (crashes, stalls, messages) = (mpsc::channel(1).0, mpsc::channel(1).0, mpsc::channel(1).0);
    FrontContext::new(shared, PanickingDialect, crashes, stalls, messages)
}

/// Returns the status and the body of the answer, or none if the connection closed.
async fn exchange(stream: &mut TcpStream, path: &str) -> Option<(u16, String)> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut buffer = [0; 1_024];
    let length = stream.read(&mut buffer).await.ok()?;
    let text = std::str::from_utf8(&buffer[..length]).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

#[tokio::test]
async fn a_panic_ends_one_request_with_an_error() {
    let tasks = LocalSet::new();
    let checked = tasks.run_until(async {
        let front = Rc::new(panicking_front());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("the listener is bound");
        tokio::task::spawn_local(accept_callers(Rc::clone(&front), listener));
        let mut stream = TcpStream::connect(addr).await.expect("it listens");
        for (path, status, code) in [
            ("/panic", 500, "internal"),
            ("/other", 404, "not_found"),
            ("/panic", 500, "internal"),
        ] {
            let answer = exchange(&mut stream, path).await;
            assert_eq!(answer, Some((status, code.to_owned())), "{path}");
        }
        let panics = &front.shared.metrics.request_panics;
        assert_eq!(panics.with_label_values(&["answer"]).get(), 2);
    });
    checked.await;
}

#[tokio::test]
async fn a_panic_ends_one_forwarded_request_with_an_error() {
    let tasks = LocalSet::new();
    let checked = tasks.run_until(async {
        let front = Rc::new(panicking_front());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("the listener is bound");
        tokio::task::spawn_local(accept_peers(front, listener));
        let mut stream = TcpStream::connect(addr).await.expect("it listens");
        let answer = exchange(&mut stream, "/panic").await;
        assert_eq!(answer, Some((500, "internal".to_owned())));
        let answer = exchange(&mut stream, "/other").await;
        assert!(answer.is_some(), "the connection goes on");
    });
    checked.await;
}
