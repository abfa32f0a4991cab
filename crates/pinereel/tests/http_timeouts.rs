//! Server timeouts: a connection on which a client sends no complete request head is closed, and
//! a slow response is never cut.

#![allow(clippy::unwrap_used)]

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::stream;
use pinereel::http::{Options, Server, event_stream, text};
use pinereel_api::problem::Code;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const HEAD_TIMEOUT: Duration = Duration::from_millis(700);
const KEEP_ALIVE: Duration = Duration::from_millis(700);
/// Bound of every wait in these tests; much longer than both timeouts.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const GET_LIVE: &[u8] = b"GET /live HTTP/1.1\r\nhost: e\r\n\r\n";

type RefusalCodes = Rc<RefCell<Vec<Code>>>;

/// Starts a server whose handler takes `handler_time`, and collects the codes of its refusals.
async fn start_server(handler_time: Duration) -> (Server, RefusalCodes) {
    start_server_with(HEAD_TIMEOUT, handler_time).await
}

async fn start_server_with(
    head_timeout: Duration,
    handler_time: Duration,
) -> (Server, RefusalCodes) {
    let options = Options {
        head_timeout,
        keep_alive: KEEP_ALIVE,
        ..Options::default()
    };
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handler = move |_| async move {
        sleep(handler_time).await;
        text(StatusCode::OK, "live\n")
    };
    let server = Server::start(socket, options, handler).await.unwrap();
    let codes = RefusalCodes::default();
    let recorded = Rc::clone(&codes);
    server.on_refusal(move |code| recorded.borrow_mut().push(code));
    (server, codes)
}

/// Whether the server closes the connection within `TEST_TIMEOUT`.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    timeout(TEST_TIMEOUT, read).await.is_ok()
}

async fn connect_and_send(server: &Server, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

#[actix_rt::test]
async fn an_incomplete_second_head_closes_the_connection() {
    let (server, codes) = start_server(Duration::ZERO).await;
    // The incomplete second head arrives together with the first request, or in its own write.
    let one_write = [GET_LIVE, b"GET /li"].concat();
    let mut one_write = connect_and_send(&server, &one_write).await;
    let mut two_writes = connect_and_send(&server, GET_LIVE).await;
    let mut status_line = [0; 15];
    two_writes.read_exact(&mut status_line).await.unwrap();
    two_writes.write_all(b"GET /li").await.unwrap();
    assert!(is_closed(&mut one_write).await);
    assert!(is_closed(&mut two_writes).await);
    // `actix-http` closes the second connection itself, without an error that could be reported.
    assert!(codes.borrow().contains(&Code::SlowSender));
}

#[actix_rt::test]
async fn a_slowly_sent_second_head_closes_the_connection() {
    let (server, _) = start_server(Duration::ZERO).await;
    let mut stream = connect_and_send(&server, GET_LIVE).await;
    let trickle = async {
        while stream.write_all(b"x").await.is_ok() {
            sleep(HEAD_TIMEOUT / 4).await;
        }
    };
    assert!(timeout(TEST_TIMEOUT, trickle).await.is_ok());
}

#[actix_rt::test]
async fn an_idle_connection_is_closed_without_a_refusal() {
    let (server, codes) = start_server(Duration::ZERO).await;
    let mut stream = connect_and_send(&server, GET_LIVE).await;
    assert!(is_closed(&mut stream).await);
    assert!(codes.borrow().is_empty());
}

#[actix_rt::test]
async fn a_response_slower_than_all_timeouts_is_complete() {
    let (server, codes) = start_server(2 * (HEAD_TIMEOUT + KEEP_ALIVE)).await;
    let mut stream = connect_and_send(&server, GET_LIVE).await;
    let mut status_line = [0; 15];
    stream.read_exact(&mut status_line).await.unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 200 OK");
    assert!(codes.borrow().is_empty());
}

#[actix_rt::test]
async fn a_stream_slower_than_all_timeouts_is_complete() {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let options = Options {
        head_timeout: HEAD_TIMEOUT,
        keep_alive: KEEP_ALIVE,
        ..Options::default()
    };
    let handler = move |_| async move {
        let events = stream::unfold(0, |number| async move {
            sleep(HEAD_TIMEOUT / 2).await;
            (number < 8).then(|| (Ok(Bytes::from_static(b"data: x\n\n")), number + 1))
        });
        event_stream(events)
    };
    let server = Server::start(socket, options, handler).await.unwrap();
    let mut stream = connect_and_send(&server, GET_LIVE).await;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    timeout(TEST_TIMEOUT, read).await.unwrap().unwrap();
    let text = String::from_utf8(bytes).unwrap();
    assert_eq!(text.matches("data: x").count(), 8);
    assert!(text.ends_with("0\r\n\r\n"), "{text}");
}

/// The clock of `actix-http` lags by up to half a second, so without an allowance a short head
/// timeout could end before it started.
#[actix_rt::test]
async fn a_complete_head_is_accepted_within_a_short_timeout() {
    let (server, codes) = start_server_with(Duration::from_millis(250), Duration::ZERO).await;
    for _ in 0..30 {
        let mut stream = connect_and_send(&server, b"GET /live HTTP/1.1\r\n").await;
        sleep(Duration::from_millis(20)).await;
        stream.write_all(b"host: e\r\n\r\n").await.unwrap();
        let mut status_line = [0; 15];
        stream.read_exact(&mut status_line).await.unwrap();
        assert_eq!(&status_line, b"HTTP/1.1 200 OK");
    }
    assert!(codes.borrow().is_empty());
}
