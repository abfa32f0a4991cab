//! A request came again and again under new ids, at every instance, and each endpoint that began to
//! run it crashed: all four ended within 0.3 s, were back after 3.5 s and ended again, 12 and 21 of
//! them in one day, while every other caller was refused. Nothing kept what the request had done: each
//! attempt began with all endpoints again. And the crash itself was taken for its opposite. A kept connection
//! broke under the request, the same request was sent again over a fresh one, nobody listened there any more, and
//! the line said `i-22d6b38b11 not opened 91ms`, `not run`, where the endpoint had run it for 88 ms and crashed; a
//! refused connection takes 1 ms there. So it counted against no bound on attempts: one request alone took three
//! endpoints in 169 ms.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::hosting::{
    caller::{self, Kind, Tally},
    fragile::{CRASH, Crashes, Fragile, Mode},
    http::{Answer, Failure, call},
    site::{HOST, Instance, Site, Size},
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const SIZE: Size = Size {
    instances: 3,
    engines: 1,
    services: 0,
};
const ENDPOINTS: usize = 5;
/// Endpoints that one such request may take in all.
const MOST: usize = 3;
/// How long a crashed endpoint is away.
const DOWN: Duration = Duration::from_secs(2);
/// By then each instance knows of the third crash.
const KNOWN: Duration = Duration::from_millis(500);

thread_local! {
    static NEXT: Cell<u64> = const { Cell::new(0) };
}

/// Sends the request under a new id.
async fn send(instance: &Instance, body: &str) -> Result<Answer, Failure> {
    let number = NEXT.with(|next| next.replace(next.get() + 1));
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", format!("again-{number}")),
        ("x-deadline-ms", "2000".to_owned()),
    ];
    let (address, body) = (instance.callers.address, Bytes::from(body.to_owned()));
    let wait = Duration::from_millis(2_500);
    call(address, Method::POST, "/live/x", &headers, body, wait).await
}

fn endpoints(site: &Site, count: usize) -> (Vec<Fragile>, Crashes) {
    let crashes = Crashes::default();
    let plain = ("plain", Mode::Plain);
    let start = |_| Fragile::start(&site.store, plain, DOWN, &crashes).expect("it starts");
    ((0..count).map(start).collect(), crashes)
}

/// Sends the request at each instance in turn for `span`.
async fn repeat(site: &Site, body: &str, span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        for instance in &site.instances {
            // What it gets is looked at later.
            let _ = send(instance, body).await;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn refused(answer: &Result<Answer, Failure>) -> bool {
    answer.as_ref().is_ok_and(|answer| {
        answer.status == StatusCode::SERVICE_UNAVAILABLE && answer.header("retry-after").is_some()
    })
}

fn crashed_under(crashes: &Crashes, body: &str) -> Vec<String> {
    let crashes = crashes.borrow();
    let own = crashes.iter().filter(|crash| crash.under == body);
    own.map(|crash| crash.endpoint.clone()).collect()
}

/// The request is refused at once everywhere, and nothing crashes.
async fn assert_refused_everywhere(site: &Site, body: &str) {
    for instance in &site.instances {
        let began = Instant::now();
        let answer = send(instance, body).await;
        let lines = instance.lines().join("\n");
        assert!(refused(&answer), "{answer:?} at {}\n{lines}", instance.name);
        assert!(began.elapsed() < Duration::from_millis(300));
    }
}

#[actix_rt::test]
async fn a_request_that_crashes_endpoints_takes_three_and_others_are_served() {
    let site = Site::start(SIZE, 160).await.unwrap();
    let (_endpoints, crashes) = endpoints(&site, ENDPOINTS);
    sleep(Duration::from_millis(1_500)).await;
    let (balance, book) = (site.balance(), Rc::clone(&site.book));
    let tally = Rc::new(Tally::default());
    for number in 0..3 {
        let (balance, book, tally) = (Rc::clone(&balance), Rc::clone(&book), Rc::clone(&tally));
        let end = Instant::now() + Duration::from_secs(9);
        let name = format!("c{number}");
        actix_rt::spawn(async move {
            caller::run(balance, Kind::Repeatable, &name, end, book, tally).await;
        });
    }
    let body = format!("{CRASH} a");
    repeat(&site, &body, Duration::from_secs(8)).await;
    let taken = crashed_under(&crashes, &body);
    assert!(taken.len() <= MOST, "{taken:?}");
    assert!(!taken.is_empty(), "the stand-in crashes");
    sleep(KNOWN).await;
    assert_refused_everywhere(&site, &body).await;
    assert_eq!(crashed_under(&crashes, &body).len(), taken.len());
    assert_eq!(book.faults(), Vec::<String>::new());
    let (good, not) = (tally.good.get(), tally.not_run.get() + tally.unknown.get());
    assert!(not * 20 < good, "{good} good, {not} not");
}
