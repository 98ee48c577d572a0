//! Guards against a call that takes an answer for the final one although its status ends no exchange.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_engine::{EngineClient, UpstreamRequest};
use bergamot_platform::http::{HttpClient, build};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(2);

struct StatusCase {
    line: &'static str,
    is_final: bool,
}

/// Starts a server that answers every call with this first line.
async fn start_server(line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let addr = listener.local_addr().expect("the socket is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let answer = format!("{line}\r\nContent-Length: 2\r\n\r\n{{}}");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    addr
}

#[tokio::test]
async fn a_call_fails_if_the_status_of_its_answer_ends_no_exchange() {
    let case = |line, is_final| StatusCase { line, is_final };
    let cases = [
        case("HTTP/1.1 000 Odd", false),
        case("HTTP/1.1 099 Odd", false),
        case("HTTP/1.1 101 Switching Protocols", false),
        case("HTTP/1.1 600 Odd", false),
        case("HTTP/1.1 999 Odd", false),
        case("HTTP/1.1 200 OK", true),
        case("HTTP/1.1 599 Odd", true),
    ];
    for case in cases {
        let addr = start_server(case.line).await;
        let url = format!("http://{addr}/");
        let request = build(Method::GET, &url, Bytes::new()).expect("the request is valid");
        let reply = HttpClient::new(TIMEOUT).call(request, TIMEOUT).await;
        assert_eq!(reply.is_ok(), case.is_final, "{}: {reply:?}", case.line);
        let request = UpstreamRequest {
            method: Method::GET,
            path: "/".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let reply = EngineClient::new(TIMEOUT).send(addr, request).await;
        let status = reply.map(|reply| reply.status());
        assert_eq!(status.is_ok(), case.is_final, "{}: {status:?}", case.line);
    }
}
