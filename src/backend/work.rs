//! The requests that the stand-in backend server takes.

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
        serve::{Handler, Sent},
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

/// Exit code of the `die` fault.
const EXIT_DIED: i32 = 70;

/// The stand-in's state.
pub struct Server {
    name: String,
    speed: f64,
    fault: Cell<Fault>,
    starts: Starts,
    tasks: RefCell<BTreeMap<String, job::Needs>>,
    seen: RefCell<Seen>,
    ended: Notify,
}

/// What tests ask for by `GET /seen`.
#[derive(Debug, Default, Serialize)]
struct Seen {
    /// Most tasks at work at once.
    busy_max: usize,
    throttled: BTreeSet<String>,
    checkpointed: BTreeSet<String>,
    /// Tasks whose client went away while they were at work.
    stopped: BTreeSet<String>,
}

/// What the stand-in reads from a task's input; the rest is only echoed.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Input {
    /// Run time at speed 1, in ms.
    work_ms: f64,
    /// What the task uses, for usage reports.
    uses: job::Needs,
    /// Names the task in the file of starts.
    tag: Option<String>,
}

/// The answer to a task.
#[derive(Serialize)]
struct Answer<'a> {
    backend: &'a str,
    echo: &'a RawValue,
}

/// A task at work; dropping it without `done` means that its client has gone.
struct Working {
    server: Rc<Server>,
    attempt: String,
    done: bool,
}

impl Drop for Working {
    fn drop(&mut self) {
        self.server.tasks.borrow_mut().remove(&self.attempt);
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
            tasks: RefCell::default(),
            seen: RefCell::default(),
            ended: Notify::new(),
        })
    }

    /// Whether it takes requests without doing anything.
    pub fn frozen(&self) -> bool {
        self.fault.get() == Fault::Freeze
    }

    /// Waits until no task is at work, at most `limit`. Returns how many still are.
    pub async fn drained(&self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        loop {
            let ended = self.ended.notified();
            let left = self.tasks.borrow().len();
            if left == 0 || time::timeout_at(end, ended).await.is_err() {
                return left;
            }
        }
    }

    async fn run(self: Rc<Self>, request: &Request, body: &[u8]) -> Sent {
        let attempt = attempt_of(request);
        let Some(attempt) = attempt.map(str::to_owned) else {
            return Sent::Whole(http::text(StatusCode::BAD_REQUEST, "no attempt header"));
        };
        let fault = self.fault.get();
        match fault {
            Fault::Freeze => std::future::pending().await,
            Fault::DropBefore => return Sent::Nothing,
            Fault::Die => std::process::exit(EXIT_DIED),
            Fault::FailFast => {
                self.starts.add(&attempt, None);
                let failed = http::text(StatusCode::INTERNAL_SERVER_ERROR, "task failed");
                return Sent::Whole(echo(failed, &attempt));
            }
            _ => {}
        }
        let Ok(run) = serde_json::from_slice::<Run>(body) else {
            let refused = http::text(StatusCode::BAD_REQUEST, "body is not a run");
            return Sent::Whole(echo(refused, &attempt));
        };
        self.work(&attempt, &run, fault).await;
        self.sent(&attempt, &run, fault).await
    }

    /// Counts the start, then takes the task's time.
    async fn work(self: &Rc<Self>, attempt: &str, run: &Run, fault: Fault) {
        let input: Input = serde_json::from_str(run.input.get()).unwrap_or_default();
        self.starts.add(attempt, input.tag.as_deref());
        let busy = {
            let mut tasks = self.tasks.borrow_mut();
            tasks.insert(attempt.to_owned(), input.uses);
            tasks.len()
        };
        {
            let mut seen = self.seen.borrow_mut();
            seen.busy_max = seen.busy_max.max(busy);
        }
        let mut working =
            Working { server: self.clone(), attempt: attempt.to_owned(), done: false };
        let mut took = Duration::from_secs_f64((input.work_ms / 1_000.0 / self.speed).max(0.0));
        if let Fault::Delay { ms } = fault {
            took += Duration::from_millis(ms);
        }
        if !took.is_zero() {
            time::sleep(took).await;
        }
        working.done = true;
    }

    async fn sent(&self, attempt: &str, run: &Run, fault: Fault) -> Sent {
        let answer = Answer { backend: &self.name, echo: &run.input };
        let text = serde_json::to_string(&answer).unwrap_or_default();
        let right = |text: String| echo(http::json(StatusCode::OK, text), attempt);
        match fault {
            Fault::AnswerLate { ms } => {
                time::sleep(Duration::from_millis(ms)).await;
                Sent::Whole(right(text))
            }
            Fault::Truncate => Sent::Cut(right(text)),
            Fault::Double => Sent::Twice(right(text)),
            Fault::WrongHeader => Sent::Whole(echo(http::json(StatusCode::OK, text), "0-0-0-0")),
            Fault::NotJson => Sent::Whole(right("{\"half\":".into())),
            Fault::Oversize { bytes } => Sent::Whole(right(format!("\"{}\"", "x".repeat(bytes)))),
            Fault::DropAfter => Sent::Nothing,
            _ => Sent::Whole(right(text)),
        }
    }

    fn platform(&self, request: &Request, into: fn(&mut Seen) -> &mut BTreeSet<String>) -> Sent {
        if let Some(attempt) = attempt_of(request) {
            into(&mut self.seen.borrow_mut()).insert(attempt.to_owned());
        }
        Sent::Whole(http::json(StatusCode::OK, "{}"))
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
    async fn answer(self: Rc<Self>, request: Request, body: Bytes) -> Sent {
        let json = |text: String| Sent::Whole(http::json(StatusCode::OK, text));
        match (request.method(), request.path()) {
            (&Method::POST, "/run") => self.run(&request, &body).await,
            (&Method::POST, "/fault") => Sent::Whole(self.set_fault(&body)),
            (&Method::GET, "/starts") => json(self.starts.json()),
            (&Method::GET, "/seen") => {
                json(serde_json::to_string(&*self.seen.borrow()).unwrap_or_default())
            }
            (&Method::GET, "/usage") => json(json!(&*self.tasks.borrow()).to_string()),
            (&Method::POST, "/throttle") => self.platform(&request, |s| &mut s.throttled),
            (&Method::POST, "/checkpoint") => self.platform(&request, |s| &mut s.checkpointed),
            (&Method::GET, "/health") => Sent::Whole(http::text(StatusCode::OK, "ok")),
            _ => Sent::Whole(http::text(StatusCode::NOT_FOUND, "no such resource")),
        }
    }
}

fn attempt_of(request: &Request) -> Option<&str> {
    request.head().headers.get(ATTEMPT_HEADER)?.to_str().ok()
}

fn echo(mut response: Response<Bytes>, attempt: &str) -> Response<Bytes> {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        let name = actix_http::header::HeaderName::from_static(ATTEMPT_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}
