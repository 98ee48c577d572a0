//! What the engine stand-in answers: text that depends on the prompt alone, so that anyone can
//! check that an answer is whole and the caller's own.

use serde::Deserialize;
use serde_json::{Value, json};

/// Tokens generated when the caller does not say.
pub const DEFAULT_TOKENS: u64 = 16;

/// The parts of a request that matter here.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Prompt {
    /// The model asked for.
    pub model: String,
    /// Chat messages.
    pub messages: Vec<Value>,
    /// Text to complete.
    pub prompt: Value,
    /// Tokens wanted.
    pub max_tokens: Option<u64>,
}

impl Prompt {
    /// Everything the answer depends on.
    pub fn text(&self) -> String {
        match self.messages.is_empty() {
            true => self.prompt.as_str().unwrap_or_default().to_owned(),
            false => self
                .messages
                .iter()
                .map(|message| message["content"].as_str().unwrap_or_default())
                .collect::<Vec<_>>()
                .join("\n"),
        }
    }

    /// Hash of the first part, which a prefix cache would hold.
    pub fn prefix(&self) -> u64 {
        let text = self.text();
        let start: String = text.chars().take(PREFIX_CHARS).collect();
        bergamot_types::hash_bytes(start.as_bytes())
    }

    /// Tokens of the whole answer.
    pub fn length(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// Characters of a prompt that count as its prefix.
pub const PREFIX_CHARS: usize = 64;

/// The token at `offset` of the answer to a prompt.
pub fn token(prompt: &str, offset: u64) -> String {
    let hash = bergamot_types::hash_bytes(prompt.as_bytes()) as u32;
    format!("{hash:08x}-{offset} ")
}

/// The whole answer to a prompt.
pub fn whole_text(prompt: &str, length: u64) -> String {
    (0..length).map(|offset| token(prompt, offset)).collect()
}

/// One streamed token.
pub fn chunk(is_chat: bool, id: &str, model: &str, text: &str) -> Value {
    let (object, choice) = match is_chat {
        true => (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null }),
        ),
        false => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": null }),
        ),
    };
    json!({ "id": id, "object": object, "model": model, "choices": [choice] })
}

/// The last chunk, with the length of the whole answer.
pub fn last_chunk(is_chat: bool, id: &str, model: &str, length: u64) -> Value {
    let mut last = chunk(is_chat, id, model, "");
    last["choices"][0]["finish_reason"] = json!("stop");
    last["usage"] = json!({ "completion_tokens": length });
    last
}
