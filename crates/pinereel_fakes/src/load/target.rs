//! Kind and destination of the requests.

use serde_json::json;
use std::{net::SocketAddr, str::FromStr};

/// Number of tokens of a completion: one, so that the engine's time does not affect the measurement.
const COMPLETION_TOKENS: u32 = 1;
/// Path of the order that is read at a plain service.
const ORDER_PATH: &str = "/orders/1";

/// Kind of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Completions of one token.
    Completion,
    /// Reads at a plain service.
    Service,
}

impl Kind {
    /// Name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Completion => "completion",
            Self::Service => "service",
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "completion" => Ok(Self::Completion),
            "service" => Ok(Self::Service),
            _ => Err(format!("{name} is neither completion nor service")),
        }
    }
}

/// Destination and kind of requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of an entry or of an endpoint.
    pub address: SocketAddr,
    /// Kind of the requests.
    pub kind: Kind,
    /// Name of the pool that an entry is asked for; `None` for direct requests to an endpoint.
    pub pool: Option<String>,
}

impl Target {
    /// URL of the requests.
    pub fn url(&self) -> String {
        let address = self.address;
        match (self.kind, &self.pool) {
            (Kind::Completion, _) => format!("http://{address}/v1/completions"),
            (Kind::Service, Some(pool)) => format!("http://{address}/services/{pool}{ORDER_PATH}"),
            (Kind::Service, None) => format!("http://{address}{ORDER_PATH}"),
        }
    }

    /// Body of request `number`; `None` for reads at a plain service.
    pub fn body(&self, number: u64) -> Option<String> {
        let pool = self.pool.as_deref().unwrap_or_default();
        let body = json!({
            "model": pool,
            "prompt": format!("slot {number}"),
            "max_tokens": COMPLETION_TOKENS,
            "seed": number,
            "stream": true,
        });
        (self.kind == Kind::Completion).then(|| body.to_string())
    }
}

/// Loopback address, parsed from `IP:PORT`. The tool sends load to no other addresses.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackAddr(pub SocketAddr);

impl FromStr for LoopbackAddr {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let address: SocketAddr = text.parse().map_err(|_| format!("{text} is not IP:PORT"))?;
        if !address.ip().is_loopback() {
            return Err(format!("{address} is not a loopback address"));
        }
        Ok(Self(address))
    }
}
