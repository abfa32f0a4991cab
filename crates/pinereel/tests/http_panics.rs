//! A request handler that panics harms no other connection.

#![allow(clippy::unwrap_used)]

use actix_http::StatusCode;
use pinereel::http::{Options, Request, Server, text};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Bound of every wait in these tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONNECTIONS: usize = 4;

/// Sends one request and returns all that the server sends until it closes the connection.
async fn get(server: &Server, path: &str) -> String {
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A connection that is reset gives an error after what was received.
    let read = stream.read_to_end(&mut bytes);
    let _ = timeout(TEST_TIMEOUT, read).await.unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The connection of a handler that panicked counted as open for good. After `max_connections` panics, the
/// listener closed each new connection.
#[actix_rt::test]
async fn a_connection_whose_handler_panics_is_not_counted_as_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let options = Options {
        max_connections: MAX_CONNECTIONS,
        ..Options::default()
    };
    let handler = |request: Request| async move {
        assert_ne!(request.path(), "/panic", "provoked by the test");
        text(StatusCode::OK, "live\n")
    };
    let server = Server::start(listener, options, handler).await.unwrap();
    for _ in 0..MAX_CONNECTIONS {
        get(&server, "/panic").await;
    }
    let answer = get(&server, "/live").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert_eq!(server.refused_connections(), 0);
}
