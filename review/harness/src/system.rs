//! A small deployment on loopback addresses: the project's programs as separate processes, started
//! with the commands of `deploy/system.toml` and settings as its templates render them.

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    runner::{self, Runner},
};

/// Clients' and operators' names of the queue.
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/desk/";
pub const SERVICE: &str = "repair-desk";
/// Zones of the machines, in turn.
const ZONES: [&str; 3] = ["fukuoka", "kurume", "saga"];
const START_LIMIT: Duration = Duration::from_secs(20);
const HEARTBEAT_MS: u64 = 1_500;

pub struct Shape {
    pub cores: usize,
    pub entries: usize,
    /// `cpu` of each runner.
    pub runners: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Control,
    Entry,
    Sidecar,
}

struct Process {
    role: Role,
    number: usize,
    child: Child,
}

pub struct System {
    net: [u8; 3],
    port: u16,
    folder: PathBuf,
    shape: Shape,
    /// Control instances that the settings name as seeds.
    pub seeds: Vec<usize>,
    processes: Vec<Process>,
    pub runners: Vec<Arc<Runner>>,
    pub record: Record,
}

impl System {
    /// Starts all processes and runners, and returns once a config is accepted, the entries are
    /// ready and each runner holds a lease.
    pub fn start(record: &Record, shape: Shape) -> Result<System, String> {
        let id = process::id();
        let net = [127, 64 + (id % 128) as u8, (id / 128 % 256) as u8];
        let folder = env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut system = System {
            net,
            port: 0,
            folder,
            seeds: (0..3.min(shape.cores)).collect(),
            shape,
            processes: Vec::new(),
            runners: Vec::new(),
            record: record.clone(),
        };
        system.port = system.free_ports().ok_or("no free ports")?;
        for number in 0..system.shape.cores {
            system.spawn(Role::Control, number, true)?;
        }
        for number in 0..system.shape.entries {
            system.spawn(Role::Entry, number, true)?;
        }
        for number in 0..system.shape.runners.len() {
            system.spawn(Role::Sidecar, number, true)?;
            let settings = system.runner_settings(number);
            system.runners.push(Runner::start(settings, record.clone()));
        }
        system.wait_until_ready()?;
        record.add("the system is ready");
        Ok(system)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + START_LIMIT;
        let limit = Duration::from_secs(1);
        let mut core = 0;
        loop {
            let answer = http::request(
                self.operator(core),
                "PUT",
                "/config",
                "Host: op\r\n",
                &config(1),
                limit,
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                break;
            }
            core = (core + 1) % self.shape.cores;
            if Instant::now() > end {
                return Err("no config was accepted".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        loop {
            let ready = (0..self.shape.entries).all(|entry| {
                let answer =
                    http::request(self.ready(entry), "GET", "/ready", "Host: lb\r\n", "", limit);
                answer.is_ok_and(|answer| answer.status() == 200)
            });
            if ready && self.runners.iter().all(|runner| runner.holds() > 2) {
                break;
            }
            if Instant::now() > end {
                return Err("an entry or a runner did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_millis(1_000));
        Ok(())
    }

    fn free_ports(&self) -> Option<u16> {
        let first = 21_000 + (process::id() % 1_000) as u16 * 8;
        let free = |ip: IpAddr, port: u16| TcpListener::bind((ip, port)).is_ok();
        (0..100).map(|step| first + step * 8).find(|port| {
            // One more for a control instance that replaces another.
            let ips = (0..self.shape.cores + 1)
                .map(|number| self.ip(Role::Control, number))
                .chain((0..self.shape.entries).map(|number| self.ip(Role::Entry, number)))
                .chain((0..self.shape.runners.len()).map(|n| self.ip(Role::Sidecar, n)));
            ips.into_iter().all(|ip| (0..5).all(|offset| free(ip, port + offset)))
        })
    }

    fn ip(&self, role: Role, number: usize) -> IpAddr {
        let first = match role {
            Role::Control => 10,
            Role::Entry => 30,
            Role::Sidecar => 50,
        };
        let [a, b, c] = self.net;
        IpAddr::V4(Ipv4Addr::new(a, b, c, first + number as u8))
    }

    fn addr(&self, role: Role, number: usize, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(role, number), self.port + offset)
    }

    pub fn operator(&self, core: usize) -> SocketAddr {
        self.addr(Role::Control, core, 2)
    }

    pub fn front(&self, entry: usize) -> SocketAddr {
        self.addr(Role::Entry, entry, 2)
    }

    fn ready(&self, entry: usize) -> SocketAddr {
        self.addr(Role::Entry, entry, 3)
    }

    fn runner_settings(&self, number: usize) -> runner::Settings {
        runner::Settings {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            zone: ZONES[number % 3].to_owned(),
            app: self.addr(Role::Sidecar, number, 4),
            control: self.addr(Role::Sidecar, number, 2),
            cpu: self.shape.runners[number],
            labels: vec!["a".to_owned(), format!("r1-{}", number / 3 + 1)],
            heartbeat_ms: HEARTBEAT_MS,
        }
    }

    /// Starts a process, again after the first time.
    pub fn spawn(&mut self, role: Role, number: usize, first: bool) -> Result<(), String> {
        let (program, name) = match role {
            Role::Control => ("target/release/platform-control", format!("core-{number}")),
            Role::Entry => ("target/release/platform-entry", format!("edge-{number}")),
            Role::Sidecar => ("target/release/platform-sidecar", format!("side-{number}")),
        };
        let seeds: Vec<String> =
            self.seeds.iter().map(|n| format!("\"{}\"", self.operator(*n))).collect();
        let common = format!(
            "\"common\":{{\"name\":\"{name}\",\"ip\":\"{}\",\"port\":{},\"seeds\":[{}],\"grace_s\":6}}",
            self.ip(role, number),
            self.port,
            seeds.join(",")
        );
        let own = match role {
            Role::Control => {
                let data = self.folder.join(format!("data-{number}"));
                fs::create_dir_all(&data).map_err(|e| e.to_string())?;
                format!(
                    "\"operators\":\"{}\",\"data_folder\":\"{}\",\"first_start\":{first},\"losses\":{},\"status_s\":120",
                    self.operator(number),
                    data.display(),
                    (self.shape.cores - 1) / 2
                )
            }
            Role::Entry => {
                format!(
                    "\"callers\":\"{}\",\"ready\":\"{}\"",
                    self.front(number),
                    self.ready(number)
                )
            }
            Role::Sidecar => format!(
                "\"announcements\":\"{}\",\"max_lease_ms\":1000",
                self.addr(role, number, 2)
            ),
        };
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, format!("{{{common},{own}}}")).map_err(|e| e.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(Path::new(program))
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("BRIARGAUGE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{program}: {e}"))?;
        self.processes.push(Process { role, number, child });
        if !first {
            self.record.add(format!("platform: {name} is started again"));
        }
        Ok(())
    }

    /// Sends a signal to a process, by its id.
    pub fn signal(&self, role: Role, number: usize, signal: &str) {
        let process = self.processes.iter().rev().find(|p| p.role == role && p.number == number);
        let Some(process) = process else { return };
        self.record.add(format!("platform: {signal} to {role:?} {number}"));
        let command = format!("kill {signal} {}", process.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Waits for the end of a process.
    pub fn wait(&mut self, role: Role, number: usize) {
        let process =
            self.processes.iter_mut().rev().find(|p| p.role == role && p.number == number);
        if let Some(process) = process {
            let _ = process.child.wait();
            self.record.add(format!("platform: {role:?} {number} has ended"));
        }
    }

    /// Empties the data folder of a control instance whose process has ended.
    pub fn wipe(&self, core: usize) {
        self.record.add(format!("platform: Control {core} loses its disk"));
        let _ = fs::remove_dir_all(self.folder.join(format!("data-{core}")));
    }

    /// Sends a config to one control instance after another until one has acknowledged it.
    pub fn configure(&self, cores: &[usize], version: u64, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let body = config(version);
        for core in cores.iter().cycle() {
            let answer = self.operate(*core, "PUT", &body);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends an operator's request to a control instance.
    pub fn operate(&self, core: usize, method: &str, body: &str) -> Option<Message> {
        let limit = Duration::from_secs(1);
        let answer =
            http::request(self.operator(core), method, "/config", "Host: op\r\n", body, limit)
                .ok()?;
        let version = crate::json::parse(if body.is_empty() { &answer.body } else { body });
        let version = version.and_then(|config| config.number("version"));
        self.record.add(format!(
            "operator: {method} /config at core {core}, version {version:?}: answered {}",
            answer.status()
        ));
        Some(answer)
    }

    /// All runs of all runners, by start.
    pub fn runs(&self) -> Vec<runner::Run> {
        let mut runs: Vec<runner::Run> = self.runners.iter().flat_map(|r| r.runs()).collect();
        runs.sort_by_key(|run| run.started);
        runs
    }

    /// Sends a client's request on a channel of its own.
    pub fn client(
        &self,
        entry: usize,
        method: &str,
        id: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Option<Message> {
        let headers = client_headers(deadline_ms);
        let path = format!("{PREFIX}{id}");
        self.record.add(format!("client: {method} {path} at edge {entry}"));
        let limit = Duration::from_millis(deadline_ms);
        let answer = http::request(self.front(entry), method, &path, &headers, body, limit);
        match answer {
            Ok(answer) => {
                self.record.add(format!(
                    "client: {method} {path} answered {} {}",
                    answer.status(),
                    answer.body
                ));
                Some(answer)
            }
            Err(e) => {
                self.record
                    .add(format!("client: {method} {path} without an answer: {:?}", e.kind()));
                None
            }
        }
    }

    /// Submits a job until it is accepted, as a client does.
    pub fn submit(&self, entry: usize, id: &str, body: &str) -> bool {
        for _ in 0..5 {
            match self.client(entry, "POST", id, 1_500, body).map(|answer| answer.status()) {
                Some(200) => return true,
                Some(502 | 504) | None => thread::sleep(Duration::from_millis(300)),
                Some(_) => return false,
            }
        }
        false
    }

    /// State of a job, as a client reads it.
    pub fn state(&self, entry: usize, id: &str) -> Option<String> {
        let answer = self.client(entry, "GET", id, 1_500, "")?;
        let state = crate::json::parse(&answer.body)?.text("state").map(str::to_owned);
        state.or_else(|| Some(answer.status().to_string()))
    }

    /// Lets the logs of the processes be read after a failure.
    pub fn keep_logs(&self) -> Option<PathBuf> {
        env::var_os("KEEP_LOGS").map(|_| self.folder.clone())
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.runners.iter().for_each(|runner| runner.stop());
        if self.keep_logs().is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn client_headers(deadline_ms: u64) -> String {
    format!("Host: {HOST}\r\nX-Briargauge-Deadline-Ms: {deadline_ms}\r\n")
}

/// Id of the client's job `number`.
pub fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + number)
}

/// A config with one queue.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\"routeType\":\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":60,\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\"sloFactor\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforceCapacity\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}
