//! List and watch of a kind of objects, through outages of the store and of the broadcast tree.

use pinereel::{
    hosted::{
        FeedEvent, Origin, Store, Update, WatchOptions, list_and_watch, list_and_watch_with_origin,
    },
    objects::{Client, Purpose},
    state::Clock,
};
use pinereel_fakes::hosting::store::{self, Faults};
use pinereel_platform::adapter;
use serde_json::json;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{
    sync::broadcast,
    time::{Instant, sleep},
};

const KIND: &str = "things";

/// The numbers in the objects of all updates so far, with the times of the updates.
type ReceivedNumbers = Rc<RefCell<Vec<(Instant, u64)>>>;

/// Starts a fake store and a list and watch whose watches wait for `max_wait` at most.
/// Returns the fake store, its client, and the numbers received.
async fn start(
    max_wait: Duration,
    feed: Option<broadcast::Receiver<FeedEvent>>,
) -> (store::Store, Store, ReceivedNumbers) {
    let fake_store = store::Store::start(1).await.expect("a free port");
    let client_options = fake_store.client_options();
    let store = Store::new(Client::new(client_options, Clock::new()), adapter().store);
    let received = ReceivedNumbers::default();
    let (watched_store, recorded) = (store.clone(), Rc::clone(&received));
    actix_rt::spawn(async move {
        let options = || WatchOptions {
            max_wait,
            batch_delay: Duration::ZERO,
        };
        let on_update = |update, _| record(&recorded, update);
        list_and_watch(
            &watched_store,
            Purpose::Config,
            KIND,
            options,
            feed,
            on_update,
        )
        .await;
    });
    let probed = store.clone();
    actix_rt::spawn(async move { probed.probe_in_outages(KIND, "a", || false).await });
    (fake_store, store, received)
}

fn record(received: &ReceivedNumbers, update: Update) {
    let objects: Vec<_> = match update {
        Update::All(objects) => objects,
        Update::Changes(changes) => changes.into_iter().map(|c| c.object).collect(),
    };
    let numbers = objects
        .iter()
        .filter_map(|object| object.spec["x"].as_u64());
    let now = Instant::now();
    received
        .borrow_mut()
        .extend(numbers.map(|number| (now, number)));
}

/// A store that closes its watches and compacts its history may accept the next watch from a
/// compacted revision, and never answer it. The change in between was then missed for as long as
/// that watch stayed open.
#[actix_rt::test]
async fn a_change_that_a_stale_watch_misses_is_listed() {
    let (fake_store, store, received) = start(Duration::from_millis(200), None).await;
    fake_store.put(KIND, "a", json!({"x": 1}));
    sleep(Duration::from_millis(300)).await;
    fake_store.set_faults(Faults::DOWN);
    // The open watch times out, and the next one is refused.
    sleep(Duration::from_millis(500)).await;
    assert!(store.unreachable_since().is_some());
    fake_store.put(KIND, "a", json!({"x": 2}));
    fake_store.compact();
    fake_store.set_faults(Faults {
        accept_stale_watches: true,
        ..Faults::default()
    });
    sleep(Duration::from_secs(1)).await;
    assert_eq!(received.borrow().last().map(|(_, x)| *x), Some(2));
}

/// When the root of the broadcast tree has failed, every instance tries to reconnect four times a
/// second and fails. Each attempt once reported the loss again and started a new watch.
#[actix_rt::test]
async fn repeated_losses_of_the_feed_cause_no_call() {
    let (feed, feed_receiver) = broadcast::channel(8);
    let (fake_store, _, received) = start(Duration::from_secs(10), Some(feed_receiver)).await;
    fake_store.put(KIND, "a", json!({"x": 1}));
    for _ in 0..6 {
        feed.send(FeedEvent::Lost).expect("the receiver is alive");
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(received.borrow().last().map(|(_, x)| *x), Some(1));
    assert_eq!(fake_store.call_count(), 2, "a list and a watch");
}

/// An instance that starts late reads the store and is linked to a parent just after. The parent's
/// list is older than the own one, since the store's revision also grows with changes of other kinds.
/// That list was dropped without notice, so that the instance kept objects that its parent does not
/// send.
#[actix_rt::test]
async fn the_tree_is_reported_as_the_origin_also_if_its_list_is_older() {
    let fake_store = store::Store::start(1).await.expect("a free port");
    let client = Client::new(fake_store.client_options(), Clock::new());
    let store = Store::new(client, adapter().store);
    fake_store.put(KIND, "a", json!({"x": 1}));
    fake_store.put("others", "b", json!({"x": 2}));
    let (feed, feed_receiver) = broadcast::channel(8);
    let reported: Rc<RefCell<Vec<_>>> = Rc::default();
    let recorded = Rc::clone(&reported);
    actix_rt::spawn(async move {
        let options = || WatchOptions {
            max_wait: Duration::from_secs(10),
            batch_delay: Duration::ZERO,
        };
        let on_update = |update: Option<Update>, revision, origin| {
            let objects = update.map(|update| match update {
                Update::All(objects) => objects.len(),
                Update::Changes(changes) => changes.len(),
            });
            recorded.borrow_mut().push((objects, revision, origin));
        };
        let (purpose, feed) = (Purpose::Config, Some(feed_receiver));
        list_and_watch_with_origin(&store, purpose, KIND, options, feed, on_update).await;
    });
    feed.send(FeedEvent::Lost).expect("the receiver is alive");
    sleep(Duration::from_millis(200)).await;
    let older = Rc::new(Update::All(Vec::new()));
    feed.send(FeedEvent::Update(older, 1))
        .expect("the receiver is alive");
    sleep(Duration::from_millis(50)).await;
    let expected = [(Some(1), 2, Origin::Store), (None, 2, Origin::Tree)];
    assert_eq!(*reported.borrow(), expected);
}
