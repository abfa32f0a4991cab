//! Probe of an endpoint after a failed connection: whether its process has exited.

use pinereel::upstream::pool::Pool;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::TcpListener;

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

#[actix_rt::test]
async fn an_endpoint_without_a_listener_is_gone() {
    let (listener, address) = listener().await;
    drop(listener);
    assert!(Rc::new(Pool::default()).has_no_listener(address).await);
}

/// A lost or truncated response, or a reset, is no crash; the probe's connection enters the pool.
#[actix_rt::test]
async fn an_endpoint_that_listens_is_not_gone() {
    let (listener, address) = listener().await;
    let pool = Rc::new(Pool::default());
    assert!(!pool.has_no_listener(address).await);
    assert!(pool.has_idle(address));
    drop(listener);
}

/// An endpoint at its connection limit closes the next connection immediately, but is running.
#[actix_rt::test]
async fn an_endpoint_that_closes_connections_is_not_gone() {
    let (listener, address) = listener().await;
    let closing = actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            drop(stream);
        }
    });
    assert!(!Rc::new(Pool::default()).has_no_listener(address).await);
    closing.abort();
}

/// An exiting process closes its connections and its listener one after the other.
#[actix_rt::test]
async fn an_endpoint_that_is_exiting_is_gone() {
    let (listener, address) = listener().await;
    let pool = Rc::new(Pool::default());
    let end = async move {
        // The connection was accepted, and is closed together with the listener.
        let accepted = listener.accept().await;
        drop((accepted, listener));
    };
    let (gone, ()) = tokio::join!(pool.has_no_listener(address), end);
    assert!(gone);
}

/// As above, and the listener accepts one more connection before it closes.
#[actix_rt::test]
async fn an_exiting_endpoint_that_accepts_one_more_connection_is_gone() {
    let (listener, address) = listener().await;
    let pool = Rc::new(Pool::default());
    let end = async move {
        drop(listener.accept().await);
        let accepted = listener.accept().await;
        drop((accepted, listener));
    };
    let (gone, ()) = tokio::join!(pool.has_no_listener(address), end);
    assert!(gone);
}

/// An instance without power or behind a network partition: no response in time is no crash.
#[actix_rt::test]
async fn a_timeout_is_no_crash() {
    // The listener's backlog is full, so the next connection gets no response.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&address.into()).expect("a port");
    socket.listen(0).expect("a listening socket");
    let address = socket
        .local_addr()
        .expect("an address")
        .as_socket()
        .expect("an IP address");
    let mut streams = Vec::new();
    for _ in 0..3 {
        let stream = tokio::net::TcpStream::connect(address);
        let opened = tokio::time::timeout(Duration::from_millis(200), stream).await;
        streams.extend(opened.ok().and_then(Result::ok));
    }
    assert!(!Rc::new(Pool::default()).has_no_listener(address).await);
}
