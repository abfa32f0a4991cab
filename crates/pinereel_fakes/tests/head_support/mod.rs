//! Generates heads of responses with a byte in the name of a field that HTTP does not allow there.

#![allow(dead_code)]

use proptest::{
    prelude::{Strategy, any, prop},
    strategy::ValueTree as _,
    test_runner::TestRunner,
};
use std::iter::repeat_n;

/// Where a field stands.
#[derive(Clone, Copy, Debug)]
enum Place {
    First,
    Last,
    InterimHead,
}

/// A field whose name contains an invalid byte, in the head of a response.
#[derive(Clone, Debug)]
pub struct InvalidHead {
    line: Vec<u8>,
    place: Place,
    /// The last field, the end of the head, and the body.
    framing: &'static str,
}

impl InvalidHead {
    /// The response, whose valid fields are `fields`.
    pub fn response(&self, fields: &str) -> Vec<u8> {
        let status_line = b"HTTP/1.1 200 OK\r\n".as_slice();
        let (line, fields, framing) = (&self.line[..], fields.as_bytes(), self.framing.as_bytes());
        match self.place {
            Place::First => [status_line, line, fields, framing].concat(),
            Place::Last => [status_line, fields, line, framing].concat(),
            Place::InterimHead => {
                let interim = b"HTTP/1.1 103 Early Hints\r\n".as_slice();
                [interim, line, b"\r\n", status_line, fields, framing].concat()
            }
        }
    }
}

/// Times that more heads are generated with a blank or a tab, which lenient decoders accept.
const BLANK_FACTOR: usize = 10;

/// Whether the name of a field may contain the byte.
pub fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// The bytes that no name may contain, but for those that end it.
fn invalid_bytes() -> impl Iterator<Item = u8> {
    (0..=u8::MAX).filter(|byte| !is_token_byte(*byte) && ![b':', b'\n'].contains(byte))
}

/// A head with `byte` at the start, inside or at the end of a name.
fn head_with(byte: u8) -> impl Strategy<Value = InvalidHead> {
    let fields = [
        ("x-foo", "1"),
        ("content-length", "1"),
        ("transfer-encoding", "chunked"),
    ];
    let places = [Place::First, Place::Last, Place::InterimHead];
    let framings = [
        "content-length: 2\r\n\r\nok",
        "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "connection: close\r\n\r\nok",
    ];
    (
        prop::sample::select(fields.to_vec()),
        any::<prop::sample::Index>(),
        0..3,
        prop::sample::select(places.to_vec()),
        prop::sample::select(framings.to_vec()),
    )
        .prop_map(move |((name, value), inside, position, place, framing)| {
            let position = match position {
                0 => 0,
                1 => 1 + inside.index(name.len() - 1),
                _ => name.len(),
            };
            let mut line = format!("{name}: {value}\r\n").into_bytes();
            line.insert(position, byte);
            InvalidHead {
                line,
                place,
                framing,
            }
        })
}

/// `count` heads for each byte that no name may contain; the same ones in each run.
pub fn invalid_heads(count: usize) -> Vec<InvalidHead> {
    let mut runner = TestRunner::deterministic();
    let mut sample = |byte| {
        let tree = head_with(byte).new_tree(&mut runner);
        tree.expect("nothing is rejected").current()
    };
    let bytes = invalid_bytes().flat_map(|byte| match byte {
        b' ' | b'\t' => repeat_n(byte, count * BLANK_FACTOR),
        _ => repeat_n(byte, count),
    });
    bytes.map(&mut sample).collect()
}

/// Panics with some of the responses that a client or a caller took for valid, if there are any.
pub fn assert_none_accepted(accepted: &[String], total: usize) {
    assert!(
        accepted.is_empty(),
        "{} of {total} accepted, as {:#?}",
        accepted.len(),
        &accepted[..accepted.len().min(8)]
    );
}
