//! Objects of the store in encoded form. The root encodes each object once; all instances forward and
//! cache the same bytes.

use bytes::Bytes;
use compact_str::CompactString;
use pinereel_port::store::{Change, Object};
use serde::{Deserialize, Serialize};

/// An object of the store, or its deletion, in encoded form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedObject {
    /// Name of the object.
    pub name: CompactString,
    /// Whether it was deleted.
    pub deleted: bool,
    /// The object in CBOR.
    pub object: Bytes,
}

impl EncodedObject {
    /// Encodes an object; `None` if that fails, which is logged.
    pub fn new(object: &Object, deleted: bool) -> Option<Self> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(object, &mut bytes) {
            Ok(()) => Some(Self {
                name: object.name.clone(),
                deleted,
                object: bytes.into(),
            }),
            Err(error) => {
                log::error!(object = object.name.as_str(), error:% = error; "broadcast tree: object not serialized");
                None
            }
        }
    }

    /// Decodes the object; `None` if that fails, which is logged.
    pub fn object(&self) -> Option<Object> {
        decode(&self.name, &self.object)
    }

    /// Decodes the object as a change, which may be its deletion.
    pub fn change(&self) -> Option<Change> {
        let object = self.object()?;
        let deleted = self.deleted;
        Some(Change { object, deleted })
    }
}

pub(super) fn decode(name: &str, bytes: &[u8]) -> Option<Object> {
    match ciborium::from_reader(bytes) {
        Ok(object) => Some(object),
        Err(error) => {
            log::error!(object = name, error:% = error; "broadcast tree: malformed object");
            None
        }
    }
}
