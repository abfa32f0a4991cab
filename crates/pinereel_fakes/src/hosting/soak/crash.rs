//! Requests that crash the endpoints that run them, beside all other faults.

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

/// Endpoints that such a request can crash, beside those that only answer.
const ENDPOINTS: usize = 4;
/// How long they are away.
const DOWN: Duration = Duration::from_secs(2);
/// What the platform allows after the third.
const ALLOWED: usize = 3;
/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(2);
/// This route goes to them under every configuration of the soak.
const TARGET: &str = "/score/x";

/// Endpoints that may crash, and the requests that crash them.
pub(super) struct Crashing {
    site: Rc<RefCell<Site>>,
    seed: u64,
    _endpoints: Vec<Endpoint>,
    crashes: Crashes,
    /// Bodies of the requests.
    bodies: Vec<String>,
}

impl Crashing {
    /// Starts the endpoints.
    pub(super) fn start(site: &Rc<RefCell<Site>>, seed: u64) -> io::Result<Self> {
        let crashes = Crashes::default();
        let store = site.borrow().store.clone();
        let start = |_| Endpoint::start(&store, ("plain", Mode::Plain), DOWN, &crashes);
        Ok(Self {
            site: Rc::clone(site),
            seed,
            _endpoints: (0..ENDPOINTS).map(start).collect::<io::Result<_>>()?,
            crashes,
            bodies: Vec::new(),
        })
    }

    /// Sends one such request after the other, each again and again, at any instance.
    pub(super) async fn send(&mut self, stop: Instant) {
        // Its own chances: what a seed injected before stays as it was.
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x0063_7261_7368);
        let mut number = 0;
        while Instant::now() < stop {
            let body = format!("{CRASH_MARKER} {}-{}", self.seed, self.bodies.len());
            self.bodies.push(body.clone());
            let end = Instant::now() + Duration::from_millis(rng.random_range(1_500..6_000));
            while Instant::now() < end.min(stop) {
                let address = {
                    let site = self.site.borrow();
                    let at = rng.random_range(0..site.instances.len());
                    site.instances[at].caller_proxy.address
                };
                number += 1;
                let id = format!("{body}-{number}").replace(' ', "-");
                let body = Bytes::from(body.clone());
                actix_rt::spawn(async move {
                    let headers = [
                        ("host", HOST.to_owned()),
                        ("x-request-id", id),
                        ("x-deadline-ms", PATIENCE.as_millis().to_string()),
                        ("authorization", format!("Bearer {API_KEY}")),
                    ];
                    // What comes back is of no interest.
                    let _ = call(address, Method::POST, TARGET, &headers, body, PATIENCE).await;
                });
                sleep(Duration::from_millis(rng.random_range(30..250))).await;
            }
            sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        }
    }

    /// How many endpoints each request took.
    pub(super) fn taken(&self) -> BTreeMap<&str, usize> {
        let crashes = self.crashes.borrow();
        let taken = self.bodies.iter().map(|body| {
            let own = crashes.iter().filter(|crash| crash.under == *body);
            (body.as_str(), own.count())
        });
        taken.collect()
    }

    /// None takes more than the platform allows, and no other request is refused.
    pub(super) fn check(&self) {
        let site = self.site.borrow();
        for (body, taken) in self.taken() {
            if taken > MAX_CRASHES + ALLOWED {
                site.recorder
                    .record_violation(format!("{taken} endpoints crashed under {body}"));
            }
        }
        let culprits: Vec<_> = self.bodies.iter().map(|body| identity(body)).collect();
        for line in site
            .instances
            .iter()
            .flat_map(|instance| instance.all_lines())
        {
            let refusal = line.contains("refused: endpoints crash under it");
            if refusal && !culprits.iter().any(|identity| line.contains(identity)) {
                site.recorder
                    .record_violation(format!("refused for others' crashes: {line}"));
            }
        }
    }
}

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
