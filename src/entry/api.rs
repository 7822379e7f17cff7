//! The HTTP interface for callers, which `docs/api.md` describes.

use std::{rc::Rc, time::Duration};

use actix_http::{Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    entry::{
        Core,
        engine::Workload,
        keyed::{self, KeyLookup, Status},
        meter::Class,
        submission::{self, Body, Submission},
    },
    metric,
    protocol::{id, job, wire::entry::Waited},
    transport::{
        http::{self, BodyError},
        limit,
    },
};

/// Response header with the execution id, under which all processes log the submission.
pub const REQUEST_HEADER: &str = "x-request";

/// Time limit of a status query.
const QUERY_LIMIT: Duration = Duration::from_secs(2);
/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_S: &str = "1";

/// What a caller is sent about a submission.
struct Reply {
    execution: id::Execution,
    status: Rc<Status>,
    /// Number of answered tasks and of all tasks.
    progress: (usize, usize),
}

/// Handles an HTTP request.
pub async fn handle(core: Rc<Core>, mut request: Request) -> Response<Bytes> {
    let (method, path) = (request.method().clone(), request.path().to_owned());
    match (method, path.as_str()) {
        (Method::GET, "/health") => health(&core),
        (Method::GET, "/metrics") => {
            let metrics = metric::render(&core.meter.registry);
            http::text(StatusCode::OK, limit::with_metrics(metrics))
        }
        (Method::GET, "/v1/jobs") => query_status(&core, request.uri().query().unwrap_or("")).await,
        (Method::POST, "/v1/jobs" | "/v1/requests" | "/v1/jobs/cancel") => {
            let arrived = Instant::now();
            let Some(_counted) = CountedRequest::new(&core) else {
                return overloaded(&core, "too many requests at once");
            };
            let body = match read_body(&core, &mut request).await {
                Ok(body) => body,
                Err(response) => return response,
            };
            match path.as_str() {
                "/v1/jobs" => submit_job(&core, body, arrived).await,
                "/v1/requests" => submit_request(&core, body, arrived).await,
                _ => cancel(&core, body).await,
            }
        }
        (_, "/health" | "/metrics" | "/v1/jobs" | "/v1/requests" | "/v1/jobs/cancel") => {
            unknown_path(&core, StatusCode::METHOD_NOT_ALLOWED, "the path has no such method")
        }
        _ => unknown_path(&core, StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Reads a request body. While it arrives, its memory is reserved by the connection; the input is then
/// counted towards the budget.
async fn read_body(core: &Core, request: &mut Request) -> Result<Body, Response<Bytes>> {
    let max = core.limits.body_max_bytes;
    if !core.budget.has_capacity(0) {
        return Err(overloaded(core, MEMORY_USED_UP));
    }
    let limit = Duration::from_millis(core.limits.body_limit_ms);
    match http::body_within(request, max, limit).await {
        Ok(bytes) => {
            let mut reservation = core.budget.reserve();
            match reservation.grow(bytes.len()) {
                true => Ok(Body { bytes, reservation }),
                false => Err(overloaded(core, MEMORY_USED_UP)),
            }
        }
        Err(BodyError::TooLarge(max)) => Err(too_large(core, max)),
        Err(BodyError::Broken(e)) => Err(refuse(core, job::Refusal::BadRequest, &e)),
        Err(BodyError::Late(_)) => {
            Err(refuse(core, job::Refusal::BadRequest, "the body did not arrive in time"))
        }
        Err(BodyError::Refused) => Err(overloaded(core, MEMORY_USED_UP)),
    }
}

/// Detail of refusals for lack of memory.
const MEMORY_USED_UP: &str = "the entry's memory is used up";

/// Counts a request as open until it is dropped.
struct CountedRequest<'a>(&'a Core);

impl<'a> CountedRequest<'a> {
    fn new(core: &'a Core) -> Option<CountedRequest<'a>> {
        let requests = core.open_requests.get();
        (requests < core.limits.requests_max).then(|| {
            core.open_requests.set(requests + 1);
            CountedRequest(core)
        })
    }
}

impl Drop for CountedRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

fn health(core: &Core) -> Response<Bytes> {
    if core.unhealthy.get() {
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if core.session.epoch().is_none() || core.session.rules_confirmed_age().is_none() {
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "no session at control\n");
    }
    http::text(StatusCode::OK, "ok\n")
}

async fn submit_job(core: &Rc<Core>, body: Body, arrived: Instant) -> Response<Bytes> {
    match submission::job(body, arrived, &core.limits) {
        Ok(keyed) => submit(core, keyed, Class::Job, arrived).await,
        Err(reason) => refuse(core, job::Refusal::BadRequest, &reason),
    }
}

async fn submit_request(core: &Rc<Core>, body: Body, arrived: Instant) -> Response<Bytes> {
    match submission::request(body, arrived, &core.limits) {
        Ok(Submission::Keyed(keyed)) => submit(core, keyed, Class::Keyed, arrived).await,
        Ok(Submission::Unkeyed(workload)) => {
            let account = workload.spec.account.clone();
            let execution = core.session.next_execution();
            let status = Rc::new(unkeyed(core, execution, workload).await);
            let reply = Reply { execution, status, progress: (0, 1) };
            respond(core, &account, Some((Class::Idempotent, arrived)), reply)
        }
        Err(reason) => refuse(core, job::Refusal::BadRequest, &reason),
    }
}

async fn submit(
    core: &Rc<Core>,
    keyed: keyed::KeyedSubmission,
    class: Class,
    arrived: Instant,
) -> Response<Bytes> {
    let key = keyed.key.clone();
    let tasks = keyed.workload.inputs.len();
    let (execution, status) = keyed::submit(core, keyed).await;
    let progress = core.active(&key).map_or((0, tasks), |active| active.progress(core));
    respond(core, &key.account, Some((class, arrived)), Reply { execution, status, progress })
}

/// Executes a request without a key, and cancels it if the caller hangs up.
async fn unkeyed(core: &Rc<Core>, execution: id::Execution, mut workload: Workload) -> Status {
    if let Err(refusal) = core.check(&mut workload) {
        return refusal;
    }
    let _hang_up = CancelOnDrop { core, execution };
    core.execute(execution, workload).await
}

/// Cancels an execution that has not ended when its caller's connection is dropped.
struct CancelOnDrop<'a> {
    core: &'a Core,
    execution: id::Execution,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.core.engine.cancel(self.execution);
    }
}

async fn query_status(core: &Rc<Core>, query: &str) -> Response<Bytes> {
    let key = match submission::query(query) {
        Ok(key) => key,
        Err(reason) => return refuse(core, job::Refusal::BadRequest, &reason),
    };
    let until = Instant::now() + QUERY_LIMIT;
    let execution = core.session.next_execution();
    let (status, progress) = match keyed::look_up(core, &key, until).await {
        KeyLookup::Local(active) => (Rc::new(Status::Running), active.progress(core)),
        KeyLookup::Remote { job, owner } => {
            // Only the owner knows the progress, and it reports a running job when its wait has no
            // time left. A short limit makes it reply soon.
            let soon = Instant::now() + OWNER_STATUS_LIMIT;
            match core.wait_at(owner, job, soon).await {
                Ok(Waited::Running { done, tasks }) => {
                    (Rc::new(Status::Running), (done.into(), tasks.into()))
                }
                // The owner did not answer, or the job has ended since the lookup. The progress is
                // then unknown, and a later query gets the outcome from control.
                _ => (Rc::new(Status::Running), (0, 0)),
            }
        }
        KeyLookup::Ended(status) => (Rc::new(status), (0, 0)),
        KeyLookup::Unknown => return unknown(execution),
        KeyLookup::Unavailable(e) => return unavailable(execution, &e),
    };
    respond(core, &key.account, None, Reply { execution, status, progress })
}

/// Time limit of a status query at the owner of a job. The owner ends its wait 200 ms earlier.
const OWNER_STATUS_LIMIT: Duration = Duration::from_millis(400);

async fn cancel(core: &Rc<Core>, body: Body) -> Response<Bytes> {
    let key = match submission::cancel(&body) {
        Ok(key) => key,
        Err(reason) => return refuse(core, job::Refusal::BadRequest, &reason),
    };
    let until = Instant::now() + Duration::from_millis(core.limits.cancel_limit_ms);
    let mut execution = core.session.next_execution();
    let status = match keyed::look_up(core, &key, until).await {
        KeyLookup::Local(active) => {
            execution = active.execution();
            active.cancel(core);
            keyed::wait_until_ended(&active, until).await
        }
        KeyLookup::Remote { job, owner } => match core.cancel_at(owner, job, until).await {
            Ok(Waited::Ended(outcome)) => Rc::new(keyed::status_from_outcome(core, outcome)),
            _ => Rc::new(Status::Running),
        },
        KeyLookup::Ended(status) => Rc::new(status),
        KeyLookup::Unknown => return unknown(execution),
        KeyLookup::Unavailable(e) => return unavailable(execution, &e),
    };
    respond(core, &key.account, None, Reply { execution, status, progress: (0, 0) })
}

/// Refuses a request that has not become a submission.
fn refuse(core: &Core, reason: job::Refusal, detail: &str) -> Response<Bytes> {
    let execution = core.session.next_execution();
    let status = Rc::new(Status::not_run(reason, detail));
    respond(core, &id::Account(String::new()), None, Reply { execution, status, progress: (0, 0) })
}

/// Refuses a request whose body has not been read. Its key is not known here, so the detail says
/// that the refusal covers this call only.
fn overloaded(core: &Core, detail: &str) -> Response<Bytes> {
    refuse(core, job::Refusal::Overloaded, &format!("{detail}{}", keyed::EARLIER_CALLS_UNKNOWN))
}

fn too_large(core: &Core, max: usize) -> Response<Bytes> {
    let detail = format!("the body has more than {max} bytes");
    let mut response = refuse(core, job::Refusal::BadRequest, &detail);
    *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    response
}

/// Refuses a request whose path or method does not exist.
fn unknown_path(core: &Core, status: StatusCode, detail: &str) -> Response<Bytes> {
    let mut response = refuse(core, job::Refusal::BadRequest, detail);
    *response.status_mut() = status;
    response
}

/// Responds to a status query or cancel of a key that is not known.
fn unknown(execution: id::Execution) -> Response<Bytes> {
    let detail = "no submission with this key is known".to_owned();
    render(execution, StatusCode::NOT_FOUND, &job::Response::Unknown { detail })
}

/// Responds to a status query or cancel when control did not answer the `lookup` of the key.
fn unavailable(execution: id::Execution, error: &str) -> Response<Bytes> {
    log::info!("event=query_failed run={execution} error={error:?}");
    let detail = "control could not be asked; ask again".to_owned();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    retry_later(render(execution, status, &job::Response::Unknown { detail }))
}

/// Builds the response to a caller, and records it in the log and the metrics.
///
/// `timed` has the class and the time of arrival of a submission; it is `None` for status queries,
/// cancels, and requests that have not become submissions. Refusals are counted in all of these
/// cases, so that requests refused before they became submissions are counted too.
fn respond(
    core: &Core,
    account: &id::Account,
    timed: Option<(Class, Instant)>,
    reply: Reply,
) -> Response<Bytes> {
    let Reply { execution, status, progress } = reply;
    if let Some((class, arrived)) = timed {
        core.meter.response(account, class, arrived.elapsed().as_secs_f64());
    }
    match &*status {
        Status::Completed(answers) => {
            log::debug!("event=completed run={execution} team={:?}", account.0);
            let mut reservation = core.budget.reserve();
            let body = completed(&answers.texts);
            reservation.grow(body.len());
            let body = Bytes::from_owner(ReservedBody { body, _reservation: reservation });
            with_execution(execution, http::json(StatusCode::OK, body))
        }
        Status::Failed { reason, detail } => {
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
        Status::NotRun { reason, detail } => {
            let label = reason.label();
            log::info!(
                "event=not_run run={execution} team={:?} reason={label} detail={detail:?}",
                account.0
            );
            core.meter.not_run(*reason);
            let body = job::Response::NotRun { reason: *reason, detail: detail.clone() };
            let code = status_code(*reason);
            let response = render(execution, code, &body);
            if code.is_server_error() || code == StatusCode::TOO_MANY_REQUESTS {
                retry_later(response)
            } else {
                response
            }
        }
        Status::Running => {
            let (done, tasks) = progress;
            render(execution, StatusCode::ACCEPTED, &job::Response::Running { done, tasks })
        }
    }
}

/// A response body whose memory stays reserved until it has been sent.
struct ReservedBody {
    body: Vec<u8>,
    _reservation: crate::budget::Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Response body of a completed submission. The answers are JSON texts and are inserted as they
/// are.
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

/// HTTP status code of a refusal.
fn status_code(reason: job::Refusal) -> StatusCode {
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
