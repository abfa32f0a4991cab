//! Only a connection that could not be opened proves that a request did not run.

#![allow(clippy::unwrap_used)]

use actix_http::Method;
use pinereel::upstream::{Attempt, Client, Error, Reuse};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REDIRECT: &[u8] =
    b"HTTP/1.1 307 Temporary Redirect\r\nlocation: /again\r\ncontent-length: 0\r\n\r\n";

/// Connections and requests that the fake server received.
#[derive(Clone, Default)]
struct Counts {
    connections: Rc<Cell<u32>>,
    requests: Rc<Cell<u32>>,
}

fn attempt(address: &str, reuse: Reuse) -> Attempt {
    Attempt {
        method: Method::POST,
        address: address.into(),
        path: "/orders".into(),
        headers: Vec::new(),
        body: "order".into(),
        timeout: Duration::from_secs(5),
        reuse,
    }
}

/// Reads one request with a five-byte body; false at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut seen = Vec::new();
    let mut buffer = [0; 1024];
    while !seen.ends_with(b"order") {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return false,
            Ok(n) => seen.extend_from_slice(&buffer[..n]),
        }
    }
    true
}

/// Starts a fake server that answers the first `answered` requests of each connection with
/// `answer`, and closes the connection after it has read the next one.
async fn server(answered: u32, answer: &'static [u8]) -> (String, Counts) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let counts = Counts::default();
    let seen = counts.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            seen.connections.set(seen.connections.get() + 1);
            let seen = seen.clone();
            actix_rt::spawn(async move {
                let mut served = 0;
                while read_request(&mut stream).await {
                    seen.requests.set(seen.requests.get() + 1);
                    if served == answered {
                        return;
                    }
                    served += 1;
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    });
    (address, counts)
}

#[actix_rt::test]
async fn a_closed_port_is_reported_as_not_opened() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let result = Client::new()
        .send(attempt(&address, Reuse::Allowed))
        .await
        .err();
    assert!(matches!(result, Some(Error::NotOpened(_))), "{result:?}");
}

/// Failure: a request that is never sent is reported as one whose response was lost.
#[actix_rt::test]
async fn a_request_that_makes_no_uri_is_reported_as_invalid() {
    let (address, counts) = server(9, RESPONSE).await;
    let invalid = Attempt {
        path: "/orders/a b".into(),
        ..attempt(&address, Reuse::Fresh)
    };
    let result = Client::new().send(invalid).await.err();
    assert!(matches!(result, Some(Error::Invalid(_))), "{result:?}");
    assert_eq!(counts.requests.get(), 0);
}

#[actix_rt::test]
async fn a_request_lost_on_a_new_connection_is_reported_as_lost() {
    let (address, counts) = server(0, RESPONSE).await;
    let result = Client::new()
        .send(attempt(&address, Reuse::Fresh))
        .await
        .err();
    assert!(matches!(result, Some(Error::Lost(_))), "{result:?}");
    assert_eq!(counts.requests.get(), 1);
}

#[actix_rt::test]
async fn a_request_lost_on_a_reused_connection_is_reported_as_lost_and_sent_once() {
    let (address, counts) = server(1, RESPONSE).await;
    let client = Client::new();
    let first = client
        .send(attempt(&address, Reuse::Allowed))
        .await
        .unwrap();
    first.body.read_all().await.unwrap();
    let second = client.send(attempt(&address, Reuse::Allowed)).await.err();
    assert!(matches!(second, Some(Error::Lost(_))), "{second:?}");
    assert_eq!((counts.connections.get(), counts.requests.get()), (1, 2));
}

#[actix_rt::test]
async fn fresh_attempts_never_share_a_connection() {
    let (address, counts) = server(9, RESPONSE).await;
    let client = Client::new();
    for _ in 0..3 {
        let response = client.send(attempt(&address, Reuse::Fresh)).await.unwrap();
        response.body.read_all().await.unwrap();
    }
    assert_eq!((counts.connections.get(), counts.requests.get()), (3, 3));
}

#[actix_rt::test]
async fn a_redirect_is_returned_and_not_followed() {
    let (address, counts) = server(9, REDIRECT).await;
    let response = Client::new()
        .send(attempt(&address, Reuse::Fresh))
        .await
        .unwrap();
    assert_eq!(response.status.as_u16(), 307);
    assert_eq!(counts.requests.get(), 1);
}

/// Failure: a status which HTTP does not define is taken for that of a response, and an interim response for the
/// final one.
#[actix_rt::test]
async fn a_response_without_a_final_status_is_reported_as_lost() {
    for status in ["000", "099", "103", "600", "999"] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
        let (address, _) = server(9, Box::leak(text.into_bytes().into_boxed_slice())).await;
        let result = Client::new()
            .send(attempt(&address, Reuse::Fresh))
            .await
            .err();
        assert!(
            matches!(result, Some(Error::Lost(_))),
            "{status}: {result:?}"
        );
    }
}
