//! Clients that exhaust an instance: each sends large, incomplete or endless requests, and connects again
//! whenever the instance closes its connection.
//!
//! They run on a thread of their own, so that the other fakes of a test are not slowed down.

use super::site::{API_KEY, HOST};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Pause of a client before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that are written at once, at most, where nothing else is given.
const WRITE_BYTES: usize = 64 << 10;
/// Largest head of an answer that is read.
const MAX_ANSWER_HEAD_BYTES: usize = 16 << 10;

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// With the length that is announced, in bytes.
    Length(u64),
    /// In chunks of this many bytes.
    Chunked(usize),
    /// The head itself is never completed; its last header line is as long as the body would be.
    Head,
}

/// A request that a client of the crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Target of the request.
    pub path: &'static str,
    /// How the body is framed.
    pub framing: Framing,
    /// Bytes of the body that are sent. A chunked body is ended after them only if `ends`.
    pub sent_bytes: usize,
    /// Bytes of each write.
    pub write_bytes: usize,
    /// Whether the last chunk is sent.
    pub ends: bool,
    /// How often the request is sent on one connection, without waiting for an answer.
    pub pipelined: usize,
    /// Whether the answer is left unread.
    pub ignores_answer: bool,
}

impl Shape {
    /// A body with a length, of which the last byte is missing.
    pub const fn one_byte_short(path: &'static str, length: usize) -> Self {
        Self {
            path,
            framing: Framing::Length(length as u64),
            sent_bytes: length - 1,
            write_bytes: WRITE_BYTES,
            ends: false,
            pipelined: 1,
            ignores_answer: false,
        }
    }

    /// A complete body with a length.
    pub const fn complete(path: &'static str, length: usize) -> Self {
        Self {
            sent_bytes: length,
            ..Self::one_byte_short(path, length)
        }
    }

    /// A chunked body without its last chunk.
    pub const fn chunked(path: &'static str, length: usize, chunk: usize) -> Self {
        Self {
            framing: Framing::Chunked(chunk),
            ..Self::complete(path, length)
        }
    }

    /// A head of this length without its end.
    pub const fn unfinished_head(length: usize) -> Self {
        Self {
            framing: Framing::Head,
            ..Self::complete("/live/x", length)
        }
    }

    /// Returns the bytes of one request.
    fn encode(self, id: &str) -> Vec<u8> {
        let mut bytes = format!(
            "POST {} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 8000\r\n\
             authorization: Bearer {API_KEY}\r\n",
            self.path
        )
        .into_bytes();
        match self.framing {
            Framing::Length(length) => {
                bytes.extend(format!("content-length: {length}\r\n\r\n").into_bytes());
                bytes.resize(bytes.len() + self.sent_bytes, b'x');
            }
            Framing::Chunked(chunk) => {
                bytes.extend(b"transfer-encoding: chunked\r\n\r\n");
                let mut part = format!("{chunk:x}\r\n").into_bytes();
                part.resize(part.len() + chunk, b'x');
                part.extend(b"\r\n");
                bytes.extend(part.repeat(self.sent_bytes / chunk));
                if self.ends {
                    bytes.extend(b"0\r\n\r\n");
                }
            }
            Framing::Head => {
                bytes.extend(b"x-padding: ");
                bytes.resize(self.sent_bytes.max(bytes.len()), b'x');
            }
        }
        bytes
    }
}

/// A running crowd.
pub struct Crowd {
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<Vec<Exchange>>>,
}

/// A request of the crowd, and what came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Id of the request.
    pub id: String,
    /// Status of the answer; `None` without one.
    pub status: Option<u16>,
    /// Whether the answer has a `Retry-After` header.
    pub has_retry_after: bool,
}

impl Crowd {
    /// Starts `clients` clients that send requests to `address`, each `rounds` times. A request is over when
    /// the instance answers it or closes its connection, or after `hold`.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        shape: Shape,
        clients: usize,
        rounds: usize,
        hold: Duration,
    ) -> io::Result<Self> {
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopped);
        let run = move || {
            actix_rt::System::new().block_on(async move {
                let clients = (0..clients).map(|number| {
                    let flag = Arc::clone(&flag);
                    actix_rt::spawn(async move {
                        client(address, shape, number, rounds, hold, &flag).await
                    })
                });
                let clients: Vec<_> = clients.collect();
                let mut exchanges = Vec::new();
                for client in clients {
                    exchanges.extend(client.await.unwrap_or_default());
                }
                exchanges
            })
        };
        let thread = thread::Builder::new().spawn(run)?;
        Ok(Self {
            stopped,
            thread: Some(thread),
        })
    }

    /// Makes all clients end after their current request.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits until all clients have ended, and returns their requests.
    pub async fn join(mut self) -> Vec<Exchange> {
        while self.thread.as_ref().is_some_and(|t| !t.is_finished()) {
            sleep(Duration::from_millis(20)).await;
        }
        let joined = self.thread.take().map(thread::JoinHandle::join);
        joined.and_then(Result::ok).unwrap_or_default()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn client(
    address: SocketAddr,
    shape: Shape,
    number: usize,
    rounds: usize,
    hold: Duration,
    stopped: &AtomicBool,
) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    for round in 0..rounds {
        if stopped.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("crowd-{number}-{round}");
        let exchanged = timeout(hold, exchange(address, shape, &id)).await;
        let answer = exchanged.ok().and_then(Result::ok).flatten();
        exchanges.push(Exchange {
            id,
            status: answer.map(|(status, _)| status),
            has_retry_after: answer.is_some_and(|(_, retry_after)| retry_after),
        });
        sleep(RECONNECT_PAUSE).await;
    }
    exchanges
}

/// Sends a request and waits until it is answered, or its connection closed. Returns the status, and whether
/// there is a `Retry-After` header.
async fn exchange(address: SocketAddr, shape: Shape, id: &str) -> io::Result<Option<(u16, bool)>> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = stream.into_split();
    let bytes = shape.encode(id);
    let send = async move {
        for _ in 0..shape.pipelined {
            for part in bytes.chunks(shape.write_bytes) {
                writer.write_all(part).await?;
                tokio::task::yield_now().await;
            }
        }
        // The connection stays open for writing until there is an answer.
        std::future::pending::<io::Result<()>>().await
    };
    let receive = async move {
        if shape.ignores_answer {
            return std::future::pending().await;
        }
        let mut head = Vec::new();
        while head.len() < MAX_ANSWER_HEAD_BYTES && !head.windows(4).any(|end| end == b"\r\n\r\n") {
            if reader.read_buf(&mut head).await? == 0 {
                break;
            }
        }
        Ok(parse_answer(&String::from_utf8_lossy(&head)))
    };
    tokio::pin!(send);
    tokio::pin!(receive);
    tokio::select! {
        answer = &mut receive => answer,
        // An answer may have arrived before the connection failed.
        _ = &mut send => receive.await,
    }
}

fn parse_answer(head: &str) -> Option<(u16, bool)> {
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let has_retry_after = head.to_ascii_lowercase().contains("\r\nretry-after:");
    Some((status, has_retry_after))
}
