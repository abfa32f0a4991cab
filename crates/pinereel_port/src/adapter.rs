//! All functions of one platform.

use crate::{Fault, config, duty, endpoint, engine, live, lot, store};
use compact_str::CompactString;
use serde_json::Value;

/// Translates between one platform and the types of this crate.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Calls of the object store.
    pub store: store::Dialect,
    /// Where the operator, the endpoints and the trainers write in the object store.
    pub places: Places,
    /// Heads of live requests and their answers.
    pub live: live::Dialect,
    /// Trainers' calls and their answers.
    pub lot: lot::Dialect,
    /// Calls at engines.
    pub engine: engine::Dialect,
    /// Calls that one instance makes at a time.
    pub duty: duty::Dialect,
    /// Reads the configuration document.
    pub config: fn(&Value) -> Result<config::Document, Fault>,
    /// Reads one endpoint of the list; the name of its object is its id.
    pub endpoint: fn(&str, &Value) -> Result<endpoint::Entry, Fault>,
    /// Reads which version of a model's weights its trainer has named.
    pub version: fn(&Value) -> Result<(CompactString, u64), Fault>,
    /// The status of a retirement whose instance holds nothing that is needed.
    pub retired: fn() -> Value,
    /// The path at which the balancer asks for readiness.
    pub readiness_path: &'static str,
}

/// Kinds and names of the objects that others write.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    /// Kind of the configuration.
    pub config: &'static str,
    /// Name of the configuration in force.
    pub config_name: &'static str,
    /// Kind of the endpoints' list.
    pub endpoints: &'static str,
    /// Kind of the named versions, one object a model.
    pub versions: &'static str,
    /// Kind of the requests to empty an instance, one object an instance.
    pub retirements: &'static str,
}
