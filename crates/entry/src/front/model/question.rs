//! What a caller asks of a model.

use bergamot_types::prelude::*;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

use crate::front::request::CallerRequest;

/// Characters of a prompt that decide its affinity.
const PREFIX_CHARS: usize = 64;

/// The fields of a request that matter here.
#[derive(Deserialize)]
pub(super) struct ModelQuestion {
    pub(super) model: ModelName,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: Value,
    /// The most tokens of the answer. Read here so that a negative or fractional number is the
    /// caller's error rather than an upstream's.
    #[serde(default)]
    #[expect(
        dead_code,
        reason = "only checked; the upstream reads it from the body"
    )]
    max_tokens: Option<u64>,
}

impl ModelQuestion {
    /// Reads a request, and its body as replicas get it.
    pub(super) fn read(request: &CallerRequest, is_chat: bool) -> Result<(Self, Bytes), ErrorKind> {
        let mut body: Value =
            serde_json::from_slice(&request.body).map_err(|_| ErrorKind::BadRequest)?;
        let question: Self =
            serde_json::from_value(body.clone()).map_err(|_| ErrorKind::BadRequest)?;
        if is_chat && question.messages.is_empty() {
            return Err(ErrorKind::BadRequest);
        }
        // Replicas always stream to us: it is what makes an answer resumable.
        body["stream"] = Value::Bool(true);
        Ok((question, Bytes::from(body.to_string())))
    }

    /// What requests with the same beginning have in common.
    pub(super) fn prefix(&self) -> u64 {
        let contents = self.messages.iter();
        let contents = contents.filter_map(|message| message["content"].as_str());
        let text: Vec<&str> = contents.chain(self.prompt.as_str()).collect();
        let text = text.join("\n");
        let start = text.char_indices().nth(PREFIX_CHARS);
        let end = start.map_or(text.len(), |(index, _)| index);
        hash_bytes(&text.as_bytes()[..end])
    }
}
