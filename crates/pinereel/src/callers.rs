//! HTTP handlers of the callers' listener: live requests, trainers' calls, liveness and readiness.

use crate::{
    controllers::{config::Snapshot, lots::trainer_api},
    filters::{admit, completion, may_have_run, not_run, pin, respond, service},
    http::{self, Request, Response},
    state::Shared,
};
use actix_http::{HttpMessage as _, Method, StatusCode};
use compact_str::CompactString;
use pinereel_api::{Problem, engine, problem::Code, trainer};
use pinereel_core::Time;
use serde::Serialize;
use std::rc::Rc;

/// Maximum body size of a submitted lot, in bytes: 8,192 prompts of 8 KiB.
const MAX_LOT_BYTES: usize = 64 << 20;
/// Maximum body size of a collect or publish, in bytes.
const MAX_CONTROL_BYTES: usize = 64 << 10;

/// Serves one request. A drain counts it as in flight until its response has been sent completely.
pub async fn serve(shared: Rc<Shared>, request: Request) -> Response {
    let guard = shared.drain.track_request();
    let answer = handle(shared, request).await;
    http::attach_guard(answer, guard)
}

async fn handle(shared: Rc<Shared>, mut request: Request) -> Response {
    let arrived_at = shared.now();
    let path = request.path().to_owned();
    let parts: Vec<_> = path.split('/').skip(1).collect();
    let method = request.method().clone();
    let result = match (&method, parts.as_slice()) {
        (&Method::GET, ["live"]) => return http::text(StatusCode::OK, "live\n"),
        (&Method::GET, ["ready"]) => return ready(&shared),
        (&Method::POST, ["v1", "completions"]) => complete(&shared, &mut request, arrived_at).await,
        (&Method::POST, ["v1", "lots"]) => submit(&shared, &mut request).await,
        (&Method::POST, ["v1", "lots", id, "collect"]) => collect(&shared, &mut request, id).await,
        (&Method::POST, ["v1", "trainers", name, "versions"]) => {
            publish(&shared, &mut request, name).await
        }
        (_, ["services", pool, ..]) => proxy(&shared, &mut request, pool, arrived_at).await,
        _ => Err(not_run(Code::NotFound, "no such path")),
    };
    result.unwrap_or_else(|problem| respond::problem_response(&shared, &problem))
}

/// Readiness: whether the load balancer may send connections to this instance.
pub fn ready(shared: &Shared) -> Response {
    match pin::ready(shared) {
        Ok(number) => http::text(StatusCode::OK, format!("ready {number}\n")),
        Err(problem) => http::problem(&problem),
    }
}

async fn complete(
    shared: &Rc<Shared>,
    request: &mut Request,
    arrived_at: Time,
) -> Result<Response, Problem> {
    let snapshot = pin::pin(shared)?;
    let call: engine::Request = read_body(shared, &snapshot, request).await?;
    if call.max_tokens == 0 {
        return Err(not_run(Code::BadRequest, "max_tokens is 0"));
    }
    let context = admit::read_context(shared, request, arrived_at, snapshot, call.model.clone())?;
    Ok(completion::serve(shared, context, call).await)
}

/// Maximum body size: the smaller limit of the settings and of the pinned configuration.
fn max_body_bytes(shared: &Shared, snapshot: &Snapshot) -> usize {
    let configured = snapshot.document.limits.max_body as usize;
    configured.min(shared.settings.limits.body)
}

async fn read_body<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    snapshot: &Snapshot,
    request: &mut Request,
) -> Result<T, Problem> {
    let max = max_body_bytes(shared, snapshot);
    Ok(http::read_json(request, max, shared.settings.limits.read_timeout).await?)
}

async fn proxy(
    shared: &Rc<Shared>,
    request: &mut Request,
    pool: &str,
    arrived_at: Time,
) -> Result<Response, Problem> {
    let snapshot = pin::pin(shared)?;
    let max = max_body_bytes(shared, &snapshot);
    let timeout = shared.settings.limits.read_timeout;
    let context = admit::read_context(
        shared,
        request,
        arrived_at,
        snapshot,
        CompactString::from(pool),
    )?;
    let uri = request.uri().clone();
    let path_and_query = uri.path_and_query().map_or("/", |p| p.as_str());
    let prefix_len = "/services/".len() + pool.len();
    let path = path_and_query
        .get(prefix_len..)
        .filter(|rest| rest.starts_with('/'))
        .unwrap_or("/");
    let call = service::ServiceRequest {
        method: request.method().clone(),
        path: path.to_owned(),
        headers: service::ServiceRequest::end_to_end_headers(request.headers()),
        body: http::read_body(request, max, timeout).await?,
        repeatable: service::repeatable(&context, request.method(), path),
    };
    if call.repeatable {
        return Ok(service::serve(shared, context, call).await);
    }
    let task_shared = Rc::clone(shared);
    run_detached(shared, async move {
        Ok(service::serve(&task_shared, context, call).await)
    })
    .await
}

/// Runs `work` in a task of its own, so that the work is completed even if the caller disconnects.
async fn run_detached<T: 'static>(
    shared: &Shared,
    work: impl Future<Output = Result<T, Problem>> + 'static,
) -> Result<T, Problem> {
    let guard = shared.drain.track_request();
    let task = actix_rt::spawn(async move {
        let _guard = guard;
        work.await
    });
    task.await
        .unwrap_or_else(|_| Err(may_have_run(Code::Unknown, "the work ended early")))
}

async fn submit(shared: &Rc<Shared>, request: &mut Request) -> Result<Response, Problem> {
    let snapshot = pin::pin(shared)?;
    let timeout = shared.settings.limits.read_timeout;
    let lot: trainer::Lot = http::read_json(request, MAX_LOT_BYTES, timeout).await?;
    let task_shared = Rc::clone(shared);
    let work = async move { trainer_api::submit(&task_shared, &snapshot, lot).await };
    json_response(run_detached(shared, work).await)
}

async fn collect(
    shared: &Rc<Shared>,
    request: &mut Request,
    id: &str,
) -> Result<Response, Problem> {
    let snapshot = pin::pin(shared)?;
    let timeout = shared.settings.limits.read_timeout;
    let collect: trainer::Collect = http::read_json(request, MAX_CONTROL_BYTES, timeout).await?;
    let (task_shared, id) = (Rc::clone(shared), id.to_owned());
    let work = async move { trainer_api::collect(&task_shared, &snapshot, &id, collect).await };
    json_response(run_detached(shared, work).await)
}

async fn publish(
    shared: &Rc<Shared>,
    request: &mut Request,
    name: &str,
) -> Result<Response, Problem> {
    let snapshot = pin::pin(shared)?;
    let timeout = shared.settings.limits.read_timeout;
    let publish: trainer::Publish = http::read_json(request, MAX_CONTROL_BYTES, timeout).await?;
    let (task_shared, name) = (Rc::clone(shared), name.to_owned());
    let work = async move { trainer_api::publish(&task_shared, &snapshot, &name, publish).await };
    json_response(run_detached(shared, work).await)
}

fn json_response(result: Result<impl Serialize, Problem>) -> Result<Response, Problem> {
    result.map(|body| http::json(StatusCode::OK, &body))
}
