//! Completions in the shape that clients of model engines know: whole answers and event streams.

use super::RequestContext;
use crate::engines;
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_api::{
    Problem,
    engine::{Chunk, Finish},
};
use pinereel_core::{
    Span,
    provenance::{Record, Stamp},
};
use serde::Serialize;

/// What both shapes call themselves.
const OBJECT_TYPE: &str = "text_completion";
/// Last event of a whole stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A whole completion.
#[derive(Debug, Serialize)]
pub struct CompletionResponse {
    id: CompactString,
    object: &'static str,
    model: CompactString,
    choices: [Choice; 1],
    usage: Usage,
    /// The versions that made the answer: reused prefix first, then output.
    versions: Vec<Span>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    text: String,
    finish_reason: Option<Finish>,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// One event of a streamed completion.
#[derive(Debug, Serialize)]
struct ChunkEvent {
    id: CompactString,
    object: &'static str,
    model: CompactString,
    choices: [Choice; 1],
    versions: Vec<Span>,
}

impl CompletionResponse {
    /// The whole completion of `context`.
    pub fn new(
        context: &RequestContext,
        text: String,
        record: &Record,
        finish: Option<Finish>,
    ) -> Self {
        Self {
            id: context.id.clone(),
            object: OBJECT_TYPE,
            model: context.pool.clone(),
            choices: [completion_choice(text, finish)],
            usage: Usage {
                completion_tokens: record.tokens(),
            },
            versions: record.spans(),
        }
    }
}

/// One chunk as an event; the last one is followed by `[DONE]`.
pub fn chunk_event(id: &CompactString, model: &CompactString, chunk: Chunk) -> Bytes {
    let mut record = Record::default();
    // Checked where it arrived; an error there never gets here.
    let _ = record.push(&Stamp {
        offset: 0,
        ..engines::stamp(&chunk)
    });
    let last = chunk.finish.is_some();
    let event = ChunkEvent {
        id: id.clone(),
        object: OBJECT_TYPE,
        model: model.clone(),
        choices: [completion_choice(chunk.text, chunk.finish)],
        versions: record.spans(),
    };
    let mut bytes = sse_event(&event);
    if last {
        bytes.extend_from_slice(DONE_EVENT);
    }
    bytes.into()
}

/// A problem as the last event. No `[DONE]` follows, so the answer is not taken for a whole one.
pub fn error_event(problem: &Problem) -> Bytes {
    sse_event(&serde_json::json!({ "error": problem })).into()
}

fn completion_choice(text: String, finish_reason: Option<Finish>) -> Choice {
    Choice {
        index: 0,
        text,
        finish_reason,
    }
}

fn sse_event(message: &impl Serialize) -> Vec<u8> {
    let json = serde_json::to_string(message).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}
