//! Reads request bodies with a size limit, a timeout, and within the memory of the process.

use super::{Request, connection::Connection};
use crate::memory::{Buffer, Kind, Memory, Reservation};
use actix_http::{HttpMessage as _, Payload, header::CONTENT_LENGTH};
use bytes::Bytes;
use futures_util::StreamExt as _;
use pinereel_api::{
    Problem,
    problem::{Code, Ran},
};
use pinereel_core::memory::{Full, MAX_SMALL_BYTES};
use serde::de::DeserializeOwned;
use std::{rc::Rc, time::Duration};

/// Bytes that are read ahead of a body's reader.
pub(super) const WINDOW_BYTES: usize = 16 << 10;
/// The same for a short body in chunks.
const SMALL_CHUNKED_WINDOW_BYTES: usize = 4 << 10;
/// Memory of a request in progress besides its connection and its body, in bytes.
const REQUEST_BYTES: usize = 24 << 10;
/// Bytes of the smallest chunk, with its framing.
const MIN_CHUNK_BYTES: usize = 6;
/// Time after which a caller should send a request again whose body found no memory. By then, a body whose
/// sender has stalled gives way to it.
pub const NO_MEMORY_RETRY_AFTER: Duration = pinereel_core::memory::STALL_TIMEOUT;

/// Why a request body could not be read. The request has not been executed in any of these cases.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body exceeds the limit, which is given in bytes.
    #[error("body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body was not complete within the timeout.
    #[error("body was not complete within {0:?}")]
    Timeout(Duration),
    /// There is no memory for the body, or it was given up for others.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The connection failed or the transfer encoding is invalid.
    #[error("body could not be read: {0}")]
    Read(String),
    /// The body is not JSON of the expected type.
    #[error("malformed JSON: {0}")]
    Json(serde_json::Error),
}

impl From<Full> for Error {
    fn from(Full: Full) -> Self {
        Self::NoMemory
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        let code = match error {
            Error::TooLarge(_) => Code::TooLarge,
            Error::Timeout(_) => Code::SlowSender,
            Error::NoMemory => Code::Overloaded,
            Error::Read(_) | Error::Json(_) => Code::BadRequest,
        };
        let retry_after = matches!(error, Error::NoMemory).then_some(NO_MEMORY_RETRY_AFTER);
        Self {
            code,
            message: error.to_string().into(),
            ran: Ran::NotRun,
            retry_after_ms: retry_after.map(|delay| delay.as_millis() as u64),
        }
    }
}

/// How a body is received: how far its connection is read ahead, and what that takes.
struct Intake {
    connection: Option<Rc<Connection>>,
    is_chunked: bool,
}

impl Intake {
    /// Begins to receive a body of at most `max_length` bytes.
    fn open(&self, max_length: usize) -> Reservation {
        let parent = self.connection.as_ref().map(|c| c.reservation());
        let memory = parent.map_or_else(Memory::default, |parent| parent.memory().clone());
        memory.open_body(Kind::Upload(parent.map(Reservation::key)), max_length)
    }

    /// Makes room for a body of `length` bytes before it is read.
    fn reserve(&self, body: &Reservation, length: usize) -> Result<(), Full> {
        body.grow_to(Buffer::bytes_for(length) + self.overhead(length))?;
        self.set_window(length);
        Ok(())
    }

    /// Appends a part, after which the body has `length` bytes.
    fn append(&self, body: &mut Reservation, part: &[u8], length: usize) -> Result<(), Full> {
        body.append(part, self.overhead(length))?;
        self.set_window(length);
        Ok(())
    }

    fn set_window(&self, length: usize) {
        if let Some(connection) = &self.connection {
            connection.set_body_window(self.window(length));
        }
    }

    /// Bytes that may be read ahead of a body of which `length` bytes are known.
    const fn window(&self, length: usize) -> usize {
        if self.is_chunked && length <= MAX_SMALL_BYTES {
            SMALL_CHUNKED_WINDOW_BYTES
        } else {
            WINDOW_BYTES
        }
    }

    /// Memory of the request and of the library's queue, which keeps a handle for each chunk.
    const fn overhead(&self, length: usize) -> usize {
        if !self.is_chunked {
            return REQUEST_BYTES;
        }
        let chunks = self.window(length) / MIN_CHUNK_BYTES;
        // The queue doubles as it grows, and the heap keeps what it leaves.
        REQUEST_BYTES + 2 * chunks.next_power_of_two() * size_of::<Bytes>()
    }
}

/// Reads a whole body of at most `max_bytes` within `timeout`. Its memory counts until all copies of the
/// returned bytes are dropped.
///
/// # Errors
/// A body that is announced as longer than `max_bytes` is refused before it is read.
pub async fn read_body(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Error> {
    let announced = announced_length(request);
    if announced.is_some_and(|length| length > max_bytes as u64) {
        return Err(Error::TooLarge(max_bytes));
    }
    let announced = announced.map(|length| length as usize);
    let mut payload = request.take_payload();
    if matches!(payload, Payload::None) {
        return Ok(Bytes::new());
    }
    let intake = Intake {
        connection: request.conn_data::<Rc<Connection>>().cloned(),
        is_chunked: announced.is_none(),
    };
    let reservation = intake.open(announced.unwrap_or(max_bytes));
    let append_parts = async |body: &mut Reservation| {
        intake.reserve(body, announced.unwrap_or_default())?;
        let mut length = 0;
        while let Some(part) = payload.next().await {
            let part = part.map_err(|e| Error::Read(e.to_string()))?;
            length += part.len();
            if length > max_bytes {
                return Err(Error::TooLarge(max_bytes));
            }
            intake.append(body, &part, length)?;
        }
        Ok(())
    };
    let receive = reservation.receive(Error::from, append_parts);
    tokio::time::timeout(timeout, receive)
        .await
        .unwrap_or(Err(Error::Timeout(timeout)))
}

/// Length that the head of a request announces for its body.
fn announced_length(request: &Request) -> Option<u64> {
    let length = request.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

/// Reads a JSON body of at most `max_bytes` within `timeout`.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<T, Error> {
    let connection = request.conn_data::<Rc<Connection>>().cloned();
    let body = read_body(request, max_bytes, timeout).await?;
    let memory = connection.map(|connection| connection.reservation().memory().clone());
    let _parsed = memory
        .map(|memory| memory.reserve(body.len()))
        .transpose()?;
    serde_json::from_slice(&body).map_err(Error::Json)
}
