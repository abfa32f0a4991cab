//! Buffer of a body, which grows without being copied once it is large.

use memmap2::MmapMut;
use std::{fmt, io};

/// Largest length that is kept on the heap, in bytes. The heap keeps what it gets in between other
/// allocations, so that many bodies of different sizes would take far more than their lengths.
const MAX_HEAP_BYTES: usize = 8 << 10;
/// Unit in which the memory of longer bodies is counted, in bytes; usually several pages.
const BLOCK_BYTES: usize = 16 << 10;

/// Bytes of a body. A large one has a memory mapping of its own: the operating system adds pages as the body
/// arrives, and gets all of them back when it is dropped.
pub struct Buffer {
    storage: Storage,
    length: usize,
    max_length: usize,
}

enum Storage {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

impl fmt::Debug for Buffer {
    /// Leaves the bytes out, which may be confidential.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Buffer")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

impl Buffer {
    /// An empty buffer for at most `max_length` bytes.
    pub const fn new(max_length: usize) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            length: 0,
            max_length,
        }
    }

    /// Memory that a body of `length` bytes takes.
    pub const fn bytes_for(length: usize) -> usize {
        if length <= MAX_HEAP_BYTES {
            length.next_power_of_two()
        } else {
            length.next_multiple_of(BLOCK_BYTES)
        }
    }

    /// Memory that this buffer takes.
    pub const fn allocated_bytes(&self) -> usize {
        Self::bytes_for(self.length)
    }

    /// Number of bytes.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends a part.
    ///
    /// # Errors
    /// The buffer would be longer than its maximum, or the operating system refuses the memory.
    pub fn extend(&mut self, part: &[u8]) -> io::Result<()> {
        let length = self.length + part.len();
        if length > self.max_length {
            return Err(io::Error::other("longer than the maximum"));
        }
        if length > MAX_HEAP_BYTES
            && let Storage::Heap(bytes) = &self.storage
        {
            let mut mapped = MmapMut::map_anon(self.max_length)?;
            // A huge page would take far more memory than is counted. The advice fails only on a kernel
            // without huge pages, which does not need it.
            #[cfg(target_os = "linux")]
            let _ = mapped.advise(memmap2::Advice::NoHugePage);
            mapped[..bytes.len()].copy_from_slice(bytes);
            self.storage = Storage::Mapped(mapped);
        }
        match &mut self.storage {
            Storage::Heap(bytes) => bytes.extend_from_slice(part),
            Storage::Mapped(mapped) => mapped[self.length..length].copy_from_slice(part),
        }
        self.length = length;
        Ok(())
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Mapped(mapped) => &mapped[..self.length],
        }
    }
}
