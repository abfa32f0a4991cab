//! A list that is read page by page.

use compact_str::CompactString;
use pinereel_port::store::{Object, Page};
use std::collections::BTreeSet;

/// Maximum size of a list, in bytes of its objects and [`OBJECT_BYTES`] for each of them. Objects that are too large
/// count as empty.
const MAX_LIST_BYTES: usize = 128 << 20;
/// Memory that a decoded object takes beyond its text, in bytes.
const OBJECT_BYTES: usize = 1 << 10;

/// Why a list is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Fault {
    /// A page ends with a name that has ended one before.
    #[error("the pages begin again")]
    Repeated,
    /// The list is longer than [`MAX_LIST_BYTES`].
    #[error("the list is too long")]
    TooLong,
}

/// The pages of a list that have been read so far.
#[derive(Debug, Default)]
pub(super) struct Listing {
    objects: Vec<Object>,
    /// Revision of the first page. A watch from it also returns the changes made during the list.
    revision: Option<u64>,
    cursors: BTreeSet<CompactString>,
    bytes: usize,
}

impl Listing {
    /// Adds the next page; returns the name after which the one behind it begins.
    ///
    /// # Errors
    /// If the list does not come to an end.
    pub(super) fn add(&mut self, page: Page) -> Result<Option<CompactString>, Fault> {
        self.revision.get_or_insert(page.revision);
        self.bytes += page.bytes + page.objects.len() * OBJECT_BYTES;
        if self.bytes > MAX_LIST_BYTES {
            return Err(Fault::TooLong);
        }
        self.objects.extend(page.objects);
        match &page.next {
            Some(next) if !self.cursors.insert(next.clone()) => Err(Fault::Repeated),
            _ => Ok(page.next),
        }
    }

    /// The objects, and the revision to watch from.
    pub(super) fn into_parts(self) -> (Vec<Object>, u64) {
        (self.objects, self.revision.unwrap_or_default())
    }
}
