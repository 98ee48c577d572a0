//! The key-value service, in the JSON form of etcd v3: range, put, deleterange, txn, lease, watch.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json as value};
use tokio::sync::broadcast;

use crate::fault::FaultSwitch;
use crate::kv_store::{KvStore, StoreChange, StoredValue, is_within};
use crate::serve::{Abort, Answer, Question, StandinServer, json, stream_body};

/// The rates the service grants.
#[derive(Clone, Copy, Debug)]
pub struct KvOptions {
    /// Writes per second.
    pub writes_per_second: f64,
    /// Reads per second.
    pub reads_per_second: f64,
}

impl Default for KvOptions {
    fn default() -> Self {
        Self {
            writes_per_second: 500.0,
            reads_per_second: 2_000.0,
        }
    }
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct CallCounts {
    /// Range reads.
    pub reads: u64,
    /// Writes and transactions.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Calls refused for the rate.
    pub throttled: u64,
}

struct Pace {
    tokens: f64,
    filled_at: Instant,
}

/// The stand-in.
pub struct KvStandin {
    options: KvOptions,
    /// The faults in force.
    pub faults: FaultSwitch,
    store: Mutex<KvStore>,
    reads: Mutex<Pace>,
    writes: Mutex<Pace>,
    counts: Mutex<CallCounts>,
}

impl KvStandin {
    /// An empty store.
    pub fn new(options: KvOptions) -> Arc<Self> {
        let pace = |tokens| {
            Mutex::new(Pace {
                tokens,
                filled_at: Instant::now(),
            })
        };
        Arc::new(Self {
            options,
            faults: FaultSwitch::default(),
            store: Mutex::new(KvStore::default()),
            reads: pace(options.reads_per_second),
            writes: pace(options.writes_per_second),
            counts: Mutex::new(CallCounts::default()),
        })
    }

    /// Calls counted since the start.
    pub fn counts(&self) -> CallCounts {
        *self.counts.lock()
    }

    fn admit(&self, pace: &Mutex<Pace>, rate: f64) -> bool {
        let mut pace = pace.lock();
        let earned = pace.filled_at.elapsed().as_secs_f64() * rate;
        pace.tokens = (pace.tokens + earned).min(rate);
        pace.filled_at = Instant::now();
        let is_admitted = pace.tokens >= 1.0;
        if is_admitted {
            pace.tokens -= 1.0;
        }
        is_admitted
    }

    fn admit_call(&self, path: &str) -> bool {
        let is_write = matches!(path, "/v3/kv/put" | "/v3/kv/txn" | "/v3/kv/deleterange")
            || path.starts_with("/v3/lease");
        let admitted = match is_write {
            true => self.admit(&self.writes, self.options.writes_per_second),
            false => self.admit(&self.reads, self.options.reads_per_second),
        };
        let mut counts = self.counts.lock();
        match (admitted, is_write, path) {
            (false, ..) => counts.throttled += 1,
            (_, true, _) => counts.writes += 1,
            (_, _, "/v3/watch") => counts.watches += 1,
            _ => counts.reads += 1,
        }
        admitted
    }

    fn call(&self, path: &str, body: &Value) -> Option<Value> {
        let mut store = self.store.lock();
        store.expire();
        match path {
            "/v3/kv/range" => Some(range(&store, body)),
            "/v3/kv/put" => {
                put(&mut store, body);
                Some(value!({ "header": header(&store) }))
            }
            "/v3/kv/deleterange" => {
                let deleted = store.delete(&bytes(body, "key"));
                let count = u64::from(deleted).to_string();
                Some(value!({ "header": header(&store), "deleted": count }))
            }
            "/v3/kv/txn" => Some(txn(&mut store, body)),
            "/v3/lease/grant" => {
                let ttl = number(body, "TTL").max(1);
                let id = store.grant(Duration::from_secs(ttl as u64));
                Some(value!({ "ID": id.to_string(), "TTL": ttl.to_string() }))
            }
            "/v3/lease/keepalive" => {
                let id = number(body, "ID");
                let ttl = store.keep_alive(id).map_or(0, |ttl| ttl.as_secs());
                Some(value!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }))
            }
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                store.revoke(number(body, "ID"));
                Some(value!({ "header": header(&store) }))
            }
            _ => None,
        }
    }

    fn watch(&self, body: &Value) -> Answer {
        let create = &body["create_request"];
        let key = bytes(create, "key");
        let end = bytes(create, "range_end");
        let store = self.store.lock();
        let (past, changes) = store.subscribe(number(create, "start_revision"));
        let created = value!({ "result": { "header": header(&store), "created": true } });
        drop(store);
        let stream = WatchState {
            key,
            end,
            queued: past.into(),
            changes,
            first: Some(created),
        };
        let lines = futures::stream::unfold(stream, |mut state| async move {
            let line = state.next().await?;
            Some((Ok::<_, Abort>(Frame::data(line)), state))
        });
        Ok(Response::new(stream_body(lines)))
    }
}

struct WatchState {
    key: Vec<u8>,
    end: Vec<u8>,
    queued: std::collections::VecDeque<StoreChange>,
    changes: broadcast::Receiver<StoreChange>,
    first: Option<Value>,
}

impl WatchState {
    async fn next(&mut self) -> Option<Bytes> {
        if let Some(first) = self.first.take() {
            return Some(line(&first));
        }
        loop {
            let change = match self.queued.pop_front() {
                Some(change) => change,
                None => self.changes.recv().await.ok()?,
            };
            if is_within(&change.key, &self.key, &self.end) {
                return Some(line(&event(&change)));
            }
        }
    }
}

fn line(message: &Value) -> Bytes {
    Bytes::from(format!("{message}\n"))
}

fn event(change: &StoreChange) -> Value {
    let event = match &change.value {
        Some(stored) => value!({ "kv": key_value(&change.key, stored) }),
        None => value!({
            "type": "DELETE",
            "kv": { "key": STANDARD.encode(&change.key), "mod_revision": change.revision.to_string() }
        }),
    };
    value!({ "result": {
        "header": { "revision": change.revision.to_string() },
        "events": [event],
    } })
}

fn header(store: &KvStore) -> Value {
    value!({ "revision": store.revision().to_string() })
}

fn key_value(key: &[u8], stored: &StoredValue) -> Value {
    value!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "create_revision": stored.created.to_string(),
        "mod_revision": stored.modified.to_string(),
        "version": stored.version.to_string(),
        "lease": stored.lease.to_string(),
    })
}

fn bytes(body: &Value, field: &str) -> Vec<u8> {
    let text = body[field].as_str().unwrap_or("");
    STANDARD.decode(text).unwrap_or_default()
}

fn number(body: &Value, field: &str) -> i64 {
    match &body[field] {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn range(store: &KvStore, body: &Value) -> Value {
    let found = store.range(&bytes(body, "key"), &bytes(body, "range_end"));
    let kvs: Vec<Value> = found.iter().map(|(key, v)| key_value(key, v)).collect();
    value!({ "header": header(store), "count": kvs.len().to_string(), "kvs": kvs })
}

fn put(store: &mut KvStore, body: &Value) {
    let lease = number(body, "lease");
    store.put(&bytes(body, "key"), bytes(body, "value"), lease);
}

fn compares(store: &KvStore, body: &Value) -> bool {
    let list = body["compare"].as_array();
    list.is_none_or(|list| {
        list.iter().all(|compare| {
            let key = bytes(compare, "key");
            match compare["target"].as_str() {
                Some("MOD") => store.modified(&key) == number(compare, "mod_revision"),
                Some("VERSION") => {
                    let version = store.range(&key, &[]).first().map_or(0, |(_, v)| v.version);
                    version == number(compare, "version")
                }
                _ => false,
            }
        })
    })
}

fn txn(store: &mut KvStore, body: &Value) -> Value {
    let succeeded = compares(store, body);
    let branch = if succeeded { "success" } else { "failure" };
    let mut responses = Vec::new();
    for op in body[branch].as_array().into_iter().flatten() {
        if op["request_put"].is_object() {
            put(store, &op["request_put"]);
            responses.push(value!({ "response_put": { "header": header(store) } }));
        } else if op["request_range"].is_object() {
            responses.push(value!({ "response_range": range(store, &op["request_range"]) }));
        }
    }
    value!({ "header": header(store), "succeeded": succeeded, "responses": responses })
}

impl StandinServer for KvStandin {
    async fn answer(&self, question: Question) -> Answer {
        if let Some(answer) = self.faults.answer(&question) {
            return answer;
        }
        if question.path == "/standin/counts" {
            return json(StatusCode::OK, &self.counts());
        }
        self.faults.before().await?;
        if self.faults.get().outage {
            return Err(Abort);
        }
        if !self.admit_call(&question.path) {
            let message = value!({ "code": 8, "message": "too many requests" });
            return json(StatusCode::TOO_MANY_REQUESTS, &message);
        }
        let Some(body) = question.json::<Value>() else {
            let message = value!({ "code": 3, "message": "malformed request" });
            return json(StatusCode::BAD_REQUEST, &message);
        };
        if question.path == "/v3/watch" {
            return self.watch(&body);
        }
        let Some(result) = self.call(&question.path, &body) else {
            return json(StatusCode::NOT_FOUND, &value!({ "code": 5 }));
        };
        match self.faults.take_lost_answer() {
            true => Err(Abort),
            false => json(StatusCode::OK, &result),
        }
    }
}
