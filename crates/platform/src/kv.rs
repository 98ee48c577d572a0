//! The key-value service: reads, compare-and-swap and watches.

use std::time::{Duration, Instant};

use bergamot_types::Millis;
use bytes::Bytes;
use hyper::Method;
use parking_lot::Mutex;
use std::sync::Arc;

use crate::budget::{CallBudget, CallKind};
use crate::http::{Error, HttpCaller, build};
use crate::watch::WatchStream;
use crate::wire::{
    Compare, KeyValue, PutRequest, RangeRequest, RangeResponse, TxnOp, TxnRequest, TxnResponse,
    WatchCreate, WatchRequest, prefix_end,
};

/// The largest value the service takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value and the revision that wrote it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The service's revision of the last write.
    pub revision: i64,
}

/// What became of a compare-and-swap that was answered.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CasOutcome {
    /// The value was written at this revision.
    Won(i64),
    /// Another write came first; this is the value now, if there is one.
    Lost(Option<KvEntry>),
}

/// A client of the service. Clones share pool and budget.
#[derive(Clone)]
pub struct KvClient {
    base: String,
    caller: HttpCaller,
    timeout: Duration,
    started: Instant,
    budget: Arc<Mutex<CallBudget>>,
}

impl KvClient {
    /// A client of the service at `base`, such as `http://127.0.0.1:2379`.
    pub fn new(base: &str, timeout: Duration, budget: CallBudget) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            caller: HttpCaller::new(timeout),
            timeout,
            started: Instant::now(),
            budget: Arc::new(Mutex::new(budget)),
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// See [`Error`]; one call.
    pub async fn get(&self, key: &str) -> Result<Option<KvEntry>, Error> {
        let request = RangeRequest {
            key: key.as_bytes().to_vec(),
            range_end: Vec::new(),
        };
        Ok(self.range(&request).await?.into_iter().next())
    }

    /// Reads every key with a prefix, in the order of the keys.
    ///
    /// # Errors
    /// See [`Error`]; one call.
    pub async fn get_prefix(&self, prefix: &str) -> Result<Vec<KvEntry>, Error> {
        let request = RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: prefix_end(prefix),
        };
        self.range(&request).await
    }

    async fn range(&self, request: &RangeRequest) -> Result<Vec<KvEntry>, Error> {
        self.spend(CallKind::Read)?;
        let url = format!("{}/v3/kv/range", self.base);
        let response: RangeResponse = self.caller.post_json(&url, request, self.timeout).await?;
        Ok(response.kvs.into_iter().map(entry).collect())
    }

    /// Writes `value` if the key was last written at `expected`, zero meaning that it is absent.
    ///
    /// # Errors
    /// When [`Error::is_ambiguous`], the write may have taken effect: read back before deciding.
    pub async fn cas(&self, key: &str, expected: i64, value: &[u8]) -> Result<CasOutcome, Error> {
        let url = format!("{}/v3/kv/txn", self.base);
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::Malformed {
                url,
                reason: format!("the value of {key} is over 1 MiB"),
            });
        }
        self.spend(CallKind::Write)?;
        let request = TxnRequest {
            compare: vec![Compare {
                key: key.as_bytes().to_vec(),
                target: "MOD",
                result: "EQUAL",
                mod_revision: expected,
            }],
            success: vec![TxnOp::RequestPut(PutRequest {
                key: key.as_bytes().to_vec(),
                value: value.to_vec(),
            })],
            failure: vec![TxnOp::RequestRange(RangeRequest {
                key: key.as_bytes().to_vec(),
                range_end: Vec::new(),
            })],
        };
        let response: TxnResponse = self.caller.post_json(&url, &request, self.timeout).await?;
        if response.succeeded {
            return Ok(CasOutcome::Won(response.header.revision));
        }
        let current = response
            .responses
            .into_iter()
            .find_map(|op| op.response_range)
            .and_then(|range| range.kvs.into_iter().next())
            .map(entry);
        Ok(CasOutcome::Lost(current))
    }

    /// Watches every key with a prefix, from a revision on.
    ///
    /// # Errors
    /// See [`Error`]; one call for as long as the watch waits.
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<WatchStream, Error> {
        self.spend(CallKind::Watch)?;
        let url = format!("{}/v3/watch", self.base);
        let question = WatchRequest {
            create_request: WatchCreate {
                key: prefix.as_bytes().to_vec(),
                range_end: prefix_end(prefix),
                start_revision: from,
            },
        };
        let body = serde_json::to_vec(&question).unwrap_or_default();
        let request = build(Method::POST, &url, Bytes::from(body))?;
        let response = self.caller.open(request, self.timeout).await?;
        Ok(WatchStream::new(url, response.into_body()))
    }

    /// The calls made so far, for the dump.
    pub fn budget(&self) -> CallBudget {
        self.budget.lock().clone()
    }

    fn spend(&self, kind: CallKind) -> Result<(), Error> {
        let now = Millis(self.started.elapsed().as_millis() as u64);
        match self.budget.lock().take(now, kind) {
            true => Ok(()),
            false => Err(Error::BudgetSpent),
        }
    }
}

pub(crate) fn entry(kv: KeyValue) -> KvEntry {
    KvEntry {
        key: String::from_utf8_lossy(&kv.key).into_owned(),
        value: kv.value,
        revision: kv.mod_revision,
    }
}
