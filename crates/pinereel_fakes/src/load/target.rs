//! What the load asks, and where.

use serde_json::json;
use std::{net::SocketAddr, str::FromStr};

/// Most tokens of a completion: one, so that what is measured is not the engine.
const TOKENS: u32 = 1;
/// The lookup that is asked of a plain service.
const LOOKUP: &str = "/orders/1";

/// The kind of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Completions of one token.
    Completion,
    /// Lookups at a plain service.
    Service,
}

impl Kind {
    /// Its name on the command line.
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

/// An address on loopback and what to ask there.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where.
    pub address: SocketAddr,
    /// What.
    pub kind: Kind,
    /// The pool, if the address is an entry's; none for an endpoint's.
    pub pool: Option<String>,
}

impl Target {
    /// The URL of its requests.
    pub fn url(&self) -> String {
        let address = self.address;
        match (self.kind, &self.pool) {
            (Kind::Completion, _) => format!("http://{address}/v1/completions"),
            (Kind::Service, Some(pool)) => format!("http://{address}/services/{pool}{LOOKUP}"),
            (Kind::Service, None) => format!("http://{address}{LOOKUP}"),
        }
    }

    /// The body of request `number`; none where it is a lookup.
    pub fn body(&self, number: u64) -> Option<String> {
        let pool = self.pool.as_deref().unwrap_or_default();
        let body = json!({
            "model": pool,
            "prompt": format!("slot {number}"),
            "max_tokens": TOKENS,
            "seed": number,
            "stream": true,
        });
        (self.kind == Kind::Completion).then(|| body.to_string())
    }
}

/// An address on loopback; the load goes nowhere else.
#[derive(Clone, Copy, Debug)]
pub struct Loopback(pub SocketAddr);

impl FromStr for Loopback {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let address: SocketAddr = text.parse().map_err(|_| format!("{text} is not IP:PORT"))?;
        if !address.ip().is_loopback() {
            return Err(format!("{address} is not on loopback"));
        }
        Ok(Self(address))
    }
}
