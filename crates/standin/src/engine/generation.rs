//! One answer as it is generated.

use std::sync::Arc;
use std::time::Duration;

use bergamot_types::GroupId;
use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::EngineStandin;
use crate::generate::{Prompt, chunk, last_chunk, token};
use crate::serve::Abort;

/// One answer to be generated.
pub(super) struct Generation {
    pub(super) engine: Arc<EngineStandin>,
    pub(super) id: String,
    pub(super) priority: u8,
    pub(super) from: u64,
    pub(super) prompt: Prompt,
    pub(super) is_chat: bool,
    pub(super) run: u64,
    pub(super) death: Option<u64>,
    pub(super) group: (GroupId, u32),
}

impl Generation {
    /// Generates until the end, until the caller leaves, or until the group breaks.
    pub(super) async fn run(self, sender: mpsc::Sender<Result<Frame<Bytes>, Abort>>) {
        let _place = self.engine.places.enter(self.priority).await;
        let options = &self.engine.options;
        let is_held = self.engine.cache.touch(self.prompt.prefix());
        let slow = self.engine.faults.slow_factor();
        if !is_held {
            tokio::time::sleep(options.prefill_time * slow).await;
        }
        let text = self.prompt.text();
        let length = self.prompt.length();
        let mut sent = 0_u64;
        for offset in self.from..length {
            tokio::time::sleep(options.token_time * self.engine.faults.slow_factor()).await;
            while self.engine.faults.get().hang {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if self.engine.faults.get().dead || self.engine.leads().as_ref() != Some(&self.group) {
                let _ = sender.send(Err(Abort)).await;
                return;
            }
            let piece = token(&text, offset);
            let chunk = chunk(self.is_chat, &self.id, &self.prompt.model, &piece);
            let event = format!("id: {offset}\ndata: {chunk}\n\n");
            sent += event.len() as u64;
            if self.death.is_some_and(|death| sent > death) {
                let _ = sender.send(Err(Abort)).await;
                return;
            }
            if sender
                .send(Ok(Frame::data(Bytes::from(event))))
                .await
                .is_err()
            {
                return;
            }
        }
        let last = last_chunk(self.is_chat, &self.id, &self.prompt.model, length);
        let end = format!("data: {last}\n\ndata: [DONE]\n\n");
        self.engine.runs.end(self.run);
        let _ = sender.send(Ok(Frame::data(Bytes::from(end)))).await;
    }
}
