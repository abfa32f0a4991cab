//! Lists whose pages cannot be read in full, or have no end.

use actix_http::StatusCode;
use pinereel::{
    hosted::Store,
    http::{self, Server},
    objects::{Client, Error, Options, Purpose},
    state::Clock,
};
use pinereel_fakes::fault::query_value;
use pinereel_platform::adapter;
use serde_json::{Value, json};
use std::{cell::Cell, net::Ipv4Addr, rc::Rc, time::Duration};
use tokio::{net::TcpListener, time::timeout};

/// Ends a list that has no end.
const LIST_TIMEOUT: Duration = Duration::from_secs(60);

/// Lists from a store that answers with `page_after`, called with the cursor of the call. Returns the names, or
/// the error, and the number of calls.
async fn list(page_after: impl Fn(&str) -> Value + 'static) -> (Result<Vec<String>, Error>, u64) {
    list_text(move |after| page_after(after).to_string()).await
}

/// Like [`list`], with pages as text.
async fn list_text(
    page_after: impl Fn(&str) -> String + 'static,
) -> (Result<Vec<String>, Error>, u64) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("the address");
    let (calls, page_after) = (Rc::new(Cell::new(0)), Rc::new(page_after));
    let counted = Rc::clone(&calls);
    let serve = move |request: http::Request| {
        counted.set(counted.get() + 1);
        let page_after = Rc::clone(&page_after);
        async move {
            let query = request.uri().query().unwrap_or_default();
            let after = query_value(query, "after").unwrap_or_default();
            http::text(StatusCode::OK, page_after(&after))
        }
    };
    let server = Server::start(listener, http::Options::default(), serve).await;
    let _server = server.expect("the server starts");
    let options = Options {
        address: address.to_string(),
        agent: "front-1".into(),
        max_concurrency: 8,
        timeout: Duration::from_secs(2),
        reads_per_second: 10_000.0,
        writes_per_second: 100.0,
    };
    let store = Store::new(Client::new(options, Clock::new()), adapter().store);
    let list = store.list(Purpose::Instances, "servers", None);
    let listed = timeout(LIST_TIMEOUT, list).await.expect("the list ends");
    let names = listed.map(|(objects, _)| objects.into_iter().map(|o| o.name.into()).collect());
    (names, calls.get())
}

fn object(name: &str) -> Value {
    json!({"metadata": {"name": name, "revision": 1}, "spec": {}, "status": null})
}

/// The same page was appended until the process exceeded its memory.
#[actix_rt::test]
async fn a_list_whose_pages_repeat_is_given_up() {
    let page =
        |_: &str| json!({"items": [object("a"), object("b")], "more": true, "currentRev": 7});
    let (listed, calls) = list(page).await;
    assert!(matches!(listed, Err(Error::Malformed(_))), "{listed:?}");
    assert_eq!(calls, 2);
}

/// A page without a name to continue from was taken for the last one, and hid the objects behind it.
#[actix_rt::test]
async fn a_page_without_a_name_fails_the_list() {
    let pages: [fn(&str) -> Value; 2] = [
        |_| json!({"items": [], "more": true, "currentRev": 7}),
        |_| json!({"items": [{"metadata": {"name": 4}}, "b"], "more": true, "currentRev": 7}),
    ];
    for page in pages {
        let (listed, calls) = list(page).await;
        assert!(matches!(listed, Err(Error::Malformed(_))), "{listed:?}");
        assert_eq!(calls, 1);
    }
}

/// The page after an unreadable object began before that object, again and again.
#[actix_rt::test]
async fn an_unreadable_object_at_the_end_of_a_page_does_not_hide_the_next_page() {
    let unreadable = |name: &str| json!({"metadata": {"name": name, "revision": "none"}});
    let page = move |after: &str| match after {
        "" => json!({"items": [object("a"), unreadable("b")], "more": true, "currentRev": 7}),
        "b" => json!({"items": [unreadable("c"), 3], "more": true, "currentRev": 7}),
        "c" => json!({"items": [object("d")], "more": false, "currentRev": 7}),
        _ => panic!("{after} ends no page"),
    };
    let (listed, calls) = list(page).await;
    assert_eq!(listed, Ok(vec!["a".to_owned(), "d".to_owned()]));
    assert_eq!(calls, 3);
}

/// A name with an escaped surrogate, which is no character, failed the list if it was the only one of its page.
#[actix_rt::test]
async fn a_page_with_only_a_name_that_is_not_unicode_does_not_hide_the_next_page() {
    let page = move |after: &str| match after {
        "" => json!({"items": [object("a")], "more": true, "currentRev": 7}).to_string(),
        "a" => {
            let name = r#"{"metadata":{"name":"b\udc00c","revision":1}}"#;
            format!(r#"{{"items":[{name}],"more":true,"currentRev":7}}"#)
        }
        "b\u{e000}" => json!({"items": [object("d")], "more": false, "currentRev": 7}).to_string(),
        _ => panic!("{after} ends no page"),
    };
    let (listed, calls) = list_text(page).await;
    assert_eq!(listed, Ok(vec!["a".to_owned(), "d".to_owned()]));
    assert_eq!(calls, 3);
}

/// A list was given up for objects of another writer whose contents are not kept.
#[actix_rt::test]
async fn objects_that_are_too_large_do_not_make_a_list_too_long() {
    const PAGES: u64 = 140;
    let text = "x".repeat(1 << 20);
    let page = move |after: &str| {
        let number = after.parse().unwrap_or(0) + 1;
        let mut large = object(&format!("{number:06}"));
        large["spec"] = json!({"text": text});
        json!({"items": [large], "more": number < PAGES, "currentRev": 7})
    };
    let (listed, calls) = list(page).await;
    let listed = listed.map(|names| names.len() as u64);
    assert_eq!((listed, calls), (Ok(PAGES), PAGES));
}

/// A store that makes up names for ever filled the memory.
#[actix_rt::test]
async fn a_list_of_names_without_an_end_is_given_up() {
    let page = |after: &str| {
        let first: u64 = after.parse().unwrap_or(0);
        let names = (first + 1..=first + 500).map(|number| format!("{number:012}"));
        let items: Vec<_> = names.map(|name| object(&name)).collect();
        json!({"items": items, "more": true, "currentRev": 7})
    };
    let (listed, calls) = list(page).await;
    assert!(matches!(listed, Err(Error::Malformed(_))), "{listed:?}");
    assert!(calls <= 300, "{calls} calls");
}
