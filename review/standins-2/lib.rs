//! Stand-ins of the platform, its store, model workers, plain workers and clients, for the scripts of this
//! review. They use the standard library alone. They follow the users' `PROTOCOL.md`, and where that page is
//! silent they behave like a sound server or client.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, VecDeque},
    fs,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    pub fn num(&self) -> Option<f64> {
        match self {
            Json::Num(number) => Some(*number),
            _ => None,
        }
    }
    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }
    pub fn text(&self) -> String {
        let mut out = String::new();
        write_json(self, &mut out);
        out
    }
}

pub fn obj<const N: usize>(pairs: [(&str, Json); N]) -> Json {
    Json::Obj(pairs.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}
pub fn s(text: impl Into<String>) -> Json {
    Json::Str(text.into())
}
pub fn n(number: impl Into<f64>) -> Json {
    Json::Num(number.into())
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(b, at);
                if b.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Obj(map));
                }
                if b[*at] == b',' {
                    *at += 1;
                    continue;
                }
                let Json::Str(key) = parse_value(b, at)? else {
                    return None;
                };
                skip(b, at);
                if b.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                map.insert(key, parse_value(b, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return String::from_utf8(out).ok().map(Json::Str),
                    b'\\' => {
                        let e = *b.get(*at)?;
                        *at += 1;
                        match e {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'b' => out.push(8),
                            b'f' => out.push(12),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let c = char::from_u32(code).unwrap_or('?');
                                out.extend(c.to_string().bytes());
                            }
                            other => out.push(other),
                        }
                    }
                    c => out.push(c),
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < b.len() && b"+-.eE0123456789".contains(&b[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn write_json(value: &Json, out: &mut String) {
    match value {
        Json::Null => out.push_str("null"),
        Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
        Json::Num(x) if x.fract() == 0.0 && x.abs() < 9e15 => out.push_str(&(*x as i64).to_string()),
        Json::Num(x) => out.push_str(&x.to_string()),
        Json::Str(text) => {
            out.push('"');
            for c in text.chars() {
                match c {
                    '"' => out.push_str("\\\""),
                    '\\' => out.push_str("\\\\"),
                    '\n' => out.push_str("\\n"),
                    c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
                    c => out.push(c),
                }
            }
            out.push('"');
        }
        Json::Arr(items) => {
            out.push('[');
            for (i, item) in items.iter().enumerate() {
                if i > 0 {
                    out.push(',');
                }
                write_json(item, out);
            }
            out.push(']');
        }
        Json::Obj(map) => {
            out.push('{');
            for (i, (key, item)) in map.iter().enumerate() {
                if i > 0 {
                    out.push(',');
                }
                write_json(&Json::Str(key.clone()), out);
                out.push(':');
                write_json(item, out);
            }
            out.push('}');
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const T: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for c in bytes.chunks(3) {
        let v = (u32::from(c[0]) << 16)
            | (u32::from(*c.get(1).unwrap_or(&0)) << 8)
            | u32::from(*c.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= c.len() {
                out.push(T[(v >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the time since its start.
pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(fs::File::create(path).expect("the record cannot be written")),
        })
    }
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A small generator of random numbers.
pub struct Rng(pub u64);
impl Rng {
    pub fn seeded() -> Rng {
        let t = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Rng(t.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find_map(|(k, v)| (k == name).then_some(v))
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.as_str())
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(body);
            }
        }
    }
    let length = find(headers, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Time that a worker waits between the head of a request and a body of over 1 MB, in ms.
pub static SLOW_READ_MS: AtomicU64 = AtomicU64::new(0);

pub fn read_request(reader: &mut impl BufRead) -> Option<Head> {
    let line = read_line(reader)?;
    let mut parts = line.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (target, String::new()),
    };
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0_usize);
    if length > 1 << 20 {
        thread::sleep(Duration::from_millis(SLOW_READ_MS.load(Ordering::Relaxed)));
    }
    let body = read_body(reader, &headers)?;
    Some(Head { method, path, query, headers, body })
}

/// Writes a whole answer with a length; returns whether that succeeded.
pub fn answer(out: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes).is_ok()
}

/// Serves each connection in a thread of its own; the handler returns whether the connection is kept.
pub fn serve<F>(address: SocketAddr, handler: F) -> SocketAddr
where
    F: Fn(Head, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a stand-in cannot listen");
    let local = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read) = stream.try_clone() else { return };
                let mut reader = BufReader::new(read);
                while let Some(head) = read_request(&mut reader) {
                    if !handler(head, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    local
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Reads one answer from a kept channel; `None` if it ends before the whole answer.
pub fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Answer { status, headers, body })
}

/// Sends one request over a new connection. An error means that there is no complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Result<Answer, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(text)?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(wait)).map_err(text)?;
    stream.set_write_timeout(Some(wait)).map_err(text)?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).map_err(text)?;
    stream.write_all(body).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader).ok_or("no answer")?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let headers = read_headers(&mut reader).ok_or("no head")?;
    let body = read_body(&mut reader, &headers).ok_or("no body")?;
    Ok(Answer { status, headers, body })
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct StoreData {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: VecDeque<(u64, String, Json)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<(Mutex<StoreData>, Condvar)>,
    /// Time that each answer takes, in ms.
    pub delay_ms: Arc<AtomicU64>,
    /// Further time that each call about a kind takes whose name begins so, in ms.
    pub slow_kind: Arc<Mutex<(String, u64)>>,
}

fn object_json(name: &str, o: &Object) -> Json {
    obj([
        (
            "metadata",
            obj([
                ("name", s(name)),
                ("revision", n(o.revision as f64)),
                ("createRev", n(o.created as f64)),
                ("finalizers", Json::Arr(vec![])),
                ("deleting", Json::Bool(false)),
            ]),
        ),
        ("spec", o.spec.clone()),
        ("status", o.status.clone()),
    ])
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Store {
        let mut store = Store {
            address: SocketAddr::from((ip, 0)),
            data: Arc::default(),
            delay_ms: Arc::new(AtomicU64::new(4)),
            slow_kind: Arc::default(),
        };
        let state = store.clone();
        store.address = serve(store.address, move |head, out| state.handle(head, out));
        store
    }

    /// Creates an object or replaces its spec, as the operator, a worker or a trainer does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.change(kind, name, |o| o.spec = spec);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        let removed = data.kinds.get_mut(kind).and_then(|k| k.remove(name));
        if let Some(o) = removed {
            data.revision += 1;
            let revision = data.revision;
            let event = obj([("object", object_json(name, &o)), ("deleted", Json::Bool(true))]);
            data.history.push_back((revision, kind.into(), event));
            changed.notify_all();
        }
    }

    pub fn spec(&self, kind: &str, name: &str) -> Json {
        let data = self.data.0.lock().unwrap();
        let found = data.kinds.get(kind).and_then(|k| k.get(name));
        found.map_or(Json::Null, |o| o.spec.clone())
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let data = self.data.0.lock().unwrap();
        data.kinds.get(kind).map(|k| k.keys().cloned().collect()).unwrap_or_default()
    }

    fn change(&self, kind: &str, name: &str, edit: impl FnOnce(&mut Object)) -> Json {
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        let revision = data.revision + 1;
        let objects = data.kinds.entry(kind.into()).or_default();
        let before = objects.get(name).cloned();
        let mut o = before.clone().unwrap_or(Object {
            revision,
            created: revision,
            spec: Json::Null,
            status: Json::Null,
        });
        edit(&mut o);
        if before.is_some_and(|b| b.spec == o.spec && b.status == o.status) {
            return object_json(name, &o);
        }
        o.revision = revision;
        objects.insert(name.into(), o.clone());
        data.revision = revision;
        let written = object_json(name, &o);
        let event = obj([("object", written.clone()), ("deleted", Json::Bool(false))]);
        data.history.push_back((revision, kind.into(), event));
        changed.notify_all();
        written
    }

    fn handle(&self, head: Head, out: &mut TcpStream) -> bool {
        let Some(path) = head.path.strip_prefix("/v1/objects/") else {
            return answer(out, 404, &[], b"");
        };
        let parts: Vec<&str> = path.split('/').collect();
        thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
        let slow = {
            let slow = self.slow_kind.lock().unwrap();
            (!slow.0.is_empty() && parts[0].starts_with(&slow.0)).then_some(slow.1)
        };
        if let Some(ms) = slow {
            thread::sleep(Duration::from_millis(ms));
        }
        let (status, body) = self.perform(&head, &parts);
        let json = [("Content-Type", "application/json")];
        answer(out, status, &json, body.text().as_bytes())
    }

    fn perform(&self, head: &Head, parts: &[&str]) -> (u16, Json) {
        let body = Json::parse(&head.body).unwrap_or(Json::Null);
        let wanted = body.get("metadata").get("revision").num();
        match (head.method.as_str(), parts) {
            ("GET", [kind]) => match head.param("watch").and_then(|w| w.parse().ok()) {
                Some(after) => self.watch(kind, after, head.param("waitMs")),
                None => self.list(kind, head.param("after").unwrap_or_default()),
            },
            ("GET", [kind, name]) => {
                let data = self.data.0.lock().unwrap();
                match data.kinds.get(*kind).and_then(|k| k.get(*name)) {
                    Some(o) => (200, object_json(name, o)),
                    None => (404, Json::Null),
                }
            }
            // An object is `valueBytes` at most.
            ("POST", [_]) if head.body.len() > 1_048_576 => (413, Json::Null),
            ("POST", [kind]) => {
                let name = body.get("metadata").get("name").str().to_owned();
                if let Some(found) = self.find(kind, &name) {
                    return (409, found);
                }
                let spec = body.get("spec").clone();
                (201, self.change(kind, &name, |o| o.spec = spec))
            }
            ("PUT", [kind, name, rest @ ..]) => {
                let Some(found) = self.find(kind, name) else {
                    return (404, Json::Null);
                };
                if wanted.is_some() && wanted != found.get("metadata").get("revision").num() {
                    return (409, found);
                }
                let written = if rest.is_empty() {
                    let spec = body.get("spec").clone();
                    self.change(kind, name, |o| o.spec = spec)
                } else {
                    let status = body.get("status").clone();
                    self.change(kind, name, |o| o.status = status)
                };
                (200, written)
            }
            ("DELETE", [kind, name]) => {
                if self.find(kind, name).is_none() {
                    return (404, Json::Null);
                }
                self.remove(kind, name);
                (200, Json::Null)
            }
            _ => (404, Json::Null),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<Json> {
        let data = self.data.0.lock().unwrap();
        let o = data.kinds.get(kind)?.get(name)?;
        Some(object_json(name, o))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Json) {
        let data = self.data.0.lock().unwrap();
        let mut items = Vec::new();
        let mut more = false;
        for (name, o) in data.kinds.get(kind).into_iter().flatten() {
            if name.as_str() <= after {
                continue;
            }
            if items.len() == 500 {
                more = true;
                break;
            }
            items.push(object_json(name, o));
        }
        let page = obj([
            ("items", Json::Arr(items)),
            ("more", Json::Bool(more)),
            ("currentRev", n(data.revision as f64)),
        ]);
        (200, page)
    }

    fn watch(&self, kind: &str, after: u64, wait: Option<&str>) -> (u16, Json) {
        let wait = wait.and_then(|w| w.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        loop {
            let newer = data.history.iter().filter(|(r, k, _)| *r > after && k == kind);
            let events: Vec<Json> = newer.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = n(data.revision as f64);
                let page = obj([("events", Json::Arr(events)), ("currentRev", revision)]);
                return (200, page);
            }
            data = changed.wait_timeout(data, left).unwrap().0;
        }
    }

    /// Name of the instance that holds a duty, as the store shows it.
    pub fn holder(&self, duty: &str) -> String {
        let holder = self.spec("pinereel-duties", duty);
        let holder = holder.get("holder").str();
        holder.split('/').next().unwrap_or_default().to_owned()
    }
}

// ---------------------------------------------------------------- workers

/// A model worker.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub slots: usize,
    store: Store,
    service: String,
    model: String,
    record: Arc<Record>,
    /// Time between two events of a text, in ms.
    pub event_ms: AtomicU64,
    pub events: AtomicU64,
    pub running: AtomicUsize,
    waiting: AtomicUsize,
    version: AtomicU64,
    accepted: AtomicU64,
    busy: AtomicBool,
    highest_fence: AtomicU64,
    /// Runs: item, begin, end (none while it runs), and whether it was finished.
    pub runs: Mutex<Vec<Run>>,
    pub state: Mutex<&'static str>,
    /// Memory, in tokens: a larger request is rejected as if the worker were full.
    pub memory_tokens: AtomicU64,
    pub rejected: AtomicU64,
    /// Items whose ids end so fail at their first `failing_runs` runs, with status 500 after `fail_ms`.
    pub failing_suffix: Mutex<String>,
    pub failing_runs: AtomicUsize,
    pub fail_ms: AtomicU64,
    /// Per mille of the answers of status 500 that are sent a second time, late: where the next answer on
    /// that channel is due.
    pub extra_per_mille: AtomicU64,
    pub extras: AtomicU64,
    /// Times at which it has answered 500, by item.
    pub failures: Mutex<BTreeMap<String, Vec<f64>>>,
}

/// Failed runs of each failing item, at all workers.
static FAILED_RUNS: Mutex<BTreeMap<String, usize>> = Mutex::new(BTreeMap::new());

thread_local! {
    /// An extra answer that is due on the channel that this thread serves.
    static EXTRA: std::cell::RefCell<Option<Vec<u8>>> = const { std::cell::RefCell::new(None) };
}

#[derive(Clone, Debug)]
pub struct Run {
    pub item: String,
    pub began: f64,
    pub ended: Option<f64>,
    pub finished: bool,
}

impl Engine {
    pub fn start(
        store: &Store,
        record: &Arc<Record>,
        ip: Ipv4Addr,
        (id, service, model): (&str, &str, &str),
        slots: usize,
    ) -> Arc<Engine> {
        let slot = Arc::new(Mutex::new(None::<Arc<Engine>>));
        let handler_slot = Arc::clone(&slot);
        let address = serve(SocketAddr::from((ip, 0)), move |head, out| {
            let engine = handler_slot.lock().unwrap().clone();
            engine.is_some_and(|engine| engine.handle(head, out))
        });
        let engine = Arc::new(Engine {
            id: id.into(),
            address,
            slots,
            store: store.clone(),
            service: service.into(),
            model: model.into(),
            record: Arc::clone(record),
            event_ms: AtomicU64::new(100),
            events: AtomicU64::new(10),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            version: AtomicU64::new(1),
            accepted: AtomicU64::new(0),
            busy: AtomicBool::new(false),
            highest_fence: AtomicU64::new(0),
            runs: Mutex::default(),
            state: Mutex::new("ready"),
            memory_tokens: AtomicU64::new(u64::MAX),
            rejected: AtomicU64::new(0),
            failing_suffix: Mutex::default(),
            failing_runs: AtomicUsize::new(usize::MAX),
            fail_ms: AtomicU64::new(100),
            extra_per_mille: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            failures: Mutex::default(),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&engine));
        engine.register();
        engine
    }

    pub fn models(&self) -> Json {
        Json::Arr(vec![obj([
            ("name", s(self.model.as_str())),
            ("version", n(self.version.load(Ordering::Relaxed) as f64)),
            ("adapters", Json::Arr(vec![])),
        ])])
    }

    pub fn register(&self) {
        let entry = obj([
            ("service", s(self.service.as_str())),
            ("addr", s(self.address.to_string())),
            ("zone", s("z1")),
            ("version", s("1")),
            ("slots", n(self.slots as f64)),
            ("state", s(*self.state.lock().unwrap())),
            ("coldRemainingMs", n(0.0)),
            ("seq", n(1.0)),
            ("stage", s("both")),
            ("models", self.models()),
        ]);
        self.store.put("servers", &self.id, entry);
    }

    fn load(&self) -> String {
        let (running, waiting) = (&self.running, &self.waiting);
        let (running, waiting) = (running.load(Ordering::Relaxed), waiting.load(Ordering::Relaxed));
        format!("{running},{waiting},{}", self.slots)
    }

    fn handle(self: &Arc<Self>, head: Head, out: &mut TcpStream) -> bool {
        let id = head.header("x-request-id").unwrap_or_default().to_owned();
        let extra = EXTRA.with(|extra| extra.borrow_mut().take());
        if let Some(extra) = extra {
            self.record.line(format!("worker {} sends an extra answer before that to {id}", self.id));
            if out.write_all(&extra).is_err() {
                return false;
            }
        }
        let expected = head.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
            return answer(out, 421, &headers, b"");
        }
        match (head.method.as_str(), head.path.as_str()) {
            ("GET", "/v1/report") => {
                let report = obj([
                    ("stage", s("both")),
                    ("models", self.models()),
                    ("busy", Json::Bool(self.busy.load(Ordering::Relaxed))),
                    ("seq", n(self.accepted.load(Ordering::Relaxed) as f64)),
                    ("queued", n(self.waiting.load(Ordering::Relaxed) as f64)),
                    ("running", n(self.running.load(Ordering::Relaxed) as f64)),
                    ("kvUsed", n(0.0)),
                    ("kvTotal", n(40000.0)),
                    ("handles", n(0.0)),
                ]);
                answer(out, 200, &[], report.text().as_bytes())
            }
            ("POST", "/v1/order") => self.order(&head, out),
            ("GET", "/health") => answer(out, 200, &[("X-Instance-Id", &self.id)], b""),
            ("POST", _) => self.run(&head, &id, out),
            _ => answer(out, 404, &[("X-Request-Id", &id)], b""),
        }
    }

    fn order(self: &Arc<Self>, head: &Head, out: &mut TcpStream) -> bool {
        let order = Json::parse(&head.body).unwrap_or(Json::Null);
        let fence = order.get("fenceToken").num().unwrap_or(0.0) as u64;
        let version = order.get("version").num().unwrap_or(0.0) as u64;
        let holder = order.get("holder").str().to_owned();
        self.record.line(format!("worker {} order version {version} holder {holder} fence {fence}", self.id));
        if fence < self.highest_fence.fetch_max(fence, Ordering::SeqCst) {
            return answer(out, 412, &[], b"");
        }
        if version == self.version.load(Ordering::Relaxed) {
            return answer(out, 200, &[], b"");
        }
        if self.busy.swap(true, Ordering::SeqCst) {
            return answer(out, 409, &[], b"");
        }
        self.accepted.fetch_add(1, Ordering::SeqCst);
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(900));
            engine.version.store(version, Ordering::SeqCst);
            engine.busy.store(false, Ordering::SeqCst);
            engine.register();
        });
        answer(out, 202, &[], b"")
    }

    fn fails(&self, id: &str) -> bool {
        let suffix = self.failing_suffix.lock().unwrap();
        if suffix.is_empty() || !id.ends_with(suffix.as_str()) {
            return false;
        }
        let mut runs = FAILED_RUNS.lock().unwrap();
        let failed = runs.entry(id.into()).or_default();
        *failed += 1;
        *failed <= self.failing_runs.load(Ordering::Relaxed)
    }

    /// Answers 500 after some work.
    fn fail(&self, id: &str, load: &str, position: usize, out: &mut TcpStream) -> bool {
        let end = Instant::now() + Duration::from_millis(self.fail_ms.load(Ordering::Relaxed));
        let mut dropped = false;
        while Instant::now() < end && !dropped {
            thread::sleep(Duration::from_millis(10));
            dropped = is_closed(out);
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.runs.lock().unwrap()[position].ended = Some(self.record.now());
        if dropped {
            self.record.line(format!("worker {} dropped {id}", self.id));
            return false;
        }
        let bytes = format!(
            "HTTP/1.1 500 X\r\nContent-Length: 0\r\nX-Request-Id: {id}\r\n\
             X-Response-Stamp: st-{id}\r\nX-Server-Load: {load}\r\n\r\n"
        );
        let mut failures = self.failures.lock().unwrap();
        failures.entry(id.into()).or_default().push(self.record.now());
        drop(failures);
        self.record.line(format!("worker {} answers 500 to {id}", self.id));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        if u64::from(now / 1000) % 1000 < self.extra_per_mille.load(Ordering::Relaxed) {
            self.extras.fetch_add(1, Ordering::Relaxed);
            EXTRA.with(|extra| *extra.borrow_mut() = Some(bytes.clone().into_bytes()));
        }
        out.write_all(bytes.as_bytes()).is_ok()
    }

    /// Runs an item: one chunk an event, and the end of the chunks after the last.
    fn run(&self, head: &Head, id: &str, out: &mut TcpStream) -> bool {
        let load = self.load();
        let usage = head.header("x-token-usage").unwrap_or_default();
        let tokens: u64 = usage.split(',').filter_map(|t| t.trim().parse::<u64>().ok()).sum();
        let is_larger = tokens > self.memory_tokens.load(Ordering::Relaxed);
        let taken = self.running.fetch_add(1, Ordering::SeqCst);
        if taken >= self.slots || is_larger {
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !is_larger || self.rejected.fetch_add(1, Ordering::Relaxed) < 200 {
                let why = if is_larger { "larger than its memory" } else { "full" };
                self.record.line(format!("worker {} rejects {id}: {why}", self.id));
            }
            let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id), ("X-Server-Load", &load)];
            return answer(out, 503, &headers, b"");
        }
        let after: u64 = head.header("last-event-id").and_then(|e| e.parse().ok()).unwrap_or(0);
        let position = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { item: id.into(), began: self.record.now(), ended: None, finished: false });
            runs.len() - 1
        };
        self.record.line(format!("worker {} runs {id} after event {after}", self.id));
        if self.fails(id) {
            return self.fail(id, &load, position, out);
        }
        let version = self.version.load(Ordering::Relaxed);
        let begin = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Request-Id: {id}\r\nX-Response-Stamp: st-{id}\r\nX-Weight-Versions: {version}\r\n\
             X-Server-Load: {load}\r\n\r\n"
        );
        let mut sent = out.write_all(begin.as_bytes()).is_ok();
        let mut event = after;
        let last = self.events.load(Ordering::Relaxed);
        let mut jitter = Rng(id.bytes().fold(7, |h, b| h * 31 + u64::from(b)) | 1);
        while sent && event < last {
            let ms = self.event_ms.load(Ordering::Relaxed);
            thread::sleep(Duration::from_micros(ms * (800 + jitter.below(400))));
            event += 1;
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            sent = !is_closed(out) && out.write_all(chunk.as_bytes()).is_ok();
        }
        let finished = sent && out.write_all(b"0\r\n\r\n").is_ok();
        {
            let mut runs = self.runs.lock().unwrap();
            runs[position].ended = Some(self.record.now());
            runs[position].finished = finished;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let how = if finished { "finished" } else { "dropped" };
        self.record.line(format!("worker {} {how} {id} at event {event}", self.id));
        finished
    }
}

/// Whether the peer has closed its side.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// A plain worker: answers each request after its work. As an HTTP/1.1 server does, it answers the expectation
/// `100-continue` with an interim answer before the final one.
pub struct Plain {
    pub id: String,
    pub address: SocketAddr,
    pub work_ms: AtomicU64,
    pub running: AtomicUsize,
    /// Ids of the requests that it has run.
    pub ran: Mutex<Vec<String>>,
}

impl Plain {
    pub fn start(
        store: &Store,
        record: &Arc<Record>,
        ip: Ipv4Addr,
        (id, service): (&str, &str),
        slots: usize,
    ) -> Arc<Plain> {
        let slot = Arc::new(Mutex::new(None::<Arc<Plain>>));
        let handler_slot = Arc::clone(&slot);
        let record = Arc::clone(record);
        let address = serve(SocketAddr::from((ip, 0)), move |head, out| {
            let Some(plain) = handler_slot.lock().unwrap().clone() else { return false };
            let id = head.header("x-request-id").unwrap_or_default().to_owned();
            let expected = head.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != plain.id) {
                return answer(out, 421, &[("X-Not-Executed", "1"), ("X-Request-Id", &id)], b"");
            }
            if head.method == "GET" && head.path == "/health" {
                return answer(out, 200, &[("X-Instance-Id", &plain.id)], b"");
            }
            let taken = plain.running.fetch_add(1, Ordering::SeqCst);
            let load = format!("{},0,{slots}", taken.min(slots));
            if taken >= slots * 4 {
                plain.running.fetch_sub(1, Ordering::SeqCst);
                let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
                return answer(out, 503, &headers, b"");
            }
            if head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
                let _ = out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            plain.ran.lock().unwrap().push(id.clone());
            record.line(format!("worker {} runs {id} ({} bytes)", plain.id, head.body.len()));
            thread::sleep(Duration::from_millis(plain.work_ms.load(Ordering::Relaxed)));
            plain.running.fetch_sub(1, Ordering::SeqCst);
            let stamp = format!("st-{id}");
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Response-Stamp", stamp.as_str()),
                ("X-Server-Load", load.as_str()),
            ];
            answer(out, 200, &headers, format!("answer to {id}").as_bytes())
        });
        let plain = Arc::new(Plain {
            id: id.into(),
            address,
            work_ms: AtomicU64::new(25),
            running: AtomicUsize::new(0),
            ran: Mutex::default(),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&plain));
        let entry = obj([
            ("service", s(service)),
            ("addr", s(address.to_string())),
            ("zone", s("z1")),
            ("version", s("1")),
            ("slots", n(slots as f64)),
            ("state", s("ready")),
            ("coldRemainingMs", n(0.0)),
            ("seq", n(1.0)),
        ]);
        store.put("servers", id, entry);
        plain
    }
}

// ---------------------------------------------------------------- instances of pinereel

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}
/// Asks for a signal when the thread that started this process ends.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    pub starts: AtomicUsize,
}

impl Instance {
    /// Writes the settings of an instance as the platform renders `deploy/instance.ini`, and starts it with
    /// the command of `deploy/system.toml`.
    pub fn start(folder: &str, name: &str, ip: Ipv4Addr, store: SocketAddr) -> Arc<Instance> {
        Self::start_with(folder, name, ip, store, 120)
    }

    /// The same, with another bound `statusS`.
    pub fn start_with(folder: &str, name: &str, ip: Ipv4Addr, store: SocketAddr, status_s: u32) -> Arc<Instance> {
        let fields: Vec<(&str, String)> = vec![
            ("node", name.into()),
            ("zone", "z1".into()),
            ("listen.front", format!("{ip}:8161")),
            ("listen.ready", format!("{ip}:8167")),
            ("ip", ip.to_string()),
            ("portRange.0", "7720".into()),
            ("limits.maxFds", "4100".into()),
            ("limits.cpuShare", "0.25".into()),
            ("provider.addr", store.to_string()),
            ("bounds.drainMs", "2000".into()),
            ("bounds.graceS", "8".into()),
            ("bounds.leaseMs", "3000".into()),
            ("bounds.statusS", status_s.to_string()),
        ];
        let template = fs::read_to_string("deploy/instance.ini").expect("run this in the repository");
        let settings = PathBuf::from(format!("{folder}/{name}.ini"));
        fs::write(&settings, render(&template, &fields)).expect("the settings cannot be written");
        let instance = Arc::new(Instance {
            name: name.into(),
            callers: SocketAddr::from((ip, 8161)),
            ready: SocketAddr::from((ip, 8167)),
            settings,
            log: PathBuf::from(format!("{folder}/{name}.log")),
            child: Mutex::new(None),
            starts: AtomicUsize::new(0),
        });
        instance.spawn();
        instance
    }

    pub fn spawn(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new("target/release/pinereel");
        // An instance ends with the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg("hosted")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/nonexistent")
            .env("PINEREEL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/pinereel cannot be started");
        self.starts.fetch_add(1, Ordering::SeqCst);
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> i32 {
        self.child.lock().unwrap().as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        let pid = self.pid();
        if pid > 0 {
            unsafe { kill(pid, signal) };
        }
    }

    /// Whether the process has ended; it is then reaped.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        match child.as_mut() {
            Some(running) => matches!(running.try_wait(), Ok(Some(_)) | Err(_)),
            None => true,
        }
    }

    pub fn stop(&self) {
        self.signal(SIGCONT);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "here")];
        let answer = call(self.ready, "GET", "/v1/readiness", &headers, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory, in MB.
    pub fn resident_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Renders the template: `{{name}}`, and sections of fields that exist or don't.
fn render(template: &str, fields: &[(&str, String)]) -> String {
    let value = |name: &str| fields.iter().find(|(n, _)| *n == name).map(|(_, v)| v.clone());
    let mut text = String::new();
    let mut rest = template;
    while let Some(begin) = rest.find("{{") {
        text.push_str(&rest[..begin]);
        let tail = &rest[begin + 2..];
        let end = tail.find("}}").expect("an open placeholder");
        let name = &tail[..end];
        rest = &tail[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let at = rest.find(&close).expect("an open section");
            if value(section).is_some() {
                text.push_str(&render(&rest[..at], fields));
            }
            rest = &rest[at + close.len()..];
        } else {
            text.push_str(&value(name).unwrap_or_default());
        }
    }
    text.push_str(rest);
    text
}

// ---------------------------------------------------------------- configuration and jobs

pub const HOST: &str = "site.example";

pub struct RouteSpec {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub target_ms: u32,
}

/// Time after which an item of a job may be given up, and after which a job is due, in all configurations.
pub static ITEM_TTL_S: AtomicU64 = AtomicU64::new(12);
pub static DUE_MS: AtomicU64 = AtomicU64::new(7500);

/// Writes a configuration as the operator does.
pub fn configure(store: &Store, version: u32, routes: &[RouteSpec], services: Vec<Json>) {
    let routes = routes.iter().map(|r| {
        obj([
            ("name", s(r.name)),
            ("host", s(HOST)),
            ("pathPrefix", s(r.prefix)),
            ("kind", s(r.kind)),
            ("service", s(r.service)),
            ("timeoutMs", n(r.timeout_ms)),
            ("targetLatencyMs", n(r.target_ms)),
            ("targetCompletionMs", n(DUE_MS.load(Ordering::Relaxed) as f64)),
            ("itemTtlS", n(ITEM_TTL_S.load(Ordering::Relaxed) as f64)),
            ("maxAttempts", n(3)),
            ("priority", n(1)),
        ])
    });
    let spec = obj([
        ("version", n(version)),
        ("routes", Json::Arr(routes.collect())),
        ("services", Json::Arr(services)),
        (
            "limits",
            obj([
                ("maxHeaderBytes", n(16384)),
                ("maxBodyBytes", n(33554432)),
                ("headerTimeoutMs", n(5000)),
                ("idleTimeoutMs", n(60000)),
            ]),
        ),
    ]);
    store.put("config", "main", spec);
}

pub fn engine_service(name: &str, slots: u32, models: &[&str]) -> Json {
    let models = models.iter().map(|m| obj([("name", s(*m))])).collect();
    obj([
        ("name", s(name)),
        ("healthPath", s("/health")),
        ("maxConns", n(150)),
        ("engine", obj([("slots", n(slots)), ("models", Json::Arr(models))])),
    ])
}

pub fn plain_service(name: &str) -> Json {
    obj([("name", s(name)), ("healthPath", s("/health")), ("maxConns", n(110))])
}

/// The body of a batch job: groups of eight items, each with a reward call.
pub fn job(id: &str, path: &str, model: &str, groups: usize, step: u32) -> (Vec<u8>, Vec<String>) {
    let mut items = Vec::new();
    let mut ids = Vec::new();
    for group in 0..groups {
        for item in 0..8 {
            let item_id = format!("{id}i{group:02}{item}");
            let scorer = obj([
                ("id", s(format!("{item_id}r"))),
                ("host", s(HOST)),
                ("path", s(format!("/score/{item_id}"))),
                ("body", s(base64(b"score"))),
            ]);
            let prefix = format!("{:x}:255,{:x}:16", group + 1, 1000 + group * 8 + item);
            let headers = obj([
                ("X-Model", s(model)),
                ("X-Token-Usage", s("271,130")),
                ("X-Prompt-Prefix", s(prefix)),
            ]);
            items.push(obj([
                ("id", s(item_id.clone())),
                ("path", s(format!("{path}{item_id}"))),
                ("headers", headers),
                ("body", s(base64(b"prompt"))),
                ("tokens", n(401)),
                ("group", s(format!("{id}g{group}"))),
                ("scorer", scorer),
            ]));
            ids.push(item_id);
        }
    }
    let spec = obj([
        ("step", n(step)),
        ("model", s(model)),
        ("minVersion", n(1)),
        ("desiredCount", n((groups * 9 / 10) as f64)),
        ("items", Json::Arr(items)),
    ]);
    (spec.text().into_bytes(), ids)
}

/// For the items of a job that was accepted at `began`: how many have begun by `end`, and how many that no
/// worker has finished have been at no worker for `idle_s` before it.
pub fn at_no_worker(engines: &[Arc<Engine>], ids: &[String], began: f64, end: f64, idle_s: f64) -> (usize, usize) {
    let runs: Vec<Run> = engines.iter().flat_map(|e| e.runs.lock().unwrap().clone()).collect();
    let (mut begun, mut waiting) = (0, 0);
    for item in ids {
        let own: Vec<&Run> = runs.iter().filter(|r| r.item == *item).collect();
        begun += usize::from(!own.is_empty());
        if own.iter().any(|r| r.finished) {
            continue;
        }
        let last = own.iter().map(|r| r.ended.unwrap_or(end)).fold(began, f64::max);
        waiting += usize::from(end - last >= idle_s);
    }
    (begun, waiting)
}

/// Sends a call about a batch job to one front after the other until there is an answer that holds.
pub fn job_call(
    record: &Record,
    fronts: &[SocketAddr],
    method: &str,
    target: &str,
    id: &str,
    body: &[u8],
) -> Option<Answer> {
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("Content-Type", "application/json"),
        ("X-Deadline-Ms", "5000"),
    ];
    for _ in 0..8 {
        for front in fronts {
            let answer = call(*front, method, target, &headers, body, Duration::from_millis(1500));
            match answer {
                Ok(answer) if answer.status < 500 => {
                    record.line(format!("client {method} {target}: {}", answer.status));
                    return Some(answer);
                }
                Ok(answer) => record.line(format!("client {method} {target}: {}", answer.status)),
                Err(error) => record.line(format!("client {method} {target}: {error}")),
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    None
}

/// Number of the results of a job that are listed now.
pub fn listed(record: &Record, fronts: &[SocketAddr], id: &str) -> usize {
    let mut from = 0;
    loop {
        let target = format!("/v1/lots/{id}?after={from}");
        let Some(answer) = job_call(record, fronts, "GET", &target, id, b"") else { return from };
        let page = Json::parse(&answer.body).unwrap_or(Json::Null);
        let next = page.get("nextToken").num().unwrap_or(0.0) as usize;
        if next <= from {
            return from;
        }
        from = next;
    }
}

/// A client on a kept channel: one request every 50 ms or so, on the route `/app/`. Returns how many were read by a worker and got no answer.
pub fn kept_channel(
    front: SocketAddr,
    name: String,
    workers: Vec<Arc<Plain>>,
    record: Arc<Record>,
    stop: Arc<AtomicBool>,
) -> usize {
    let (mut lost, mut number) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let Ok(read) = stream.try_clone() else { continue };
        let mut reader = BufReader::new(read);
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{name}-{number}");
            let head = format!(
                "POST /app/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                break;
            }
            if read_answer(&mut reader).is_none() {
                let ran = workers.iter().any(|w| w.ran.lock().unwrap().contains(&id));
                record.line(format!("client {id}: the channel ended without an answer; at a worker: {ran}"));
                lost += usize::from(ran);
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    lost
}

/// The platform's watch of memory: it kills a process that uses more than it may, and starts it again after a
/// short delay.
pub struct MemoryWatch {
    ends: Vec<AtomicUsize>,
    peaks: Vec<AtomicU64>,
}

impl MemoryWatch {
    pub fn start(
        instances: &[Arc<Instance>],
        limit_mb: u64,
        record: &Arc<Record>,
        stop: &Arc<AtomicBool>,
    ) -> (Arc<MemoryWatch>, Vec<thread::JoinHandle<()>>) {
        let watch = Arc::new(MemoryWatch {
            ends: instances.iter().map(|_| AtomicUsize::new(0)).collect(),
            peaks: instances.iter().map(|_| AtomicU64::new(0)).collect(),
        });
        let threads = instances.iter().enumerate().map(|(i, instance)| {
            let (watch, instance) = (Arc::clone(&watch), Arc::clone(instance));
            let (record, stop) = (Arc::clone(record), Arc::clone(stop));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                    let resident = instance.resident_mb();
                    watch.peaks[i].fetch_max(resident, Ordering::Relaxed);
                    if resident > limit_mb || instance.has_ended() {
                        record.line(format!("{} ends: it uses {resident} MB of {limit_mb}", instance.name));
                        watch.ends[i].fetch_add(1, Ordering::SeqCst);
                        instance.stop();
                        thread::sleep(Duration::from_millis(500));
                        instance.spawn();
                    }
                }
            })
        });
        let threads = threads.collect();
        (watch, threads)
    }
    pub fn ends(&self) -> Vec<usize> {
        self.ends.iter().map(|e| e.load(Ordering::SeqCst)).collect()
    }
    pub fn peaks(&self) -> Vec<u64> {
        self.peaks.iter().map(|p| p.load(Ordering::Relaxed)).collect()
    }
}

/// A folder of its own for the settings and logs of a run, and loopback addresses that no other run uses.
pub struct Place {
    pub folder: String,
    net: (u8, u8),
}

impl Place {
    pub fn new(case: &str) -> Place {
        let mut rng = Rng::seeded();
        let net = (20 + rng.below(200) as u8, rng.below(250) as u8);
        let folder = std::env::temp_dir().join(format!("pinereel-review-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        Place { folder: folder.to_string_lossy().into_owned(), net }
    }
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }
    pub fn remove(&self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Whether the run is to have its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}
