//! The platform's object store.

use crate::Fault;
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
pub struct Changes {
    /// Oldest first; empty if the wait ran out.
    pub changes: Vec<Change>,
    /// The next watch goes on from it.
    pub revision: u64,
}

/// How recent the answer to a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Linearizable.
    Current,
    /// May be seconds old; costs a fraction.
    Stale,
}

/// One HTTP call at the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// JSON; empty if there is none.
    pub body: Bytes,
}

/// The calls of a store and the reading of their answers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads one object: kind, name.
    pub read: fn(&str, &str, Freshness) -> Call,
    /// Lists a kind after a name.
    pub list: fn(&str, Option<&str>, Freshness) -> Call,
    /// Waits for changes of a kind after a revision.
    pub watch: fn(&str, u64, Duration) -> Call,
    /// Creates an object that must not exist: kind, name, spec as JSON text.
    pub create: fn(&str, &str, &str) -> Call,
    /// Replaces the spec of an object that must have a revision: kind, name, revision, spec.
    pub update: fn(&str, &str, u64, &Value) -> Call,
    /// Replaces the status, whatever the object's revision: kind, name, status.
    pub report: fn(&str, &str, &Value) -> Call,
    /// Deletes an object, whatever its revision: kind, name.
    pub delete: fn(&str, &str) -> Call,
    /// Reads an object.
    pub object: fn(&[u8]) -> Result<Object, Fault>,
    /// Reads a page of a list.
    pub page: fn(&[u8]) -> Result<Page, Fault>,
    /// Reads the answer to a watch.
    pub changes: fn(&[u8]) -> Result<Changes, Fault>,
}
