//! A caller's requests, for the first look and for tests.

use std::time::Duration;

use bergamot_platform::HttpClient;
use bergamot_platform::http::{Error, HttpReply, build};
use bytes::Bytes;
use hyper::Method;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};

use crate::sample::{ACCOUNTS, MODEL};

/// Time for one request.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A caller of one entry VM.
pub struct LocalCaller {
    caller: HttpClient,
    base: String,
}

impl LocalCaller {
    /// A caller of the entry VM at `addr`.
    pub fn new(addr: &str) -> Self {
        Self {
            caller: HttpClient::new(TIMEOUT),
            base: format!("http://{addr}"),
        }
    }

    /// Sends a request with the first sample account's token and further headers.
    ///
    /// # Errors
    /// When there is no whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: String,
    ) -> Result<HttpReply, Error> {
        let url = format!("{}{path}", self.base);
        let mut request = build(method, &url, Bytes::from(body))?;
        let token = format!("Bearer {}", ACCOUNTS[0].1);
        let all = request.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&token) {
            all.insert(AUTHORIZATION, value);
        }
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::from_str(value) {
                all.insert(HeaderName::from_static(name), value);
            }
        }
        self.caller.call(request, TIMEOUT).await
    }

    /// Asks the sample model something.
    ///
    /// # Errors
    /// When there is no whole answer.
    pub async fn chat(&self, content: &str, max_tokens: u64) -> Result<HttpReply, Error> {
        let body = chat_body(content, max_tokens, false);
        self.send(Method::POST, "/v1/chat/completions", &[], body)
            .await
    }
}

/// The body of a chat request.
pub fn chat_body(content: &str, max_tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}
