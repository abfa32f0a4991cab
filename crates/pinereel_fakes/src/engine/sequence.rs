//! One request on its way through the batching model.

use super::{cache, text};
use pinereel_api::engine::{FinishReason, Request};
use pinereel_core::{Span, Version};

/// One request on its way.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    pub(super) request: Request,
    /// Output tokens of the whole completion.
    pub(super) length: u32,
    /// Output tokens so far, those resumed from included.
    pub(super) done: u32,
    /// Whether its prompt is computed.
    pub(super) prefilled: bool,
    /// What the prompt was reused from.
    pub(super) reused: Vec<Span>,
    /// Prompt tokens that were computed for it, and under what.
    pub(super) computed: Option<Span>,
    /// Whether a chunk went out.
    pub(super) started: bool,
    /// Text and tokens of the chunk that is being gathered.
    pub(super) pending: String,
    pub(super) pending_tokens: u32,
}

impl Sequence {
    pub(super) fn new(request: Request) -> Self {
        let length = text::length(&request.prompt, request.seed, request.max_tokens);
        Self {
            length,
            done: request.resume_tokens.min(length),
            prefilled: false,
            reused: Vec::new(),
            computed: None,
            started: false,
            pending: String::new(),
            pending_tokens: 0,
            request,
        }
    }

    pub(super) fn grow(&mut self) {
        let word = text::word(&self.request.prompt, self.request.seed, self.done);
        self.pending.push_str(&word);
        self.pending_tokens += 1;
        self.done += 1;
    }

    pub(super) fn finish(&self) -> FinishReason {
        if text::natural_length(&self.request.prompt, self.request.seed) > self.length {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }

    /// What the first chunk tells of the prompt. Its computed rest goes without saying, unless
    /// the weights were swapped between the prompt and the first token.
    pub(super) fn prompt_spans(&self, version: Option<Version>) -> Vec<Span> {
        let mut spans = self.reused.clone();
        let differs = |span: &Span| Some(span.version) != version;
        if let Some(span) = self.computed.filter(differs) {
            cache::append(&mut spans, span.version, span.tokens);
        }
        spans
    }
}
