//! A site of real processes on loopback, for tests of failures: stand-ins, and entries that can be
//! killed, paused and started again.

use crate::{
    engine::batch, child_process::Child, object_api::Record, service::Execution, site,
    trainer::step::Taken,
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

/// Longest wait for a process to come up or end, and for one answer.
const LONG: Duration = Duration::from_secs(30);
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 64 << 20;
/// Longest life of a stand-in whose test died, in seconds.
const MAX_SECONDS: &str = "120";

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program `pinereel-fakes`.
    pub program: PathBuf,
    /// The program `pinereel`; without it the entries run in `pinereel-fakes entry`.
    pub daemon: Option<PathBuf>,
    /// Availability zones; instances are spread over them in turn.
    pub zones: Vec<CompactString>,
    /// Entries.
    pub entries: usize,
    /// The pool of engines, and how many.
    pub engines: (CompactString, usize),
    /// Flags of each engine.
    pub engine_flags: Vec<&'static str>,
    /// The pool of plain services, and how many.
    pub services: (CompactString, usize),
    /// Lag of the platform's list of instances.
    pub lag: Duration,
    /// Document of configuration 1.
    pub document: Document,
    /// Further settings of the entries, as lines of an INI file with their sections.
    pub settings: String,
}

/// A process that listens.
#[derive(Debug)]
pub struct Process {
    /// Its name.
    pub name: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub child: Child,
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// Its name.
    pub name: CompactString,
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The peers' listener.
    pub peers: SocketAddr,
    /// The operators' listener.
    pub operators: SocketAddr,
    /// The process.
    pub child: Child,
}

impl Entry {
    /// Whether the balancer may send connections here.
    pub async fn ready(&self) -> bool {
        let url = format!("http://{}/ready", self.callers);
        let sent = client().get(url).send().await;
        sent.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// One figure of its metrics by its whole name; none while it can't be read.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let bearer = format!("Bearer {}", site::OPERATOR_TOKEN);
        let url = format!("http://{}/metrics", self.operators);
        let request = client().get(url).insert_header(("authorization", bearer));
        let body = request.send().await.ok()?.body().await.ok()?;
        let text = String::from_utf8(body.to_vec()).ok()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

/// Real processes; all are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// What it was started with.
    pub options: Options,
    /// The object API.
    pub api: Process,
    /// The engines.
    pub engines: Vec<Process>,
    /// The plain services.
    pub services: Vec<Process>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Folder of settings and secrets; removed with the cluster.
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // What is left behind in the folder for temporary files harms nobody.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    /// Starts all processes and waits until every entry is ready and linked to every other one.
    ///
    /// # Errors
    /// A process did not come up in time.
    pub async fn start(options: Options) -> io::Result<Self> {
        let folder = site::create_config_dir()?;
        let lag = options.lag.as_millis().to_string();
        let flags = ["object-api", "--lag-ms", &lag, "--max-seconds", MAX_SECONDS];
        let api = process(&options.program, "object-api", &flags)?;
        site::write_initial_config(api.address, &options.document).await?;
        let mut cluster = Self {
            api,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            folder,
            options,
        };
        cluster.start_endpoints().await?;
        for index in 0..cluster.options.entries {
            let entry = cluster.start_entry(index, None)?;
            cluster.entries.push(entry);
        }
        cluster.settled().await?;
        Ok(cluster)
    }

    async fn start_endpoints(&mut self) -> io::Result<()> {
        for index in 0..self.options.engines.1 {
            let engine = self.start_engine(index)?;
            self.list_engine(index, &engine, InstanceState::Live)
                .await?;
            self.engines.push(engine);
        }
        for index in 0..self.options.services.1 {
            let name = format_compact!("{}-{index}", self.options.services.0);
            let flags = ["service", "--max-seconds", MAX_SECONDS];
            let service = process(&self.options.program, &name, &flags)?;
            let pool = self.options.services.0.clone();
            let instance = self.instance(index, &pool, service.address, 1, InstanceState::Live);
            self.put_instance(&name, &instance).await?;
            self.services.push(service);
        }
        Ok(())
    }

    /// Starts the engine of this index; nothing lists it yet.
    ///
    /// # Errors
    /// It did not come up in time.
    pub fn start_engine(&self, index: usize) -> io::Result<Process> {
        let name = format_compact!("{}-{index}", self.options.engines.0);
        let mut flags = vec!["engine", "--name", &name, "--max-seconds", MAX_SECONDS];
        flags.extend(&self.options.engine_flags);
        process(&self.options.program, &name, &flags)
    }

    /// Tells the platform's list of an engine; the list shows it after its lag.
    ///
    /// # Errors
    /// The object API does not answer.
    pub async fn list_engine(
        &self,
        index: usize,
        engine: &Process,
        state: InstanceState,
    ) -> io::Result<()> {
        let pool = self.options.engines.0.clone();
        // The platform and the engine name one incarnation alike.
        let incarnation = get::<engine::State>(engine.address, "/v1/state").await?;
        let incarnation = incarnation.incarnation;
        let instance = self.instance(index, &pool, engine.address, incarnation, state);
        self.put_instance(&engine.name, &instance).await
    }

    async fn put_instance(&self, name: &str, instance: &Instance) -> io::Result<()> {
        post(self.api.address, &format!("/instances/{name}"), instance).await
    }

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

    fn zone(&self, index: usize) -> CompactString {
        self.options.zones[index % self.options.zones.len()].clone()
    }

    /// Starts the entry of this index, at the callers' address of an earlier one if it is given.
    ///
    /// # Errors
    /// It did not come up in time.
    pub fn start_entry(&self, index: usize, callers: Option<SocketAddr>) -> io::Result<Entry> {
        let name = format_compact!("entry-{index}");
        let path = self.folder.join(format!("{name}.ini"));
        let callers = callers.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let text = format!(
            "[entry]\nname = {name}\nzone = {}\ncallers = {callers}\npeers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\n[object_api]\nurl = http://{}\n\
             [secrets]\noperator_token_file = token\npeer_secret_file = secret\n{}",
            self.zone(index),
            self.api.address,
            self.options.settings
        );
        fs::write(&path, text)?;
        let flags = [
            OsStr::new("entry"),
            OsStr::new("--config"),
            path.as_os_str(),
        ];
        let program = self.options.daemon.as_ref();
        let program = program.unwrap_or(&self.options.program);
        let child = Child::spawn(Command::new(program).args(flags))?;
        Ok(Entry {
            callers: address(&child, "callers 127.0.0.1:")?,
            peers: address(&child, "peers 127.0.0.1:")?,
            operators: address(&child, "operators 127.0.0.1:")?,
            child,
            name,
        })
    }

    /// Waits until every entry is ready, knows every endpoint and is linked to every other entry.
    ///
    /// # Errors
    /// It did not come about in time.
    pub async fn settled(&self) -> io::Result<()> {
        let endpoints = self.engines.len() + self.services.len();
        let others = self.entries.len() - 1;
        for entry in &self.entries {
            wait_until(async || {
                let links = entry.metric("pinereel_peer_links_up").await;
                let known = entry.metric("pinereel_endpoints_known").await;
                links >= Some(others as f64)
                    && known >= Some(endpoints as f64)
                    && entry.ready().await
            })
            .await?;
        }
        Ok(())
    }

    /// Starts a trainer that prints every sample it takes and then its report.
    ///
    /// # Errors
    /// It can't be started.
    pub fn trainer(&self, name: &str, flags: &[&str]) -> io::Result<Child> {
        let mut command = Command::new(&self.options.program);
        command.args(["trainer", "--print-samples", "--max-seconds", MAX_SECONDS]);
        command.args(["--name", name]);
        for entry in &self.entries {
            command.arg("--entry").arg(entry.callers.to_string());
        }
        Child::spawn(command.args(flags))
    }

    /// Sets faults of the object API.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn api_faults(&self, faults: impl Serialize) -> io::Result<()> {
        post(self.api.address, "/faults", &faults).await
    }

    /// Accepted writes of a kind, oldest first.
    ///
    /// # Errors
    /// The object API does not answer.
    pub async fn history(&self, kind: &str) -> io::Result<Vec<Record>> {
        let path = format!("/history?kind={kind}");
        get(self.api.address, &path).await
    }

    /// What truly happened at the engines that still run, by attempt id.
    ///
    /// # Errors
    /// An engine does not answer.
    pub async fn attempts(&self) -> io::Result<BTreeMap<CompactString, batch::Record>> {
        let mut all = BTreeMap::new();
        for engine in &self.engines {
            let records: BTreeMap<_, _> = get(engine.address, "/record").await?;
            all.extend(records);
        }
        Ok(all)
    }

    /// What ran at the plain services.
    ///
    /// # Errors
    /// A service does not answer.
    pub async fn executions(&self) -> io::Result<Vec<Execution>> {
        let mut all = Vec::new();
        for service in &self.services {
            let record: Vec<_> = get(service.address, "/record").await?;
            all.extend(record);
        }
        Ok(all)
    }
}

/// The samples that a trainer's process has printed so far, in order.
pub fn samples(trainer: &Child) -> Vec<Taken> {
    let lines = trainer.lines();
    let taken = lines.iter().filter_map(|line| line.strip_prefix("sample "));
    taken
        .filter_map(|json| serde_json::from_str(json).ok())
        .collect()
}

/// Waits for a process to end, without holding up the thread; whether it ended well.
///
/// # Errors
/// It did not end in time.
pub async fn ended(child: &mut Child) -> io::Result<bool> {
    let mut status = None;
    let deadline = tokio::time::Instant::now() + LONG;
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
/// It did not hold within 30 seconds.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(site::POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(LONG, wait)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
}

/// A client that neither reuses a process's closed connections nor follows redirects.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(LONG)
        .disable_redirects()
        .finish()
}

/// Reads JSON from a stand-in.
///
/// # Errors
/// No answer, or no JSON of this type.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> io::Result<T> {
    let sent = client().get(format!("http://{address}{path}")).send().await;
    let mut response = sent.map_err(|e| io::Error::other(e.to_string()))?;
    let read = response.json().limit(MAX_ANSWER).await;
    read.map_err(|e| io::Error::other(e.to_string()))
}

/// Posts JSON to a stand-in's own path.
///
/// # Errors
/// No answer, or a status that is no success.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> io::Result<()> {
    let url = format!("http://{address}{path}");
    let sent = client().post(url).send_json(body).await;
    let response = sent.map_err(|e| io::Error::other(e.to_string()))?;
    if response.status().is_success() {
        Ok(())
    } else {
        Err(io::Error::other(response.status().to_string()))
    }
}

fn process(program: &Path, name: &str, args: &[&str]) -> io::Result<Process> {
    let child = Child::spawn(Command::new(program).args(args))?;
    Ok(Process {
        name: name.into(),
        address: address(&child, "listening 127.0.0.1:")?,
        child,
    })
}

fn address(child: &Child, text: &str) -> io::Result<SocketAddr> {
    child
        .wait_for_address(text, LONG)
        .ok_or_else(|| io::Error::other(format!("no line {text:?}: {:?}", child.lines())))
}
