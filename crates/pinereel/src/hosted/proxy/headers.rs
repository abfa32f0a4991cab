//! Headers that pass from end to end.

use actix_http::header::{HeaderMap, HeaderName};

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers without those of one connection, and without those that framing sets.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
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

/// The headers that `Connection` names.
fn headers_named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all("connection");
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(',').map(str::trim));
    names.filter_map(|name| name.parse().ok()).collect()
}
