//! Readiness probe: tells the load balancer whether this instance takes callers' new connections.

use super::{
    config::Config, endpoints::Endpoints, shutdown::Shutdown, startup::listen, store::Store,
};
use crate::{
    http::{self, Server},
    settings::Hosted,
};
use actix_http::{Method, StatusCode};
use pinereel_port::Adapter;
use std::{cell::OnceCell, io, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// Maximum time of failed calls to the store before the instance is unready. Callers' new connections
/// then go to an instance that can accept lots and has the newest configuration.
const MAX_STORE_OUTAGE: Duration = Duration::from_millis(1_500);

/// The readiness probe of an instance, which is unready until [`Readiness::set_components`] is called.
#[derive(Clone)]
pub struct Readiness {
    components: Rc<OnceCell<Components>>,
    shutdown: Rc<Shutdown>,
}

/// The components of the instance that decide whether it is ready.
pub struct Components {
    /// The object store, with the time since which it is unreachable.
    pub store: Store,
    /// The configuration in force; the instance is unready without one.
    pub config: Rc<Config>,
    /// The endpoint list; the instance is unready until it is known.
    pub endpoints: Rc<Endpoints>,
}

impl Readiness {
    /// Serves the probe of an instance that is starting, as soon as its port is free.
    pub fn start(settings: &Hosted, adapter: Adapter, shutdown: &Rc<Shutdown>) -> Self {
        let readiness = Self {
            components: Rc::default(),
            shutdown: Rc::clone(shutdown),
        };
        if let Some(address) = settings.instance.readiness {
            let probe = readiness.clone();
            actix_rt::spawn(async move {
                let listener = listen("readiness", address).await;
                if let Err(error) = probe.serve(listener, adapter.readiness_path).await {
                    log::error!(error:%; "cannot serve the readiness probe");
                }
            });
        }
        readiness
    }

    /// Makes the probe depend on these components. Later calls have no effect.
    pub fn set_components(&self, components: Components) {
        self.components.get_or_init(|| components);
    }

    /// Serves the probe at `path`.
    async fn serve(self, listener: TcpListener, path: &'static str) -> io::Result<()> {
        let answer = move |request: http::Request| {
            let path_matches = request.method() == Method::GET && request.path() == path;
            let reason = self.unready_reason();
            async move {
                match reason {
                    _ if !path_matches => http::empty(StatusCode::NOT_FOUND),
                    None => http::text(StatusCode::OK, "ready\n"),
                    Some(reason) => http::text(StatusCode::SERVICE_UNAVAILABLE, reason),
                }
            }
        };
        Server::start(listener, http::Options::internal(), answer).await?;
        Ok(())
    }

    /// Why this instance is unready, as the body of the answer; `None` if it is ready.
    fn unready_reason(&self) -> Option<&'static str> {
        if self.shutdown.is_initiated() {
            return Some("stopping\n");
        }
        let Some(components) = self.components.get() else {
            return Some("starting\n");
        };
        if components.config.table().is_none() {
            return Some("no configuration\n");
        }
        if !components.endpoints.is_loaded() {
            return Some("no endpoint list\n");
        }
        let unreachable = components.store.unreachable_since();
        let unreachable = unreachable.is_some_and(|since| since.elapsed() >= MAX_STORE_OUTAGE);
        unreachable.then_some("no contact with the object store\n")
    }
}
