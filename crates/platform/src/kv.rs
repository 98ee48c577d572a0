//! Client for the key-value service: reads, compare-and-swap and watches.

use std::time::{Duration, Instant};

use bergamot_types::Millis;
use bytes::Bytes;
use hyper::Method;
use parking_lot::Mutex;
use std::sync::Arc;

use crate::budget::{CallBudget, CallKind};
use crate::http::{Error, HttpClient, build};
use crate::watch::WatchStream;
use crate::wire::{
    Compare, KeyValue, PutRequest, RangeRequest, RangeResponse, TxnOp, TxnRequest, TxnResponse,
    WatchCreate, WatchRequest, prefix_end,
};

/// Maximum size of a value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value and the revision of its last write.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store revision of the last write.
    pub revision: i64,
}

/// Outcome of a compare-and-swap that the service answered.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CasOutcome {
    /// The value was written at this revision.
    Won(i64),
    /// The key was not at the expected revision. Holds the current entry, or none if the key is
    /// absent.
    Lost(Option<KvEntry>),
}

/// Client for the key-value service. Clones share the connection pool and the call budget.
#[derive(Clone)]
pub struct KvClient {
    base_url: String,
    client: HttpClient,
    timeout: Duration,
    created_at: Instant,
    budget: Arc<Mutex<CallBudget>>,
}

impl KvClient {
    /// Creates a client for the service at `base_url`, such as `http://127.0.0.1:2379`.
    pub fn new(base_url: &str, timeout: Duration, budget: CallBudget) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            client: HttpClient::new(timeout),
            timeout,
            created_at: Instant::now(),
            budget: Arc::new(Mutex::new(budget)),
        }
    }

    /// Reads one key with a single call.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn get(&self, key: &str) -> Result<Option<KvEntry>, Error> {
        let request = RangeRequest {
            key: key.as_bytes().to_vec(),
            range_end: Vec::new(),
        };
        Ok(self.read_range(&request).await?.into_iter().next())
    }

    /// Reads all keys with a prefix, in key order, with a single call.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn get_prefix(&self, prefix: &str) -> Result<Vec<KvEntry>, Error> {
        let request = RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: prefix_end(prefix),
        };
        self.read_range(&request).await
    }

    async fn read_range(&self, request: &RangeRequest) -> Result<Vec<KvEntry>, Error> {
        self.spend_call(CallKind::Read)?;
        let url = format!("{}/v3/kv/range", self.base_url);
        let response: RangeResponse = self.client.post_json(&url, request, self.timeout).await?;
        Ok(response.kvs.into_iter().map(to_entry).collect())
    }

    /// Writes `value` if the key was last written at revision `expected`; 0 requires that the key
    /// is absent.
    ///
    /// # Errors
    /// If [`Error::is_ambiguous`] returns true, the write may have taken effect. The caller has to
    /// read the key again before it acts on the result.
    pub async fn cas(&self, key: &str, expected: i64, value: &[u8]) -> Result<CasOutcome, Error> {
        let url = format!("{}/v3/kv/txn", self.base_url);
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::Malformed {
                url,
                reason: format!("the value of {key} is over 1 MiB"),
            });
        }
        self.spend_call(CallKind::Write)?;
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
        let response: TxnResponse = self.client.post_json(&url, &request, self.timeout).await?;
        if response.succeeded {
            return Ok(CasOutcome::Won(response.header.revision));
        }
        let current_entry = response
            .responses
            .into_iter()
            .find_map(|op| op.response_range)
            .and_then(|range| range.kvs.into_iter().next())
            .map(to_entry);
        Ok(CasOutcome::Lost(current_entry))
    }

    /// Watches all keys with a prefix, starting with the changes of revision `from`. The watch
    /// counts as one call for as long as it is open.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<WatchStream, Error> {
        self.spend_call(CallKind::Watch)?;
        let url = format!("{}/v3/watch", self.base_url);
        let watch_request = WatchRequest {
            create_request: WatchCreate {
                key: prefix.as_bytes().to_vec(),
                range_end: prefix_end(prefix),
                start_revision: from,
            },
        };
        let body = serde_json::to_vec(&watch_request).unwrap_or_default();
        let request = build(Method::POST, &url, Bytes::from(body))?;
        let response = self.client.open(request, self.timeout).await?;
        Ok(WatchStream::new(url, response.into_body()))
    }

    /// Returns a copy of the call budget with its counters, for the state dump.
    pub fn budget(&self) -> CallBudget {
        self.budget.lock().clone()
    }

    fn spend_call(&self, kind: CallKind) -> Result<(), Error> {
        let now = Millis(self.created_at.elapsed().as_millis() as u64);
        match self.budget.lock().take(now, kind) {
            true => Ok(()),
            false => Err(Error::BudgetSpent),
        }
    }
}

pub(crate) fn to_entry(kv: KeyValue) -> KvEntry {
    KvEntry {
        key: String::from_utf8_lossy(&kv.key).into_owned(),
        value: kv.value,
        revision: kv.mod_revision,
    }
}
