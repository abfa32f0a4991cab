//! A site whose fakes and entries are processes of their own on loopback, for tests that kill,
//! pause and restart them.
//!
//! [`crate::site`] runs the same site inside the calling process.

use crate::{
    child_process::Child, engine::batch, object_api::WriteRecord, service::Execution, site,
    trainer::step::TakenSample,
};
use awc::http::StatusCode;
use compact_str::{CompactString, format_compact};
use pinereel_api::{
    engine,
    object::{Instance, InstanceState},
};
use pinereel_core::config::Document;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    ffi::OsStr,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

/// Timeout for a process to start or exit, and for one HTTP response.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Run time after which a fake exits by itself, in case its test died without killing it.
const MAX_RUN_SECONDS: &str = "120";

/// The components of a cluster.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the binary `pinereel-fakes`.
    pub fakes_binary: PathBuf,
    /// Path of the binary `pinereel`. Without it the entries run as `pinereel-fakes entry`.
    pub entry_binary: Option<PathBuf>,
    /// Availability zones. Instances are assigned to them round-robin.
    pub zones: Vec<CompactString>,
    /// Number of entries.
    pub entry_count: usize,
    /// The pool of engines: name of the pool and number of engines.
    pub engine_pool: (CompactString, usize),
    /// Command-line flags of each engine.
    pub engine_flags: Vec<&'static str>,
    /// The pool of plain services: name of the pool and number of services.
    pub service_pool: (CompactString, usize),
    /// Time after which a change shows in the platform's list of instances.
    pub instance_list_lag: Duration,
    /// Document of configuration 1.
    pub document: Document,
    /// Further settings of the entries, as INI text with section headers.
    pub extra_settings: String,
}

/// The process of a fake with one listener.
#[derive(Debug)]
pub struct Server {
    /// Name in the platform's list of instances.
    pub name: CompactString,
    /// Address of the listener.
    pub address: SocketAddr,
    /// The process.
    pub child: Child,
}

/// An entry process.
#[derive(Debug)]
pub struct Entry {
    /// Name in the entry's settings.
    pub name: CompactString,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the peers' listener.
    pub peers: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// The process.
    pub child: Child,
}

impl Entry {
    /// Whether the entry reports to load balancers that it is ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/ready", self.callers);
        let response = http_client().get(url).send().await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// Value of the first metric whose line begins with `name`; `None` if it can't be read.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let bearer = format!("Bearer {}", site::OPERATOR_TOKEN);
        let url = format!("http://{}/metrics", self.operators);
        let request = http_client()
            .get(url)
            .insert_header(("authorization", bearer));
        let body = request.send().await.ok()?.body().await.ok()?;
        let text = String::from_utf8(body.to_vec()).ok()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

/// A running cluster. Dropping the value kills all processes.
#[derive(Debug)]
pub struct Cluster {
    /// The options that the cluster was started with.
    pub options: Options,
    /// The object API.
    pub object_api: Server,
    /// The engines.
    pub engines: Vec<Server>,
    /// The plain services.
    pub services: Vec<Server>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Directory of the settings and secrets; removed when the cluster is dropped.
    config_dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A failure only leaves files behind in the system's directory for temporary files.
        let _ = fs::remove_dir_all(&self.config_dir);
    }
}

impl Cluster {
    /// Starts all processes and waits until every entry is ready, as [`Self::wait_until_ready`] does.
    ///
    /// # Errors
    /// A process did not start listening, or an entry was not ready, within 30 seconds.
    pub async fn start(options: Options) -> io::Result<Self> {
        let config_dir = site::create_config_dir()?;
        let lag_ms = options.instance_list_lag.as_millis().to_string();
        let flags = [
            "object-api",
            "--lag-ms",
            &lag_ms,
            "--max-seconds",
            MAX_RUN_SECONDS,
        ];
        let object_api = start_server(&options.fakes_binary, "object-api", &flags)?;
        site::write_initial_config(object_api.address, &options.document).await?;
        let mut cluster = Self {
            object_api,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            config_dir,
            options,
        };
        cluster.start_endpoints().await?;
        for index in 0..cluster.options.entry_count {
            let entry = cluster.start_entry(index, None)?;
            cluster.entries.push(entry);
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Starts the engines and services and registers them with the platform.
    async fn start_endpoints(&mut self) -> io::Result<()> {
        for index in 0..self.options.engine_pool.1 {
            let engine = self.start_engine(index)?;
            self.register_engine(index, &engine, InstanceState::Live)
                .await?;
            self.engines.push(engine);
        }
        for index in 0..self.options.service_pool.1 {
            let name = format_compact!("{}-{index}", self.options.service_pool.0);
            let flags = ["service", "--max-seconds", MAX_RUN_SECONDS];
            let service = start_server(&self.options.fakes_binary, &name, &flags)?;
            let pool = self.options.service_pool.0.clone();
            let instance = self.instance(index, &pool, service.address, 1, InstanceState::Live);
            self.put_instance(&name, &instance).await?;
            self.services.push(service);
        }
        Ok(())
    }

    /// Starts the engine with this index without registering it with the platform.
    ///
    /// # Errors
    /// The process did not start listening within 30 seconds.
    pub fn start_engine(&self, index: usize) -> io::Result<Server> {
        let name = format_compact!("{}-{index}", self.options.engine_pool.0);
        let mut flags = vec!["engine", "--name", &name, "--max-seconds", MAX_RUN_SECONDS];
        flags.extend(&self.options.engine_flags);
        start_server(&self.options.fakes_binary, &name, &flags)
    }

    /// Sets the state of an engine in the platform's list of instances, which shows the change after
    /// its lag.
    ///
    /// # Errors
    /// The engine or the object API did not answer.
    pub async fn register_engine(
        &self,
        index: usize,
        engine: &Server,
        state: InstanceState,
    ) -> io::Result<()> {
        let pool = self.options.engine_pool.0.clone();
        // The platform lists the same incarnation number that the engine reports.
        let engine_state = get_json::<engine::State>(engine.address, "/v1/state").await?;
        let incarnation = engine_state.incarnation;
        let instance = self.instance(index, &pool, engine.address, incarnation, state);
        self.put_instance(&engine.name, &instance).await
    }

    async fn put_instance(&self, name: &str, instance: &Instance) -> io::Result<()> {
        let path = format!("/instances/{name}");
        post_json(self.object_api.address, &path, instance).await
    }

    /// The instance with this index, as the platform lists it.
    fn instance(
        &self,
        index: usize,
        pool: &CompactString,
        address: SocketAddr,
        incarnation: u64,
        state: InstanceState,
    ) -> Instance {
        Instance {
            incarnation,
            address: format_compact!("{address}"),
            zone: self.zone(index),
            pool: pool.clone(),
            state,
        }
    }

    /// The zone of the instance with this index.
    fn zone(&self, index: usize) -> CompactString {
        self.options.zones[index % self.options.zones.len()].clone()
    }

    /// Starts the entry with this index. Its callers' listener is bound to `callers`, if given, as
    /// for a restart at the address of an earlier process, else to any free port.
    ///
    /// # Errors
    /// The settings file could not be written, or the process did not start listening within 30
    /// seconds.
    pub fn start_entry(&self, index: usize, callers: Option<SocketAddr>) -> io::Result<Entry> {
        let name = format_compact!("entry-{index}");
        let path = self.config_dir.join(format!("{name}.ini"));
        let callers = callers.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let text = format!(
            "[entry]\nname = {name}\nzone = {}\ncallers = {callers}\npeers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\n[object_api]\nurl = http://{}\n\
             [secrets]\noperator_token_file = token\npeer_secret_file = secret\n{}",
            self.zone(index),
            self.object_api.address,
            self.options.extra_settings
        );
        fs::write(&path, text)?;
        let flags = [
            OsStr::new("entry"),
            OsStr::new("--config"),
            path.as_os_str(),
        ];
        let binary = self.options.entry_binary.as_ref();
        let binary = binary.unwrap_or(&self.options.fakes_binary);
        let child = Child::spawn(Command::new(binary).args(flags))?;
        Ok(Entry {
            callers: printed_address(&child, "callers 127.0.0.1:")?,
            peers: printed_address(&child, "peers 127.0.0.1:")?,
            operators: printed_address(&child, "operators 127.0.0.1:")?,
            child,
            name,
        })
    }

    /// Waits until every entry is ready, knows all endpoints and is linked to all other entries.
    ///
    /// # Errors
    /// The condition did not hold for an entry within 30 seconds.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let endpoint_count = self.engines.len() + self.services.len();
        let peer_count = self.entries.len() - 1;
        for entry in &self.entries {
            wait_until(async || {
                let links = entry.metric("pinereel_peer_links_up").await;
                let endpoints = entry.metric("pinereel_endpoints_known").await;
                links >= Some(peer_count as f64)
                    && endpoints >= Some(endpoint_count as f64)
                    && entry.is_ready().await
            })
            .await?;
        }
        Ok(())
    }

    /// Starts a trainer process that calls the entries. It prints every sample that it takes (see
    /// [`taken_samples`]) and, at the end, its report.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start_trainer(&self, name: &str, flags: &[&str]) -> io::Result<Child> {
        let mut command = Command::new(&self.options.fakes_binary);
        command.args([
            "trainer",
            "--print-samples",
            "--max-seconds",
            MAX_RUN_SECONDS,
        ]);
        command.args(["--name", name]);
        for entry in &self.entries {
            command.arg("--entry").arg(entry.callers.to_string());
        }
        Child::spawn(command.args(flags))
    }

    /// Sets faults that the object API injects.
    ///
    /// # Errors
    /// The object API did not answer.
    pub async fn set_object_api_faults(&self, faults: impl Serialize) -> io::Result<()> {
        post_json(self.object_api.address, "/faults", &faults).await
    }

    /// The writes to objects of this kind that the object API accepted, oldest first.
    ///
    /// # Errors
    /// The object API did not answer.
    pub async fn history(&self, kind: &str) -> io::Result<Vec<WriteRecord>> {
        let path = format!("/history?kind={kind}");
        get_json(self.object_api.address, &path).await
    }

    /// The attempts that the engines still running have recorded, by attempt id. Tests compare the
    /// answers of the entries with them.
    ///
    /// # Errors
    /// An engine did not answer.
    pub async fn attempts(&self) -> io::Result<BTreeMap<CompactString, batch::Record>> {
        let mut attempts = BTreeMap::new();
        for engine in &self.engines {
            let records: BTreeMap<_, _> = get_json(engine.address, "/record").await?;
            attempts.extend(records);
        }
        Ok(attempts)
    }

    /// The executions that the plain services have recorded.
    ///
    /// # Errors
    /// A service did not answer.
    pub async fn executions(&self) -> io::Result<Vec<Execution>> {
        let mut executions = Vec::new();
        for service in &self.services {
            let records: Vec<_> = get_json(service.address, "/record").await?;
            executions.extend(records);
        }
        Ok(executions)
    }
}

/// The samples that a trainer process has printed so far, in order.
pub fn taken_samples(trainer: &Child) -> Vec<TakenSample> {
    let lines = trainer.lines();
    let samples = lines.iter().filter_map(|line| line.strip_prefix("sample "));
    samples
        .filter_map(|json| serde_json::from_str(json).ok())
        .collect()
}

/// Waits until a process exits, without blocking the thread. Returns whether it succeeded.
///
/// # Errors
/// The process did not exit within 30 seconds.
pub async fn wait_for_exit(child: &mut Child) -> io::Result<bool> {
    let mut status = None;
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while status.is_none() {
        status = child.wait_for_exit(Duration::ZERO)?;
        if tokio::time::Instant::now() > deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        tokio::time::sleep(site::POLL_INTERVAL).await;
    }
    Ok(status.is_some_and(|status| status.success()))
}

/// Waits until `condition` holds.
///
/// # Errors
/// The condition did not hold within 30 seconds.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(site::POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
}

/// Builds a client with a connection pool of its own, so that a call through a new client never meets
/// a connection of a process that has exited. The client does not follow redirects.
pub fn http_client() -> awc::Client {
    awc::Client::builder()
        .timeout(TIMEOUT)
        .disable_redirects()
        .finish()
}

/// Sends `GET path` and parses the JSON body of the response.
///
/// # Errors
/// There was no response, or its body is not JSON of this type.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> io::Result<T> {
    let url = format!("http://{address}{path}");
    let response = http_client().get(url).send().await;
    let mut response = response.map_err(|e| io::Error::other(e.to_string()))?;
    let body = response.json().limit(MAX_RESPONSE_BYTES).await;
    body.map_err(|e| io::Error::other(e.to_string()))
}

/// Sends `POST path` with a JSON body.
///
/// # Errors
/// There was no response, or its status is not a success.
pub async fn post_json(address: SocketAddr, path: &str, body: &impl Serialize) -> io::Result<()> {
    let url = format!("http://{address}{path}");
    let response = http_client().post(url).send_json(body).await;
    let response = response.map_err(|e| io::Error::other(e.to_string()))?;
    if response.status().is_success() {
        Ok(())
    } else {
        Err(io::Error::other(response.status().to_string()))
    }
}

/// Starts the process of a fake and waits until it listens.
fn start_server(binary: &Path, name: &str, args: &[&str]) -> io::Result<Server> {
    let child = Child::spawn(Command::new(binary).args(args))?;
    Ok(Server {
        name: name.into(),
        address: printed_address(&child, "listening 127.0.0.1:")?,
        child,
    })
}

/// Waits for a line that contains `text` and returns the address at its end.
fn printed_address(child: &Child, text: &str) -> io::Result<SocketAddr> {
    child.wait_for_address(text, TIMEOUT).ok_or_else(|| {
        let lines = child.lines();
        io::Error::other(format!(
            "process printed no address after {text:?}: {lines:?}"
        ))
    })
}
