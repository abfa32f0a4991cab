//! Exactly-once delivery of samples by a cursor that the trainer holds.
//!
//! Each collect carries a [`Token`], the set of samples that the trainer has received. [`Merge`]
//! builds an answer from samples outside this set, and the next token. The trainer's [`Cursor`]
//! accepts an answer only if it is based on its current token. Therefore exactly-once delivery
//! depends on no lease, clock or state of a runner.

use crate::{Version, hash::Digest, lot::Sample, provenance, staleness};
use std::{collections::BTreeSet, fmt};

/// Most samples in one lot; bounds the size of a token to 8 KiB of bits.
pub const MAX_SAMPLES: u32 = 1 << 16;

/// Version of the binary format of a token, its first byte.
const FORMAT_VERSION: u8 = 1;

/// Bytes before the bit set: format, digest, step, sequence and number of samples.
const HEADER_BYTES: usize = 1 + 16 + 8 + 8 + 4;

/// Bytes of the CRC-32 checksum at the end.
const CHECKSUM_BYTES: usize = 4;

/// Most bytes of the text form of a token.
pub const MAX_TEXT_BYTES: usize = 2 * (HEADER_BYTES + MAX_SAMPLES as usize / 8 + CHECKSUM_BYTES);

/// Why a token is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Error {
    /// It is too long, damaged, or inconsistent.
    #[error("malformed cursor token")]
    Malformed,
    /// It belongs to another lot.
    #[error("cursor token of another lot")]
    OtherLot,
    /// It belongs to an earlier step.
    #[error("cursor token of an earlier step")]
    EarlierStep,
}

/// The set of samples of one lot that a trainer has received.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    lot: Digest,
    step: u64,
    sequence: u64,
    samples: u32,
    bits: Vec<u8>,
}

impl Token {
    /// The token before the first collect; `samples` is clamped to [`MAX_SAMPLES`].
    pub fn empty(lot: Digest, step: u64, samples: u32) -> Self {
        let samples = samples.min(MAX_SAMPLES);
        Self {
            lot,
            step,
            sequence: 0,
            samples,
            bits: vec![0; samples.div_ceil(8) as usize],
        }
    }

    /// Digest of the lot.
    pub const fn lot(&self) -> Digest {
        self.lot
    }

    /// Step of the lot.
    pub const fn step(&self) -> u64 {
        self.step
    }

    /// Number of non-empty answers that led to this token.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Number of samples in the lot.
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    /// Number of samples that the trainer lacks.
    pub fn remaining(&self) -> u32 {
        let held: u32 = self.bits.iter().map(|byte| byte.count_ones()).sum();
        self.samples - held
    }

    /// Whether the trainer holds the sample with this index.
    pub fn contains(&self, index: u32) -> bool {
        let byte = self.bits.get(index as usize / 8);
        index < self.samples && byte.is_some_and(|b| b & bit_mask(index) != 0)
    }

    /// Adds a sample. Returns `false` if it was present or its index is out of range.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.samples || self.contains(index) {
            return false;
        }
        self.bits[index as usize / 8] |= bit_mask(index);
        true
    }

    /// The token after an answer with these samples; `None` if an index is held already, repeated or
    /// out of range.
    pub fn with_samples(&self, indexes: impl IntoIterator<Item = u32>) -> Option<Self> {
        let mut next = self.clone();
        let mut any_inserted = false;
        for index in indexes {
            if !next.insert(index) {
                return None;
            }
            any_inserted = true;
        }
        next.sequence += u64::from(any_inserted);
        Some(next)
    }

    /// Checks that the token belongs to the lot with this digest and step.
    ///
    /// # Errors
    /// [`Error::EarlierStep`] for an earlier step, otherwise [`Error::OtherLot`].
    pub fn check_lot(&self, lot: Digest, step: u64) -> Result<(), Error> {
        if self.step < step {
            return Err(Error::EarlierStep);
        }
        if self.lot != lot || self.step != step {
            return Err(Error::OtherLot);
        }
        Ok(())
    }

    /// Parses the text form.
    ///
    /// # Errors
    /// [`Error::Malformed`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        let bytes = decode_hex(text).ok_or(Error::Malformed)?;
        Self::decode(&bytes).ok_or(Error::Malformed)
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (body, crc) = bytes.split_last_chunk::<CHECKSUM_BYTES>()?;
        if crc32fast::hash(body) != u32::from_be_bytes(*crc) {
            return None;
        }
        let (format, rest) = body.split_first()?;
        let (lot, rest) = rest.split_first_chunk::<16>()?;
        let (step, rest) = rest.split_first_chunk::<8>()?;
        let (sequence, rest) = rest.split_first_chunk::<8>()?;
        let (samples, bits) = rest.split_first_chunk::<4>()?;
        let token = Self {
            lot: Digest(*lot),
            step: u64::from_be_bytes(*step),
            sequence: u64::from_be_bytes(*sequence),
            samples: u32::from_be_bytes(*samples),
            bits: bits.to_vec(),
        };
        (*format == FORMAT_VERSION && token.is_valid()).then_some(token)
    }

    /// Whether the bit set has exactly one bit per sample, and all padding bits are zero.
    fn is_valid(&self) -> bool {
        let size = self.samples.div_ceil(8) as usize;
        if self.samples > MAX_SAMPLES || self.bits.len() != size {
            return false;
        }
        let used = self.samples % 8;
        let padding = if used == 0 { 0 } else { 0xff << used };
        self.bits.last().is_none_or(|last| last & padding == 0)
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(self.lot.0);
        bytes.extend(self.step.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
        bytes.extend(self.samples.to_be_bytes());
        bytes.extend(&self.bits);
        let crc = crc32fast::hash(&bytes);
        bytes.extend(crc.to_be_bytes());
        bytes
    }
}

/// The text form is the lower-case hexadecimal encoding of the binary form.
impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.encode() {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

const fn bit_mask(index: u32) -> u8 {
    1 << (index % 8)
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if text.len() > MAX_TEXT_BYTES || !text.len().is_multiple_of(2) {
        return None;
    }
    let pairs = text.as_bytes().chunks_exact(2);
    pairs
        .map(|pair| Some(hex_digit(pair[0])? << 4 | hex_digit(pair[1])?))
        .collect()
}

const fn hex_digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}

/// Parameters by which the answers of several runners are merged into one answer to a collect.
#[derive(Clone, Debug)]
pub struct Merge {
    /// The token of the collect.
    pub token: Token,
    /// The version that the trainer states in the collect.
    pub version: Version,
    /// The staleness bound of the pinned configuration, in versions.
    pub bound: u64,
    /// Most samples in the answer.
    pub max_samples: usize,
}

/// The answer to a collect.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// Samples that the token of the collect lacks, one per index, all within the staleness bound.
    pub samples: Vec<Sample>,
    /// The next token.
    pub token: Token,
    /// Number of samples that the trainer lacks after this answer.
    pub remaining: u32,
    /// Number of samples left out because they are too old or have no version.
    pub stale: u32,
    /// Number of samples left out because they are held, repeated, out of range or beyond
    /// [`Merge::max_samples`].
    pub skipped: u32,
}

impl Merge {
    /// Builds the answer from the samples found by the runners. Staleness and repeats are checked here,
    /// at the moment of delivery.
    pub fn deliver(self, found: impl IntoIterator<Item = Sample>) -> Delivery {
        let mut samples = Vec::new();
        let mut delivered = BTreeSet::new();
        let (mut stale, mut skipped) = (0, 0);
        for sample in found {
            if !self.is_fresh(&sample) {
                stale += 1;
                continue;
            }
            let is_out_of_range = sample.index >= self.token.samples;
            let is_full = samples.len() >= self.max_samples;
            let is_skipped = is_out_of_range || is_full || self.token.contains(sample.index);
            if is_skipped || !delivered.insert(sample.index) {
                skipped += 1;
                continue;
            }
            samples.push(sample);
        }
        let next = self.token.with_samples(delivered);
        let token = next.expect("each index was checked to be outside the token");
        Delivery {
            remaining: token.remaining(),
            samples,
            token,
            stale,
            skipped,
        }
    }

    fn is_fresh(&self, sample: &Sample) -> bool {
        provenance::oldest_version(&sample.spans)
            .is_some_and(|oldest| staleness::is_fresh(oldest, self.version, self.bound))
    }
}

/// Why a trainer's client drops an answer. Nothing is lost, because the client collects again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum AnswerError {
    /// The answer is based on another token than the current one: it is repeated, late, or belongs to
    /// a concurrent call.
    #[error("answer is based on another token than the current one")]
    BasisMismatch,
    /// The next token does not equal the current one plus the samples of the answer.
    #[error("next token of the answer does not match its samples")]
    Inconsistent,
}

/// The current token on the side of the trainer's client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    token: Token,
}

impl Cursor {
    /// Starts with the token returned for the submitted lot.
    pub const fn new(token: Token) -> Self {
        Self { token }
    }

    /// The token for the next collect.
    pub const fn token(&self) -> &Token {
        &self.token
    }

    /// Accepts an answer with samples `indexes`, and advances to its `next` token. The samples may be
    /// used only after `Ok`.
    ///
    /// # Errors
    /// See [`AnswerError`]; the cursor is unchanged and the whole answer must be dropped.
    pub fn accept(
        &mut self,
        basis: &Token,
        next: &Token,
        indexes: impl IntoIterator<Item = u32>,
    ) -> Result<(), AnswerError> {
        if *basis != self.token {
            return Err(AnswerError::BasisMismatch);
        }
        if self.token.with_samples(indexes).as_ref() != Some(next) {
            return Err(AnswerError::Inconsistent);
        }
        self.token = next.clone();
        Ok(())
    }
}
