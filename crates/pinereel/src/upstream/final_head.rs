//! Reads the head of a final response and skips interim ones.

use super::{status::is_final, strict_codec::StrictCodec};
use actix_codec::Framed;
use actix_http::{ResponseHead, StatusCode, h1::ClientCodec};
use futures_util::StreamExt as _;
use tokio::io::{AsyncRead, AsyncWrite};

/// Largest number of interim responses that are skipped before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Why there is no head of a final response.
pub(super) enum Error {
    /// The connection failed or was closed before that head, it switched to another protocol, or there were
    /// too many interim responses.
    Lost(String),
    /// The response has a status that HTTP does not define.
    Undefined(StatusCode),
}

/// Reads the head of the final response, and returns it with the connection. The caller sets the timeout.
///
/// # Errors
/// If there is none.
pub(super) async fn read_final_head<T: AsyncRead + AsyncWrite + Unpin>(
    connection: Framed<T, ClientCodec>,
) -> Result<(ResponseHead, Framed<T, ClientCodec>), Error> {
    let mut connection = connection.into_map_codec(StrictCodec::new);
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = match connection.next().await {
            Some(Ok(head)) => head,
            Some(Err(error)) => return Err(Error::Lost(error.to_string())),
            None => return Err(Error::Lost("closed without an answer".into())),
        };
        // No request asks for another protocol.
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Error::Lost("switched to another protocol".into()));
        }
        if is_final(head.status) {
            return Ok((head, connection.into_map_codec(StrictCodec::into_inner)));
        }
        if !head.status.is_informational() {
            return Err(Error::Undefined(head.status));
        }
    }
    Err(Error::Lost("too many interim answers".into()))
}
