//! Pieces of an answer as the caller gets them: as events, or put together.

use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::mpsc;

use super::{DONE, EVENT_STREAM, Piece};
use crate::front::answer::{
    CallerAnswer, Refusal, error_json, mark_ran, name_request, streamed, whole,
};

pub(super) fn kept_answer(
    pieces: &[String],
    id: &RequestId,
    is_chat: bool,
    is_stream: bool,
) -> (&'static str, String) {
    if is_stream {
        let events = pieces.iter().map(|piece| format!("data: {piece}\n\n"));
        let body: String = events.chain([DONE.to_owned()]).collect();
        return (EVENT_STREAM, body);
    }
    let mut answer = WholeText::default();
    for piece in pieces {
        answer.add(piece);
    }
    ("application/json", answer.to_json(id, is_chat).to_string())
}

pub(super) async fn stream_answer(
    mut pieces: mpsc::Receiver<Piece>,
    id: RequestId,
) -> Result<CallerAnswer, Refusal> {
    let first = match pieces.recv().await {
        Some(Piece::Failed(kind)) => return Err(kind.into()),
        Some(piece) => piece,
        None => return Err(ErrorKind::UpstreamLost.into()),
    };
    let name = id.clone();
    let first = to_event(&first, &id);
    // The pieces go from the driver straight into the body; when the caller leaves, the body is
    // dropped and the driver notices.
    let rest = futures::stream::unfold((pieces, id), |(mut pieces, id)| async move {
        let piece = pieces.recv().await?;
        Some((to_event(&piece, &id), (pieces, id)))
    });
    let mut answer = streamed(StatusCode::OK, EVENT_STREAM, first, rest);
    name_request(&mut answer, &name);
    Ok(answer)
}

pub(super) fn to_event(piece: &Piece, id: &RequestId) -> Bytes {
    Bytes::from(match piece {
        Piece::Token(text) => format!("data: {text}\n\n"),
        Piece::Last(text) => format!("data: {text}\n\n{DONE}"),
        Piece::Failed(kind) => format!("data: {}\n\n", error_json(*kind, id)),
    })
}

/// A whole answer, put together from chunks.
#[derive(Default)]
pub(super) struct WholeText {
    text: String,
    model: Value,
    finish_reason: Value,
    usage: Value,
}

impl WholeText {
    fn add(&mut self, chunk: &str) {
        let chunk: Value = serde_json::from_str(chunk).unwrap_or_default();
        let choice = &chunk["choices"][0];
        let piece = choice["delta"]["content"].as_str();
        self.text
            .push_str(piece.or(choice["text"].as_str()).unwrap_or(""));
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

pub(super) async fn whole_answer(
    mut pieces: mpsc::Receiver<Piece>,
    id: &RequestId,
    is_chat: bool,
) -> Result<CallerAnswer, Refusal> {
    let mut text = WholeText::default();
    loop {
        match pieces.recv().await {
            Some(Piece::Token(chunk)) => text.add(&chunk),
            Some(Piece::Last(chunk)) => {
                text.add(&chunk);
                break;
            }
            Some(Piece::Failed(kind)) => return Err(kind.into()),
            None => return Err(ErrorKind::UpstreamLost.into()),
        }
    }
    let body = text.to_json(id, is_chat).to_string();
    let mut answer = whole(StatusCode::OK, "application/json", Bytes::from(body));
    mark_ran(&mut answer);
    name_request(&mut answer, id);
    Ok(answer)
}
