//! Response bodies of completions, in the format that clients of model engines expect: one JSON
//! object, or server-sent events.

use super::RequestContext;
use crate::engines;
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_api::{
    Problem,
    engine::{Chunk, FinishReason},
};
use pinereel_core::{
    Span,
    provenance::{Record, Stamp},
};
use serde::Serialize;

/// Value of the `object` field in both formats.
const OBJECT_TYPE: &str = "text_completion";
/// Last event of a stream that ended without a problem.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Response body of a completion that is not streamed.
#[derive(Debug, Serialize)]
pub struct CompletionResponse {
    id: CompactString,
    object: &'static str,
    model: CompactString,
    choices: [Choice; 1],
    usage: Usage,
    /// Model versions that computed the text: reused prefix first, then output.
    versions: Vec<Span>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    text: String,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Body of one event of a streamed completion.
#[derive(Debug, Serialize)]
struct ChunkEvent {
    id: CompactString,
    object: &'static str,
    model: CompactString,
    choices: [Choice; 1],
    versions: Vec<Span>,
}

impl CompletionResponse {
    /// Builds the body from the joined text of all chunks and their provenance record.
    pub fn new(
        context: &RequestContext,
        text: String,
        record: &Record,
        finish: Option<FinishReason>,
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

/// Encodes one chunk as an event; the last chunk is followed by `[DONE]`.
pub fn chunk_event(id: &CompactString, model: &CompactString, chunk: Chunk) -> Bytes {
    let mut record = Record::default();
    // The chunk was checked on arrival, so no error can occur here.
    let _ = record.push(&Stamp {
        offset: 0,
        ..engines::stamp(&chunk)
    });
    let is_last = chunk.finish.is_some();
    let event = ChunkEvent {
        id: id.clone(),
        object: OBJECT_TYPE,
        model: model.clone(),
        choices: [completion_choice(chunk.text, chunk.finish)],
        versions: record.spans(),
    };
    let mut bytes = sse_event(&event);
    if is_last {
        bytes.extend_from_slice(DONE_EVENT);
    }
    bytes.into()
}

/// Encodes a problem as the last event. No `[DONE]` follows, so that clients do not take the
/// response for a complete one.
pub fn error_event(problem: &Problem) -> Bytes {
    sse_event(&serde_json::json!({ "error": problem })).into()
}

fn completion_choice(text: String, finish_reason: Option<FinishReason>) -> Choice {
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
