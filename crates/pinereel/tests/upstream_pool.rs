//! Connection pool: when connections are reused, and which responses count as complete.

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use pinereel::upstream::pool::{Error, Pool, PooledRequest};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket},
    time::sleep,
};

/// Reaction of the fake server to one request of a connection.
#[derive(Clone, Copy)]
enum Reaction {
    /// Sends these bytes.
    Send(&'static str),
    /// Sends these bytes and closes.
    Close(&'static str),
    /// Sends these bytes and resets the connection.
    Reset(&'static str),
}

/// Starts a fake server that handles its nth connection by the nth script.
async fn server(scripts: Vec<Vec<Reaction>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        for script in scripts {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            actix_rt::spawn(async move {
                for reaction in script {
                    let mut buffer = [0; 1_024];
                    if stream.read(&mut buffer).await.is_err() {
                        return;
                    }
                    let (Reaction::Send(text) | Reaction::Close(text) | Reaction::Reset(text)) =
                        reaction;
                    let _ = stream.write_all(text.as_bytes()).await;
                    sleep(Duration::from_millis(20)).await;
                    match reaction {
                        Reaction::Send(_) => {}
                        Reaction::Close(_) => return,
                        Reaction::Reset(_) => {
                            let zero = Some(Duration::ZERO);
                            let _ = socket2::SockRef::from(&stream).set_linger(zero);
                            return;
                        }
                    }
                }
                sleep(Duration::from_secs(5)).await;
            });
        }
    });
    address
}

fn request(address: SocketAddr) -> PooledRequest {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    PooledRequest {
        address,
        id: None,
        reads_state: false,
        head,
        body: Bytes::from_static(b"hello"),
        reuse: true,
    }
}

async fn send_and_read(pool: &Rc<Pool>, address: SocketAddr) -> Result<String, String> {
    let response = pool.send(request(address)).await;
    let response = response.map_err(|error| error.to_string())?;
    let body = response.body.read_all().await;
    let body = body.map_err(|error| format!("cut: {error}"))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

const COMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[actix_rt::test]
async fn a_connection_is_reused_after_a_complete_response() {
    let address = server(vec![vec![
        Reaction::Send(COMPLETE_RESPONSE),
        Reaction::Send(COMPLETE_RESPONSE),
    ]])
    .await;
    let pool = Rc::new(Pool::default());
    for _ in 0..2 {
        assert_eq!(send_and_read(&pool, address).await, Ok("ok".into()));
    }
    assert_eq!(pool.opened_count(), 1);
}

#[actix_rt::test]
async fn a_connection_with_excess_bytes_is_not_reused() {
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let address = server(vec![
        vec![Reaction::Send(extra)],
        vec![Reaction::Send(COMPLETE_RESPONSE)],
    ])
    .await;
    let pool = Rc::new(Pool::default());
    for _ in 0..2 {
        assert_eq!(send_and_read(&pool, address).await, Ok("ok".into()));
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(pool.opened_count(), 2);
}

#[actix_rt::test]
async fn a_connection_with_a_close_header_is_not_reused() {
    let close = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let address = server(vec![
        vec![Reaction::Send(close)],
        vec![Reaction::Send(COMPLETE_RESPONSE)],
    ])
    .await;
    let pool = Rc::new(Pool::default());
    for _ in 0..2 {
        assert_eq!(send_and_read(&pool, address).await, Ok("ok".into()));
    }
    assert_eq!(pool.opened_count(), 2);
}

#[actix_rt::test]
async fn a_body_that_ends_before_its_length_is_truncated() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    for text in [short, chunked] {
        let address = server(vec![vec![Reaction::Close(text)]]).await;
        let answer = send_and_read(&Rc::new(Pool::default()), address).await;
        assert!(answer.is_err_and(|error| error.starts_with("cut")));
    }
}

#[actix_rt::test]
async fn a_body_without_a_length_ends_with_a_close_and_not_with_a_reset() {
    let bare = "HTTP/1.1 200 OK\r\n\r\nhello";
    let address = server(vec![
        vec![Reaction::Close(bare)],
        vec![Reaction::Reset(bare)],
    ])
    .await;
    let pool = Rc::new(Pool::default());
    assert_eq!(send_and_read(&pool, address).await, Ok("hello".into()));
    assert!(
        send_and_read(&pool, address)
            .await
            .is_err_and(|error| error.starts_with("cut"))
    );
}

#[actix_rt::test]
async fn an_error_on_an_idle_connection_differs_from_one_on_a_new_connection() {
    let address = server(vec![
        vec![Reaction::Send(COMPLETE_RESPONSE), Reaction::Close("")],
        vec![Reaction::Close("")],
    ])
    .await;
    let pool = Rc::new(Pool::default());
    assert_eq!(send_and_read(&pool, address).await, Ok("ok".into()));
    let stale = pool.send(request(address)).await.err();
    assert!(matches!(stale, Some(Error::Stale(_))), "{stale:?}");
    let lost = pool.send(request(address)).await.err();
    assert!(matches!(lost, Some(Error::Lost(_))), "{lost:?}");
    let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
    let refused = pool.send(request(closed_port)).await.err();
    assert!(matches!(refused, Some(Error::NotOpened(_))), "{refused:?}");
}

/// Failure: an interim response is taken for the final one, which then belongs to no request.
#[actix_rt::test]
async fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n\
                   HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
                   HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let address = server(vec![vec![
        Reaction::Send(interim),
        Reaction::Send(COMPLETE_RESPONSE),
    ]])
    .await;
    let pool = Rc::new(Pool::default());
    for _ in 0..2 {
        assert_eq!(send_and_read(&pool, address).await, Ok("ok".into()));
    }
    assert_eq!(pool.opened_count(), 1);
}

/// Failure: a status which HTTP does not define is taken for that of an answer.
#[actix_rt::test]
async fn an_undefined_status_is_no_answer() {
    for status in ["000", "001", "099", "00", "0000", "600", "799", "999"] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
        let text: &'static str = Box::leak(text.into());
        let script = vec![Reaction::Send(COMPLETE_RESPONSE), Reaction::Send(text)];
        let address = server(vec![script, vec![Reaction::Send(text)]]).await;
        let pool = Rc::new(Pool::default());
        assert_eq!(send_and_read(&pool, address).await, Ok("ok".into()));
        for _ in 0..2 {
            let answer = pool.send(request(address)).await.err();
            assert!(answer.is_some(), "{status}");
            assert!(!pool.has_idle(address), "{status}");
        }
    }
}

#[actix_rt::test]
async fn a_switch_of_protocols_and_endless_interim_responses_are_no_answer() {
    let switch = "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
    let endless: &'static str = Box::leak("HTTP/1.1 102 Processing\r\n\r\n".repeat(40).into());
    for text in [switch, endless] {
        let address = server(vec![vec![Reaction::Send(text)]]).await;
        let pool = Rc::new(Pool::default());
        let answer = pool.send(request(address)).await.err();
        assert!(matches!(answer, Some(Error::Lost(_))), "{answer:?}");
        assert!(!pool.has_idle(address));
    }
}

/// What a fake server does with a connection after it has answered the head of a request.
#[derive(Clone, Copy, Debug)]
enum EarlyEnd {
    /// Resets it, with the rest of the request unread.
    Reset,
    /// Ends its own direction, and reads the rest of the request.
    Finish,
}

/// Sends a request that does not fit into the buffers of a connection to a server that answers at once with
/// `text`; returns the body, or why there is none.
async fn answer_to_an_upload(text: &'static str, end: EarlyEnd) -> Result<String, String> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = vec![0; 65_536];
        let _ = stream.read(&mut buffer).await;
        stream.write_all(text.as_bytes()).await.expect("sent");
        match end {
            EarlyEnd::Reset => {
                sleep(Duration::from_millis(20)).await;
                stream.set_zero_linger().expect("an open socket");
            }
            EarlyEnd::Finish => {
                stream.shutdown().await.expect("an open socket");
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
            }
        }
    });
    let upload = PooledRequest {
        body: vec![b'u'; 16_000_000].into(),
        ..request(address)
    };
    let response = Rc::new(Pool::default()).send(upload).await;
    let body = response.map_err(|error| error.to_string())?.body;
    let body = body.read_all().await;
    let body = body.map_err(|error| format!("cut: {error}"))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Failure: the write of the request consumes the error of the reset, and the end of the connection after it
/// seems to be the end of the body.
#[actix_rt::test]
async fn a_body_without_a_length_is_truncated_if_the_request_could_not_be_written() {
    let bare = "HTTP/1.1 200 OK\r\n\r\nhello";
    let answer = answer_to_an_upload(bare, EarlyEnd::Reset).await;
    assert!(
        answer.as_ref().is_err_and(|error| error.starts_with("cut")),
        "{answer:?}"
    );
    let answer = answer_to_an_upload(bare, EarlyEnd::Finish).await;
    assert_eq!(answer, Ok("hello".into()));
}

#[actix_rt::test]
async fn a_framed_body_is_complete_although_the_request_could_not_be_written() {
    let with_length = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for text in [with_length, chunked] {
        let answer = answer_to_an_upload(text, EarlyEnd::Reset).await;
        assert_eq!(answer, Ok("hello".into()));
    }
}
