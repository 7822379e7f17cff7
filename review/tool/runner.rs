//! A stand-in for a runner, as PROTOCOL.md describes one with `controlMode` `invocation`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message, Server},
    json::{self, Value},
    record::Record,
};

/// The bounds `maxHoldMs` and `stopTimeoutMs`, and `heartbeatMs`.
const HOLD_MAX_MS: u64 = 1_000;
const STOP_MS: u64 = 20;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const LIST_MAX: usize = 500;

#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub addr: SocketAddr,
    pub sidecar: SocketAddr,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
}

#[derive(Debug)]
struct Run {
    ends_at: Instant,
    how: &'static str,
}

#[derive(Default)]
struct State {
    active: BTreeMap<(String, u64), Run>,
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    /// Highest number of an end that an answer has listed.
    listed: u64,
    last_end: u64,
    fence: u64,
    lease_until: Option<Instant>,
    lapses: u64,
    draining: bool,
    unhealthy: bool,
    dead: bool,
}

pub struct Runner {
    pub spec: Spec,
    born: u64,
    clock: Instant,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    record: Arc<Record>,
}

impl Runner {
    /// Starts one life of a runner.
    pub fn start(spec: Spec, record: Arc<Record>) -> Arc<Runner> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let runner = Arc::new(Runner {
            spec,
            born: since.as_millis() as u64,
            clock: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::new(None),
            record,
        });
        // The listener of an earlier life may be closing still.
        let server = (0..100).find_map(|_| {
            let handler = runner.clone();
            let server = Server::start(runner.spec.addr, move |request| handler.handle(request));
            server.inspect_err(|_| thread::sleep(Duration::from_millis(20))).ok()
        });
        *runner.server.lock().unwrap() = Some(server.expect("the runner's port is free"));
        let (beats, ticks) = (runner.clone(), runner.clone());
        thread::spawn(move || beats.send_heartbeats());
        thread::spawn(move || ticks.run_ticks());
        let Spec { id, labels, cpu, .. } = &runner.spec;
        runner.record.log(format!("runner_up id={id} labels={} cpu={cpu}", labels.join("+")));
        runner
    }

    /// The process dies: all that runs there is gone.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.dead = true;
        for (task, run) in state.active.keys() {
            self.record.end(&self.spec.id, task, *run, "crashed", 0, state.lapses);
        }
        state.active.clear();
        self.changed.notify_all();
        drop(state);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.record.log(format!("runner_crash id={}", self.spec.id));
    }

    /// The next life on this machine, under an id of its own.
    pub fn next_life(&self, life: u8) -> Spec {
        let machine = self.spec.id.rsplit_once('-').map_or("i", |(machine, _)| machine);
        Spec { id: format!("{machine}-{life}"), ..self.spec.clone() }
    }

    pub fn set_unhealthy(&self, unhealthy: bool) {
        self.state.lock().unwrap().unhealthy = unhealthy;
        self.record.log(format!("runner_health id={} unhealthy={unhealthy}", self.spec.id));
    }

    pub fn busy(&self) -> usize {
        self.state.lock().unwrap().active.len()
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn send_heartbeats(&self) {
        for seq in 1.. {
            let (dead, draining) = {
                let state = self.state.lock().unwrap();
                (state.dead, state.draining)
            };
            if dead {
                return;
            }
            let Spec { id, addr, sidecar, service, labels, cpu } = &self.spec;
            let labels: Vec<String> = labels.iter().map(|label| format!("\"{label}\"")).collect();
            let body = format!(
                r#"{{"service":"{service}","address":"{addr}","zone":"saga","version":"v1","slots":8,"state":"{}","coldLeftMs":0,"capacity":{{"cpu":{cpu},"memMb":131072,"gpus":0}},"labels":[{}],"serverTimeMs":{},"seq":{seq},"born":{}}}"#,
                if draining { "draining" } else { "ready" },
                labels.join(","),
                self.clock_ms(),
                self.born,
            );
            let path = format!("/instances/{id}");
            http::call(*sidecar, "PUT", &path, &[], &body, Duration::from_secs(1));
            thread::sleep(HEARTBEAT);
        }
    }

    fn run_ticks(&self) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().unwrap();
            if state.dead {
                return;
            }
            self.end_due(&mut state);
        }
    }

    fn end_due(&self, state: &mut State) {
        let now = Instant::now();
        let due: Vec<(String, u64)> = state
            .active
            .iter()
            .filter(|(_, run)| run.ends_at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, run) in due {
            let how = state.active[&(task.clone(), run)].how;
            self.end(state, &task, run, how);
        }
        if state.lease_until.is_some_and(|until| until <= now) {
            state.lease_until = None;
            state.lapses += 1;
            self.record.log(format!("lease_lapsed runner={}", self.spec.id));
            let all: Vec<(String, u64)> = state.active.keys().cloned().collect();
            for (task, run) in all {
                self.end(state, &task, run, "lapsed");
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        if state.active.remove(&(task.to_owned(), run)).is_none() {
            return;
        }
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        state.last_end += 1;
        state.finished.push((state.last_end, task.to_owned(), run, how));
        self.record.end(&self.spec.id, task, run, how, state.last_end, state.lapses);
        self.changed.notify_all();
    }

    fn handle(&self, request: Message) -> (u16, String) {
        let time = |reason: &str| {
            let reason = match reason {
                "" => String::new(),
                reason => format!(r#","reason":"{reason}""#),
            };
            format!(r#"{{"serverTimeMs":{},"born":{}{reason}}}"#, self.clock_ms(), self.born)
        };
        if request.header("X-Briargauge-Expect-Instance").is_some_and(|id| id != self.spec.id) {
            return (421, time(""));
        }
        let Some(body) = json::parse(&request.body) else { return (400, time("")) };
        let answer = match request.path() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => return self.hold(&body).unwrap_or_else(|reason| (409, time(reason))),
            _ => return (404, time("")),
        };
        match answer {
            Ok(()) => (200, time("")),
            Err("unhealthy") => (503, time("")),
            Err(reason) => (409, time(reason)),
        }
    }

    fn check_fence(state: &mut State, body: &Value) -> Result<(), &'static str> {
        let fence = body.number("fencingToken").unwrap_or(0);
        if fence < state.fence {
            return Err("fence");
        }
        state.fence = fence;
        Ok(())
    }

    /// Extends the lease. Returns whether the requested time has not passed.
    fn extend(&self, state: &mut State, body: &Value) -> bool {
        let Some(until) = body.number("expiresMs") else { return state.lease_until.is_some() };
        let now = self.clock_ms();
        if until <= now {
            return false;
        }
        let until = Instant::now() + Duration::from_millis((until - now).min(HOLD_MAX_MS));
        state.lease_until = state.lease_until.max(Some(until));
        true
    }

    fn start_run(&self, body: &Value) -> Result<(), &'static str> {
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        if state.unhealthy {
            return Err("unhealthy");
        }
        Self::check_fence(&mut state, body)?;
        if !self.extend(&mut state, body) {
            return Err("late");
        }
        let task = body.text("taskId").unwrap_or_default().to_owned();
        let run = body.number("runId").unwrap_or(0);
        if state.active.contains_key(&(task.clone(), run)) {
            return Ok(());
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return Err("old");
        }
        // The spec is `MS` or `MS failed`.
        let spec = body.text("spec").unwrap_or_default();
        let mut words = spec.split(' ');
        let ms = words.next().and_then(|word| word.parse().ok()).unwrap_or(100);
        let how = if words.next() == Some("failed") { "failed" } else { "done" };
        let ends_at = Instant::now() + Duration::from_millis(ms);
        self.record.start(&self.spec, &task, run, spec);
        state.active.insert((task, run), Run { ends_at, how });
        Ok(())
    }

    fn stop_run(&self, body: &Value) -> Result<(), &'static str> {
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        Self::check_fence(&mut state, body)?;
        let task = body.text("taskId").unwrap_or_default().to_owned();
        let run = body.number("runId").unwrap_or(0);
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        let ends_at = Instant::now() + Duration::from_millis(STOP_MS);
        if let Some(active) = state.active.get_mut(&(task, run))
            && active.ends_at > ends_at
        {
            *active = Run { ends_at, how: "stopped" };
        }
        Ok(())
    }

    fn hold(&self, body: &Value) -> Result<(u16, String), &'static str> {
        let mut state = self.state.lock().unwrap();
        self.end_due(&mut state);
        Self::check_fence(&mut state, body)?;
        self.extend(&mut state, body);
        let acked = body.number("ackCursor").unwrap_or(0);
        let lapses = state.lapses;
        state.finished.retain(|(number, task, run, how)| {
            let keep = *number > acked;
            if !keep {
                self.record.noted(&self.spec.id, task, *run, how, *number, lapses);
            }
            keep
        });
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        while !state.dead && state.last_end <= state.listed {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let active: Vec<String> = state
            .active
            .keys()
            .map(|(task, run)| format!(r#"["{task}",{run},"",100,1000]"#))
            .collect();
        let ends: Vec<String> = state
            .finished
            .iter()
            .take(LIST_MAX)
            .map(|(number, task, run, how)| format!(r#"[{number},"{task}",{run},"{how}",""]"#))
            .collect();
        state.listed = state.finished.iter().take(LIST_MAX).last().map_or(state.last_end, |e| e.0);
        let body = format!(
            r#"{{"serverTimeMs":{},"born":{},"active":[{}],"finished":[{}]}}"#,
            self.clock_ms(),
            self.born,
            active.join(","),
            ends.join(",")
        );
        Ok((200, body))
    }
}
