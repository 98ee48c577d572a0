//! The end of a stand-in's process.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use bergamot_standin::serve::{Answer, Question, StandinServer, empty, serve_abortable};
use hyper::StatusCode;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

/// Ends that are looked at, as what goes wrong does so for moments.
const ROUNDS: usize = 200;
/// Connections that end with the process.
const CONNECTIONS: usize = 8;

/// Answers all questions at once.
struct PlainServer;

impl StandinServer for PlainServer {
    async fn answer(&self, _: Question) -> Answer {
        empty(StatusCode::OK)
    }
}

/// Opens a connection, and waits for an answer on it.
fn connect(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    let call = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.write_all(call).expect("it takes a question");
    let mut answer = [0; 4_096];
    let length = stream.read(&mut answer).expect("it answers");
    assert!(answer[..length].starts_with(b"HTTP/1.1 200"));
    stream
}

/// Waits for the end of a connection, and says whether something listens then.
fn listens_after(mut stream: TcpStream, addr: SocketAddr) -> bool {
    let mut rest = Vec::new();
    // Ended or reset, it is over.
    let _ = stream.read_to_end(&mut rest);
    let look = TcpStream::connect(addr);
    // A reset comes from a listener that was there.
    !look.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// The system closes what a process has open in the order in which it was opened, the listener before connections.
/// Whoever sees its connection end and looks whether something listens must not find that, as it is found nowhere else
/// for as long as the directory names the process.
#[test]
fn nothing_listens_once_a_connection_has_ended() {
    let runtime = Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let mut open = 0;
    for _ in 0..ROUNDS {
        let listener = runtime.block_on(TcpListener::bind(("127.0.0.1", 0)));
        let listener = listener.expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        let _entered = runtime.enter();
        let serving = serve_abortable(listener, Arc::new(PlainServer));
        let streams: Vec<_> = (0..CONNECTIONS).map(|_| connect(addr)).collect();
        let looks = streams
            .into_iter()
            .map(|stream| std::thread::spawn(move || listens_after(stream, addr)));
        let looks: Vec<_> = looks.collect();
        serving.abort();
        let found = looks.into_iter().map(|look| look.join().expect("it looks"));
        open += found.filter(|listens| *listens).count();
    }
    assert_eq!(
        open,
        0,
        "connections to what has ended, of {}",
        ROUNDS * CONNECTIONS
    );
}
