//! A stand-in of the platform: runs each task as a `POST /run` to the backend server.
//!
//! The stand-in backend server takes the platform's other messages over HTTP as well: usage
//! reports by `GET /usage`, `POST /throttle` and `POST /checkpoint`. A task is stopped by closing
//! its connection.

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
        platform::{End, Order, Platform, Usage},
        settings,
    },
    transport::http::{self, CallError},
};

/// Longest usage report, in bytes.
const USAGE_MAX_BYTES: usize = 256 * 1024;
/// Longest text of a backend server's own error that is passed on, in bytes.
const DETAIL_MAX_BYTES: usize = 256;

/// The stand-in platform of one worker.
pub struct Worker {
    shared: Rc<Shared>,
}

struct Shared {
    client: RefCell<Option<(u16, http::Client)>>,
    answer_max_bytes: usize,
    keep_alive: Duration,
    usage_interval: Duration,
    usage: RefCell<HashMap<String, job::Needs>>,
    /// Tasks with a declared size, per backend server address.
    watched: RefCell<HashMap<SocketAddr, usize>>,
    polling: Cell<bool>,
}

/// A task's worker lease.
pub struct Lease {
    attempt: id::Attempt,
    addr: SocketAddr,
    until: Cell<time::Instant>,
    stopped: Cell<bool>,
    changed: Notify,
    _watch: Option<Watch>,
}

/// Keeps usage reports coming while a task with a declared size runs.
struct Watch {
    shared: Rc<Shared>,
    addr: SocketAddr,
}

impl Drop for Watch {
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

    /// Sets how many connections to the backend server may be open at once. The messages of the
    /// platform share them with the tasks.
    pub fn set_connections(&self, connections: u16) {
        let mut client = self.shared.client.borrow_mut();
        if client.as_ref().is_none_or(|(held, _)| *held != connections) {
            let keep_alive = self.shared.keep_alive;
            let new = http::Client::with_keep_alive(connections.into(), keep_alive);
            *client = Some((connections, new));
        }
    }

    fn tell(&self, lease: &Lease, path: &'static str) {
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
                limit: USAGE_MAX_BYTES,
            };
            if let Ok(Err(e)) = time::timeout(limit, client.call(call)).await {
                log::warn!("event=platform_call_failed path={path} attempt={attempt} error={e:?}");
            }
        });
    }
}

impl Platform for Worker {
    type Lease = Lease;

    fn start(&self, order: &Order, length: Duration) -> Lease {
        let sized = order.needs != job::Needs::default();
        Lease {
            attempt: order.attempt,
            addr: order.addr,
            until: Cell::new(time::Instant::now() + length),
            stopped: Cell::new(false),
            changed: Notify::new(),
            _watch: sized.then(|| watch(&self.shared, order.addr)),
        }
    }

    async fn run(&self, lease: &Lease, order: Order) -> End {
        let call = self.shared.call(order);
        tokio::pin!(call);
        loop {
            tokio::select! {
                biased;
                end = &mut call => return end,
                () = lease.changed.notified() => {
                    if lease.stopped.get() {
                        return End::Stopped;
                    }
                }
                () = time::sleep_until(lease.until.get()) => {
                    if lease.until.get() <= time::Instant::now() {
                        return End::LeaseExpired;
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
        self.tell(lease, "/checkpoint");
    }

    fn throttle(&self, lease: &Lease) {
        self.tell(lease, "/throttle");
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
            limit: USAGE_MAX_BYTES,
        };
        let answer = time::timeout(self.usage_interval, client.call(call)).await.ok()?.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    async fn call(&self, order: Order) -> End {
        let Some(client) = self.client() else {
            return End::Unreachable("no backend server announced".into());
        };
        let body = encode(&order);
        let attempt = order.attempt.to_string();
        let call = http::Call {
            method: Method::POST,
            addr: order.addr,
            path: "/run",
            headers: &[(announce::ATTEMPT_HEADER, &attempt), ("content-type", "application/json")],
            body: body.into(),
            limit: self.answer_max_bytes,
        };
        match client.call(call).await {
            Ok(answer) => checked(&attempt, answer),
            Err(CallError::NotSent(unsent)) => End::Unreachable(unsent.reason),
            Err(e) => End::Unknown(e.to_string()),
        }
    }
}

/// The body of an [`announce::Run`]. Its input was checked by the entry and is not parsed again.
fn encode(order: &Order) -> String {
    let account = json!(order.account.0);
    let kind = json!(order.kind);
    format!("{{\"team\":{account},\"kind\":{kind},\"input\":{}}}", order.input)
}

/// Takes an answer only if it is whole, valid, and for this attempt.
fn checked(attempt: &str, answer: http::Answer) -> End {
    let echoed = answer.header(announce::ATTEMPT_HEADER);
    if echoed != Some(attempt) {
        return End::Unknown(format!("answer is for attempt {echoed:?}"));
    }
    let Ok(text) = String::from_utf8(answer.body.to_vec()) else {
        return End::Unknown("answer is not UTF-8".into());
    };
    if !answer.status.is_success() {
        let detail: String = text.chars().take(DETAIL_MAX_BYTES).collect();
        return End::Failed(format!("status {}: {detail}", answer.status.as_u16()));
    }
    // Without a stated length only a text that has its own end is known to be whole.
    let ends_itself = text.trim_start().starts_with(['{', '[', '"']);
    if !answer.sized && !ends_itself {
        return End::Unknown("answer states no length".into());
    }
    match serde_json::from_str::<serde::de::IgnoredAny>(&text) {
        Ok(_) => End::Answered(text),
        Err(e) => End::Unknown(format!("answer is not JSON: {e}")),
    }
}

fn watch(shared: &Rc<Shared>, addr: SocketAddr) -> Watch {
    *shared.watched.borrow_mut().entry(addr).or_default() += 1;
    if !shared.polling.replace(true) {
        actix_rt::spawn(poll_usage(shared.clone()));
    }
    Watch { shared: shared.clone(), addr }
}

/// Fetches usage reports until no task with a declared size is left.
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
