//! HTTP clients for endpoints that tell whether a failed request may have run.
//!
//! Only a connection that could not be opened proves that no byte of an attempt was sent. All clients detect
//! truncated bodies and reject heads that HTTP does not allow.
//!
//! [`pool`] is a connection pool, [`Client`] sends attempts over it, and [`direct`] opens a connection for each
//! attempt and also rejects bodies that only the connection's end delimits.

pub mod direct;
pub mod ejected;
mod final_head;
mod metered;
pub mod pool;
pub mod probe;
mod status;
mod strict_codec;
mod until_close;

use actix_http::{
    Method, RequestHead, StatusCode, Uri,
    header::{HOST, HeaderName, HeaderValue},
};
use bytes::Bytes;
use pool::{Pool, PooledRequest, Response};
use std::{io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// TCP keep-alive: idle time before the first probe, and interval between probes. The operating
/// system counts it in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered TCP keep-alive probes after which the operating system closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Why an attempt has no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection for this attempt could not be opened: no byte of it was sent.
    #[error("connection not opened: {0}")]
    NotOpened(String),
    /// Bytes may have been sent and no response was received: the attempt may have run.
    #[error("no response: {0}")]
    Lost(String),
    /// The request is invalid: nothing was sent.
    #[error("invalid request: {0}")]
    Invalid(String),
}

impl From<pool::Error> for Error {
    fn from(error: pool::Error) -> Self {
        match error {
            pool::Error::NotOpened(error) => Self::NotOpened(error.to_string()),
            pool::Error::Undefined(status) => Self::undefined(status),
            error => Self::Lost(error.to_string()),
        }
    }
}

impl Error {
    /// The error of a response whose status is not that of a final response of HTTP.
    fn undefined(status: StatusCode) -> Self {
        Self::Lost(format!("no final status: {status}"))
    }
}

/// Whether an attempt may use a connection that has served another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A pooled connection may be used: the attempt may be repeated.
    Allowed,
    /// A new connection is opened for this attempt only.
    Fresh,
}

/// One attempt at one endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Method of the request.
    pub method: Method,
    /// `IP:PORT` of the endpoint.
    pub address: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body of the request.
    pub body: Bytes,
    /// Maximum wait for the response's head.
    pub timeout: Duration,
    /// Whether a pooled connection may be used.
    pub reuse: Reuse,
}

impl Attempt {
    fn uri(&self) -> Result<Uri, Error> {
        let uri = format!("http://{}{}", self.address, self.path);
        uri.parse()
            .map_err(|error| Error::Invalid(format!("{error}")))
    }

    /// Head of the request to `uri`.
    fn head(&self, uri: Uri) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = uri;
        for (name, value) in &self.headers {
            head.headers.append(name.clone(), value.clone());
        }
        if let Ok(host) = HeaderValue::from_str(&self.address) {
            head.headers.insert(HOST, host);
        }
        head
    }
}

/// HTTP client with pooled and with single-use connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Rc<Pool>,
}

impl Client {
    /// Creates a client for the current thread.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends one attempt and waits for the response's head.
    ///
    /// # Errors
    /// [`Error::NotOpened`] only if no byte of the attempt was sent.
    pub async fn send(&self, attempt: Attempt) -> Result<Response, Error> {
        let uri = attempt.uri()?;
        let address = socket_address(&uri).map_err(|e| Error::NotOpened(e.to_string()))?;
        let pool = match attempt.reuse {
            Reuse::Allowed => Rc::clone(&self.pool),
            // The connection is closed with the response, which holds its pool.
            Reuse::Fresh => Rc::default(),
        };
        let request = PooledRequest {
            address,
            id: None,
            reads_state: false,
            head: attempt.head(uri),
            body: attempt.body,
            reuse: true,
        };
        match timeout(attempt.timeout, pool.send(request)).await {
            Ok(sent) => Ok(sent?),
            Err(_) => Err(Error::Lost("timeout".into())),
        }
    }
}

async fn connect(uri: &Uri) -> io::Result<TcpStream> {
    connect_to(socket_address(uri)?).await
}

/// IP address and port in a URI.
fn socket_address(uri: &Uri) -> io::Result<SocketAddr> {
    let authority = uri.authority();
    let authority = authority.ok_or_else(|| io::Error::other("no address"))?;
    let address = authority.as_str().parse();
    address.map_err(|_| io::Error::other(format!("{authority} is not IP:PORT")))
}

async fn connect_to(address: SocketAddr) -> io::Result<TcpStream> {
    connect_within(address, CONNECT_TIMEOUT).await
}

async fn connect_within(address: SocketAddr, max_wait: Duration) -> io::Result<TcpStream> {
    let stream = timeout(max_wait, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    set_keepalive(&stream)?;
    Ok(stream)
}

/// Makes the operating system close a connection whose peer does not respond. Otherwise a pending
/// request on such a connection would wait for its full timeout.
fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(KEEPALIVE_INTERVAL * KEEPALIVE_PROBES))
}
