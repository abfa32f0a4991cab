//! All objects of a topic, as an instance was told.

use crate::hosted::follow::Update;
use compact_str::CompactString;
use pinereel_port::store::Object;
use std::collections::BTreeMap;

/// The objects of a topic, encoded: each instance keeps them for children that it may get. Before 3,000
/// endpoints an instance took 25 MB so, and 31 MB with values (the middle of 304 instances, one run each).
#[derive(Default)]
pub(super) struct Known {
    /// The store's revision.
    pub(super) revision: u64,
    objects: BTreeMap<CompactString, Box<[u8]>>,
}

impl Known {
    /// Takes news in.
    pub(super) fn take(&mut self, update: &Update, revision: u64) {
        self.revision = revision;
        match update {
            Update::All(objects) => {
                self.objects.clear();
                for object in objects {
                    self.insert(object);
                }
            }
            Update::Changes(changes) => {
                for change in changes {
                    if change.deleted {
                        self.objects.remove(&change.object.name);
                    } else {
                        self.insert(&change.object);
                    }
                }
            }
        }
    }

    fn insert(&mut self, object: &Object) {
        let mut bytes = Vec::new();
        match ciborium::into_writer(object, &mut bytes) {
            Ok(()) => {
                self.objects.insert(object.name.clone(), bytes.into());
            }
            Err(error) => {
                log::error!(object = object.name.as_str(), error:% = error; "bulletin: object not kept");
            }
        }
    }

    /// All objects, decoded.
    pub(super) fn objects(&self) -> Vec<Object> {
        let objects = self.objects.iter().filter_map(|(name, bytes)| {
            match ciborium::from_reader(&**bytes) {
                Ok(object) => Some(object),
                Err(error) => {
                    log::error!(object = name.as_str(), error:% = error; "bulletin: object not kept");
                    None
                }
            }
        });
        objects.collect()
    }
}
