//! Reads the head of a final response and skips interim ones.

use actix_codec::Framed;
use actix_http::{ResponseHead, StatusCode, h1::ClientCodec};
use futures_util::StreamExt as _;
use tokio::io::{AsyncRead, AsyncWrite};

/// Largest number of interim responses that are skipped before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Reads the head of the final response. The caller sets the timeout.
///
/// # Errors
/// The connection failed or was closed before that head, it switched to another protocol, or there were too
/// many interim responses.
pub(super) async fn read_final_head(
    connection: &mut Framed<impl AsyncRead + AsyncWrite + Unpin, ClientCodec>,
) -> Result<ResponseHead, String> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = match connection.next().await {
            Some(Ok(head)) => head,
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("closed without an answer".into()),
        };
        // No request asks for another protocol.
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err("switched to another protocol".into());
        }
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err("too many interim answers".into())
}
