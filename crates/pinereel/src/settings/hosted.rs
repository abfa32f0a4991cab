//! Settings of an instance whose state is kept by the platform that it runs on.

use super::{Error, Log, ValidationErrors, WAIT_RANGE, reader::Reader, value};
use compact_str::CompactString;
use std::{net::SocketAddr, path::Path, time::Duration};

/// All settings of one hosted instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Hosted {
    /// Who it is and where it listens.
    pub instance: Instance,
    /// The platform's object store.
    pub store: Store,
    /// Graceful stop.
    pub stop: Stop,
    /// Orders to model engines.
    pub orders: Orders,
    /// Lots.
    pub lots: Lots,
    /// Duties toward the platform; none if there are none.
    pub platform: Option<Platform>,
    /// The log.
    pub log: Log,
}

/// Who the instance is and where it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name, unique in the system.
    pub name: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Where callers connect; none on an instance that serves none.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks for readiness.
    pub readiness: Option<SocketAddr>,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Where other instances connect; without it each reads the store for itself.
    pub peers: Option<SocketAddr>,
    /// Most open connections of callers.
    pub connections: usize,
    /// Cores that it may use; duties go to instances with more of them.
    pub cores: f64,
}

/// The platform's object store and this process's budget of calls to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Where it serves.
    pub address: SocketAddr,
    /// Longest wait for one answer, a watch's own wait not counted.
    pub timeout: Duration,
    /// Longest wait of a watch.
    pub watch: Duration,
    /// After so long an endpoint that leaves must get no request.
    pub leave_after: Duration,
    /// Reads a second.
    pub reads_per_second: u32,
    /// Writes a second.
    pub writes_per_second: u32,
}

/// Graceful stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// How long the balancer may still send connections after readiness is off.
    pub balancer_lag: Duration,
    /// After so long the process is killed; it ends by itself before.
    pub killed_after: Duration,
}

/// Orders to model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orders {
    /// Shortest time between orders of two instances to one engine.
    pub gap: Duration,
    /// Most engines that load weights at once.
    pub loads: usize,
}

/// Lots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lots {
    /// How long a lot can be read after its submission.
    pub kept: Duration,
}

/// Duties toward the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Reports of usage; none if they are no duty.
    pub usage: Option<Usage>,
    /// Whether endpoints are to be asked for.
    pub autoscale: bool,
}

/// Reports of the requests of each workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Length of a window, counted from the start of 1970.
    pub window: Duration,
    /// A report that comes so long after its window's end is late.
    pub late: Duration,
}

impl Hosted {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// If it cannot be read, or its content is at fault.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(path, &super::read_file(path)?).map_err(Error::Invalid)
    }

    /// Checks `text` as the content of the file `path`.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(path: impl AsRef<Path>, text: &str) -> Result<Self, ValidationErrors> {
        let mut reader = Reader::new(path.as_ref(), text)?;
        let instance = Instance::read(&mut reader);
        let store = Store::read(&mut reader);
        let stop = Stop::read(&mut reader);
        let orders = Orders::read(&mut reader);
        let lots = Lots::read(&mut reader);
        let platform = Platform::read(&mut reader);
        let log = Log::read(&mut reader);
        let errors = reader.finish();
        match (instance, store) {
            (Some(instance), Some(store)) if errors.is_empty() => Ok(Self {
                instance,
                store,
                stop,
                orders,
                lots,
                platform,
                log,
            }),
            _ => Err(errors),
        }
    }
}

impl Instance {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("instance");
        let name = section.required("name", value::EXPECTED_NAME, value::name);
        let zone = section.required("zone", value::EXPECTED_NAME, value::name);
        let callers = section.optional("callers", value::EXPECTED_ADDRESS, value::address);
        let readiness = section.optional("readiness", value::EXPECTED_ADDRESS, value::address);
        let metrics = section.optional("metrics", value::EXPECTED_ADDRESS, value::address);
        let peers = section.optional("peers", value::EXPECTED_ADDRESS, value::address);
        section.check_address_conflicts(&[
            ("callers", callers),
            ("readiness", readiness),
            ("metrics", metrics),
            ("peers", peers),
        ]);
        // Half of the descriptors are left for endpoints, the store and files.
        let cores = section.optional("cores", value::EXPECTED_CORES, value::cores);
        let descriptors = section.count("file_descriptors", 64..=1_000_000, 1_024);
        Some(Self {
            name: name?,
            zone: zone?,
            callers,
            readiness,
            metrics,
            peers,
            connections: descriptors / 2,
            cores: cores.unwrap_or(1.0),
        })
    }
}

impl Store {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("store");
        let address = section.required("address", value::EXPECTED_ADDRESS, value::address);
        Some(Self {
            timeout: section.duration("timeout", WAIT_RANGE, Duration::from_millis(1_500)),
            watch: section.duration("watch", WAIT_RANGE, Duration::from_secs(20)),
            leave_after: section.duration("leave_after", WAIT_RANGE, Duration::from_secs(2)),
            reads_per_second: section.number("reads_per_second", 1..=10_000, 100),
            writes_per_second: section.number("writes_per_second", 1..=10_000, 50),
            address: address?,
        })
    }
}

impl Stop {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("stop");
        let lag = section.duration("balancer_lag", WAIT_RANGE, Duration::from_millis(2_500));
        let killed_after = section.duration("killed_after", WAIT_RANGE, Duration::from_secs(8));
        if killed_after <= lag {
            section.report_error("killed_after", "longer than balancer_lag");
        }
        Self {
            balancer_lag: lag,
            killed_after,
        }
    }
}

impl Orders {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("orders");
        Self {
            gap: section.duration("gap", WAIT_RANGE, Duration::from_secs(3)),
            loads: section.count("loads", 1..=1_000, 2),
        }
    }
}

impl Lots {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("lots");
        Self {
            kept: section.duration("kept", WAIT_RANGE, Duration::from_secs(120)),
        }
    }
}

impl Platform {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("platform");
        let address = section.optional("address", value::EXPECTED_ADDRESS, value::address);
        let duties = section.optional("duties", value::EXPECTED_DUTIES, value::duties);
        let window = section.duration("usage_window", WAIT_RANGE, Duration::from_secs(5));
        let late = section.duration("usage_late", WAIT_RANGE, Duration::from_secs(10));
        let duties = duties.unwrap_or_default();
        Some(Self {
            address: address?,
            usage: duties.usage.then_some(Usage { window, late }),
            autoscale: duties.autoscale,
        })
    }
}
