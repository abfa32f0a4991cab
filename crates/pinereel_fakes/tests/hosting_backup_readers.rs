//! Changes while the store does not answer the root of the broadcast tree, but does answer others, with
//! real processes. A change must be in force within 2 s of its confirmation at all instances that the
//! store answers.

use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        proxy,
        site::{Site, Size},
    },
};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Longest time between the confirmation of a change and its effect.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time for the instances to form the tree.
const SETTLE_TIME: Duration = Duration::from_secs(2);

fn size(instances: usize) -> Size {
    Size {
        instances,
        engines: 1,
        services: 2,
    }
}

/// Changes the configuration, and returns the instances that do not apply it after the longest time
/// allowed, except those in `excluded`.
async fn outdated_after_change(site: &mut Site, excluded: &[usize]) -> Vec<String> {
    site.configure("plain", Duration::from_secs(2));
    let changed_at = Instant::now();
    let included: Vec<usize> = (0..site.instances.len())
        .filter(|index| !excluded.contains(index))
        .collect();
    let site = &*site;
    let last = async {
        loop {
            let served = included
                .iter()
                .map(|index| site.serves_newest_routes(*index));
            if futures_util::future::join_all(served)
                .await
                .iter()
                .all(|s| *s)
            {
                return changed_at.elapsed();
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let last = tokio::time::timeout(MAX_PROPAGATION_TIME, last).await;
    println!("in force everywhere after {last:?}");
    sleep_until(changed_at + MAX_PROPAGATION_TIME).await;
    let mut outdated = Vec::new();
    for index in included {
        if !site.serves_newest_routes(index).await {
            outdated.push(site.instances[index].name.clone());
        }
    }
    outdated
}

/// The root noticed after the timeout of a call, 1.5 s, that the store did not answer it, and its children
/// stayed with it until then: they applied a change after up to 2.4 s.
#[actix_rt::test]
async fn a_change_is_in_force_in_time_while_the_store_is_silent_to_the_root() {
    let mut site = Site::start(size(9), 211).await.unwrap();
    sleep(SETTLE_TIME).await;
    for _ in 0..4 {
        let root = site.root();
        let silent = [root, (root + 1) % 9, (root + 2) % 9];
        for index in silent {
            let proxy = &site.instances[index].store_proxy;
            proxy.set_faults(proxy::Faults::DROP_ALL);
        }
        let outdated = outdated_after_change(&mut site, &silent).await;
        assert_eq!(outdated, Vec::<String>::new(), "root {root}");
        sleep(Duration::from_millis(1_500)).await;
        for index in silent {
            let proxy = &site.instances[index].store_proxy;
            proxy.set_faults(proxy::Faults::default());
            proxy.reset_connections();
        }
        sleep(SETTLE_TIME).await;
    }
}

/// Instances on the second level waited 0.4 s longer than their parents.
#[actix_rt::test]
async fn a_change_is_in_force_in_time_on_the_second_level_while_the_store_is_silent_to_the_root() {
    let mut site = Site::start(size(36), 212).await.unwrap();
    sleep(SETTLE_TIME).await;
    let root = site.root();
    let proxy = &site.instances[root].store_proxy;
    proxy.set_faults(proxy::Faults::DROP_ALL);
    let outdated = outdated_after_change(&mut site, &[root]).await;
    assert_eq!(outdated, Vec::<String>::new(), "root {root}");
}

/// A frozen root sends no heartbeats. Its first standby waited for it to accept a link before it read the
/// store itself, and the others for the first standby.
#[actix_rt::test]
async fn a_change_is_in_force_in_time_while_the_root_is_frozen() {
    let mut site = Site::start(size(12), 213).await.unwrap();
    sleep(SETTLE_TIME).await;
    let root = site.root();
    site.instances[root].signal(Signal::STOP);
    let outdated = outdated_after_change(&mut site, &[root]).await;
    site.instances[root].signal(Signal::CONT);
    assert_eq!(outdated, Vec::<String>::new(), "root {root}");
}

/// Calls to the store within 2.5 s, calm and while it is silent to the root, for a number of instances.
async fn call_counts(instances: usize, seed: u64) -> [u64; 2] {
    let span = Duration::from_millis(2_500);
    let site = Site::start(size(instances), seed)
        .await
        .expect("the site starts");
    sleep(SETTLE_TIME).await;
    let mut counts = [0; 2];
    for count in &mut counts {
        let before = site.store.call_count();
        sleep(span).await;
        *count = site.store.call_count() - before;
        let root = &site.instances[site.root()];
        root.store_proxy.set_faults(proxy::Faults::DROP_ALL);
    }
    let appointed = site.instances.iter();
    let appointed = appointed.map(|i| i.count_lines("reading the store for the parent"));
    println!(
        "{instances} instances: {counts:?} calls, {} readers appointed",
        appointed.sum::<usize>()
    );
    counts
}

/// Calls within 2.5 s of a calm site of any size: renewals of three leases, and the root's lists of the leases.
const MAX_CALM_CALLS: u64 = 30;
/// Calls that the outage may add at any size: nine readers, each of which lists and watches three kinds of
/// objects with five calls, the same of a new root, and a probe of the former root each 150 ms.
const MAX_ADDED_CALLS: u64 = 9 * 5 + 5 + 17;

/// Only a few instances may read the store for the root, however many there are: if each of 32 did, they would
/// make 160 calls.
#[actix_rt::test]
async fn calls_to_the_store_do_not_grow_with_the_instances_while_it_is_silent_to_the_root() {
    for (instances, seed) in [(8, 214), (16, 215), (32, 216)] {
        let [calm, outage] = call_counts(instances, seed).await;
        assert!(calm <= MAX_CALM_CALLS, "{instances} instances: {calm}");
        assert!(
            outage <= calm + MAX_ADDED_CALLS,
            "{instances} instances: {outage}"
        );
    }
}
