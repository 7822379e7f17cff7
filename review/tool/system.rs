//! The programs of the deploy file as separate processes on loopback addresses, with settings that
//! are rendered from the templates of the deploy file.

use std::{
    fs,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{http, proxy::Proxy, record::Record};

/// Offsets of a process's ports from the first one of `portRange`.
const CONTROL: u16 = 20;
const FRONT: u16 = 21;
const READY: u16 = 22;
const APP: u16 = 23;

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Control,
    Entry,
    Sidecar,
}

impl Kind {
    fn role(self) -> &'static str {
        match self {
            Kind::Control => "control",
            Kind::Entry => "entry",
            Kind::Sidecar => "sidecar",
        }
    }

    fn first_host(self) -> u8 {
        match self {
            Kind::Control => 10,
            Kind::Entry => 30,
            Kind::Sidecar => 50,
        }
    }
}

struct Process {
    kind: Kind,
    number: u8,
    child: Child,
}

/// How large the system is.
pub struct Size {
    pub controls: u8,
    pub losses: u8,
    pub entries: u8,
    pub sidecars: u8,
}

pub struct System {
    size: Size,
    root: PathBuf,
    folder: PathBuf,
    net: u8,
    port: u16,
    processes: Vec<Process>,
    /// The sidecar whose path to all control instances leads through proxies, or the entry whose path
    /// to them and to all sidecars does.
    proxied: Option<(Kind, u8)>,
    pub proxies: Vec<Proxy>,
    pub record: Arc<Record>,
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs are kept in {}", self.folder.display());
        }
    }
}

impl System {
    pub fn new(
        root: &Path,
        size: Size,
        proxied: Option<(Kind, u8)>,
        record: Arc<Record>,
    ) -> System {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("briargauge-review-{pid}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let net = 1 + (pid % 250) as u8;
        let mut system = System {
            size,
            root: root.to_owned(),
            folder,
            net,
            port: 0,
            processes: Vec::new(),
            proxied,
            proxies: Vec::new(),
            record,
        };
        system.port = (20_000 + (pid % 300) as u16 * 30..)
            .step_by(30)
            .find(|port| system.ports_free(*port))
            .expect("there are free ports");
        system
    }

    fn ports_free(&self, port: u16) -> bool {
        let hosts = [Kind::Control, Kind::Entry, Kind::Sidecar].map(|kind| kind.first_host());
        hosts.iter().all(|host| {
            let addr = |port| SocketAddr::from(([127, self.net, 0, *host], port));
            (port..port + 24).all(|port| TcpListener::bind(addr(port)).is_ok())
        })
    }

    pub fn addr(&self, kind: Kind, number: u8, offset: u16) -> SocketAddr {
        ([127, self.net, 0, kind.first_host() + number], self.port + offset).into()
    }

    pub fn operators(&self, number: u8) -> SocketAddr {
        self.addr(Kind::Control, number, CONTROL)
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        self.addr(Kind::Entry, number, FRONT)
    }

    pub fn announcements(&self, number: u8) -> SocketAddr {
        self.addr(Kind::Sidecar, number, CONTROL)
    }

    pub fn app(&self, number: u8) -> SocketAddr {
        self.addr(Kind::Sidecar, number, APP)
    }

    /// Starts all processes, sends the first configuration and waits until the entries are ready.
    pub fn start(&mut self, config: &str) -> Result<(), String> {
        if let Some((kind, _)) = self.proxied {
            let hosts = if kind == Kind::Sidecar { 30 } else { 100 };
            let of = |kind: Kind, count: u8| (0..count).map(move |n| kind.first_host() + n);
            let sidecars = if kind == Kind::Sidecar { 0 } else { self.size.sidecars };
            for host in of(Kind::Sidecar, sidecars).chain(of(Kind::Control, self.size.controls)) {
                let (real, shown) = ([127, self.net, 0, host], [127, self.net, 1, host]);
                self.proxies.push(Proxy::start(real, shown, self.port + 1, hosts));
            }
        }
        for number in 0..self.size.controls {
            self.launch(Kind::Control, number, true)?;
        }
        for number in 0..self.size.entries {
            self.launch(Kind::Entry, number, true)?;
        }
        for number in 0..self.size.sidecars {
            self.launch(Kind::Sidecar, number, true)?;
        }
        self.configure(config)?;
        for number in 0..self.size.entries {
            let ready = self.addr(Kind::Entry, number, READY);
            until(Duration::from_secs(15), "an entry is ready", || {
                let answer = http::call(ready, "GET", "/ready", &[], "", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            })?;
        }
        Ok(())
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, config: &str) -> Result<(), String> {
        let mut number = 0;
        until(Duration::from_secs(20), "a configuration is acknowledged", || {
            number = (number + 1) % self.size.controls;
            let addr = self.operators(number);
            let answer = http::call(addr, "PUT", "/config", &[], config, Duration::from_secs(1));
            self.record.log(format!("config node={number} answer={answer:?}"));
            answer.is_some_and(|(status, _)| status == 200)
        })
    }

    pub fn launch(&mut self, kind: Kind, number: u8, first: bool) -> Result<(), String> {
        let role = kind.role();
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml")).unwrap_or_default();
        let section = deploy.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
        let section = section.split("\n[").next().unwrap_or_default();
        let value = |key: &str| {
            let line = section.lines().find(|line| line.trim_start().starts_with(key))?;
            line.split('"').nth(1).map(str::to_owned)
        };
        let run = value("run =").ok_or("the deploy file has no command")?;
        let template = value("template =").ok_or("the deploy file has no template")?;
        let template = fs::read_to_string(self.root.join(template)).map_err(|e| e.to_string())?;
        let name = format!("{role}-{number}");
        let data = self.folder.join(format!("{name}.data"));
        if kind == Kind::Control {
            fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        }
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, self.render(&template, kind, number, &data, first))
            .map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.map_err(|e| e.to_string())?;
        let mut words = run.split(' ');
        let child = Command::new(self.root.join(words.next().unwrap_or_default()))
            .args(words)
            .current_dir(&self.root)
            .env("BRIARGAUGE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{run} does not start: {e}"))?;
        self.record.log(format!("process_up name={name}"));
        self.processes.push(Process { kind, number, child });
        Ok(())
    }

    /// Fills in a template of the deploy file. Only plain placeholders are used there.
    fn render(&self, template: &str, kind: Kind, number: u8, data: &Path, first: bool) -> String {
        let ip = self.addr(kind, number, 0).ip();
        let net = u8::from(self.proxied == Some((kind, number)));
        let seeds: Vec<String> = (0..self.size.controls.min(3))
            .map(|n| {
                let host = Kind::Control.first_host() + n;
                format!("\"127.{}.{net}.{host}:{}\"", self.net, self.port + CONTROL)
            })
            .collect();
        let listen = |offset| self.addr(kind, number, offset).to_string();
        let values = [
            ("nodeName", format!("{}-{number}", kind.role())),
            ("ip", ip.to_string()),
            ("portRange.0", self.port.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bounds.graceS", "6.0".to_owned()),
            ("bounds.status_s", "120".to_owned()),
            ("bounds.maxHoldMs", "1000".to_owned()),
            ("listen.control", listen(CONTROL)),
            ("listen.front", listen(FRONT)),
            ("listen.ready", listen(READY)),
            ("dataDir", data.display().to_string()),
            ("bootstrap|json", first.to_string()),
            ("faultTolerance.machines", self.size.losses.to_string()),
        ];
        values.iter().fold(template.to_owned(), |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        })
    }

    /// Kills a process.
    pub fn kill(&mut self, kind: Kind, number: u8) {
        let is = |process: &Process| process.kind == kind && process.number == number;
        if let Some(at) = self.processes.iter().position(is) {
            let mut process = self.processes.remove(at);
            let _ = process.child.kill();
            let _ = process.child.wait();
            self.record.log(format!("process_kill name={}-{number}", kind.role()));
        }
    }

    /// Names of the files in the data folder of a control instance.
    pub fn data(&self, number: u8) -> Vec<String> {
        let folder = self.folder.join(format!("control-{number}.data"));
        let files = fs::read_dir(folder).into_iter().flatten().flatten();
        files.filter_map(|file| file.file_name().into_string().ok()).collect()
    }

    /// Names of the snapshots of a control instance that are stored.
    pub fn snapshots(&self, number: u8) -> Vec<String> {
        let mut names = self.data(number);
        names.retain(|name| name.starts_with("snapshot-") && !name.ends_with(".tmp"));
        names.sort();
        names
    }

    /// Whether nothing was written to the log of a control instance after its newest snapshot.
    pub fn snapshot_is_newest(&self, number: u8) -> bool {
        let folder = self.folder.join(format!("control-{number}.data"));
        let newest = |wanted: &dyn Fn(&str) -> bool| {
            let names = self.data(number).into_iter().filter(|name| wanted(name));
            names.filter_map(|name| fs::metadata(folder.join(name)).ok()?.modified().ok()).max()
        };
        newest(&|name| name.starts_with("snapshot-")) > newest(&|name| name.ends_with(".log"))
    }

    /// The disk of a control instance is lost.
    pub fn wipe(&self, number: u8) -> Result<(), String> {
        self.record.log(format!("disk_lost name=control-{number}"));
        let folder = self.folder.join(format!("control-{number}.data"));
        fs::remove_dir_all(folder).map_err(|e| e.to_string())
    }

    /// Freezes a process, or lets it go on.
    pub fn freeze(&self, kind: Kind, number: u8, frozen: bool) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        const SIGCONT: i32 = 18;
        const SIGSTOP: i32 = 19;
        let is = |process: &&Process| process.kind == kind && process.number == number;
        if let Some(process) = self.processes.iter().find(is) {
            let signal = if frozen { SIGSTOP } else { SIGCONT };
            // The process is a child that has not been waited for, so the id is its own.
            unsafe { kill(process.child.id() as i32, signal) };
            self.record
                .log(format!("process_freeze name={}-{number} frozen={frozen}", kind.role()));
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, kind: Kind, number: u8) -> bool {
        let is = |process: &&mut Process| process.kind == kind && process.number == number;
        let process = self.processes.iter_mut().find(is);
        process.is_some_and(|process| !matches!(process.child.try_wait(), Ok(None)))
    }

    /// The last line that a process has logged as an error.
    pub fn last_error(&self, kind: Kind, number: u8) -> String {
        let path = self.folder.join(format!("{}-{number}.log", kind.role()));
        let log = fs::read_to_string(path).unwrap_or_default();
        let folder = self.folder.display().to_string();
        let line = log.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or_default();
        line.replace(&folder, "FOLDER")
    }

    /// Hands a job in without a line for each call in the record.
    pub fn hand_in(&self, id: &str, body: &str) -> Result<(), String> {
        let path = format!("{PREFIX}{id}");
        let headers = [("Host", HOST), ("X-Briargauge-Deadline-Ms", "1500")];
        let limit = Duration::from_millis(1_500);
        for _ in 0..5 {
            match http::call(self.front(0), "POST", &path, &headers, body, limit) {
                Some((200..=299, _)) => return Ok(()),
                Some((502 | 504, _)) | None => thread::sleep(Duration::from_millis(100)),
                Some((status, _)) => return Err(format!("a job was refused with {status}")),
            }
        }
        Err("a job got no clear answer".to_owned())
    }

    /// Whether any process has ended by itself.
    pub fn ended(&mut self) -> bool {
        self.processes.iter_mut().any(|p| !matches!(p.child.try_wait(), Ok(None)))
    }

    /// Cuts the proxied sidecar off from all control instances, or joins it again.
    pub fn cut(&self, cut: bool) {
        self.record.log(format!("cut sidecar={:?} cut={cut}", self.proxied));
        self.proxies.iter().for_each(|proxy| proxy.cut(cut));
    }

    /// Sends a client's call to an entry.
    pub fn call(&self, entry: u8, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let headers = [("Host", HOST), ("X-Briargauge-Deadline-Ms", "1500")];
        self.record.log(format!("client send node={entry} {method} {path} {body}"));
        let limit = Duration::from_millis(1_500);
        let answer = http::call(self.front(entry), method, &path, &headers, body, limit);
        self.record.log(format!("client answer node={entry} {method} {path} {answer:?}"));
        answer
    }

    /// Sends a job on a channel of its own and does not wait for the answer.
    pub fn open(&self, entry: u8, id: &str, body: &str) -> Result<Channel, String> {
        let path = format!("{PREFIX}{id}");
        self.record.log(format!("client send node={entry} POST {path} {body}"));
        let addr = self.front(entry);
        let mut stream = TcpStream::connect(addr).map_err(|e| e.to_string())?;
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Briargauge-Deadline-Ms: 20000\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).map_err(|e| e.to_string())?;
        Ok(Channel {
            stream,
            name: format!("node={entry} POST {path}"),
            record: self.record.clone(),
        })
    }

    /// Hands a job in that is kept, and sends it again, as clients do, until it has a clear answer.
    pub fn submit(&self, entry: u8, id: &str, body: &str) -> Result<(), String> {
        let mut node = entry;
        let mut refused = None;
        until(Duration::from_secs(15), "a job is accepted", || {
            let answer = self.call(node, "POST", id, body);
            node = (node + 1) % self.size.entries;
            match answer {
                Some((200..=299, _)) => return true,
                Some((status, _)) if status != 502 && status != 504 => refused = Some(status),
                _ => {}
            }
            refused.is_some()
        })?;
        refused.map_or(Ok(()), |status| Err(format!("a job was refused with {status}")))
    }

    /// The state of a job as an entry shows it.
    pub fn state(&self, entry: u8, id: &str) -> String {
        match self.call(entry, "GET", id, "") {
            Some((200, body)) => {
                let state = crate::json::parse(&body);
                let state = state.and_then(|body| body.text("state").map(str::to_owned));
                state.unwrap_or(body)
            }
            Some((status, _)) => status.to_string(),
            None => "none".to_owned(),
        }
    }
}

/// A client's channel with a call that has not been answered.
pub struct Channel {
    stream: TcpStream,
    name: String,
    record: Arc<Record>,
}

impl Channel {
    /// The channel breaks.
    pub fn reset(self) {
        self.record.log(format!("client channel_broken {}", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A configuration with one queue.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-3hwrr6x","hostname":"{HOST}","pathPrefix":"{PREFIX}","routeType":"non_idempotent","timeoutMs":1500,"sloMs":60,"priority":0,"service":"{SERVICE}","maxAttempts":3,"sloFactor":1.6}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforceCapacity":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// A job of one step. `extra` holds further fields of the step, `more` further fields of the job.
pub fn job(replicas: u32, cpu: u32, ms: u32, extra: &str, more: &str) -> String {
    format!(
        r#"{{"spec":"{ms}","steps":[{{"replicas":{replicas},"cpu":{cpu},"memMb":64,"estRuntimeMs":{ms}{extra}}}]{more}}}"#
    )
}

/// Waits until `condition` holds, without a pause between two looks.
pub fn until_now(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return Err(format!("not reached within {limit:?}: {what}"));
        }
    }
    Ok(())
}

/// Waits until `condition` holds.
pub fn until(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return Err(format!("not reached within {limit:?}: {what}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
