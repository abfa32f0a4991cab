//! Helpers with which several fakes decode requests and inject faults into their responses, such as loss
//! and delay.

use actix_http::{
    StatusCode,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use futures_util::stream;
use percent_encoding::percent_decode_str;
use pinereel::http::Response;
use std::{borrow::Cow, cell::Cell, io, time::Duration};

/// Response that is never sent: its body fails at once, so that the connection is closed before the
/// head is written. The client sees a lost response, not an error status.
pub fn lost_response() -> Response {
    let error = io::Error::other("response lost because of an injected fault");
    let body = stream::once(async move { Err::<Bytes, _>(error) });
    Response::new(StatusCode::OK).set_body(BoxBody::new(BodyStream::new(body)))
}

/// Takes one from a counter of faults that are still to be injected; returns false if it is zero.
pub fn take_one(remaining: &Cell<u32>) -> bool {
    match remaining.get().checked_sub(1) {
        Some(rest) => {
            remaining.set(rest);
            true
        }
        None => false,
    }
}

/// Delays a response. Returns at once if `delay` is zero, since a timer takes 1 ms or more.
pub async fn delay(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

/// Decoded value of `name` in a query string.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs.find_map(|(key, value)| (key == name).then_some(value))
}

/// Decoded segments of a path, without the empty one before the first slash.
pub fn path_segments(path: &str) -> impl Iterator<Item = Cow<'_, str>> {
    let segments = path.strip_prefix('/').unwrap_or(path).split('/');
    segments.map(|segment| percent_decode_str(segment).decode_utf8_lossy())
}
