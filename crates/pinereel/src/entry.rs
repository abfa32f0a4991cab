//! The running daemon.

use crate::{
    callers,
    controllers::{claims, config, drain, endpoints, lots, members, queues, rollout, weights},
    dispatch,
    filters::respond,
    http::{self, Server},
    logging, objects, operators,
    peer::{Identity, Mesh},
    settings::Settings,
    state::{Clock, Shared, spawn},
    upstream,
};
use compact_str::CompactString;
use pinereel_core::lot::{Limits, Policy, Runner};
use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::timeout,
};

/// Pause between summaries to peers; also the heartbeat of links.
const SUMMARY_PAUSE: Duration = Duration::from_millis(800);

/// Why an entry did not run.
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

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    /// What its parts share.
    pub shared: Rc<Shared>,
    /// The callers' listener.
    pub callers: Server,
    /// The operators' listener.
    pub operators: Server,
    /// Address of the peers' listener.
    pub peers: SocketAddr,
}

/// Runs an entry as this process until it is told to stop.
///
/// # Errors
/// See [`Error`].
pub fn run(settings: Settings) -> Result<(), Error> {
    let handle = logging::init(&settings.log)?;
    let result = actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let entry = Entry::start(settings).await?;
        entry.announce();
        let shared = Rc::clone(&entry.shared);
        actix_rt::spawn(async move {
            loop {
                // A second signal asks for what is under way already.
                tokio::select! {
                    _ = terminate.recv() => shared.drain.ask(),
                    _ = interrupt.recv() => shared.drain.ask(),
                }
            }
        });
        entry.finished().await;
        Ok(())
    });
    handle.flush(Duration::from_secs(1));
    result
}

impl Entry {
    /// Starts an entry on the current thread.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let callers = listen(settings.entry.callers).await?;
        let peers = listen(settings.entry.peers).await?;
        let operators = listen(settings.entry.operators).await?;
        let peers_address = peers.local_addr()?;
        let advertised = settings.entry.advertise_peers.unwrap_or(peers_address);
        let shared = shared(settings);
        shared.mesh.listen(peers);
        serve_peers(&shared);
        let callers = serve(&shared, callers, callers::serve, false).await?;
        let operators = serve(&shared, operators, operators::serve, true).await?;
        let entry = Self {
            shared,
            callers,
            operators,
            peers: peers_address,
        };
        entry.control(advertised);
        Ok(entry)
    }

    /// Starts the controllers. The member object comes first: once it is written, every patch waits
    /// for this entry, so the configuration that is read after it cannot be outdated unnoticed.
    fn control(&self, advertised: SocketAddr) {
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

    /// Prints the bound addresses, one line each, for whoever started the process.
    pub fn announce(&self) {
        println!("callers {}", self.callers.address);
        println!("peers {}", self.peers);
        println!("operators {}", self.operators.address);
    }

    /// Waits until a drain was asked for and is done.
    pub async fn finished(&self) {
        drain::run(&self.shared, &self.callers).await;
        self.callers.close();
        self.operators.close();
        self.shared.mesh.close();
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen { address, error })
}

async fn serve<F>(
    shared: &Rc<Shared>,
    listener: TcpListener,
    handler: fn(Rc<Shared>, http::Request) -> F,
    half_closed: bool,
) -> io::Result<Server>
where
    F: Future<Output = http::Response> + 'static,
{
    let options = http::Options {
        head_timeout: shared.settings.limits.read_timeout,
        max_connections: shared.settings.limits.connections,
        allow_half_closed: half_closed,
        ..http::Options::default()
    };
    let state = Rc::clone(shared);
    let server = Server::start(listener, options, move |request| {
        handler(Rc::clone(&state), request)
    })
    .await?;
    let state = Rc::clone(shared);
    server.on_refusal(move |code| respond::refused(&state, code, "by the listener"));
    Ok(server)
}

fn serve_peers(shared: &Rc<Shared>) {
    let calls = Rc::clone(shared);
    let handler = move |from, call| -> futures_util::future::LocalBoxFuture<'static, _> {
        Box::pin(dispatch::call(Rc::clone(&calls), from, call))
    };
    let summaries = Rc::clone(shared);
    let observer = move |from: &_, summary| dispatch::hear(&summaries, from, summary);
    shared.mesh.serve(Rc::new(handler), Rc::new(observer));
    let state = Rc::clone(shared);
    let refusal = move |code| respond::refused(&state, code, "by the peers' listener");
    shared.mesh.observe(refusal);
    spawn(shared, async |shared: Rc<Shared>| {
        let mut news = dispatch::News::default();
        loop {
            news.refresh(&shared);
            shared.mesh.tell(|to| dispatch::summary(&shared, &news, to));
            // News of crashes do not wait.
            let news_of_crashes = shared.crashes.news.notified();
            let _ = timeout(SUMMARY_PAUSE, news_of_crashes).await;
        }
    });
}

fn shared(settings: Settings) -> Rc<Shared> {
    let clock = Clock::new();
    let incarnation = incarnation();
    let options = objects::Options {
        address: settings.object_api.url.trim_start_matches("http://").into(),
        agent: settings.entry.name.clone(),
        concurrency: settings.object_api.max_concurrency as usize,
        timeout: settings.object_api.timeout,
        reads: f64::from(settings.object_api.reads_per_second),
        writes: f64::from(settings.object_api.writes_per_second),
    };
    let identity = Identity {
        name: settings.entry.name.clone(),
        incarnation,
        zone: settings.entry.zone.clone(),
        secret: settings.secrets.peer_secret.clone(),
        queue: settings.limits.peer_queue,
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
        metrics: Default::default(),
        objects: objects::Client::new(options, clock),
        http: upstream::Client::new(),
        mesh: Mesh::new(identity),
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
        next: Cell::new(0),
        settings,
    })
}

/// Differs between starts of one instance's process; the wall clock is used for nothing else.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
