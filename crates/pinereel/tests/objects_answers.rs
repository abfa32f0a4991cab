//! Answers of the object API that are cut: none is taken for a whole one.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel::{
    objects::{Access, Client, Error, Options, Purpose},
    state::Clock,
};
use pinereel_port::store::Request;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// How the fake API ends the connection after its answer.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// Makes a call to a fake API that answers with these bytes.
async fn call(answer: &'static str, end: End) -> Result<(StatusCode, Bytes), Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            if matches!(end, End::Reset) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                stream.set_zero_linger().expect("an open socket");
            }
        }
    });
    let options = Options {
        address,
        agent: "test".into(),
        max_concurrency: 4,
        timeout: Duration::from_secs(2),
        reads_per_second: 100.0,
        writes_per_second: 100.0,
    };
    let client = Client::new(options, Clock::new());
    let request = Request {
        method: Method::GET,
        path: "/objects/leases".into(),
        body: Bytes::new(),
    };
    let wait = Duration::ZERO;
    let answer = client.exchange(Purpose::Leases, Access::Read, request, wait);
    answer.await
}

/// Failure: the body that has arrived, or an empty one, is taken for the whole answer, and the missing object for
/// one that does not exist.
#[actix_rt::test]
async fn a_cut_answer_has_an_unknown_outcome() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}", End::Close),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}", End::Reset),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", End::Close),
        (
            "HTTP/1.1 404 Not Found\r\ncontent-length: 9\r\n\r\n",
            End::Close,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
            End::Close,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            End::Close,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", End::Reset),
        ("HTTP/1.1 200 OK\r\n\r\n{}", End::Reset),
        ("HTTP/1.0 200 OK\r\n\r\n{}", End::Reset),
    ];
    let mut accepted = Vec::new();
    for (answer, end) in cases {
        let result = call(answer, end).await;
        if !matches!(result, Err(Error::Unknown(_))) {
            accepted.push(format!("{answer:?}, {end:?}: {result:?}"));
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

#[actix_rt::test]
async fn a_whole_answer_is_returned() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", End::Close),
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", End::Reset),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            End::Close,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n{}", End::Close),
        (
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            End::Close,
        ),
    ];
    for (answer, end) in cases {
        let result = call(answer, end).await;
        let expected = Ok((StatusCode::OK, Bytes::from_static(b"{}")));
        assert_eq!(result, expected, "{answer:?}, {end:?}");
    }
}
