//! One run of an item at an engine, event by event.

use super::{runner::Runner, state::Work};
use crate::upstream::pool::{Body, Error, PooledRequest};
use actix_http::{
    Method, RequestHead, StatusCode,
    header::{AUTHORIZATION, HOST, HeaderMap, HeaderName, HeaderValue},
};
use bytes::BytesMut;
use pinereel_core::{
    batch::EngineKey,
    crash::{Content, EndpointStart, Identity, RequestParts},
};
use pinereel_port::{
    config::Route,
    headers::{AttemptHeaders, Caller},
    lot::Item,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{Instant, timeout};

/// An engine that has sent nothing at all for so long is left: it may load weights first, which takes about a second.
const SILENCE: Duration = Duration::from_millis(1_500);
/// The longest event; an engine that sends a longer one sends no events.
const MAX_EVENT: usize = 1 << 20;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The text is whole.
    Complete,
    /// The engine failed on it.
    Failed,
    /// The engine says that it can never be done.
    Impossible,
    /// The engine did not take it now.
    Refused,
    /// Broken off, silent, out of reach, or not in the protocol; with what was seen.
    Broken(Break),
    /// Another engine is much faster.
    Left,
    /// The engine's weights are older than the lot admits.
    Outdated,
}

impl End {
    /// The name in metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
            Self::Refused => "refused",
            Self::Broken(_) => "broken",
            Self::Left => "left",
            Self::Outdated => "outdated",
        }
    }
}

/// What broke a run off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Break {
    /// No connection, or no head of an answer in time.
    NoAnswer,
    /// The connection broke before the head of an answer.
    Lost,
    /// The same, over a connection that had lain idle: the engine may just have closed it.
    Stale,
    /// The engine crashed while the item was there.
    Crashed,
    /// An answer to another request, or with an encoded body.
    Foreign,
    /// A status that engines do not answer with.
    Status(u16),
    /// An event of which no version is known.
    NoVersion,
    /// Nothing came for too long.
    Silent,
    /// The connection broke, or ended within an event.
    Cut,
    /// An event that is malformed or does not follow the one before.
    Event,
    /// Another version went on with a text that must come from one.
    Mixed,
    /// The engine has started again and knows nothing of the run.
    Restarted,
}

/// The engine that a run goes to.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) key: EngineKey,
    pub(super) start: EndpointStart,
    pub(super) address: SocketAddr,
    /// How many endpoints have crashed under the item.
    pub(super) doubts: usize,
}

/// What makes an item the same request when it comes again.
pub(super) fn identity(caller: &Caller, host: &str, item: &Item) -> Identity {
    let mut headers = item.headers.iter();
    let credential = headers.find(|(name, _)| name.eq_ignore_ascii_case(AUTHORIZATION.as_str()));
    let credential = credential.map_or("", |(_, value)| value);
    Identity::of(RequestParts {
        caller: caller.workspace().unwrap_or(credential).as_bytes(),
        method: Method::POST.as_str(),
        host,
        target: &item.path,
        content: Content::new(item.prompt_id.as_deref(), &item.body),
    })
}

/// Runs the item at `place` from where its draft ends.
pub(super) async fn stream(
    runner: &Rc<Runner>,
    work: &Work,
    item: &Item,
    route: &Route,
    place: &Place,
) -> End {
    let end = attempt(runner, work, item, route, place).await;
    let End::Broken(Break::Lost | Break::Stale | Break::Cut) = end else {
        return end;
    };
    if runner.parts.pool.is_gone(place.address).await {
        return End::Broken(Break::Crashed);
    }
    match end {
        End::Broken(Break::Stale) => End::Refused,
        end => end,
    }
}

async fn attempt(
    runner: &Rc<Runner>,
    work: &Work,
    item: &Item,
    route: &Route,
    place: &Place,
) -> End {
    let (last, made_by) = runner.progress(work);
    let exchange = PooledRequest {
        address: place.address,
        head: head(runner, work, item, place, last),
        body: item.body.clone(),
        // A run may be repeated, so it may travel on a connection that carried another one.
        reuse: true,
    };
    let response = match timeout(SILENCE, runner.parts.pool.send(exchange)).await {
        Ok(Ok(response)) => response,
        Ok(Err(Error::Stale(_))) => return End::Broken(Break::Stale),
        Ok(Err(Error::Lost(_))) => return End::Broken(Break::Lost),
        Ok(Err(Error::NotOpened(_))) | Err(_) => return End::Broken(Break::NoAnswer),
    };
    let said = (runner.parts.adapter.headers.decode_response)(response.status, &response.headers);
    if said.not_executed {
        let _ = timeout(SILENCE, response.body.read_all()).await;
        return End::Refused;
    }
    if said.id.as_ref().is_some_and(|id| *id != item.id) || said.content_encoded {
        return End::Broken(Break::Foreign);
    }
    match response.status {
        StatusCode::OK => {}
        StatusCode::UNPROCESSABLE_ENTITY => return End::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => return End::Failed,
        status => return End::Broken(Break::Status(status.as_u16())),
    }
    let reader = Reader {
        runner,
        work,
        route,
        place,
        oldest: work.oldest_version,
        version: said.weights_version,
        last,
        made_by,
    };
    reader.read(response.body).await
}

fn head(
    runner: &Runner,
    work: &Work,
    item: &Item,
    place: &Place,
    after_event: Option<u64>,
) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = item.path.parse().unwrap_or_default();
    head.headers = item_headers(item);
    if let Ok(host) = HeaderValue::from_str(&work.host) {
        head.headers.insert(HOST, host);
    }
    let attempt = AttemptHeaders {
        request_id: &item.id,
        endpoint_id: &place.start.endpoint,
        timeout: None,
        last_event_id: after_event,
        caller: &work.caller,
    };
    (runner.parts.adapter.headers.encode_attempt)(&mut head.headers, attempt);
    head
}

fn item_headers(item: &Item) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = name.parse::<HeaderName>();
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        } else {
            log::warn!(id = item.id.as_str(); "item header is not valid and left out");
        }
    }
    headers
}

/// Reads the events of one run.
struct Reader<'a> {
    runner: &'a Rc<Runner>,
    work: &'a Work,
    route: &'a Route,
    place: &'a Place,
    oldest: u64,
    /// Version of the weights that make the next event; none if the engine has nothing to add to
    /// a text that is whole already.
    version: Option<u64>,
    /// Number of the last event, of this run or an earlier one.
    last: Option<u64>,
    /// Version that made the last event.
    made_by: Option<u64>,
}

impl Reader<'_> {
    async fn read(mut self, mut body: Body) -> End {
        let mut buffer = BytesMut::new();
        let mut last_event: Option<Instant> = None;
        if self.version.is_some_and(|version| version < self.oldest) {
            return End::Outdated;
        }
        loop {
            let patience = match last_event {
                Some(_) => self.runner.patience(self.work, self.place.key),
                None => SILENCE,
            };
            let part = match timeout(patience, body.next_part()).await {
                Ok(Ok(Some(part))) => part,
                Ok(Ok(None)) if buffer.is_empty() && self.last.is_some() => {
                    return End::Complete;
                }
                Err(_) => return End::Broken(Break::Silent),
                // What is torn off is not kept.
                _ => return End::Broken(Break::Cut),
            };
            buffer.extend_from_slice(&part);
            while let Some((event, rest)) = next_event(&buffer) {
                let event = std::str::from_utf8(&buffer[..event]).map(ToOwned::to_owned);
                let _ = buffer.split_to(rest);
                let now = Instant::now();
                let gap = last_event.map(|at| now - at);
                last_event = Some(now);
                let Ok(event) = event else {
                    return End::Broken(Break::Event);
                };
                if let Some(end) = self.take(&event, gap) {
                    return end;
                }
            }
            if buffer.len() > MAX_EVENT {
                return End::Broken(Break::Event);
            }
        }
    }

    /// Takes one event in; says if the run ends with it.
    fn take(&mut self, text: &str, gap: Option<Duration>) -> Option<End> {
        let event = match (self.runner.parts.adapter.lot.decode_event)(text) {
            Ok(event) => event,
            Err(fault) => {
                let (id, endpoint) = (self.work.item.as_str(), self.place.start.endpoint.as_str());
                log::warn!(id, endpoint; "event refused: {fault}");
                return Some(End::Broken(Break::Event));
            }
        };
        if self.last.is_some_and(|last| event.id != last + 1) {
            return Some(End::Broken(Break::Event));
        }
        self.version = event.version.or(self.version);
        let Some(version) = self.version else {
            return Some(End::Broken(Break::NoVersion));
        };
        if version < self.oldest {
            return Some(End::Outdated);
        }
        if self.route.single_version && self.made_by.is_some_and(|made_by| made_by != version) {
            // Nothing of it can be used.
            self.runner.drop_text(self.work);
            return Some(End::Broken(Break::Mixed));
        }
        self.last = Some(event.id);
        self.made_by = Some(version);
        self.runner.add_event(self.work, &event, version);
        let moved = self.runner.progressed(self.work, self.place.key, gap);
        moved.then_some(End::Left)
    }
}

/// Length of the first whole event in `buffer`, and where the next one begins.
fn next_event(buffer: &[u8]) -> Option<(usize, usize)> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    Some((end, end + 2))
}
