//! Readiness probe: tells the load balancer whether this instance takes callers' new connections.

use super::{config::Config, endpoints::Endpoints, shutdown::Shutdown, store::Store};
use crate::http::{self, Server};
use actix_http::{Method, StatusCode};
use std::{io, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// Maximum time of failed calls to the store before the instance is unready. Callers' new connections
/// then go to an instance that can accept lots and has the newest configuration.
const MAX_STORE_OUTAGE: Duration = Duration::from_millis(1_500);

/// The components of the instance that decide whether it is ready.
pub struct Readiness {
    /// The object store, with the time since which it is unreachable.
    pub store: Store,
    /// The configuration in force; the instance is unready without one.
    pub config: Rc<Config>,
    /// The endpoint list; the instance is unready until it is known.
    pub endpoints: Rc<Endpoints>,
    /// Whether a shutdown was initiated.
    pub shutdown: Rc<Shutdown>,
}

impl Readiness {
    /// Serves the probe at `path`.
    ///
    /// # Errors
    /// If the listener cannot be served.
    pub async fn serve(self, listener: TcpListener, path: &'static str) -> io::Result<()> {
        let readiness = Rc::new(self);
        let answer = move |request: http::Request| {
            let path_matches = request.method() == Method::GET && request.path() == path;
            let reason = readiness.unready_reason();
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
        if self.config.table().is_none() {
            return Some("no configuration\n");
        }
        if !self.endpoints.is_loaded() {
            return Some("no endpoint list\n");
        }
        let unreachable = self.store.unreachable_since();
        let unreachable = unreachable.is_some_and(|since| since.elapsed() >= MAX_STORE_OUTAGE);
        unreachable.then_some("no contact with the object store\n")
    }
}
