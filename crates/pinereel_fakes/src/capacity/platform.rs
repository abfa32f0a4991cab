//! Fake platform and endpoints on a separate thread, so that the CPU time of the entries' thread is
//! that of the entries alone.

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

/// Name of the pool of engines.
pub const ENGINES: &str = "draft-llm";
/// Name of the pool of plain services.
pub const SERVICES: &str = "orders-app";
/// Rate limit of the object API, in calls per second: so high that it is never reached.
const API_CALLS_PER_SECOND: u32 = 1_000_000;

/// Numbers of endpoints and availability zones.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Listed engines that share one listener, which only reports their state.
    pub state_only_engines: usize,
    /// Engines that run completions.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Availability zones.
    pub zones: usize,
}

/// Counters of the load reports of the state-only engines.
#[derive(Debug, Default)]
pub struct ReportCounters {
    /// Number of load reports.
    pub reports: AtomicU64,
    /// Bytes of the requests and responses, without the overhead of TCP.
    pub bytes: AtomicU64,
}

/// A running platform, which is stopped when it is dropped.
pub struct Platform {
    /// Address of the object API.
    pub api: SocketAddr,
    /// Counters of load reports.
    pub report_counters: Arc<ReportCounters>,
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
    /// Starts the platform and its endpoints.
    ///
    /// # Errors
    /// A listener could not be opened, or the configuration could not be written.
    pub fn start(options: Options) -> io::Result<Self> {
        let (address_sender, address_receiver) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let report_counters = Arc::new(ReportCounters::default());
        let counters = Arc::clone(&report_counters);
        let thread = thread::Builder::new()
            .name("platform".into())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let started = start_servers(options, counters).await;
                    let (address, handles) = match started {
                        Ok((address, handles)) => (Ok(address), Some(handles)),
                        Err(e) => (Err(e), None),
                    };
                    let _ = address_sender.send(address);
                    let _ = stopped.await;
                    drop(handles);
                });
            })?;
        let api = address_receiver.recv().map_err(io::Error::other)??;
        Ok(Self {
            api,
            report_counters,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

/// Handles of the running servers, which must live as long as the platform.
type Handles = (
    object_api::Handle,
    Vec<engine::server::Handle>,
    Vec<service::Handle>,
);

async fn start_servers(
    options: Options,
    report_counters: Arc<ReportCounters>,
) -> io::Result<(SocketAddr, Handles)> {
    let api = object_api::Api::start(object_api::Options {
        reads_per_second: API_CALLS_PER_SECOND,
        writes_per_second: API_CALLS_PER_SECOND,
        lag: Duration::from_millis(50),
        ..object_api::Options::default()
    })
    .await?;
    site::write_initial_config(api.address, &config_document()?).await?;
    let state_address = serve_state(report_counters).await?;
    for i in 0..options.state_only_engines {
        put_instance(&api, options, ENGINES, i, state_address);
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
        put_instance(&api, options, ENGINES, i, engine.address);
        engines.push(engine);
    }
    let mut services = Vec::new();
    for i in 0..options.services {
        let service = service::Service::start(service::Options::default()).await?;
        put_instance(&api, options, SERVICES, i, service.address);
        services.push(service);
    }
    api.list_pending_instances();
    Ok((api.address, (api, engines, services)))
}

/// Configuration document of the measured site.
fn config_document() -> io::Result<Document> {
    serde_json::from_value(serde_json::json!({
        "pools": {
            ENGINES: { "kind": "engine", "model": "wording" },
            SERVICES: { "kind": "service" },
        },
        "trainers": { "dispatch": { "pool": ENGINES, "bound": 100 } },
    }))
    .map_err(io::Error::other)
}

fn put_instance(
    api: &object_api::Handle,
    options: Options,
    pool: &str,
    i: usize,
    address: SocketAddr,
) {
    let instance = Instance {
        incarnation: 1,
        address: format_compact!("{address}"),
        zone: zone(i, options.zones),
        pool: pool.into(),
        state: InstanceState::Live,
    };
    api.put_instance(&format!("{pool}-{i}"), instance);
}

/// Name of the availability zone of instance `i`, if the instances are spread over `zones` in turn.
pub fn zone(i: usize, zones: usize) -> CompactString {
    format_compact!("zone-{}", i % zones.max(1))
}

/// Starts a listener that answers every request with the same engine state, and counts requests and
/// bytes.
async fn serve_state(report_counters: Arc<ReportCounters>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let state = engine_state_json()?;
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         date: Wed, 01 Jan 2025 00:00:00 GMT\r\n\r\n{state}",
        state.len()
    );
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve_connection(
                stream,
                response.clone(),
                Arc::clone(&report_counters),
            ));
        }
    });
    Ok(address)
}

fn engine_state_json() -> io::Result<String> {
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

async fn serve_connection(
    mut stream: TcpStream,
    response: String,
    report_counters: Arc<ReportCounters>,
) {
    let mut buffer = vec![0; 8_192];
    let mut received = Vec::new();
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        received.extend_from_slice(&buffer[..read]);
        // Requests for the state have no body, so a request ends where its head ends.
        while let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            received.drain(..end + 4);
            let transferred = (end + 4 + response.len()) as u64;
            report_counters.reports.fetch_add(1, Ordering::Relaxed);
            report_counters
                .bytes
                .fetch_add(transferred, Ordering::Relaxed);
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
