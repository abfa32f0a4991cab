//! Stream of a connection that reads no more than the state of the connection allows.

use super::connection::{Connection, Permission};
use std::{
    io,
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that are discarded with one read.
const DISCARD_BYTES: usize = 8 << 10;

/// Stream of a connection.
pub(super) struct Stream {
    socket: TcpStream,
    connection: Rc<Connection>,
}

impl Stream {
    pub(super) const fn new(socket: TcpStream, connection: Rc<Connection>) -> Self {
        Self { socket, connection }
    }

    pub(super) const fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }

    /// Reads at most `max_bytes`, and returns how many were read.
    fn poll_read_some(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        let before = buffer.filled().len();
        if buffer.remaining() <= max_bytes {
            ready!(Pin::new(&mut self.socket).poll_read(cx, buffer))?;
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
            let count = part.filled().len();
            buffer.advance(count);
        }
        Poll::Ready(Ok(buffer.filled().len() - before))
    }

    /// Answers a request whose head is refused, and ends the sending side.
    fn refuse(&self, status: actix_http::StatusCode) {
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        // The client may be gone, or may not have read earlier answers. Then it gets no answer.
        let _ = self.socket.try_write(answer.as_bytes());
        let _ = socket2::SockRef::from(&self.socket).shutdown(Shutdown::Write);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.connection.permission(cx.waker()) {
                Permission::Read(max_bytes) => {
                    let count = ready!(self.poll_read_some(cx, buffer, max_bytes))?;
                    return Poll::Ready(self.connection.record_read(count));
                }
                Permission::Discard(max_bytes) => {
                    let mut discarded = [0; DISCARD_BYTES];
                    let mut discarded = ReadBuf::new(&mut discarded);
                    let count = ready!(self.poll_read_some(cx, &mut discarded, max_bytes))?;
                    self.connection.record_discarded(count);
                    if count == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                Permission::Wait => return Poll::Pending,
                Permission::End => return Poll::Ready(Ok(())),
                Permission::Refuse(status) => self.refuse(status),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.discards_writes() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
