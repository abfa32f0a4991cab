//! The platform's object store.

use crate::DecodeError;
use actix_http::Method;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;

/// One object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: CompactString,
    /// The store's revision at its last change.
    pub revision: u64,
    /// The content.
    pub spec: Value,
    /// What is reported about it; null if nothing was.
    pub status: Value,
}

/// One page of a list, in order of names.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether more follow after the last one.
    pub more: bool,
    /// The store's revision; a watch goes on from it.
    pub revision: u64,
}

/// One change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object after the change, or as it last was.
    pub object: Object,
    /// Whether it was deleted.
    pub deleted: bool,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// Oldest first; empty if the wait ran out.
    pub changes: Vec<Change>,
    /// The next watch goes on from it.
    pub revision: u64,
}

/// How recent the answer to a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Linearizable.
    Linearizable,
    /// May be seconds old; costs a fraction.
    Stale,
}

/// One HTTP call at the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// JSON; empty if there is none.
    pub body: Bytes,
}

/// The calls of a store and the reading of their answers.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Reads one object: kind, name.
    pub read: fn(&str, &str, Consistency) -> Request,
    /// Lists a kind after a name.
    pub list: fn(&str, Option<&str>, Consistency) -> Request,
    /// Waits for changes of a kind after a revision.
    pub watch: fn(&str, u64, Duration) -> Request,
    /// Creates an object that must not exist: kind, name, spec as JSON text.
    pub create: fn(&str, &str, &str) -> Request,
    /// Replaces the spec of an object that must have a revision: kind, name, revision, spec.
    pub update: fn(&str, &str, u64, &Value) -> Request,
    /// Replaces the status, whatever the object's revision: kind, name, status.
    pub update_status: fn(&str, &str, &Value) -> Request,
    /// Deletes an object, whatever its revision: kind, name.
    pub delete: fn(&str, &str) -> Request,
    /// Reads an object.
    pub decode_object: fn(&[u8]) -> Result<Object, DecodeError>,
    /// Reads a page of a list.
    pub decode_page: fn(&[u8]) -> Result<Page, DecodeError>,
    /// Reads the answer to a watch.
    pub decode_changes: fn(&[u8]) -> Result<WatchResponse, DecodeError>,
}
