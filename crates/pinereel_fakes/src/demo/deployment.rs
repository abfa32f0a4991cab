//! The deployments that the demo runs: their sizes, their initial configuration, and the settings
//! and speeds of their sites.

use crate::{engine::batch, site};
use compact_str::CompactString;
use pinereel_core::config::{Document, Pool, PoolKind, Trainer};
use std::{collections::BTreeMap, time::Duration};

/// Time after which a change shows in the platform's list of instances.
const INSTANCE_LIST_LAG: Duration = Duration::from_millis(50);
/// Settings of the entries in addition to those that every site has, as INI text.
const EXTRA_SETTINGS: &str =
    "[drain]\nbalancer_lag = 200ms\nlongest = 10s\n[log]\ndecisions = false\n";

/// Size and configuration of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Availability zones.
    pub zones: &'static [&'static str],
    /// Number of entries.
    pub entry_count: usize,
    /// Name of the pool of engines, and number of engines.
    pub engine_pool: (&'static str, usize),
    /// Model that the engines serve.
    pub model: &'static str,
    /// Name of the pool of plain services, and number of services.
    pub service_pool: (&'static str, usize),
    /// Path of the services' non-idempotent call, which must run at most once.
    pub non_idempotent_path: &'static str,
    /// Name of the trainer.
    pub trainer: &'static str,
    /// Staleness bound of the trainer, in versions.
    pub staleness_bound: u64,
}

/// Deployment of Maumee Groove Pressing.
pub const MAUMEE: Deployment = Deployment {
    name: "maumee",
    zones: &["toledo-hall", "sandusky-hall", "erie-hall", "detroit-hall"],
    entry_count: 9,
    engine_pool: ("draft-llm", 8),
    model: "wording",
    service_pool: ("orders-app", 4),
    non_idempotent_path: "/orders",
    trainer: "dispatch-wording",
    staleness_bound: 1,
};

/// Deployment of Prairie Armature Group.
pub const PRAIRIE: Deployment = Deployment {
    name: "prairie",
    zones: &["regina-hall", "saskatoon-hall", "moosejaw-hall"],
    entry_count: 9,
    engine_pool: ("winder-lm", 8),
    model: "winding-advice",
    service_pool: ("counter-app", 3),
    non_idempotent_path: "/quotes",
    trainer: "rewind-cases",
    staleness_bound: 2,
};

impl Deployment {
    /// Options of the site that the demo starts for this deployment.
    pub fn site_options(&self) -> site::Options {
        site::Options {
            zones: self.zones.iter().copied().map(Into::into).collect(),
            entry_count: self.entry_count,
            engine_pools: vec![(self.engine_pool.0.into(), self.engine_pool.1)],
            batch: batch::Options {
                tokens_per_second: 500.0,
                swap_time: Duration::from_millis(150),
                warm_up_time: Duration::from_millis(50),
                ..batch::Options::default()
            },
            service_pools: vec![(self.service_pool.0.into(), self.service_pool.1)],
            document: self.document(),
            instance_list_lag: INSTANCE_LIST_LAG,
            extra_settings: EXTRA_SETTINGS.into(),
        }
    }

    /// Document of configuration 1.
    pub fn document(&self) -> Document {
        let engines = Pool {
            model: Some(self.model.into()),
            checks_fencing: true,
            ..default_pool(PoolKind::Engine)
        };
        let services = Pool {
            non_idempotent: vec![format!("POST {}", self.non_idempotent_path).into()],
            ..default_pool(PoolKind::Service)
        };
        let trainer = Trainer {
            pool: self.engine_pool.0.into(),
            bound: self.staleness_bound,
            share: 1,
            scorer: Some(self.service_pool.0.into()),
        };
        Document {
            pools: BTreeMap::from([
                (CompactString::from(self.engine_pool.0), engines),
                (CompactString::from(self.service_pool.0), services),
            ]),
            trainers: BTreeMap::from([(CompactString::from(self.trainer), trainer)]),
            ..Document::default()
        }
    }
}

/// Pool without a model and without non-idempotent calls.
fn default_pool(kind: PoolKind) -> Pool {
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
