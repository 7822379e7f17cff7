//! A small deployment on loopback addresses: the project's programs with the commands of the deploy
//! file and settings rendered from its templates, and stand-in runners.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Response},
    json::quote,
    proxy::Proxy,
    record::Record,
    runner::{Kind, Runner},
    watch::Watch,
};

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const ZONES: [&str; 3] = ["fukuoka", "kurume", "saga"];

/// A program of the system on one machine.
pub struct Node {
    pub name: String,
    program: String,
    template: String,
    values: BTreeMap<&'static str, String>,
    settings: PathBuf,
    data: Option<PathBuf>,
    log: PathBuf,
    child: Option<Child>,
}

pub struct System {
    pub record: Record,
    pub watch: Arc<Watch>,
    folder: PathBuf,
    net: u8,
    _held: TcpListener,
    ports: Ports,
    pub controls: Vec<Node>,
    pub entries: Vec<Node>,
    pub sidecars: Vec<Node>,
    pub runners: Vec<Arc<Runner>>,
    /// The paths of each entry and of each sidecar to the control instances, if they can be cut.
    pub paths: BTreeMap<String, Vec<Proxy>>,
}

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    app: u16,
    range: u16,
}

impl Ports {
    /// Ports that are free on the addresses of `net`.
    fn free(net: u8) -> Ports {
        for step in 0..300 {
            let first = 20_000 + step * 32;
            let mut all = first..first + 24;
            if all.all(|port| TcpListener::bind(SocketAddr::from(([127, net, 1, 1], port))).is_ok())
            {
                return Ports {
                    front: first,
                    ready: first + 1,
                    control: first + 2,
                    app: first + 3,
                    range: first + 8,
                };
            }
        }
        panic!("no free ports");
    }
}

/// A part of the loopback range that no other run of this program uses, and what holds it.
fn free_net() -> (u8, TcpListener) {
    let first = std::process::id() % 200;
    let mut nets = (0..200).map(|step| 16 + ((first + step) % 200) as u8);
    let held = nets.find_map(|net| {
        let held = TcpListener::bind(SocketAddr::from(([127, net, 9, 9], 19_990))).ok()?;
        Some((net, held))
    });
    held.expect("a free part of the loopback range")
}

impl System {
    /// A deployment of so many machines; nothing runs yet.
    pub fn new(record: Record, controls: u8, entries: u8, sidecars: u8) -> System {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (net, held) = free_net();
        let ports = Ports::free(net);
        let watch = Arc::new(Watch::new(record.clone()));
        let mut system = System {
            record,
            watch,
            folder,
            net,
            _held: held,
            ports,
            controls: Vec::new(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            runners: Vec::new(),
            paths: BTreeMap::new(),
        };
        system.controls = (1..=controls).map(|n| system.node("core", n)).collect();
        system.entries = (1..=entries).map(|n| system.node("edge", n)).collect();
        system.sidecars = (1..=sidecars).map(|n| system.node("side", n)).collect();
        for n in 1..=sidecars {
            let kind = Kind {
                id: format!("i-{n:04x}"),
                service: SERVICE.to_owned(),
                zone: ZONES[usize::from(n) % 3].to_owned(),
                cpu: 8_000,
                mem_mb: 32_768,
                labels: vec!["a".to_owned(), format!("r1-{}", n / 3)],
            };
            let addr = system.addr("side", n, ports.app);
            let control = system.addr("side", n, ports.control);
            let runner =
                Runner::new(kind, addr, control, system.record.clone(), system.watch.clone());
            system.runners.push(runner);
        }
        system
    }

    /// Leads the paths of the entries and of the sidecars to the control instances through proxies. Nothing
    /// may run yet.
    pub fn lead_through_proxies(&mut self) {
        let (net, port) = (self.net, self.ports.range + 1);
        let controls = 1..=self.controls.len() as u8;
        for (third, node) in (20..).zip(self.entries.iter_mut().chain(&mut self.sidecars)) {
            let proxies = controls
                .clone()
                .map(|n| Proxy::start([127, net, 1, n], [127, net, third, n], port))
                .collect();
            self.paths.insert(node.name.clone(), proxies);
            let seeds: Vec<String> = (1..=3)
                .map(|n| quote(&format!("127.{net}.{third}.{n}:{}", self.ports.control)))
                .collect();
            node.set("seeds|json", &format!("[{}]", seeds.join(",")));
        }
    }

    fn addr(&self, class: &str, n: u8, port: u16) -> SocketAddr {
        let third = match class {
            "core" => 1,
            "edge" => 2,
            _ => 3,
        };
        SocketAddr::from(([127, self.net, third, n], port))
    }

    fn node(&self, class: &'static str, n: u8) -> Node {
        let (role, program) = match class {
            "core" => ("control", "target/release/platform-control"),
            "edge" => ("entry", "target/release/platform-entry"),
            _ => ("sidecar", "target/release/platform-sidecar"),
        };
        let name = format!("{class}-{}-{n}", ZONES[usize::from(n) % 3]);
        let at = |port| self.addr(class, n, port).to_string();
        let seeds: Vec<String> =
            (1..=3).map(|n| quote(&self.addr("core", n, self.ports.control).to_string())).collect();
        let data = (class == "core").then(|| self.folder.join(format!("data-{name}")));
        let values = BTreeMap::from([
            ("nodeName", name.clone()),
            ("ip", self.addr(class, n, 0).ip().to_string()),
            ("portRange.0", self.ports.range.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.status_s", "120".to_owned()),
            ("bounds.maxHoldMs", "1000".to_owned()),
            ("limits.memoryMb", "256".to_owned()),
            ("limits.maxFds", "4096".to_owned()),
            ("listen.control", at(self.ports.control)),
            ("listen.front", at(self.ports.front)),
            ("listen.ready", at(self.ports.ready)),
            ("dataDir", data.as_ref().map_or(String::new(), |d| d.display().to_string())),
            ("bootstrap|json", "true".to_owned()),
            ("faultTolerance.machines", "2".to_owned()),
            ("zones|json", zones()),
        ]);
        Node {
            settings: self.folder.join(format!("{name}.json")),
            log: self.folder.join(format!("{name}.log")),
            template: format!("deploy/{role}.json"),
            program: program.to_owned(),
            name,
            values,
            data,
            child: None,
        }
    }

    /// Starts all processes, and the runners.
    pub fn start(&mut self) {
        let record = self.record.clone();
        let nodes = self.controls.iter_mut().chain(&mut self.sidecars).chain(&mut self.entries);
        nodes.for_each(|node| node.start(&record));
        for runner in &self.runners {
            runner.start(&runner.kind.id);
        }
    }

    pub fn front(&self, entry: usize) -> SocketAddr {
        self.addr("edge", entry as u8 + 1, self.ports.front)
    }

    pub fn operators(&self, control: usize) -> SocketAddr {
        self.addr("core", control as u8 + 1, self.ports.control)
    }

    /// Sends a configuration as the operator does: to one node after another, the same again until it is
    /// acknowledged. Returns whether that was within `limit`.
    pub fn configure(&self, version: u64, routes: &[(&str, u32)], limit: Duration) -> bool {
        let routes: Vec<String> = routes
            .iter()
            .map(|(prefix, attempts)| {
                format!(
                    "{{\"name\":\"r-{attempts}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
                     \"routeType\":\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":60,\
                     \"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\
                     \"sloFactor\":1.6}}"
                )
            })
            .collect();
        let body = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"enforceCapacity\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            routes.join(",")
        );
        let end = Instant::now() + limit;
        let mut last = String::new();
        while Instant::now() < end {
            for control in 0..self.controls.len() {
                let at = self.operators(control);
                let second = Duration::from_secs(1);
                let answer = http::call(at, "PUT", "/config", &[], &body, second);
                let text = match &answer {
                    Ok((status, _)) => format!("{status}"),
                    Err(_) => "no answer".to_owned(),
                };
                if text != last {
                    let name = &self.controls[control].name;
                    self.record.line(&format!("PUT /config version {version} at {name}: {text}"));
                    last = text;
                }
                if matches!(answer, Ok((200, _))) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.record.line(&format!("version {version} has no ack; last: {last}"));
        false
    }

    /// Sends a call of a client to an entry.
    pub fn client(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Result<Response, String> {
        let deadline = deadline_ms.to_string();
        let headers = [("Host", HOST), ("X-Briargauge-Deadline-Ms", deadline.as_str())];
        let limit = Duration::from_millis(deadline_ms);
        let begun = self.record.s();
        let answer = http::call(self.front(entry), method, path, &headers, body, limit);
        let text = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(e) => format!("no answer: {e}"),
        };
        let at = self.front(entry).ip();
        self.record
            .line(&format!("{method} {path} at the entry {at}, sent at {begun:.3} s: {text}"));
        answer
    }

    /// Repeats a client's call until it has a clear answer, at most for `limit`.
    pub fn client_until(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
        wanted: impl Fn(u16) -> bool,
    ) -> Option<Response> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(answer) = self.client(entry, method, path, 1_500, body)
                && wanted(answer.0)
            {
                return Some(answer);
            }
            thread::sleep(Duration::from_millis(300));
        }
        None
    }

    /// Ends all processes and runners, and removes the temporary folder.
    pub fn end(&mut self) {
        self.runners.iter().for_each(|runner| runner.crash());
        let nodes = self.controls.iter_mut().chain(&mut self.sidecars).chain(&mut self.entries);
        nodes.for_each(Node::kill);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.end();
    }
}

impl Node {
    pub fn set(&mut self, key: &'static str, value: &str) {
        self.values.insert(key, value.to_owned());
    }

    fn render(&self) -> String {
        let template = fs::read_to_string(&self.template).expect("the template of the deploy file");
        self.values
            .iter()
            .fold(template, |text, (key, value)| text.replace(&format!("{{{{{key}}}}}"), value))
    }

    pub fn start(&mut self, record: &Record) {
        if self.runs() {
            return;
        }
        let rendered = self.render();
        assert!(!rendered.contains("{{"), "all fields of {} are filled in", self.template);
        fs::write(&self.settings, rendered).expect("settings can be written");
        if let Some(data) = &self.data {
            fs::create_dir_all(data).expect("a data folder");
        }
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(&self.program)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("BRIARGAUGE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program is built");
        record.line(&format!("{} starts", self.name));
        self.child = Some(child);
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&self) {
        if let Some(data) = &self.data {
            let _ = fs::remove_dir_all(data);
        }
    }
}

fn zones() -> String {
    let zones: Vec<String> =
        ZONES.iter().map(|zone| format!("{}:\"kyushu\"", quote(zone))).collect();
    format!("{{{}}}", zones.join(","))
}
