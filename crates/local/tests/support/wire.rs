//! Callers' connections over each protocol of the interface.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use bergamot_entry::EntrySettings;
use bergamot_entry::settings::TlsSettings;
use bergamot_local::sample::ACCOUNTS;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper::header::{AUTHORIZATION, CONNECTION, HOST};
use hyper::{Method, Request};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, ServerName};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

const CERTIFICATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tls/certificate.pem");
const KEY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tls/key.pem");

/// Lets an entry VM speak TLS, with a certificate that is good for `localhost`.
pub fn speak_tls(settings: &mut EntrySettings) {
    settings.tls = Some(TlsSettings {
        certificate_file: CERTIFICATE.into(),
        key_file: KEY.into(),
    });
}

/// What a caller speaks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WireKind {
    Http1,
    Http2,
    TlsHttp1,
    TlsHttp2,
}

impl WireKind {
    pub fn is_http2(self) -> bool {
        matches!(self, Self::Http2 | Self::TlsHttp2)
    }

    pub fn is_tls(self) -> bool {
        matches!(self, Self::TlsHttp1 | Self::TlsHttp2)
    }
}

/// A whole answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct WireAnswer {
    pub status: u16,
    pub ran: String,
    pub is_closing: bool,
    pub body: Bytes,
}

/// How a request ended for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WireEnd {
    Answered(WireAnswer),
    /// It was sent, or may have been, and no whole answer came.
    Unanswered(String),
    /// Its connection was known to be closed before it was sent, or HTTP/2 says that it was not taken.
    NotSent,
}

/// Why there is no connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WireFailure {
    /// Nothing listens.
    Refused,
    /// It was taken, and closed before a request could be sent.
    Dropped(String),
}

enum WireSender {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

/// An open connection.
pub struct WireConnection {
    sender: WireSender,
}

pub fn connector(kind: WireKind) -> TlsConnector {
    let certificate = CertificateDer::from_pem_file(CERTIFICATE).expect("a certificate");
    let mut roots = RootCertStore::empty();
    roots.add(certificate).expect("it can be trusted");
    let mut config = ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let protocol: &[u8] = if kind.is_http2() { b"h2" } else { b"http/1.1" };
    config.alpn_protocols = vec![protocol.to_vec()];
    TlsConnector::from(Arc::new(config))
}

pub fn server_name() -> ServerName<'static> {
    ServerName::try_from("localhost").expect("a name")
}

impl WireConnection {
    pub async fn open(addr: SocketAddr, kind: WireKind) -> Result<Self, WireFailure> {
        let stream = TcpStream::connect(addr).await;
        let stream = stream.map_err(|_| WireFailure::Refused)?;
        Self::over(stream, kind).await
    }

    /// Goes on with a connection on which nothing was sent yet.
    pub async fn over(stream: TcpStream, kind: WireKind) -> Result<Self, WireFailure> {
        let dropped = |error: &dyn std::fmt::Display| WireFailure::Dropped(error.to_string());
        if !kind.is_tls() {
            return Self::shake(stream, kind).await.map_err(|it| dropped(&it));
        }
        let stream = connector(kind).connect(server_name(), stream).await;
        let stream = stream.map_err(|it| dropped(&it))?;
        Self::shake(stream, kind).await.map_err(|it| dropped(&it))
    }

    async fn shake<Stream>(stream: Stream, kind: WireKind) -> hyper::Result<Self>
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let io = TokioIo::new(stream);
        let sender = if kind.is_http2() {
            let (sender, connection) = http2::handshake(TokioExecutor::new(), io).await?;
            tokio::spawn(connection);
            WireSender::Http2(sender)
        } else {
            let (sender, connection) = http1::handshake(io).await?;
            tokio::spawn(connection);
            WireSender::Http1(sender)
        };
        Ok(Self { sender })
    }

    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> WireEnd {
        let sent = match &mut self.sender {
            WireSender::Http1(sender) => {
                if sender.ready().await.is_err() {
                    return WireEnd::NotSent;
                }
                sender.send_request(request).await
            }
            WireSender::Http2(sender) => {
                if sender.ready().await.is_err() {
                    return WireEnd::NotSent;
                }
                sender.send_request(request).await
            }
        };
        let reply = match sent {
            Ok(reply) => reply,
            // The connection ended before anything of the request was written.
            Err(error) if error.is_canceled() => return WireEnd::NotSent,
            Err(error) => {
                let reason = format!("{error:?}");
                // A stream over the last one that the server names: it was not taken, and may be sent elsewhere.
                let is_told = reason.contains("GoAway") && reason.contains("NO_ERROR, Remote");
                return match is_told {
                    true => WireEnd::NotSent,
                    false => WireEnd::Unanswered(reason),
                };
            }
        };
        let text = |name: &str| {
            let value = reply.headers().get(name);
            let value = value.and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (status, ran) = (reply.status().as_u16(), text("bergamot-ran"));
        let is_closing = text(CONNECTION.as_str()) == "close";
        match reply.into_body().collect().await {
            Ok(body) => WireEnd::Answered(WireAnswer {
                status,
                ran,
                is_closing,
                body: body.to_bytes(),
            }),
            Err(error) => WireEnd::Unanswered(format!("{error:?}")),
        }
    }
}

/// A call of the sample service that must run at most once.
pub fn confirmation(id: &str, key: Option<&str>) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri("http://localhost/services/ring/confirm")
        .header(HOST, "localhost")
        .header(AUTHORIZATION, format!("Bearer {}", ACCOUNTS[0].1))
        .header("x-request-id", id);
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    let body = Full::new(Bytes::from_static(b"lot"));
    builder.body(body).expect("a request")
}
