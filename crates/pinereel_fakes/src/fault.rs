//! What the faults of several stand-ins have in common.

use actix_http::{
    StatusCode,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use futures_util::stream;
use pinereel::http::Response;
use std::{cell::Cell, io, time::Duration};

/// An answer that is never sent: its body fails at once, so that the connection closes before the
/// head is written. The client sees a lost answer, not an error status.
pub fn lost_answer() -> Response {
    let failure = io::Error::other("answer lost on request");
    let body = stream::once(async move { Err::<Bytes, _>(failure) });
    Response::new(StatusCode::OK).set_body(BoxBody::new(BodyStream::new(body)))
}

/// Takes one from a counter of faults to come; false when none is left.
pub fn take(left: &Cell<u32>) -> bool {
    match left.get().checked_sub(1) {
        Some(rest) => {
            left.set(rest);
            true
        }
        None => false,
    }
}

/// Holds an answer for `delay`; returns at once if it is zero (a timer takes a millisecond at least).
pub async fn hold(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

/// The value of `name` in a query string. The stand-ins' names need no percent-encoding.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
