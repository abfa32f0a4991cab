//! Whether anything listens at an endpoint's address.

use super::connect_to;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Longest wait for the answer to a connection that is opened to look.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A process that ends closes its connections and its listener one after the other: a connection that
/// was still taken is reset within so long.
const RESET_WAIT: Duration = Duration::from_millis(10);

/// Pauses before further looks while each connection is taken and reset. With one look 6 of 14 crashes were taken
/// for lost answers (two seeds of the soak beside a load of 14 on 8 cores).
const RETRY_DELAYS: [Duration; 3] = [
    Duration::from_millis(2),
    Duration::from_millis(5),
    Duration::from_millis(15),
];

/// What a look found.
#[derive(Debug)]
pub enum Probe {
    /// Somebody listens, and this is a connection to it.
    Listening(TcpStream),
    /// The address is reached, and nobody listens there.
    NotListening,
    /// A connection was taken and reset before it could be used: somebody listens, or is just ending.
    Reset,
    /// Neither is known: no answer in time.
    Unknown,
}

/// Whether the error says that the address is reached and nobody listens there.
fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Looks whether anybody listens at `address`.
pub async fn probe(address: SocketAddr) -> Probe {
    let mut found = connect(address).await;
    for pause in RETRY_DELAYS {
        match &found {
            Probe::Reset => {}
            Probe::Listening(stream) if is_closed(stream).await => {}
            _ => return found,
        }
        sleep(pause).await;
        found = connect(address).await;
    }
    found
}

/// Whether the endpoint at `IP:PORT` is gone: the address is reached, and nobody listens there.
pub async fn is_gone(address: &str) -> bool {
    match address.parse() {
        Ok(address) => matches!(probe(address).await, Probe::NotListening),
        Err(_) => false,
    }
}

async fn connect(address: SocketAddr) -> Probe {
    match timeout(CONNECT_TIMEOUT, connect_to(address)).await {
        Ok(Ok(stream)) => Probe::Listening(stream),
        Ok(Err(error)) if is_refused(&error) => Probe::NotListening,
        Ok(Err(_)) => Probe::Reset,
        Err(_) => Probe::Unknown,
    }
}

/// Whether a connection that was just opened is closed again.
async fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    match timeout(RESET_WAIT, stream.peek(&mut byte)).await {
        Ok(Ok(read)) => read == 0,
        Ok(Err(_)) => true,
        Err(_) => false,
    }
}
