//! A complete system of separate processes.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    process::Output,
    thread::{self, JoinHandle},
};

use actix_http::Method;
use briargauge::{
    cmd::util,
    protocol::{job, wire::control},
};
use serde_json::{Value, json};

use super::{Daemon, Program, Workdir, wait_for};

/// Control instances, entries, and sidecars with their backend servers.
pub struct System {
    pub dir: Workdir,
    pub controls: Vec<Option<Daemon>>,
    pub entries: Vec<Daemon>,
    pub sidecars: Vec<Option<Daemon>>,
    pub backends: Vec<Option<Daemon>>,
    /// Loopback address that only this system uses, so that no other process takes a port between a
    /// kill and the restart at the same address.
    host: String,
    addrs: Vec<Addrs>,
}

/// Addresses of a control instance.
#[derive(Debug, Clone, Copy)]
struct Addrs {
    http: SocketAddr,
    rpc: SocketAddr,
    peer: SocketAddr,
}

impl System {
    /// Starts all processes and waits until every entry completes a request.
    pub fn new(controls: usize, entries: usize, servers: usize) -> System {
        let draw = rand::random::<[u8; 3]>();
        let host = format!("127.{}.{}.{}", draw[0], draw[1], draw[2].clamp(2, 250));
        let mut system = System {
            dir: Workdir::new(),
            controls: Vec::new(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            backends: Vec::new(),
            host,
            addrs: Vec::new(),
        };
        for n in 0..controls {
            system.add_control(n);
        }
        system.wait_for_voters(controls);
        for n in 0..servers {
            let sidecar = system.start_sidecar(n);
            system.sidecars.push(Some(sidecar));
            let backend = system.start_backend(n);
            system.backends.push(Some(backend));
        }
        wait_for("the announcement of all backend servers", || {
            (system.servers() == servers).then_some(())
        });
        for n in 0..entries {
            let entry = system.start_entry(n);
            system.entries.push(entry);
        }
        system
    }

    fn any_port(&self) -> String {
        format!("{}:0", self.host)
    }

    /// Starts a control instance. The first one forms the group, each other one is added to it.
    fn add_control(&mut self, n: usize) {
        let any: SocketAddr = self.any_port().parse().unwrap();
        let control = self.start_control(n, Addrs { http: any, rpc: any, peer: any });
        self.addrs.push(Addrs {
            http: control.http(),
            rpc: control.rpc(),
            peer: control.peer.unwrap(),
        });
        let rpc = control.rpc().to_string();
        self.controls.push(Some(control));
        if n == 0 {
            self.cli_ok(&["init", "--control", &rpc]);
        } else {
            self.cli_ok(&["members", "add", &rpc]);
        }
    }

    fn start_control(&self, n: usize, addrs: Addrs) -> Daemon {
        let peers: Vec<SocketAddr> = self.addrs.iter().map(|a| a.peer).collect();
        let settings = json!({
            "node": n + 1, "data_folder": self.data_dir(n), "http": addrs.http, "rpc": addrs.rpc,
            "peer": addrs.peer, "peers": peers,
        });
        self.dir.start(Program::Control, &format!("control-{n}"), &settings.to_string())
    }

    /// Data directory of a control instance.
    pub fn data_dir(&self, n: usize) -> std::path::PathBuf {
        self.dir.path(&format!("data-{n}"))
    }

    /// Kills a control instance (SIGKILL).
    pub fn kill_control(&mut self, n: usize) {
        self.controls[n].take().unwrap().kill();
    }

    /// Starts a killed control instance at its old addresses.
    pub fn restart_control(&mut self, n: usize) {
        self.controls[n] = Some(self.start_control(n, self.addrs[n]));
    }

    pub fn start_sidecar(&self, n: usize) -> Daemon {
        let settings = json!({
            "http": self.any_port(), "rpc": self.any_port(), "data_centre": "dc",
            "rack": format!("r{n}"), "control": self.control_addrs(),
        });
        self.dir.start(Program::Sidecar, &format!("sidecar-{n}"), &settings.to_string())
    }

    pub fn start_backend(&self, n: usize) -> Daemon {
        let settings = json!({
            "http": self.any_port(), "sidecar": self.sidecars[n].as_ref().unwrap().http(),
            "name": format!("server-{n}"), "starts_file": self.dir.path(&format!("starts-{n}")),
        });
        self.dir.start(Program::Backend, &format!("backend-{n}"), &settings.to_string())
    }

    /// Starts an entry and waits until it completes a request.
    pub fn start_entry(&self, n: usize) -> Daemon {
        let settings = json!({
            "http": self.any_port(), "rpc": self.any_port(), "data_centre": "dc",
            "control": self.control_addrs(), "limits": {"drain_notice_ms": 200},
        });
        let entry = self.dir.start(Program::Entry, &format!("entry-{n}"), &settings.to_string());
        wait_for("the entry to complete a request", || {
            let job = json!({"team": "probe", "idempotent": true,
                "task": {"kind": "probe", "input": {"work_ms": 0}}});
            matches!(post(entry.http(), "/v1/requests", job), Some(job::Response::Completed { .. }))
                .then_some(())
        });
        entry
    }

    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        self.addrs.iter().map(|a| a.rpc).collect()
    }

    fn control_list(&self) -> String {
        self.control_addrs().iter().map(|a| a.to_string()).collect::<Vec<_>>().join(",")
    }

    /// Runs the command line with the control instances' addresses.
    pub fn cli(&self, args: &[&str]) -> Output {
        let list = self.control_list();
        let mut all = args.to_vec();
        if !args.contains(&"--control") {
            all.extend(["--control", &list]);
        }
        self.dir.run(Program::Main, &all)
    }

    /// Runs a command as `cli` does, asserts that it succeeds and returns stdout.
    pub fn cli_ok(&self, args: &[&str]) -> String {
        let output = self.cli(args);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {stderr}");
        String::from_utf8(output.stdout).unwrap()
    }

    /// Status of each control instance that answers.
    pub fn statuses(&self) -> Vec<control::Status> {
        let text = self.cli_ok(&["members", "--json"]);
        let all: Vec<(SocketAddr, Option<control::Status>)> = serde_json::from_str(&text).unwrap();
        all.into_iter().filter_map(|(_, status)| status).collect()
    }

    /// Index of the leading control instance. Waits until there is one; if two claim to lead, the
    /// one of the higher term counts.
    pub fn leader(&self) -> usize {
        wait_for("a leader", || {
            let leads = |s: &&control::Status| s.role == control::Role::Leader;
            let statuses = self.statuses();
            let leader = statuses.iter().filter(leads).max_by_key(|s| s.term)?;
            Some(leader.node.0 as usize - 1)
        })
    }

    /// Waits until the group has `count` members and all of them vote.
    pub fn wait_for_voters(&self, count: usize) {
        wait_for("all members of the group to vote", || {
            let statuses = self.statuses();
            let leader = statuses.iter().find(|s| s.role == control::Role::Leader)?;
            let votes = leader.members.iter().filter(|v| v.votes).count();
            (votes == count && leader.members.len() == count).then_some(())
        });
    }

    /// Waits until three members vote, one of them instance `n` with its current data directory,
    /// which its disk id identifies.
    pub fn wait_for_replaced_voter(&self, n: usize) {
        wait_for("the instance with the new data directory to vote", || {
            let statuses = self.statuses();
            let new = statuses.iter().find(|s| s.node.0 as usize == n + 1)?.disk;
            let leader = statuses.iter().find(|s| s.role == control::Role::Leader)?;
            let votes = leader.members.iter().filter(|v| v.votes).count();
            (votes == 3 && leader.members.iter().any(|v| v.disk == new && v.votes)).then_some(())
        });
    }

    /// Number of announced backend servers.
    pub fn servers(&self) -> usize {
        self.cli_ok(&["servers"]).lines().count()
    }

    /// Number of starts by the tag of the task (see `job`), as the backend servers have recorded
    /// them.
    pub fn starts(&self) -> BTreeMap<String, usize> {
        let mut starts = BTreeMap::new();
        for n in 0..self.backends.len() {
            let text = fs::read_to_string(self.dir.path(&format!("starts-{n}")));
            for tag in text.unwrap_or_default().lines().filter_map(|l| l.split(' ').nth(1)) {
                *starts.entry(tag.to_owned()).or_default() += 1;
            }
        }
        starts
    }

    /// Number of starts of all tasks.
    pub fn started(&self) -> usize {
        self.starts().values().sum()
    }

    /// Posts to an entry; `None` if there is no complete response.
    pub fn post(&self, entry: usize, path: &str, body: Value) -> Option<job::Response> {
        post(self.entries[entry].http(), path, body)
    }

    /// Posts as `post` does, but on another thread.
    pub fn post_later(
        &self,
        entry: usize,
        path: &'static str,
        body: Value,
    ) -> JoinHandle<Option<job::Response>> {
        let addr = self.entries[entry].http();
        thread::spawn(move || post(addr, path, body))
    }
}

/// Posts to an entry; `None` if there is no complete response.
pub fn post(entry: SocketAddr, path: &str, body: Value) -> Option<job::Response> {
    let body = body.to_string().into_bytes();
    util::block_on(util::call_entry(entry, Method::POST, path, Some(body))).ok()
}

/// A job of tasks that each take `work_ms`. The tag of task `n` is `{key}/{n}`.
pub fn job(key: &str, tasks: usize, work_ms: u64) -> Value {
    let tasks: Vec<Value> = (0..tasks)
        .map(|n| json!({"kind": "quote", "input": {"work_ms": work_ms, "tag": format!("{key}/{n}")}}))
        .collect();
    let created_at_ms = briargauge::util::unix_ms();
    json!({"team": "desk", "key": key, "created_at_ms": created_at_ms, "deadline_ms": 20_000,
        "tasks": tasks})
}

/// The response as JSON.
pub fn text(response: &job::Response) -> String {
    serde_json::to_string(response).unwrap()
}
