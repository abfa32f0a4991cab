//! A whole site in one process, on one thread: platform, endpoints and entries on loopback.

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

/// Pause between looks at whether something has come about.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Token of the operators' listeners.
pub const OPERATOR_TOKEN: &str = "operators-of-the-demo";
/// Secret of the links between entries.
pub const PEER_SECRET: &str = "entries-of-the-demo-only";

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Availability zones; instances are spread over them in turn.
    pub zones: Vec<CompactString>,
    /// Entries.
    pub entries: usize,
    /// Pools of engines: name, count.
    pub engines: Vec<(CompactString, usize)>,
    /// Size and speed of each engine.
    pub batch: batch::Options,
    /// Pools of plain services: name, count.
    pub services: Vec<(CompactString, usize)>,
    /// Document of configuration 1; an empty one is not written, so that 0 is in force.
    pub document: Document,
    /// Lag of the platform's list of instances.
    pub lag: Duration,
    /// Further settings, as lines of an INI file with their sections. Lines before the first section
    /// belong to `[object_api]`.
    pub settings: String,
}

/// A plain service or an engine, by pool and name.
pub struct Endpoint<T> {
    /// The pool.
    pub pool: CompactString,
    /// Its name in the platform's list.
    pub name: CompactString,
    /// The stand-in.
    pub handle: T,
}

/// A running site.
pub struct Site {
    /// The object API.
    pub api: object_api::Handle,
    /// The engines.
    pub engines: Vec<Endpoint<engine::server::Handle>>,
    /// The plain services.
    pub services: Vec<Endpoint<service::Handle>>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Folder of settings and secrets; removed with the site.
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        // What is left behind in the folder for temporary files harms nobody.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts a site and waits until every entry is ready.
    ///
    /// # Errors
    /// A listener or a file could not be opened, or an entry was not ready in time.
    pub async fn start(options: Options) -> io::Result<Self> {
        let api = object_api::Api::start(object_api::Options {
            lag: options.lag,
            ..object_api::Options::default()
        })
        .await?;
        if options.document != Document::default() {
            write_initial_config(api.address, &options.document).await?;
        }
        let folder = create_config_dir()?;
        let mut site = Self {
            api,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            folder,
        };
        site.start_engines(&options).await?;
        site.start_services(&options).await?;
        site.api.settle_instances();
        for index in 0..options.entries {
            site.start_entry(&options, index).await?;
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn start_engines(&mut self, options: &Options) -> io::Result<()> {
        for (pool, count) in &options.engines {
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
                self.api.put_instance(&name, instance);
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
        for (pool, count) in &options.services {
            for index in 0..*count {
                let name = format_compact!("{pool}-{index}");
                let handle = service::Service::start(service::Options::default()).await?;
                let instance = instance(options, pool, index, handle.address.to_string());
                self.api.put_instance(&name, instance);
                self.services.push(Endpoint {
                    pool: pool.clone(),
                    name,
                    handle,
                });
            }
        }
        Ok(())
    }

    /// Settings of an entry of this site, read back from their file.
    ///
    /// # Errors
    /// They are at fault, or the file could not be written.
    pub fn settings(&self, options: &Options, index: usize) -> io::Result<Settings> {
        let name = format_compact!("entry-{index}");
        let zone = zone(options, index);
        let path = self.folder.join(format!("{name}.ini"));
        let address = self.api.address;
        let text = format!(
            "[entry]\nname = {name}\nzone = {zone}\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\n[secrets]\noperator_token_file = token\n\
             peer_secret_file = secret\n[object_api]\nurl = http://{address}\n{}",
            options.settings
        );
        fs::write(&path, &text)?;
        Settings::load(&path).map_err(io::Error::other)
    }

    /// Starts one more entry; it is not ready yet.
    ///
    /// # Errors
    /// Its settings are at fault or a listener could not be opened.
    pub async fn start_entry(&mut self, options: &Options, index: usize) -> io::Result<()> {
        let settings = self.settings(options, index)?;
        let name = settings.entry.name.clone();
        let entry = Entry::start(settings).await.map_err(io::Error::other)?;
        // The platform lists the system's own instances too; one that it lacks counts as gone.
        let listed = Instance {
            incarnation: entry.shared.incarnation,
            ..instance(
                options,
                &"entry".into(),
                index,
                entry.callers.address.to_string(),
            )
        };
        self.api.put_instance(&name, listed);
        self.entries.push(entry);
        Ok(())
    }

    /// Waits until every entry is ready, knows every other one, and is linked to all of them (to
    /// some, if they are too many for that).
    ///
    /// # Errors
    /// It did not come about in time.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let count = self.entries.len();
        let ready = || {
            self.entries.iter().all(|entry| {
                let shared = &entry.shared;
                let links = shared.mesh.linked_peers().len() + 1;
                let linked = links >= count || (count > MAX_FULL_MESH_SIZE && links > 1);
                let met = shared.members.view().members().len() >= count;
                let endpoints = shared.endpoints.list.endpoints().len();
                let all = endpoints >= self.engines.len() + self.services.len();
                let known = all && shared.endpoints.is_synced();
                linked && met && known && pinereel::filters::pin::ready(shared).is_ok()
            })
        };
        wait_until(ready).await
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
/// It did not hold within 30 seconds.
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

fn zone(options: &Options, index: usize) -> CompactString {
    options.zones[index % options.zones.len()].clone()
}

fn instance(options: &Options, pool: &CompactString, index: usize, address: String) -> Instance {
    Instance {
        incarnation: 1,
        address: address.into(),
        zone: zone(options, index),
        pool: pool.clone(),
        state: InstanceState::Live,
    }
}

/// Writes configuration 1 as the operators' first patch would.
pub(crate) async fn write_initial_config(api: SocketAddr, document: &Document) -> io::Result<()> {
    let url = format!("http://{api}/objects/{CONFIG}/{CONFIG_NAME}");
    let stored = pinereel_core::config::StoredConfig {
        number: 1,
        document: document.clone(),
        ..Default::default()
    };
    let body = serde_json::json!({ "value": stored });
    let sent = awc::Client::default()
        .put(url)
        .insert_header(("if-none-match", "*"))
        .send_json(&body)
        .await
        .map_err(|e| io::Error::other(e.to_string()))?;
    if sent.status().is_success() {
        Ok(())
    } else {
        Err(io::Error::other(format!(
            "configuration refused: {}",
            sent.status()
        )))
    }
}

/// A folder of this process's own, with the secrets in it.
pub(crate) fn create_config_dir() -> io::Result<PathBuf> {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pinereel-site-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    write_secret(&folder.join("token"), OPERATOR_TOKEN)?;
    write_secret(&folder.join("secret"), PEER_SECRET)?;
    Ok(folder)
}

fn write_secret(path: &Path, secret: &str) -> io::Result<()> {
    fs::write(path, secret)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))
}
