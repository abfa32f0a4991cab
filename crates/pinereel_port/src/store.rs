//! The platform's object store: named, versioned JSON objects that can be listed and watched.

use crate::DecodeError;
use actix_http::Method;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;

/// An object with its spec and status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique among the objects of its kind.
    pub name: CompactString,
    /// Revision of the store at the object's last change.
    pub revision: u64,
    /// Desired state or data, as its owner wrote it.
    pub spec: Value,
    /// Observed state; null if none was reported.
    pub status: Value,
}

/// One page of a list, ordered by name.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The objects of this page.
    pub objects: Vec<Object>,
    /// Number of these objects whose spec and status are null because they are too large.
    pub oversized: usize,
    /// Size of the other objects, in bytes of their text.
    pub bytes: usize,
    /// Name after which the next page begins; `None` if this is the last page.
    pub next: Option<CompactString>,
    /// Revision of the store at the time of the list, from which a watch can start.
    pub revision: u64,
}

/// A change to one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object after the change; for a deletion, its last state.
    pub object: Object,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// Changes, oldest first; empty if the watch timed out.
    pub changes: Vec<Change>,
    /// Number of these objects whose spec and status are null because they are too large.
    pub oversized: usize,
    /// Revision from which the next watch continues.
    pub revision: u64,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The read sees every write that completed before it.
    Linearizable,
    /// The result may be seconds old. Such a read costs a fraction of a linearizable one.
    Stale,
}

/// An encoded HTTP request to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path with the query string.
    pub path: String,
    /// JSON body, or empty.
    pub body: Bytes,
}

/// Encodes requests to the store and decodes its responses.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Reads an object. Arguments: kind, name, consistency.
    pub read: fn(&str, &str, Consistency) -> Request,
    /// Lists the objects of a kind. Arguments: kind, name after which the page starts, consistency.
    pub list: fn(&str, Option<&str>, Consistency) -> Request,
    /// Waits for changes to objects of a kind. Arguments: kind, revision after which changes are
    /// returned, timeout.
    pub watch: fn(&str, u64, Duration) -> Request,
    /// Creates an object; fails if it exists. Arguments: kind, name, spec as JSON text.
    pub create: fn(&str, &str, &str) -> Request,
    /// Replaces the spec of an object; fails if it has another revision. Arguments: kind, name,
    /// revision, spec.
    pub update: fn(&str, &str, u64, &Value) -> Request,
    /// Replaces the status of an object, regardless of its revision. Arguments: kind, name, status.
    pub update_status: fn(&str, &str, &Value) -> Request,
    /// Deletes an object, regardless of its revision. Arguments: kind, name.
    pub delete: fn(&str, &str) -> Request,
    /// Deletes an object; fails if it has another revision. Arguments: kind, name, revision.
    pub delete_at: fn(&str, &str, u64) -> Request,
    /// Decodes an object.
    pub decode_object: fn(&[u8]) -> Result<Object, DecodeError>,
    /// Decodes a page of a list. Arguments: body, maximum memory of a decoded object in bytes.
    pub decode_page: fn(&[u8], usize) -> Result<Page, DecodeError>,
    /// Decodes the response to a watch. Arguments as of `decode_page`.
    pub decode_changes: fn(&[u8], usize) -> Result<WatchResponse, DecodeError>,
}
