//! Store calls through the parent, tested with real processes: the store rejects some instances, which
//! still reach the others.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use pinereel::hosted::{Frame, Hello, StoreCall, StoreOutcome};
use pinereel_core::tree::{MAX_STORE_CALL_HOPS, Peer};
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        engine,
        http::call,
        instance::metrics,
        proxy,
        site::{API_KEY, HOST, Instance, MODEL, Site, Size},
        trainer::{Shape, Trainer},
    },
};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, client_async, tungstenite::Message};

const SITE_SIZE: Size = Size {
    instances: 9,
    engines: 3,
    services: 2,
};
const SHAPE: Shape = Shape {
    groups: 2,
    group_size: 5,
    wanted_groups: 2,
};
/// With this factor, the longest text takes 5 s.
const SLOW_FACTOR: u32 = 16;
/// Time from the submission of a lot until the store rejects instances.
const REJECTED_AFTER: Duration = Duration::from_millis(1_000);
/// How long the store rejects instances.
const REJECTION: Duration = Duration::from_secs(8);
/// Longest duration of a step, as for the trainers of the deployments.
const STEP_DEADLINE: Duration = Duration::from_millis(7_500);

/// Port for links between instances, the first of the site's range.
const PEER_PORT: u16 = 9_470;
/// Most concurrent calls that a parent takes from one child.
const MAX_CALLS_PER_CHILD: u64 = 32;

/// Calls in each direction. Together they reach the limit of a child.
const CALLS_EACH: u64 = MAX_CALLS_PER_CHILD / 2;
/// Length of the text of an object, in bytes.
const TEXT_LENGTH: usize = 500_000;

/// Longest time until a line of an instance is read, which its logging thread may write after the answer to a call.
const MAX_LOG_DELAY: Duration = Duration::from_secs(5);

const RELAYING: &str = "object store: calls are sent through the parent";
const DIRECT_AGAIN: &str = "object store: calls are sent directly again";

/// Lines of an instance that contain all of `texts`.
fn lines(instance: &Instance, texts: &[&str]) -> Vec<String> {
    let lines = instance.lines().into_iter();
    lines
        .filter(|line| texts.iter().all(|text| line.contains(text)))
        .collect()
}

/// Index of the instance that holds a duty, from the log lines. An instance that was killed with the
/// index `killed` holds none.
fn holder_except(site: &Site, duty: &str, killed: Option<usize>) -> usize {
    let duty = format!("\"duty\":\"{duty}\"");
    let count = |index: &usize, text| lines(&site.instances[*index], &[&duty, text]).len();
    let mut indexes = (0..site.instances.len()).filter(|index| Some(*index) != killed);
    let holder = indexes.find(|index| count(index, "lease taken") > count(index, "lease lost"));
    holder.expect("the duty has a holder")
}

fn holder(site: &Site, duty: &str) -> usize {
    holder_except(site, duty, None)
}

/// Number of times that leases of a duty were taken, at all instances.
fn takeovers(site: &Site, duty: &str) -> usize {
    let duty = format!("\"duty\":\"{duty}\"");
    let instances = site.instances.iter();
    instances
        .map(|instance| lines(instance, &[&duty, "lease taken"]).len())
        .sum()
}

/// A third of the instances: the runner and others, but not the root.
fn rejected_third(site: &Site) -> Vec<usize> {
    let root = holder(site, "bulletin");
    let runner = holder(site, &format!("lots-{MODEL}"));
    assert_ne!(root, runner, "duties spread over the instances");
    let others = (0..site.instances.len()).filter(|index| ![root, runner].contains(index));
    let mut rejected: Vec<usize> = others.take(site.instances.len() / 3 - 1).collect();
    rejected.push(runner);
    rejected
}

fn reject(site: &Site, rejected: &[usize]) {
    let names = rejected.iter();
    let names = names.map(|index| site.instances[*index].name.clone());
    site.store.reject_instances(names);
}

fn slow_down_engines(site: &Site) {
    for engine in &site.engines {
        engine.endpoint.set_faults(engine::Faults {
            slow_factor: SLOW_FACTOR,
            ..engine::Faults::default()
        });
    }
}

/// Reads the results of a lot at one instance.
async fn read_lot(instance: &Instance, lot: &str) -> Option<StatusCode> {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", lot.to_owned()),
        ("x-deadline-ms", "1000".to_owned()),
        ("authorization", format!("Bearer {API_KEY}")),
    ];
    let address = instance.caller_proxy.address;
    let (target, timeout) = (format!("/v1/lots/{lot}?after=0"), Duration::from_secs(2));
    let answer = call(
        address,
        Method::GET,
        &target,
        &headers,
        Bytes::new(),
        timeout,
    );
    answer.await.ok().map(|answer| answer.status)
}

/// The metrics of an instance about calls over links.
async fn relayed_call_metrics(instance: &Instance) -> Vec<String> {
    let address = instance.metrics_address();
    metrics(address, "pinereel_hosted_relayed_store_calls_total").await
}

/// Without a way through the parent, a runner that the store rejects cannot renew its lease: it passes
/// to another instance after 2 s to 3.5 s, which runs the lot again, so that a step takes 10 s to 12 s.
#[actix_rt::test]
async fn a_runner_that_the_store_rejects_keeps_its_lease_and_completes_the_step() {
    let site = Site::start(SITE_SIZE, 170).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    slow_down_engines(&site);
    let rejected = rejected_third(&site);
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let mut trainer = Trainer::new("kept", &load_balancer, &site.store, &recorder, SHAPE, 1);
    let lots_duty = format!("lots-{MODEL}");
    let takeovers_before = takeovers(&site, &lots_duty);
    let rejection = async {
        sleep(REJECTED_AFTER).await;
        reject(&site, &rejected);
        sleep(REJECTION / 4).await;
        for index in &rejected {
            let instance = &site.instances[*index];
            let status = read_lot(instance, "kept-0").await;
            assert_eq!(status, Some(StatusCode::OK), "{}", instance.name);
            // An instance that a trainer read from before may answer that from memory.
            let status = read_lot(instance, "none").await;
            assert_eq!(status, Some(StatusCode::NOT_FOUND), "{}", instance.name);
        }
        sleep(REJECTION * 3 / 4).await;
        reject(&site, &[]);
    };
    let step = async {
        let begin = Instant::now();
        trainer.step(0).await;
        begin.elapsed()
    };
    let (duration, ()) = tokio::join!(step, rejection);
    assert_eq!(trainer.done, 1);
    assert!(duration < STEP_DEADLINE, "the step took {duration:?}");
    assert_eq!(recorder.violations(), Vec::<String>::new());
    assert_eq!(takeovers(&site, &lots_duty), takeovers_before);
    sleep(Duration::from_secs(2)).await;
    for index in &rejected {
        let instance = &site.instances[*index];
        assert_eq!(lines(instance, &[RELAYING]).len(), 1, "{}", instance.name);
        assert_eq!(
            lines(instance, &[DIRECT_AGAIN]).len(),
            1,
            "{}",
            instance.name
        );
        // The first calls, and a probe each second.
        let count = site.store.rejected_count(&instance.name);
        assert!(count <= 20, "{}: {count} rejected calls", instance.name);
    }
    let others = (0..site.instances.len()).filter(|index| !rejected.contains(index));
    for index in others {
        let instance = &site.instances[index];
        assert_eq!(lines(instance, &[RELAYING]), Vec::<String>::new());
    }
    let runner = &site.instances[rejected[rejected.len() - 1]];
    let metrics = relayed_call_metrics(runner).await;
    assert!(
        metrics.iter().any(|line| line.contains("answered")),
        "{metrics:?}"
    );
}

/// A store that is silent to a runner, instead of rejecting its calls, is detected by the timeout of a
/// call. With a timeout of 1.5 s for renewals, the lease passed to another instance in three of three
/// runs.
#[actix_rt::test]
async fn a_runner_that_the_store_does_not_answer_keeps_its_lease() {
    let site = Site::start(SITE_SIZE, 176).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    slow_down_engines(&site);
    let lots_duty = format!("lots-{MODEL}");
    let runner = holder(&site, &lots_duty);
    assert_ne!(runner, holder(&site, "bulletin"));
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let mut trainer = Trainer::new("silent", &load_balancer, &site.store, &recorder, SHAPE, 1);
    let takeovers_before = takeovers(&site, &lots_duty);
    let store_proxy = &site.instances[runner].store_proxy;
    let silence = async {
        sleep(REJECTED_AFTER).await;
        store_proxy.set_faults(proxy::Faults::DROP_ALL);
        sleep(REJECTION).await;
        store_proxy.set_faults(proxy::Faults::default());
        store_proxy.reset_connections();
    };
    tokio::join!(trainer.step(0), silence);
    assert_eq!(trainer.done, 1);
    assert_eq!(recorder.violations(), Vec::<String>::new());
    assert_eq!(takeovers(&site, &lots_duty), takeovers_before);
}

/// The parent fails while it forwards the calls of a third of the instances. Their calls in progress
/// end as unknown, and none may be carried out twice; the step goes on through the next parent.
#[actix_rt::test]
async fn the_step_is_completed_when_the_parent_is_killed_during_the_rejection() {
    let mut site = Site::start(SITE_SIZE, 171).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    slow_down_engines(&site);
    let rejected = rejected_third(&site);
    let root = holder(&site, "bulletin");
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let store = site.store.clone();
    let mut trainer = Trainer::new("orphan", &load_balancer, &store, &recorder, SHAPE, 1);
    let rejection = async {
        sleep(REJECTED_AFTER).await;
        reject(&site, &rejected);
        sleep(REJECTION / 4).await;
        site.instances[root].signal(Signal::KILL);
        sleep(REJECTION * 3 / 4).await;
        // The successor must have its own way to the store.
        let successor = holder_except(&site, "bulletin", Some(root));
        assert!(
            !rejected.contains(&successor),
            "{successor} of {rejected:?}"
        );
        reject(&site, &[]);
    };
    tokio::join!(trainer.step(0), rejection);
    assert_eq!(trainer.done, 1);
    assert_eq!(recorder.violations(), Vec::<String>::new());
    recorder.check_orders();
    assert_eq!(recorder.violations(), Vec::<String>::new());
}

/// The root of the tree gets no changes while the store rejects it. With its lease renewed through
/// another instance, all instances would keep its old data.
#[actix_rt::test]
async fn the_root_duty_moves_away_from_an_instance_that_the_store_rejects() {
    let site = Site::start(SITE_SIZE, 172).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    let root = holder(&site, "bulletin");
    reject(&site, &[root]);
    sleep(Duration::from_secs(6)).await;
    let successor = holder(&site, "bulletin");
    assert_ne!(successor, root);
    // The former root has a parent now, and the calls of trainers there go through it.
    let status = read_lot(&site.instances[root], "none").await;
    assert_eq!(status, Some(StatusCode::NOT_FOUND));
    let metrics = relayed_call_metrics(&site.instances[root]).await;
    let is_answer = |line: &String| line.contains("\"parent\"") && line.contains("answered");
    assert!(metrics.iter().any(is_answer), "{metrics:?}");
    let deadline = Instant::now() + MAX_LOG_DELAY;
    while lines(&site.instances[root], &[RELAYING]).is_empty() && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(lines(&site.instances[root], &[RELAYING]).len(), 1);
    let taken = ["\"duty\":\"bulletin\"", "lease taken"];
    assert_eq!(lines(&site.instances[root], &taken).len(), 1);
    reject(&site, &[]);
}

/// Settings of a site in which only the last instance sends calls through its parent. It has so few
/// cores that it does not become the root.
fn only_last_relays(index: usize, settings: String) -> String {
    if index + 1 == SITE_SIZE_OLD.instances {
        return settings.replace("cores = 0.5", "cores = 0.05");
    }
    settings.replace("store_calls = true", "store_calls = false")
}

const SITE_SIZE_OLD: Size = Size {
    instances: 4,
    engines: 1,
    services: 1,
};

/// A parent of an older build does not announce that it takes calls, and drops the link on a frame that
/// it does not know.
#[actix_rt::test]
async fn nothing_is_sent_to_a_parent_that_does_not_take_calls() {
    let site = Site::start_with_settings(SITE_SIZE_OLD, 173, only_last_relays)
        .await
        .unwrap();
    sleep(Duration::from_secs(2)).await;
    let last = SITE_SIZE_OLD.instances - 1;
    assert_ne!(holder(&site, "bulletin"), last);
    let linked = lines(&site.instances[last], &["linked to a parent"]).len();
    reject(&site, &[last]);
    for _ in 0..10 {
        sleep(Duration::from_millis(200)).await;
        // The trainers' calls of this instance fail as before.
        let status = read_lot(&site.instances[last], "none").await;
        assert!(
            status.is_some_and(|status| status.is_server_error()),
            "{status:?}"
        );
    }
    for instance in &site.instances {
        assert_eq!(lines(instance, &[RELAYING]), Vec::<String>::new());
        assert_eq!(relayed_call_metrics(instance).await, Vec::<String>::new());
    }
    let instance = &site.instances[last];
    assert_eq!(lines(instance, &["linked to a parent"]).len(), linked);
    reject(&site, &[]);
}

/// A link to an instance, as a child has it.
struct ChildLink(WebSocketStream<TcpStream>);

impl ChildLink {
    async fn open(parent: &Instance) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        Self::open_on(socket, parent).await
    }

    async fn open_on(socket: TcpSocket, parent: &Instance) -> Self {
        let address = SocketAddr::new(parent.readiness_address.ip(), PEER_PORT);
        let stream = socket.connect(address).await.expect("an instance");
        let (socket, _) = client_async(format!("ws://{address}/"), stream)
            .await
            .expect("an instance");
        let mut link = Self(socket);
        link.send(&Frame::Hello(Hello {
            peer: Peer {
                address: "127.0.0.1:9".into(),
                zone: "here".into(),
                preferred: false,
            },
            topics: BTreeMap::new(),
        }))
        .await;
        link
    }

    async fn send(&mut self, frame: &Frame) {
        let bytes = frame.encode().expect("a frame");
        let sent = self.0.send(Message::Binary(bytes.into())).await;
        sent.expect("the link is open");
    }

    async fn receive(&mut self) -> Frame {
        loop {
            let message = timeout(Duration::from_secs(3), self.0.next()).await;
            let message = message.expect("a frame in time").expect("the link is open");
            if let Message::Binary(bytes) = message.expect("a message") {
                return Frame::decode(&bytes).expect("a frame");
            }
        }
    }

    /// The outcome of a call.
    async fn call(&mut self, call: StoreCall) -> StoreOutcome {
        let call_id = call.id;
        self.send(&Frame::StoreCall(call)).await;
        loop {
            if let Frame::StoreAnswer { id, outcome } = self.receive().await {
                assert_eq!(id, call_id);
                return outcome;
            }
        }
    }
}

fn read_call(id: u64, purpose: &str, path: &str) -> StoreCall {
    StoreCall {
        id,
        hops: 1,
        purpose: purpose.into(),
        access: "read".into(),
        method: "GET".into(),
        path: path.into(),
        body: Bytes::new(),
        wait: Duration::ZERO,
    }
}

/// A parent must not read the configuration, which holds keys, for another instance, and must bound what
/// a child can make it do.
#[actix_rt::test]
async fn a_parent_refuses_calls_for_the_configuration_and_beyond_its_bounds() {
    let site = Site::start(SITE_SIZE_OLD, 174).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let mut link = ChildLink::open(&site.instances[holder(&site, "bulletin")]).await;
    let first = link.receive().await;
    assert!(matches!(first, Frame::Heartbeat(heartbeat) if heartbeat.store_calls));
    let (lots, config) = ("/v1/objects/pinereel-lots/none", "/v1/objects/config/main");
    let answer = link.call(read_call(1, "lots", lots)).await;
    let not_found = matches!(&answer, StoreOutcome::Answered { status: 404, .. });
    assert!(not_found, "{answer:?}");
    for (id, purpose) in [(2, "config"), (3, "instances"), (4, "keys"), (5, "lots")] {
        let answer = link.call(read_call(id, purpose, config)).await;
        assert_eq!(answer, StoreOutcome::NotSent, "{purpose}");
    }
    // Forms that the store may take for a path to a forbidden kind.
    for path in [
        "/v1/objects/config%2Fmain",
        "/v1/objects%2fconfig/main",
        "/v1/objects/pinereel-lots%2F..%2Fconfig%2Fmain",
        "/v1/objects/c%6fnfig%3Fafter=x",
        "/v1/objects/servers#pinereel-lots",
        "/v1/objects/servers%23?after=pinereel-lots",
        "/v1/objects/servers?after=pinereel-lots",
    ] {
        let answer = link.call(read_call(6, "lots", path)).await;
        assert_eq!(answer, StoreOutcome::NotSent, "{path}");
    }
    // Names that only contain that of a kind.
    for path in [
        "/v1/objects/pinereel-lots/configs%2Fmy-config",
        "/v1/objects/pinereel-lots/none?staleOk=1",
    ] {
        let answer = link.call(read_call(6, "lots", path)).await;
        let not_found = matches!(&answer, StoreOutcome::Answered { status: 404, .. });
        assert!(not_found, "{path}: {answer:?}");
    }
    for hops in [0, MAX_STORE_CALL_HOPS + 1] {
        let call = StoreCall {
            hops,
            ..read_call(6, "lots", lots)
        };
        assert_eq!(link.call(call).await, StoreOutcome::NotSent, "{hops} hops");
    }
    let watch = "/v1/objects/pinereel-lots?watch=1000000&waitMs=10000";
    for id in 100..100 + MAX_CALLS_PER_CHILD {
        let call = StoreCall {
            access: "watch".into(),
            wait: Duration::from_secs(10),
            ..read_call(id, "lots", watch)
        };
        link.send(&Frame::StoreCall(call)).await;
    }
    let answer = link.call(read_call(7, "lots", lots)).await;
    assert_eq!(answer, StoreOutcome::NotSent, "more calls than the bound");
    // The calls of a link end with it.
    drop(link);
    sleep(Duration::from_millis(500)).await;
    let mut link = ChildLink::open(&site.instances[holder(&site, "bulletin")]).await;
    let answer = link.call(read_call(8, "lots", lots)).await;
    assert!(matches!(answer, StoreOutcome::Answered { status: 404, .. }));
}

/// Guards against an answer that is sent as one frame: lists of lots have a megabyte, and on a slow
/// link heartbeats that wait behind one were late, so that the child dropped the link and listed again.
#[actix_rt::test]
async fn a_large_answer_is_sent_in_parts() {
    let site = Site::start(SITE_SIZE_OLD, 178).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let spec = serde_json::json!({ "text": "x".repeat(300_000) });
    site.store.put("pinereel-results-large", "000000", spec);
    let mut link = ChildLink::open(&site.instances[holder(&site, "bulletin")]).await;
    let path = "/v1/objects/pinereel-results-large";
    let call = Frame::StoreCall(read_call(1, "lots", path));
    link.send(&call).await;
    let (mut parts, mut length) = (0, 0);
    loop {
        match link.receive().await {
            Frame::StoreAnswerPart { id: 1, body } => {
                assert!(body.len() <= 64 << 10, "{} bytes in a part", body.len());
                parts += 1;
                length += body.len();
            }
            Frame::StoreAnswer { id: 1, outcome } => {
                let StoreOutcome::Answered { status: 200, body } = outcome else {
                    panic!("{outcome:?}");
                };
                length += body.len();
                break;
            }
            _ => {}
        }
    }
    assert!(parts >= 4, "{parts} parts");
    assert!(length > 300_000, "{length} bytes");
}

/// Guards against a parent that does not receive while its child leaves answers unread: two instances that
/// send each other lists and commits waited for each other until the link was dropped.
#[actix_rt::test]
async fn a_parent_receives_while_its_answers_are_not_read() {
    let site = Site::start(SITE_SIZE_OLD, 179).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let spec = serde_json::json!({ "text": "x".repeat(TEXT_LENGTH) });
    site.store
        .put("pinereel-results-read", "000000", spec.clone());
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 << 10).unwrap();
    socket.set_send_buffer_size(64 << 10).unwrap();
    let mut link = ChildLink::open_on(socket, &site.instances[holder(&site, "bulletin")]).await;
    // 8 MB in each direction, more than the buffers of the connection at the parent hold.
    for id in 1..=CALLS_EACH {
        let call = read_call(id, "lots", "/v1/objects/pinereel-results-read");
        link.send(&Frame::StoreCall(call)).await;
    }
    sleep(Duration::from_secs(1)).await;
    let send_writes = async {
        for id in CALLS_EACH + 1..=2 * CALLS_EACH {
            let body = serde_json::json!({
                "metadata": { "name": format!("{id:06}") },
                "spec": spec,
            });
            link.send(&Frame::StoreCall(StoreCall {
                access: "write".into(),
                method: "POST".into(),
                body: body.to_string().into(),
                ..read_call(id, "lots", "/v1/objects/pinereel-results-both")
            }))
            .await;
            // The fake store handles one call after the other, each within the timeout of calls.
            sleep(Duration::from_millis(100)).await;
        }
    };
    let sent = timeout(Duration::from_secs(5), send_writes).await;
    assert!(sent.is_ok(), "the parent has stopped receiving");
    let mut answered = 0;
    while answered < 2 * CALLS_EACH {
        if let Frame::StoreAnswer { outcome, .. } = link.receive().await {
            let succeeded =
                matches!(&outcome, StoreOutcome::Answered { status, .. } if *status < 300);
            assert!(succeeded, "{outcome:?}");
            answered += 1;
        }
    }
}

/// An instance that the store rejects sends the calls of its children through its own parent, and tells
/// them that it takes calls. A call that has taken the most hops is not sent on.
#[actix_rt::test]
async fn a_rejected_parent_sends_calls_through_its_own_parent_up_to_the_hop_limit() {
    let site = Site::start(SITE_SIZE_OLD, 175).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let root = holder(&site, "bulletin");
    let rejected = (root + 1) % SITE_SIZE_OLD.instances;
    reject(&site, &[rejected]);
    let mut link = ChildLink::open(&site.instances[rejected]).await;
    let lots = "/v1/objects/pinereel-lots/none";
    for id in 0..20 {
        let answer = link.call(read_call(id, "lots", lots)).await;
        let not_found = matches!(&answer, StoreOutcome::Answered { status: 404, .. });
        assert!(not_found, "{answer:?}");
    }
    let call = StoreCall {
        hops: MAX_STORE_CALL_HOPS,
        ..read_call(30, "lots", lots)
    };
    assert_eq!(link.call(call).await, StoreOutcome::NotSent);
    let heartbeat = loop {
        if let Frame::Heartbeat(heartbeat) = link.receive().await {
            break heartbeat;
        }
    };
    assert!(heartbeat.store_calls);
    let count = site.store.rejected_count(&site.instances[rejected].name);
    assert!(count <= 3, "{count} direct calls of the rejected instance");
    reject(&site, &[]);
}
