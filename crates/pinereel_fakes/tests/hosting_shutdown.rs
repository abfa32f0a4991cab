//! Graceful shutdowns of an instance to which callers keep sending requests until its process is gone.

use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        caller::post,
        http::Failure,
        service::Faults,
        site::{HOST, Site, Size},
    },
};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time after SIGTERM at which the platform kills the process, as in the settings of the site.
const KILLED_AFTER: Duration = Duration::from_secs(8);
/// Time that the service takes for each answer; well within the timeout of its route.
const SERVICE_DELAY: Duration = Duration::from_millis(1_500);
/// Longest wait of a caller; an answer is due before its deadline of 2 s.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);

async fn start_site(seed: u64) -> Site {
    let size = Size {
        instances: 2,
        engines: 1,
        services: 2,
    };
    let site = Site::start(size, seed).await.expect("the site starts");
    for proxied in &site.services {
        proxied.endpoint.set_faults(Faults {
            delay: SERVICE_DELAY,
            ..Faults::default()
        });
    }
    site
}

/// Sends SIGTERM twice, and returns once the process has exited, with the time that it took.
async fn shut_down(site: &mut Site, index: usize) -> Duration {
    let started = Instant::now();
    let instance = &mut site.instances[index];
    instance.signal(Signal::TERM);
    sleep(Duration::from_millis(500)).await;
    instance.signal(Signal::TERM);
    while instance.is_running() && started.elapsed() < KILLED_AFTER {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// Sends a request on a new connection. Returns its status, or why there is no complete answer.
async fn send_request(address: SocketAddr, id: String) -> Result<u16, Failure> {
    let deadline = Duration::from_secs(2);
    let answer = post(address, "/live/x", id, deadline, "", CALLER_TIMEOUT);
    Ok(answer.await?.status.as_u16())
}

/// Requests that arrived in the last 2 s before the exit, from callers that the load balancer did not
/// send, ended with a closed connection: they were neither answered nor refused.
#[actix_rt::test]
async fn requests_are_answered_or_refused_until_the_process_is_gone() {
    let mut site = start_site(210).await;
    let address = site.instances[0].caller_proxy.target;
    let results = Rc::new(RefCell::new(Vec::new()));
    let sent = Rc::clone(&results);
    let sender = actix_rt::spawn(async move {
        for number in 0.. {
            let sent = Rc::clone(&sent);
            actix_rt::spawn(async move {
                let sent_at = Instant::now();
                let result = send_request(address, format!("r-{number}")).await;
                sent.borrow_mut().push((number, result, sent_at.elapsed()));
            });
            sleep(Duration::from_millis(40)).await;
        }
    });
    sleep(Duration::from_millis(300)).await;
    let duration = shut_down(&mut site, 0).await;
    sleep(Duration::from_millis(100)).await;
    sender.abort();
    sleep(CALLER_TIMEOUT).await;
    let results = results.borrow();
    assert!(duration < KILLED_AFTER, "{duration:?}");
    let incomplete: Vec<_> = results
        .iter()
        .filter(|(_, result, _)| matches!(result, Err(Failure::Cut | Failure::Late)))
        .collect();
    assert!(incomplete.is_empty(), "{incomplete:?}");
    let count = |status| results.iter().filter(|(_, r, _)| *r == Ok(status)).count();
    assert!(count(200) > 50, "{} answered", count(200));
    assert!(count(503) > 0, "none refused");
    assert_eq!(
        count(200) + count(503),
        results.iter().filter(|(_, r, _)| r.is_ok()).count()
    );
    // A request that cannot be answered before the exit is refused at once.
    let late = results
        .iter()
        .filter(|(_, r, time)| *r == Ok(503) && *time > Duration::from_millis(250));
    assert_eq!(late.count(), 0);
    assert_eq!(site.recorder.violations(), Vec::<String>::new());
}

/// A connection that a caller keeps open and uses again is closed only with an answer, never in place of
/// one.
#[actix_rt::test]
async fn a_kept_connection_is_closed_with_an_answer() {
    let mut site = start_site(211).await;
    let address = site.instances[0].caller_proxy.target;
    let mut callers = Vec::new();
    for number in 0..40 {
        callers.push(actix_rt::spawn(async move {
            // Spread over the whole shutdown; a connection without a request stays open until its end.
            let first_request_after = Duration::from_millis(number * 180);
            use_connection(address, first_request_after).await
        }));
    }
    sleep(Duration::from_millis(300)).await;
    let duration = shut_down(&mut site, 0).await;
    assert!(duration < KILLED_AFTER, "{duration:?}");
    for (number, caller) in callers.into_iter().enumerate() {
        let ending = caller.await.expect("the caller does not panic");
        assert_ne!(ending, Ending::Unanswered, "connection {number}");
    }
}

/// How a kept connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// An answer announced that the connection is closed.
    Announced,
    /// It was closed before the caller sent its next request.
    Idle,
    /// It was closed, or stayed silent, after a request.
    Unanswered,
}

/// Opens a connection, and sends requests on it one after the other until it ends.
async fn use_connection(address: SocketAddr, first_request_after: Duration) -> Ending {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let mut buffer = [0; 4_096];
    // Ends early only if the instance closes the connection.
    if timeout(first_request_after, stream.read(&mut buffer))
        .await
        .is_ok()
    {
        return Ending::Idle;
    }
    loop {
        let request = format!(
            "POST /live/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: k-{}\r\nx-deadline-ms: 2000\r\n\
             content-length: 0\r\n\r\n",
            first_request_after.as_millis()
        );
        if stream.write_all(request.as_bytes()).await.is_err() {
            return Ending::Unanswered;
        }
        let Ok(Ok(length @ 1..)) = timeout(CALLER_TIMEOUT, stream.read(&mut buffer)).await else {
            return Ending::Unanswered;
        };
        let answer = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
        if answer.contains("connection: close") {
            return Ending::Announced;
        }
    }
}
