//! What the process is told in its INI file, read and checked once at the start.
//!
//! Reading never stops at the first fault: [`Error::Invalid`] holds all of them, each with its
//! line, so that one look at the output is enough to mend the file.

mod hosted;
mod reader;
mod secret;
mod validation;
mod value;

pub use hosted::{Hosted, Instance, Lots, Orders, Platform, Stop, Store, Usage};
pub use secret::Secret;
pub use validation::{ValidationError, ValidationErrors};

use compact_str::CompactString;
use reader::Reader;
use std::{
    fs, io,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::Duration,
};

/// Range of settings that say how long one wait may take.
const WAIT_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(3_600);
/// Range of settings that bound a number of things held in memory.
const COUNT_RANGE: RangeInclusive<u64> = 1..=1_000_000;
/// Range of settings that bound bytes held in memory.
const MEMORY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=(1 << 30);

/// Why there are no settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file was read, and its content is at fault.
    #[error("{0}")]
    Invalid(ValidationErrors),
}

/// All settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who the entry is and where it listens.
    pub entry: Entry,
    /// The platform's object API.
    pub object_api: ObjectApi,
    /// Token and secret, already read from their files.
    pub secrets: Secrets,
    /// Graceful stop.
    pub drain: Drain,
    /// The log.
    pub log: Log,
    /// Bounds on what the process holds.
    pub limits: Limits,
    /// Switches of the routing policy.
    pub policy: Policy,
    /// The folder for bulk data, on the instances that have a disk.
    pub data: Option<PathBuf>,
}

/// Who the entry is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the instance, unique in the system.
    pub name: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Where callers connect. Port 0 lets the system choose one.
    pub callers: SocketAddr,
    /// Where other entries connect. Port 0 lets the system choose one.
    pub peers: SocketAddr,
    /// Where operators connect. Port 0 lets the system choose one.
    pub operators: SocketAddr,
    /// What others are told as the callers' address; the bound address if absent.
    pub advertise_callers: Option<SocketAddr>,
    /// What others are told as the peers' address; the bound address if absent.
    pub advertise_peers: Option<SocketAddr>,
}

/// The platform's object API and this process's budget of calls to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectApi {
    /// `http://IP:PORT`, without a slash at the end.
    pub url: CompactString,
    /// Calls in flight at once.
    pub max_concurrency: u32,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Reads a second.
    pub reads_per_second: u32,
    /// Writes a second.
    pub writes_per_second: u32,
}

/// What callers of the private listeners must show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// Bearer token of the operators' listener.
    pub operator_token: Secret,
    /// Shared secret of the links between entries.
    pub peer_secret: Secret,
}

/// Graceful stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// How long the balancer may still send connections after readiness is off.
    pub balancer_lag: Duration,
    /// Longest wait for requests in flight.
    pub longest: Duration,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// The file to append to; standard output or error if absent.
    pub file: Option<PathBuf>,
    /// Whether lines go to standard output in place of standard error.
    pub stdout: bool,
    /// Lines that wait for a slow sink before further ones are dropped.
    pub queue: usize,
    /// Whether each routing and placement decision has a line.
    pub decisions: bool,
}

/// Bounds on what the process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open connections on the callers' listener.
    pub connections: usize,
    /// Longest wait for a whole request from its sender.
    pub read_timeout: Duration,
    /// Largest request body, in bytes; the configuration may ask for less.
    pub body: usize,
    /// Requests that wait for an endpoint of one pool; the configuration may ask for less.
    pub waiting: usize,
    /// Frames that wait on one link to another entry.
    pub peer_queue: usize,
    /// Lots held at once.
    pub lots: usize,
    /// Bytes of finished samples' text held, from which on no further groups are taken.
    pub sample_memory: usize,
}

/// Which routing policy runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// All of the policy.
    Full,
    /// The plain policy that the full one is measured against.
    Baseline,
}

/// Switches of the routing policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Which routing policy runs.
    pub routing: Routing,
    /// Whether endpoints of the entry's own availability zone are preferred.
    pub zone_local: bool,
    /// Whether requests with a common prefix are kept on one endpoint.
    pub prefix_affinity: bool,
    /// Most endpoints of a pool that this entry keeps state and connections for.
    pub subset: usize,
}

impl Settings {
    /// Reads and checks the file at `path`, and the secrets that it names.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(path, &read_file(path)?).map_err(Error::Invalid)
    }

    /// Checks `text` as the content of the file `path`, and reads the secrets that it names.
    ///
    /// Relative paths in the text start from the folder of `path`.
    pub fn parse(path: impl AsRef<Path>, text: &str) -> Result<Self, ValidationErrors> {
        let mut reader = Reader::new(path.as_ref(), text)?;
        let entry = Entry::read(&mut reader);
        let object_api = ObjectApi::read(&mut reader);
        let secrets = Secrets::read(&mut reader);
        let drain = Drain::read(&mut reader);
        let log = Log::read(&mut reader);
        let limits = Limits::read(&mut reader);
        let policy = Policy::read(&mut reader);
        let data = reader.section("data").path("folder");
        let errors = reader.finish();
        match (entry, object_api, secrets) {
            (Some(entry), Some(object_api), Some(secrets)) if errors.is_empty() => Ok(Self {
                entry,
                object_api,
                secrets,
                drain,
                log,
                limits,
                policy,
                data,
            }),
            _ => Err(errors),
        }
    }
}

impl Entry {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("entry");
        let name = section.required("name", value::EXPECTED_NAME, value::name);
        let zone = section.required("zone", value::EXPECTED_NAME, value::name);
        let callers = section.required("callers", value::EXPECTED_ADDRESS, value::address);
        let peers = section.required("peers", value::EXPECTED_ADDRESS, value::address);
        let operators = section.required("operators", value::EXPECTED_ADDRESS, value::address);
        let advertise_callers = section.advertised_address("advertise_callers", callers);
        let advertise_peers = section.advertised_address("advertise_peers", peers);
        section.check_address_conflicts(&[
            ("callers", callers),
            ("peers", peers),
            ("operators", operators),
        ]);
        Some(Self {
            name: name?,
            zone: zone?,
            callers: callers?,
            peers: peers?,
            operators: operators?,
            advertise_callers,
            advertise_peers,
        })
    }
}

impl ObjectApi {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("object_api");
        let url = section.required("url", value::EXPECTED_URL, value::url);
        let max_concurrency = section.number("max_concurrency", 1..=1_024, 8);
        let timeout = section.duration("timeout", WAIT_RANGE, Duration::from_secs(2));
        let reads_per_second = section.number("reads_per_second", 1..=10_000, 20);
        let writes_per_second = section.number("writes_per_second", 1..=10_000, 10);
        Some(Self {
            url: url?,
            max_concurrency,
            timeout,
            reads_per_second,
            writes_per_second,
        })
    }
}

impl Secrets {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("secrets");
        let operator_token = section.secret("operator_token_file");
        let peer_secret = section.secret("peer_secret_file");
        Some(Self {
            operator_token: operator_token?,
            peer_secret: peer_secret?,
        })
    }
}

impl Drain {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("drain");
        let wait = Duration::ZERO..=Duration::from_secs(3_600);
        let balancer_lag = section.duration("balancer_lag", wait, Duration::from_secs(3));
        let longest = section.duration("longest", WAIT_RANGE, Duration::from_secs(30));
        if longest < balancer_lag {
            section.report_error("longest", "no shorter than balancer_lag");
        }
        Self {
            balancer_lag,
            longest,
        }
    }
}

impl Log {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("log");
        let level = section.optional("level", value::EXPECTED_LEVEL, value::level);
        let file = section.path("file").filter(|file| !file.ends_with("-"));
        Self {
            level: level.unwrap_or(log::LevelFilter::Info),
            file,
            stdout: section.boolean("stdout", false),
            queue: section.count("queue", COUNT_RANGE, 8_192),
            decisions: section.boolean("decisions", true),
        }
    }
}

impl Limits {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("limits");
        Self {
            connections: section.count("connections", COUNT_RANGE, 4_096),
            read_timeout: section.duration("read_timeout", WAIT_RANGE, Duration::from_secs(5)),
            body: section.size("body", MEMORY_BYTES_RANGE, 1 << 20),
            waiting: section.count("waiting", COUNT_RANGE, 1_024),
            peer_queue: section.count("peer_queue", COUNT_RANGE, 256),
            lots: section.count("lots", COUNT_RANGE, 64),
            sample_memory: section.size("sample_memory", MEMORY_BYTES_RANGE, 64 << 20),
        }
    }
}

impl Policy {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("policy");
        let routing = section.optional("routing", value::EXPECTED_ROUTING, value::routing);
        Self {
            routing: routing.unwrap_or(Routing::Full),
            zone_local: section.boolean("zone_local", true),
            prefix_affinity: section.boolean("prefix_affinity", true),
            subset: section.count("subset", COUNT_RANGE, 64),
        }
    }
}

/// The content of a settings file.
fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}
