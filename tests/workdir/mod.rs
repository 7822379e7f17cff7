//! A temporary directory with settings files, and the daemons started in it.

#![allow(dead_code, reason = "each test file uses only some of these")]

pub mod system;

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

/// Longest wait for any condition of a test, far above what a correct system needs.
pub const LIMIT: Duration = Duration::from_secs(30);

/// A temporary directory, removed when dropped.
pub struct Workdir {
    dir: tempfile::TempDir,
}

/// A program of this project.
#[derive(Debug, Clone, Copy)]
pub enum Program {
    Backend,
    Control,
    Entry,
    Load,
    Main,
    Sidecar,
}

impl Program {
    fn path(self) -> &'static str {
        let path = match self {
            Program::Backend => option_env!("CARGO_BIN_EXE_briargauge-backend"),
            Program::Control => option_env!("CARGO_BIN_EXE_briargauge-control"),
            Program::Entry => option_env!("CARGO_BIN_EXE_briargauge-entry"),
            Program::Load => option_env!("CARGO_BIN_EXE_briargauge-load"),
            Program::Main => option_env!("CARGO_BIN_EXE_briargauge"),
            Program::Sidecar => option_env!("CARGO_BIN_EXE_briargauge-sidecar"),
        };
        path.unwrap_or_else(|| panic!("{self:?} is not built"))
    }
}

impl Workdir {
    pub fn new() -> Workdir {
        Workdir { dir: tempfile::tempdir().unwrap() }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Runs a program until it exits.
    pub fn run(&self, program: Program, args: &[&str]) -> Output {
        Command::new(program.path())
            .args(args)
            .current_dir(self.dir.path())
            .env_remove("BRIARGAUGE_CONTROL")
            .env_remove("BRIARGAUGE_ENTRY")
            .output()
            .unwrap()
    }

    /// Starts a daemon with settings and waits until it prints the addresses at which it listens.
    pub fn start(&self, program: Program, name: &str, settings: &str) -> Daemon {
        let path = self.file(&format!("{name}.json"), settings);
        Daemon::start(program, &path, self.path(&format!("{name}.log")))
    }
}

/// A running daemon; killed when dropped.
pub struct Daemon {
    child: Child,
    pub http: Option<SocketAddr>,
    pub rpc: Option<SocketAddr>,
    pub peer: Option<SocketAddr>,
    log: PathBuf,
}

impl Daemon {
    fn start(program: Program, settings: &Path, log: PathBuf) -> Daemon {
        let output = File::options().append(true).create(true).open(&log).unwrap();
        let before = read(&log).len();
        let child = Command::new(program.path())
            .args(["--settings", settings.to_str().unwrap()])
            .env("RUST_LOG", "info")
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        // Created before the wait, so that the process is killed if it does not start.
        let mut daemon = Daemon { child, http: None, rpc: None, peer: None, log };
        let line = wait_for("the `listening` line", || {
            let log = daemon.log();
            assert!(
                daemon.child.try_wait().unwrap().is_none(),
                "{program:?} exited before it listened: {log}"
            );
            let line = log[before..].lines().find(|line| line.starts_with("listening"))?;
            log[before..].contains(&format!("{line}\n")).then(|| line.to_owned())
        });
        let addr = |name: &str| {
            let word = line.split_whitespace().find_map(|w| w.strip_prefix(name))?;
            word.parse().ok()
        };
        (daemon.http, daemon.rpc, daemon.peer) = (addr("http="), addr("rpc="), addr("peer="));
        daemon
    }

    pub fn http(&self) -> SocketAddr {
        self.http.unwrap()
    }

    pub fn rpc(&self) -> SocketAddr {
        self.rpc.unwrap()
    }

    /// The whole log, also of earlier starts under the same name.
    pub fn log(&self) -> String {
        read(&self.log)
    }

    pub fn signal(&self, signal: Signal) {
        signal::kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Kills the daemon (SIGKILL).
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops the daemon (SIGTERM) and returns its exit status.
    pub fn stop(mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.wait()
    }

    /// Waits until the daemon exits.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "still running after {LIMIT:?}: {}", self.log());
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_default()
}

/// Polls `done` until it returns a value.
pub fn wait_for<T>(what: &str, mut done: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + LIMIT;
    loop {
        if let Some(value) = done() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out after {LIMIT:?} waiting for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
