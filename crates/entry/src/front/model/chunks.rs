//! Turns the chunks of an answer into what the caller gets: a stream of events or one JSON object.

use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::mpsc;

use super::{AnswerChunk, EVENT_STREAM_TYPE, STREAM_DONE};
use crate::front::answer::{
    CallerResponse, Refusal, error_body, full_response, mark_ran, set_request_id,
    streaming_response,
};

pub(super) fn stored_answer(
    chunks: &[String],
    id: &RequestId,
    is_chat: bool,
    is_stream: bool,
) -> (&'static str, String) {
    if is_stream {
        let events = chunks.iter().map(|chunk| format!("data: {chunk}\n\n"));
        let body: String = events.chain([STREAM_DONE.to_owned()]).collect();
        return (EVENT_STREAM_TYPE, body);
    }
    let mut completion = CompletionText::default();
    for chunk in chunks {
        completion.add(chunk);
    }
    (
        "application/json",
        completion.to_json(id, is_chat).to_string(),
    )
}

pub(super) async fn streamed_response(
    mut chunks: mpsc::Receiver<AnswerChunk>,
    id: RequestId,
) -> Result<CallerResponse, Refusal> {
    let first = match chunks.recv().await {
        Some(AnswerChunk::Failed(kind)) => return Err(kind.into()),
        Some(chunk) => chunk,
        None => return Err(ErrorKind::UpstreamLost.into()),
    };
    let request_id = id.clone();
    let first = to_event(&first, &id);
    // Chunks go from the task that runs the attempts directly into the response body. When the caller
    // disconnects, the body is dropped and the task's next send fails.
    let rest = futures::stream::unfold((chunks, id), |(mut chunks, id)| async move {
        let chunk = chunks.recv().await?;
        Some((to_event(&chunk, &id), (chunks, id)))
    });
    let mut response = streaming_response(StatusCode::OK, EVENT_STREAM_TYPE, first, rest);
    set_request_id(&mut response, &request_id);
    Ok(response)
}

pub(super) fn to_event(chunk: &AnswerChunk, id: &RequestId) -> Bytes {
    Bytes::from(match chunk {
        AnswerChunk::Token(text) => format!("data: {text}\n\n"),
        AnswerChunk::Last(text) => format!("data: {text}\n\n{STREAM_DONE}"),
        AnswerChunk::Failed(kind) => format!("data: {}\n\n", error_body(*kind, id)),
    })
}

/// A complete answer assembled from chunks.
#[derive(Default)]
pub(super) struct CompletionText {
    text: String,
    model: Value,
    finish_reason: Value,
    usage: Value,
}

impl CompletionText {
    fn add(&mut self, chunk: &str) {
        let chunk: Value = serde_json::from_str(chunk).unwrap_or_default();
        let choice = &chunk["choices"][0];
        let content = choice["delta"]["content"].as_str();
        self.text
            .push_str(content.or(choice["text"].as_str()).unwrap_or(""));
        self.model = chunk["model"].clone();
        self.finish_reason = choice["finish_reason"].clone();
        self.usage = chunk["usage"].clone();
    }

    fn to_json(&self, id: &RequestId, is_chat: bool) -> Value {
        let (object, choice) = match is_chat {
            true => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": self.text },
                    "finish_reason": self.finish_reason,
                }),
            ),
            false => (
                "text_completion",
                serde_json::json!({
                    "index": 0,
                    "text": self.text,
                    "finish_reason": self.finish_reason,
                }),
            ),
        };
        serde_json::json!({
            "id": id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage,
        })
    }
}

pub(super) async fn full_answer_response(
    mut chunks: mpsc::Receiver<AnswerChunk>,
    id: &RequestId,
    is_chat: bool,
) -> Result<CallerResponse, Refusal> {
    let mut completion = CompletionText::default();
    loop {
        match chunks.recv().await {
            Some(AnswerChunk::Token(chunk)) => completion.add(&chunk),
            Some(AnswerChunk::Last(chunk)) => {
                completion.add(&chunk);
                break;
            }
            Some(AnswerChunk::Failed(kind)) => return Err(kind.into()),
            None => return Err(ErrorKind::UpstreamLost.into()),
        }
    }
    let body = completion.to_json(id, is_chat).to_string();
    let mut response = full_response(StatusCode::OK, "application/json", Bytes::from(body));
    mark_ran(&mut response);
    set_request_id(&mut response, id);
    Ok(response)
}
