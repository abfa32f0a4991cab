//! Settings of the process, loaded from an INI file and validated once at startup.
//!
//! Validation does not stop at the first error: [`Error::Invalid`] holds all of them, each with its
//! line number, so that one run is enough to correct the file.

mod hosted;
mod line_index;
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

/// Accepted range of timeouts and other durations.
const DURATION_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(3_600);
/// Accepted range of settings that limit the number of items held in memory.
const COUNT_RANGE: RangeInclusive<u64> = 1..=1_000_000;
/// Default maximum number of queued log lines.
const DEFAULT_LOG_QUEUE: usize = 8_192;
/// Accepted range of settings that limit the bytes held in memory.
const MEMORY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=(1 << 30);
/// Memory of a whole process, in bytes.
const PROCESS_MEMORY_RANGE: RangeInclusive<u64> = 32_000_000..=(1 << 40);

/// Why the settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file was read, but its content is invalid.
    #[error("{0}")]
    Invalid(ValidationErrors),
}

/// All settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, zone and addresses of the entry.
    pub entry: Entry,
    /// Address of the platform's object API, and the limits on calls to it.
    pub object_api: ObjectApi,
    /// Operators' token and peer secret, already read from their files.
    pub secrets: Secrets,
    /// Graceful shutdown.
    pub drain: Drain,
    /// Logging.
    pub log: Log,
    /// Limits on connections, requests and memory.
    pub limits: Limits,
    /// Options of the routing policy.
    pub policy: Policy,
    /// Directory for bulk data, on instances that have a disk.
    pub data: Option<PathBuf>,
}

/// Name, zone and addresses of the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the instance, unique in the system.
    pub name: CompactString,
    /// Availability zone of the instance.
    pub zone: CompactString,
    /// Listening address for callers. With port 0 the operating system chooses a port.
    pub callers: SocketAddr,
    /// Listening address for other entries. With port 0 the operating system chooses a port.
    pub peers: SocketAddr,
    /// Listening address for operators. With port 0 the operating system chooses a port.
    pub operators: SocketAddr,
    /// Address advertised to others for callers; the bound address if `None`.
    pub advertise_callers: Option<SocketAddr>,
    /// Address advertised to other entries; the bound address if `None`.
    pub advertise_peers: Option<SocketAddr>,
}

/// Address of the platform's object API, and the limits on this process's calls to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectApi {
    /// `http://IP:PORT`, without a slash at the end.
    pub url: CompactString,
    /// Maximum number of concurrent calls.
    pub max_concurrency: u32,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Maximum number of reads per second.
    pub reads_per_second: u32,
    /// Maximum number of writes per second.
    pub writes_per_second: u32,
}

/// Credentials that clients of the operators' and peers' listeners must present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// Bearer token for the operators' listener.
    pub operator_token: Secret,
    /// Shared secret for the connections between entries.
    pub peer_secret: Secret,
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// How long the load balancer may still send connections after readiness is off.
    pub balancer_lag: Duration,
    /// Maximum time to wait for requests in flight.
    pub longest: Duration,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// File to append to; standard output or standard error if `None`.
    pub file: Option<PathBuf>,
    /// Whether lines go to standard output instead of standard error.
    pub stdout: bool,
    /// Maximum number of queued lines; further ones are dropped.
    pub queue: usize,
    /// Whether each routing and placement decision is logged.
    pub decisions: bool,
}

/// Limits on connections, requests and memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections on the callers' listener.
    pub connections: usize,
    /// Timeout for receiving a whole request.
    pub read_timeout: Duration,
    /// Maximum size of a request body, in bytes; the configuration may set a lower limit.
    pub body: usize,
    /// Memory of the process from which connections and bodies of callers take their part, in bytes.
    pub memory: usize,
    /// Maximum number of requests queued for the endpoints of one pool; the configuration may set a
    /// lower limit.
    pub waiting: usize,
    /// Maximum number of frames queued on the connection to one other entry.
    pub peer_queue: usize,
    /// Maximum number of open lots.
    pub lots: usize,
    /// Bytes of text of finished samples held in memory; from this amount on, no further
    /// groups are accepted.
    pub sample_memory: usize,
}

/// Which routing policy runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The full policy.
    Full,
    /// A simple policy, as the baseline for comparisons with the full one.
    Baseline,
}

/// Options of the routing policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Which routing policy runs.
    pub routing: Routing,
    /// Whether endpoints in the entry's own availability zone are preferred.
    pub zone_local: bool,
    /// Whether requests with a common prompt prefix are routed to the same endpoint.
    pub prefix_affinity: bool,
    /// Maximum number of endpoints of a pool that this entry keeps state and connections for.
    pub subset: usize,
}

impl Settings {
    /// Loads and validates the file at `path` and the secret files that it names.
    ///
    /// # Errors
    /// If the file cannot be read or its content is invalid.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(path, &read_file(path)?).map_err(Error::Invalid)
    }

    /// Validates `text` as the content of the file `path` and reads the secret files that it names.
    ///
    /// Relative paths in the text are resolved against the directory of `path`.
    ///
    /// # Errors
    /// All validation errors of the text.
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
        let timeout = section.duration("timeout", DURATION_RANGE, Duration::from_secs(2));
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
        let lag_range = Duration::ZERO..=Duration::from_secs(3_600);
        let balancer_lag = section.duration("balancer_lag", lag_range, Duration::from_secs(3));
        let longest = section.duration("longest", DURATION_RANGE, Duration::from_secs(30));
        if longest < balancer_lag {
            section.report_error("longest", "no shorter than balancer_lag");
        }
        Self {
            balancer_lag,
            longest,
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            file: None,
            stdout: false,
            queue: DEFAULT_LOG_QUEUE,
            decisions: true,
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
            queue: section.count("queue", COUNT_RANGE, DEFAULT_LOG_QUEUE),
            decisions: section.boolean("decisions", true),
        }
    }
}

impl Limits {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("limits");
        Self {
            connections: section.count("connections", COUNT_RANGE, 4_096),
            read_timeout: section.duration("read_timeout", DURATION_RANGE, Duration::from_secs(5)),
            body: section.size("body", MEMORY_BYTES_RANGE, 1 << 20),
            memory: section.size("memory", PROCESS_MEMORY_RANGE, 256 << 20),
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

/// Reads a settings file.
fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}
