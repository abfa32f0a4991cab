//! A response body that the end of its connection delimits.

use super::metered::Metered;
use bytes::{Bytes, BytesMut};
use std::io;
use tokio::io::AsyncReadExt as _;

/// Largest part that is read at once, in bytes.
const PART_BYTES: usize = 4_096;

/// Such a body, and its connection. The body is whole only if nothing failed on the connection, in either
/// direction, up to its end.
pub(super) struct UntilClose {
    /// Connection from which the rest of the body is read.
    pub(super) stream: Metered,
    /// What was read with the head; it comes first.
    pub(super) read: Bytes,
    /// Whether the request was written. The operating system reports a reset once: if it fails a write, the reads
    /// after it end as if the connection had been closed.
    pub(super) sent: io::Result<()>,
}

impl UntilClose {
    /// Reads the next part; `None` at the body's end.
    ///
    /// # Errors
    /// The connection failed, also while the request was written.
    pub(super) async fn next_part(&mut self) -> io::Result<Option<Bytes>> {
        if !self.read.is_empty() {
            return Ok(Some(std::mem::take(&mut self.read)));
        }
        let mut part = BytesMut::with_capacity(PART_BYTES);
        let count = self.stream.read_buf(&mut part).await?;
        if count == 0 {
            std::mem::replace(&mut self.sent, Ok(()))?;
            return Ok(None);
        }
        self.stream.allow(count);
        Ok(Some(part.freeze()))
    }
}
