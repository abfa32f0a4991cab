//! Reverse proxy for plain services: routes a request by pool and path and streams the response.

use super::{
    RequestContext, admit,
    attempt::LEAVING_REASON,
    claim, may_have_run, not_run, respond,
    route::{self, Criteria},
};
use crate::{
    controllers::{crashes, endpoints::AttemptGuard, queues::Permit},
    http::Response,
    state::Shared,
    upstream::{Attempt, Error, Reuse, direct},
};
use actix_http::{
    Method, StatusCode,
    body::{BodyStream, BoxBody, SizedStream},
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName,
        HeaderValue, TRANSFER_ENCODING,
    },
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::stream;
use pinereel_api::{
    Problem, header,
    problem::{Code, Ran},
};
use pinereel_core::{
    Time,
    crash::{Content, Identity, RequestParts},
    endpoint::{AttemptEnd, Key},
};
use std::{io, rc::Rc};
use tokio::time::{Instant, timeout_at};

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 3;
/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 5] =
    [CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING];

/// A request for a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Method, unchanged from the caller's request.
    pub method: Method,
    /// Path and query at the service, starting with `/`.
    pub path: String,
    /// End-to-end headers of the caller's request.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may run twice.
    pub repeatable: bool,
}

impl ServiceRequest {
    /// Copies all headers except the hop-by-hop ones.
    pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
        headers
            .iter()
            .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(name))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect()
    }
}

impl ServiceRequest {
    /// Identity by which crash reports recognise a repeat of the same request. The pool is used
    /// as the host, since the request's path names a pool and no host.
    fn identity(&self, pool: &str) -> Identity {
        let mut caller = self
            .headers
            .iter()
            .filter(|(name, _)| name == AUTHORIZATION);
        Identity::of(RequestParts {
            caller: caller.next().map_or(&[], |(_, value)| value.as_bytes()),
            method: self.method.as_str(),
            host: pool,
            target: &self.path,
            content: Content::Body(&self.body),
        })
    }
}

/// Whether the pinned configuration lets a request run twice: no `non_idempotent` rule of the pool
/// (`METHOD PREFIX`) matches it.
pub fn repeatable(context: &RequestContext, method: &Method, path: &str) -> bool {
    let Some(pool) = context.snapshot.document.pools.get(&context.pool) else {
        return false;
    };
    !pool.non_idempotent.iter().any(|rule| {
        rule.split_once(' ')
            .is_some_and(|(m, prefix)| m == method.as_str() && path.starts_with(prefix))
    })
}

/// Serves one request, counts it and adds the response's headers.
pub async fn serve(
    shared: &Rc<Shared>,
    context: RequestContext,
    request: ServiceRequest,
) -> Response {
    match run(shared, &context, request).await {
        Ok(mut response) => {
            respond::count_request(shared, &context, "answer");
            respond::add_headers(&context, &mut response);
            response
        }
        Err(problem) => {
            respond::count_problem(shared, &context, &problem);
            let mut response = respond::problem_response(shared, &problem);
            respond::add_headers(&context, &mut response);
            response
        }
    }
}

async fn run(
    shared: &Rc<Shared>,
    context: &RequestContext,
    request: ServiceRequest,
) -> Result<Response, Problem> {
    match claim::idempotency_key(&request)? {
        Some(key) => claim::run(shared, context, request, &key).await,
        None => run_attempts(shared, context, &request).await,
    }
}

/// Sends a request until it is answered or may not be retried.
///
/// # Errors
/// The problem of the last attempt; not run only if no attempt may have run.
pub(super) async fn run_attempts(
    shared: &Rc<Shared>,
    context: &RequestContext,
    request: &ServiceRequest,
) -> Result<Response, Problem> {
    let permit = admit::wait_for_turn(shared, context).await?;
    let mut excluded: Vec<Key> = Vec::new();
    let mut last_problem: Option<Problem> = None;
    for _ in 0..MAX_ATTEMPTS {
        let identity = || request.identity(&context.pool);
        let current_criteria = criteria(request, &excluded);
        let assignment =
            match route::assign_next(shared, context, &permit, current_criteria, identity).await {
                Ok(assignment) => assignment,
                Err(problem) => return Err(last_problem.unwrap_or(problem)),
            };
        excluded.push(assignment.key);
        let sent_at = shared.now();
        let sent = direct::send(build_attempt(shared, context, request, &assignment.address)).await;
        let (end, problem, may_repeat) = match sent {
            Ok(response) => match refusal_end(&response) {
                Some(end) => (
                    end,
                    retryable("the endpoint refused before running it"),
                    true,
                ),
                None => {
                    let sent = SentRequest {
                        key: assignment.key,
                        request: request.clone(),
                        pool: context.pool.clone(),
                        sent_at,
                    };
                    return Ok(proxy_response(context, response, assignment, permit, sent));
                }
            },
            Err(Error::NotOpened(e)) => (AttemptEnd::ConnectionRefused, retryable(&e), true),
            Err(Error::Invalid(e)) => return Err(not_run(Code::BadRequest, e)),
            Err(Error::Lost(e)) => {
                crashes::connection_lost(shared, assignment.key, identity()).await;
                let problem = may_have_run(Code::Unknown, format_compact!("{e}"));
                (AttemptEnd::Failed, problem, request.repeatable)
            }
        };
        assignment.guard.finish(end);
        // An attempt that did not run proves nothing about an earlier one that may have run.
        let problem = match last_problem.take() {
            Some(earlier) if earlier.ran == Ran::Unknown => earlier,
            _ => problem,
        };
        let is_last_attempt =
            excluded.len() == MAX_ATTEMPTS || context.remaining(shared.now()).is_zero();
        if !may_repeat
            || is_last_attempt
            || !route::may_retry(shared, context, criteria(request, &excluded))
        {
            return Err(problem);
        }
        last_problem = Some(problem);
    }
    Err(last_problem.unwrap_or_else(|| not_run(Code::NoEndpoint, "no attempt")))
}

const fn criteria<'a>(request: &ServiceRequest, excluded: &'a [Key]) -> Criteria<'a> {
    Criteria {
        prefix: None,
        excluded,
        repeatable: request.repeatable,
        tokens: 0,
    }
}

fn retryable(message: &str) -> Problem {
    Problem {
        retry_after_ms: Some(1_000),
        ..not_run(Code::NoEndpoint, message)
    }
}

fn build_attempt(
    shared: &Shared,
    context: &RequestContext,
    request: &ServiceRequest,
    address: &str,
) -> Attempt {
    let mut headers = request.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&context.id) {
        headers.push((HeaderName::from_static(header::REQUEST_ID), id));
    }
    Attempt {
        method: request.method.clone(),
        address: address.into(),
        path: request.path.clone(),
        headers,
        body: request.body.clone(),
        timeout: context.remaining(shared.now()),
        reuse: if request.repeatable {
            Reuse::Allowed
        } else {
            Reuse::Fresh
        },
    }
}

/// How the attempt ended if the endpoint refused it before running it; otherwise `None`.
fn refusal_end(response: &direct::Response) -> Option<AttemptEnd> {
    if response.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let reason = response.headers.get(header::REFUSED)?;
    Some(if reason.as_bytes() == LEAVING_REASON.as_bytes() {
        AttemptEnd::Leaving
    } else {
        AttemptEnd::Overloaded
    })
}

/// Streams the endpoint's response to the caller. If the endpoint's body breaks off, so does the
/// caller's.
fn proxy_response(
    context: &RequestContext,
    response: direct::Response,
    assignment: route::Assignment,
    permit: Permit,
    sent: SentRequest,
) -> Response {
    let headers = ServiceRequest::end_to_end_headers(&response.headers);
    let remaining = context.remaining(permit.shared().now());
    let state = ProxiedBody {
        body: response.body,
        guard: Some(assignment.guard),
        permit,
        sent,
        deadline: Instant::now() + remaining,
    };
    let body = stream::unfold(state, |mut state| async move {
        let item = state.next().await?;
        Some((item, state))
    });
    let body = Box::pin(body);
    let body = match response.length {
        Some(length) => BoxBody::new(SizedStream::new(length, body)),
        None => BoxBody::new(BodyStream::new(body)),
    };
    let mut answer = Response::new(response.status).set_body(body);
    for (key, value) in headers {
        answer.headers_mut().append(key, value);
    }
    if let Ok(name) = HeaderValue::from_str(&assignment.name) {
        answer
            .headers_mut()
            .insert(HeaderName::from_static(header::ENDPOINT), name);
    }
    answer
}

/// An attempt whose response is being streamed. Keeps the request instead of its identity, which is
/// seldom needed and costs a hash of the body.
struct SentRequest {
    key: Key,
    request: ServiceRequest,
    pool: CompactString,
    sent_at: Time,
}

impl SentRequest {
    fn identity(&self) -> Identity {
        self.request.identity(&self.pool)
    }
}

/// Response body that is streamed from the endpoint to the caller.
struct ProxiedBody {
    body: direct::Body,
    /// Counts the attempt until the body has ended.
    guard: Option<AttemptGuard>,
    /// Keeps the request admitted until the body has ended.
    permit: Permit,
    /// The request, with its endpoint and the time of sending.
    sent: SentRequest,
    /// Deadline of the request. Bounds how long an endpoint that sends nothing occupies resources.
    deadline: Instant,
}

impl ProxiedBody {
    /// Returns the next part; `None` after the end and after an error.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        self.guard.as_ref()?;
        let part = timeout_at(self.deadline, self.body.next_part()).await;
        let part = part.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)));
        match part {
            Ok(Some(part)) => Some(Ok(part)),
            Ok(None) => {
                let sent = &self.sent;
                crashes::record_answer(
                    self.permit.shared(),
                    sent.key,
                    || sent.identity(),
                    sent.sent_at,
                );
                self.end(AttemptEnd::Completed);
                self.permit.record_success();
                None
            }
            Err(e) => {
                let sent = &self.sent;
                crashes::connection_lost(self.permit.shared(), sent.key, sent.identity()).await;
                self.end(AttemptEnd::Failed);
                Some(Err(e))
            }
        }
    }

    fn end(&mut self, end: AttemptEnd) {
        if let Some(guard) = self.guard.take() {
            guard.finish(end);
        }
    }
}
