//! Servers that answer before they have read a request, and the clients of `pinereel entry`.

#![allow(clippy::unwrap_used)]

use actix_http::Method;
use pinereel::upstream::{Attempt, Client, Error, Reuse, direct};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpSocket,
    time::sleep,
};

/// Failure: the part of the response that has arrived when a server resets the connection, while the request is
/// still written, is taken for the whole response.
#[actix_rt::test]
async fn a_part_of_a_response_before_a_reset_is_not_complete() {
    let parts = [
        "HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.0 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
    ];
    for part in parts {
        for reuse in [Reuse::Allowed, Reuse::Fresh] {
            let address = resetting_server(part).await.to_string();
            let direct = direct::send(upload(address, reuse)).await;
            assert!(is_cut_directly(direct).await, "{part:?}");
            let address = resetting_server(part).await.to_string();
            let response = Client::new().send(upload(address, reuse)).await;
            let is_cut = match response {
                Ok(response) => response.body.read_all().await.is_err(),
                Err(error) => matches!(error, Error::Lost(_)),
            };
            assert!(is_cut, "{part:?}, {reuse:?}");
        }
    }
}

async fn is_cut_directly(response: Result<direct::Response, Error>) -> bool {
    let mut body = match response {
        Ok(response) => response.body,
        Err(error) => return matches!(error, Error::Lost(_)),
    };
    loop {
        match body.next_part().await {
            Ok(Some(_)) => {}
            Ok(None) => return false,
            Err(_) => return true,
        }
    }
}

/// Starts a server with small buffers that answers the first bytes of a request with `part`, and resets the
/// connection.
async fn resetting_server(part: &'static str) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1_024]).await;
        stream.write_all(part.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(20)).await;
        stream.set_zero_linger().unwrap();
    });
    address
}

/// A request that does not fit into the buffers of a connection.
fn upload(address: String, reuse: Reuse) -> Attempt {
    Attempt {
        method: Method::POST,
        address,
        path: "/".into(),
        headers: Vec::new(),
        body: vec![b'u'; 16_000_000].into(),
        timeout: Duration::from_secs(5),
        reuse,
    }
}
