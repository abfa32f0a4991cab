//! Provenance: which weights made a sample, by the engine's own stamps and nothing else.
//!
//! There is no way to put a version into a [`Record`] other than a stamp, so an order to an
//! engine can never become a claim about a sample.

use crate::{Span, Version};

/// Why stamps give no provenance. The attempt is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Error {
    /// Tokens are missing before this chunk.
    #[error("chunk at {found}, expected {expected}: tokens are missing")]
    Gap {
        /// Output tokens so far.
        expected: u32,
        /// Offset of the chunk.
        found: u32,
    },
    /// Tokens of this chunk were seen before.
    #[error("chunk at {found}, expected {expected}: tokens are repeated")]
    Repeat {
        /// Output tokens so far.
        expected: u32,
        /// Offset of the chunk.
        found: u32,
    },
    /// The chunk has tokens and no version.
    #[error("chunk without a version")]
    Missing,
    /// Stamps that cannot all be true.
    #[error("contradictory stamp")]
    Contradictory,
    /// A later chunk under older weights than an earlier one.
    #[error("version went back from {from} to {to}")]
    Regressing {
        /// Version of the chunk before.
        from: Version,
        /// Version of this chunk.
        to: Version,
    },
}

impl Error {
    /// Whether the chunks before the error are still whole and truly stamped.
    pub const fn keeps_prefix(&self) -> bool {
        matches!(self, Self::Gap { .. } | Self::Repeat { .. })
    }
}

/// The stamps of one chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stamp {
    /// Output tokens before the chunk.
    pub offset: u32,
    /// Output tokens in the chunk.
    pub tokens: u32,
    /// The weights that computed it.
    pub version: Option<Version>,
    /// First chunk of an attempt only: reused prefix cache or imported KV.
    pub reused: Vec<Span>,
}

/// The versions that made a sample so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    reused: Vec<Span>,
    output: Vec<Span>,
    tokens: u32,
    has_chunks: bool,
}

impl Record {
    /// The record of an attempt that goes on where this one ended: it keeps all spans.
    pub fn resume(&self) -> Self {
        Self {
            has_chunks: false,
            ..self.clone()
        }
    }

    /// Takes in the stamps of the next chunk; the record is unchanged on an error.
    ///
    /// # Errors
    /// See [`Error`]. The attempt must not go on after one.
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

    /// Reuse is told once, and nothing can be reused from weights newer than those that run.
    fn check_reused(&self, stamp: &Stamp, version: Version) -> Result<(), Error> {
        let is_late = self.has_chunks && !stamp.reused.is_empty();
        let is_newer = stamp.reused.iter().any(|span| span.version > version);
        if is_late || is_newer {
            return Err(Error::Contradictory);
        }
        Ok(())
    }

    /// Output tokens so far.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Version of the last chunk.
    pub fn last_version(&self) -> Option<Version> {
        self.output.last().map(|span| span.version)
    }

    /// The oldest version of all spans; `None` before the first stamp.
    pub fn oldest_version(&self) -> Option<Version> {
        let all = self.reused.iter().chain(&self.output);
        all.map(|span| span.version).min()
    }

    /// What was reused, then the output, adjacent equal versions merged within each.
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
