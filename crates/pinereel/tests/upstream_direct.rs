//! HTTP client without a pool: a truncated response is never accepted as complete.

#![allow(clippy::unwrap_used)]

use actix_http::Method;
use pinereel::upstream::{Attempt, Error, Reuse, direct};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// Sends one request to a fake server that responds with `answer` and closes; returns status, body
/// and whether the body was complete.
async fn outcome(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 1024];
        let mut seen = 0;
        // Reads the head and the two bytes of the body.
        while !buffer[..seen].ends_with(b"\r\n\r\nhi") {
            seen += stream.read(&mut buffer[seen..]).await.unwrap();
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let attempt = Attempt {
        method: Method::POST,
        address,
        path: "/".into(),
        headers: Vec::new(),
        body: "hi".into(),
        timeout: Duration::from_secs(5),
        reuse: Reuse::Fresh,
    };
    let mut response = match direct::send(attempt).await {
        Ok(response) => response,
        Err(Error::Lost(_)) => return "lost".into(),
        Err(e) => return format!("{e}"),
    };
    let mut body = Vec::new();
    loop {
        match response.body.next_part().await {
            Ok(Some(part)) => body.extend_from_slice(&part),
            Ok(None) => break,
            Err(e) => return format!("{} {:?} cut: {:?}", response.status, body, e.kind()),
        }
    }
    format!(
        "{} {} whole",
        response.status,
        String::from_utf8(body).unwrap()
    )
}

#[actix_rt::test]
async fn only_a_response_with_its_announced_end_is_complete() {
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ngood",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ngood",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200",
        "",
    ];
    let mut lines = String::new();
    for case in cases {
        lines += &outcome(case).await;
        lines.push('\n');
    }
    insta::assert_snapshot!(lines, @"
    200 OK good whole
    200 OK [103, 111, 111, 100] cut: UnexpectedEof
    200 OK good whole
    200 OK [103, 111, 111, 100] cut: UnexpectedEof
    lost
    204 No Content  whole
    lost
    lost
    ");
}

/// Failure: a status which HTTP does not define is taken for that of a response.
#[actix_rt::test]
async fn a_response_without_a_final_status_is_lost() {
    let cases = [
        "HTTP/1.1 000 X\r\ncontent-length: 4\r\n\r\ngood",
        "HTTP/1.1 099 X\r\ncontent-length: 4\r\n\r\ngood",
        "HTTP/1.1 600 X\r\ncontent-length: 4\r\n\r\ngood",
        "HTTP/1.1 999 X\r\ncontent-length: 4\r\n\r\ngood",
    ];
    for case in cases {
        assert_eq!(outcome(case).await, "lost", "{case:?}");
    }
}

#[actix_rt::test]
async fn a_closed_port_is_reported_as_not_opened() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let attempt = Attempt {
        method: Method::GET,
        address,
        path: "/".into(),
        headers: Vec::new(),
        body: Default::default(),
        timeout: Duration::from_secs(5),
        reuse: Reuse::Fresh,
    };
    let error = direct::send(attempt).await.err().unwrap();
    assert!(matches!(error, Error::NotOpened(_)), "{error}");
}
