//! All functions of one platform.

use crate::{DecodeError, config, endpoint, engine, headers, leader, lot, store};
use compact_str::CompactString;
use serde_json::Value;

/// Translates between one platform and the types of this crate.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Calls of the object store.
    pub store: store::Codec,
    /// Where the operator, the endpoints and the trainers write in the object store.
    pub object_kinds: ObjectKinds,
    /// Heads of live requests and their answers.
    pub headers: headers::Codec,
    /// Trainers' calls and their answers.
    pub lot: lot::Codec,
    /// Calls at engines.
    pub engine: engine::Codec,
    /// Calls that one instance makes at a time.
    pub leader: leader::Codec,
    /// Reads the configuration document.
    pub decode_config: fn(&Value) -> Result<config::Document, DecodeError>,
    /// Reads one endpoint of the list; the name of its object is its id.
    pub decode_endpoint: fn(&str, &Value) -> Result<endpoint::Entry, DecodeError>,
    /// Reads which version of a model's weights its trainer has named.
    pub decode_named_version: fn(&Value) -> Result<(CompactString, u64), DecodeError>,
    /// The status of a retirement whose instance holds nothing that is needed.
    pub retired_status: fn() -> Value,
    /// The path at which the balancer asks for readiness.
    pub readiness_path: &'static str,
}

/// Kinds and names of the objects that others write.
#[derive(Clone, Copy, Debug)]
pub struct ObjectKinds {
    /// Kind of the configuration.
    pub config: &'static str,
    /// Name of the configuration in force.
    pub config_object_name: &'static str,
    /// Kind of the endpoints' list.
    pub endpoints: &'static str,
    /// Kind of the named versions, one object a model.
    pub versions: &'static str,
    /// Kind of the requests to empty an instance, one object an instance.
    pub retirements: &'static str,
}
