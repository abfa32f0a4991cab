//! Which route a request takes, under one configuration.

use crate::hash;
use compact_str::CompactString;
use pinereel_port::{
    KeyDigest,
    config::{Document, Route, Service},
    headers::Caller,
};
use std::collections::BTreeMap;

/// A configuration, ready to be asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    document: Document,
    /// Whose each key is; none if the configuration knows no workspaces.
    holders: Option<BTreeMap<KeyDigest, CompactString>>,
}

/// A request has no key that the configuration knows, and needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoAccess {
    /// It has none.
    #[error("no key")]
    NoKey,
    /// The configuration does not know the key, or not any more.
    #[error("unknown key")]
    UnknownKey,
}

impl Table {
    /// The table of `document`.
    pub fn new(mut document: Document) -> Self {
        // The longest prefix wins, so it is looked at first.
        document
            .routes
            .sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        let holders = document.workspaces.as_ref().map(|workspaces| {
            let keys = workspaces.iter().flat_map(|workspace| {
                let name = &workspace.name;
                workspace.key_digests.iter().map(|key| (*key, name.clone()))
            });
            keys.collect()
        });
        Self { document, holders }
    }

    /// On whose behalf a request with that key is made. `public` says that it needs none.
    ///
    /// # Errors
    /// If it may not run.
    pub fn caller(&self, key: Option<&KeyDigest>, public: bool) -> Result<Caller, NoAccess> {
        let Some(holders) = &self.holders else {
            return Ok(Caller::PassThrough);
        };
        match key.map(|key| holders.get(key)) {
            Some(Some(workspace)) => Ok(Caller::Workspace(workspace.clone())),
            _ if public => Ok(Caller::Anonymous),
            Some(None) => Err(NoAccess::UnknownKey),
            None => Err(NoAccess::NoKey),
        }
    }

    /// On whose behalf a request is made that this side makes itself and that needs no workspace.
    pub const fn nobody(&self) -> Caller {
        match self.holders {
            Some(_) => Caller::Anonymous,
            None => Caller::PassThrough,
        }
    }

    /// Number of the configuration.
    pub const fn number(&self) -> u64 {
        self.document.version
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
            .find(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(r.path_prefix.as_str()))
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
