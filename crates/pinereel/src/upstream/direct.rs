//! One request over one fresh connection, whose answer is known to be whole.
//!
//! The pooled client takes an answer that was cut for a whole one, with a length as well as chunked.
//! Here the end of the body must be the one that its framing announces; a connection that ends
//! before it, and a body that only the connection's end delimits, are errors.

use super::{Attempt, Error, connect};
use actix_codec::Framed;
use actix_http::{
    Method, RequestHead, RequestHeadType, StatusCode, Uri,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue},
};
use bytes::Bytes;
use futures_util::{SinkExt as _, Stream, StreamExt as _, stream};
use std::io;
use tokio::{net::TcpStream, time::timeout};

/// An answer's head, and its body still to be read.
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Bytes of the body, if the head says so.
    pub length: Option<u64>,
    /// The body. It ends with an error if it was cut.
    pub body: Body,
}

/// A body that is being read.
pub struct Body {
    /// The connection; `None` when there is nothing more to read.
    framed: Option<Framed<TcpStream, ClientPayloadCodec>>,
}

/// Sends one attempt over a connection of its own and waits for the answer's head.
///
/// # Errors
/// [`Error::NotOpened`] only if no byte of it left.
pub async fn send(attempt: Attempt) -> Result<Response, Error> {
    let uri: Uri = format!("http://{}{}", attempt.address, attempt.path)
        .parse()
        .map_err(|e| Error::Invalid(format!("{e}")))?;
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
    let body = attempt.body.clone();
    let method = attempt.method.clone();
    let size = BodySize::Sized(body.len() as u64);
    let head = RequestHeadType::Owned(build_head(uri, attempt));
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
    let head = framed
        .next()
        .await
        .ok_or_else(|| Error::Lost("no answer".into()))?;
    let head = head.map_err(|e| Error::Lost(e.to_string()))?;
    let empty = framed.codec_ref().message_type() == MessageType::None;
    let length = head.headers.get(CONTENT_LENGTH).cloned();
    if empty && length.is_none() && may_have_body(&method, head.status) {
        // Only the connection's end would delimit it, so nobody could tell a cut answer.
        return Err(Error::Lost("answer of unknown length".into()));
    }
    let framed = (!empty).then(|| framed.into_map_codec(ClientCodec::into_payload_codec));
    Ok(Response {
        status: head.status,
        length: length.and_then(|value| value.to_str().ok()?.parse().ok()),
        headers: head.headers,
        body: Body { framed },
    })
}

/// Whether an answer may carry a body at all.
fn may_have_body(method: &Method, status: StatusCode) -> bool {
    let bare = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    *method != Method::HEAD && !status.is_informational() && !bare.contains(&status)
}

fn build_head(uri: Uri, attempt: Attempt) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = attempt.method;
    head.uri = uri;
    for (name, value) in attempt.headers {
        head.headers.append(name, value);
    }
    if let Ok(host) = HeaderValue::from_str(&attempt.address) {
        head.headers.insert(HOST, host);
    }
    head
}

impl Body {
    /// The next part; `None` at the end that the framing announced.
    ///
    /// # Errors
    /// The connection broke, or ended before the body did.
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

    /// The parts as a stream; nothing follows an error.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(Some(self), |body| async move {
            let mut body = body?;
            match body.next_part().await {
                Ok(Some(part)) => Some((Ok(part), Some(body))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        })
    }
}
