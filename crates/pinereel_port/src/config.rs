//! The configuration that the operator wrote.

use crate::KeyDigest;
use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};

/// The whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// Routes in no order that means anything.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Who may send requests; none if anybody may.
    pub workspaces: Option<Vec<Workspace>>,
}

/// One workspace: callers who share their keys, lots and accounts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name; endpoints are told it.
    pub name: CompactString,
    /// Its keys, as digests.
    pub key_digests: Vec<KeyDigest>,
    /// Rank of its requests, before that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: CompactString,
    /// Host that it is for, without a port.
    pub host: CompactString,
    /// Start of the paths that it is for, with a slash at both ends.
    pub path_prefix: CompactString,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer is worth most.
    pub latency_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most endpoints that one request may run on.
    pub max_attempts: u32,
    /// How long after a lot's submission its items may be given up; none if never.
    pub item_ttl: Option<Duration>,
    /// Whether one sample must come from one version of the weights alone.
    pub single_version: bool,
    /// Whether its requests need no key.
    pub public: bool,
}

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// Lots of a trainer.
    Lot,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that runs them.
    pub service: CompactString,
    /// Its share, against the sum of all weights.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Connections that each of its endpoints takes from all callers together.
    pub max_connections: u32,
    /// What its endpoints are told if they are model engines.
    pub engine: Option<Engine>,
    /// How many endpoints may be asked for; none if that is not this system's to decide.
    pub scale: Option<Scale>,
}

/// How many endpoints of a service may be asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Fewest in a zone.
    pub min_endpoints: u32,
    /// Most in a zone, of both kinds together.
    pub max_endpoints: u32,
    /// Time from an order until its endpoints serve.
    pub startup_time: Duration,
    /// Price of an endpoint that may be taken away at short notice, against that of others; none if there are none such.
    pub spot_price: Option<f64>,
    /// Price of an endpoint, by zone.
    pub zone_prices: BTreeMap<CompactString, f64>,
}

/// What the configuration says of a service of model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run at once on each.
    pub slots: u32,
    /// Names of the models that they serve.
    pub models: Vec<CompactString>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Wait for a whole head.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}
