//! Fakes and one entry on loopback, on two threads with a runtime each.

use crate::{
    engine::batch,
    site::{self, Site, wait_until},
};
use pinereel::{entry::Entry, logging, settings::Settings};
use pinereel_core::config::{Document, Pool, PoolKind};
use rustix::time::{ClockId, clock_gettime};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::mpsc,
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::sync::{mpsc as local, oneshot};

/// Name of the pool of engines.
pub const ENGINES: &str = "bench-llm";
/// Name of the pool of plain services.
pub const SERVICES: &str = "bench-app";
/// Timeout for a reply of a thread.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// A thread with a runtime. Dropping it stops the thread and waits for its end.
struct ServerThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Running fakes and an entry, which are stopped when this is dropped.
pub struct Testbed {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Address of the plain service.
    pub service: SocketAddr,
    /// Address of the entry's listener for callers.
    pub entry: SocketAddr,
    /// Channel that asks the entry's thread for its CPU time.
    cpu_time_requests: local::UnboundedSender<mpsc::Sender<Duration>>,
    // Fields are dropped in this order: the entry must stop before the servers that it calls.
    _entry: ServerThread,
    _fakes: ServerThread,
}

/// What the thread of the fakes reports when they are ready.
struct SiteInfo {
    engine: SocketAddr,
    service: SocketAddr,
    settings: Settings,
}

impl Testbed {
    /// Starts the threads and waits until the entry is ready. The entry logs to a file, with
    /// `decisions` also a line for each decision.
    ///
    /// # Errors
    /// A listener or the log could not be opened, or a thread was not ready in time.
    pub fn start(decisions: bool) -> io::Result<Self> {
        let (ready, site_info) = mpsc::channel();
        let fakes = start_thread(
            "endpoints",
            ready,
            async move |ready, stopped| match start_site(decisions).await {
                Ok((site, info)) => {
                    let _ = ready.send(Ok(info));
                    let _ = stopped.await;
                    drop(site);
                }
                Err(error) => drop(ready.send(Err(error))),
            },
        )?;
        let info: SiteInfo = receive(&site_info)??;
        let settings = info.settings;
        logging::init(&settings.log).map_err(io::Error::other)?;
        let (cpu_time_requests, mut requests) =
            local::unbounded_channel::<mpsc::Sender<Duration>>();
        let (ready, address) = mpsc::channel();
        let entry = start_thread("entry", ready, async move |ready, mut stopped| {
            match start_entry(settings).await {
                Ok(entry) => drop(ready.send(Ok(entry.callers.address))),
                Err(error) => return drop(ready.send(Err(error))),
            }
            loop {
                tokio::select! {
                    _ = &mut stopped => return,
                    Some(reply) = requests.recv() => drop(reply.send(thread_cpu_time())),
                }
            }
        })?;
        Ok(Self {
            engine: info.engine,
            service: info.service,
            entry: receive(&address)??,
            cpu_time_requests,
            _entry: entry,
            _fakes: fakes,
        })
    }

    /// CPU time that the entry's thread has used since its start.
    ///
    /// # Errors
    /// The thread has ended, or did not reply in time.
    pub fn entry_cpu_time(&self) -> io::Result<Duration> {
        let (reply, time) = mpsc::channel();
        self.cpu_time_requests
            .send(reply)
            .map_err(io::Error::other)?;
        receive(&time)
    }
}

/// Runs `task` on a runtime on a new thread. The task sends its first argument when it is ready, and
/// must end when its second argument resolves.
fn start_thread<T: Send + 'static>(
    name: &str,
    ready: mpsc::Sender<T>,
    task: impl AsyncFnOnce(mpsc::Sender<T>, oneshot::Receiver<()>) + Send + 'static,
) -> io::Result<ServerThread> {
    let (stop, stopped) = oneshot::channel();
    let thread = thread::Builder::new().name(name.into()).spawn(move || {
        actix_rt::System::new().block_on(async move { task(ready, stopped).await });
    })?;
    Ok(ServerThread {
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn receive<T>(from: &mpsc::Receiver<T>) -> io::Result<T> {
    from.recv_timeout(REPLY_TIMEOUT).map_err(io::Error::other)
}

/// CPU time of the current thread since its start.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Starts the platform and the endpoints. Returns them with the settings of an entry for them.
async fn start_site(decisions: bool) -> io::Result<(Site, SiteInfo)> {
    let options = site_options(decisions);
    let site = Site::start(options.clone()).await?;
    let info = SiteInfo {
        engine: site.engines[0].handle.address,
        service: site.services[0].handle.address,
        settings: site.entry_settings(&options, 0)?,
    };
    Ok((site, info))
}

async fn start_entry(settings: Settings) -> io::Result<Entry> {
    let entry = Entry::start(settings).await.map_err(io::Error::other)?;
    let shared = &entry.shared;
    wait_until(|| {
        let known = shared.endpoints.set().iter().count();
        known == 2 && pinereel::filters::pin::ready(shared).is_ok()
    })
    .await?;
    Ok(entry)
}

fn site_options(decisions: bool) -> site::Options {
    site::Options {
        zones: vec!["bench-hall".into()],
        entry_count: 0,
        engine_pools: vec![(ENGINES.into(), 1)],
        batch: batch::Options {
            slots: 256,
            // A step takes 10 microseconds, so that the engine's time does not affect the measurement.
            tokens_per_second: 100_000.0,
            batch_cost: 0.0,
            prefill_tokens_per_second: 1e9,
            ..batch::Options::default()
        },
        service_pools: vec![(SERVICES.into(), 1)],
        document: config_document(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: format!("[log]\nfile = entry.log\ndecisions = {decisions}\n"),
    }
}

fn config_document() -> Document {
    let pool = |kind, model: Option<&str>| Pool {
        kind,
        model: model.map(Into::into),
        slots: 512,
        non_idempotent: Vec::new(),
        checks_fencing: true,
        floor: 0.5,
        loads: 64,
    };
    Document {
        pools: BTreeMap::from([
            (ENGINES.into(), pool(PoolKind::Engine, Some("bench"))),
            (SERVICES.into(), pool(PoolKind::Service, None)),
        ]),
        ..Document::default()
    }
}
