//! A connection that bounds what is read of a response without any of it being part of the body: the head, and
//! the framing of chunks. A chunk's size may be padded without an end, and takes no memory.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may be read beyond those that the parts of the body allow: the largest head that the decoder
/// accepts, 128 KiB, and what it reads ahead.
const MAX_OVERHEAD_BYTES: usize = 144 << 10;
/// Bytes on the wire that each byte of the body allows. A chunk of one byte takes six, one of five bytes ten.
const MAX_WIRE_RATIO: usize = 2;

/// A connection and the bytes read on it for the current response.
#[derive(Debug)]
pub(super) struct Metered {
    stream: TcpStream,
    read: usize,
    allowed: usize,
}

impl Metered {
    pub(super) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read: 0,
            allowed: MAX_OVERHEAD_BYTES,
        }
    }

    pub(super) const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Begins a new response.
    pub(super) const fn reset(&mut self) {
        self.read = 0;
        self.allowed = MAX_OVERHEAD_BYTES;
    }

    /// Records a part of the body.
    pub(super) const fn allow(&mut self, part: usize) {
        let bytes = part.saturating_mul(MAX_WIRE_RATIO);
        self.allowed = self.allowed.saturating_add(bytes);
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read > self.allowed {
            return Poll::Ready(Err(io::Error::other("too many bytes outside the body")));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.read += buffer.filled().len() - before;
        result
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
