//! Objects of other writers whose names have a meaning in a URI, in lists of more than one page.
//!
//! A name with a blank made every list fail, and one with `&` or `#` at the end of a page made a list begin
//! again for ever, so that restarted instances knew no endpoints.

use actix_http::StatusCode;
use pinereel::{
    hosted::Store,
    objects::{Client, Purpose},
    state::Clock,
};
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        caller::post,
        site::{Site, Size},
        store,
    },
};
use pinereel_platform::adapter;
use pinereel_port::store::Consistency;
use serde_json::json;
use std::{collections::BTreeSet, time::Duration};
use tokio::time::{sleep, timeout};

/// Parts of names that have a meaning in a URI or cannot stand in one.
const MARKS: [&str; 16] = [
    " ", "&", "+", "#", "%", "%41", "%zz", "/", "?", "=", ";", "\"", "<", "ü", "語", "&more=",
];
const PAGE_SIZES: [usize; 5] = [1, 2, 3, 50, 500];
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

const SITE_SIZE: Size = Size {
    instances: 3,
    engines: 0,
    services: 2,
};
/// More than two pages.
const FOREIGN_ENTRIES: usize = 1_200;
/// Time for which the restarted instances receive requests.
const REQUEST_TIME: Duration = Duration::from_secs(3);
/// Highest number of calls to the store in that time.
const MAX_CALLS_PER_INSTANCE: u64 = 60;
/// Memory of an instance by the settings of the site.
const MAX_INSTANCE_BYTES: u64 = 260_000_000;

fn client_of(fake_store: &store::Store) -> Store {
    let client = Client::new(fake_store.client_options(), Clock::new());
    Store::new(client, adapter().store)
}

/// Names with each mark at their start, in the middle, at the end and alone.
fn strange_names() -> BTreeSet<String> {
    let forms = |mark: &&str| {
        [
            format!("{mark}a"),
            format!("a{mark}b"),
            format!("b{mark}"),
            (*mark).to_owned(),
        ]
    };
    MARKS.iter().flat_map(forms).collect()
}

#[actix_rt::test]
async fn each_object_is_listed_once_whatever_the_name_that_ends_a_page() {
    let fake_store = store::Store::start(1).await.expect("a free port");
    let store = client_of(&fake_store);
    let names = strange_names();
    for name in &names {
        fake_store.put("servers", name, json!({}));
    }
    for page_size in PAGE_SIZES {
        fake_store.set_page_size(page_size);
        let calls = fake_store.call_count();
        let list = timeout(
            LIST_TIMEOUT,
            store.list(Purpose::Instances, "servers", None),
        );
        let listed = list.await.map(|listed| {
            let (objects, _) = listed.expect("the store answers");
            objects
                .into_iter()
                .map(|object| object.name.into())
                .collect::<Vec<String>>()
        });
        let expected: Vec<_> = names.iter().cloned().collect();
        assert_eq!(listed, Ok(expected), "page size {page_size}");
        let pages = names.len().div_ceil(page_size) as u64;
        assert_eq!(fake_store.call_count() - calls, pages);
    }
}

#[actix_rt::test]
async fn a_call_reaches_the_object_that_it_names() {
    let fake_store = store::Store::start(1).await.expect("a free port");
    let store = client_of(&fake_store);
    let purpose = Purpose::Lots;
    for name in strange_names().iter().filter(|name| !name.contains('/')) {
        let kind = format!("kind-{name}");
        let created = store.create(purpose, &kind, name, "{\"step\":1}").await;
        let created = created.expect("the object is created");
        assert_eq!(created.name, *name);
        let status = json!({"ended": true});
        let written = store.update_status(purpose, &kind, name, &status).await;
        assert_eq!(written, Ok(()), "{name}");
        let read = store.read(purpose, &kind, name, Consistency::Linearizable);
        let read = read.await.expect("the store answers");
        let read = read.unwrap_or_else(|| panic!("{name} exists"));
        assert_eq!((&read.spec, &read.status), (&json!({"step": 1}), &status));
        let spec = json!({"step": 2});
        let update = store.update(purpose, &kind, name, read.revision, &spec);
        let updated = update.await.expect("the object is updated");
        assert_eq!(fake_store.spec(&kind, name), Some(spec));
        let deletion = store.delete_at(purpose, &kind, name, updated.revision);
        assert_eq!(deletion.await, Ok(()), "{name}");
        assert_eq!(fake_store.spec(&kind, name), None, "{name}");
    }
}

/// Adds entries whose names contain `mark` to the list of endpoints, restarts all instances, and returns the
/// number of requests that they serve out of those sent.
async fn served_after_a_restart(mark: &str, seed: u64) -> (usize, usize) {
    let mut site = Site::start(SITE_SIZE, seed).await.expect("the site starts");
    for number in 0..FOREIGN_ENTRIES {
        let name = format!("!other{mark}{number:04}");
        site.store.put("servers", &name, json!({"owner": "other"}));
    }
    for instance in &mut site.instances {
        instance.signal(Signal::KILL);
    }
    for instance in &mut site.instances {
        instance.start().expect("the instance starts");
    }
    sleep(Duration::from_secs(3)).await;
    let calls = site.store.call_count();
    let (mut served, mut sent) = (0, 0);
    let rounds = REQUEST_TIME.as_millis() / 100;
    for round in 0..rounds {
        for instance in &site.instances {
            let (deadline, time_limit) = (Duration::from_millis(900), Duration::from_secs(1));
            let id = format!("r-{}-{round}", instance.name);
            let (address, path) = (instance.caller_proxy.address, "/live/x");
            let answer = post(address, path, id, deadline, "", time_limit).await;
            sent += 1;
            served += usize::from(answer.is_ok_and(|a| a.status == StatusCode::OK));
        }
        sleep(Duration::from_millis(100)).await;
    }
    let calls = site.store.call_count() - calls;
    let peaks: Vec<_> = site.instances.iter().map(|i| i.peak_memory()).collect();
    println!("{mark:?}: {served} of {sent} served, {calls} calls, peaks {peaks:?}");
    assert!(
        peaks
            .iter()
            .all(|peak| peak.is_some_and(|bytes| bytes < MAX_INSTANCE_BYTES)),
        "{mark:?}: {peaks:?}"
    );
    let max_calls = MAX_CALLS_PER_INSTANCE * site.instances.len() as u64;
    assert!(calls <= max_calls, "{mark:?}: {calls} calls");
    (served, sent)
}

/// A name that makes no valid URI failed each list, and no endpoint was known.
#[actix_rt::test]
async fn restarted_instances_serve_beside_entries_whose_names_make_no_uri() {
    for (seed, mark) in [(661, " "), (662, "\"")] {
        let (served, sent) = served_after_a_restart(mark, seed).await;
        assert_eq!(served, sent, "{mark:?}");
    }
}

/// A cursor that ended at `&` or `#` began the list again for ever, up to any limit on memory.
#[actix_rt::test]
async fn restarted_instances_serve_beside_entries_whose_names_end_a_query_value() {
    for (seed, mark) in [(663, "&"), (664, "#"), (665, "+"), (666, "%41")] {
        let (served, sent) = served_after_a_restart(mark, seed).await;
        assert_eq!(served, sent, "{mark:?}");
    }
}
