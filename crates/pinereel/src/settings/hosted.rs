//! Settings of a hosted instance, whose state is kept by the platform that it runs on.

use super::{
    DURATION_RANGE, Error, Log, PROCESS_MEMORY_RANGE, ValidationErrors,
    reader::{Reader, addresses_conflict},
    value,
};
use crate::memory::DEFAULT_INSTANCE_BYTES;
use compact_str::CompactString;
use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    path::Path,
    time::Duration,
};

/// Accepted range of durations that the platform gives.
const PLATFORM_DURATION_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(30 * 24 * 3_600);
/// Accepted range of the processor time of an instance, in cores.
const CORES_RANGE: (f64, f64) = (0.001, 1_024.0);

/// All settings of a hosted instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Hosted {
    /// Name, zone and listening addresses of the instance.
    pub instance: Instance,
    /// Address of the platform's object store, and the limits on calls to it.
    pub store: Store,
    /// Links to other instances.
    pub peers: Peers,
    /// Graceful shutdown.
    pub stop: Stop,
    /// Limits on orders to model engines.
    pub orders: Orders,
    /// Retention of lots.
    pub lots: Lots,
    /// Calls to the platform; `None` if its address is not set.
    pub platform: Option<Platform>,
    /// Logging.
    pub log: Log,
    /// Values that were replaced by similar ones, as the given ones cannot be used.
    pub warnings: ValidationErrors,
}

/// Name, zone, listening addresses and resources of the instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name of the instance, unique in the system.
    pub name: CompactString,
    /// Availability zone of the instance.
    pub zone: CompactString,
    /// Listening address for callers; `None` on an instance that serves none.
    pub callers: Option<SocketAddr>,
    /// Listening address for the load balancer's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Listening address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Listening address for other instances; without it each instance reads the store itself.
    pub peers: Option<SocketAddr>,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// CPU cores that the instance may use; duties go to instances with more of them.
    pub cores: f64,
}

/// Address of the platform's object store, and the limits on this process's calls to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Address of the object store.
    pub address: SocketAddr,
    /// Timeout of one call, in addition to the wait of a watch.
    pub timeout: Duration,
    /// Maximum wait of one watch call.
    pub watch: Duration,
    /// Time after which an endpoint that is leaving must not receive requests.
    pub leave_after: Duration,
    /// Maximum number of reads per second.
    pub reads_per_second: u32,
    /// Maximum number of writes per second.
    pub writes_per_second: u32,
}

/// Links to other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Whether calls to the object store are sent through the parent in the broadcast tree while the
    /// store does not answer this instance, and whether calls of children are accepted.
    pub store_calls: bool,
    /// Instances that are tried for a parent in the broadcast tree while the object store does not answer this
    /// instance, at the port of its own address for other instances. They need not exist.
    pub seeds: Vec<IpAddr>,
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// How long the load balancer may still send connections after readiness is off.
    pub balancer_lag: Duration,
    /// Time after which the platform kills the process, which exits by itself before.
    pub killed_after: Duration,
}

/// Limits on orders to model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orders {
    /// Minimum time between orders of two instances to one engine.
    pub gap: Duration,
    /// Maximum number of engines that load weights at the same time.
    pub loads: usize,
}

/// Retention of lots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lots {
    /// How long after its submission a lot can be read.
    pub kept: Duration,
}

/// Calls to the platform: usage reports and autoscaling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Usage reports; `None` if they are not a duty of this deployment.
    pub usage: Option<Usage>,
    /// Whether to request endpoints from the platform.
    pub autoscale: bool,
}

/// Usage reports, which count the requests of each workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Length of a reporting window; windows are aligned to the Unix epoch.
    pub window: Duration,
    /// Time after the end of its window from which a report counts as late.
    pub late: Duration,
}

impl Hosted {
    /// Loads and validates the file at `path`.
    ///
    /// # Errors
    /// If the file cannot be read or its content is invalid.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(path, &super::read_file(path)?).map_err(Error::Invalid)
    }

    /// Validates `text` as the content of the file `path`.
    ///
    /// # Errors
    /// All validation errors of the text.
    pub fn parse(path: impl AsRef<Path>, text: &str) -> Result<Self, ValidationErrors> {
        let mut reader = Reader::new(path.as_ref(), text)?.of_platform();
        let instance = Instance::read(&mut reader);
        let store = Store::read(&mut reader);
        let peers = Peers::read(&mut reader);
        let stop = Stop::read(&mut reader);
        let orders = Orders::read(&mut reader);
        let lots = Lots::read(&mut reader);
        let platform = Platform::read(&mut reader);
        let log = Log::read(&mut reader);
        reader.check_end_marker();
        let warnings = reader.take_warnings();
        let errors = reader.finish();
        match (instance, store) {
            (Some(instance), Some(store)) if errors.is_empty() => Ok(Self {
                instance,
                store,
                peers,
                stop,
                orders,
                lots,
                platform,
                log,
                warnings,
            }),
            _ => Err(errors),
        }
    }
}

impl Instance {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("instance");
        let name = section.required("name", value::EXPECTED_HOST_NAME, value::host_name);
        let zone = section.required("zone", value::EXPECTED_HOST_NAME, value::host_name);
        let callers = section.optional("callers", value::EXPECTED_ADDRESS, value::address);
        let readiness = section.optional("readiness", value::EXPECTED_ADDRESS, value::address);
        let mut metrics = section.optional("metrics", value::EXPECTED_ADDRESS, value::address);
        let peers = section.optional("peers", value::EXPECTED_ADDRESS, value::address);
        section.check_address_conflicts(&[
            ("callers", callers),
            ("readiness", readiness),
            ("peers", peers),
        ]);
        // The platform chooses the other ports.
        if [callers, readiness, peers]
            .into_iter()
            .any(|other| addresses_conflict(metrics, other))
        {
            section.warn("metrics", "an address that no other listener uses");
            metrics = None;
        }
        let cores = section.bounded("cores", value::EXPECTED_CORES, CORES_RANGE, value::decimal);
        // Half of the file descriptors are for callers' connections, the other half for endpoints, the
        // store and files.
        let descriptors = section.count("file_descriptors", 64..=1_000_000, 1_024);
        Some(Self {
            name: name?,
            zone: zone?,
            callers,
            readiness,
            metrics,
            peers,
            connections: descriptors / 2,
            memory: section.size("memory", PROCESS_MEMORY_RANGE, DEFAULT_INSTANCE_BYTES),
            cores: cores.unwrap_or(1.0),
        })
    }
}

impl Store {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("store");
        let address = section.required("address", value::EXPECTED_ADDRESS, value::address);
        Some(Self {
            timeout: section.duration("timeout", DURATION_RANGE, Duration::from_millis(1_500)),
            watch: section.duration("watch", DURATION_RANGE, Duration::from_secs(20)),
            leave_after: section.duration(
                "leave_after",
                PLATFORM_DURATION_RANGE,
                Duration::from_secs(2),
            ),
            reads_per_second: section.number("reads_per_second", 1..=10_000, 100),
            writes_per_second: section.number("writes_per_second", 1..=10_000, 50),
            address: address?,
        })
    }
}

impl Peers {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("peers");
        let seeds = section.optional("seeds", value::EXPECTED_HOSTS, |text| {
            Some(value::hosts(text))
        });
        let (seeds, all_valid) = seeds.unwrap_or((Vec::new(), true));
        if !all_valid {
            section.warn("seeds", value::EXPECTED_HOSTS);
        }
        Self {
            store_calls: section.boolean("store_calls", false),
            seeds,
        }
    }
}

impl Stop {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("stop");
        let mut lag =
            section.duration("balancer_lag", DURATION_RANGE, Duration::from_millis(2_500));
        let killed_after = section.duration(
            "killed_after",
            PLATFORM_DURATION_RANGE,
            Duration::from_secs(8),
        );
        if killed_after <= lag {
            // Callers' requests still need time to be answered after the last connection.
            section.warn(
                "killed_after",
                "longer than balancer_lag, which is shortened",
            );
            lag = killed_after / 2;
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
            gap: section.duration("gap", DURATION_RANGE, Duration::from_secs(3)),
            loads: section.count("loads", 1..=1_000, 2),
        }
    }
}

impl Lots {
    fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("lots");
        Self {
            kept: section.duration("kept", PLATFORM_DURATION_RANGE, Duration::from_secs(120)),
        }
    }
}

impl Platform {
    fn read(reader: &mut Reader) -> Option<Self> {
        let mut section = reader.section("platform");
        let address = section.optional("address", value::EXPECTED_ADDRESS, value::address);
        let duties = section.optional("duties", value::EXPECTED_DUTIES, value::duties);
        let window = section.duration(
            "usage_window",
            PLATFORM_DURATION_RANGE,
            Duration::from_secs(5),
        );
        let late = section.duration(
            "usage_late",
            PLATFORM_DURATION_RANGE,
            Duration::from_secs(10),
        );
        let duties = duties.unwrap_or_default();
        Some(Self {
            address: address?,
            usage: duties.usage.then_some(Usage { window, late }),
            autoscale: duties.autoscale,
        })
    }
}
