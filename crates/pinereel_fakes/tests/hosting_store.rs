//! The object store client of a hosted instance, against a fake store.

use pinereel::{
    hosted::Store,
    objects::{Client, Error, Purpose},
    state::Clock,
};
use pinereel_fakes::hosting::store;
use pinereel_platform::adapter;
use pinereel_port::store::Consistency;
use std::time::Duration;
use tokio::time::sleep;

async fn start() -> (store::Store, Store) {
    let fake_store = store::Store::start(1).await.expect("a free port");
    let clock = Clock::new();
    let options = fake_store.client_options();
    let client = Client::new(options, clock);
    (fake_store, Store::new(client, adapter().store))
}

async fn can_read(store: &Store) -> bool {
    let read = store.read(Purpose::Config, "config", "main", Consistency::Linearizable);
    read.await.is_ok()
}

#[actix_rt::test]
async fn probes_detect_the_end_of_an_outage_without_other_calls() {
    let (fake_store, store) = start().await;
    fake_store.set_faults(store::Faults::DOWN);
    assert!(!can_read(&store).await);
    assert!(store.unreachable_since().is_some());
    let probed = store.clone();
    actix_rt::spawn(async move { probed.probe_in_outages("config", "main", || false).await });
    fake_store.set_faults(store::Faults::default());
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.unreachable_since(), None);
    let calls = fake_store.call_count();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        fake_store.call_count(),
        calls,
        "no calls while the store is reachable"
    );
}

/// Callers are refused for the whole of an outage, and trainers submit their lot for the last time
/// soon after its end. Probes that wait for the backoff of the circuit breaker detected the end
/// 0.05 s to 0.7 s late.
#[actix_rt::test]
async fn the_end_of_an_outage_is_detected_within_two_probes() {
    let (fake_store, store) = start().await;
    fake_store.set_faults(store::Faults::DOWN);
    // The backoff of all other calls grows to its maximum, and one of them has just failed.
    let mut sent = 0;
    while sent < 8 {
        let calls = fake_store.call_count();
        assert!(!can_read(&store).await);
        sent += fake_store.call_count() - calls;
        sleep(Duration::from_millis(if sent < 8 { 20 } else { 0 })).await;
    }
    fake_store.set_faults(store::Faults::default());
    let probed = store.clone();
    actix_rt::spawn(async move { probed.probe_in_outages("config", "main", || false).await });
    sleep(Duration::from_millis(330)).await;
    assert_eq!(store.unreachable_since(), None);
    assert!(can_read(&store).await, "other calls are sent at once");
}

/// The store may refuse a third of the instances while it serves the others. Refused calls cost as
/// much as others, so their number must be limited.
#[actix_rt::test]
async fn only_probes_and_lots_are_sent_during_an_outage() {
    let (fake_store, store) = start().await;
    let probed = store.clone();
    actix_rt::spawn(async move { probed.probe_in_outages("config", "main", || false).await });
    fake_store.set_faults(store::Faults::DOWN);
    assert!(!can_read(&store).await);
    sleep(Duration::from_millis(1_200)).await;
    let calls = fake_store.call_count();
    let mut refused = Vec::new();
    for _ in 0..40 {
        let read = store.read(Purpose::Leases, "leases", "a", Consistency::Linearizable);
        refused.extend(read.await.err());
        sleep(Duration::from_millis(50)).await;
    }
    let unreachable = Error::NotSent("the object store is unreachable".into());
    assert!(
        refused.iter().all(|error| *error == unreachable),
        "{refused:?}"
    );
    assert_eq!(refused.len(), 40);
    let probes = fake_store.call_count() - calls;
    assert!((11..=15).contains(&probes), "{probes} in 2 s");
    let lot = store.create(Purpose::Lots, "lots", "a", "{}").await;
    assert!(
        matches!(lot, Err(Error::Refused(_))),
        "the lot was not sent: {lot:?}"
    );
    fake_store.set_faults(store::Faults::default());
    sleep(Duration::from_millis(330)).await;
    assert!(can_read(&store).await);
}

#[actix_rt::test]
async fn only_a_definite_refusal_counts_as_having_no_effect() {
    let (fake_store, store) = start().await;
    let first = store.create(Purpose::Lots, "lots", "a", r#"{"x":1}"#).await;
    assert_eq!(first.map(|object| object.spec["x"].clone()), Ok(1.into()));
    let again = store.create(Purpose::Lots, "lots", "a", "{}").await;
    assert_eq!(again, Err(pinereel::objects::Error::Conflict));
    fake_store.set_faults(store::Faults {
        loss_probability: 1.0,
        ..store::Faults::default()
    });
    let lost = store.create(Purpose::Lots, "lots", "b", "{}").await;
    assert!(lost.is_err_and(|error| !error.had_no_effect()));
    fake_store.set_faults(store::Faults::DOWN);
    let down = store.create(Purpose::Lots, "lots", "c", "{}").await;
    assert!(down.is_err_and(|error| error.had_no_effect()));
    assert!(
        fake_store.spec("lots", "b").is_some(),
        "the write was carried out"
    );
    assert!(fake_store.spec("lots", "c").is_none());
}
