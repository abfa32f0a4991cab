//! Whether callers' new connections should come here.

use super::{config::Config, endpoints::Endpoints, shutdown::Shutdown, store::Store};
use crate::http::{self, Server};
use actix_http::{Method, StatusCode};
use std::{io, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// An instance whose calls to the store have failed for so long says that it is not ready: callers'
/// new connections then go to one that can accept lots and knows the newest configuration.
const MAX_STORE_OUTAGE: Duration = Duration::from_millis(1_500);

/// What readiness is told by.
pub struct Readiness {
    /// The object store.
    pub store: Store,
    /// The configuration.
    pub config: Rc<Config>,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Whether a stop was asked for.
    pub shutdown: Rc<Shutdown>,
}

impl Readiness {
    /// Answers at `path`.
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
        Server::start(listener, http::Options::default(), answer).await?;
        Ok(())
    }

    /// Why this instance should get no new connections.
    fn unready_reason(&self) -> Option<&'static str> {
        if self.shutdown.is_initiated() {
            return Some("stopping\n");
        }
        if self.config.table().is_none() {
            return Some("no configuration\n");
        }
        if !self.endpoints.is_known() {
            return Some("no endpoint list\n");
        }
        let unreachable = self.store.unreachable_since();
        let unreachable = unreachable.is_some_and(|since| since.elapsed() >= MAX_STORE_OUTAGE);
        unreachable.then_some("no contact with the object store\n")
    }
}
