//! Following a kind of objects through outages of the store.

use pinereel::{
    hosted::{FeedEvent, Store, Update, WatchOptions, list_and_watch},
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

/// What a follower has been told, as numbers, with the times.
type Told = Rc<RefCell<Vec<(Instant, u64)>>>;

/// The stand-in, its client, and what a follower is told that watches for `wait` at most.
async fn start(
    wait: Duration,
    fed: Option<broadcast::Receiver<FeedEvent>>,
) -> (store::Store, Store, Told) {
    let stand_in = store::Store::start(1).await.expect("a free port");
    let options = stand_in.client_options();
    let store = Store::new(Client::new(options, Clock::new()), adapter().store);
    let told = Told::default();
    let (following, telling) = (store.clone(), Rc::clone(&told));
    actix_rt::spawn(async move {
        let manner = || WatchOptions {
            max_wait: wait,
            batch_delay: Duration::ZERO,
        };
        let take = |update, _| note(&telling, update);
        list_and_watch(&following, Purpose::Config, KIND, manner, fed, take).await;
    });
    let looking = store.clone();
    actix_rt::spawn(async move { looking.probe_in_outages(KIND, "a", || false).await });
    (stand_in, store, told)
}

fn note(told: &Told, update: Update) {
    let objects: Vec<_> = match update {
        Update::All(objects) => objects,
        Update::Changes(changes) => changes.into_iter().map(|c| c.object).collect(),
    };
    let numbers = objects
        .iter()
        .filter_map(|object| object.spec["x"].as_u64());
    let now = Instant::now();
    told.borrow_mut()
        .extend(numbers.map(|number| (now, number)));
}

/// A store that cuts its watches while it forgets its history may take the next watch from a
/// revision that it no longer has, and never answer it: the change in between was missed for as
/// long as that watch stayed open.
#[actix_rt::test]
async fn a_change_that_a_watch_would_never_tell_is_listed() {
    let (stand_in, store, told) = start(Duration::from_millis(200), None).await;
    stand_in.put(KIND, "a", json!({"x": 1}));
    sleep(Duration::from_millis(300)).await;
    stand_in.set_faults(Faults::DOWN);
    // The watch that waits comes to its end, and the next one is refused.
    sleep(Duration::from_millis(500)).await;
    assert!(store.unreachable_since().is_some());
    stand_in.put(KIND, "a", json!({"x": 2}));
    stand_in.compact();
    stand_in.set_faults(Faults {
        accept_stale_watches: true,
        ..Faults::default()
    });
    sleep(Duration::from_secs(1)).await;
    assert_eq!(told.borrow().last().map(|(_, x)| *x), Some(2));
}

/// Load pattern: the bulletin's holder is gone, and every instance tries to link again, in vain,
/// four times a second. Each try told the loss again and began a new watch.
#[actix_rt::test]
async fn a_loss_that_is_told_again_costs_no_call() {
    let (feed, heard) = broadcast::channel(8);
    let (stand_in, _, told) = start(Duration::from_secs(10), Some(heard)).await;
    stand_in.put(KIND, "a", json!({"x": 1}));
    for _ in 0..6 {
        feed.send(FeedEvent::Lost).expect("the follower hears");
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(told.borrow().last().map(|(_, x)| *x), Some(1));
    assert_eq!(stand_in.call_count(), 2, "a list and a watch");
}
