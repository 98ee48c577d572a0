//! Parses a caller's request to a model.

use bergamot_types::prelude::*;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

use crate::front::request::CallerRequest;

/// Number of leading characters of a prompt that determine its affinity.
const PREFIX_CHARS: usize = 64;

/// The fields of a completion request that routing needs.
#[derive(Deserialize)]
pub(super) struct CompletionRequest {
    pub(super) model: ModelName,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: Value,
    /// The maximum number of tokens in the answer. Parsed here so that a negative or fractional number
    /// is reported as the caller's error rather than an upstream's.
    #[serde(default)]
    #[expect(
        dead_code,
        reason = "only validated; the upstream reads it from the body"
    )]
    max_tokens: Option<u64>,
}

impl CompletionRequest {
    /// Parses a request. Also returns the body to send to replicas.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] if the body cannot be parsed, or a chat request has no messages.
    pub(super) fn read(request: &CallerRequest, is_chat: bool) -> Result<(Self, Bytes), ErrorKind> {
        let mut body: Value =
            serde_json::from_slice(&request.body).map_err(|_| ErrorKind::BadRequest)?;
        let completion: Self =
            serde_json::from_value(body.clone()).map_err(|_| ErrorKind::BadRequest)?;
        if is_chat && completion.messages.is_empty() {
            return Err(ErrorKind::BadRequest);
        }
        // Replicas always stream their answers, since only a streamed answer can resume at another replica.
        body["stream"] = Value::Bool(true);
        Ok((completion, Bytes::from(body.to_string())))
    }

    /// Returns the hash of the prompt's beginning, which is equal for prompts that begin alike.
    pub(super) fn prefix(&self) -> u64 {
        let contents = self.messages.iter();
        let contents = contents.filter_map(|message| message["content"].as_str());
        let text: Vec<&str> = contents.chain(self.prompt.as_str()).collect();
        let text = text.join("\n");
        let prefix_end = text.char_indices().nth(PREFIX_CHARS);
        let prefix_length = prefix_end.map_or(text.len(), |(index, _)| index);
        hash_bytes(&text.as_bytes()[..prefix_length])
    }
}
