//! Provenance of samples: the weight versions that computed them, as stamped by the engine.
//!
//! A version enters a [`Record`] only through a [`Stamp`], so that a version that was merely
//! requested from an engine is never reported as the one that computed a sample.

use crate::{Span, Version};

/// Why a chunk's stamp is rejected. The attempt must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Error {
    /// Tokens before this chunk are missing.
    #[error("chunk at {found}, expected {expected}: tokens are missing")]
    Gap {
        /// Output tokens so far.
        expected: u32,
        /// Offset of the chunk.
        found: u32,
    },
    /// Tokens of this chunk were received before.
    #[error("chunk at {found}, expected {expected}: tokens are repeated")]
    Repeat {
        /// Output tokens so far.
        expected: u32,
        /// Offset of the chunk.
        found: u32,
    },
    /// The chunk has tokens but no version.
    #[error("chunk without a version")]
    Missing,
    /// The stamp contradicts itself or earlier stamps.
    #[error("contradictory stamp")]
    Contradictory,
    /// The chunk was computed by older weights than the one before.
    #[error("version went back from {from} to {to}")]
    Regressing {
        /// Version of the chunk before.
        from: Version,
        /// Version of this chunk.
        to: Version,
    },
}

impl Error {
    /// Whether the chunks before the error are still complete and correctly stamped.
    pub const fn keeps_prefix(&self) -> bool {
        matches!(self, Self::Gap { .. } | Self::Repeat { .. })
    }
}

/// The engine's stamp on one chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stamp {
    /// Number of output tokens before the chunk.
    pub offset: u32,
    /// Number of output tokens in the chunk.
    pub tokens: u32,
    /// Version of the weights that computed it.
    pub version: Option<Version>,
    /// Spans reused from the prefix cache or an imported KV cache; on the first chunk of an attempt
    /// only.
    pub reused: Vec<Span>,
}

/// The weight versions that computed a sample so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    reused: Vec<Span>,
    output: Vec<Span>,
    tokens: u32,
    has_chunks: bool,
}

impl Record {
    /// The record of a new attempt that resumes where this one ended. It keeps all spans, and its
    /// first chunk may report reused spans again.
    pub fn resume(&self) -> Self {
        Self {
            has_chunks: false,
            ..self.clone()
        }
    }

    /// Adds the stamp of the next chunk; the record is unchanged on an error.
    ///
    /// # Errors
    /// See [`Error`]. The attempt must not continue after an error.
    pub fn push(&mut self, stamp: &Stamp) -> Result<(), Error> {
        self.check_offset(stamp)?;
        if stamp.tokens == 0 && stamp.version.is_none() && stamp.reused.is_empty() {
            return Ok(());
        }
        let version = stamp.version.ok_or(Error::Missing)?;
        self.check_version(version)?;
        self.check_reused(stamp, version)?;
        let tokens = self.tokens.checked_add(stamp.tokens);
        self.tokens = tokens.ok_or(Error::Contradictory)?;
        self.has_chunks = true;
        for span in &stamp.reused {
            push_span(&mut self.reused, *span);
        }
        let tokens = stamp.tokens;
        push_span(&mut self.output, Span { version, tokens });
        Ok(())
    }

    const fn check_offset(&self, stamp: &Stamp) -> Result<(), Error> {
        let expected = self.tokens;
        let found = stamp.offset;
        if found > expected {
            return Err(Error::Gap { expected, found });
        }
        if found < expected {
            return Err(Error::Repeat { expected, found });
        }
        Ok(())
    }

    fn check_version(&self, to: Version) -> Result<(), Error> {
        match self.last_version() {
            Some(from) if to < from => Err(Error::Regressing { from, to }),
            _ => Ok(()),
        }
    }

    /// Reused spans are reported on the first chunk only, and cannot be newer than the weights that
    /// run.
    fn check_reused(&self, stamp: &Stamp, version: Version) -> Result<(), Error> {
        let is_late = self.has_chunks && !stamp.reused.is_empty();
        let is_newer = stamp.reused.iter().any(|span| span.version > version);
        if is_late || is_newer {
            return Err(Error::Contradictory);
        }
        Ok(())
    }

    /// Number of output tokens so far.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Version of the last chunk; `None` before the first.
    pub fn last_version(&self) -> Option<Version> {
        self.output.last().map(|span| span.version)
    }

    /// The oldest version of all spans; `None` before the first chunk with a version.
    pub fn oldest_version(&self) -> Option<Version> {
        let spans = self.reused.iter().chain(&self.output);
        spans.map(|span| span.version).min()
    }

    /// The reused spans, then the output spans; within each, adjacent spans of one version are merged.
    pub fn spans(&self) -> Vec<Span> {
        [self.reused.as_slice(), self.output.as_slice()].concat()
    }
}

/// The oldest version of `spans`; `None` if there are none.
pub fn oldest_version(spans: &[Span]) -> Option<Version> {
    spans.iter().map(|span| span.version).min()
}

fn push_span(spans: &mut Vec<Span>, next: Span) {
    match spans.last_mut() {
        Some(last) if last.version == next.version => {
            last.tokens = last.tokens.saturating_add(next.tokens);
        }
        _ => spans.push(next),
    }
}
