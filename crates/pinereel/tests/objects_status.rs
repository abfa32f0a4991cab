//! Which statuses of the object API promise that a write had no effect.

use pinereel::{
    objects::{Client, Error, Options, Purpose},
    state::Clock,
};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// Creates an object at a fake API that answers with `status`.
async fn create(status: u16) -> Result<u64, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes()).await;
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
    client.create(Purpose::Claims, "claims", "c", &1).await
}

/// A write that was answered with 500, 502 or 504 counted as one without effect, although it may have been
/// carried out.
#[actix_rt::test]
async fn only_a_refusal_promises_that_a_write_had_no_effect() {
    for status in [400, 403, 412, 413, 429, 503] {
        let error = create(status).await.expect_err("the write fails");
        assert!(error.had_no_effect(), "{status}: {error}");
    }
    for status in [302, 500, 502, 504, 599, 600, 999] {
        let error = create(status).await.expect_err("the write fails");
        assert!(!error.had_no_effect(), "{status}: {error}");
    }
}
