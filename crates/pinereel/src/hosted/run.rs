//! Startup and shutdown of the process: creates the components of an instance, connects them, and
//! stops them in order.

use super::{
    config::Config,
    crashes::CrashTracker,
    duty::{self, Duties},
    endpoints::{self, Endpoints},
    lots::{self, Runner, TrainerApi},
    metrics::{LotLoad, Metrics, Sources},
    orders::{self, Orders},
    proxy::{self, Proxy},
    readiness::{self, Readiness},
    reload::watch_settings_file,
    serve::{Frontend, serve},
    shutdown::{Shutdown, Timing},
    signals::{EarlySignals, Stop},
    stall::StallDetector,
    startup::{Listeners, listen, load_settings, start_logging},
    store::Store,
    tree::{self, Feed, Node},
    usage::{self, Meter},
};
use crate::{
    http::{self, Server},
    logging,
    memory::Memory,
    objects,
    restart::spawn_restarted,
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
    signal::unix::{SignalKind, signal},
    sync::Mutex,
    time::sleep,
};

/// Maximum number of concurrent calls to the object store, watches excluded.
const MAX_STORE_CALLS: usize = 32;
/// Idle timeout of a caller's connection. The operators' own limit may change while the connection is
/// open. This timeout is longer than any such limit, so that a caller never sends a request while this
/// instance is closing the connection.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between log lines with the number of calls to the object store.
const CALL_COUNT_LOG_INTERVAL: Duration = Duration::from_secs(20);

/// Longest wait for the log to be written before the process ends.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Error at the start of an instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log could not be opened.
    #[error(transparent)]
    Log(#[from] logging::Error),
    /// Another call to the operating system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Runs an instance as this process, until SIGTERM or SIGINT has stopped it gracefully. Waits for the settings file
/// at `path` to become valid.
///
/// # Errors
/// If the logger cannot be installed or the signals cannot be handled.
pub fn run(path: PathBuf, adapter: Adapter, early_signals: EarlySignals) -> Result<(), Error> {
    let _flush = logging::flush_on_drop(LOG_FLUSH_TIMEOUT);
    let instance = run_until_stopped(path, adapter, early_signals);
    let result = actix_rt::System::new().block_on(instance);
    if let Err(error) = &result {
        log::error!(error:% = error; "process ends with an error");
    }
    result
}

async fn run_until_stopped(
    path: PathBuf,
    adapter: Adapter,
    early_signals: EarlySignals,
) -> Result<(), Error> {
    let mut stop = Stop::listen(early_signals.stop)?;
    let hangup = signal(SignalKind::hangup())?;
    let settings = tokio::select! {
        biased;
        () = stop.requested() => {
            logging::init_provisional()?;
            log::info!("stopped");
            return Ok(());
        }
        settings = load_settings(&path) => settings,
    };
    start_logging(&settings)?;
    logging::log_panics();
    let incarnation = incarnation();
    log::info!(
        instance = settings.instance.name.as_str(),
        zone = settings.instance.zone.as_str(),
        incarnation,
        build = env!("CARGO_PKG_VERSION"),
        settings:? = settings;
        "started"
    );
    for warning in &settings.warnings.0 {
        log::warn!(setting:% = warning; "setting cannot be used as given");
    }
    let checks_at_once = early_signals.hangup.is_set();
    let (watched_settings, hangup) = (settings.clone(), Mutex::new(hangup));
    spawn_restarted("settings", async move || {
        let mut hangup = hangup.lock().await;
        let (settings, path) = (watched_settings.clone(), path.clone());
        watch_settings_file(settings, path, &mut hangup, checks_at_once).await;
    });
    let shutdown = Rc::new(Shutdown::new(Timing {
        balancer_lag: settings.stop.balancer_lag,
        killed_after: settings.stop.killed_after,
    }));
    let signalled = Rc::clone(&shutdown);
    actix_rt::spawn(async move {
        stop.requested().await;
        signalled.initiate();
    });
    match settings.instance.callers {
        Some(callers) => {
            let readiness = Readiness::start(&settings, adapter, &shutdown);
            let listeners = tokio::select! {
                biased;
                () = shutdown.wait_until_initiated() => None,
                listeners = Listeners::open(&settings, callers) => Some(listeners),
            };
            if let Some(listeners) = listeners {
                Instance::start(
                    &settings,
                    adapter,
                    listeners,
                    incarnation,
                    &shutdown,
                    &readiness,
                )
                .await?
                .drain_on_shutdown()
                .await;
            }
        }
        // An instance without a listener for callers is a standby. It has no work and stops
        // immediately.
        None => shutdown.wait_until_initiated().await,
    }
    log::info!(instance = settings.instance.name.as_str(); "stopped");
    Ok(())
}

/// An instance that serves callers.
struct Instance {
    callers: Server,
    shutdown: Rc<Shutdown>,
    duties: Rc<Duties>,
    /// This instance in the broadcast tree; `None` without an address for other instances.
    tree_node: Option<Rc<Node>>,
    runner: Rc<Runner>,
}

impl Instance {
    async fn start(
        settings: &Hosted,
        adapter: Adapter,
        listeners: Listeners,
        incarnation: u64,
        shutdown: &Rc<Shutdown>,
        readiness: &Readiness,
    ) -> Result<Self, Error> {
        let clock = Clock::new();
        let metrics = Metrics::new();
        let memory = Memory::of_instance(settings.instance.memory);
        let client =
            objects::Client::new(store_options(settings), clock).with_memory(memory.clone());
        let mut store = Store::new(client, adapter.store);
        if settings.peers.store_calls {
            store = store.with_calls_through_parent(&metrics);
        }
        // For modules whose data come over the broadcast tree or over the own connection alone.
        let direct_store = store.direct();
        let counted_client = store.client().clone();
        spawn_restarted("call counts", async move || {
            log_store_calls(counted_client.clone()).await;
        });
        let watch = settings.store.watch;
        let feed = Rc::new(Feed::default());
        let (probed_store, probe_feed) = (direct_store.clone(), Rc::clone(&feed));
        spawn_restarted("store probes", async move || {
            let (object_kinds, probes_rarely) =
                (adapter.object_kinds, || probe_feed.probes_rarely());
            let probe = probed_store.probe_in_outages(
                object_kinds.config,
                object_kinds.config_object_name,
                probes_rarely,
            );
            probe.await;
        });
        let config = Config::start(&direct_store, adapter, watch, &feed, &metrics);
        let instance = &settings.instance;
        let peer_address = instance.peers.map(|peers| peers.to_string().into());
        let crashes = CrashTracker::new(clock, &metrics);
        let duties = Duties::new(duty::Dependencies {
            store: store.clone(),
            instance: instance.name.clone(),
            incarnation,
            cores: instance.cores,
            address: peer_address.unwrap_or_default(),
            metrics: metrics.clone(),
            feed: Rc::clone(&feed),
            crashes: Rc::clone(&crashes),
            clock: boot_time,
        });
        let platform = settings.platform.as_ref();
        let usage_settings = platform.and_then(|platform| platform.usage.clone());
        let autoscaling = platform.filter(|platform| platform.autoscale);
        let autoscaling = autoscaling.map(|platform| platform.address);
        let usage = Meter::start(usage_settings.as_ref(), duties.id(), boot_time);
        let mut tree_node = None;
        if let Some((peers, listener)) = listeners.peers {
            // The platform names the seeds by another port, and all instances have the same ports.
            let seeds = settings.peers.seeds.iter();
            let seeds = seeds.map(|ip| SocketAddr::new(*ip, peers.port()));
            let deps = tree::Dependencies {
                store: direct_store.clone(),
                adapter,
                duties: Rc::clone(&duties),
                feed: Rc::clone(&feed),
                crashes: Rc::clone(&crashes),
                usage: Rc::clone(&usage),
                metrics: metrics.clone(),
                max_watch_time: watch,
                max_propagation_time: settings.store.leave_after,
                seeds: seeds.collect(),
                peer: Peer {
                    address: peers.to_string().into(),
                    zone: instance.zone.clone(),
                    preferred: duties.is_preferred(),
                },
            };
            tree_node = Some(Node::start(deps, listener));
        }
        let pool = Pool::matching_ids(adapter.headers.response_id);
        let pool = Rc::new(pool.with_memory(memory.clone()));
        let lease_duties = Rc::clone(&duties);
        let holds_leases = move || lease_duties.held_count() > 0;
        let deps = endpoints::Dependencies {
            adapter,
            store: direct_store.clone(),
            feed,
            pool: Rc::clone(&pool),
            metrics: metrics.clone(),
            clock,
        };
        let endpoints = Endpoints::start(deps, instance, &settings.store, holds_leases);
        let stall = StallDetector::start(boot_time);
        let proxy = Proxy::new(proxy::Dependencies {
            adapter,
            endpoints: Rc::clone(&endpoints),
            pool: Rc::clone(&pool),
            stall: Rc::clone(&stall),
            crashes: Rc::clone(&crashes),
            usage: Rc::clone(&usage),
            metrics: metrics.clone(),
        });
        if let (Some(platform), Some(usage_settings)) = (platform, usage_settings) {
            let deps = usage::Dependencies {
                adapter,
                // Through a parent, an instance that was the root before could store a sum without the
                // counts of the instances that have left it.
                store: direct_store.clone(),
                duties: Rc::clone(&duties),
                pool: Rc::clone(&pool),
                metrics: metrics.clone(),
                address: platform.address,
                settings: usage_settings,
                gap: settings.orders.gap,
                usage,
            };
            let deps = Rc::new(deps);
            spawn_restarted("usage reports", async move || {
                usage::report(Rc::clone(&deps)).await;
            });
        }
        let runner = Runner::start(lots::Dependencies {
            adapter,
            store: store.clone(),
            config: Rc::clone(&config),
            endpoints: Rc::clone(&endpoints),
            duties: Rc::clone(&duties),
            pool: Rc::clone(&pool),
            proxy: Rc::clone(&proxy),
            crashes: Rc::clone(&crashes),
            stall: Rc::clone(&stall),
            metrics: metrics.clone(),
            clock,
            max_watch_wait: watch,
            retention: settings.lots.kept,
        });
        Orders::start(orders::Dependencies {
            adapter,
            store: store.clone(),
            config: Rc::clone(&config),
            endpoints: Rc::clone(&endpoints),
            duties: Rc::clone(&duties),
            pool: Rc::clone(&pool),
            metrics: metrics.clone(),
            settings: settings.orders.clone(),
            platform_address: autoscaling,
            max_watch_time: watch,
        });
        readiness.set_components(readiness::Components {
            store: direct_store.clone(),
            config: Rc::clone(&config),
            endpoints: Rc::clone(&endpoints),
        });
        if let Some(address) = instance.metrics {
            let (pool, runner) = (Rc::clone(&pool), Rc::clone(&runner));
            let memory = memory.clone();
            let sources = Sources {
                memory_usage: Box::new(move || memory.usage()),
                crashes: Rc::clone(&crashes),
                store: store.client().clone(),
                connections_opened: Box::new(move || pool.opened_count()),
                lot_load: Box::new(move || LotLoad {
                    used_slots: runner.used_slots(),
                    tasks: runner.in_flight() as u64,
                }),
                config: Rc::clone(&config),
            };
            let metrics = metrics.clone();
            // Another program at this port does not keep the instance from serving callers.
            actix_rt::spawn(async move {
                let listener = listen("metrics", address).await;
                if let Err(error) = metrics.serve(listener, sources).await {
                    log::error!(error:%; "cannot serve the metrics");
                }
            });
        }
        let head_config = Rc::clone(&config);
        let frontend = Rc::new(Frontend {
            adapter,
            stall,
            store: direct_store,
            config,
            endpoints,
            proxy,
            trainer_api: TrainerApi::new(adapter, &store, clock, &metrics),
            memory: memory.clone(),
            shutdown: Rc::clone(shutdown),
            metrics,
        });
        let options = http::Options {
            max_connections: settings.instance.connections,
            keep_alive: CALLER_IDLE_TIMEOUT,
            min_wait: Duration::ZERO,
            memory,
            allow_half_closed: false,
            ..http::Options::default()
        };
        let server = Server::start(listeners.callers, options, move |request| {
            serve(Rc::clone(&frontend), request)
        })
        .await?;
        server.set_head_limits(move || {
            let table = head_config.table()?;
            let limits = &table.document().limits;
            Some(http::HeadLimits {
                max_bytes: limits.max_head_bytes,
                timeout: limits.head_timeout,
            })
        });
        server.on_refusal(|code| log::info!(code:serde = code; "refused by the listener"));
        Ok(Self {
            callers: server,
            shutdown: Rc::clone(shutdown),
            duties,
            tree_node,
            runner,
        })
    }

    /// Waits until a shutdown is initiated, and carries it out.
    async fn drain_on_shutdown(&self) {
        self.shutdown.wait_until_initiated().await;
        self.runner.drain();
        if let Some(tree_node) = &self.tree_node {
            tree_node.shut_down();
        }
        self.runner.checkpoint_and_stop().await;
        self.duties.drain();
        let other_work = || self.runner.in_flight() + usize::from(!self.duties.all_released());
        self.shutdown.wait_until_idle(other_work).await;
        self.callers.stop();
        self.shutdown.wait_until_final_idle(other_work).await;
        self.callers.close();
    }
}

fn store_options(settings: &Hosted) -> objects::Options {
    objects::Options {
        address: settings.store.address.to_string(),
        agent: settings.instance.name.clone(),
        max_concurrency: MAX_STORE_CALLS,
        timeout: settings.store.timeout,
        reads_per_second: f64::from(settings.store.reads_per_second),
        writes_per_second: f64::from(settings.store.writes_per_second),
    }
}

/// Logs at each interval how many calls this instance has made to the object store, as each is charged
/// for.
async fn log_store_calls(client: objects::Client) {
    loop {
        sleep(CALL_COUNT_LOG_INTERVAL).await;
        let calls: BTreeMap<_, _> = client
            .call_counts()
            .into_iter()
            .map(|((purpose, access), count)| {
                (format_compact!("{} {access}", purpose.as_str()), count)
            })
            .collect();
        log::info!(calls:serde = calls; "object store: calls so far");
    }
}

/// A number that differs between runs of the process of an instance, from the wall clock. Nothing else
/// here uses that clock.
fn incarnation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// The time since the boot of the machine, including the time in suspension, as leases expire during
/// it.
fn boot_time() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
    Time(u64::try_from(micros).unwrap_or(0))
}
