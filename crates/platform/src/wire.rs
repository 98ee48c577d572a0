//! Messages of the JSON form of the etcd v3 API. Byte strings are encoded in base64 and 64-bit
//! numbers as text, and fields with default values are omitted.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, base64::Base64, serde_as};

#[serde_as]
#[derive(Serialize, Default)]
pub(crate) struct RangeRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
}

#[serde_as]
#[derive(Serialize)]
pub(crate) struct PutRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

#[serde_as]
#[derive(Serialize)]
pub(crate) struct Compare {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    pub target: &'static str,
    pub result: &'static str,
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: i64,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TxnOp {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
}

#[derive(Serialize)]
pub(crate) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<TxnOp>,
    pub failure: Vec<TxnOp>,
}

#[serde_as]
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub(crate) struct Header {
    #[serde_as(as = "DisplayFromStr")]
    pub revision: i64,
}

#[serde_as]
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub(crate) struct KeyValue {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: i64,
}

#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<KeyValue>,
}

#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub(crate) struct TxnResponseOp {
    pub response_range: Option<RangeResponse>,
}

#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub header: Header,
    pub succeeded: bool,
    pub responses: Vec<TxnResponseOp>,
}

#[serde_as]
#[derive(Serialize)]
pub(crate) struct WatchCreate {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: i64,
}

#[derive(Serialize)]
pub(crate) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub(crate) struct WatchEvent {
    pub kv: KeyValue,
    #[serde(rename = "type")]
    pub kind: Option<String>,
}

#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub(crate) struct WatchResult {
    pub header: Header,
    pub events: Vec<WatchEvent>,
    pub canceled: bool,
}

#[derive(Deserialize, Debug)]
pub(crate) struct WatchMessage {
    pub result: WatchResult,
}

/// Returns the exclusive end of the range of all keys with this prefix.
pub(crate) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut range_end = prefix.as_bytes().to_vec();
    while let Some(last_byte) = range_end.pop() {
        if last_byte < 0xff {
            range_end.push(last_byte + 1);
            return range_end;
        }
    }
    vec![0]
}
