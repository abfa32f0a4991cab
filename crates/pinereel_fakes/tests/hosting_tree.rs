//! The broadcast tree, tested with real processes: with more instances than one parent can have children, and with
//! a root that is suspended.

use actix_http::StatusCode;
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        caller::post,
        site::{Instance, Site, Size},
    },
};
use std::{collections::BTreeMap, ops::Range, rc::Rc, time::Duration};
use tokio::time::sleep;

/// More instances than a root and its children.
const SITE_SIZE: Size = Size {
    instances: 36,
    engines: 1,
    services: 2,
};
const MAX_CHILDREN: usize = 32;

/// Current number of children of each instance, by its name.
fn child_counts(site: &Site) -> BTreeMap<&str, usize> {
    let child_counts = site.instances.iter().map(|instance| {
        let linked = instance.count_lines("broadcast tree: child linked");
        let lost = instance.count_lines("broadcast tree: child lost");
        (instance.name.as_str(), linked - lost)
    });
    child_counts.collect()
}

fn total_log_lines(site: &Site, text: &str) -> usize {
    let instances = site.instances.iter();
    instances.map(|instance| instance.count_lines(text)).sum()
}

/// Names of the running instances that do not serve the newest routes yet.
async fn outdated_instances(site: &mut Site) -> Vec<String> {
    let mut outdated = Vec::new();
    for index in 0..site.instances.len() {
        if site.instances[index].is_running() && !site.serves_newest_routes(index).await {
            outdated.push(site.instances[index].name.clone());
        }
    }
    outdated
}

/// Indexes of the root and of another instance with children.
fn root_and_inner_node(site: &Site) -> (usize, usize) {
    let child_counts = child_counts(site);
    let child_count = |index: &usize| child_counts[site.instances[*index].name.as_str()];
    let indexes = || 0..site.instances.len();
    let root = indexes()
        .max_by_key(child_count)
        .expect("there are instances");
    let inner_node = indexes()
        .filter(|index| *index != root)
        .max_by_key(child_count);
    (root, inner_node.expect("there are others"))
}

/// Updates must reach all instances within a bounded time, also after the failure of an inner node
/// or the root. If the root fails, only its standbys may read the store, so that the failure costs
/// few calls.
#[actix_rt::test]
async fn updates_reach_all_instances_and_the_loss_of_the_root_costs_few_calls() {
    let mut site = Site::start(SITE_SIZE, 150).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let counts = child_counts(&site);
    assert_eq!(counts.values().sum::<usize>(), 35, "{counts:?}");
    assert!(
        counts.values().all(|children| *children <= MAX_CHILDREN),
        "{counts:?}"
    );

    let calls = site.store.call_count();
    sleep(Duration::from_secs(2)).await;
    let idle_calls = site.store.call_count() - calls;
    // Renewals of three leases and the root's lists of the leases: no more than with three
    // instances.
    assert!(idle_calls <= 24, "{idle_calls} calls in 2 s");

    let (root, inner_node) = root_and_inner_node(&site);
    assert!(
        counts[site.instances[inner_node].name.as_str()] >= 1,
        "{counts:?}"
    );
    site.instances[inner_node].signal(Signal::KILL);
    site.configure("plain", Duration::from_secs(2));
    sleep(Duration::from_millis(600)).await;
    assert_eq!(outdated_instances(&mut site).await, Vec::<String>::new());
    assert_eq!(
        total_log_lines(&site, "broadcast tree: no source of updates"),
        0
    );

    let calls = site.store.call_count();
    site.instances[root].signal(Signal::KILL);
    sleep(Duration::from_millis(300)).await;
    site.configure("other", Duration::from_secs(2));
    sleep(Duration::from_millis(900)).await;
    assert_eq!(outdated_instances(&mut site).await, Vec::<String>::new());
    assert_eq!(
        total_log_lines(&site, "broadcast tree: no source of updates"),
        0
    );
    let taken_over = total_log_lines(
        &site,
        "broadcast tree: reading the store in place of the root",
    );
    assert!(
        (1..=3).contains(&taken_over),
        "{taken_over} instances replaced the root"
    );
    sleep(Duration::from_millis(800)).await;
    let takeover_calls = site.store.call_count() - calls;
    // Without the tree, each of the other instances would list and watch three kinds of objects.
    assert!(
        takeover_calls <= 80,
        "{takeover_calls} calls in 2 s after the loss of the root"
    );

    sleep(Duration::from_secs(2)).await;
    site.configure("plain", Duration::from_secs(2));
    sleep(Duration::from_millis(400)).await;
    assert_eq!(outdated_instances(&mut site).await, Vec::<String>::new());
    let counts = child_counts(&site);
    assert!(
        counts.values().all(|children| *children <= MAX_CHILDREN),
        "{counts:?}"
    );
}

/// A root that was suspended for longer than its lease lasts must learn which endpoints have left before it sends
/// requests again, although it follows nobody yet.
#[actix_rt::test]
async fn a_suspended_root_sends_nothing_to_endpoints_that_left_meanwhile() {
    let size = Size {
        instances: 3,
        engines: 1,
        services: 6,
    };
    let mut site = Site::start(size, 151).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let root = site.root();
    site.instances[root].signal(Signal::STOP);
    sleep(Duration::from_millis(500)).await;
    // The last one is of another service.
    for service in &site.services[..4] {
        service.endpoint.leave(service.proxy.address);
    }
    sleep(Duration::from_millis(6_000)).await;
    site.instances[root].signal(Signal::CONT);
    let (deadline, time_limit) = (Duration::from_secs(1), Duration::from_secs(5));
    let mut served = 0;
    for round in 0..60 {
        let send = |number| {
            let id = format!("r-{round}-{number}");
            let address = site.instances[root].caller_proxy.address;
            post(address, "/live/x", id, deadline, "", time_limit)
        };
        let answers = futures_util::future::join_all((0..6).map(send)).await;
        let complete = answers.iter().flatten();
        served += complete.filter(|a| a.status == StatusCode::OK).count();
        sleep(Duration::from_millis(10)).await;
    }
    assert!(served > 0);
    let lateness = site.recorder.max_lateness();
    assert!(lateness <= Duration::from_secs(2), "{lateness:?}");
}

/// A former root has an old list of the engines for its children, and reads a newer one from the store. An engine
/// that left meanwhile must not come back from the old list.
#[actix_rt::test]
async fn a_suspended_root_does_not_list_an_engine_again_that_left_meanwhile() {
    let size = Size {
        instances: 2,
        engines: 3,
        services: 2,
    };
    let mut site = Site::start(size, 152).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let root = site.root();
    // The root follows engines only once it has had a duty that needs them.
    let other = 1 - root;
    site.instances[other].signal(Signal::STOP);
    sleep(Duration::from_secs(6)).await;
    site.instances[other].signal(Signal::CONT);
    assert!(site.instances[root].count_lines(r#""lots-model-a""#) > 0);
    sleep(Duration::from_secs(2)).await;
    site.instances[root].signal(Signal::STOP);
    sleep(Duration::from_millis(500)).await;
    let engine = &site.engines[0].endpoint;
    engine.leave();
    sleep(Duration::from_secs(4)).await;
    engine.deregister();
    sleep(Duration::from_secs(2)).await;
    let id = Rc::clone(&engine.id);
    site.instances[root].signal(Signal::CONT);
    sleep(Duration::from_secs(3)).await;
    let lines = site.instances[root].lines();
    let is_removal =
        |line: &&String| line.contains("endpoint no longer listed") && line.contains(&*id);
    let removals: Vec<_> = lines.iter().filter(is_removal).collect();
    assert_eq!(removals.len(), 1, "{removals:#?}");
}

/// Starts a site in which each instance holds a duty. Which instance takes a free duty at the start depends on the
/// order in which the processes begin to run.
async fn start_with_spread_duties(size: Size, seeds: Range<u64>) -> Site {
    for seed in seeds {
        let site = Site::start(size, seed).await.expect("the site starts");
        sleep(Duration::from_secs(2)).await;
        let holds_a_duty = |instance: &Instance| {
            instance.count_lines("lease taken") > instance.count_lines("lease lost")
        };
        if site.instances.iter().all(holds_a_duty) {
            return site;
        }
    }
    panic!("an instance remains without a duty");
}

/// A former root reads all endpoints from the store, and forgets the engines once it has a parent. When it gets a duty
/// that needs them, the parent's list is current although its revision is lower than that of the store then.
#[actix_rt::test]
async fn a_suspended_root_gets_the_engines_with_its_next_duty() {
    let size = Size {
        instances: 3,
        engines: 3,
        services: 2,
    };
    let mut site = start_with_spread_duties(size, 153..161).await;
    let former = site.root();
    site.instances[former].signal(Signal::STOP);
    sleep(Duration::from_millis(500)).await;
    let service = &site.services[0];
    service.endpoint.leave(service.proxy.address);
    sleep(Duration::from_secs(6)).await;
    site.instances[former].signal(Signal::CONT);
    sleep(Duration::from_secs(3)).await;
    let root = site.root();
    let runner = (0..3).find(|index| ![former, root].contains(index));
    let count = |text| site.instances[former].count_lines(text);
    let engine_lists = r#""scope":"Engines""#;
    let (duties, lists) = (count("lease taken"), count(engine_lists));
    site.instances[runner.expect("three instances")].signal(Signal::KILL);
    sleep(Duration::from_secs(8)).await;
    let count = |text| site.instances[former].count_lines(text);
    assert!(count("lease taken") > duties, "it gets a duty");
    assert!(count(engine_lists) > lists, "it gets the engines");
}
