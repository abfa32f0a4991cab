//! Routing table of one configuration of `pinereel hosted`: finds the route, the caller and the service
//! of a request.

use crate::hash;
use compact_str::CompactString;
use pinereel_port::{
    KeyDigest,
    config::{Document, Route, RouteKind, Service},
    headers::Caller,
};
use std::collections::BTreeMap;

/// The routing table of one configuration, indexed for lookups.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    document: Document,
    /// The workspace of each API key; `None` if the configuration has no workspaces.
    workspace_by_key: Option<BTreeMap<KeyDigest, CompactString>>,
    /// Priority of each workspace that has one.
    priority_by_workspace: BTreeMap<CompactString, u32>,
    /// The most urgent priority that a live request can have.
    most_urgent_priority: u32,
}

/// Why a request to a route that is not public is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccessError {
    /// The request has no key.
    #[error("no key")]
    MissingKey,
    /// No workspace of the configuration has the key; it may have been removed.
    #[error("unknown key")]
    UnknownKey,
}

impl RoutingTable {
    /// Builds the routing table of `document`.
    pub fn new(mut document: Document) -> Self {
        // The longest prefix wins, so it comes first.
        document
            .routes
            .sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        let workspace_by_key = document.workspaces.as_ref().map(|workspaces| {
            let keys = workspaces.iter().flat_map(|workspace| {
                let name = &workspace.name;
                workspace.key_digests.iter().map(|key| (*key, name.clone()))
            });
            keys.collect()
        });
        let workspaces = document.workspaces.iter().flatten();
        let priority_by_workspace: BTreeMap<_, _> = workspaces
            .filter_map(|workspace| Some((workspace.name.clone(), workspace.priority?)))
            .collect();
        let live_routes = document.routes.iter().filter(|r| r.kind != RouteKind::Lot);
        let priorities = live_routes.map(|route| route.priority);
        let most_urgent_priority = priorities
            .chain(priority_by_workspace.values().copied())
            .min()
            .unwrap_or_default();
        Self {
            document,
            workspace_by_key,
            priority_by_workspace,
            most_urgent_priority,
        }
    }

    /// The caller on whose behalf a request with `key` is made. `public` tells whether its route needs no
    /// key. Without workspaces in the configuration, every request is accepted.
    ///
    /// # Errors
    /// If the route needs a key, and the key is missing or unknown.
    pub fn authenticate(
        &self,
        key: Option<&KeyDigest>,
        public: bool,
    ) -> Result<Caller, AccessError> {
        let Some(workspace_by_key) = &self.workspace_by_key else {
            return Ok(Caller::PassThrough);
        };
        match key.map(|key| workspace_by_key.get(key)) {
            Some(Some(workspace)) => Ok(Caller::Workspace(workspace.clone())),
            _ if public => Ok(Caller::Anonymous),
            Some(None) => Err(AccessError::UnknownKey),
            None => Err(AccessError::MissingKey),
        }
    }

    /// The caller of a request that this instance makes itself and that belongs to no workspace.
    pub const fn internal_caller(&self) -> Caller {
        match self.workspace_by_key {
            Some(_) => Caller::Anonymous,
            None => Caller::PassThrough,
        }
    }

    /// Number of priority levels by which a live request is less urgent than the most urgent one that the
    /// configuration admits. The priority of its workspace takes precedence over that of its route.
    pub fn priority_level(&self, route: &Route, caller: &Caller) -> u32 {
        let workspace = caller.workspace();
        let own = workspace.and_then(|name| self.priority_by_workspace.get(name));
        let priority = own.copied().unwrap_or(route.priority);
        priority.saturating_sub(self.most_urgent_priority)
    }

    /// Version number of the configuration.
    pub const fn number(&self) -> u64 {
        self.document.version
    }

    /// The configuration itself, with its routes sorted by the length of their prefixes, longest first.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// The route of a request: among the routes of its host, the one with the longest prefix of its path.
    /// A port in `host` is ignored.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        self.document
            .routes
            .iter()
            .find(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(r.path_prefix.as_str()))
    }

    /// The route called `name`.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.document.routes.iter().find(|route| route.name == name)
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let mut services = self.document.services.iter();
        services.find(|service| service.name == name)
    }
}

/// Picks one of the services of `route` by weight; `None` if all weights are zero. The same seed
/// gives the same service, and over many seeds each service gets its share.
pub fn pick_service(route: &Route, seed: u64) -> Option<&str> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = hash::mix(seed) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if remaining < weight {
            return Some(&target.service);
        }
        remaining -= weight;
    }
    None
}
