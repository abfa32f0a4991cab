//! The platform and the endpoints on a thread of their own, so that the entries' thread counts
//! only the entries.

use crate::{
    engine::{self, batch},
    object_api, service, site,
};
use compact_str::{CompactString, format_compact};
use pinereel_api::object::{Instance, InstanceState};
use pinereel_core::config::Document;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

/// Pool of engines.
pub const ENGINES: &str = "draft-llm";
/// Pool of plain services.
pub const SERVICES: &str = "orders-app";
/// Calls a second that the object API takes here, so that it never limits.
const RATE: u32 = 1_000_000;

/// What the platform has.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Names of engines that share one listener, which only tells their state.
    pub light: usize,
    /// Engines that run completions.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Availability zones.
    pub zones: usize,
}

/// Load reports so far.
#[derive(Debug, Default)]
pub struct Reported {
    /// How many.
    pub count: AtomicU64,
    /// Their bytes, both directions, without those of TCP.
    pub bytes: AtomicU64,
}

/// A running platform.
pub struct Platform {
    /// Address of the object API.
    pub api: SocketAddr,
    /// What load reports took.
    pub reported: Arc<Reported>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Platform {
    /// Starts it.
    ///
    /// # Errors
    /// A listener could not be opened.
    pub fn start(options: Options) -> io::Result<Self> {
        let (tell, told) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let reported = Arc::new(Reported::default());
        let count = Arc::clone(&reported);
        let thread = thread::Builder::new()
            .name("platform".into())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let running = run(options, count).await;
                    let (address, keep) = match running {
                        Ok((address, keep)) => (Ok(address), Some(keep)),
                        Err(e) => (Err(e), None),
                    };
                    let _ = tell.send(address);
                    let _ = stopped.await;
                    drop(keep);
                });
            })?;
        let api = told.recv().map_err(io::Error::other)??;
        Ok(Self {
            api,
            reported,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

/// Handles that live as long as the platform.
type Keep = (
    object_api::Handle,
    Vec<engine::server::Handle>,
    Vec<service::Handle>,
);

async fn run(options: Options, reported: Arc<Reported>) -> io::Result<(SocketAddr, Keep)> {
    let api = object_api::Api::start(object_api::Options {
        reads_per_second: RATE,
        writes_per_second: RATE,
        lag: Duration::from_millis(50),
        ..object_api::Options::default()
    })
    .await?;
    site::write_initial_config(api.address, &document()?).await?;
    let light = light(reported).await?;
    for i in 0..options.light {
        put(&api, options, ENGINES, i, light);
    }
    let mut engines = Vec::new();
    for i in 0..options.engines {
        let engine = engine::server::Handle::start(engine::server::Options {
            name: format_compact!("{ENGINES}-{i}"),
            batch: batch::Options {
                tokens_per_second: 20_000.0,
                ..batch::Options::default()
            },
            ..engine::server::Options::default()
        })
        .await?;
        put(&api, options, ENGINES, i, engine.address);
        engines.push(engine);
    }
    let mut services = Vec::new();
    for i in 0..options.services {
        let service = service::Service::start(service::Options::default()).await?;
        put(&api, options, SERVICES, i, service.address);
        services.push(service);
    }
    api.list_pending_instances();
    Ok((api.address, (api, engines, services)))
}

/// The configuration of these measurements.
fn document() -> io::Result<Document> {
    serde_json::from_value(serde_json::json!({
        "pools": {
            ENGINES: { "kind": "engine", "model": "wording" },
            SERVICES: { "kind": "service" },
        },
        "trainers": { "dispatch": { "pool": ENGINES, "bound": 100 } },
    }))
    .map_err(io::Error::other)
}

fn put(api: &object_api::Handle, options: Options, pool: &str, i: usize, address: SocketAddr) {
    let instance = Instance {
        incarnation: 1,
        address: format_compact!("{address}"),
        zone: zone(i, options.zones),
        pool: pool.into(),
        state: InstanceState::Live,
    };
    api.put_instance(&format!("{pool}-{i}"), instance);
}

/// Name of the availability zone of the instance number `i`.
pub fn zone(i: usize, zones: usize) -> CompactString {
    format_compact!("zone-{}", i % zones.max(1))
}

/// A listener that answers every request with the same engine state, and counts the bytes.
async fn light(reported: Arc<Reported>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let state = engine_state()?;
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         date: Wed, 01 Jan 2025 00:00:00 GMT\r\n\r\n{state}",
        state.len()
    );
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer_all(stream, answer.clone(), Arc::clone(&reported)));
        }
    });
    Ok(address)
}

fn engine_state() -> io::Result<String> {
    let state = pinereel_api::engine::State {
        incarnation: 1,
        version: Some(pinereel_core::Version(1)),
        loading: None,
        failed: None,
        running: 3,
        waiting: 0,
        lag_ms: 100,
        slots: 8,
        leaving: false,
        fence: 1,
    };
    serde_json::to_string(&state).map_err(io::Error::other)
}

async fn answer_all(mut stream: TcpStream, answer: String, reported: Arc<Reported>) {
    let mut buffer = vec![0; 8_192];
    let mut held = Vec::new();
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        held.extend_from_slice(&buffer[..read]);
        // Requests for the state have no body, so a head is a whole request.
        while let Some(end) = held.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            held.drain(..end + 4);
            let size = (end + 4 + answer.len()) as u64;
            reported.count.fetch_add(1, Ordering::Relaxed);
            reported.bytes.fetch_add(size, Ordering::Relaxed);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
