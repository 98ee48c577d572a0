//! Guards against servers of the platform that send bytes without end that are no answer: a call
//! must fail in time, and the other tasks of its thread must go on meanwhile.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bergamot_engine::EngineClient;
use bergamot_platform::http::{HttpClient, build};
use bytes::Bytes;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(400);
/// How much later a call may fail, on a busy machine.
const SLACK: Duration = Duration::from_millis(200);
/// Period of a task on the thread of the calls.
const TICK: Duration = Duration::from_millis(10);
/// Fewest turns of that task during a call that takes its whole timeout.
const MIN_TICKS: u32 = 10;
/// Bytes that are written at once.
const WRITE_BYTES: usize = 64 << 10;

/// Who sends the bytes.
#[derive(Clone, Copy, Debug)]
enum ServerKind {
    /// A server of the platform.
    Platform,
    /// An engine, on the product's own interface.
    Engine,
}

#[derive(Clone, Copy)]
struct EndlessCase {
    server: ServerKind,
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
}

async fn serve(listener: TcpListener, case: EndlessCase) {
    let repeated = case.repeated.repeat(WRITE_BYTES / case.repeated.len());
    loop {
        let (mut stream, _) = listener.accept().await.expect("the socket is open");
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(case.start.as_bytes()).await;
        while stream.write_all(repeated.as_bytes()).await.is_ok() {}
    }
}

#[tokio::test]
async fn a_call_to_a_server_that_sends_bytes_without_end_fails_in_time() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let case = |name, start, repeated| EndlessCase {
        server: ServerKind::Platform,
        name,
        start,
        repeated,
    };
    let cases = [
        case("header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
        case("no status line", "", "no answer "),
        case("1xx heads", "", "HTTP/1.1 102 Processing\r\n\r\n"),
        case("the size of a chunk", chunked, "0000"),
        case("a body", chunked, "2\r\n{}\r\n"),
        case(
            "trailers",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n",
        ),
    ];
    let engine_cases = cases.map(|case| EndlessCase {
        server: ServerKind::Engine,
        ..case
    });
    for case in cases.into_iter().chain(engine_cases) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the socket is bound");
        listener.set_nonblocking(true).expect("the socket is open");
        // The server has threads of its own, so that only the call can hold up this one.
        let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).expect("the runtime runs");
            serve(listener, case).await;
        });
        let ticks = Rc::new(Cell::new(0));
        let counted = Rc::clone(&ticks);
        let tasks = LocalSet::new();
        tasks.spawn_local(async move {
            loop {
                tokio::time::sleep(TICK).await;
                counted.set(counted.get() + 1);
            }
        });
        let called = tasks.run_until(async {
            let client = HttpClient::new(TIMEOUT);
            let request = build(Method::GET, &format!("http://{addr}/"), Bytes::new());
            let request = request.expect("the URL is valid");
            let started_at = Instant::now();
            let is_answered = match case.server {
                ServerKind::Platform => client.call(request, TIMEOUT).await.is_ok(),
                ServerKind::Engine => {
                    let client = EngineClient::new(TIMEOUT);
                    client.report(addr, TIMEOUT).await.is_ok()
                }
            };
            (is_answered, started_at.elapsed())
        });
        let (is_answered, took) = called.await;
        assert!(!is_answered, "{}: {:?}", case.name, case.server);
        assert!(
            took < TIMEOUT + SLACK,
            "{}: {:?}, {took:?}",
            case.name,
            case.server
        );
        let has_had_turns = took < TIMEOUT || ticks.get() >= MIN_TICKS;
        assert!(
            has_had_turns,
            "{}: {:?}, {} turns",
            case.name,
            case.server,
            ticks.get()
        );
        runtime.shutdown_background();
    }
}
