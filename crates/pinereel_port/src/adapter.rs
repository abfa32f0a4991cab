//! The functions that one platform's adapter supplies.

use crate::{DecodeError, config, endpoint, engine, headers, leader, lot, store};
use compact_str::CompactString;
use serde_json::Value;

/// Encoding and decoding functions between one platform's wire formats and the types of this crate.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Requests to the object store and their responses.
    pub store: store::Codec,
    /// Where the operator, the endpoints and the trainers keep their objects in the object store.
    pub object_kinds: ObjectKinds,
    /// HTTP headers of client requests, of the requests forwarded to endpoints, and of responses.
    pub headers: headers::Codec,
    /// Requests that trainers send and their responses.
    pub lot: lot::Codec,
    /// Requests to model engines and their responses.
    pub engine: engine::Codec,
    /// Requests that only the holder of a lease may send.
    pub leader: leader::Codec,
    /// Decodes the operator's configuration from the spec of its object.
    pub decode_config: fn(&Value) -> Result<config::Document, DecodeError>,
    /// Decodes one endpoint from the name of its object, which is the endpoint's id, and its spec.
    pub decode_endpoint: fn(&str, &Value) -> Result<endpoint::Entry, DecodeError>,
    /// Decodes the model and the version of its weights that its trainer published, from the spec
    /// of the object in [`ObjectKinds::versions`].
    pub decode_named_version: fn(&Value) -> Result<(CompactString, u64), DecodeError>,
    /// Returns the status that marks a retirement request as complete: the instance holds no state
    /// that is still needed.
    pub retired_status: fn() -> Value,
    /// HTTP path of the readiness check that the load balancer polls.
    pub readiness_path: &'static str,
}

/// Kinds and names of the objects that other processes write.
#[derive(Clone, Copy, Debug)]
pub struct ObjectKinds {
    /// Kind of the configuration objects.
    pub config: &'static str,
    /// Name of the configuration object in force.
    pub config_object_name: &'static str,
    /// Kind of the endpoint objects, one per endpoint.
    pub endpoints: &'static str,
    /// Kind of the published weight versions, one object per model.
    pub versions: &'static str,
    /// Kind of the requests to retire an instance, one object per instance.
    pub retirements: &'static str,
}
