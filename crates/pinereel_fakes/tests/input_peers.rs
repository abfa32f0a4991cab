//! Bad input on the peers' listener: the link is refused or closed, others are undisturbed.

#![allow(clippy::unwrap_used)]

mod input;

use futures_util::{SinkExt as _, StreamExt as _};
use input::{answer, post, refusals, request, rest, send, site, summary, undisturbed};
use pinereel_api::wire::{Frame, Hello, MAX_FRAME_BYTES, PROTOCOL};
use pinereel_fakes::site::{PEER_SECRET, Site};
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, client_async,
    tungstenite::{Message, client::IntoClientRequest as _},
};

/// Longest wait until a link is closed: more than the wait for a silent one.
const WAIT: Duration = Duration::from_secs(10);

fn peers(site: &Site) -> SocketAddr {
    site.entries[0].peers
}

fn hello(protocol: u16) -> Vec<u8> {
    let hello = Hello {
        protocol,
        name: "stranger".into(),
        incarnation: 1,
        zone: "erie-hall".into(),
    };
    Frame::Hello(hello).encode().unwrap()
}

/// A websocket to the peers' listener, opened with the right secret.
async fn open(site: &Site) -> WebSocketStream<TcpStream> {
    let address = peers(site);
    let mut request = format!("ws://{address}/peer")
        .into_client_request()
        .unwrap();
    let secret = PEER_SECRET.parse().unwrap();
    request.headers_mut().insert("authorization", secret);
    let stream = TcpStream::connect(address).await.unwrap();
    client_async(request, stream).await.unwrap().0
}

/// Sends messages and waits until the entry closes the link.
async fn closed_after(site: &Site, messages: Vec<Message>) {
    let mut socket = open(site).await;
    for message in messages {
        // The entry may have closed already.
        let _ = socket.send(message).await;
    }
    let read = async { while let Some(Ok(_)) = socket.next().await {} };
    timeout(WAIT, read).await.expect("the link is closed");
}

#[actix_rt::test]
async fn without_the_secret_there_is_no_link() {
    let site = site().await;
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
        let lead = "GET /peer HTTP/1.1\r\nhost: e\r\n";
        let head = headers.collect::<Vec<_>>().join("\r\n");
        let bytes = format!("{lead}{head}\r\n\r\n");
        lines.push(answer(peers(&site), bytes.as_bytes()).await);
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    401
    401
    ");
    insta::assert_snapshot!(refusals(&site, 2).await, @r#"pinereel_refused_total{code="unauthorized"} 2"#);
    assert!(site.entries[0].shared.mesh.linked_peers().is_empty());
    undisturbed(&site).await;
}

#[actix_rt::test]
async fn wrong_frames_close_the_link() {
    let site = site().await;
    let good = || Message::Binary(hello(PROTOCOL).into());
    let wrong = |bytes: &[u8]| Message::Binary(bytes.to_vec().into());
    // Not CBOR; a good first frame and then none; the wrong protocol; text; too large; two hellos.
    closed_after(&site, vec![wrong(b"\xff\xff\xff")]).await;
    closed_after(&site, vec![good(), wrong(b"slot for June")]).await;
    closed_after(&site, vec![Message::Binary(hello(PROTOCOL + 1).into())]).await;
    closed_after(&site, vec![good(), Message::Text("slot".into())]).await;
    closed_after(&site, vec![good(), wrong(&vec![0; MAX_FRAME_BYTES + 1])]).await;
    closed_after(&site, vec![good(), good()]).await;
    assert!(site.entries[0].shared.mesh.linked_peers().is_empty());
    insta::assert_snapshot!(refusals(&site, 6).await, @r#"pinereel_refused_total{code="bad_request"} 6"#);
    undisturbed(&site).await;
}

#[actix_rt::test]
async fn what_is_no_websocket_is_closed() {
    let site = site().await;
    // Opened before the others: it has the whole wait of a link that does not open.
    let mut silent = send(peers(&site), b"").await;
    let mut half = send(peers(&site), b"GET /peer HTTP/1.1\r\nhost: e\r\n").await;
    let plain = answer(peers(&site), &request("GET /metrics HTTP/1.1", &[], "")).await;
    let json = answer(peers(&site), &post("/v1/lots", "{}")).await;
    undisturbed(&site).await;
    let (silent, half) = (rest(&mut silent).await, rest(&mut half).await);
    let answers = [plain, json, summary(&silent), summary(&half)].join("\n");
    insta::assert_snapshot!(answers, @r"
    closed
    closed
    closed
    closed
    ");
    insta::assert_snapshot!(refusals(&site, 4).await, @r#"
    pinereel_refused_total{code="bad_request"} 2
    pinereel_refused_total{code="slow_sender"} 2
    "#);
}
