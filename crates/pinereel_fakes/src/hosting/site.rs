//! A site: the store, endpoints, and instances as real processes, each behind its own proxies.

use super::{
    engine::Engine,
    http::call,
    instance,
    load_balancer::LoadBalancer,
    platform::Platform,
    proxy::{self, Proxy},
    recorder::Recorder,
    service::Service,
    store::Store,
    template::render,
};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde_json::{Value, json};
use std::{
    cmp::Reverse,
    collections::VecDeque,
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

pub use instance::Instance;

/// Host name of all routes.
pub const HOST: &str = "site.example";
/// Workspace of the callers and trainers, if the configuration defines workspaces.
pub const WORKSPACE: &str = "w";
/// API key of the callers and trainers.
pub const API_KEY: &str = "key-of-w-5b1e";
/// Name of the model that all engines serve.
pub const MODEL: &str = "model-a";
/// Number of failed runs after which an item may be given up.
pub const MAX_LOT_ATTEMPTS: usize = 3;
/// Number of failed scorings after which an item may be given up.
pub const MAX_SCORING_ATTEMPTS: usize = 4;
/// Name of the engines' service.
const ENGINE_SERVICE: &str = "engines";
/// Name of the plain service that answers live requests and scores results.
pub const PLAIN_SERVICE: &str = "plain";
/// Name of a second plain service, to which configuration changes can move the live route.
pub const OTHER_SERVICE: &str = "other";
/// Port of the metrics, as in the deployment's template.
pub const METRICS_PORT: u16 = 9_464;
/// Port for callers; lower than the ports that the operating system assigns itself.
pub(super) const CALLER_PORT: u16 = 9_465;
/// Port of the control interface, which no instance has.
const CONTROL_PORT: u16 = 9_467;
/// Port of the readiness probe.
const READINESS_PORT: u16 = 9_466;
/// First port for connections between instances.
pub(super) const FIRST_PEER_PORT: u16 = 9_470;

/// Most instances whose addresses the platform gives to all.
const MAX_SEEDS: usize = 3;

/// Name of the lease of the broadcast tree's root.
const ROOT_DUTY: &str = "bulletin";

/// Longest wait for the answer on a route of the newest configuration.
const ROUTE_CHECK_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of processes and endpoints that a site starts with.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of instances of pinereel.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of endpoints of the plain service; the second plain service has one.
    pub services: usize,
}

/// Resources of each instance, and limits on what its clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of each instance, in megabytes; `None` leaves the field out of the template.
    pub memory_mb: Option<u64>,
    /// Maximum number of open file descriptors of each instance.
    pub file_descriptors: u64,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: None,
            file_descriptors: 1_024,
            head_bytes: 16_384,
            body_bytes: 1_048_576,
        }
    }
}

/// An endpoint behind a proxy.
pub struct Proxied<E> {
    /// The endpoint.
    pub endpoint: E,
    /// Proxy to which instances connect.
    pub proxy: Proxy,
}

/// A running site.
pub struct Site {
    /// The object store.
    pub store: Store,
    /// The platform's API for the calls of lease holders.
    pub platform: Platform,
    /// What the fakes observed.
    pub recorder: Rc<Recorder>,
    /// The engines, in the order in which they were added.
    pub engines: Vec<Proxied<Engine>>,
    /// The endpoints of both plain services.
    pub services: Vec<Proxied<Service>>,
    /// The instances, in the order in which they were added.
    pub instances: Vec<Instance>,
    /// Version of the configuration.
    pub config_version: u64,
    /// Workspaces with their API keys, in the format of the configuration. Without any, requests
    /// need no key.
    pub workspaces: Option<Value>,
    /// Routes that the next configuration has besides its usual ones, each with its service.
    pub added_routes: Vec<(String, String)>,
    /// Plain services that the next configuration has besides its usual ones.
    pub added_services: Vec<String>,
    /// Names of the models that all engines serve besides [`MODEL`].
    other_models: Vec<String>,
    /// Latency objective of scorings, from the next configuration on.
    pub scoring_objective: Duration,
    /// Resources of the instances, and limits on their clients.
    limits: Limits,
    /// Changes the settings of each instance, which is given by its index.
    adapt_settings: fn(usize, String) -> String,
    /// Folder of the settings files.
    folder: PathBuf,
    /// Addresses of instances that are not started yet, so that the settings of others can name them.
    reserved_ips: VecDeque<Ipv4Addr>,
    /// Control addresses of the first instances, for the settings of all. Nobody listens there.
    seeds: Vec<String>,
    /// Last number used in the id of an endpoint or the name of an instance.
    last_number: u64,
}

impl Site {
    /// Starts a site, and waits until all instances are ready.
    ///
    /// # Errors
    /// If a part of the site cannot be started.
    pub async fn start(size: Size, seed: u64) -> io::Result<Self> {
        Self::start_with(size, seed, &[], |_, settings| settings).await
    }

    /// Starts a site whose engines also serve `other_models`, and waits until all instances are
    /// ready.
    ///
    /// # Errors
    /// If a part of the site cannot be started.
    pub async fn start_with_models(
        size: Size,
        seed: u64,
        other_models: &[&str],
    ) -> io::Result<Self> {
        Self::start_with(size, seed, other_models, |_, settings| settings).await
    }

    /// Starts a site whose instances have other settings than those of the deployment's template:
    /// `adapt_settings` is given the index of the instance and the rendered template.
    ///
    /// # Errors
    /// If a part of the site cannot be started.
    pub async fn start_with_settings(
        size: Size,
        seed: u64,
        adapt_settings: fn(usize, String) -> String,
    ) -> io::Result<Self> {
        Self::start_with(size, seed, &[], adapt_settings).await
    }

    /// Starts a site whose instances and clients have these limits.
    ///
    /// # Errors
    /// If a part of the site cannot be started.
    pub async fn start_with_limits(size: Size, seed: u64, limits: Limits) -> io::Result<Self> {
        Self::start_configured(size, seed, &[], |_, settings| settings, limits).await
    }

    /// Starts a site whose engines also serve `other_models`, with other settings as by
    /// [`Site::start_with_settings`].
    ///
    /// # Errors
    /// If a part of the site cannot be started.
    pub async fn start_with(
        size: Size,
        seed: u64,
        other_models: &[&str],
        adapt_settings: fn(usize, String) -> String,
    ) -> io::Result<Self> {
        let limits = Limits::default();
        Self::start_configured(size, seed, other_models, adapt_settings, limits).await
    }

    async fn start_configured(
        size: Size,
        seed: u64,
        other_models: &[&str],
        adapt_settings: fn(usize, String) -> String,
        limits: Limits,
    ) -> io::Result<Self> {
        let store = Store::start(seed).await?;
        let folder = env::temp_dir().join(format!("pinereel-site-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let recorder = Recorder::new();
        let seed_count = size.instances.min(MAX_SEEDS);
        let reserved_ips: VecDeque<_> = (0..seed_count).map(|_| unique_loopback_ip()).collect();
        let mut site = Self {
            store,
            platform: Platform::start(&recorder).await?,
            recorder,
            engines: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            config_version: 0,
            workspaces: None,
            added_routes: Vec::new(),
            added_services: Vec::new(),
            other_models: other_models.iter().map(ToString::to_string).collect(),
            scoring_objective: Duration::from_millis(150),
            limits,
            adapt_settings,
            folder,
            seeds: (reserved_ips.iter())
                .map(|ip| SocketAddr::new((*ip).into(), CONTROL_PORT).to_string())
                .collect(),
            reserved_ips,
            last_number: 0,
        };
        site.configure(PLAIN_SERVICE, Duration::from_secs(2));
        for _ in 0..size.engines {
            site.add_engine(1).await?;
        }
        for _ in 0..size.services {
            site.add_service(PLAIN_SERVICE).await?;
        }
        site.add_service(OTHER_SERVICE).await?;
        for _ in 0..size.instances {
            site.add_instance().await?;
        }
        for instance in &site.instances {
            instance.wait_ready().await?;
        }
        Ok(site)
    }

    /// Returns a new load balancer for the current instances.
    pub fn load_balancer(&self) -> Rc<LoadBalancer> {
        let load_balancer = Rc::new(LoadBalancer::default());
        for (index, instance) in self.instances.iter().enumerate() {
            load_balancer.add(
                index,
                instance.caller_proxy.address,
                instance.readiness_address,
            );
        }
        load_balancer
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Writes the next configuration to the store. The live route leads to the service `live`, all
    /// routes get `timeout`, and the route `/only-N/` exists only in version N.
    pub fn configure(&mut self, live: &str, timeout: Duration) {
        self.config_version += 2;
        let others = self.other_models.iter().map(String::as_str);
        let models = [MODEL].into_iter().chain(others);
        let models: Vec<_> = models.map(|name| json!({"name": name})).collect();
        let route = |name: &str, kind: &str, service: &str, attempts: usize| {
            json!({
                "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
                "timeoutMs": timeout.as_millis() as u64, "targetLatencyMs": 150,
                "priority": 1, "service": service, "maxAttempts": attempts, "itemTtlS": 60.0,
            })
        };
        let mut document = json!({
            "version": self.config_version,
            "routes": [
                route("live", "safe", live, 3),
                route("once", "unsafe", PLAIN_SERVICE, 2),
                route("score", "safe", PLAIN_SERVICE, MAX_SCORING_ATTEMPTS),
                route("lots", "rollout", ENGINE_SERVICE, MAX_LOT_ATTEMPTS),
                route(&format!("only-{}", self.config_version), "safe", PLAIN_SERVICE, 2),
            ],
            "services": [
                {"name": ENGINE_SERVICE, "healthPath": "/health", "maxConns": 100,
                 "engine": {"slots": super::engine::SLOTS, "models": models},
                 "scale": {"min": 1, "max": 4, "bootS": 1.0, "spotPrice": 0.2, "zonePrices": {"here": 1.0, "there": 0.9}}},
                {"name": PLAIN_SERVICE, "healthPath": "/health", "maxConns": 100},
                {"name": OTHER_SERVICE, "healthPath": "/health", "maxConns": 100},
            ],
            "limits": {"maxHeaderBytes": self.limits.head_bytes, "maxBodyBytes": self.limits.body_bytes,
                       "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        });
        if let Some(routes) = document["routes"].as_array_mut() {
            let added = self.added_routes.iter();
            routes.extend(added.map(|(name, service)| route(name, "safe", service, 2)));
        }
        if let Some(services) = document["services"].as_array_mut() {
            let added = self.added_services.iter();
            services.extend(
                added.map(|name| json!({"name": name, "healthPath": "/health", "maxConns": 100})),
            );
        }
        document["routes"][2]["targetLatencyMs"] = json!(self.scoring_objective.as_millis() as u64);
        if let Some(workspaces) = &self.workspaces {
            document["tenants"] = workspaces.clone();
            document["routes"][2]["public"] = json!(true);
        }
        self.store.put("config", "main", document);
    }

    /// Whether the instance with this index serves the routes of the newest configuration.
    pub async fn serves_newest_routes(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        let path = format!("/only-{}/x", self.config_version);
        let headers = [
            ("host", HOST.to_owned()),
            ("x-request-id", format!("{}-{path}", instance.name)),
        ];
        let answer = call(
            instance.caller_proxy.address,
            Method::POST,
            &path,
            &headers,
            Bytes::new(),
            ROUTE_CHECK_TIMEOUT,
        );
        answer
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Returns the index of the instance that took the lease of the broadcast tree's root last, which is the one
    /// with the highest fencing token; the first instance if none has taken it.
    pub fn root(&self) -> usize {
        let token = |instance: &Instance| {
            let lines = instance.all_lines().into_iter();
            let taken = lines.filter(|l| l.contains("lease taken") && l.contains(ROOT_DUTY));
            let tokens = taken.filter_map(|line| {
                let line: Value = serde_json::from_str(&line).ok()?;
                line["fence"].as_u64()
            });
            tokens.max()
        };
        let tokens = self.instances.iter().map(token).enumerate();
        let last = tokens.max_by_key(|(index, token)| (*token, Reverse(*index)));
        last.map_or(0, |(index, _)| index)
    }

    /// Adds an engine that has loaded `version` of the weights.
    ///
    /// # Errors
    /// If the engine cannot be started.
    pub async fn add_engine(&mut self, version: u64) -> io::Result<()> {
        let id = format!("e-{}", self.next_number());
        let engine = Engine::start(
            &id,
            (ENGINE_SERVICE, MODEL),
            version,
            &self.store,
            &self.recorder,
        )
        .await?;
        for model in &self.other_models {
            engine.add_model(model, version);
        }
        let proxy = Proxy::start(engine.address).await?;
        engine.register(proxy.address);
        self.engines.push(Proxied {
            endpoint: engine,
            proxy,
        });
        Ok(())
    }

    /// Adds an endpoint of the plain service `service`.
    ///
    /// # Errors
    /// If the endpoint cannot be started.
    pub async fn add_service(&mut self, service: &str) -> io::Result<()> {
        let id = format!("s-{}", self.next_number());
        let endpoint = Service::start(&id, service, &self.store, &self.recorder).await?;
        let proxy = Proxy::start(endpoint.address).await?;
        endpoint.register(proxy.address);
        self.services.push(Proxied { endpoint, proxy });
        Ok(())
    }

    /// Adds and starts an instance of pinereel.
    ///
    /// # Errors
    /// If the instance cannot be started.
    pub async fn add_instance(&mut self) -> io::Result<()> {
        self.add_instance_with(proxy::Faults::default()).await
    }

    /// Adds and starts an instance that cannot reach the store.
    ///
    /// # Errors
    /// If the instance cannot be started.
    pub async fn add_instance_without_store(&mut self) -> io::Result<()> {
        self.add_instance_with(proxy::Faults::DROP_ALL).await
    }

    async fn add_instance_with(&mut self, store_faults: proxy::Faults) -> io::Result<()> {
        let name = format!("front-{}", self.next_number());
        let ip = self.reserved_ips.pop_front();
        let ip = IpAddr::from(ip.unwrap_or_else(unique_loopback_ip));
        let caller_address = SocketAddr::new(ip, CALLER_PORT);
        let readiness_address = SocketAddr::new(ip, READINESS_PORT);
        let store_proxy = Proxy::start(self.store.address).await?;
        store_proxy.set_faults(store_faults);
        let settings_path = self.folder.join(format!("{name}.ini"));
        let template = include_str!("../../../../deploy/instance.ini");
        let valid_settings = render(
            template,
            &template_fields(
                &name,
                [caller_address, readiness_address],
                [store_proxy.address, self.platform.address],
                &self.seeds,
                self.limits,
            ),
        );
        let valid_settings = (self.adapt_settings)(self.instances.len(), valid_settings);
        fs::write(&settings_path, &valid_settings)?;
        let mut instance = Instance::new(
            name,
            Proxy::start(caller_address).await?,
            store_proxy,
            readiness_address,
            (settings_path, valid_settings),
        );
        instance.start()?;
        self.instances.push(instance);
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // The folder contains only the settings files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the fields with which the platform renders the settings template.
fn template_fields(
    name: &str,
    listeners: [SocketAddr; 2],
    [store, platform]: [SocketAddr; 2],
    seeds: &[String],
    limits: Limits,
) -> Value {
    let [callers, readiness] = listeners;
    let mut fields = json!({
        "node": name,
        "zone": "here",
        "ip": callers.ip().to_string(),
        "listen": {
            "front": callers.to_string(),
            "ready": readiness.to_string(),
        },
        "portRange": [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
        "seeds": seeds,
        "limits": {"maxFds": limits.file_descriptors, "cpuShare": 0.5},
        "provider": {"addr": store.to_string()},
        "cloud": {"addr": platform.to_string(), "duties": ["usage", "autoscale"]},
        "bounds": {
            "graceS": 8, "drainMs": 2_000, "leaseMs": 1_000, "statusS": 120,
            "usageWindowS": 2, "usageLateS": 10,
        },
    });
    if let Some(memory_mb) = limits.memory_mb {
        fields["limits"]["memoryMb"] = json!(memory_mb);
    }
    fields
}

/// Returns a loopback address that no other instance has, so that its ports can be fixed.
///
/// Free ports found by binding and closing a listener are not safe: a process that is being started
/// at the same time holds a copy of the listener until its `exec`, so that the port may still be in
/// use. While four others kept starting processes beside six busy processes, 107 of 26,667 binds of
/// a released port failed for this reason; without those four, none of 28,838 did.
pub fn unique_loopback_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 2 + high % 250, low, (number % 254) as u8 + 1)
}
