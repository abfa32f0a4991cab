//! The running process.

use super::{
    config::Config,
    crashes::Crashes,
    duty::{self, Duties},
    endpoints::{self, Endpoints},
    lots::{self, Runner, TrainerApi},
    metrics::{Metrics, Sources},
    orders::{self, Orders},
    ready::Ready,
    relay::{self, Relay},
    reload::look_at_settings,
    serve::{Front, serve},
    stall::StallDetector,
    stop::{Stop, Times},
    store::Store,
    tree::{self, Feed, Node},
    usage::{self, Usage},
};
use crate::{
    http::{self, Server},
    logging, objects,
    settings::Hosted,
    state::Clock,
    upstream::pool::Pool,
};
use compact_str::format_compact;
use pinereel_core::{Time, tree::Peer};
use pinereel_port::Adapter;
use rustix::time::{ClockId, clock_gettime};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Calls to the object store at once, watches not counted.
const STORE_CALLS: usize = 32;
/// Longest idle time of a caller's connection. The operator's own bound may change while it is
/// open; this one is above any of them, so that a caller's next request never crosses a close.
const CALLER_IDLE: Duration = Duration::from_secs(120);
/// Pause between two summaries of calls to the store.
const SUMMARY: Duration = Duration::from_secs(20);

/// Why an instance did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address in the settings.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The log could not be opened.
    #[error(transparent)]
    Log(#[from] logging::Error),
    /// The system refused something else.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Runs an instance as this process until it is told to stop.
///
/// # Errors
/// See [`Error`].
pub fn run(settings: Hosted, path: PathBuf, adapter: Adapter) -> Result<(), Error> {
    let handle = logging::init(&settings.log)?;
    let result = actix_rt::System::new().block_on(serve_until_told(settings, path, adapter));
    handle.flush(Duration::from_secs(1));
    result
}

async fn serve_until_told(settings: Hosted, path: PathBuf, adapter: Adapter) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let incarnation = incarnation();
    log::info!(
        instance = settings.instance.name.as_str(),
        zone = settings.instance.zone.as_str(),
        incarnation,
        build = env!("CARGO_PKG_VERSION"),
        settings:? = settings;
        "started"
    );
    actix_rt::spawn(look_at_settings(settings.clone(), path));
    let stop = Rc::new(Stop::default());
    let signalled = Rc::clone(&stop);
    actix_rt::spawn(async move {
        loop {
            // A second signal asks for what is under way already.
            tokio::select! {
                _ = terminate.recv() => signalled.ask(),
                _ = interrupt.recv() => signalled.ask(),
            }
        }
    });
    match settings.instance.callers {
        Some(callers) => {
            Instance::start(&settings, adapter, callers, incarnation, &stop)
                .await?
                .finished(&settings)
                .await;
        }
        // Nothing lies on an instance without callers: it stands by, and stops at once.
        None => stop.wait().await,
    }
    log::info!(instance = settings.instance.name.as_str(); "stopped");
    Ok(())
}

/// An instance that serves callers.
struct Instance {
    callers: Server,
    stop: Rc<Stop>,
    duties: Rc<Duties>,
    /// None without an address for other instances.
    bulletin: Option<Rc<Node>>,
    runner: Rc<Runner>,
}

impl Instance {
    async fn start(
        settings: &Hosted,
        adapter: Adapter,
        callers: SocketAddr,
        incarnation: u64,
        stop: &Rc<Stop>,
    ) -> Result<Self, Error> {
        let clock = Clock::new();
        let callers = listen(callers).await?;
        let store = Store::new(
            objects::Client::new(options(settings), clock),
            adapter.store,
        );
        actix_rt::spawn(summarise(store.client().clone()));
        let watch = settings.store.watch;
        let feed = Rc::new(Feed::default());
        let (looking, told) = (store.clone(), Rc::clone(&feed));
        actix_rt::spawn(async move {
            let (places, is_told) = (adapter.object_kinds, || told.has_parent());
            let look_out =
                looking.probe_in_outages(places.config, places.config_object_name, is_told);
            look_out.await;
        });
        let config = Config::start(&store, adapter, watch, &feed);
        let instance = &settings.instance;
        let metrics = Metrics::new();
        let links = instance.peers.map(|peers| peers.to_string().into());
        let crashes = Crashes::new(clock, &metrics);
        let duties = Duties::new(duty::Dependencies {
            store: store.clone(),
            instance: instance.name.clone(),
            incarnation,
            cores: instance.cores,
            address: links.unwrap_or_default(),
            metrics: metrics.clone(),
            feed: Rc::clone(&feed),
            crashes: Rc::clone(&crashes),
            clock: boot_time,
        });
        let platform = settings.platform.as_ref();
        let reported = platform.and_then(|platform| platform.usage.clone());
        let ordered = platform.filter(|platform| platform.autoscale);
        let ordered = ordered.map(|platform| platform.address);
        let usage = Usage::start(reported.as_ref(), duties.id(), boot_time);
        let mut bulletin = None;
        if let Some(peers) = instance.peers {
            let parts = tree::Parts {
                store: store.clone(),
                adapter,
                duties: Rc::clone(&duties),
                feed: Rc::clone(&feed),
                crashes: Rc::clone(&crashes),
                usage: Rc::clone(&usage),
                metrics: metrics.clone(),
                max_watch_time: watch,
                max_propagation_time: settings.store.leave_after,
                peer: Peer {
                    address: peers.to_string().into(),
                    zone: instance.zone.clone(),
                    preferred: duties.is_preferred(),
                },
            };
            bulletin = Some(Node::start(parts, listen(peers).await?));
        }
        let pool = Rc::new(Pool::default());
        let held = Rc::clone(&duties);
        let hurried = move || held.held_count() > 0;
        let parts = endpoints::Parts {
            adapter,
            store: store.clone(),
            feed,
            pool: Rc::clone(&pool),
            metrics: metrics.clone(),
            clock,
        };
        let endpoints = Endpoints::start(parts, instance, &settings.store, hurried);
        let stall = StallDetector::start(boot_time);
        let relay = Relay::new(relay::Parts {
            adapter,
            endpoints: Rc::clone(&endpoints),
            pool: Rc::clone(&pool),
            stall: Rc::clone(&stall),
            crashes: Rc::clone(&crashes),
            usage: Rc::clone(&usage),
            metrics: metrics.clone(),
        });
        if let (Some(platform), Some(reported)) = (platform, reported) {
            let parts = usage::Parts {
                adapter,
                store: store.clone(),
                duties: Rc::clone(&duties),
                pool: Rc::clone(&pool),
                metrics: metrics.clone(),
                address: platform.address,
                settings: reported,
                gap: settings.orders.gap,
                usage,
            };
            actix_rt::spawn(usage::report(parts));
        }
        let runner = Runner::start(lots::Parts {
            adapter,
            store: store.clone(),
            config: Rc::clone(&config),
            endpoints: Rc::clone(&endpoints),
            duties: Rc::clone(&duties),
            pool: Rc::clone(&pool),
            relay: Rc::clone(&relay),
            crashes: Rc::clone(&crashes),
            stall: Rc::clone(&stall),
            metrics: metrics.clone(),
            clock,
            max_watch_wait: watch,
            retention: settings.lots.kept,
        });
        Orders::start(orders::Parts {
            adapter,
            store: store.clone(),
            config: Rc::clone(&config),
            endpoints: Rc::clone(&endpoints),
            duties: Rc::clone(&duties),
            pool: Rc::clone(&pool),
            metrics: metrics.clone(),
            settings: settings.orders.clone(),
            platform: ordered,
            watch,
        });
        if let Some(readiness) = settings.instance.readiness {
            let readiness = listen(readiness).await?;
            let ready = Ready {
                store: store.clone(),
                config: Rc::clone(&config),
                endpoints: Rc::clone(&endpoints),
                stop: Rc::clone(stop),
            };
            ready.serve(readiness, adapter.readiness_path).await?;
        }
        if let Some(address) = instance.metrics {
            let (pool, config) = (Rc::clone(&pool), Rc::clone(&config));
            let sources = Sources {
                crashes: Rc::clone(&crashes),
                store: store.client().clone(),
                connections: Box::new(move || pool.opened()),
                config: Box::new(move || config.table().map_or(0, |table| table.number())),
            };
            metrics.serve(listen(address).await?, sources).await?;
        }
        let front = Rc::new(Front {
            adapter,
            stall,
            store: store.clone(),
            config,
            endpoints,
            relay,
            desk: TrainerApi::new(adapter, &store),
            stop: Rc::clone(stop),
            metrics,
        });
        let options = http::Options {
            max_connections: settings.instance.connections,
            keep_alive: CALLER_IDLE,
            allow_half_closed: false,
            ..http::Options::default()
        };
        let server = Server::start(callers, options, move |request| {
            serve(Rc::clone(&front), request)
        })
        .await?;
        server.on_refusal(|code| log::info!(code:serde = code; "refused by the listener"));
        Ok(Self {
            callers: server,
            stop: Rc::clone(stop),
            duties,
            bulletin,
            runner,
        })
    }

    /// Waits until a stop was asked for, and carries it out.
    async fn finished(&self, settings: &Hosted) {
        self.stop.wait().await;
        self.runner.drain();
        if let Some(bulletin) = &self.bulletin {
            bulletin.shut_down();
        }
        self.runner.checkpoint_and_stop().await;
        self.duties.drain();
        let times = Times {
            balancer_lag: settings.stop.balancer_lag,
            killed_after: settings.stop.killed_after,
        };
        let others = || self.runner.in_flight() + usize::from(!self.duties.all_released());
        self.stop.finish(times, others).await;
        self.callers.close();
    }
}

fn options(settings: &Hosted) -> objects::Options {
    objects::Options {
        address: settings.store.address.to_string(),
        agent: settings.instance.name.clone(),
        concurrency: STORE_CALLS,
        timeout: settings.store.timeout,
        reads: f64::from(settings.store.reads_per_second),
        writes: f64::from(settings.store.writes_per_second),
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen { address, error })
}

/// Tells from time to time what this instance has asked of the store, since each call is priced.
async fn summarise(client: objects::Client) {
    loop {
        sleep(SUMMARY).await;
        let calls: BTreeMap<_, _> = client
            .calls()
            .into_iter()
            .map(|((purpose, access), count)| {
                (format_compact!("{} {access}", purpose.as_str()), count)
            })
            .collect();
        log::info!(calls:serde = calls; "object store: calls so far");
    }
}

/// Differs between starts of one instance's process; the wall clock is used for nothing else.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

/// The time since the machine's start, the time while it was suspended included: a lease runs out
/// during it.
fn boot_time() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
    Time(u64::try_from(micros).unwrap_or(0))
}
