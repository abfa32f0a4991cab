//! State of one waiting or running request in the batching simulation.

use super::{cache, text};
use pinereel_api::engine::{FinishReason, Request};
use pinereel_core::{Span, Version};

/// A waiting or running request.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    pub(super) request: Request,
    /// Number of output tokens of the whole completion.
    pub(super) total_tokens: u32,
    /// Number of output tokens so far, including those of `resume`.
    pub(super) generated_tokens: u32,
    /// Whether the prompt has been computed.
    pub(super) prefilled: bool,
    /// Prompt tokens reused from the cache, by the version that computed them.
    pub(super) reused_spans: Vec<Span>,
    /// Prompt and `resume` tokens that were computed for this request.
    pub(super) computed_span: Option<Span>,
    /// Whether the first chunk has been emitted.
    pub(super) first_chunk_emitted: bool,
    /// Text generated since the last chunk.
    pub(super) pending_text: String,
    /// Number of tokens in `pending_text`.
    pub(super) pending_tokens: u32,
}

impl Sequence {
    pub(super) fn new(request: Request) -> Self {
        let total_tokens = text::length(&request.prompt, request.seed, request.max_tokens);
        Self {
            total_tokens,
            generated_tokens: request.resume_tokens.min(total_tokens),
            prefilled: false,
            reused_spans: Vec::new(),
            computed_span: None,
            first_chunk_emitted: false,
            pending_text: String::new(),
            pending_tokens: 0,
            request,
        }
    }

    pub(super) fn generate_token(&mut self) {
        let token = text::token(
            &self.request.prompt,
            self.request.seed,
            self.generated_tokens,
        );
        self.pending_text.push_str(&token);
        self.pending_tokens += 1;
        self.generated_tokens += 1;
    }

    /// Why the completion ends once all its tokens are generated.
    pub(super) fn finish_reason(&self) -> FinishReason {
        if text::unlimited_length(&self.request.prompt, self.request.seed) > self.total_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }

    /// Prompt spans that the first chunk reports, where `version` is the version of that chunk.
    ///
    /// These are the reused tokens. The tokens computed for this request are included only if they
    /// have another version, because of a swap before the first output token.
    pub(super) fn prompt_spans(&self, version: Option<Version>) -> Vec<Span> {
        let mut spans = self.reused_spans.clone();
        let differs = |span: &Span| Some(span.version) != version;
        if let Some(span) = self.computed_span.filter(differs) {
            cache::append_span(&mut spans, span.version, span.tokens);
        }
        spans
    }
}
