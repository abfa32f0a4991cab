//! A site embedded in the calling process: the object API, the endpoints and the entries, all on
//! one thread and on loopback.
//!
//! [`crate::cluster`] runs the same site as processes that can be killed and paused.

use crate::{
    engine::{self, batch},
    object_api, service,
};
use compact_str::{CompactString, format_compact};
use pinereel::{entry::Entry, settings::Settings};
use pinereel_api::object::{CONFIG, CONFIG_NAME, Instance, InstanceState};
use pinereel_core::{config::Document, member::MAX_FULL_MESH_SIZE};
use std::{
    fs, io,
    net::SocketAddr,
    os::unix::fs::PermissionsExt as _,
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Interval at which [`wait_until`] checks its condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bearer token that the operators' listeners accept.
pub const OPERATOR_TOKEN: &str = "operators-of-the-demo";
/// Secret shared by the entries, with which they authenticate to each other.
pub const PEER_SECRET: &str = "entries-of-the-demo-only";

/// The components of a site.
#[derive(Clone, Debug)]
pub struct Options {
    /// Availability zones. Instances are assigned to them round-robin.
    pub zones: Vec<CompactString>,
    /// Number of entries.
    pub entry_count: usize,
    /// Pools of engines: name of the pool and number of engines.
    pub engine_pools: Vec<(CompactString, usize)>,
    /// Size and speed of each engine.
    pub batch: batch::Options,
    /// Pools of plain services: name of the pool and number of services.
    pub service_pools: Vec<(CompactString, usize)>,
    /// Document of configuration 1. An empty document is not written, so that configuration 0 is in
    /// force.
    pub document: Document,
    /// Time after which a change shows in the platform's list of instances.
    pub instance_list_lag: Duration,
    /// Further settings of the entries, as INI text with section headers. Lines before the first
    /// header belong to `[object_api]`.
    pub extra_settings: String,
}

/// A running engine or plain service.
pub struct Endpoint<T> {
    /// Name of the pool.
    pub pool: CompactString,
    /// Name in the platform's list of instances.
    pub name: CompactString,
    /// Handle of the fake.
    pub handle: T,
}

/// A running site.
pub struct Site {
    /// The object API.
    pub object_api: object_api::Handle,
    /// The engines of all pools.
    pub engines: Vec<Endpoint<engine::server::Handle>>,
    /// The plain services of all pools.
    pub services: Vec<Endpoint<service::Handle>>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Directory of the settings and secrets; removed when the site is dropped.
    config_dir: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        // A failure only leaves files behind in the system's directory for temporary files.
        let _ = fs::remove_dir_all(&self.config_dir);
    }
}

impl Site {
    /// Starts a site and waits until every entry is ready.
    ///
    /// # Errors
    /// A listener or a file could not be opened, or an entry was not ready in time.
    pub async fn start(options: Options) -> io::Result<Self> {
        let object_api = object_api::Api::start(object_api::Options {
            lag: options.instance_list_lag,
            ..object_api::Options::default()
        })
        .await?;
        if options.document != Document::default() {
            write_initial_config(object_api.address, &options.document).await?;
        }
        let config_dir = create_config_dir()?;
        let mut site = Self {
            object_api,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            config_dir,
        };
        site.start_engines(&options).await?;
        site.start_services(&options).await?;
        site.object_api.list_pending_instances();
        for index in 0..options.entry_count {
            site.start_entry(&options, index).await?;
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn start_engines(&mut self, options: &Options) -> io::Result<()> {
        for (pool, count) in &options.engine_pools {
            for index in 0..*count {
                let name = format_compact!("{pool}-{index}");
                let handle = engine::server::Handle::start(engine::server::Options {
                    name: name.clone(),
                    batch: options.batch.clone(),
                    seed: index as u64,
                    ..engine::server::Options::default()
                })
                .await?;
                let instance = instance(options, pool, index, handle.address.to_string());
                self.object_api.put_instance(&name, instance);
                self.engines.push(Endpoint {
                    pool: pool.clone(),
                    name,
                    handle,
                });
            }
        }
        Ok(())
    }

    async fn start_services(&mut self, options: &Options) -> io::Result<()> {
        for (pool, count) in &options.service_pools {
            for index in 0..*count {
                let name = format_compact!("{pool}-{index}");
                let handle = service::Service::start(service::Options::default()).await?;
                let instance = instance(options, pool, index, handle.address.to_string());
                self.object_api.put_instance(&name, instance);
                self.services.push(Endpoint {
                    pool: pool.clone(),
                    name,
                    handle,
                });
            }
        }
        Ok(())
    }

    /// Writes the settings file of the entry with this index and loads it.
    ///
    /// # Errors
    /// The file could not be written, or the settings are invalid.
    pub fn entry_settings(&self, options: &Options, index: usize) -> io::Result<Settings> {
        let name = format_compact!("entry-{index}");
        let zone = zone(options, index);
        let path = self.config_dir.join(format!("{name}.ini"));
        let object_api = self.object_api.address;
        let text = format!(
            "[entry]\nname = {name}\nzone = {zone}\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\n[secrets]\noperator_token_file = token\n\
             peer_secret_file = secret\n[object_api]\nurl = http://{object_api}\n{}",
            options.extra_settings
        );
        fs::write(&path, &text)?;
        Settings::load(&path).map_err(io::Error::other)
    }

    /// Starts the entry with this index and adds it to the site, without waiting until it is ready.
    ///
    /// # Errors
    /// The settings are invalid, or a listener could not be opened.
    pub async fn start_entry(&mut self, options: &Options, index: usize) -> io::Result<()> {
        let settings = self.entry_settings(options, index)?;
        let name = settings.entry.name.clone();
        let entry = Entry::start(settings).await.map_err(io::Error::other)?;
        // The platform lists entries too, and the other entries treat one that is not listed as gone.
        let instance = Instance {
            incarnation: entry.shared.incarnation,
            ..instance(
                options,
                &"entry".into(),
                index,
                entry.callers.address.to_string(),
            )
        };
        self.object_api.put_instance(&name, instance);
        self.entries.push(entry);
        Ok(())
    }

    /// Waits until every entry is ready, knows all endpoints and all other entries, and is linked to
    /// all of the latter. Above [`MAX_FULL_MESH_SIZE`] entries one link is enough.
    ///
    /// # Errors
    /// The condition did not hold within 30 seconds.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let entry_count = self.entries.len();
        let endpoint_count = self.engines.len() + self.services.len();
        let all_ready = || {
            self.entries.iter().all(|entry| {
                let shared = &entry.shared;
                let linked = shared.mesh.linked_peers().len() + 1;
                let is_linked =
                    linked >= entry_count || (entry_count > MAX_FULL_MESH_SIZE && linked > 1);
                let knows_members = shared.members.view().members().len() >= entry_count;
                let listed = shared.endpoints.list.endpoints().len();
                let knows_endpoints = listed >= endpoint_count && shared.endpoints.is_synced();
                let knows_all = knows_members && knows_endpoints;
                is_linked && knows_all && pinereel::filters::pin::ready(shared).is_ok()
            })
        };
        wait_until(all_ready).await
    }

    /// `IP:PORT` of each entry's operators' listener.
    pub fn operator_addresses(&self) -> Vec<String> {
        let addresses = self.entries.iter().map(|entry| entry.operators.address);
        addresses.map(|address| address.to_string()).collect()
    }

    /// `IP:PORT` of each entry's callers' listener.
    pub fn caller_addresses(&self) -> Vec<String> {
        let addresses = self.entries.iter().map(|entry| entry.callers.address);
        addresses.map(|address| address.to_string()).collect()
    }
}

/// Waits until `condition` holds.
///
/// # Errors
/// The condition did not hold within 30 seconds.
pub async fn wait_until(condition: impl Fn() -> bool) -> io::Result<()> {
    let wait = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(Duration::from_secs(30), wait)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
}

/// The zone of the instance with this index.
fn zone(options: &Options, index: usize) -> CompactString {
    options.zones[index % options.zones.len()].clone()
}

/// A live instance in its first incarnation, as the platform lists it.
fn instance(options: &Options, pool: &CompactString, index: usize, address: String) -> Instance {
    Instance {
        incarnation: 1,
        address: address.into(),
        zone: zone(options, index),
        pool: pool.clone(),
        state: InstanceState::Live,
    }
}

/// Writes configuration 1 to the object API, as the operators' first patch does.
///
/// # Errors
/// The object API did not answer or refused the write.
pub(crate) async fn write_initial_config(
    object_api: SocketAddr,
    document: &Document,
) -> io::Result<()> {
    let url = format!("http://{object_api}/objects/{CONFIG}/{CONFIG_NAME}");
    let stored = pinereel_core::config::StoredConfig {
        number: 1,
        document: document.clone(),
        ..Default::default()
    };
    let body = serde_json::json!({ "value": stored });
    let response = awc::Client::default()
        .put(url)
        .insert_header(("if-none-match", "*"))
        .send_json(&body)
        .await
        .map_err(|e| io::Error::other(e.to_string()))?;
    if response.status().is_success() {
        Ok(())
    } else {
        Err(io::Error::other(format!(
            "object API refused the initial configuration: {}",
            response.status()
        )))
    }
}

/// Creates a directory for the settings of one site and writes the token and the secret into it.
/// The path is unique within this process and among running processes.
///
/// # Errors
/// The directory or a file could not be written.
pub(crate) fn create_config_dir() -> io::Result<PathBuf> {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pinereel-site-{}-{number}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    fs::create_dir_all(&dir)?;
    write_secret(&dir.join("token"), OPERATOR_TOKEN)?;
    write_secret(&dir.join("secret"), PEER_SECRET)?;
    Ok(dir)
}

/// Writes a file that only its owner may read.
fn write_secret(path: &Path, secret: &str) -> io::Result<()> {
    fs::write(path, secret)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))
}
