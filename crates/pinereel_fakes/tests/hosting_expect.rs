//! A client that waits for an interim response before it sends its body, with real processes.

use pinereel_fakes::hosting::site::{HOST, Site, Size};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

const SITE_SIZE: Size = Size {
    instances: 1,
    engines: 1,
    services: 1,
};
/// Time within which a response begins.
const MAX_WAIT: Duration = Duration::from_secs(2);
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Reads what has arrived; empty after [`MAX_WAIT`].
async fn read(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let count = timeout(MAX_WAIT, stream.read(&mut bytes)).await;
    let count = count.map_or(0, |count| count.expect("connected"));
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

/// Failure: the expectation is forwarded, and the interim response of the endpoint is the last that the client
/// gets.
#[actix_rt::test]
async fn a_client_that_expects_100_continue_gets_the_final_response() {
    let site = Site::start(SITE_SIZE, 341).await.expect("the site starts");
    for (number, path) in ["/live/x", "/once/x"].into_iter().enumerate() {
        let address = site.instances[0].caller_proxy.address;
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: e-{number}\r\nx-deadline-ms: 2000\r\n\
             expect: 100-continue\r\ncontent-length: 5\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        assert_eq!(read(&mut stream).await, INTERIM);
        stream.write_all(b"hello").await.expect("sent");
        let answer = read(&mut stream).await;
        assert!(
            answer.starts_with("HTTP/1.1 200 OK\r\n"),
            "{path}: {answer:?}"
        );
    }
}
