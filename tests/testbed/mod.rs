//! Testbed of one sidecar process with a simulated control instance and the stand-in backend
//! server.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_http::Method;
use briargauge::{
    protocol::{
        id, job,
        wire::sidecar::{self, NotStarted, Reply, RunResult},
    },
    transport::{
        http,
        rpc::{self, Link},
    },
};
use serde_json::{Value, json};

use crate::workdir::{self, Daemon, Program, Workdir};

pub mod control;

/// Epoch of the only live entry session.
pub const EPOCH: u64 = 5;
/// Listen address with any free port.
pub const HOST: &str = "127.0.0.1:0";

/// One sidecar with its backend server and its control instance.
pub struct Testbed {
    pub dir: Workdir,
    pub control: control::Control,
    pub sidecar: Daemon,
    pub backend: Daemon,
    pub link: std::rc::Rc<Link<sidecar::ServiceClient>>,
    pub incarnation: id::Incarnation,
}

impl Testbed {
    pub async fn new() -> Testbed {
        Testbed::with_settings(json!({}), json!({})).await
    }

    /// Starts all three with additional settings: the first value is for the sidecar, the second
    /// for the backend server.
    pub async fn with_settings(sidecar: Value, backend: Value) -> Testbed {
        let dir = Workdir::new();
        let control = control::Control::start(&[EPOCH]);
        let sidecar = start_sidecar(&dir, &control, HOST, sidecar);
        let backend = start_backend(&dir, sidecar.http(), HOST, backend);
        let incarnation = serving(&control, None).await;
        let link = Link::new(sidecar.rpc());
        Testbed { dir, control, sidecar, backend, link, incarnation }
    }

    /// Sends an attempt and waits until it has ended.
    pub async fn run(&self, seq: u64, input: Value) -> Reply {
        self.send(self.task(seq, input)).await
    }

    pub async fn send(&self, task: sidecar::Task) -> Reply {
        send(&self.link, task).await
    }

    pub fn task(&self, seq: u64, input: Value) -> sidecar::Task {
        task(self.incarnation, seq, input)
    }

    pub async fn metrics(&self) -> String {
        let answer = request(Method::GET, self.sidecar.http(), "/metrics", String::new()).await;
        String::from_utf8(answer.body.to_vec()).unwrap()
    }

    /// Number of starts per line of the file to which the backend server appends them.
    pub fn starts_in_file(&self) -> Value {
        let mut starts = std::collections::BTreeMap::<String, u64>::new();
        for line in std::fs::read_to_string(self.dir.path("starts")).unwrap().lines() {
            *starts.entry(line.into()).or_default() += 1;
        }
        json!(starts)
    }

    /// Number of starts of each attempt, as the backend server reports it.
    pub async fn starts(&self) -> Value {
        get(self.backend.http(), "/starts").await
    }

    pub async fn fault(&self, fault: Value) {
        post(self.backend.http(), "/fault", fault).await;
    }
}

pub fn start_sidecar(
    dir: &Workdir,
    control: &control::Control,
    http: &str,
    extra: Value,
) -> Daemon {
    let mut settings = json!({
        "http": http, "rpc": HOST, "control": [control.addr],
        "data_centre": "saga", "rack": "s1", "linger_ms": 100, "sync_interval_ms": 100
    });
    merge(&mut settings, extra);
    dir.start(Program::Sidecar, "sidecar", &settings.to_string())
}

pub fn start_backend(dir: &Workdir, sidecar: SocketAddr, http: &str, extra: Value) -> Daemon {
    let starts = dir.path("starts");
    let mut settings =
        json!({ "http": http, "sidecar": sidecar, "name": "b1", "starts_file": starts });
    merge(&mut settings, extra);
    dir.start(Program::Backend, "backend", &settings.to_string())
}

pub fn merge(into: &mut Value, extra: Value) {
    let Value::Object(extra) = extra else { panic!("settings are an object") };
    into.as_object_mut().unwrap().extend(extra);
}

pub fn task(incarnation: id::Incarnation, seq: u64, input: Value) -> sidecar::Task {
    sidecar::Task {
        attempt: attempt(seq),
        incarnation,
        account: id::Account("repair".into()),
        kind: "quote".into(),
        input: input.to_string(),
        declared_ms: None,
        needs: job::Needs::default(),
        left_ms: 30_000,
    }
}

pub fn attempt(seq: u64) -> id::Attempt {
    id::Attempt { execution: id::Execution { epoch: id::Epoch(EPOCH), seq }, task: 0, number: 0 }
}

pub async fn send(link: &Link<sidecar::ServiceClient>, task: sidecar::Task) -> Reply {
    let call =
        |c: sidecar::ServiceClient| async move { c.run(rpc::context(workdir::LIMIT), task).await };
    link.call("run", call).await.unwrap()
}

/// Polls `done` until it returns a value, without blocking other futures.
pub async fn until<T>(what: &str, mut done: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + workdir::LIMIT;
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "timed out after {:?} waiting for {what}",
            workdir::LIMIT
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the sidecar has reported a backend server whose incarnation is not `old` to control.
pub async fn serving(control: &control::Control, old: Option<id::Incarnation>) -> id::Incarnation {
    until("the sidecar to report a newly announced backend server", async || {
        let incarnation = control.server()?.incarnation;
        (Some(incarnation) != old).then_some(incarnation)
    })
    .await
}

pub async fn request(method: Method, addr: SocketAddr, path: &str, body: String) -> http::Answer {
    let answer_max_bytes = 16 * 1024 * 1024;
    let body = body.into();
    let call = http::Call { method, addr, path, headers: &[], body, answer_max_bytes };
    http::Client::new(1).call(call).await.unwrap()
}

pub async fn get(addr: SocketAddr, path: &str) -> Value {
    let answer = request(Method::GET, addr, path, String::new()).await;
    serde_json::from_slice(&answer.body).unwrap()
}

pub async fn post(addr: SocketAddr, path: &str, body: Value) -> http::Answer {
    request(Method::POST, addr, path, body.to_string()).await
}

pub fn refused(reply: &Reply) -> Option<NotStarted> {
    match &reply.result {
        RunResult::NotStarted { reason } => Some(*reason),
        _ => None,
    }
}

pub fn failed(reply: &Reply) -> Option<job::Failure> {
    match &reply.result {
        RunResult::Failed { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Reserves a port that refuses connections until a program listens there. While the socket is
/// kept, no other process can be given the port, not even between two starts of that program.
pub fn closed_port() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(HOST.parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}
