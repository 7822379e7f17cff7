//! Simulated control instances and sidecars, which run in the test's own process, and a caller.
#![allow(dead_code, reason = "each test file uses only some of these")]

pub mod control;
pub mod relay;
pub mod sidecar;

use std::{future::Future, net::SocketAddr, rc::Rc, time::Duration};

use briargauge::{
    daemon::Process,
    entry::{
        Entry,
        settings::{Dispatch, Limits, Settings},
    },
};
use serde_json::{Value, json};
use tokio::time::{self, Instant};

/// Longest wait for a condition; only a failing test reaches it.
const LIMIT: Duration = Duration::from_secs(20);

/// Runs a test on a runtime of its own, with a time limit.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new()
        .block_on(async { time::timeout(LIMIT * 3, test).await })
        .expect("the test exceeded its time limit")
}

/// Polls a condition until it holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {LIMIT:?} waiting for {what}");
        time::sleep(Duration::from_millis(2)).await;
    }
}

/// Any free port of the loopback interface.
pub fn any() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Limits with short intervals, so that tests do not wait.
pub fn limits() -> Limits {
    Limits {
        sync_interval_ms: 20,
        drain_notice_ms: 50,
        drain_limit_ms: 10_000,
        ..Limits::default()
    }
}

/// Starts an entry and returns it with the address for callers. It receives the server list only
/// after its first report: see `Control::synced`.
pub async fn entry(control: &[SocketAddr], limits: Limits) -> (Entry, SocketAddr) {
    let settings = Settings {
        http: any(),
        rpc: any(),
        advertise: None,
        data_centre: "fukuoka".into(),
        control: control.to_vec(),
        limits,
        dispatch: Dispatch::default(),
    };
    let entry = Entry::start(settings).await.unwrap();
    let addr = entry.listening().http.unwrap();
    (entry, addr)
}

/// One control instance, one sidecar and one entry.
pub struct World {
    pub control: Rc<control::Control>,
    pub sidecar: Rc<sidecar::Sidecar>,
    pub entry: Entry,
    pub addr: SocketAddr,
}

impl World {
    pub async fn new() -> World {
        World::with_limits(limits()).await
    }

    pub async fn with_limits(limits: Limits) -> World {
        let control = control::Control::start().await;
        let sidecar = sidecar::Sidecar::start().await;
        control.add(sidecar.as_server());
        let (entry, addr) = entry(&[control.addr()], limits).await;
        control.synced(1).await;
        World { control, sidecar, entry, addr }
    }
}

/// An HTTP response of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub code: u16,
    pub body: Value,
    pub text: String,
    pub request: String,
    pub retry_after: Option<String>,
    pub close: bool,
}

impl Answer {
    pub fn status(&self) -> &str {
        self.body["status"].as_str().unwrap_or("")
    }

    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or("")
    }

    /// Code, status and reason in one line, for comparisons.
    pub fn short(&self) -> String {
        format!("{} {} {}", self.code, self.status(), self.reason()).trim_end().to_owned()
    }
}

/// Posts a body over a new connection.
pub async fn post(addr: SocketAddr, path: &str, body: impl Into<String>) -> Answer {
    post_by(&client(), addr, path, body).await
}

/// Posts a body with a given client, which reuses its connections.
pub async fn post_by(
    client: &awc::Client,
    addr: SocketAddr,
    path: &str,
    body: impl Into<String>,
) -> Answer {
    read(client.post(format!("http://{addr}{path}")).send_body(body.into()).await.unwrap()).await
}

pub async fn get(addr: SocketAddr, path: &str) -> Answer {
    read(client().get(format!("http://{addr}{path}")).send().await.unwrap()).await
}

pub fn client() -> awc::Client {
    awc::Client::builder().timeout(LIMIT).finish()
}

async fn read<S>(mut response: awc::ClientResponse<S>) -> Answer
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let header = |name| response.headers().get(name).map(|v| v.to_str().unwrap().to_owned());
    let (request, retry_after) = (header("x-request").unwrap_or_default(), header("retry-after"));
    let close = header("connection").is_some_and(|c| c == "close");
    let code = response.status().as_u16();
    let bytes = response.body().limit(64 << 20).await.unwrap();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let body = serde_json::from_str(&text).unwrap_or_default();
    Answer { code, body, text, request, retry_after, close }
}

/// A job whose tasks have the given inputs.
pub fn job(key: &str, inputs: &[Value]) -> Value {
    let tasks: Vec<Value> = inputs.iter().map(|i| json!({"kind": "quote", "input": i})).collect();
    json!({"team": "desk", "key": key, "created_at_ms": 1, "tasks": tasks})
}

/// A job with a number as the input of each task.
pub fn numbered(key: &str, tasks: usize) -> Value {
    job(key, &(0..tasks).map(Value::from).collect::<Vec<_>>())
}
