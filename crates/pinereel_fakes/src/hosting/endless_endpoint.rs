//! A fake endpoint in trouble: it answers each request with bytes that are no answer, without an end, until
//! the caller closes the connection.

use super::store::Store;
use serde_json::{Value, json};
use std::{cell::RefCell, io, net::Ipv4Addr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Bytes that are sent between two pauses.
const BLOCK_BYTES: usize = 64 << 10;
/// Pause between two blocks; a connection carries 64 MB a second.
const BLOCK_PAUSE: Duration = Duration::from_millis(1);
/// Pause between two bytes of [`Answer::ByteByByte`].
const BYTE_PAUSE: Duration = Duration::from_millis(300);

/// What the endpoint sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A header line without an end.
    HeaderLine,
    /// Header lines without an end.
    Headers,
    /// A body in chunks, the last of which never comes.
    Chunks,
    /// A body in chunks of one byte.
    SmallChunks,
    /// The size of a chunk, without an end.
    ChunkSize,
    /// A body whose length is not announced.
    Unframed,
    /// More bytes than the head announces.
    TooLong,
    /// A rejection that says that the request has not run, with a body without an end.
    Rejection,
    /// The begin of an event, a byte at a time.
    ByteByByte,
}

impl Answer {
    /// What is sent once, and what is repeated after it. `id` and `stamp` make the head valid.
    fn parts(self, id: &str, stamp: &str) -> (String, Vec<u8>) {
        let head = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-stamp: {stamp}\r\n\
                 x-weight-versions: 1\r\n{more}\r\n"
            )
        };
        let chunked = || head("200 OK", "transfer-encoding: chunked\r\n");
        let chunks = || {
            let data = vec![b'a'; 0x4000];
            [b"4000\r\n".as_slice(), &data, b"\r\n"].concat().repeat(4)
        };
        let block = |pattern: &[u8]| pattern.repeat(BLOCK_BYTES / pattern.len());
        match self {
            Self::HeaderLine => ("HTTP/1.1 200 OK\r\nx-noise: ".into(), block(b"a")),
            Self::Headers => (
                "HTTP/1.1 200 OK\r\n".into(),
                block(b"x-noise: aaaaaaaa\r\n"),
            ),
            Self::Chunks => (chunked(), chunks()),
            Self::SmallChunks => (chunked(), block(b"1\r\na\r\n")),
            Self::ChunkSize => (chunked(), block(b"0")),
            Self::Unframed => (head("200 OK", "connection: close\r\n"), block(b"a")),
            Self::TooLong => (head("200 OK", "content-length: 4\r\n"), block(b"a")),
            Self::Rejection => {
                let more = "x-not-executed: 1\r\ntransfer-encoding: chunked\r\n";
                (head("503 Service Unavailable", more), chunks())
            }
            Self::ByteByByte => (chunked(), b"1\r\na\r\n".to_vec()),
        }
    }

    const fn pause(self) -> Duration {
        match self {
            Self::ByteByByte => BYTE_PAUSE,
            _ => BLOCK_PAUSE,
        }
    }
}

/// One connection to the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Requests that came on it.
    pub requests: usize,
    /// Bytes sent on it.
    pub sent: usize,
    /// Time from the begin of the answer until the caller closed the connection; `None` if it is open.
    pub closed_after: Option<Duration>,
}

/// A running endpoint.
pub struct EndlessEndpoint {
    connections: Rc<RefCell<Vec<Connection>>>,
}

impl EndlessEndpoint {
    /// Starts an endpoint that gives this answer, and registers it.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        id: &str,
        service: &str,
        models: Value,
        answer: Answer,
        store: &Store,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let connections: Rc<RefCell<Vec<Connection>>> = Rc::default();
        let record = Rc::clone(&connections);
        let name = id.to_owned();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (record, name) = (Rc::clone(&record), name.clone());
                actix_rt::spawn(async move {
                    // A connection that the caller closes without a request is not recorded.
                    let _ = serve(stream, &name, answer, &record).await;
                });
            }
        });
        let entry = json!({
            "service": service, "addr": address.to_string(), "zone": "here", "version": "v1",
            "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 0, "models": models,
        });
        store.put("servers", id, entry);
        Ok(Self { connections })
    }

    /// The connections that have carried a request.
    pub fn connections(&self) -> Vec<Connection> {
        self.connections.borrow().clone()
    }
}

/// Reads the head of a request, and sends the answer until the caller closes the connection.
async fn serve(
    mut stream: TcpStream,
    name: &str,
    answer: Answer,
    record: &RefCell<Vec<Connection>>,
) -> io::Result<()> {
    let mut read = Vec::new();
    while !read.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut read).await? == 0 {
            return Ok(());
        }
    }
    let text = String::from_utf8_lossy(&read).to_lowercase();
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.unwrap_or_default().to_owned();
    let stamp = super::engine::response_stamp(name, &id);
    let index = record.borrow().len();
    record.borrow_mut().push(Connection {
        requests: 1,
        sent: 0,
        closed_after: None,
    });
    let (head, repeated) = answer.parts(&id, &stamp);
    let began = Instant::now();
    let (mut reader, mut writer) = stream.into_split();
    let send = async {
        writer.write_all(head.as_bytes()).await?;
        loop {
            writer.write_all(&repeated).await?;
            record.borrow_mut()[index].sent += repeated.len();
            sleep(answer.pause()).await;
        }
    };
    let receive = async {
        let mut buffer = vec![0; 4_096];
        loop {
            let count = reader.read(&mut buffer).await?;
            if count == 0 {
                return Ok(());
            }
            let more = buffer[..count]
                .windows(4)
                .filter(|bytes| *bytes == b"\r\n\r\n");
            record.borrow_mut()[index].requests += more.count();
        }
    };
    let ended: io::Result<()> = tokio::select! {
        ended = send => ended,
        ended = receive => ended,
    };
    record.borrow_mut()[index].closed_after = Some(began.elapsed());
    ended
}
