//! One request, timed and read to its end.

use std::time::{Duration, Instant};

use bergamot_engine::SseParser;
use bergamot_engine::headers::{IDEMPOTENCY_KEY, RAN, REQUEST_ID};
use bergamot_standin::generate::whole_text;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// What is asked for.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// A chat, streamed or not.
    Chat {
        /// The prompt.
        prompt: String,
        /// Tokens wanted.
        tokens: u64,
        /// Whether to stream.
        stream: bool,
    },
    /// A confirmation that must run at most once.
    Confirm {
        /// The idempotency key.
        key: String,
    },
}

/// One call.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// The entry VM.
    pub entry: String,
    /// The account's token.
    pub token: String,
    /// The model to ask for.
    pub model: String,
    /// The service to confirm at.
    pub service: String,
    /// The request's name.
    pub id: String,
    /// What is asked for.
    pub kind: CallKind,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct CallOutcome {
    /// The request's name.
    pub id: String,
    /// The idempotency key, if there was one.
    pub key: Option<String>,
    /// The status; zero when there was no answer.
    pub status: u16,
    /// The error code of a refusal.
    pub code: String,
    /// What the answer says of whether it ran.
    pub ran: String,
    /// Time to the first token or answer.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub between: Vec<Duration>,
    /// Tokens received.
    pub tokens: u64,
    /// What is wrong with a successful answer.
    pub defect: Option<String>,
}

/// A pooled client of entry VMs.
pub type CallClient = Client<HttpConnector, Full<Bytes>>;

/// A client.
pub fn client() -> CallClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(1_024)
        .build(connector)
}

/// Makes one call.
pub async fn call(client: &CallClient, plan: &CallPlan, timeout: Duration) -> CallOutcome {
    let mut outcome = CallOutcome {
        id: plan.id.clone(),
        ..CallOutcome::default()
    };
    if let CallKind::Confirm { key } = &plan.kind {
        outcome.key = Some(key.clone());
    }
    let exchange = exchange(client, plan, &mut outcome);
    let failed = match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(())) => return outcome,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no whole answer in time".to_owned(),
    };
    if outcome.status == 200 {
        outcome.defect = Some(failed);
    }
    outcome
}

fn request(plan: &CallPlan) -> anyhow::Result<Request<Full<Bytes>>> {
    let (path, body, key) = match &plan.kind {
        CallKind::Chat {
            prompt,
            tokens,
            stream,
        } => {
            let body = serde_json::json!({
                "model": plan.model,
                "messages": [{ "role": "user", "content": prompt }],
                "max_tokens": tokens,
                "stream": stream,
            });
            ("/v1/chat/completions".to_owned(), body.to_string(), None)
        }
        CallKind::Confirm { key } => (
            format!("/services/{}/confirm", plan.service),
            format!("confirm {key}"),
            Some(key),
        ),
    };
    let mut request = Request::post(format!("http://{}{path}", plan.entry))
        .header("authorization", format!("Bearer {}", plan.token))
        .header(REQUEST_ID, &plan.id);
    if let Some(key) = key {
        request = request.header(IDEMPOTENCY_KEY, key);
    }
    Ok(request.body(Full::new(Bytes::from(body)))?)
}

async fn exchange(
    client: &CallClient,
    plan: &CallPlan,
    outcome: &mut CallOutcome,
) -> anyhow::Result<()> {
    let started = Instant::now();
    let response = client.request(request(plan)?).await?;
    outcome.status = response.status().as_u16();
    let ran = response.headers().get(RAN);
    outcome.ran = ran
        .and_then(|ran| ran.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let is_stream = matches!(&plan.kind, CallKind::Chat { stream: true, .. });
    if outcome.status == 200 && is_stream {
        return read_stream(plan, response, started, outcome).await;
    }
    let body = response.into_body().collect().await?.to_bytes();
    let answer: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    if outcome.status != 200 {
        outcome.code = answer["error"]["code"].as_str().unwrap_or("").to_owned();
        return Ok(());
    }
    outcome.first = Some(started.elapsed());
    outcome.defect = match &plan.kind {
        CallKind::Chat { prompt, tokens, .. } => {
            outcome.tokens = *tokens;
            let text = answer["choices"][0]["message"]["content"].as_str();
            defect(text.unwrap_or(""), prompt, *tokens)
        }
        CallKind::Confirm { key } => {
            let echo = answer["echo"].as_str().unwrap_or("");
            (echo != format!("confirm {key}")).then(|| format!("echoed {echo:?}"))
        }
    };
    Ok(())
}

fn defect(text: &str, prompt: &str, tokens: u64) -> Option<String> {
    let is_whole_and_own = text == whole_text(prompt, tokens);
    (!is_whole_and_own).then(|| format!("{} bytes of another text", text.len()))
}

async fn read_stream(
    plan: &CallPlan,
    response: Response<Incoming>,
    started: Instant,
    outcome: &mut CallOutcome,
) -> anyhow::Result<()> {
    let CallKind::Chat { prompt, tokens, .. } = &plan.kind else {
        return Ok(());
    };
    let mut body = response.into_body();
    let mut parser = SseParser::default();
    let mut text = String::new();
    let mut last: Option<Instant> = None;
    let mut is_done = false;
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame?.data_ref() {
            parser.push(data);
        }
        while let Some(event) = parser.next_event() {
            if event.data == "[DONE]" {
                is_done = true;
                continue;
            }
            let chunk: serde_json::Value = serde_json::from_str(&event.data)?;
            if let Some(code) = chunk["error"]["code"].as_str() {
                // A truthful end of a broken stream: the answer is not whole and says so.
                outcome.code = code.to_owned();
                outcome.ran = chunk["error"]["ran"].as_str().unwrap_or("").to_owned();
                outcome.status = 502;
                return Ok(());
            }
            let piece = chunk["choices"][0]["delta"]["content"].as_str();
            let Some(piece) = piece.filter(|piece| !piece.is_empty()) else {
                continue;
            };
            text.push_str(piece);
            outcome.tokens += 1;
            let now = Instant::now();
            match last {
                Some(last) => outcome.between.push(now - last),
                None => outcome.first = Some(now - started),
            }
            last = Some(now);
        }
    }
    outcome.defect = match is_done {
        true => defect(&text, prompt, *tokens),
        false => Some("the stream has no end".to_owned()),
    };
    Ok(())
}
