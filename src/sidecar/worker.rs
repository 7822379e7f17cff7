//! The implementation of [`Platform`] that the sidecar process uses: it runs each task as a
//! `POST /run` to the backend server.
//!
//! It stands in for a platform that runs tasks on workers. The platform's other functions are HTTP
//! requests to the backend server as well: `GET /usage` returns usage reports, `POST /throttle` and
//! `POST /checkpoint` concern one task. A task is stopped by closing its connection.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::Method;
use bytes::Bytes;
use serde_json::json;
use tokio::{sync::Notify, time};

use crate::{
    protocol::{announce, id, job},
    sidecar::{
        platform::{Outcome, Platform, TaskSpec, Usage},
        settings,
    },
    transport::http::{self, CallError},
};

/// Maximum size of a usage report, in bytes.
const USAGE_MAX_BYTES: usize = 256 * 1024;
/// Maximum length of a backend server's error text that is passed to the entry, in characters.
const DETAIL_MAX_CHARS: usize = 256;

/// Implements [`Platform`] for the worker of one backend server.
pub struct Worker {
    shared: Rc<Shared>,
}

struct Shared {
    /// The client of the backend server, with its maximum number of connections.
    client: RefCell<Option<(u16, http::Client)>>,
    answer_max_bytes: usize,
    keep_alive: Duration,
    usage_interval: Duration,
    /// The last usage report, by attempt id.
    usage: RefCell<HashMap<String, job::Needs>>,
    /// Number of running tasks with declared resources, by address of the backend server.
    watched: RefCell<HashMap<SocketAddr, usize>>,
    /// Whether `poll_usage` runs.
    polling: Cell<bool>,
}

/// Worker lease of a task.
pub struct Lease {
    attempt: id::Attempt,
    addr: SocketAddr,
    until: Cell<time::Instant>,
    stopped: Cell<bool>,
    /// Notified when `until` or `stopped` has changed.
    changed: Notify,
    _watch: Option<UsageWatch>,
}

/// Makes `poll_usage` fetch usage reports until it is dropped. Each running task with declared
/// resources has one.
struct UsageWatch {
    shared: Rc<Shared>,
    addr: SocketAddr,
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        let mut watched = self.shared.watched.borrow_mut();
        if let Some(tasks) = watched.get_mut(&self.addr) {
            *tasks -= 1;
            if *tasks == 0 {
                watched.remove(&self.addr);
            }
        }
    }
}

impl Worker {
    pub fn new(settings: &settings::Settings) -> Worker {
        let shared = Shared {
            client: RefCell::new(None),
            answer_max_bytes: settings.answer_max_bytes,
            keep_alive: settings.keep_alive_ms,
            usage_interval: settings.task.usage_interval_ms,
            usage: RefCell::default(),
            watched: RefCell::default(),
            polling: Cell::new(false),
        };
        Worker { shared: Rc::new(shared) }
    }

    /// Sets the maximum number of open connections to the backend server. The platform's other
    /// requests share them with the tasks.
    pub fn set_connections(&self, connections: u16) {
        let mut client = self.shared.client.borrow_mut();
        if client.as_ref().is_none_or(|(current, _)| *current != connections) {
            let keep_alive = self.shared.keep_alive;
            let new = http::Client::with_keep_alive(connections.into(), keep_alive);
            *client = Some((connections, new));
        }
    }

    /// Sends a request about a task without waiting for the response.
    fn notify(&self, lease: &Lease, path: &'static str) {
        let Some(client) = self.shared.client() else { return };
        let (addr, attempt) = (lease.addr, lease.attempt.to_string());
        let limit = self.shared.usage_interval;
        actix_rt::spawn(async move {
            let call = http::Call {
                method: Method::POST,
                addr,
                path,
                headers: &[(announce::ATTEMPT_HEADER, &attempt)],
                body: Bytes::new(),
                answer_max_bytes: USAGE_MAX_BYTES,
            };
            if let Ok(Err(e)) = time::timeout(limit, client.call(call)).await {
                log::warn!("event=platform_call_failed path={path} attempt={attempt} error={e:?}");
            }
        });
    }
}

impl Platform for Worker {
    type Lease = Lease;

    fn open_lease(&self, task: &TaskSpec, length: Duration) -> Lease {
        let declares_resources = task.needs != job::Needs::default();
        Lease {
            attempt: task.attempt,
            addr: task.addr,
            until: Cell::new(time::Instant::now() + length),
            stopped: Cell::new(false),
            changed: Notify::new(),
            _watch: declares_resources.then(|| watch(&self.shared, task.addr)),
        }
    }

    async fn run(&self, lease: &Lease, task: TaskSpec) -> Outcome {
        let call = self.shared.call(task);
        tokio::pin!(call);
        loop {
            tokio::select! {
                biased;
                outcome = &mut call => return outcome,
                () = lease.changed.notified() => {
                    if lease.stopped.get() {
                        return Outcome::Stopped;
                    }
                }
                () = time::sleep_until(lease.until.get()) => {
                    if lease.until.get() <= time::Instant::now() {
                        return Outcome::LeaseExpired;
                    }
                }
            }
        }
    }

    fn renew(&self, lease: &Lease, length: Duration) {
        lease.until.set(time::Instant::now() + length);
        lease.changed.notify_one();
    }

    fn usage(&self, lease: &Lease) -> Option<Usage> {
        let usage = self.shared.usage.borrow();
        usage.get(&lease.attempt.to_string()).map(|used| Usage { used: *used })
    }

    fn checkpoint(&self, lease: &Lease) {
        self.notify(lease, "/checkpoint");
    }

    fn throttle(&self, lease: &Lease) {
        self.notify(lease, "/throttle");
    }

    fn stop(&self, lease: &Lease) {
        lease.stopped.set(true);
        lease.changed.notify_one();
    }
}

impl Shared {
    fn client(&self) -> Option<http::Client> {
        self.client.borrow().as_ref().map(|(_, client)| client.clone())
    }

    async fn fetch_usage(&self, addr: SocketAddr) -> Option<HashMap<String, job::Needs>> {
        let client = self.client()?;
        let call = http::Call {
            method: Method::GET,
            addr,
            path: "/usage",
            headers: &[],
            body: Bytes::new(),
            answer_max_bytes: USAGE_MAX_BYTES,
        };
        let answer = time::timeout(self.usage_interval, client.call(call)).await.ok()?.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    async fn call(&self, task: TaskSpec) -> Outcome {
        let Some(client) = self.client() else {
            return Outcome::Unreachable("no backend server announced".into());
        };
        let body = encode(&task);
        let attempt = task.attempt.to_string();
        let call = http::Call {
            method: Method::POST,
            addr: task.addr,
            path: "/run",
            headers: &[(announce::ATTEMPT_HEADER, &attempt), ("content-type", "application/json")],
            body: body.into(),
            answer_max_bytes: self.answer_max_bytes,
        };
        match client.call(call).await {
            Ok(answer) => check(&attempt, answer),
            Err(CallError::NotSent(unsent)) => Outcome::Unreachable(unsent.reason),
            Err(e) => Outcome::Unknown(e.to_string()),
        }
    }
}

/// Serialises a task as an [`announce::Run`]. The entry has checked that the input is JSON, so it
/// is copied without being parsed again.
fn encode(task: &TaskSpec) -> String {
    let account = json!(task.account.0);
    let kind = json!(task.kind);
    format!("{{\"team\":{account},\"kind\":{kind},\"input\":{}}}", task.input)
}

/// Accepts an answer only if it is complete, valid, and belongs to this attempt.
fn check(attempt: &str, answer: http::Answer) -> Outcome {
    let echoed = answer.header(announce::ATTEMPT_HEADER);
    if echoed != Some(attempt) {
        return Outcome::Unknown(format!("answer is for attempt {echoed:?}"));
    }
    let Ok(text) = String::from_utf8(answer.body.to_vec()) else {
        return Outcome::Unknown("answer is not UTF-8".into());
    };
    if !answer.status.is_success() {
        let detail: String = text.chars().take(DETAIL_MAX_CHARS).collect();
        return Outcome::Failed(format!("status {}: {detail}", answer.status.as_u16()));
    }
    // If the response states no length, only a text with a closing delimiter is known to be
    // complete.
    let delimited = text.trim_start().starts_with(['{', '[', '"']);
    if !answer.sized && !delimited {
        return Outcome::Unknown("answer states no length".into());
    }
    match serde_json::from_str::<serde::de::IgnoredAny>(&text) {
        Ok(_) => Outcome::Answered(text),
        Err(e) => Outcome::Unknown(format!("answer is not JSON: {e}")),
    }
}

/// Makes `poll_usage` fetch the usage reports of a backend server, and starts it if it does not
/// run.
fn watch(shared: &Rc<Shared>, addr: SocketAddr) -> UsageWatch {
    *shared.watched.borrow_mut().entry(addr).or_default() += 1;
    if !shared.polling.replace(true) {
        actix_rt::spawn(poll_usage(shared.clone()));
    }
    UsageWatch { shared: shared.clone(), addr }
}

/// Fetches usage reports until no running task has declared resources.
async fn poll_usage(shared: Rc<Shared>) {
    loop {
        time::sleep(shared.usage_interval).await;
        let addrs: Vec<SocketAddr> = shared.watched.borrow().keys().copied().collect();
        if addrs.is_empty() {
            shared.usage.borrow_mut().clear();
            shared.polling.set(false);
            return;
        }
        let mut usage = HashMap::new();
        for addr in addrs {
            usage.extend(shared.fetch_usage(addr).await.unwrap_or_default());
        }
        *shared.usage.borrow_mut() = usage;
    }
}
