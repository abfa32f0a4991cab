//! Whether callers' new connections should come here.

use super::{config::Config, endpoints::Endpoints, stop::Stop, store::Store};
use crate::http::{self, Server};
use actix_http::{Method, StatusCode};
use std::{io, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// An instance whose calls to the store have failed for so long says that it is not ready: callers'
/// new connections then go to one that can accept lots and knows the newest configuration.
const AWAY: Duration = Duration::from_millis(1_500);

/// What readiness is told by.
pub struct Ready {
    /// The object store.
    pub store: Store,
    /// The configuration.
    pub config: Rc<Config>,
    /// The endpoint list.
    pub endpoints: Rc<Endpoints>,
    /// Whether a stop was asked for.
    pub stop: Rc<Stop>,
}

impl Ready {
    /// Answers at `path`.
    ///
    /// # Errors
    /// If the listener cannot be served.
    pub async fn serve(self, listener: TcpListener, path: &'static str) -> io::Result<()> {
        let ready = Rc::new(self);
        let answer = move |request: http::Request| {
            let known = request.method() == Method::GET && request.path() == path;
            let why = ready.why_not();
            async move {
                match why {
                    _ if !known => http::empty(StatusCode::NOT_FOUND),
                    None => http::text(StatusCode::OK, "ready\n"),
                    Some(why) => http::text(StatusCode::SERVICE_UNAVAILABLE, why),
                }
            }
        };
        Server::start(listener, http::Options::default(), answer).await?;
        Ok(())
    }

    /// Why this instance should get no new connections.
    fn why_not(&self) -> Option<&'static str> {
        if self.stop.asked() {
            return Some("stopping\n");
        }
        if self.config.table().is_none() {
            return Some("no configuration\n");
        }
        if !self.endpoints.is_loaded() {
            return Some("no endpoint list\n");
        }
        let away = self.store.unreachable_since();
        let away = away.is_some_and(|since| since.elapsed() >= AWAY);
        away.then_some("no contact with the object store\n")
    }
}
