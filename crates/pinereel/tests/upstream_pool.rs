//! Connections that are kept: when they are used again, and what counts as a whole answer.

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use pinereel::upstream::pool::{Error, Pool, PooledRequest};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::sleep,
};

/// What the scripted server does with the requests of one connection, one after the other.
#[derive(Clone, Copy)]
enum Act {
    /// Sends these bytes.
    Say(&'static str),
    /// Sends these bytes and closes.
    Close(&'static str),
    /// Sends these bytes and resets the connection.
    Reset(&'static str),
}

/// A server that treats its nth connection by the nth script.
async fn server(scripts: Vec<Vec<Act>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        for script in scripts {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            actix_rt::spawn(async move {
                for act in script {
                    let mut buffer = [0; 1_024];
                    if stream.read(&mut buffer).await.is_err() {
                        return;
                    }
                    let (Act::Say(text) | Act::Close(text) | Act::Reset(text)) = act;
                    let _ = stream.write_all(text.as_bytes()).await;
                    sleep(Duration::from_millis(20)).await;
                    match act {
                        Act::Say(_) => {}
                        Act::Close(_) => return,
                        Act::Reset(_) => {
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

fn exchange(address: SocketAddr) -> PooledRequest {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    PooledRequest {
        address,
        head,
        body: Bytes::from_static(b"hello"),
        reuse: true,
    }
}

async fn whole(pool: &Rc<Pool>, address: SocketAddr) -> Result<String, String> {
    let response = pool.send(exchange(address)).await;
    let response = response.map_err(|error| error.to_string())?;
    let body = response.body.read_all().await;
    let body = body.map_err(|error| format!("cut: {error}"))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[actix_rt::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let address = server(vec![vec![Act::Say(GOOD), Act::Say(GOOD)]]).await;
    let pool = Rc::new(Pool::default());
    for _ in 0..2 {
        assert_eq!(whole(&pool, address).await, Ok("ok".into()));
    }
    assert_eq!(pool.opened_count(), 1);
}

#[actix_rt::test]
async fn one_that_sent_more_than_its_answer_is_not() {
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let address = server(vec![vec![Act::Say(extra)], vec![Act::Say(GOOD)]]).await;
    let pool = Rc::new(Pool::default());
    for _ in 0..2 {
        assert_eq!(whole(&pool, address).await, Ok("ok".into()));
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(pool.opened_count(), 2);
}

#[actix_rt::test]
async fn one_that_says_close_is_not() {
    let close = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let address = server(vec![vec![Act::Say(close)], vec![Act::Say(GOOD)]]).await;
    let pool = Rc::new(Pool::default());
    for _ in 0..2 {
        assert_eq!(whole(&pool, address).await, Ok("ok".into()));
    }
    assert_eq!(pool.opened_count(), 2);
}

#[actix_rt::test]
async fn a_body_that_ends_before_its_length_is_cut() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    for text in [short, chunked] {
        let address = server(vec![vec![Act::Close(text)]]).await;
        let answer = whole(&Rc::new(Pool::default()), address).await;
        assert!(answer.is_err_and(|why| why.starts_with("cut")));
    }
}

#[actix_rt::test]
async fn a_body_without_a_length_ends_with_a_close_and_not_with_a_reset() {
    let bare = "HTTP/1.1 200 OK\r\n\r\nhello";
    let address = server(vec![vec![Act::Close(bare)], vec![Act::Reset(bare)]]).await;
    let pool = Rc::new(Pool::default());
    assert_eq!(whole(&pool, address).await, Ok("hello".into()));
    assert!(
        whole(&pool, address)
            .await
            .is_err_and(|why| why.starts_with("cut"))
    );
}

#[actix_rt::test]
async fn a_break_on_an_idle_connection_is_told_from_one_on_a_fresh_connection() {
    let address = server(vec![
        vec![Act::Say(GOOD), Act::Close("")],
        vec![Act::Close("")],
    ])
    .await;
    let pool = Rc::new(Pool::default());
    assert_eq!(whole(&pool, address).await, Ok("ok".into()));
    let stale = pool.send(exchange(address)).await.err();
    assert!(matches!(stale, Some(Error::Stale(_))), "{stale:?}");
    let lost = pool.send(exchange(address)).await.err();
    assert!(matches!(lost, Some(Error::Lost(_))), "{lost:?}");
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let refused = pool.send(exchange(nobody)).await.err();
    assert!(matches!(refused, Some(Error::NotOpened(_))), "{refused:?}");
}
