//! Requests that crash the endpoints that run them, sent while all other faults are injected.

use crate::hosting::{
    crashing_endpoint::{CRASH_MARKER, Crashes, Endpoint, Mode},
    http::call,
    site::{API_KEY, HOST, Site, WORKSPACE},
};
use actix_http::Method;
use bytes::Bytes;
use pinereel_core::crash::{Content, Identity, MAX_CRASHES, RequestParts};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Number of endpoints that such a request can crash; the others only answer.
const ENDPOINT_COUNT: usize = 4;
/// Time until a crashed endpoint is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Number of endpoints that the platform allows a request to crash beyond [`MAX_CRASHES`].
const MAX_FURTHER_CRASHES: usize = 3;
/// Deadline of a request, and timeout of the call.
const DEADLINE: Duration = Duration::from_secs(2);
/// Path whose route leads to the service of these endpoints in every configuration of the soak
/// test.
const TARGET: &str = "/score/x";

/// Endpoints that may crash, and the requests that crash them.
pub(super) struct CrashingRequests {
    site: Rc<RefCell<Site>>,
    seed: u64,
    _endpoints: Vec<Endpoint>,
    crashes: Crashes,
    /// Bodies of the requests sent so far.
    bodies: Vec<String>,
}

impl CrashingRequests {
    /// Starts the endpoints.
    pub(super) fn start(site: &Rc<RefCell<Site>>, seed: u64) -> io::Result<Self> {
        let crashes = Crashes::default();
        let store = site.borrow().store.clone();
        let start = |_| Endpoint::start(&store, ("plain", Mode::Plain), RESTART_DELAY, &crashes);
        Ok(Self {
            site: Rc::clone(site),
            seed,
            _endpoints: (0..ENDPOINT_COUNT).map(start).collect::<io::Result<_>>()?,
            crashes,
            bodies: Vec::new(),
        })
    }

    /// Sends such requests until `end`. Each is retried for some seconds, at random instances and
    /// under new ids, before the next.
    pub(super) async fn send_until(&mut self, end: Instant) {
        // A generator of its own: the faults that a seed injects must not depend on these draws.
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x0063_7261_7368);
        let mut number = 0;
        while Instant::now() < end {
            let body = format!("{CRASH_MARKER} {}-{}", self.seed, self.bodies.len());
            self.bodies.push(body.clone());
            let retry_end = Instant::now() + Duration::from_millis(rng.random_range(1_500..6_000));
            while Instant::now() < retry_end.min(end) {
                let address = {
                    let site = self.site.borrow();
                    let index = rng.random_range(0..site.instances.len());
                    site.instances[index].caller_proxy.address
                };
                number += 1;
                let id = format!("{body}-{number}").replace(' ', "-");
                let body = Bytes::from(body.clone());
                actix_rt::spawn(async move {
                    let headers = [
                        ("host", HOST.to_owned()),
                        ("x-request-id", id),
                        ("x-deadline-ms", DEADLINE.as_millis().to_string()),
                        ("authorization", format!("Bearer {API_KEY}")),
                    ];
                    // The answer is not checked, only the crashes and the log lines.
                    let _ = call(address, Method::POST, TARGET, &headers, body, DEADLINE).await;
                });
                sleep(Duration::from_millis(rng.random_range(30..250))).await;
            }
            sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        }
    }

    /// Returns the number of endpoints that each request crashed, by its body.
    pub(super) fn crash_counts(&self) -> BTreeMap<&str, usize> {
        let crashes = self.crashes.borrow();
        let counts = self.bodies.iter().map(|body| {
            let own = crashes.iter().filter(|crash| crash.under == *body);
            (body.as_str(), own.count())
        });
        counts.collect()
    }

    /// Checks that no request crashed more endpoints than the platform allows, and that no other
    /// request was refused for crashes.
    pub(super) fn check(&self) {
        let site = self.site.borrow();
        for (body, count) in self.crash_counts() {
            if count > MAX_CRASHES + MAX_FURTHER_CRASHES {
                site.recorder
                    .record_violation(format!("{count} endpoints crashed under {body}"));
            }
        }
        let identities: Vec<_> = self.bodies.iter().map(|body| identity(body)).collect();
        for line in site
            .instances
            .iter()
            .flat_map(|instance| instance.all_lines())
        {
            let is_refusal = line.contains("refused: endpoints crash under it");
            if is_refusal && !identities.iter().any(|identity| line.contains(identity)) {
                site.recorder.record_violation(format!(
                    "a request was refused for crashes of another: {line}"
                ));
            }
        }
    }
}

/// Returns the identity of a request as instances log it.
fn identity(body: &str) -> String {
    let identity = Identity::of(RequestParts {
        caller: WORKSPACE.as_bytes(),
        method: "POST",
        host: HOST,
        target: TARGET,
        content: Content::Body(body.as_bytes()),
    });
    identity.to_string()
}
