//! Links between entries: shared secret, calls and their errors, single-call connections.

#![allow(clippy::unwrap_used)]

use compact_str::CompactString;
use pinereel::{
    peer::{Call, Error, LocalEntry, Mesh, Peer},
    settings::Secret,
};
use pinereel_api::wire::{MAX_FRAME_BYTES, Reply};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts the mesh of one entry that answers every call with `reply`, or never if it is `None`.
async fn mesh(name: &str, secret: &str, reply: Option<Reply>) -> (Mesh, CompactString) {
    let local = LocalEntry {
        name: name.into(),
        incarnation: 1,
        zone: "erie-hall".into(),
        secret: Secret::new(secret),
        queue_capacity: 4,
    };
    let mesh = Mesh::new(local);
    let handler =
        move |_: CompactString, _: Call| -> futures_util::future::LocalBoxFuture<'static, Reply> {
            let reply = reply.clone();
            Box::pin(async move {
                match reply {
                    Some(reply) => reply,
                    None => std::future::pending().await,
                }
            })
        };
    mesh.set_handlers(Rc::new(handler), Rc::new(|_, _| {}));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string().into();
    mesh.listen(listener);
    (mesh, address)
}

async fn linked(mesh: &Mesh, name: &str) -> bool {
    let wait = async {
        while !mesh.is_linked(name) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, wait).await.is_ok()
}

fn peer(name: &str, address: &CompactString) -> Peer {
    Peer {
        name: name.into(),
        address: address.clone(),
    }
}

#[actix_rt::test]
async fn calls_are_answered_in_both_directions_over_one_link() {
    let (a, a_address) = mesh("a", "secret", Some(Reply::Done)).await;
    let (b, b_address) = mesh("b", "secret", Some(Reply::Granted)).await;
    a.set_peers([peer("b", &b_address)]);
    b.set_peers([peer("a", &a_address)]);
    assert!(linked(&a, "b").await && linked(&b, "a").await);
    assert_eq!(
        a.call("b", Call::FetchConfig, TIMEOUT).await,
        Ok(Reply::Granted)
    );
    assert_eq!(
        b.call("a", Call::FetchConfig, TIMEOUT).await,
        Ok(Reply::Done)
    );
    assert_eq!(
        a.call("c", Call::FetchConfig, TIMEOUT).await,
        Err(Error::NoLink)
    );
}

#[actix_rt::test]
async fn a_peer_with_another_secret_gets_no_link() {
    let (a, _) = mesh("a", "secret", None).await;
    let (b, b_address) = mesh("b", "other", None).await;
    a.set_peers([peer("b", &b_address)]);
    sleep(Duration::from_millis(700)).await;
    assert!(!a.is_linked("b") && !b.is_linked("a"));
}

#[actix_rt::test]
async fn a_call_without_a_reply_times_out_and_a_frame_too_large_is_not_sent() {
    let (a, _) = mesh("a", "secret", None).await;
    let (_b, b_address) = mesh("b", "secret", None).await;
    a.set_peers([peer("b", &b_address)]);
    assert!(linked(&a, "b").await);
    let short = Duration::from_millis(50);
    assert_eq!(
        a.call("b", Call::FetchConfig, short).await,
        Err(Error::Timeout)
    );
    let large = Call::Abort {
        write: "x".repeat(MAX_FRAME_BYTES).into(),
        leaves: Default::default(),
    };
    assert_eq!(a.call("b", large, short).await, Err(Error::TooLarge));
    assert!(
        a.is_linked("b"),
        "a frame that is too large must not end the link"
    );
}

#[actix_rt::test]
async fn closing_one_end_fails_waiting_calls_at_the_other() {
    let (a, _) = mesh("a", "secret", None).await;
    let (b, b_address) = mesh("b", "secret", None).await;
    a.set_peers([peer("b", &b_address)]);
    assert!(linked(&a, "b").await && linked(&b, "a").await);
    let call = a.call("b", Call::FetchConfig, TIMEOUT);
    let close = async {
        b.close();
    };
    let (result, ()) = futures_util::future::join(call, close).await;
    assert_eq!(result, Err(Error::Closed));
}

#[actix_rt::test]
async fn a_call_without_a_link_uses_its_own_connection() {
    let (a, _) = mesh("a", "secret", None).await;
    let (b, b_address) = mesh("b", "secret", Some(Reply::Granted)).await;
    let target = peer("b", &b_address);
    assert_eq!(
        a.call_once(&target, Call::FetchConfig, TIMEOUT).await,
        Ok(Reply::Granted)
    );
    assert!(
        !a.is_linked("b") && !b.is_linked("a"),
        "the connection must not become a link"
    );
    let wrong = peer("c", &b_address);
    let result = a.call_once(&wrong, Call::FetchConfig, TIMEOUT).await;
    assert_eq!(
        result,
        Err(Error::NoLink),
        "another entry took over the address"
    );
    b.close();
    let result = a.call_once(&target, Call::FetchConfig, TIMEOUT).await;
    assert!(result.is_err(), "{result:?}");
}

/// A closed mesh accepted one more connection. The peer took it for a link, and a claim of an idempotency
/// key that it sent over it was lost: after a second loss in a row, the caller got 503.
#[actix_rt::test]
async fn a_closed_mesh_accepts_no_connection() {
    let (mesh, address) = mesh("a", "secret", Some(Reply::Done)).await;
    // The mesh waits for a connection when it is closed.
    sleep(POLL_INTERVAL).await;
    mesh.close();
    sleep(POLL_INTERVAL).await;
    assert!(TcpStream::connect(address.as_str()).await.is_err());
}

/// The peer kept a link to a closed mesh until it sent the next frame over it.
#[actix_rt::test]
async fn closing_a_mesh_ends_its_links_at_the_peers_at_once() {
    let (a, _) = mesh("a", "secret", Some(Reply::Done)).await;
    let (b, b_address) = mesh("b", "secret", Some(Reply::Done)).await;
    a.set_peers([peer("b", &b_address)]);
    assert!(linked(&a, "b").await && linked(&b, "a").await);
    b.close();
    sleep(Duration::from_millis(100)).await;
    assert!(!a.is_linked("b"));
}
