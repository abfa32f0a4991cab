//! Changes of the configuration in quick succession, and requests that show which version is in force at each
//! instance.

use super::{
    AFTER_EFFECT_TIME, FaultPeriod, OutOfTouch,
    config_history::{Answer, History, Incarnation, Observation, RouteKind, Version},
    inject::{add_at_once, change_api_keys},
};
use crate::hosting::{
    http::call,
    site::{API_KEY, HOST, OTHER_SERVICE, PLAIN_SERVICE, Site},
};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::oneshot,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
/// Time between two requests to an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two calls to the store.
const STORE_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the store counts as slow; it usually answers within a few milliseconds.
const MAX_STORE_CALL_TIME: Duration = Duration::from_millis(150);
/// Delay after which an answer is judged; longer than a call to the store takes that is not slow.
const JUDGEMENT_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for an answer; longer than the timeout of any route.
const PROBE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Number of versions in which an added route exists.
const ROUTE_LIFETIME: usize = 24;
/// Number of versions after which the live route moves to the other service. Much more than what is confirmed
/// within the longest time to apply a change, so that most of the time one service is allowed.
const MOVE_PERIOD: u64 = 20;
/// Number of versions after which a new service is added, to which some of the next routes lead.
const NEW_SERVICE_PERIOD: u64 = 15;
/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of the changes and the requests.
struct Changes {
    site: Rc<RefCell<Site>>,
    periods: Rc<RefCell<Vec<FaultPeriod>>>,
    history: RefCell<History>,
    /// When each process was first seen.
    first_seen: RefCell<BTreeMap<Incarnation, Instant>>,
    request_count: Cell<u64>,
}

/// Changes the configuration and asks all instances until `end`, and records violations. Returns a summary.
pub(super) async fn change_until(
    site: &Rc<RefCell<Site>>,
    periods: &Rc<RefCell<Vec<FaultPeriod>>>,
    seed: u64,
    end: oneshot::Receiver<()>,
) -> String {
    let changes = Rc::new(Changes {
        site: Rc::clone(site),
        periods: Rc::clone(periods),
        history: RefCell::default(),
        first_seen: RefCell::default(),
        request_count: Cell::new(seed << 24),
    });
    changes.confirm_first();
    let change = async {
        for count in 0.. {
            changes.change(count);
            sleep(CHANGE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = change => {}
        () = changes.send_requests() => {}
        () = changes.observe_store() => {}
        _ = end => {}
    }
    // Requests that are in flight are not judged.
    let history = changes.history.borrow();
    for violation in history.underserved() {
        site.borrow().recorder.record_violation(violation);
    }
    history.summary()
}

impl Changes {
    /// Adds the configuration that is in force already to the history.
    fn confirm_first(&self) {
        let number = self.site.borrow().config_version;
        let routes = [("live", PLAIN_SERVICE), ("score", PLAIN_SERVICE)];
        self.history.borrow_mut().confirm(Version {
            number,
            confirmed_at: Instant::now(),
            services: routes.map(|(r, s)| (r.to_owned(), s.to_owned())).into(),
        });
    }

    /// Writes the next configuration, which adds a route and drops the oldest added one.
    fn change(&self, count: u64) {
        let mut site = self.site.borrow_mut();
        let number = site.config_version + 2;
        if count.is_multiple_of(NEW_SERVICE_PERIOD) {
            let name = format!("new-{number}");
            // Without an endpoint, the routes of the service would be served less often.
            if add_at_once(site.add_service(&name)) {
                site.added_services.push(name);
            }
        }
        // Each service gets new routes, also while the live route does not lead to it.
        let newest_service = site.added_services.last().cloned();
        let service = match count % 3 {
            0 => PLAIN_SERVICE.to_owned(),
            1 => OTHER_SERVICE.to_owned(),
            _ => newest_service.unwrap_or_else(|| PLAIN_SERVICE.to_owned()),
        };
        site.added_routes.push((format!("added-{number}"), service));
        if site.added_routes.len() > ROUTE_LIFETIME {
            site.added_routes.remove(0);
        }
        let live = match (count / MOVE_PERIOD) % 2 {
            0 => PLAIN_SERVICE,
            _ => OTHER_SERVICE,
        };
        change_api_keys(&mut site);
        site.configure(live, ROUTE_TIMEOUT);
        let added = site.added_routes.iter().cloned();
        let first = [("live", live), ("score", PLAIN_SERVICE)];
        let first = first.map(|(route, service)| (route.to_owned(), service.to_owned()));
        let services = added.chain(first);
        self.history.borrow_mut().confirm(Version {
            number: site.config_version,
            confirmed_at: Instant::now(),
            services: services.collect(),
        });
    }

    /// Asks each instance at regular intervals. Never ends.
    async fn send_requests(self: &Rc<Self>) {
        let mut ticks = interval(PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for tick in 0.. {
            ticks.tick().await;
            let targets = self.targets();
            for (incarnation, address) in targets {
                let changes = Rc::clone(self);
                actix_rt::spawn(async move { changes.ask(incarnation, address, tick).await });
            }
        }
    }

    /// Records the times in which the store answers late for all. All fakes share a thread, which may lack processor
    /// time. Never ends.
    async fn observe_store(&self) {
        let address = self.site.borrow().store.address;
        let mut ticks = interval(STORE_CALL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let scheduled_at = ticks.tick().await;
            let headers = [("host", HOST.to_owned())];
            let (path, body) = ("/v1/objects/config/main?staleOk=1", Bytes::new());
            // Only the time matters; a store with a fault answers as fast.
            let mut answer = pin!(call(
                address,
                Method::GET,
                path,
                &headers,
                body,
                PROBE_TIMEOUT
            ));
            while timeout(MAX_STORE_CALL_TIME, &mut answer).await.is_err() {
                self.record_slow_store(scheduled_at);
            }
            if scheduled_at.elapsed() > MAX_STORE_CALL_TIME {
                self.record_slow_store(scheduled_at);
            }
        }
    }

    fn record_slow_store(&self, from: Instant) {
        self.periods.borrow_mut().push(FaultPeriod {
            instance: None,
            graceful: false,
            out_of_touch: OutOfTouch::All,
            from,
            to: Instant::now() + AFTER_EFFECT_TIME,
        });
    }

    /// The running processes, and the addresses at which they listen.
    fn targets(&self) -> Vec<(Incarnation, SocketAddr)> {
        let mut site = self.site.borrow_mut();
        let mut first_seen = self.first_seen.borrow_mut();
        let mut targets = Vec::new();
        for (index, instance) in site.instances.iter_mut().enumerate() {
            if let Some(pid) = instance.pid().filter(|_| instance.is_running()) {
                first_seen.entry((index, pid)).or_insert_with(Instant::now);
                targets.push(((index, pid), instance.caller_address()));
            }
        }
        targets
    }

    /// Sends a request to an instance, and judges the answer.
    async fn ask(&self, incarnation: Incarnation, address: SocketAddr, tick: u64) {
        let sent_at = Instant::now();
        let route = {
            let history = self.history.borrow();
            let due = |route: Option<&str>| route.map(ToOwned::to_owned);
            let (kind, route) = match tick % 6 {
                0 | 2 => (RouteKind::Added, due(history.newest_route_due(sent_at))),
                1 => (RouteKind::Dropped, due(history.dropped_route_due(sent_at))),
                3 => (RouteKind::First, Some("live".into())),
                4 => (RouteKind::First, Some("score".into())),
                _ => {
                    let newest = history.newest().map(|v| format!("added-{}", v.number));
                    (RouteKind::Newest, newest)
                }
            };
            route.map(|route| (kind, route))
        };
        let Some((kind, route)) = route else { return };
        self.request_count.set(self.request_count.get() + 1);
        let id = format!("config-{:x}", self.request_count.get());
        let headers = [
            ("host", HOST.to_owned()),
            ("x-request-id", id.clone()),
            ("x-deadline-ms", ROUTE_TIMEOUT.as_millis().to_string()),
            ("authorization", format!("Bearer {API_KEY}")),
        ];
        let (path, body) = (format!("/{route}/x"), Bytes::new());
        let answer = call(address, Method::POST, &path, &headers, body, PROBE_TIMEOUT).await;
        let service = self.site.borrow().recorder.last_service(&id);
        let status = answer.map(|answer| answer.status).ok();
        let answer = match (status, service) {
            (Some(StatusCode::NOT_FOUND), _) => Answer::NoRoute,
            (Some(status), Some(service)) if status.is_success() => Answer::Served(service),
            _ => Answer::Other,
        };
        let answered_at = Instant::now();
        // Until then, a slow call to the store is known.
        sleep(JUDGEMENT_DELAY).await;
        let site = self.site.borrow();
        let seen = Observation {
            incarnation,
            kind,
            route,
            sent_at,
            answered_at,
            answer,
            in_touch: self.in_touch(incarnation, sent_at, answered_at),
        };
        if let Some(violation) = self.history.borrow_mut().judge(&seen) {
            let name = &site.instances[incarnation.0].name;
            let (route, answer) = (&seen.route, &seen.answer);
            site.recorder.record_violation(format!(
                "{name} answered {id} on {route} with {answer:?} {violation}"
            ));
        }
    }

    /// Whether a process and the store were without a fault for the time of contact before a request until
    /// its answer.
    fn in_touch(&self, incarnation: Incarnation, sent_at: Instant, answered_at: Instant) -> bool {
        let first_seen = self.first_seen.borrow().get(&incarnation).copied();
        let is_new = first_seen.is_none_or(|at| sent_at < at + AFTER_EFFECT_TIME);
        let affects = |period: &FaultPeriod| match period.out_of_touch {
            OutOfTouch::All => true,
            OutOfTouch::Instance(index) => index == incarnation.0,
            OutOfTouch::None => false,
        };
        // The periods end with their after-effects.
        let overlaps = |period: &FaultPeriod| period.from <= answered_at && sent_at <= period.to;
        let periods = self.periods.borrow();
        !is_new && !periods.iter().any(|p| affects(p) && overlaps(p))
    }
}
