//! Stand-ins for the scripts: the platform's store, workers, clients, and the platform's control of
//! processes. It uses the standard library alone; `review/build.sh` compiles it with `rustc`.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => number.parse().ok(),
            _ => None,
        }
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(number) => out.push_str(number),
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn write_text(text: &str, out: &mut String) {
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

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                    if self.eat(b'}') {
                        return Some(Json::Object(fields));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.eat(b']') {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Json::List(items));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                (!number.is_empty()).then(|| Json::Number(number.into()))
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(fields.into_iter().map(|(n, v)| (n.into(), v)).collect())
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

// ---------------------------------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: String,
    headers: BTreeMap<String, String>,
}

/// Reads the head of a request; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.into(),
        query: query.into(),
        headers,
    })
}

fn body_length(request: &Request) -> usize {
    let length = request.headers.get("content-length");
    length.and_then(|length| length.parse().ok()).unwrap_or(0)
}

fn read_body(reader: &mut BufReader<TcpStream>, request: &Request) -> Option<Vec<u8>> {
    let mut body = vec![0; body_length(request)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
}

// --------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

impl Stored {
    fn json(&self, name: &str) -> Json {
        let metadata = object(vec![
            ("name", Json::Text(name.into())),
            ("revision", number(self.revision)),
            ("createRev", number(self.created)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        object(vec![
            ("metadata", metadata),
            ("spec", self.spec.clone()),
            ("status", self.status.clone()),
        ])
    }
}

#[derive(Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, Json)>,
}

/// The platform's store: objects by kind and name, conditional writes, watches.
struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Store {
    fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self {
            data: Mutex::default(),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_head(&mut reader)?;
            let body = read_body(&mut reader, &request)?;
            let (status, answer) = self.answer(&request, &body);
            let json = [("Content-Type", "application/json".to_owned())];
            write_answer(&mut writer, status, &json, answer.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Request, body: &[u8]) -> (u16, String) {
        let path = request.path.trim_start_matches("/v1/objects/").to_owned();
        let parts: Vec<&str> = path.split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match parameter(&request.query, "watch") {
                Some(after) => self.watch(kind, after.parse().unwrap_or(0), &request.query),
                None => self.list(kind, parameter(&request.query, "after").unwrap_or("")),
            },
            ("GET", [kind, name]) => {
                let data = self.data.lock().unwrap();
                let key = ((*kind).to_owned(), (*name).to_owned());
                match data.objects.get(&key) {
                    Some(stored) => (200, stored.json(name).to_text()),
                    None => (404, String::new()),
                }
            }
            ("POST", [kind]) => {
                let name = metadata
                    .get("name")
                    .and_then(Json::text)
                    .unwrap_or("")
                    .to_owned();
                let known = self.find(kind, &name);
                if let Some(known) = known {
                    return (409, known.json(&name).to_text());
                }
                (201, self.put(kind, &name, |stored| stored.spec = spec))
            }
            ("PUT", [kind, name]) => match self.find(kind, name) {
                None => (404, String::new()),
                Some(known) => {
                    let expected = metadata.get("revision").and_then(Json::number);
                    if expected.is_some_and(|expected| expected != known.revision) {
                        return (409, known.json(name).to_text());
                    }
                    (200, self.put(kind, name, |stored| stored.spec = spec))
                }
            },
            ("PUT", [kind, name, "status"]) => {
                if self.find(kind, name).is_none() {
                    return (404, String::new());
                }
                let status = body.get("status").cloned().unwrap_or(Json::Null);
                (200, self.put(kind, name, |stored| stored.status = status))
            }
            ("DELETE", [kind, name]) => {
                self.delete(kind, name);
                (200, "{}".into())
            }
            _ => (400, String::new()),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<Stored> {
        let data = self.data.lock().unwrap();
        data.objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned()
    }

    /// Changes an object, or creates it. The caller has checked the condition; this stand-in's writers
    /// never write one object at the same time without one.
    fn put(&self, kind: &str, name: &str, change: impl FnOnce(&mut Stored)) -> String {
        let mut data = self.data.lock().unwrap();
        let revision = data.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        let before = data.objects.get(&key).cloned();
        let mut stored = before.clone().unwrap_or(Stored {
            revision,
            created: revision,
            spec: Json::Null,
            status: Json::Null,
        });
        change(&mut stored);
        let unchanged = before.is_some_and(|b| b.spec == stored.spec && b.status == stored.status);
        if unchanged {
            return stored.json(name).to_text();
        }
        stored.revision = revision;
        data.revision = revision;
        data.objects.insert(key, stored.clone());
        let written = stored.json(name);
        let event = object(vec![
            ("object", written.clone()),
            ("deleted", Json::Bool(false)),
        ]);
        data.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
        written.to_text()
    }

    fn delete(&self, kind: &str, name: &str) {
        let mut data = self.data.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut stored) = data.objects.remove(&key) {
            data.revision += 1;
            stored.revision = data.revision;
            let event = object(vec![
                ("object", stored.json(name)),
                ("deleted", Json::Bool(true)),
            ]);
            let revision = data.revision;
            data.history.push((revision, kind.to_owned(), event));
            self.changed.notify_all();
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let data = self.data.lock().unwrap();
        let objects = data.objects.iter();
        let items = objects
            .filter(|((k, name), _)| k == kind && name.as_str() > after)
            .map(|((_, name), stored)| stored.json(name))
            .collect();
        let page = object(vec![
            ("items", Json::List(items)),
            ("more", Json::Bool(false)),
            ("currentRev", number(data.revision)),
        ]);
        (200, page.to_text())
    }

    fn watch(&self, kind: &str, after: u64, query: &str) -> (u16, String) {
        let wait = parameter(query, "waitMs")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut data = self.data.lock().unwrap();
        loop {
            let newer = data
                .history
                .iter()
                .filter(|(r, k, _)| *r > after && k == kind);
            let events: Vec<_> = newer.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = object(vec![
                    ("events", Json::List(events)),
                    ("currentRev", number(data.revision)),
                ]);
                return (200, answer.to_text());
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }
}

// -------------------------------------------------------------------------------------- record

struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

// ------------------------------------------------------------------------------------- workers

/// A worker of a plain service. It waits for `slow_ms` before it reads the body of a request.
struct Worker {
    id: String,
    address: SocketAddr,
    slow_ms: AtomicU64,
    record: Arc<Record>,
}

impl Worker {
    fn start(id: &str, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            id: id.into(),
            address: listener.local_addr()?,
            slow_ms: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&serving);
                thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_head(&mut reader)?;
            let id = request
                .headers
                .get("x-request-id")
                .cloned()
                .unwrap_or_default();
            thread::sleep(Duration::from_millis(self.slow_ms.load(Ordering::SeqCst)));
            let Some(body) = read_body(&mut reader, &request) else {
                self.record
                    .line(&format!("worker {}: {id} was cut off", self.id));
                return None;
            };
            self.record.line(&format!(
                "worker {}: runs {id}, {} bytes",
                self.id,
                body.len()
            ));
            let headers = [
                ("X-Request-Id", id.clone()),
                ("X-Response-Stamp", format!("stamp-of-{id}")),
                ("X-Instance-Id", self.id.clone()),
                ("X-Server-Load", "1,0,6".to_owned()),
            ];
            write_answer(&mut writer, 200, &headers, b"ok").ok()?;
            if request
                .headers
                .get("connection")
                .is_some_and(|c| c.eq_ignore_ascii_case("close"))
            {
                return None;
            }
        }
    }
}

// ----------------------------------------------------------------------------------- instances

/// An instance that the platform runs: restarted when it ends, killed beyond its memory.
struct Instance {
    name: String,
    folder: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
    child: Mutex<Option<Child>>,
    /// How often it was killed because its memory was over the limit.
    over_limit: AtomicU64,
    /// How often it ended otherwise.
    other_ends: AtomicU64,
    peak_kb: AtomicU64,
    stopping: AtomicBool,
}

fn free_address(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

impl Instance {
    fn new(number: usize, store: SocketAddr, folder: &Path) -> io::Result<Arc<Self>> {
        let (name, ip) = (
            format!("front-hall-{number}"),
            format!("127.0.0.{}", 10 + number),
        );
        let addresses: Vec<_> = (0..4)
            .map(|_| free_address(&ip))
            .collect::<io::Result<_>>()?;
        // As `deploy/instance.ini` is filled in for a small deployment.
        let settings = format!(
            "[instance]\nname = {name}\nzone = hall-{number}\ncallers = {}\nreadiness = {}\nmetrics = {}\npeers = {}\n\
             file_descriptors = 4100\ncores = 0.25\n\n[store]\naddress = {store}\nleave_after = 2000ms\n\n\
             [peers]\nstore_calls = true\n\n[stop]\nkilled_after = 8s\n\n[orders]\ngap = 3000ms\n\n\
             [lots]\nkept = 120s\n\n[log]\nstdout = true\n",
            addresses[0], addresses[1], addresses[2], addresses[3]
        );
        let folder = folder.join(&name);
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("instance.ini"), settings)?;
        Ok(Arc::new(Self {
            name,
            folder,
            callers: addresses[0],
            readiness: addresses[1],
            child: Mutex::new(None),
            over_limit: AtomicU64::new(0),
            other_ends: AtomicU64::new(0),
            peak_kb: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }))
    }

    fn spawn(&self) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        // The command of the deploy file.
        let child = Command::new("target/release/pinereel")
            .arg("hosted")
            .env("PINEREEL_SETTINGS", self.folder.join("instance.ini"))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Restarts the process when it ends, and kills it when it uses more than `limit_kb`.
    fn supervise(self: &Arc<Self>, limit_kb: u64, record: &Arc<Record>) {
        let (instance, record) = (Arc::clone(self), Arc::clone(record));
        thread::spawn(move || {
            while !instance.stopping.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                let mut guard = instance.child.lock().unwrap();
                let Some(child) = guard.as_mut() else {
                    continue;
                };
                let memory_kb = resident_kb(child.id());
                instance.peak_kb.fetch_max(memory_kb, Ordering::SeqCst);
                if let Ok(Some(status)) = child.try_wait() {
                    instance.other_ends.fetch_add(1, Ordering::SeqCst);
                    record.line(&format!("{}: ended by itself: {status}", instance.name));
                } else if memory_kb > limit_kb {
                    let _ = child.kill();
                    let _ = child.wait();
                    instance.over_limit.fetch_add(1, Ordering::SeqCst);
                    record.line(&format!(
                        "{}: {} MB, over its limit of {} MB: killed",
                        instance.name,
                        memory_kb / 1024,
                        limit_kb / 1024
                    ));
                } else {
                    continue;
                }
                *guard = None;
                drop(guard);
                thread::sleep(Duration::from_millis(500));
                if !instance.stopping.load(Ordering::SeqCst) {
                    let _ = instance.spawn();
                }
            }
        });
    }

    fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let answer = send(
                self.readiness,
                "GET",
                "/v1/readiness",
                &[],
                &[],
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(30));
        }
        false
    }

    fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Resident memory of a process in kB; 0 if it is gone.
fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Sends a request on a new channel; returns the status and the body of the answer.
fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += "Host: here\r\n";
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "Connection: close\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no answer"))?;
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest)?;
    let start = rest
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map_or(rest.len(), |at| at + 4);
    Ok((status, rest[start..].to_vec()))
}

// ------------------------------------------------------------------------------------- memory

/// Size of the body of one request, and bytes that a client may send (`limits` of the configuration).
const BODY_BYTES: usize = 16 << 20;
const MAX_BODY_BYTES: u64 = 33_554_432;
/// `memoryMb` of a front machine.
const MEMORY_MB: u64 = 260;
/// Clients of one round, and the time between two of them.
const CLIENTS: usize = 12;
const CLIENT_GAP: Duration = Duration::from_millis(150);
/// How long a worker waits before it reads a body.
const SLOW_READ_MS: u64 = 1_500;
/// Rounds in which each instance gets these requests.
const ROUNDS: usize = 3;

/// Workers read the bodies of requests slowly. Returns whether the rule was broken.
fn memory(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<bool> {
    let (store, store_address) = Store::start()?;
    let config = format!(
        r#"{{"version":4,"routes":[{{"name":"r1","host":"shop.example","pathPrefix":"/status/","kind":"safe","service":"orders-app","timeoutMs":2000,"targetLatencyMs":150,"maxAttempts":2,"priority":2}}],"services":[{{"name":"orders-app","maxConns":110,"healthPath":"/health"}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    );
    let config = Json::parse(&config).ok_or_else(|| io::Error::other("configuration"))?;
    store.put("config", "main", |stored| stored.spec = config);
    let mut workers = Vec::new();
    for number in 1..=4 {
        let worker = Worker::start(&format!("i-{number}"), record)?;
        let entry = object(vec![
            ("service", Json::Text("orders-app".into())),
            ("addr", Json::Text(worker.address.to_string())),
            ("zone", Json::Text(format!("hall-{}", 1 + number % 2))),
            ("version", number_one()),
            ("slots", Json::Number("6".into())),
            ("state", Json::Text("ready".into())),
            ("coldRemainingMs", Json::Number("0".into())),
            ("seq", number_one()),
        ]);
        store.put("servers", &worker.id, |stored| stored.spec = entry);
        workers.push(worker);
    }
    let mut instances = Vec::new();
    for number in 1..=2 {
        let instance = Instance::new(number, store_address, folder)?;
        instance.spawn()?;
        instance.supervise(MEMORY_MB * 1024, record);
        instances.push(instance);
    }
    let result = memory_rounds(trouble, &workers, &instances, record);
    instances.iter().for_each(|instance| instance.stop());
    result
}

fn number_one() -> Json {
    Json::Number("1".into())
}

fn memory_rounds(
    trouble: bool,
    workers: &[Arc<Worker>],
    instances: &[Arc<Instance>],
    record: &Arc<Record>,
) -> io::Result<bool> {
    for instance in instances {
        if !instance.wait_ready(Duration::from_secs(10)) {
            return Err(io::Error::other("not ready"));
        }
    }
    if trouble {
        let slow = |worker: &Arc<Worker>| worker.slow_ms.store(SLOW_READ_MS, Ordering::SeqCst);
        workers.iter().for_each(slow);
    }
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    for round in 0..ROUNDS {
        for instance in instances {
            if !instance.wait_ready(Duration::from_secs(10)) {
                return Err(io::Error::other("not ready again"));
            }
            let mut clients = Vec::new();
            for client in 0..CLIENTS {
                let (address, record, body) =
                    (instance.callers, Arc::clone(record), Arc::clone(&body));
                let name = instance.name.clone();
                clients.push(thread::spawn(move || {
                    let id = format!("{name}-r{round}-c{client}");
                    record.line(&format!("client: sends {id}, {} bytes", body.len()));
                    let headers = [
                        ("Host", "shop.example".to_owned()),
                        ("X-Request-Id", id.clone()),
                        ("X-Deadline-Ms", "2000".to_owned()),
                    ];
                    let limit = Duration::from_millis(2_500);
                    let answer = send(address, "POST", "/status/a", &headers, &body, limit);
                    record.line(&match answer {
                        Ok((status, _)) => format!("client: {id} is answered {status}"),
                        Err(error) => format!("client: {id} gets no answer: {error}"),
                    });
                }));
                thread::sleep(CLIENT_GAP);
            }
            for client in clients {
                let _ = client.join();
            }
        }
    }
    for instance in instances {
        record.line(&format!(
            "{}: over the limit {} times, other ends {}, peak {} MB",
            instance.name,
            instance.over_limit.load(Ordering::SeqCst),
            instance.other_ends.load(Ordering::SeqCst),
            instance.peak_kb.load(Ordering::SeqCst) / 1024
        ));
    }
    // "on a tenth of the machines in use (two at least) processes end by themselves three times"
    let ends = |i: &Arc<Instance>| {
        i.over_limit.load(Ordering::SeqCst) + i.other_ends.load(Ordering::SeqCst)
    };
    Ok(instances.iter().filter(|i| ends(i) >= 3).count() >= 2)
}

// ------------------------------------------------------------------------------------ partition

/// A link to a worker that can be cut: while it is, its channels are reset and new ones are refused.
struct Link {
    address: SocketAddr,
    target: SocketAddr,
    is_cut: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    listener: Mutex<Option<TcpListener>>,
}

impl Link {
    fn start(target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Arc::new(Self {
            address: listener.local_addr()?,
            target,
            is_cut: AtomicBool::new(false),
            channels: Mutex::default(),
            listener: Mutex::new(None),
        });
        link.accept(listener)?;
        Ok(link)
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        *self.listener.lock().unwrap() = Some(listener);
        let link = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let accepted = match link.listener.lock().unwrap().as_ref() {
                    Some(listener) => listener.accept(),
                    None => return,
                };
                match accepted {
                    Ok((stream, _)) => {
                        let _ = link.forward(stream);
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn forward(self: &Arc<Self>, caller: TcpStream) -> io::Result<()> {
        caller.set_nonblocking(false)?;
        let worker = TcpStream::connect(self.target)?;
        for stream in [&caller, &worker] {
            stream.set_nodelay(true)?;
            self.channels.lock().unwrap().push(stream.try_clone()?);
        }
        for (mut from, mut to) in [(caller.try_clone()?, worker.try_clone()?), (worker, caller)] {
            thread::spawn(move || {
                let _ = io::copy(&mut from, &mut to);
                let _ = to.shutdown(std::net::Shutdown::Write);
            });
        }
        Ok(())
    }

    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // Closing the listener makes the operating system refuse new channels.
        *self.listener.lock().unwrap() = None;
        for stream in self.channels.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn heal(self: &Arc<Self>) -> io::Result<()> {
        self.accept(TcpListener::bind(self.address)?)?;
        self.is_cut.store(false, Ordering::SeqCst);
        Ok(())
    }
}

/// A model engine: answers its report, and runs items of four events.
fn start_engine(record: &Arc<Record>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = Arc::clone(record);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&record);
            thread::spawn(move || serve_engine(stream, &record));
        }
    });
    Ok(address)
}

fn serve_engine(stream: TcpStream, record: &Record) -> Option<()> {
    const REPORT: &str = r#"{"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":41606,"handles":0}"#;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_head(&mut reader)?;
        read_body(&mut reader, &request)?;
        let id = request
            .headers
            .get("x-request-id")
            .cloned()
            .unwrap_or_default();
        if request.path == "/v1/report" {
            write_answer(&mut writer, 200, &[], REPORT.as_bytes()).ok()?;
            continue;
        }
        let after = request
            .headers
            .get("last-event-id")
            .and_then(|id| id.parse().ok());
        let events =
            (after.unwrap_or(0) + 1..=4).map(|n: u64| format!("id: {n}\ndata: {id}-{n}\n\n"));
        let body: String = events.collect();
        thread::sleep(Duration::from_millis(80));
        record.line(&format!("engine: runs item {id}"));
        let headers = [
            ("Content-Type", "text/event-stream".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Response-Stamp", format!("stamp-of-{id}")),
            ("X-Weight-Versions", "1".to_owned()),
        ];
        write_answer(&mut writer, 200, &headers, body.as_bytes()).ok()?;
    }
}

/// How long the links to the workers are cut.
const CUT: Duration = Duration::from_millis(5_000);
/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Requests on each route to each instance in steady state.
const STEADY_REQUESTS: usize = 25;
/// Items of the lot that is sent in steady state.
const ITEMS: usize = 8;

const FIRST_ROUTES: &str = r#"{"name":"r0","host":"shop.example","pathPrefix":"/draft/","kind":"rollout","service":"draft-llm","targetLatencyMs":500,"targetCompletionMs":7500,"maxAttempts":3,"itemTtlS":60,"timeoutMs":10000,"priority":1},{"name":"r1","host":"shop.example","pathPrefix":"/status/","kind":"safe","service":"orders-app","timeoutMs":2000,"targetLatencyMs":150,"maxAttempts":2,"priority":2}"#;
const LATER_ROUTE: &str = r#"{"name":"r2","host":"shop.example","pathPrefix":"/sync/","kind":"safe","service":"slots-app","timeoutMs":2000,"targetLatencyMs":400,"maxAttempts":4,"priority":2}"#;
const SERVICES: &str = r#"{"name":"draft-llm","maxConns":150,"healthPath":"/health","engine":{"slots":8,"kvCapacity":41606,"models":[{"name":"m0"}]}},{"name":"orders-app","maxConns":110,"healthPath":"/health"},{"name":"slots-app","maxConns":110,"healthPath":"/health"}"#;

fn put_config(store: &Store, version: u64, routes: &str) -> io::Result<()> {
    let text = format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{SERVICES}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    );
    let config = Json::parse(&text).ok_or_else(|| io::Error::other("configuration"))?;
    store.put("config", "main", |stored| stored.spec = config);
    Ok(())
}

fn register(store: &Store, id: &str, service: &str, address: SocketAddr, zone: usize) {
    let model = object(vec![
        ("name", Json::Text("m0".into())),
        ("version", number_one()),
    ]);
    let mut fields = vec![
        ("service", Json::Text(service.into())),
        ("addr", Json::Text(address.to_string())),
        ("zone", Json::Text(format!("hall-{zone}"))),
        ("version", number_one()),
        ("slots", Json::Number("6".into())),
        ("state", Json::Text("ready".into())),
        ("coldRemainingMs", Json::Number("0".into())),
        ("seq", number_one()),
    ];
    if service == "draft-llm" {
        fields.push(("models", Json::List(vec![model])));
    }
    let entry = object(fields);
    store.put("servers", id, |stored| stored.spec = entry);
}

/// The workers of one service are cut off from all instances for [`CUT`]. Returns whether the rule was
/// broken.
fn partition(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<bool> {
    let (store, store_address) = Store::start()?;
    put_config(&store, 4, FIRST_ROUTES)?;
    for number in 1..=4 {
        let worker = Worker::start(&format!("i-a{number}"), record)?;
        register(
            &store,
            &worker.id,
            "orders-app",
            worker.address,
            1 + number % 2,
        );
    }
    let mut links = Vec::new();
    for number in 1..=2 {
        let worker = Worker::start(&format!("i-b{number}"), record)?;
        let link = Link::start(worker.address)?;
        register(&store, &worker.id, "slots-app", link.address, number);
        links.push(link);
    }
    for number in 1..=2 {
        register(
            &store,
            &format!("i-e{number}"),
            "draft-llm",
            start_engine(record)?,
            number,
        );
    }
    let mut instances = Vec::new();
    for number in 1..=2 {
        let instance = Instance::new(number, store_address, folder)?;
        instance.spawn()?;
        instances.push(instance);
    }
    let result = partition_steps(trouble, &store, &links, &instances, record);
    instances.iter().for_each(|instance| instance.stop());
    result
}

fn partition_steps(
    trouble: bool,
    store: &Store,
    links: &[Arc<Link>],
    instances: &[Arc<Instance>],
    record: &Arc<Record>,
) -> io::Result<bool> {
    for instance in instances {
        if !instance.wait_ready(Duration::from_secs(10)) {
            return Err(io::Error::other("not ready"));
        }
    }
    thread::sleep(Duration::from_secs(1));
    put_config(store, 9, &format!("{FIRST_ROUTES},{LATER_ROUTE}"))?;
    record.line("operator: configuration 9 adds the route /sync/ to the service slots-app");
    thread::sleep(Duration::from_secs(3));
    let (first, later) = ask(instances, 4, record);
    record.line(&format!(
        "before: served {first:?} on the first route, {later:?} on the later one"
    ));
    if trouble {
        record.line("both workers of slots-app are cut off: resets, and refused channels");
        links.iter().for_each(|link| link.cut());
    }
    let end = Instant::now() + CUT;
    while Instant::now() < end {
        ask(instances, 1, record);
    }
    if trouble {
        for link in links {
            link.heal()?;
        }
        record.line("the workers of slots-app are reached again");
    }
    thread::sleep(CONTACT + Duration::from_secs(6));
    let lot_id = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..ITEMS)
        .map(|n| format!(r#"{{"id":"e5b2907c14da6f{n}0","path":"/draft/3/{n}","headers":{{"X-Model":"m0","X-Token-Usage":"271,4","X-Prompt-Prefix":"9c2e41:255,5d07b{n}:16"}},"body":"q83vEjRWeJA=","tokens":275,"group":"g{}","scorer":{{"id":"40c8f1a7b3e92{n}","host":"shop.example","path":"/sync/{n}","body":"3q2+7w=="}}}}"#, n / 4))
        .collect();
    let lot = format!(
        r#"{{"step":0,"model":"m0","minVersion":1,"desiredCount":2,"items":[{}]}}"#,
        items.join(",")
    );
    let headers = [
        ("Host", "shop.example".to_owned()),
        ("X-Request-Id", lot_id.to_owned()),
    ];
    let limit = Duration::from_secs(3);
    let sent = send(
        instances[0].callers,
        "POST",
        &format!("/draft/{lot_id}"),
        &headers,
        lot.as_bytes(),
        limit,
    );
    record.line(&format!(
        "trainer: sends a lot of {ITEMS} items, answered {:?}",
        sent.map(|(status, _)| status)
    ));
    let (first, later) = ask(instances, STEADY_REQUESTS, record);
    record.line(&format!(
        "in steady state: served {first:?} of {STEADY_REQUESTS} on the first route, {later:?} of {STEADY_REQUESTS} on the later one, by instance"
    ));
    for link in links {
        let direct = send(
            link.address,
            "POST",
            "/sync/direct",
            &[("X-Request-Id", "direct".into())],
            b"x",
            limit,
        );
        record.line(&format!(
            "the worker at {} itself answers {:?}",
            link.address,
            direct.map(|(s, _)| s)
        ));
    }
    let read = send(
        instances[1].callers,
        "GET",
        &format!("/v1/lots/{lot_id}?after=0"),
        &headers,
        b"",
        limit,
    );
    let read = read.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
    let listed = match &read {
        Ok((_, body)) => Json::parse(body).and_then(|page| page.get("nextToken")?.number()),
        Err(_) => None,
    };
    record.line(&format!(
        "trainer: {listed:?} of {ITEMS} results are listed after {} s",
        STEADY_REQUESTS / 2
    ));
    // "machines in touch get 20 or more requests on routes that were added later, and serve them less
    // than a quarter as often as those on the first routes"
    let (first, later): (usize, usize) = (first.iter().sum(), later.iter().sum());
    Ok(later * 4 < first)
}

/// Sends `count` requests on each of the two routes to each instance, two a second. Returns how many were
/// answered with success on the first and on the later route, by instance.
fn ask(
    instances: &[Arc<Instance>],
    count: usize,
    record: &Arc<Record>,
) -> (Vec<usize>, Vec<usize>) {
    let mut served = (vec![0; instances.len()], vec![0; instances.len()]);
    for _ in 0..count {
        for (i, instance) in instances.iter().enumerate() {
            for (path, served) in [("/status/a", &mut served.0), ("/sync/a", &mut served.1)] {
                let id = format!("q{}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
                let headers = [
                    ("Host", "shop.example".to_owned()),
                    ("X-Request-Id", id.clone()),
                    ("X-Deadline-Ms", "2000".to_owned()),
                ];
                let limit = Duration::from_millis(2_500);
                let answer = send(instance.callers, "POST", path, &headers, b"request", limit);
                record.line(&format!(
                    "client: {id} {path} to {}: {:?}",
                    instance.name,
                    answer.as_ref().map(|(status, _)| *status)
                ));
                served[i] += usize::from(answer.is_ok_and(|(status, _)| status == 200));
            }
        }
        thread::sleep(Duration::from_millis(480));
    }
    served
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn main() -> ExitCode {
    let folder = env::temp_dir().join(format!("pinereel-review-{}", std::process::id()));
    let arguments: Vec<_> = env::args().collect();
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = fs::create_dir_all(&folder).and_then(|()| {
        let path = arguments
            .get(2)
            .ok_or_else(|| io::Error::other("no record"))?;
        let file = Mutex::new(fs::File::create(path)?);
        let record = Arc::new(Record {
            started: Instant::now(),
            file,
        });
        record.line(if trouble {
            "with trouble"
        } else {
            "without trouble"
        });
        let broken = match arguments[1].as_str() {
            "memory" => memory(trouble, &folder, &record),
            "partition" => partition(trouble, &folder, &record),
            _ => Err(io::Error::other("unknown case")),
        };
        record.line(&match &broken {
            Ok(true) => "result: the rule is broken".to_owned(),
            Ok(false) => "result: the rule holds".to_owned(),
            Err(error) => format!("result: not run: {error}"),
        });
        broken
    });
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("not run: {error}");
            ExitCode::from(2)
        }
    }
}
