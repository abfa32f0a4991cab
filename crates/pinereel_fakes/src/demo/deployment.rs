//! The deployments that the demo shows, in their sizes of today.

use crate::{engine::batch, site};
use compact_str::CompactString;
use pinereel_core::config::{Document, Pool, PoolKind, Trainer};
use std::{collections::BTreeMap, time::Duration};

/// Lag of the platform's list of instances.
const LIST_LAG: Duration = Duration::from_millis(50);
/// Settings of the entries beyond those of any site.
const SETTINGS: &str = "[drain]\nbalancer_lag = 200ms\nlongest = 10s\n[log]\ndecisions = false\n";

/// One deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: &'static [&'static str],
    /// Entries.
    pub entries: usize,
    /// The pool of engines, and how many.
    pub engines: (&'static str, usize),
    /// The model that they serve.
    pub model: &'static str,
    /// The pool of plain services, and how many.
    pub services: (&'static str, usize),
    /// The path of the calls that may run at most once.
    pub path: &'static str,
    /// The trainer.
    pub trainer: &'static str,
    /// Its staleness bound, in versions.
    pub bound: u64,
}

/// Maumee Groove Pressing.
pub const MAUMEE: Deployment = Deployment {
    name: "maumee",
    zones: &["toledo-hall", "sandusky-hall", "erie-hall", "detroit-hall"],
    entries: 9,
    engines: ("draft-llm", 8),
    model: "wording",
    services: ("orders-app", 4),
    path: "/orders",
    trainer: "dispatch-wording",
    bound: 1,
};

/// Prairie Armature Group.
pub const PRAIRIE: Deployment = Deployment {
    name: "prairie",
    zones: &["regina-hall", "saskatoon-hall", "moosejaw-hall"],
    entries: 9,
    engines: ("winder-lm", 8),
    model: "winding-advice",
    services: ("counter-app", 3),
    path: "/quotes",
    trainer: "rewind-cases",
    bound: 2,
};

impl Deployment {
    /// The site that stands for it.
    pub fn site(&self) -> site::Options {
        site::Options {
            zones: self.zones.iter().copied().map(Into::into).collect(),
            entry_count: self.entries,
            engine_pools: vec![(self.engines.0.into(), self.engines.1)],
            batch: batch::Options {
                tokens_per_second: 500.0,
                swap_time: Duration::from_millis(150),
                warm_up_time: Duration::from_millis(50),
                ..batch::Options::default()
            },
            service_pools: vec![(self.services.0.into(), self.services.1)],
            document: self.document(),
            instance_list_lag: LIST_LAG,
            extra_settings: SETTINGS.into(),
        }
    }

    /// Its configuration 1.
    pub fn document(&self) -> Document {
        let engines = Pool {
            model: Some(self.model.into()),
            checks_fencing: true,
            ..pool(PoolKind::Engine)
        };
        let services = Pool {
            non_idempotent: vec![format!("POST {}", self.path).into()],
            ..pool(PoolKind::Service)
        };
        let trainer = Trainer {
            pool: self.engines.0.into(),
            bound: self.bound,
            share: 1,
            scorer: Some(self.services.0.into()),
        };
        Document {
            pools: BTreeMap::from([
                (CompactString::from(self.engines.0), engines),
                (CompactString::from(self.services.0), services),
            ]),
            trainers: BTreeMap::from([(CompactString::from(self.trainer), trainer)]),
            ..Document::default()
        }
    }
}

fn pool(kind: PoolKind) -> Pool {
    Pool {
        kind,
        model: None,
        slots: 8,
        non_idempotent: Vec::new(),
        checks_fencing: false,
        floor: 0.5,
        loads: 64,
    }
}
