//! Which route a request takes, under one configuration.

use crate::hash;
use pinereel_port::config::{Document, Route, Service};

/// A configuration, ready to be asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    document: Document,
}

impl Table {
    /// The table of `document`.
    pub fn new(mut document: Document) -> Self {
        // The longest prefix wins, so it is looked at first.
        document
            .routes
            .sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self { document }
    }

    /// Number of the configuration.
    pub const fn number(&self) -> u64 {
        self.document.number
    }

    /// The configuration itself, routes with longer prefixes first.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// The route of a request: of those of its host the one with the longest prefix of its path.
    ///
    /// `host` may carry a port, which means nothing here.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        self.document
            .routes
            .iter()
            .find(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(r.prefix.as_str()))
    }

    /// The route of that name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.document.routes.iter().find(|route| route.name == name)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let mut services = self.document.services.iter();
        services.find(|service| service.name == name)
    }
}

/// The service that runs a request of `route`. The same seed gets the same one; over many seeds
/// each service gets its share.
pub fn service(route: &Route, seed: u64) -> Option<&str> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut left = hash::mix(seed) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(&target.service);
        }
        left -= weight;
    }
    None
}
