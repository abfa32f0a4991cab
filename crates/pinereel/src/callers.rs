//! The callers' listener: live requests, trainers' calls, liveness and readiness.

use crate::{
    controllers::{config::Pin, lots::front},
    filters::{admit, completion, pin, refuse, respond, service, unknown},
    http::{self, Request, Response},
    state::Shared,
};
use actix_http::{HttpMessage as _, Method, StatusCode};
use compact_str::CompactString;
use pinereel_api::{Problem, engine, problem::Code, trainer};
use serde::Serialize;
use std::rc::Rc;

/// Largest body of a lot, in bytes: 8,192 prompts of 8 KiB.
const MAX_LOT: usize = 64 << 20;
/// Largest body of a collect or publish, in bytes.
const MAX_SMALL: usize = 64 << 10;

/// Answers one request, which is in flight until the last byte of its answer has been sent.
pub async fn serve(shared: Rc<Shared>, request: Request) -> Response {
    let guard = shared.drain.enter();
    let answer = answer_to(shared, request).await;
    http::attach_guard(answer, guard)
}

async fn answer_to(shared: Rc<Shared>, mut request: Request) -> Response {
    let path = request.path().to_owned();
    let parts: Vec<_> = path.split('/').skip(1).collect();
    let method = request.method().clone();
    let result = match (&method, parts.as_slice()) {
        (&Method::GET, ["live"]) => return http::text(StatusCode::OK, "live\n"),
        (&Method::GET, ["ready"]) => return ready(&shared),
        (&Method::POST, ["v1", "completions"]) => complete(&shared, &mut request).await,
        (&Method::POST, ["v1", "lots"]) => submit(&shared, &mut request).await,
        (&Method::POST, ["v1", "lots", id, "collect"]) => collect(&shared, &mut request, id).await,
        (&Method::POST, ["v1", "trainers", name, "versions"]) => {
            publish(&shared, &mut request, name).await
        }
        (_, ["services", pool, ..]) => relay(&shared, &mut request, pool).await,
        _ => Err(refuse(Code::NotFound, "no such path")),
    };
    result.unwrap_or_else(|problem| respond::problem(&shared, &problem))
}

/// Whether the balancer may send connections here.
pub fn ready(shared: &Shared) -> Response {
    match pin::ready(shared) {
        Ok(number) => http::text(StatusCode::OK, format!("ready {number}\n")),
        Err(problem) => http::problem(&problem),
    }
}

async fn complete(shared: &Rc<Shared>, request: &mut Request) -> Result<Response, Problem> {
    let pin = pin::pin(shared)?;
    let call: engine::Request = body(shared, &pin, request).await?;
    if call.max_tokens == 0 {
        return Err(refuse(Code::BadRequest, "max_tokens is 0"));
    }
    let exchange = admit::enter(shared, request, pin, call.model.clone())?;
    Ok(completion::serve(shared, exchange, call).await)
}

/// The smaller bound of this instance and of the pinned configuration, in bytes.
fn largest_body(shared: &Shared, pin: &Pin) -> usize {
    let asked = pin.document.limits.max_body as usize;
    asked.min(shared.settings.limits.body)
}

async fn body<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    pin: &Pin,
    request: &mut Request,
) -> Result<T, Problem> {
    let max = largest_body(shared, pin);
    Ok(http::read_json(request, max, shared.settings.limits.read_timeout).await?)
}

async fn relay(
    shared: &Rc<Shared>,
    request: &mut Request,
    pool: &str,
) -> Result<Response, Problem> {
    let pin = pin::pin(shared)?;
    let max = largest_body(shared, &pin);
    let timeout = shared.settings.limits.read_timeout;
    let exchange = admit::enter(shared, request, pin, CompactString::from(pool))?;
    let uri = request.uri().clone();
    let whole = uri.path_and_query().map_or("/", |p| p.as_str());
    let prefix = "/services/".len() + pool.len();
    let path = whole
        .get(prefix..)
        .filter(|rest| rest.starts_with('/'))
        .unwrap_or("/");
    let call = service::Call {
        method: request.method().clone(),
        path: path.to_owned(),
        headers: service::Call::headers_of(request.headers()),
        body: http::read_body(request, max, timeout).await?,
        repeatable: service::repeatable(&exchange, request.method(), path),
    };
    if call.repeatable {
        return Ok(service::serve(shared, exchange, call).await);
    }
    let owner = Rc::clone(shared);
    keep(shared, async move {
        Ok(service::serve(&owner, exchange, call).await)
    })
    .await
}

/// Does the work in a task of its own, which goes on when the caller is gone: it must not end
/// halfway.
async fn keep<T: 'static>(
    shared: &Shared,
    work: impl Future<Output = Result<T, Problem>> + 'static,
) -> Result<T, Problem> {
    let guard = shared.drain.enter();
    let task = actix_rt::spawn(async move {
        let _guard = guard;
        work.await
    });
    task.await
        .unwrap_or_else(|_| Err(unknown(Code::Unknown, "the work ended early")))
}

async fn submit(shared: &Rc<Shared>, request: &mut Request) -> Result<Response, Problem> {
    let pin = pin::pin(shared)?;
    let timeout = shared.settings.limits.read_timeout;
    let lot: trainer::Lot = http::read_json(request, MAX_LOT, timeout).await?;
    let owner = Rc::clone(shared);
    let work = async move { front::submit(&owner, &pin, lot).await };
    answer(keep(shared, work).await)
}

async fn collect(
    shared: &Rc<Shared>,
    request: &mut Request,
    id: &str,
) -> Result<Response, Problem> {
    let pin = pin::pin(shared)?;
    let timeout = shared.settings.limits.read_timeout;
    let collect: trainer::Collect = http::read_json(request, MAX_SMALL, timeout).await?;
    let (owner, id) = (Rc::clone(shared), id.to_owned());
    let work = async move { front::collect(&owner, &pin, &id, collect).await };
    answer(keep(shared, work).await)
}

async fn publish(
    shared: &Rc<Shared>,
    request: &mut Request,
    name: &str,
) -> Result<Response, Problem> {
    let pin = pin::pin(shared)?;
    let timeout = shared.settings.limits.read_timeout;
    let publish: trainer::Publish = http::read_json(request, MAX_SMALL, timeout).await?;
    let (owner, name) = (Rc::clone(shared), name.to_owned());
    let work = async move { front::publish(&owner, &pin, &name, publish).await };
    answer(keep(shared, work).await)
}

fn answer(result: Result<impl Serialize, Problem>) -> Result<Response, Problem> {
    result.map(|body| http::json(StatusCode::OK, &body))
}
