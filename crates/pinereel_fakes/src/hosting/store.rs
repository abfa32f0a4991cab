//! A fake of the platform's object store: revisions, conditional writes, watches, and injected
//! faults.

use crate::fault::{self, query_value};
use actix_http::{
    HttpMessage as _, Method, StatusCode,
    body::{BodyStream, BoxBody},
    header::USER_AGENT,
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::stream;
use pinereel::{
    http::{self, Request, Response, Server},
    objects::Options,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::{
    borrow::Cow,
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch, time::sleep};

/// Longest body of a call.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of objects in one page of a list.
const DEFAULT_PAGE_SIZE: usize = 500;
/// Size from which a page of a list takes no further object.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// The faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether all calls are answered with status 503.
    pub down: bool,
    /// Delay of every call.
    pub delay: Duration,
    /// Probability that a write is not answered.
    pub loss_probability: f64,
    /// Whether a write that is not answered is carried out with a delay of 0.5 s to 3 s.
    pub delay_lost_writes: bool,
    /// Whether reads are answered with a body without an end.
    pub endless_reads: bool,
    /// Whether a watch from a compacted revision stays open and is never answered.
    pub accept_stale_watches: bool,
}

impl Faults {
    /// All calls are answered with status 503.
    pub const DOWN: Self = Self {
        down: true,
        delay: Duration::ZERO,
        loss_probability: 0.0,
        delay_lost_writes: false,
        endless_reads: false,
        accept_stale_watches: false,
    };
}

#[derive(Clone, Debug)]
struct StoredObject {
    revision: u64,
    created_revision: u64,
    spec: Value,
    status: Value,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    kinds: BTreeMap<CompactString, BTreeMap<CompactString, StoredObject>>,
    /// Changes that watches can still read: revision, kind and event.
    history: VecDeque<(u64, CompactString, Value)>,
    /// Newest revision whose changes are no longer in `history`.
    compacted_revision: u64,
}

/// A running fake store.
#[derive(Clone)]
pub struct Store {
    /// Address at which the store serves.
    pub address: SocketAddr,
    data: Rc<RefCell<Data>>,
    faults: Rc<Cell<Faults>>,
    rng: Rc<RefCell<ChaCha8Rng>>,
    changed: Rc<watch::Sender<u64>>,
    call_count: Rc<Cell<u64>>,
    /// Names of the instances whose calls are rejected.
    rejected: Rc<RefCell<BTreeSet<String>>>,
    /// Number of calls that were rejected for their sender, by its name.
    rejected_counts: Rc<RefCell<BTreeMap<String, u64>>>,
    probe_count: Rc<Cell<u64>>,
    page_size: Rc<Cell<usize>>,
    /// Number of calls received, by the name of the sender.
    sender_counts: Rc<RefCell<BTreeMap<String, u64>>>,
    lists: Rc<RefCell<BTreeMap<String, ListCount>>>,
    /// Statuses with which writes of the status of an object are refused, by its name.
    refused_status_writes: Rc<RefCell<BTreeMap<String, StatusCode>>>,
    refused_write_count: Rc<Cell<u64>>,
}

/// Counts of the lists of a kind since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCount {
    /// Number of lists that were begun.
    pub begun: u64,
    /// Number of pages after the first of a list.
    pub later_pages: u64,
    /// Largest number of objects while a page was read.
    pub max_objects: usize,
}

/// Why a write was rejected.
enum WriteError {
    NotFound,
    Conflict(Value),
    /// The name contains a slash, so that it cannot be part of a path.
    InvalidName,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let store = Self {
            address: listener.local_addr()?,
            data: Rc::default(),
            faults: Rc::default(),
            rng: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
            changed: Rc::new(watch::channel(0).0),
            call_count: Rc::default(),
            rejected: Rc::default(),
            rejected_counts: Rc::default(),
            probe_count: Rc::default(),
            page_size: Rc::new(Cell::new(DEFAULT_PAGE_SIZE)),
            sender_counts: Rc::default(),
            lists: Rc::default(),
            refused_status_writes: Rc::default(),
            refused_write_count: Rc::default(),
        };
        let state = store.clone();
        Server::start(listener, http::Options::default(), move |request| {
            let state = state.clone();
            async move { state.serve(request).await }
        })
        .await?;
        Ok(store)
    }

    /// Returns client options for this store, as an instance would use them.
    pub fn client_options(&self) -> Options {
        Options {
            address: self.address.to_string(),
            agent: "front-1".into(),
            max_concurrency: 8,
            timeout: Duration::from_millis(500),
            reads_per_second: 100.0,
            writes_per_second: 100.0,
        }
    }

    /// Sets the faults that are in force from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Sets the maximum number of objects in one page of a list.
    pub fn set_page_size(&self, page_size: usize) {
        self.page_size.set(page_size);
    }

    /// Sets the instances whose calls are answered with status 503 from now on, by their names.
    pub fn reject_instances(&self, names: impl IntoIterator<Item = String>) {
        self.rejected.replace(names.into_iter().collect());
    }

    /// Returns the number of calls of an instance that were rejected for their sender.
    pub fn rejected_count(&self, instance: &str) -> u64 {
        let counts = self.rejected_counts.borrow();
        counts.get(instance).copied().unwrap_or_default()
    }

    fn count_sender(&self, request: &Request) {
        if let Some(sender) = sender(request) {
            let mut counts = self.sender_counts.borrow_mut();
            *counts.entry(sender.to_owned()).or_default() += 1;
        }
    }

    /// Refuses writes of the status of the objects with this name from now on, of all kinds.
    pub fn refuse_status_writes(&self, name: &str, status: StatusCode) {
        let mut refused = self.refused_status_writes.borrow_mut();
        refused.insert(name.into(), status);
    }

    /// Accepts all writes of a status again.
    pub fn accept_status_writes(&self) {
        self.refused_status_writes.borrow_mut().clear();
    }

    /// Returns the number of writes that were refused for the name of their object.
    pub fn refused_write_count(&self) -> u64 {
        self.refused_write_count.get()
    }

    /// Whether a call is rejected for its sender, which is counted.
    fn is_rejected(&self, request: &Request) -> bool {
        let agent = sender(request);
        let Some(agent) = agent.filter(|agent| self.rejected.borrow().contains(*agent)) else {
            return false;
        };
        let mut counts = self.rejected_counts.borrow_mut();
        *counts.entry(agent.to_owned()).or_default() += 1;
        true
    }

    /// Discards the history of changes, so that watches from older revisions fail.
    pub fn compact(&self) {
        let mut data = self.data.borrow_mut();
        data.compacted_revision = data.revision;
        data.history.clear();
    }

    /// Returns the number of calls received since the start.
    pub fn call_count(&self) -> u64 {
        self.call_count.get()
    }

    /// Returns the number of calls of an instance received since the start.
    pub fn call_count_of(&self, instance: &str) -> u64 {
        let counts = self.sender_counts.borrow();
        counts.get(instance).copied().unwrap_or_default()
    }

    /// Returns the counts of lists since the start, by kind.
    pub fn lists(&self) -> BTreeMap<String, ListCount> {
        self.lists.borrow().clone()
    }

    /// Returns the number of probes received since the start: reads of `config/main` that may be
    /// answered with an old value.
    pub fn probe_count(&self) -> u64 {
        self.probe_count.get()
    }

    /// Returns the spec of an object, if the object exists.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let data = self.data.borrow();
        Some(data.kinds.get(kind)?.get(name)?.spec.clone())
    }

    /// Returns the status of an object, if the object exists; null if it was never written.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let data = self.data.borrow();
        Some(data.kinds.get(kind)?.get(name)?.status.clone())
    }

    /// Returns the objects of pinereel's own kinds as text: kind, name, spec and status.
    pub fn dump_own_objects(&self) -> String {
        let data = self.data.borrow();
        let own = data
            .kinds
            .iter()
            .filter(|(kind, _)| kind.starts_with("pinereel"));
        let objects = own.flat_map(|(kind, objects)| {
            let object = move |(name, stored): (&CompactString, &StoredObject)| {
                format!("{kind} {name} {} {}\n", stored.spec, stored.status)
            };
            objects.iter().map(object)
        });
        objects.collect()
    }

    /// Creates an object or replaces its spec, as an operator, endpoint or trainer would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.write(kind, name, |stored| stored.spec = spec);
    }

    /// Removes an object, if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut data = self.data.borrow_mut();
        let removed = data.kinds.get_mut(kind).and_then(|k| k.remove(name));
        if let Some(stored) = removed {
            data.revision += 1;
            let event = json!({"deleted": true, "object": object_json(name, &stored)});
            let revision = data.revision;
            data.history.push_back((revision, kind.into(), event));
            drop(data);
            self.changed.send_replace(revision);
        }
    }

    /// Applies `change` to an object, which is created if necessary. Returns the object as JSON.
    /// A change without effect makes no new revision.
    fn write(&self, kind: &str, name: &str, change: impl FnOnce(&mut StoredObject)) -> Value {
        let mut data = self.data.borrow_mut();
        let revision = data.revision + 1;
        let objects = data.kinds.entry(kind.into()).or_default();
        let before = objects.get(name).cloned();
        let mut stored = before.clone().unwrap_or(StoredObject {
            revision,
            created_revision: revision,
            spec: Value::Null,
            status: Value::Null,
        });
        change(&mut stored);
        let unchanged = before.is_some_and(|b| b.spec == stored.spec && b.status == stored.status);
        if unchanged {
            return object_json(name, &stored);
        }
        stored.revision = revision;
        objects.insert(name.into(), stored.clone());
        data.revision = revision;
        let written = object_json(name, &stored);
        let event = json!({"deleted": false, "object": written});
        data.history.push_back((revision, kind.into(), event));
        drop(data);
        self.changed.send_replace(revision);
        written
    }

    async fn serve(&self, mut request: Request) -> Response {
        self.call_count.set(self.call_count.get() + 1);
        self.count_sender(&request);
        let is_stale_read = request.uri().query().is_some_and(|q| q.contains("staleOk"));
        if is_stale_read && request.path().ends_with("/config/main") {
            self.probe_count.set(self.probe_count.get() + 1);
        }
        let faults = self.faults.get();
        if !faults.delay.is_zero() {
            sleep(faults.delay).await;
        }
        if faults.down || self.is_rejected(&request) {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = request.path().to_owned();
        let segments = fault::path_segments(path.trim_start_matches("/v1/objects/"));
        let parts: Vec<_> = segments.collect();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = http::read_json(&mut request, MAX_BODY_BYTES, Duration::from_secs(5)).await;
        let mut body: Value = body.unwrap_or_default();
        let method = request.method().clone();
        if method == Method::DELETE {
            // A deletion carries the expected revision in its query.
            let revision = query_value(&query, "revision");
            let revision = revision.and_then(|text| text.parse::<u64>().ok());
            body = json!({"metadata": {"revision": revision}});
        }
        if method == Method::GET && faults.endless_reads {
            let parts =
                stream::repeat_with(|| Ok::<_, io::Error>(Bytes::from(vec![b' '; 16 << 10])));
            return Response::new(StatusCode::OK).set_body(BoxBody::new(BodyStream::new(parts)));
        }
        if method == Method::GET {
            let parts: Vec<_> = parts.iter().map(|part| &**part).collect();
            return self.get(&parts, &query).await;
        }
        let lost = faults.loss_probability > 0.0
            && self.rng.borrow_mut().random_bool(faults.loss_probability);
        if lost && faults.delay_lost_writes {
            let (state, wait) = (self.clone(), self.rng.borrow_mut().random_range(500..3_000));
            let parts: Vec<_> = parts.into_iter().map(Cow::into_owned).collect();
            actix_rt::spawn(async move {
                sleep(Duration::from_millis(wait)).await;
                let parts: Vec<_> = parts.iter().map(String::as_str).collect();
                state.change(&method, &parts, &body);
            });
            return never_answer().await;
        }
        let parts: Vec<_> = parts.iter().map(|part| &**part).collect();
        let answer = self.change(&method, &parts, &body);
        if lost {
            return never_answer().await;
        }
        answer
    }

    async fn get(&self, parts: &[&str], query: &str) -> Response {
        if let [kind, name] = parts {
            let data = self.data.borrow();
            let found = data.kinds.get(*kind).and_then(|k| k.get(*name));
            return match found {
                Some(stored) => http::json(StatusCode::OK, &object_json(name, stored)),
                None => http::empty(StatusCode::NOT_FOUND),
            };
        }
        let kind = parts[0];
        let Some(after) = query_value(query, "watch").and_then(|text| text.parse().ok()) else {
            let after = query_value(query, "after");
            self.count_list(kind, after.is_some());
            return self.list(kind, &after.unwrap_or_default());
        };
        let wait = query_value(query, "waitMs").and_then(|text| text.parse().ok());
        let mut changed = self.changed.subscribe();
        let event_available = async {
            while self
                .events(kind, after)
                .is_some_and(|events| events.is_empty())
            {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        if self.faults.get().accept_stale_watches && self.events(kind, after).is_none() {
            return never_answer().await;
        }
        let _ =
            tokio::time::timeout(Duration::from_millis(wait.unwrap_or(0)), event_available).await;
        let revision = self.data.borrow().revision;
        match self.events(kind, after) {
            Some(events) => {
                let answer = json!({"events": events, "currentRev": revision});
                http::json(StatusCode::OK, &answer)
            }
            None => http::empty(StatusCode::GONE),
        }
    }

    /// Returns the events of a kind after a revision; `None` if the revision is compacted.
    fn events(&self, kind: &str, after: u64) -> Option<Vec<Value>> {
        let data = self.data.borrow();
        if after < data.compacted_revision {
            return None;
        }
        let newer = data
            .history
            .iter()
            .filter(|(r, k, _)| *r > after && k == kind);
        Some(newer.map(|(_, _, event)| event.clone()).collect())
    }

    fn count_list(&self, kind: &str, is_later_page: bool) {
        let objects = self.data.borrow().kinds.get(kind).map_or(0, BTreeMap::len);
        let mut lists = self.lists.borrow_mut();
        let list = lists.entry(kind.to_owned()).or_default();
        list.begun += u64::from(!is_later_page);
        list.later_pages += u64::from(is_later_page);
        list.max_objects = list.max_objects.max(objects);
    }

    /// Returns a page of the objects of a kind whose names follow `after`.
    fn list(&self, kind: &str, after: &str) -> Response {
        let data = self.data.borrow();
        let all = data.kinds.get(kind).into_iter().flatten();
        let mut rest = all.filter(|(name, _)| name.as_str() > after).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while items.len() < self.page_size.get()
            && let Some((name, stored)) = rest.next_if(|_| bytes < MAX_PAGE_BYTES)
        {
            bytes += text_bytes(&stored.spec) + text_bytes(&stored.status);
            items.push(object_json(name, stored));
        }
        let more = rest.peek().is_some();
        let answer = json!({"items": items, "more": more, "currentRev": data.revision});
        http::json(StatusCode::OK, &answer)
    }

    fn change(&self, method: &Method, parts: &[&str], body: &Value) -> Response {
        if let [_, name, "status"] = parts
            && let Some(status) = self.refused_status_writes.borrow().get(*name)
        {
            let count = self.refused_write_count.get() + 1;
            self.refused_write_count.set(count);
            return http::empty(*status);
        }
        let result = match (method.as_str(), parts) {
            ("POST", [kind]) => self.create(kind, body),
            ("PUT", [kind, name]) => self.update(kind, name, body),
            ("PUT", [kind, name, "status"]) => self.update_status(kind, name, body),
            ("DELETE", [kind, name]) => self.delete(kind, name, body),
            _ => Err(WriteError::NotFound),
        };
        match result {
            Ok(object) => http::json(StatusCode::OK, &object),
            Err(WriteError::NotFound) => http::empty(StatusCode::NOT_FOUND),
            Err(WriteError::InvalidName) => http::empty(StatusCode::BAD_REQUEST),
            Err(WriteError::Conflict(object)) => http::json(StatusCode::CONFLICT, &object),
        }
    }

    /// Returns a copy of an object.
    fn find(&self, kind: &str, name: &str) -> Option<StoredObject> {
        let data = self.data.borrow();
        data.kinds.get(kind)?.get(name).cloned()
    }

    fn create(&self, kind: &str, body: &Value) -> Result<Value, WriteError> {
        let name = body["metadata"]["name"].as_str().unwrap_or_default();
        if name.contains('/') {
            return Err(WriteError::InvalidName);
        }
        if let Some(stored) = self.find(kind, name) {
            return Err(WriteError::Conflict(object_json(name, &stored)));
        }
        Ok(self.write(kind, name, |stored| stored.spec = body["spec"].clone()))
    }

    fn update(&self, kind: &str, name: &str, body: &Value) -> Result<Value, WriteError> {
        let stored = self.find(kind, name).ok_or(WriteError::NotFound)?;
        let expected_revision = body["metadata"]["revision"].as_u64();
        if expected_revision.is_some_and(|revision| revision != stored.revision) {
            return Err(WriteError::Conflict(object_json(name, &stored)));
        }
        Ok(self.write(kind, name, |stored| stored.spec = body["spec"].clone()))
    }

    fn delete(&self, kind: &str, name: &str, body: &Value) -> Result<Value, WriteError> {
        let stored = self.find(kind, name).ok_or(WriteError::NotFound)?;
        let expected_revision = body["metadata"]["revision"].as_u64();
        if expected_revision.is_some_and(|revision| revision != stored.revision) {
            return Err(WriteError::Conflict(object_json(name, &stored)));
        }
        self.remove(kind, name);
        Ok(Value::Null)
    }

    fn update_status(&self, kind: &str, name: &str, body: &Value) -> Result<Value, WriteError> {
        self.find(kind, name).ok_or(WriteError::NotFound)?;
        Ok(self.write(kind, name, |stored| stored.status = body["status"].clone()))
    }
}

/// Returns the name of the instance that sent a call.
fn sender(request: &Request) -> Option<&str> {
    request.headers().get(USER_AGENT)?.to_str().ok()
}

/// Length of the texts in a value, which make up nearly all of a large object.
fn text_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(values) => values.iter().map(text_bytes).sum(),
        Value::Object(members) => members.values().map(text_bytes).sum(),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}

/// Keeps the connection open for ten minutes without an answer.
async fn never_answer() -> Response {
    sleep(Duration::from_secs(600)).await;
    http::empty(StatusCode::GATEWAY_TIMEOUT)
}

/// Returns an object in the store's wire format.
fn object_json(name: &str, stored: &StoredObject) -> Value {
    json!({
        "metadata": {
            "name": name,
            "revision": stored.revision,
            "createRev": stored.created_revision,
            "finalizers": [],
            "deleting": false,
        },
        "spec": stored.spec,
        "status": stored.status,
    })
}
