//! Decodes heads of responses as HTTP defines them.

use actix_codec::Decoder;
use actix_http::{ResponseHead, error::ParseError, h1::ClientCodec};
use bytes::BytesMut;

/// Largest number of fields in a head; the library accepts no more.
const MAX_FIELDS: usize = 96;

/// Decoder that rejects the malformed heads which the library's decoder accepts: it allows blanks between the
/// name of a field and its colon, and removes them.
pub(super) struct StrictCodec(ClientCodec);

impl StrictCodec {
    pub(super) const fn new(inner: ClientCodec) -> Self {
        Self(inner)
    }

    pub(super) fn into_inner(self) -> ClientCodec {
        self.0
    }
}

impl Decoder for StrictCodec {
    type Item = ResponseHead;
    type Error = ParseError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<ResponseHead>, ParseError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        httparse::Response::new(&mut fields).parse(bytes)?;
        self.0.decode(bytes)
    }
}
