//! Handles the requests to the stand-in backend server.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::{Method, Request, Response, StatusCode, header::HeaderValue};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{json, value::RawValue};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{
    backend::{
        fault::Fault,
        serve::{Delivery, Handler},
        settings::Settings,
        starts::Starts,
    },
    error::Result,
    protocol::{
        announce::{ATTEMPT_HEADER, Run},
        job,
    },
    transport::http,
};

/// Exit code of the process after the `die` fault.
const EXIT_DIED: i32 = 70;

/// State of the stand-in, and its handler of requests.
pub struct Server {
    name: String,
    speed: f64,
    fault: Cell<Fault>,
    starts: Starts,
    /// Running tasks by attempt id, and what each uses.
    running: RefCell<BTreeMap<String, job::Needs>>,
    seen: RefCell<Seen>,
    /// Notified when a task ends.
    ended: Notify,
}

/// Observations that tests read by `GET /seen`.
#[derive(Debug, Default, Serialize)]
struct Seen {
    /// Maximum number of tasks that have run at once.
    busy_max: usize,
    /// Attempts that the sidecar has requested to throttle.
    throttled: BTreeSet<String>,
    /// Attempts for which the sidecar has requested a checkpoint.
    checkpointed: BTreeSet<String>,
    /// Attempts whose client closed its connection while they ran.
    stopped: BTreeSet<String>,
}

/// The fields of a task's input that the stand-in reads. It echoes the whole input.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Input {
    /// Run time at speed 1, in ms.
    work_ms: f64,
    /// What the task uses, as reported by `GET /usage`.
    uses: job::Needs,
    /// Identifies the task in the file of starts.
    tag: Option<String>,
}

/// The answer to a task.
#[derive(Serialize)]
struct Answer<'a> {
    backend: &'a str,
    echo: &'a RawValue,
}

/// A running task. If it is dropped without `done`, its client has closed the connection.
struct RunningTask {
    server: Rc<Server>,
    attempt: String,
    done: bool,
}

impl Drop for RunningTask {
    fn drop(&mut self) {
        self.server.running.borrow_mut().remove(&self.attempt);
        if !self.done {
            self.server.seen.borrow_mut().stopped.insert(self.attempt.clone());
        }
        self.server.ended.notify_waiters();
    }
}

impl Server {
    pub fn new(settings: &Settings, addr: SocketAddr) -> Result<Server> {
        Ok(Server {
            name: settings.name.clone().unwrap_or_else(|| addr.to_string()),
            speed: settings.speed,
            fault: Cell::new(settings.fault),
            starts: Starts::new(settings.starts_file.as_deref())?,
            running: RefCell::default(),
            seen: RefCell::default(),
            ended: Notify::new(),
        })
    }

    /// Whether the `freeze` fault is set.
    pub fn frozen(&self) -> bool {
        self.fault.get() == Fault::Freeze
    }

    /// Waits until no task is running, at most `limit`. Returns how many still are.
    pub async fn wait_drained(&self, limit: Duration) -> usize {
        let deadline = Instant::now() + limit;
        loop {
            let ended = self.ended.notified();
            let left = self.running.borrow().len();
            if left == 0 || time::timeout_at(deadline, ended).await.is_err() {
                return left;
            }
        }
    }

    async fn run(self: Rc<Self>, request: &Request, body: &[u8]) -> Delivery {
        let attempt = attempt_of(request);
        let Some(attempt) = attempt.map(str::to_owned) else {
            return Delivery::Complete(http::text(StatusCode::BAD_REQUEST, "no attempt header"));
        };
        let fault = self.fault.get();
        match fault {
            Fault::Freeze => std::future::pending().await,
            Fault::DropBefore => return Delivery::Nothing,
            Fault::Die => std::process::exit(EXIT_DIED),
            Fault::FailFast => {
                self.starts.add(&attempt, None);
                let failed = http::text(StatusCode::INTERNAL_SERVER_ERROR, "task failed");
                return Delivery::Complete(with_attempt(failed, &attempt));
            }
            _ => {}
        }
        let Ok(run) = serde_json::from_slice::<Run>(body) else {
            let refused = http::text(StatusCode::BAD_REQUEST, "body is not a run");
            return Delivery::Complete(with_attempt(refused, &attempt));
        };
        self.execute(&attempt, &run, fault).await;
        self.delivery(&attempt, &run, fault).await
    }

    /// Counts the start, then waits for the run time of the task.
    async fn execute(self: &Rc<Self>, attempt: &str, run: &Run, fault: Fault) {
        let input: Input = serde_json::from_str(run.input.get()).unwrap_or_default();
        self.starts.add(attempt, input.tag.as_deref());
        let busy = {
            let mut running = self.running.borrow_mut();
            running.insert(attempt.to_owned(), input.uses);
            running.len()
        };
        {
            let mut seen = self.seen.borrow_mut();
            seen.busy_max = seen.busy_max.max(busy);
        }
        let mut task =
            RunningTask { server: self.clone(), attempt: attempt.to_owned(), done: false };
        let mut run_time = Duration::from_secs_f64((input.work_ms / 1_000.0 / self.speed).max(0.0));
        if let Fault::Delay { ms } = fault {
            run_time += Duration::from_millis(ms);
        }
        if !run_time.is_zero() {
            time::sleep(run_time).await;
        }
        task.done = true;
    }

    /// Builds the response to a task that has run, and decides how it is sent.
    async fn delivery(&self, attempt: &str, run: &Run, fault: Fault) -> Delivery {
        let answer = Answer { backend: &self.name, echo: &run.input };
        let text = serde_json::to_string(&answer).unwrap_or_default();
        let response = |text: String| with_attempt(http::json(StatusCode::OK, text), attempt);
        match fault {
            Fault::AnswerLate { ms } => {
                time::sleep(Duration::from_millis(ms)).await;
                Delivery::Complete(response(text))
            }
            Fault::Truncate => Delivery::Truncated(response(text)),
            Fault::Double => Delivery::Twice(response(text)),
            Fault::WrongHeader => {
                Delivery::Complete(with_attempt(http::json(StatusCode::OK, text), "0-0-0-0"))
            }
            Fault::NotJson => Delivery::Complete(response("{\"half\":".into())),
            Fault::Oversize { bytes } => {
                Delivery::Complete(response(format!("\"{}\"", "x".repeat(bytes))))
            }
            Fault::DropAfter => Delivery::Nothing,
            _ => Delivery::Complete(response(text)),
        }
    }

    /// Records the attempt of a request to throttle or to checkpoint in the set that `field`
    /// selects.
    fn record(&self, request: &Request, field: fn(&mut Seen) -> &mut BTreeSet<String>) -> Delivery {
        if let Some(attempt) = attempt_of(request) {
            field(&mut self.seen.borrow_mut()).insert(attempt.to_owned());
        }
        Delivery::Complete(http::json(StatusCode::OK, "{}"))
    }

    fn set_fault(&self, body: &[u8]) -> Response<Bytes> {
        match serde_json::from_slice(body) {
            Ok(fault) => {
                log::info!("event=fault_set fault={fault:?}");
                self.fault.set(fault);
                http::json(StatusCode::OK, "{}")
            }
            Err(e) => http::text(StatusCode::BAD_REQUEST, format!("body: {e}")),
        }
    }
}

impl Handler for Server {
    async fn answer(self: Rc<Self>, request: Request, body: Bytes) -> Delivery {
        let json = |text: String| Delivery::Complete(http::json(StatusCode::OK, text));
        match (request.method(), request.path()) {
            (&Method::POST, "/run") => self.run(&request, &body).await,
            (&Method::POST, "/fault") => Delivery::Complete(self.set_fault(&body)),
            (&Method::GET, "/starts") => json(self.starts.json()),
            (&Method::GET, "/seen") => {
                json(serde_json::to_string(&*self.seen.borrow()).unwrap_or_default())
            }
            (&Method::GET, "/usage") => json(json!(&*self.running.borrow()).to_string()),
            (&Method::POST, "/throttle") => self.record(&request, |s| &mut s.throttled),
            (&Method::POST, "/checkpoint") => self.record(&request, |s| &mut s.checkpointed),
            (&Method::GET, "/health") => Delivery::Complete(http::text(StatusCode::OK, "ok")),
            _ => Delivery::Complete(http::text(StatusCode::NOT_FOUND, "no such resource")),
        }
    }
}

fn attempt_of(request: &Request) -> Option<&str> {
    request.head().headers.get(ATTEMPT_HEADER)?.to_str().ok()
}

/// Adds the attempt header.
fn with_attempt(mut response: Response<Bytes>, attempt: &str) -> Response<Bytes> {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        let name = actix_http::header::HeaderName::from_static(ATTEMPT_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}
