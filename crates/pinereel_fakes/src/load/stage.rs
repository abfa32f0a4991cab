//! Stand-ins and one entry on loopback, each in a thread with a runtime of its own.

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
/// Longest wait for a thread's answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// A thread with a runtime; it ends when this is dropped.
struct Worker {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The running threads.
pub struct Stage {
    /// The engine.
    pub engine: SocketAddr,
    /// The plain service.
    pub service: SocketAddr,
    /// The entry's callers' listener.
    pub entry: SocketAddr,
    /// Asks the entry's thread for its processor time.
    clock: local::UnboundedSender<mpsc::Sender<Duration>>,
    // In this order: the entry ends before what it talks to.
    _entry: Worker,
    _endpoints: Worker,
}

/// What the thread of the stand-ins tells when it is up.
struct Endpoints {
    engine: SocketAddr,
    service: SocketAddr,
    settings: Settings,
}

impl Stage {
    /// Starts the threads and waits until the entry is ready. The entry logs to a file, with a line
    /// for each decision if `decisions`.
    ///
    /// # Errors
    /// A listener or the log could not be opened, or a thread was not up in time.
    pub fn start(decisions: bool) -> io::Result<Self> {
        let (up, endpoints) = mpsc::channel();
        let endpoints_worker = spawn(
            "endpoints",
            up,
            async move |up, stopped| match endpoints_site(decisions).await {
                Ok((site, told)) => {
                    let _ = up.send(Ok(told));
                    let _ = stopped.await;
                    drop(site);
                }
                Err(error) => drop(up.send(Err(error))),
            },
        )?;
        let told: Endpoints = receive(&endpoints)??;
        let settings = told.settings;
        logging::init(&settings.log).map_err(io::Error::other)?;
        let (clock, mut asked) = local::unbounded_channel::<mpsc::Sender<Duration>>();
        let (up, entry) = mpsc::channel();
        let entry_worker = spawn("entry", up, async move |up, mut stopped| {
            match ready_entry(settings).await {
                Ok(entry) => drop(up.send(Ok(entry.callers.address))),
                Err(error) => return drop(up.send(Err(error))),
            }
            loop {
                tokio::select! {
                    _ = &mut stopped => return,
                    Some(reply) = asked.recv() => drop(reply.send(thread_time())),
                }
            }
        })?;
        Ok(Self {
            engine: told.engine,
            service: told.service,
            entry: receive(&entry)??,
            clock,
            _entry: entry_worker,
            _endpoints: endpoints_worker,
        })
    }

    /// Processor time that the entry's thread has used.
    ///
    /// # Errors
    /// The thread is gone.
    pub fn processor_time(&self) -> io::Result<Duration> {
        let (reply, time) = mpsc::channel();
        self.clock.send(reply).map_err(io::Error::other)?;
        receive(&time)
    }
}

/// Runs `task` on a runtime in a new thread. `task` ends when the second argument resolves.
fn spawn<T: Send + 'static>(
    name: &str,
    up: mpsc::Sender<T>,
    task: impl AsyncFnOnce(mpsc::Sender<T>, oneshot::Receiver<()>) + Send + 'static,
) -> io::Result<Worker> {
    let (stop, stopped) = oneshot::channel();
    let thread = thread::Builder::new().name(name.into()).spawn(move || {
        actix_rt::System::new().block_on(async move { task(up, stopped).await });
    })?;
    Ok(Worker {
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn receive<T>(from: &mpsc::Receiver<T>) -> io::Result<T> {
    from.recv_timeout(PATIENCE).map_err(io::Error::other)
}

/// Processor time of the current thread.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Platform and endpoints, and the settings of an entry before them.
async fn endpoints_site(decisions: bool) -> io::Result<(Site, Endpoints)> {
    let options = options(decisions);
    let site = Site::start(options.clone()).await?;
    let told = Endpoints {
        engine: site.engines[0].handle.address,
        service: site.services[0].handle.address,
        settings: site.entry_settings(&options, 0)?,
    };
    Ok((site, told))
}

async fn ready_entry(settings: Settings) -> io::Result<Entry> {
    let entry = Entry::start(settings).await.map_err(io::Error::other)?;
    let shared = &entry.shared;
    wait_until(|| {
        let known = shared.endpoints.set().iter().count();
        known == 2 && pinereel::filters::pin::ready(shared).is_ok()
    })
    .await?;
    Ok(entry)
}

fn options(decisions: bool) -> site::Options {
    site::Options {
        zones: vec!["bench-hall".into()],
        entry_count: 0,
        engine_pools: vec![(ENGINES.into(), 1)],
        batch: batch::Options {
            slots: 256,
            // A step of 10 microseconds: what is measured is not the engine.
            tokens_per_second: 100_000.0,
            batch_cost: 0.0,
            prefill_tokens_per_second: 1e9,
            ..batch::Options::default()
        },
        service_pools: vec![(SERVICES.into(), 1)],
        document: document(),
        instance_list_lag: Duration::from_millis(50),
        extra_settings: format!("[log]\nfile = entry.log\ndecisions = {decisions}\n"),
    }
}

fn document() -> Document {
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
