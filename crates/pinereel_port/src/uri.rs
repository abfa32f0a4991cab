//! Percent-encoding of text that becomes part of a URI.

use compact_str::CompactString;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use std::fmt;

/// All characters but the unreserved ones (RFC 3986, section 2.3).
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes text as one segment of a path or one value of a query.
pub fn encode(text: &str) -> impl fmt::Display {
    utf8_percent_encode(text, ENCODED)
}

/// Decodes a segment of a path or a value of a query. Bytes that are not UTF-8 are replaced, and a `+` stands for
/// itself.
pub fn decode(text: &str) -> CompactString {
    percent_decode_str(text).decode_utf8_lossy().into()
}
