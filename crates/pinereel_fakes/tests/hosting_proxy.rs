//! The loopback proxy of the hosting fakes: which closed connections count as unanswered requests.

#![allow(clippy::unwrap_used)]

use pinereel_fakes::hosting::proxy::Proxy;
use std::{net::Ipv4Addr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// Time for the proxy to observe the end of a connection.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Starts a proxy to a server, and opens a connection through it on which the server has received
/// [`REQUEST`]. Returns the proxy and both ends of the connection.
async fn send_request() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let mut client = TcpStream::connect(proxy.address).await.unwrap();
    client.write_all(REQUEST).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let mut received = [0; REQUEST.len()];
    server.read_exact(&mut received).await.unwrap();
    (proxy, client, server)
}

#[actix_rt::test]
async fn a_server_that_closes_before_it_answers_is_recorded() {
    let (proxy, _client, server) = send_request().await;
    drop(server);
    sleep(SETTLE_TIME).await;
    assert_eq!(proxy.unanswered_closes().len(), 1);
}

#[actix_rt::test]
async fn a_later_request_on_a_connection_is_recorded_as_well() {
    let (proxy, mut client, mut server) = send_request().await;
    let mut bytes = [0; REQUEST.len()];
    server.write_all(REQUEST).await.unwrap();
    client.read_exact(&mut bytes).await.unwrap();
    client.write_all(REQUEST).await.unwrap();
    server.read_exact(&mut bytes).await.unwrap();
    drop(server);
    sleep(SETTLE_TIME).await;
    assert_eq!(proxy.unanswered_closes().len(), 1);
}

/// Callers that gave up after a stall of the machine were taken for requests that an instance had
/// left unanswered in its graceful shutdown.
#[actix_rt::test]
async fn a_client_that_gives_up_is_not_recorded_as_unanswered() {
    let (proxy, client, mut server) = send_request().await;
    drop(client);
    let mut rest = Vec::new();
    // The server closes the connection once it has read the end.
    server.read_to_end(&mut rest).await.unwrap();
    drop(server);
    sleep(SETTLE_TIME).await;
    assert_eq!(proxy.unanswered_closes(), []);
}
