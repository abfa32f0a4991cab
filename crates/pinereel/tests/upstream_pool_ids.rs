//! Connection pool whose peers name the request in each response: which connections carry an id again, and
//! what becomes of responses to other requests.

use actix_http::{
    Method, RequestHead,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use pinereel::upstream::pool::{Error, Pool, PooledRequest};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::sleep,
};

const ID: HeaderName = HeaderName::from_static("x-id");

fn read_id(headers: &HeaderMap) -> Option<&str> {
    headers.get(ID)?.to_str().ok()
}

/// Starts a server that answers the nth request of each connection with the nth of these texts.
async fn server(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                for answer in answers {
                    let mut buffer = [0; 1_024];
                    if stream.read(&mut buffer).await.is_err() {
                        return;
                    }
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
                sleep(Duration::from_secs(5)).await;
            });
        }
    });
    address
}

/// Sends a request; returns the status and the body of the response.
async fn send(
    pool: &Rc<Pool>,
    address: SocketAddr,
    id: Option<&'static str>,
) -> Result<(u16, String), Error> {
    send_as(pool, address, id, false).await
}

async fn send_as(
    pool: &Rc<Pool>,
    address: SocketAddr,
    id: Option<&'static str>,
    reads_state: bool,
) -> Result<(u16, String), Error> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    if let Some(id) = id {
        head.headers.insert(ID, HeaderValue::from_static(id));
    }
    let request = PooledRequest {
        address,
        id: id.map(Into::into),
        reads_state,
        head,
        body: Bytes::new(),
        reuse: true,
    };
    let response = pool.send(request).await?;
    let status = response.status.as_u16();
    let body = response.body.read_all().await.expect("a whole body");
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

fn pool() -> Rc<Pool> {
    Rc::new(Pool::matching_ids(read_id))
}

const OK_A: &str = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 2\r\n\r\nok";
const OK_B: &str = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 2\r\n\r\nok";
const ERROR_A: &str = "HTTP/1.1 500 Internal Server Error\r\nx-id: a\r\ncontent-length: 0\r\n\r\n";
const NO_ID: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[actix_rt::test]
async fn a_connection_is_reused_for_another_id() {
    let address = server(&[OK_A, OK_B]).await;
    let pool = pool();
    for id in ["a", "b"] {
        let answer = send(&pool, address, Some(id)).await;
        assert_eq!(answer.expect("answered"), (200, "ok".into()));
    }
    assert_eq!(pool.opened_count(), 1);
}

/// Failure: a late copy of the response to a request is taken for the response to its next send.
#[actix_rt::test]
async fn a_repeated_id_uses_a_connection_that_has_not_carried_it() {
    let address = server(&[ERROR_A, ERROR_A]).await;
    let pool = pool();
    for opened in 1..=3 {
        let answer = send(&pool, address, Some("a")).await;
        assert_eq!(answer.expect("answered"), (500, String::new()));
        assert_eq!(pool.opened_count(), opened);
    }
}

/// Failure: a response to another request has no body, so that its connection returns to the pool although
/// the response to the current request is still to come.
#[actix_rt::test]
async fn a_response_to_another_request_closes_its_connection() {
    let address = server(&[OK_B, ERROR_A]).await;
    let pool = pool();
    send(&pool, address, Some("b")).await.expect("answered");
    let foreign = send(&pool, address, Some("c")).await;
    assert!(matches!(foreign, Err(Error::Foreign)), "{foreign:?}");
    assert!(!pool.has_idle(address));
}

/// Failure: a copy of a response without an id is taken for the response to any later request.
#[actix_rt::test]
async fn a_connection_is_not_reused_after_a_response_without_an_id() {
    let address = server(&[NO_ID, NO_ID]).await;
    let pool = pool();
    for (number, id) in [Some("a"), Some("b"), None, None].into_iter().enumerate() {
        let answer = send(&pool, address, id).await;
        assert_eq!(answer.expect("answered"), (200, "ok".into()));
        assert_eq!(pool.opened_count(), number as u64 + 1);
        assert!(!pool.has_idle(address));
    }
}

/// Failure: reads of a state whose responses have no id open a connection each, or share one with requests that
/// a copy of their responses would answer.
#[actix_rt::test]
async fn reads_of_a_state_share_a_connection_of_their_own() {
    let address = server(&[NO_ID, NO_ID, NO_ID]).await;
    let pool = pool();
    for id in ["a", "b", "c"] {
        let answer = send_as(&pool, address, Some(id), true).await;
        assert_eq!(answer.expect("answered"), (200, "ok".into()));
        assert_eq!(pool.opened_count(), 1);
    }
    send(&pool, address, Some("d")).await.expect("answered");
    assert_eq!(pool.opened_count(), 2);
}
