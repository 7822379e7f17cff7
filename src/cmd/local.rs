use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use serde_json::json;
use tokio::time::{self, Instant};

use crate::{
    backend::Backend,
    client, cmd,
    cmd::{submit, util},
    config,
    control::Control,
    daemon::{Listening, Process},
    entry::Entry,
    error::Result,
    load::scrape,
    sidecar::Sidecar,
};

pub const USAGE: &str = "
Runs a whole system in this process on loopback (a control instance, an entry,
four sidecars and stand-in backend servers of different speeds), submits a job
file, shows progress on a terminal, and prints the whole answer and a histogram
of task times for each team.

Usage:
    briargauge local [options] FILE

FILE is as for `briargauge submit`. The stand-in backend servers take the time
that a task's input gives as work_ms, divided by their speed, and answer with
their input.

Options:
        --json   print the response as JSON, without a histogram
";

/// Speeds of the stand-in backend servers.
const SPEEDS: [f64; 4] = [2.0, 1.0, 1.0, 0.5];
/// Time limit for the processes of the system to find each other.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Interval at which readiness is checked.
const READY_POLL: Duration = Duration::from_millis(50);
/// Metric from which the histograms are printed.
const TASK_SECONDS: &str = "briargauge_entry_task_seconds_bucket";
/// Longest bar of a histogram, in characters. A bar has one character for each task.
const BAR_MAX: usize = 40;

pub fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = getopts::Options::new();
    options.optflag("", "json", "");
    let matches = util::parse(&options, args)?;
    let [path] = &matches.free[..] else {
        return Err(util::usage("expected one job file"));
    };
    let submission = submit::read(path)?;
    let directory = TempDirectory::new();
    util::block_on(async {
        let system = System::start(&directory.0).await?;
        let response = submit::send(system.http(), &submission).await?;
        let json = matches.opt_present("json");
        let code = submit::print(&response, json);
        if !json {
            print_histograms(&scrape::page(system.http()).await?);
        }
        system.stop().await;
        Ok(code)
    })
}

/// A data directory that is removed when dropped. Control creates it.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> TempDirectory {
        let name = format!("briargauge-local-{:016x}", rand::random::<u64>());
        TempDirectory(std::env::temp_dir().join(name))
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A small system with all its processes.
struct System {
    control: Control,
    entry: Entry,
    servers: Vec<(Sidecar, Backend)>,
}

impl System {
    async fn start(directory: &Path) -> Result<System> {
        let any = "127.0.0.1:0";
        let settings = json!({"node": 1, "data_folder": directory, "http": any, "rpc": any});
        let control: Control = start(settings).await?;
        let Listening { rpc: Some(addr), .. } = control.listening() else {
            unreachable!("control serves calls")
        };
        cmd::init::form(addr).await?;
        let mut servers = Vec::new();
        for speed in SPEEDS {
            servers.push(start_server(addr, speed).await?);
        }
        wait_for_servers(addr, servers.len()).await?;
        let settings = json!({
            "http": any, "rpc": any, "data_centre": "local", "control": [addr],
            "limits": {"drain_notice_ms": 0},
        });
        let entry: Entry = start(settings).await?;
        wait_for_entry(addr_of(entry.listening().http)).await;
        Ok(System { control, entry, servers })
    }

    fn http(&self) -> SocketAddr {
        addr_of(self.entry.listening().http)
    }

    /// Stops the entry first and control last, so that no process loses one that it needs.
    async fn stop(self) {
        self.entry.stop().await;
        let servers = self.servers.into_iter().map(|(sidecar, backend)| async move {
            backend.stop().await;
            sidecar.stop().await;
        });
        futures::future::join_all(servers).await;
        self.control.stop().await;
    }
}

fn addr_of(addr: Option<SocketAddr>) -> SocketAddr {
    addr.expect("the process serves HTTP")
}

async fn start<P: Process>(settings: serde_json::Value) -> Result<P> {
    P::start(config::parse("local".as_ref(), &settings.to_string())?).await
}

/// Starts a sidecar and its stand-in backend server.
async fn start_server(control: SocketAddr, speed: f64) -> Result<(Sidecar, Backend)> {
    let any = "127.0.0.1:0";
    let settings = json!({
        "http": any, "rpc": any, "data_centre": "local", "rack": "local", "control": [control],
        "linger_ms": 0,
    });
    let sidecar: Sidecar = start(settings).await?;
    let announce = addr_of(sidecar.listening().http);
    let settings = json!({
        "http": any, "sidecar": announce, "speed": speed, "name": format!("speed {speed}"),
    });
    Ok((sidecar, start(settings).await?))
}

/// Waits until control knows `count` backend servers, at most [`READY_LIMIT`].
async fn wait_for_servers(control: SocketAddr, count: usize) -> Result<()> {
    let client = client::Control::new(&[control]);
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        let servers = client
            .call("members", READY_LIMIT, |c, context, _| async move { c.servers(context).await })
            .await?;
        if servers.len() >= count || Instant::now() >= deadline {
            return Ok(());
        }
        time::sleep(READY_POLL).await;
    }
}

/// Waits until the entry is healthy, at most [`READY_LIMIT`]: it then has a session, the rules and
/// the backend servers.
async fn wait_for_entry(http: SocketAddr) {
    let deadline = Instant::now() + READY_LIMIT;
    while Instant::now() < deadline {
        let health = awc::Client::default().get(format!("http://{http}/health")).send().await;
        if health.is_ok_and(|response| response.status().is_success()) {
            return;
        }
        time::sleep(READY_POLL).await;
    }
}

/// Prints a histogram of task times for each client account.
fn print_histograms(page: &str) {
    let mut account = "";
    let mut cumulated = 0;
    let mut lower = "0".to_owned();
    for (name, upper, count) in page.lines().filter_map(bucket) {
        if name != account {
            println!("\ntask times of {name}:");
            (account, cumulated, lower) = (name, 0, "0".to_owned());
        }
        let tasks = count.saturating_sub(cumulated);
        if tasks > 0 {
            println!("{lower:>6} to {upper:>5} s {tasks:>5} {}", "#".repeat(tasks.min(BAR_MAX)));
        }
        (cumulated, lower) = (count, upper.to_owned());
    }
}

/// Client account, upper bound and cumulated count, if the line is a bucket of [`TASK_SECONDS`].
fn bucket(line: &str) -> Option<(&str, &str, usize)> {
    let rest = line.strip_prefix(TASK_SECONDS)?;
    let value = |label: &str| {
        let start = rest.find(&format!("{label}=\""))? + label.len() + 2;
        rest[start..].split('"').next()
    };
    Some((value("team")?, value("le")?, rest.rsplit(' ').next()?.parse().ok()?))
}
