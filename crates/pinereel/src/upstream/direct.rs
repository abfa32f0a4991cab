//! HTTP client that opens a new connection for each request and detects truncated responses.
//!
//! The body must end as its framing announces. A connection that closes earlier, and a body that is only
//! delimited by the connection's end, are errors.

use super::{
    Attempt, Error, connect,
    final_head::{self, read_final_head},
};
use actix_codec::Framed;
use actix_http::{
    Method, RequestHeadType, StatusCode, Uri,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{CONTENT_LENGTH, HeaderMap},
};
use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use std::io;
use tokio::{net::TcpStream, time::timeout};

/// Head of a response, and its unread body.
pub struct Response {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body length in bytes, if the head has a content length.
    pub length: Option<u64>,
    /// Unread body; ends with an error if it is truncated.
    pub body: Body,
}

/// Response body that is being read.
pub struct Body {
    /// Connection; `None` if the body has ended.
    framed: Option<Framed<TcpStream, ClientPayloadCodec>>,
}

/// Sends one attempt over a new connection and waits for the response's head.
///
/// # Errors
/// [`Error::NotOpened`] only if no byte of the attempt was sent.
pub async fn send(attempt: Attempt) -> Result<Response, Error> {
    let uri = attempt.uri()?;
    let wait = attempt.timeout;
    let response = async {
        let stream = connect(&uri)
            .await
            .map_err(|e| Error::NotOpened(e.to_string()))?;
        send_on(stream, uri, attempt).await
    };
    timeout(wait, response)
        .await
        .unwrap_or_else(|_| Err(Error::Lost("timeout".into())))
}

async fn send_on(stream: TcpStream, uri: Uri, attempt: Attempt) -> Result<Response, Error> {
    let mut framed = Framed::new(stream, ClientCodec::default());
    let head = RequestHeadType::Owned(attempt.head(uri));
    let Attempt { body, method, .. } = attempt;
    let size = BodySize::Sized(body.len() as u64);
    let lost = |e: io::Error| Error::Lost(e.to_string());
    framed
        .feed(Message::Item((head, size)))
        .await
        .map_err(lost)?;
    if !body.is_empty() {
        framed
            .feed(Message::Chunk(Some(body)))
            .await
            .map_err(lost)?;
    }
    framed.flush().await.map_err(lost)?;
    let answer = read_final_head(framed).await;
    let (head, framed) = answer.map_err(|error| match error {
        final_head::Error::Lost(reason) => Error::Lost(reason),
        final_head::Error::Undefined(status) => Error::undefined(status),
    })?;
    let has_no_framed_body = framed.codec_ref().message_type() == MessageType::None;
    let length = head.headers.get(CONTENT_LENGTH).cloned();
    if has_no_framed_body && length.is_none() && may_have_body(&method, head.status) {
        // Only the connection's end would delimit the body, so a truncated one would not be detected.
        return Err(Error::Lost("answer of unknown length".into()));
    }
    let framed =
        (!has_no_framed_body).then(|| framed.into_map_codec(ClientCodec::into_payload_codec));
    Ok(Response {
        status: head.status,
        length: length.and_then(|value| value.to_str().ok()?.parse().ok()),
        headers: head.headers,
        body: Body { framed },
    })
}

/// Whether a response to the method and with the status may have a body.
fn may_have_body(method: &Method, status: StatusCode) -> bool {
    let statuses_without_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    *method != Method::HEAD
        && !status.is_informational()
        && !statuses_without_body.contains(&status)
}

impl Body {
    /// Reads the next part; `None` at the end that the framing announced.
    ///
    /// # Errors
    /// The connection failed, or was closed before the body's end.
    pub async fn next_part(&mut self) -> io::Result<Option<Bytes>> {
        let Some(framed) = &mut self.framed else {
            return Ok(None);
        };
        let item = framed.next().await;
        match item {
            Some(Ok(Some(part))) => Ok(Some(part)),
            Some(Ok(None)) => {
                self.framed = None;
                Ok(None)
            }
            Some(Err(e)) => {
                self.framed = None;
                Err(io::Error::other(e.to_string()))
            }
            None => {
                self.framed = None;
                Err(io::Error::from(io::ErrorKind::UnexpectedEof))
            }
        }
    }
}
