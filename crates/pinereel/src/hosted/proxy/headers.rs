//! Separates end-to-end headers from hop-by-hop headers.

use actix_http::header::{HeaderMap, HeaderName};

/// Headers that concern one connection only and are not forwarded. An expectation has been met here: the body
/// has been read, and is sent with the head.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers to forward: without hop-by-hop headers, and without `Content-Length`, which
/// message framing sets.
pub(in crate::hosted) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let connection_specific = headers_named_by_connection(headers);
    for (name, value) in headers {
        let hop_by_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str()) || name == "content-length";
        if !hop_by_hop && !connection_specific.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// The hop-by-hop headers that the `Connection` header lists.
fn headers_named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all("connection");
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(',').map(str::trim));
    names.filter_map(|name| name.parse().ok()).collect()
}
