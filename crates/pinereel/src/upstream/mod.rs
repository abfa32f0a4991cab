//! HTTP clients for endpoints that tell whether a failed request may have run.
//!
//! The HTTP library reports a request that was lost on a reused connection with the same error as a
//! connection that could not be opened. Therefore a connector defined here opens all connections,
//! and only its error, which is marked, proves that no byte of an attempt was sent.
//!
//! [`Client`] pools connections and is for protocols that mark the end of a response themselves
//! (JSON documents, event streams with a last event). [`direct`] is for all others. [`pool`] is a
//! connection pool that also detects truncated bodies.

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
    Method, StatusCode, Uri,
    header::{HeaderName, HeaderValue},
};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError as TcpError, ConnectInfo, Connection};
use awc::{
    ClientRequest, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use status::is_final;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The library's own timeout around the connector; long enough never to expire first.
const LIBRARY_CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// TCP keep-alive: idle time before the first probe, and interval between probes. The operating
/// system counts it in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered TCP keep-alive probes after which the operating system closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Idle time after which a pooled connection is not reused; shorter than the idle timeout of usual
/// servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

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

/// Marks an error of the connector in this module.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct ConnectFailed(io::Error);

/// HTTP client with pooled and with single-use connections.
#[derive(Clone)]
pub struct Client {
    pooled: awc::Client,
    fresh: awc::Client,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client for the current thread.
    pub fn new() -> Self {
        Self {
            pooled: build_client(IDLE_TIMEOUT, Duration::from_secs(600)),
            fresh: build_client(Duration::ZERO, Duration::ZERO),
        }
    }

    /// Sends one attempt and waits for the response's head.
    pub async fn send(&self, attempt: Attempt) -> Result<ClientResponse, Error> {
        let client = match attempt.reuse {
            Reuse::Allowed => &self.pooled,
            Reuse::Fresh => &self.fresh,
        };
        let url = format!("http://{}{}", attempt.address, attempt.path);
        let mut request: ClientRequest =
            client.request(attempt.method, url).timeout(attempt.timeout);
        for header in attempt.headers {
            request = request.append_header(header);
        }
        let sent = if attempt.body.is_empty() {
            request.send().await
        } else {
            request.send_body(attempt.body).await
        };
        let response = sent.map_err(classify)?;
        match is_final(response.status()) {
            true => Ok(response),
            false => Err(Error::undefined(response.status())),
        }
    }
}

/// Converts the library's error; only a marked connector error proves that nothing was sent.
fn classify(error: SendRequestError) -> Error {
    match &error {
        SendRequestError::Connect(ConnectError::Io(io)) if is_connect_failure(io) => {
            Error::NotOpened(io.to_string())
        }
        SendRequestError::Url(_) | SendRequestError::Http(_) => Error::Invalid(error.to_string()),
        _ => Error::Lost(error.to_string()),
    }
}

fn is_connect_failure(error: &io::Error) -> bool {
    error
        .get_ref()
        .is_some_and(|inner| inner.is::<ConnectFailed>())
}

fn build_client(keep_alive: Duration, lifetime: Duration) -> awc::Client {
    let connector = Connector::new()
        .connector(fn_service(open_connection))
        .timeout(LIBRARY_CONNECT_TIMEOUT)
        .conn_keep_alive(keep_alive)
        .conn_lifetime(lifetime)
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Opens a connection to the IP address and port in the URI.
async fn open_connection(info: ConnectInfo<Uri>) -> Result<Connection<Uri, TcpStream>, TcpError> {
    let uri = info.request().clone();
    match connect(&uri).await {
        Ok(stream) => Ok(Connection::new(uri, stream)),
        Err(e) => Err(TcpError::Io(io::Error::other(ConnectFailed(e)))),
    }
}

async fn connect(uri: &Uri) -> io::Result<TcpStream> {
    let authority = uri
        .authority()
        .ok_or_else(|| io::Error::other("no address"))?;
    let address: SocketAddr = authority
        .as_str()
        .parse()
        .map_err(|_| io::Error::other(format!("{authority} is not IP:PORT")))?;
    connect_to(address).await
}

async fn connect_to(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
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
