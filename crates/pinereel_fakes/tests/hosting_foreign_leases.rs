//! Objects of other writers under the names of leases.

use pinereel_fakes::{
    child_process::Signal,
    hosting::site::{Site, Size},
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 1,
    services: 1,
};
const LEASES: &str = "pinereel-duties";
/// Longest time until a duty has a holder again.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// Specs that are no lease, or one that no instance has written.
fn odd_specs() -> [Value; 7] {
    let lease = |field: &str, value: Value| {
        let mut lease =
            json!({"holder": "other", "fence": 1, "duration_ms": 2_000, "write_id": "w"});
        lease[field] = value;
        lease
    };
    [
        Value::Null,
        json!({"owner": "other"}),
        json!([1, 2]),
        lease("fence", json!("7")),
        lease("fence", json!(u64::MAX)),
        lease("duration_ms", json!(u64::MAX)),
        lease("rests", json!({"own_ms": u64::MAX, "other_ms": u64::MAX})),
    ]
}

/// Whether an instance has written the lease of each duty.
fn unheld_duties(site: &Site, duties: &[String]) -> Vec<String> {
    let is_held = |duty: &String| {
        let lease = site.store.spec(LEASES, duty).unwrap_or_default();
        let holder = lease["holder"].as_str().unwrap_or_default();
        let mut names = site.instances.iter().map(|instance| &*instance.name);
        names.any(|name| holder.starts_with(name))
    };
    duties
        .iter()
        .filter(|duty| !is_held(duty))
        .cloned()
        .collect()
}

fn duties(site: &Site) -> Vec<String> {
    let objects = site.store.dump_own_objects();
    let lines = objects
        .lines()
        .filter_map(|line| line.strip_prefix("pinereel-duties "));
    lines
        .filter_map(|line| Some(line.split_once(' ')?.0.to_owned()))
        .collect()
}

/// Overwrites the lease of each duty while it is held, then once more while all instances are down.
#[actix_rt::test]
async fn a_duty_whose_lease_is_overwritten_gets_a_holder() {
    let mut site = Site::start(SITE_SIZE, 691).await.expect("the site starts");
    sleep(Duration::from_secs(2)).await;
    let duties = duties(&site);
    assert!(duties.len() >= 2, "{duties:?}");
    for (number, spec) in odd_specs().into_iter().enumerate() {
        let restarts = number % 2 == 0;
        if restarts {
            for instance in &mut site.instances {
                instance.signal(Signal::KILL);
            }
        }
        for duty in &duties {
            site.store.put(LEASES, duty, spec.clone());
        }
        if restarts {
            for instance in &mut site.instances {
                instance.start().expect("the instance starts");
            }
        }
        let end = Instant::now() + TAKEOVER_TIMEOUT;
        while !unheld_duties(&site, &duties).is_empty() && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(
            unheld_duties(&site, &duties),
            Vec::<String>::new(),
            "{spec}"
        );
        for duty in &duties {
            let fence = site.store.spec(LEASES, duty).unwrap_or_default()["fence"].as_u64();
            assert!(
                fence.is_some_and(|fence| fence > 1 && fence < u64::MAX / 2),
                "{spec}: {fence:?}"
            );
        }
    }
}
