//! The interface for callers, described in `docs/api.md`.

use std::{rc::Rc, time::Duration};

use actix_http::{HttpMessage, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use tokio::time::{self, Instant};

use crate::{
    entry::{
        Core,
        engine::Work,
        keyed::{self, Done, Known},
        meter::Class,
        submission::{self, Body, Submission},
    },
    metric,
    protocol::{id, job, wire::entry::Waited},
    transport::http::{self, BodyError},
};

/// Header of each response that names its run in the logs of all processes.
pub const REQUEST_HEADER: &str = "x-request";

/// Time for a status query.
const QUERY_LIMIT: Duration = Duration::from_secs(2);
/// What callers are told to wait before submitting again, in seconds.
const RETRY_AFTER_S: &str = "1";

/// An answer to a caller.
struct Reply {
    execution: id::Execution,
    done: Rc<Done>,
    progress: (usize, usize),
}

/// Answers a request.
pub async fn handle(core: Rc<Core>, mut request: Request) -> Response<Bytes> {
    let (method, path) = (request.method().clone(), request.path().to_owned());
    match (method, path.as_str()) {
        (Method::GET, "/health") => health(&core),
        (Method::GET, "/metrics") => {
            http::text(StatusCode::OK, metric::render(&core.meter.registry))
        }
        (Method::GET, "/v1/jobs") => status(&core, request.uri().query().unwrap_or("")).await,
        (Method::POST, "/v1/jobs" | "/v1/requests" | "/v1/jobs/cancel") => {
            let arrived = Instant::now();
            let Some(_counted) = Counted::new(&core) else {
                return overloaded(&core, "too many requests at once");
            };
            let body = match body(&core, &mut request).await {
                Ok(body) => body,
                Err(response) => return response,
            };
            match path.as_str() {
                "/v1/jobs" => jobs(&core, body, arrived).await,
                "/v1/requests" => requests(&core, body, arrived).await,
                _ => cancel(&core, body).await,
            }
        }
        (_, "/health" | "/metrics" | "/v1/jobs" | "/v1/requests" | "/v1/jobs/cancel") => {
            misdirected(&core, StatusCode::METHOD_NOT_ALLOWED, "the path has no such method")
        }
        _ => misdirected(&core, StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Reads a body; its memory is reserved before it arrives.
async fn body(core: &Core, request: &mut Request) -> Result<Body, Response<Bytes>> {
    let max = core.limits.body_max_bytes;
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|l| l.to_str().ok()?.parse().ok()).unwrap_or(max);
    if length > max {
        return Err(too_large(core, max));
    }
    let mut hold = core.budget.hold();
    if !core.budget.has_room(0) || !hold.grow(length) {
        return Err(overloaded(core, "the entry's memory is used up"));
    }
    let mut payload = request.take_payload();
    let limit = Duration::from_millis(core.limits.body_limit_ms);
    match time::timeout(limit, http::body(&mut payload, max)).await {
        Ok(Ok(bytes)) => Ok(Body { bytes, hold }),
        Ok(Err(BodyError::TooLarge(max))) => Err(too_large(core, max)),
        Ok(Err(BodyError::Broken(e))) => Err(refuse(core, job::Refusal::BadRequest, &e)),
        Err(_) => Err(refuse(core, job::Refusal::BadRequest, "the body did not arrive in time")),
    }
}

/// Counts a request for as long as it is being answered.
struct Counted<'a>(&'a Core);

impl<'a> Counted<'a> {
    fn new(core: &'a Core) -> Option<Counted<'a>> {
        let requests = core.requests.get();
        (requests < core.limits.requests_max).then(|| {
            core.requests.set(requests + 1);
            Counted(core)
        })
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
    }
}

fn health(core: &Core) -> Response<Bytes> {
    if core.unhealthy.get() {
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if core.session.epoch().is_none() || core.session.confirmed_age().is_none() {
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "no session at control\n");
    }
    http::text(StatusCode::OK, "ok\n")
}

async fn jobs(core: &Rc<Core>, body: Body, arrived: Instant) -> Response<Bytes> {
    match submission::job(body, arrived, &core.limits) {
        Ok(keyed) => submit(core, keyed, Class::Job, arrived).await,
        Err(wrong) => refuse(core, job::Refusal::BadRequest, &wrong),
    }
}

async fn requests(core: &Rc<Core>, body: Body, arrived: Instant) -> Response<Bytes> {
    match submission::request(body, arrived, &core.limits) {
        Ok(Submission::Keyed(keyed)) => submit(core, keyed, Class::Keyed, arrived).await,
        Ok(Submission::Unkeyed(work)) => {
            let account = work.spec.account.clone();
            let execution = core.session.execution();
            let done = Rc::new(unkeyed(core, execution, work).await);
            let reply = Reply { execution, done, progress: (0, 1) };
            answer(core, &account, Some((Class::Idempotent, arrived)), reply)
        }
        Err(wrong) => refuse(core, job::Refusal::BadRequest, &wrong),
    }
}

async fn submit(
    core: &Rc<Core>,
    keyed: keyed::Keyed,
    class: Class,
    arrived: Instant,
) -> Response<Bytes> {
    let key = keyed.key.clone();
    let tasks = keyed.work.inputs.len();
    let (execution, done) = keyed::submit(core, keyed).await;
    let progress = core.active(&key).map_or((0, tasks), |active| active.progress(core));
    answer(core, &key.account, Some((class, arrived)), Reply { execution, done, progress })
}

/// Runs a request without a key; ends it if the caller hangs up.
async fn unkeyed(core: &Rc<Core>, execution: id::Execution, mut work: Work) -> Done {
    if let Err(refusal) = core.check(&mut work) {
        return refusal;
    }
    let _hang_up = CancelOnDrop { core, execution };
    core.execute(execution, work).await
}

/// Cancels a run, unless it has ended, when its caller's connection is dropped.
struct CancelOnDrop<'a> {
    core: &'a Core,
    execution: id::Execution,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.core.engine.cancel(self.execution);
    }
}

async fn status(core: &Rc<Core>, query: &str) -> Response<Bytes> {
    let key = match submission::query(query) {
        Ok(key) => key,
        Err(wrong) => return refuse(core, job::Refusal::BadRequest, &wrong),
    };
    let until = Instant::now() + QUERY_LIMIT;
    let execution = core.session.execution();
    let (done, progress) = match keyed::find(core, &key, until).await {
        Known::Here(active) => (Rc::new(Done::Running), active.progress(core)),
        Known::Running { job, owner } => {
            // The owner knows how far it is; a wait without time left returns at once.
            let soon = Instant::now() + ASK_LIMIT;
            match core.ask(owner, job, soon).await {
                Ok(Waited::Running { done, tasks }) => {
                    (Rc::new(Done::Running), (done.into(), tasks.into()))
                }
                _ => (Rc::new(Done::Running), (0, 0)),
            }
        }
        Known::Ended(done) => (Rc::new(done), (0, 0)),
        Known::Unknown => return unknown(execution),
        Known::Unavailable(e) => return unavailable(execution, &e),
    };
    answer(core, &key.account, None, Reply { execution, done, progress })
}

/// Time for a status query at the owner of a job. A wait ends 200 ms earlier.
const ASK_LIMIT: Duration = Duration::from_millis(400);

async fn cancel(core: &Rc<Core>, body: Body) -> Response<Bytes> {
    let key = match submission::cancel(&body) {
        Ok(key) => key,
        Err(wrong) => return refuse(core, job::Refusal::BadRequest, &wrong),
    };
    let until = Instant::now() + Duration::from_millis(core.limits.cancel_limit_ms);
    let mut execution = core.session.execution();
    let done = match keyed::find(core, &key, until).await {
        Known::Here(active) => {
            execution = active.execution();
            active.cancel(core);
            keyed::join(&active, until).await
        }
        Known::Running { job, owner } => match core.cancel_at(owner, job, until).await {
            Ok(Waited::Ended(outcome)) => Rc::new(keyed::settled(core, outcome)),
            _ => Rc::new(Done::Running),
        },
        Known::Ended(done) => Rc::new(done),
        Known::Unknown => return unknown(execution),
        Known::Unavailable(e) => return unavailable(execution, &e),
    };
    answer(core, &key.account, None, Reply { execution, done, progress: (0, 0) })
}

/// Refuses a request before it has a run.
fn refuse(core: &Core, reason: job::Refusal, detail: &str) -> Response<Bytes> {
    let execution = core.session.execution();
    let done = Rc::new(Done::not_run(reason, detail));
    answer(core, &id::Account(String::new()), None, Reply { execution, done, progress: (0, 0) })
}

/// Refuses a request that has not been read, so that its key is not known.
fn overloaded(core: &Core, detail: &str) -> Response<Bytes> {
    refuse(core, job::Refusal::Overloaded, &format!("{detail}{}", keyed::CALL_ONLY))
}

fn too_large(core: &Core, max: usize) -> Response<Bytes> {
    let detail = format!("the body has more than {max} bytes");
    let mut response = refuse(core, job::Refusal::BadRequest, &detail);
    *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    response
}

fn misdirected(core: &Core, status: StatusCode, detail: &str) -> Response<Bytes> {
    let mut response = refuse(core, job::Refusal::BadRequest, detail);
    *response.status_mut() = status;
    response
}

fn unknown(execution: id::Execution) -> Response<Bytes> {
    let detail = "no submission with this key is known".to_owned();
    render(execution, StatusCode::NOT_FOUND, &job::Response::Unknown { detail })
}

/// A status query or cancel that control did not answer: nothing is known of the key.
fn unavailable(execution: id::Execution, error: &str) -> Response<Bytes> {
    log::info!("event=query_failed run={execution} error={error:?}");
    let detail = "control could not be asked; ask again".to_owned();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    retry_later(render(execution, status, &job::Response::Unknown { detail }))
}

/// Answers a caller, and notes the answer in log and metrics.
fn answer(
    core: &Core,
    account: &id::Account,
    timed: Option<(Class, Instant)>,
    reply: Reply,
) -> Response<Bytes> {
    let Reply { execution, done, progress } = reply;
    if let Some((class, arrived)) = timed {
        core.meter.response(account, class, arrived.elapsed().as_secs_f64());
    }
    match &*done {
        Done::Completed(answers) => {
            log::debug!("event=completed run={execution} team={:?}", account.0);
            let mut hold = core.budget.hold();
            let body = completed(&answers.texts);
            hold.grow(body.len());
            let body = Bytes::from_owner(Sent { body, _hold: hold });
            with_execution(execution, http::json(StatusCode::OK, body))
        }
        Done::Failed { reason, detail } => {
            let label = reason.label();
            log::info!(
                "event=failed run={execution} team={:?} reason={label} detail={detail:?}",
                account.0
            );
            if timed.is_some() {
                core.meter.failed(*reason);
            }
            let body = job::Response::Failed { reason: *reason, detail: detail.clone() };
            render(execution, StatusCode::BAD_GATEWAY, &body)
        }
        Done::NotRun { reason, detail } => {
            let label = reason.label();
            log::info!(
                "event=not_run run={execution} team={:?} reason={label} detail={detail:?}",
                account.0
            );
            core.meter.not_run(*reason);
            let body = job::Response::NotRun { reason: *reason, detail: detail.clone() };
            let status = code(*reason);
            let response = render(execution, status, &body);
            if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
                retry_later(response)
            } else {
                response
            }
        }
        Done::Running => {
            let (done, tasks) = progress;
            render(execution, StatusCode::ACCEPTED, &job::Response::Running { done, tasks })
        }
    }
}

/// A body that counts as held until it has been sent.
struct Sent {
    body: Vec<u8>,
    _hold: crate::entry::budget::Hold,
}

impl AsRef<[u8]> for Sent {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// The body of a completed submission. The answers are JSON texts already.
fn completed(answers: &[String]) -> Vec<u8> {
    const HEAD: &[u8] = br#"{"status":"completed","answers":["#;
    let bytes = answers.iter().map(|a| a.len() + 1).sum::<usize>() + HEAD.len() + 2;
    let mut body = Vec::with_capacity(bytes);
    body.extend_from_slice(HEAD);
    for (index, answer) in answers.iter().enumerate() {
        if index > 0 {
            body.push(b',');
        }
        body.extend_from_slice(answer.as_bytes());
    }
    body.extend_from_slice(b"]}");
    body
}

/// The HTTP status of a refusal.
fn code(reason: job::Refusal) -> StatusCode {
    match reason {
        job::Refusal::BadRequest => StatusCode::BAD_REQUEST,
        job::Refusal::KeyConflict => StatusCode::CONFLICT,
        job::Refusal::KeyExpired => StatusCode::GONE,
        job::Refusal::NeverFits => StatusCode::UNPROCESSABLE_ENTITY,
        job::Refusal::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        job::Refusal::Overloaded
        | job::Refusal::NoBackend
        | job::Refusal::DeadlineExceeded
        | job::Refusal::Cancelled
        | job::Refusal::RulesUnconfirmed
        | job::Refusal::ControlUnavailable
        | job::Refusal::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn render(execution: id::Execution, status: StatusCode, body: &job::Response) -> Response<Bytes> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    with_execution(execution, http::json(status, body))
}

fn with_execution(execution: id::Execution, mut response: Response<Bytes>) -> Response<Bytes> {
    if let Ok(value) = header::HeaderValue::try_from(execution.to_string()) {
        let name = header::HeaderName::from_static(REQUEST_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

fn retry_later(mut response: Response<Bytes>) -> Response<Bytes> {
    let value = header::HeaderValue::from_static(RETRY_AFTER_S);
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}
