//! Outages of the store, with real processes: how many probes they cost, and when the instances find
//! that they have ended.

use actix_http::Method;
use bytes::Bytes;
use pinereel_fakes::hosting::{
    http::call,
    proxy,
    site::{HOST, Instance, Site, Size},
    store::Faults,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const OUTAGE: Duration = Duration::from_secs(7);
/// Logged by an instance whose own call is answered again.
const OWN_RECOVERY: &str = r#""object store: reachable again""#;
/// Logged by an instance whose parent reports the end of the outage.
const REPORTED_RECOVERY: &str = r#""object store: reachable again for the root""#;

fn recovery_count(instance: &Instance) -> usize {
    instance.count_lines(OWN_RECOVERY) + instance.count_lines(REPORTED_RECOVERY)
}

fn total(site: &Site, count: impl Fn(&Instance) -> usize) -> usize {
    site.instances.iter().map(count).sum()
}

/// In an outage of the whole store, the root lost its lease and sent no heartbeats for lack of data:
/// all links broke after 3 s, and each of 55 instances probed the store 7 times a second. Before, this
/// test counted 1,840 probes, 2,419 calls and 54 links lost in the outage.
#[actix_rt::test]
async fn an_outage_of_the_whole_store_costs_few_probes_and_keeps_the_links() {
    let size = Size {
        instances: 55,
        engines: 1,
        services: 2,
    };
    let site = Site::start(size, 170).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let links_lost = |site: &Site| total(site, |i| i.count_lines("link to the parent lost"));
    let (probes_before, links_lost_before) = (site.store.probe_count(), links_lost(&site));
    let recoveries_before = total(&site, recovery_count);
    site.store.set_faults(Faults::DOWN);
    sleep(OUTAGE).await;
    let links_lost_in_outage = links_lost(&site) - links_lost_before;
    site.store.set_faults(Faults::default());
    let ended_at = Instant::now();
    let recovered = || total(&site, recovery_count) - recoveries_before;
    while recovered() < size.instances && ended_at.elapsed() < Duration::from_secs(3) {
        sleep(Duration::from_millis(20)).await;
    }
    let time_to_recovery = ended_at.elapsed();
    let reported = total(&site, |i| i.count_lines(REPORTED_RECOVERY));
    let probes = site.store.probe_count() - probes_before;
    println!("{probes} probes, recovered after {time_to_recovery:?}, {reported} by report");
    // A link may break beside load, after a silence of 1.2 s.
    assert!(links_lost_in_outage <= 3, "{links_lost_in_outage}");
    // The root and three standbys at 7 a second, the others at one.
    assert!(probes <= 800, "{probes} probes");
    assert!(reported > 0, "nobody heard of the end over the tree");
    // The root's probe, and 0.5 s until all instances know.
    assert!(
        time_to_recovery <= Duration::from_millis(1_000),
        "{time_to_recovery:?}, {} of {}",
        recovered(),
        size.instances
    );
}

/// The store may reject one instance while it answers the others. Nobody reports the end to that
/// instance, and its own probes, one a second, must find it.
#[actix_rt::test]
async fn an_instance_that_alone_is_rejected_finds_the_end_by_itself() {
    let size = Size {
        instances: 6,
        engines: 1,
        services: 2,
    };
    let site = Site::start(size, 171).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let is_leaf = |instance: &&Instance| {
        instance.count_lines(r#""lease taken""#) == 0
            && instance.count_lines("linked to a parent") == 1
    };
    let instance = site.instances.iter().find(is_leaf).expect("a leaf");
    let before = recovery_count(instance);
    instance.store_proxy.set_faults(proxy::Faults::DROP_ALL);
    // Its first call, to read a lot that does not exist, begins the outage for it.
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", "r".to_owned()),
        ("x-deadline-ms", "2000".to_owned()),
    ];
    let _ = call(
        instance.caller_proxy.address,
        Method::GET,
        "/v1/lots/none?after=0",
        &headers,
        Bytes::new(),
        Duration::from_secs(3),
    )
    .await;
    sleep(Duration::from_secs(3)).await;
    assert!(instance.count_lines("object store: unreachable") > 0);
    assert_eq!(recovery_count(instance), before);
    instance.store_proxy.set_faults(proxy::Faults::default());
    sleep(Duration::from_millis(1_300)).await;
    assert_eq!(instance.count_lines(OWN_RECOVERY), before + 1);
    assert_eq!(instance.count_lines(REPORTED_RECOVERY), 0);
}

/// The store may reject a third of the instances, the root among them, for longer than its lease lasts.
/// Their links are kept by heartbeats without data, and a change of the configuration must still reach all
/// instances within 4 s.
#[actix_rt::test]
async fn a_change_reaches_all_instances_while_the_root_and_others_are_rejected() {
    let size = Size {
        instances: 12,
        engines: 1,
        services: 2,
    };
    let mut site = Site::start(size, 172).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let root = site.root();
    for offset in 0..4 {
        let rejected = &site.instances[(root + offset) % size.instances];
        rejected.store_proxy.set_faults(proxy::Faults::DROP_ALL);
    }
    sleep(Duration::from_millis(1_000)).await;
    site.configure("plain", Duration::from_secs(2));
    let changed_at = Instant::now();
    let mut outdated: Vec<usize> = (0..size.instances).collect();
    while !outdated.is_empty() && changed_at.elapsed() < Duration::from_secs(4) {
        let mut remaining = Vec::new();
        for index in outdated {
            if !site.serves_newest_routes(index).await {
                remaining.push(index);
            }
        }
        outdated = remaining;
        sleep(Duration::from_millis(100)).await;
    }
    println!("root {root}, in force after {:?}", changed_at.elapsed());
    assert!(outdated.is_empty(), "{outdated:?}, root {root}");
}
