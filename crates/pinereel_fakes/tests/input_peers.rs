//! Invalid input on the peers' listener: the link is refused or closed, and callers' requests
//! succeed.

#![allow(clippy::unwrap_used)]

mod input_support;

use futures_util::{SinkExt as _, StreamExt as _};
use input_support::{
    assert_completion_succeeds, connect_and_send, raw_post, raw_request, read_until_closed,
    refusal_metrics, response_to, start_site, status_and_body,
};
use pinereel_api::wire::{Frame, Hello, MAX_FRAME_BYTES, PROTOCOL};
use pinereel_fakes::site::{PEER_SECRET, Site};
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, client_async,
    tungstenite::{Message, client::IntoClientRequest as _},
};

/// Timeout for the entry to close a link; longer than the entry's own timeout for a silent link.
const LINK_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

fn peers_address(site: &Site) -> SocketAddr {
    site.entries[0].peers
}

/// The first frame of a link, with this protocol version.
fn hello_frame(protocol: u16) -> Vec<u8> {
    let hello = Hello {
        protocol,
        name: "stranger".into(),
        incarnation: 1,
        zone: "erie-hall".into(),
    };
    Frame::Hello(hello).encode().unwrap()
}

/// Opens a WebSocket to the peers' listener with the valid secret.
async fn open_websocket(site: &Site) -> WebSocketStream<TcpStream> {
    let address = peers_address(site);
    let mut request = format!("ws://{address}/peer")
        .into_client_request()
        .unwrap();
    let secret = PEER_SECRET.parse().unwrap();
    request.headers_mut().insert("authorization", secret);
    let stream = TcpStream::connect(address).await.unwrap();
    client_async(request, stream).await.unwrap().0
}

/// Opens a link, sends messages, and checks that the entry closes the link.
async fn assert_link_closed_after(site: &Site, messages: Vec<Message>) {
    let mut socket = open_websocket(site).await;
    for message in messages {
        // The entry may have closed the link already.
        let _ = socket.send(message).await;
    }
    let read = async { while let Some(Ok(_)) = socket.next().await {} };
    timeout(LINK_CLOSE_TIMEOUT, read)
        .await
        .expect("the link was not closed in time");
}

#[actix_rt::test]
async fn a_link_without_the_secret_is_refused() {
    let site = start_site().await;
    let upgrade = [
        "connection: Upgrade",
        "upgrade: websocket",
        "sec-websocket-version: 13",
        "sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==",
    ];
    let mut lines = Vec::new();
    for secret in ["", "authorization: someone-else"] {
        let headers = upgrade
            .iter()
            .copied()
            .chain((!secret.is_empty()).then_some(secret));
        let request_line_and_host = "GET /peer HTTP/1.1\r\nhost: e\r\n";
        let head = headers.collect::<Vec<_>>().join("\r\n");
        let bytes = format!("{request_line_and_host}{head}\r\n\r\n");
        lines.push(response_to(peers_address(&site), bytes.as_bytes()).await);
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    401
    401
    ");
    insta::assert_snapshot!(refusal_metrics(&site, 2).await, @r#"pinereel_refused_total{code="unauthorized"} 2"#);
    assert!(site.entries[0].shared.mesh.linked_peers().is_empty());
    assert_completion_succeeds(&site).await;
}

#[actix_rt::test]
async fn invalid_frames_close_the_link() {
    let site = start_site().await;
    let valid = || Message::Binary(hello_frame(PROTOCOL).into());
    let invalid = |bytes: &[u8]| Message::Binary(bytes.to_vec().into());
    // In turn: a frame that is not CBOR, such a frame after a valid first one, an unknown protocol
    // version, a text message, a too large frame, and a second hello.
    assert_link_closed_after(&site, vec![invalid(b"\xff\xff\xff")]).await;
    assert_link_closed_after(&site, vec![valid(), invalid(b"slot for June")]).await;
    assert_link_closed_after(
        &site,
        vec![Message::Binary(hello_frame(PROTOCOL + 1).into())],
    )
    .await;
    assert_link_closed_after(&site, vec![valid(), Message::Text("slot".into())]).await;
    assert_link_closed_after(&site, vec![valid(), invalid(&vec![0; MAX_FRAME_BYTES + 1])]).await;
    assert_link_closed_after(&site, vec![valid(), valid()]).await;
    assert!(site.entries[0].shared.mesh.linked_peers().is_empty());
    insta::assert_snapshot!(refusal_metrics(&site, 6).await, @r#"pinereel_refused_total{code="bad_request"} 6"#);
    assert_completion_succeeds(&site).await;
}

#[actix_rt::test]
async fn connections_without_a_websocket_handshake_are_closed() {
    let site = start_site().await;
    // These two are only closed after the timeout for the handshake, so they are opened first.
    let mut silent = connect_and_send(peers_address(&site), b"").await;
    let mut incomplete =
        connect_and_send(peers_address(&site), b"GET /peer HTTP/1.1\r\nhost: e\r\n").await;
    let plain = response_to(
        peers_address(&site),
        &raw_request("GET /metrics HTTP/1.1", &[], ""),
    )
    .await;
    let json = response_to(peers_address(&site), &raw_post("/v1/lots", "{}")).await;
    assert_completion_succeeds(&site).await;
    let (silent, incomplete) = (
        read_until_closed(&mut silent).await,
        read_until_closed(&mut incomplete).await,
    );
    let responses = [
        plain,
        json,
        status_and_body(&silent),
        status_and_body(&incomplete),
    ]
    .join("\n");
    insta::assert_snapshot!(responses, @r"
    closed
    closed
    closed
    closed
    ");
    insta::assert_snapshot!(refusal_metrics(&site, 4).await, @r#"
    pinereel_refused_total{code="bad_request"} 2
    pinereel_refused_total{code="slow_sender"} 2
    "#);
}
