//! The entry daemon: starts listeners, peer links and controllers, and stops them after a drain.

use crate::{
    callers,
    controllers::{claims, config, drain, endpoints, lots, members, queues, rollout, weights},
    dispatch,
    filters::respond,
    http::{self, Server},
    logging,
    memory::Memory,
    objects, operators,
    peer::{LocalEntry, Mesh},
    scheduling_delay::SchedulingDelay,
    settings::Settings,
    signals::Flag,
    state::{Clock, Shared, spawn},
    upstream,
};
use compact_str::CompactString;
use pinereel_core::lot::{Limits, Policy, Runner};
use std::{
    cell::Cell,
    io::{self, Write as _},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::timeout,
};

/// Interval between summaries to peers, which are also the links' heartbeats.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(800);

/// Longest wait for the log to be written before the process ends.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an entry could not be started or run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The log could not be opened.
    #[error(transparent)]
    Log(#[from] logging::Error),
    /// Another call to the operating system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    /// State shared by filters and controllers.
    pub shared: Rc<Shared>,
    /// HTTP server for callers.
    pub callers: Server,
    /// HTTP server for operators.
    pub operators: Server,
    /// Bound address of the listener for peer links.
    pub peers: SocketAddr,
}

/// Runs an entry in this process until a signal has started a drain and the drain is done. `early_stop` is
/// set if such a signal arrived before this call.
///
/// # Errors
/// See [`Error`].
pub fn run(settings: Settings, early_stop: Flag) -> Result<(), Error> {
    logging::init(&settings.log)?;
    logging::log_panics();
    let _flush = logging::flush_on_drop(LOG_FLUSH_TIMEOUT);
    let result: Result<(), Error> = actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let entry = Entry::start(settings).await?;
        entry.print_addresses();
        let shared = Rc::clone(&entry.shared);
        if early_stop.is_set() {
            shared.drain.request_stop();
        }
        actix_rt::spawn(async move {
            loop {
                // A second signal has no further effect.
                tokio::select! {
                    _ = terminate.recv() => shared.drain.request_stop(),
                    _ = interrupt.recv() => shared.drain.request_stop(),
                }
            }
        });
        entry.run_until_drained().await;
        Ok(())
    });
    if let Err(error) = &result {
        log::error!(error:% = error; "process ends with an error");
    }
    result
}

impl Entry {
    /// Starts an entry on the current thread.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let callers = bind(settings.entry.callers).await?;
        let peers = bind(settings.entry.peers).await?;
        let operators = bind(settings.entry.operators).await?;
        let peers_address = peers.local_addr()?;
        let advertised = settings.entry.advertise_peers.unwrap_or(peers_address);
        let shared = build_shared(settings);
        shared.mesh.listen(peers);
        serve_peers(&shared);
        let limits = &shared.settings.limits;
        let callers_options = http::Options {
            head_timeout: limits.read_timeout,
            max_connections: limits.connections,
            allow_half_closed: false,
            memory: Memory::of_instance(limits.memory),
            ..http::Options::default()
        };
        let operators_options = http::Options {
            head_timeout: limits.read_timeout,
            ..http::Options::internal()
        };
        let callers = start_server(&shared, callers, callers::serve, callers_options).await?;
        let operators =
            start_server(&shared, operators, operators::serve, operators_options).await?;
        let entry = Self {
            shared,
            callers,
            operators,
            peers: peers_address,
        };
        entry.start_controllers(advertised);
        Ok(entry)
    }

    /// Starts the controllers. The membership object is written first: from then on every patch
    /// waits for this entry, so the configuration that is read afterwards cannot become outdated
    /// unnoticed.
    fn start_controllers(&self, advertised: SocketAddr) {
        spawn(&self.shared, async move |shared| {
            let address = CompactString::from(advertised.to_string());
            members::register(&shared, address).await;
            members::start(&shared);
            config::start(&shared);
            endpoints::start(&shared);
            queues::start(&shared);
            lots::start(&shared);
            claims::start(&shared);
            weights::start(&shared);
            rollout::start(&shared);
        });
    }

    /// Prints the bound addresses to stdout, one per line, for the parent process. An error is logged, as
    /// the entry works without a reader.
    pub fn print_addresses(&self) {
        let (callers, operators) = (self.callers.address, self.operators.address);
        let lines = format!(
            "callers {callers}\npeers {}\noperators {operators}\n",
            self.peers
        );
        let mut output = io::stdout();
        let written = output
            .write_all(lines.as_bytes())
            .and_then(|()| output.flush());
        if let Err(error) = written {
            log::warn!(error:% = error; "addresses not printed");
        }
    }

    /// Waits for a drain request, runs the drain, and closes all listeners and links.
    pub async fn run_until_drained(&self) {
        drain::run(&self.shared, &self.callers).await;
        self.callers.close();
        self.operators.close();
        self.shared.mesh.close();
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen { address, error })
}

async fn start_server<F>(
    shared: &Rc<Shared>,
    listener: TcpListener,
    handler: fn(Rc<Shared>, http::Request) -> F,
    options: http::Options,
) -> io::Result<Server>
where
    F: Future<Output = http::Response> + 'static,
{
    let state = Rc::clone(shared);
    let server = Server::start(listener, options, move |request| {
        handler(Rc::clone(&state), request)
    })
    .await?;
    let state = Rc::clone(shared);
    server.on_refusal(move |code| respond::count_refusal(&state, code, "by the listener"));
    Ok(server)
}

fn serve_peers(shared: &Rc<Shared>) {
    let calls = Rc::clone(shared);
    let handler = move |from, call| -> futures_util::future::LocalBoxFuture<'static, _> {
        Box::pin(dispatch::handle_call(Rc::clone(&calls), from, call))
    };
    let summaries = Rc::clone(shared);
    let observer = move |from: &_, summary| dispatch::handle_summary(&summaries, from, summary);
    shared
        .mesh
        .set_handlers(Rc::new(handler), Rc::new(observer));
    let state = Rc::clone(shared);
    let refusal = move |code| respond::count_refusal(&state, code, "by the peers' listener");
    shared.mesh.set_refusal_observer(refusal);
    spawn(shared, async |shared: Rc<Shared>| {
        let mut changes = dispatch::RecentChanges::default();
        loop {
            changes.refresh(&shared);
            shared
                .mesh
                .send_summaries(|to| dispatch::summary(&shared, &changes, to));
            // New crash reports are sent immediately.
            let new_crashes = shared.crashes.reports_pending.notified();
            let _ = timeout(SUMMARY_INTERVAL, new_crashes).await;
        }
    });
}

fn build_shared(settings: Settings) -> Rc<Shared> {
    let clock = Clock::new();
    let incarnation = incarnation();
    let options = objects::Options {
        address: settings.object_api.url.trim_start_matches("http://").into(),
        agent: settings.entry.name.clone(),
        max_concurrency: settings.object_api.max_concurrency as usize,
        timeout: settings.object_api.timeout,
        reads_per_second: f64::from(settings.object_api.reads_per_second),
        writes_per_second: f64::from(settings.object_api.writes_per_second),
    };
    let local = LocalEntry {
        name: settings.entry.name.clone(),
        incarnation,
        zone: settings.entry.zone.clone(),
        secret: settings.secrets.peer_secret.clone(),
        queue_capacity: settings.limits.peer_queue,
    };
    let limits = Limits {
        max_lots: settings.limits.lots,
        max_text_bytes: settings.limits.sample_memory,
        ..Limits::default()
    };
    let config = config::Config::new(clock.now(), settings.entry.name.clone());
    Rc::new(Shared {
        incarnation,
        clock,
        scheduling_delay: SchedulingDelay::start(),
        metrics: Default::default(),
        objects: objects::Client::new(options, clock),
        http: upstream::Client::new(),
        mesh: Mesh::new(local),
        config,
        members: Default::default(),
        crashes: Default::default(),
        endpoints: Default::default(),
        lots: lots::Lots::new(Runner::new(Policy::default(), limits)),
        queues: queues::Queues::new(incarnation),
        leases: Default::default(),
        rollout: Default::default(),
        claims: Default::default(),
        drain: Default::default(),
        next_request_number: Cell::new(0),
        settings,
    })
}

/// Number that differs between starts of the process; the only use of the wall clock.
fn incarnation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
