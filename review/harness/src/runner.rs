//! A stand-in runner that follows PROTOCOL.md: it announces itself to the sidecar on its machine,
//! runs tasks under a lease, and keeps the ends that are not acknowledged.
//!
//! A task runs for as long as its spec says (`run_ms=N`) and ends as `done`.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    json::{self, Value},
    record::Record,
};

/// Longest lease, in ms (`maxHoldMs`).
const MAX_HOLD_MS: u64 = 1_000;
/// Ends that one response returns.
const ENDS_MAX: usize = 500;
/// Reading of the runner's clock at its start, in ms.
const CLOCK_START_MS: u64 = 400_000;

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Where it listens for its sidecar.
    pub app: SocketAddr,
    /// Where its sidecar listens for announcements.
    pub control: SocketAddr,
    pub cpu: u64,
    pub labels: Vec<String>,
    pub heartbeat_ms: u64,
}

/// One run of a task, in ms since the start of the case.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub started: u64,
    pub ended: Option<(u64, &'static str)>,
    /// Number of the end.
    pub number: u64,
    /// When `ackCursor` reached the end.
    pub noted: Option<u64>,
    /// Whether the runner's lease lapsed between the end and its being taken note of.
    pub lapsed: bool,
}

struct Active {
    run: u64,
    ends: Instant,
    at: usize,
}

#[derive(Default)]
struct State {
    fence: u64,
    /// On the runner's clock.
    lease_until: u64,
    active: BTreeMap<String, Active>,
    /// Number, and position in `runs`.
    finished: Vec<(u64, usize)>,
    numbers: u64,
    /// Highest run of a task that was stopped or has ended here.
    highest: HashMap<String, u64>,
    runs: Vec<Run>,
    cpu: u64,
    draining: bool,
    holds: u64,
    seq: u64,
    /// When the next announcement is due.
    beat_at: Option<Instant>,
    /// Time after which the next start is carried out, which gets no answer; its lease then counts
    /// from that time.
    late_ms: Option<u64>,
    /// Number of starts that got no answer.
    late: u64,
    channels: Vec<TcpStream>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub struct Runner {
    pub settings: Settings,
    /// Unix time of the present start, in ms.
    born: AtomicU64,
    /// Start of the present lifetime.
    start: Mutex<Instant>,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    stopped: AtomicBool,
    /// Whether the path to the runner refuses channels.
    refusing: AtomicBool,
}

impl Runner {
    pub fn start(settings: Settings, record: Record) -> Arc<Runner> {
        let state = State { cpu: settings.cpu, ..State::default() };
        let runner = Arc::new(Runner {
            settings,
            born: AtomicU64::new(unix_ms()),
            start: Mutex::new(Instant::now()),
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
            stopped: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
        });
        for run in [Runner::listen, Runner::tick, Runner::beat] {
            let runner = runner.clone();
            thread::spawn(move || run(&runner));
        }
        runner
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn gone(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn log(&self, text: impl std::fmt::Display) {
        self.record.add(format!("runner {}: {text}", self.settings.id));
    }

    fn clock(&self) -> u64 {
        CLOCK_START_MS + self.start.lock().unwrap().elapsed().as_millis() as u64
    }

    fn born(&self) -> u64 {
        self.born.load(Ordering::SeqCst)
    }

    /// Crashes, and starts again under its id after `down_ms`.
    pub fn crash(self: &Arc<Runner>, down_ms: u64) {
        self.log("crashes");
        self.set_refusing(true);
        {
            let mut state = self.state.lock().unwrap();
            let now = self.record.now();
            let State { active, runs, .. } = &mut *state;
            for (_, active) in std::mem::take(active) {
                runs[active.at].ended = Some((now, "crashed"));
            }
            let (runs, cpu) = (std::mem::take(&mut state.runs), state.cpu);
            *state = State { runs, cpu, ..State::default() };
        }
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(down_ms));
            *runner.start.lock().unwrap() = Instant::now();
            runner.born.store(unix_ms(), Ordering::SeqCst);
            runner.set_refusing(false);
            runner.log("starts again");
        });
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn active(&self) -> usize {
        self.state.lock().unwrap().active.len()
    }

    /// Number of calls that renewed the lease.
    pub fn holds(&self) -> u64 {
        self.state.lock().unwrap().holds
    }

    /// Number of ends that are not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.state.lock().unwrap().finished.len()
    }

    /// Changes what the next announcements say, and sends the next one now.
    pub fn describe(&self, cpu: u64, draining: bool) {
        {
            let mut state = self.state.lock().unwrap();
            state.cpu = cpu;
            state.draining = draining;
        }
        self.log(format!("now has cpu {cpu}, draining {draining}"));
    }

    /// Lets the next start get no answer, and carries it out `late_ms` after its arrival; `None` ends
    /// that.
    pub fn set_late(&self, late_ms: Option<u64>) {
        self.state.lock().unwrap().late_ms = late_ms;
    }

    /// Number of starts that got no answer.
    pub fn late(&self) -> u64 {
        self.state.lock().unwrap().late
    }

    /// Carries a start out late, unless its fence number is too low by then.
    fn carry_out_late(self: &Arc<Runner>, body: Value, late_ms: u64) {
        let lease = body.number("expiresMs").map_or(0, |at| at.saturating_sub(self.clock()));
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(late_ms));
            let mut state = runner.state.lock().unwrap();
            let fence = body.number("fencingToken").unwrap_or(0);
            let (Some(task), Some(run), Some(spec)) =
                (body.text("taskId"), body.number("runId"), body.text("spec"))
            else {
                return;
            };
            if fence < state.fence {
                return runner.log(format!("late start of {task} run {run} refused: fence"));
            }
            if state.highest.get(task).is_some_and(|highest| run <= *highest) {
                return runner.log(format!("late start of {task} run {run} refused: old"));
            }
            state.fence = fence;
            state.lease_until = state.lease_until.max(runner.clock() + lease.min(MAX_HOLD_MS));
            runner.log(format!("start of {task} run {run} is carried out late"));
            runner.begin(&mut state, task, run, spec);
        });
    }

    /// Time until the next announcement.
    pub fn until_beat(&self) -> Duration {
        let at = self.state.lock().unwrap().beat_at;
        at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }

    /// Cuts the path to the runner: channels are refused, and open ones reset. The runner goes on.
    pub fn set_refusing(&self, refusing: bool) {
        self.log(format!("path refuses channels: {refusing}"));
        self.refusing.store(refusing, Ordering::SeqCst);
        if refusing {
            for channel in self.state.lock().unwrap().channels.drain(..) {
                let _ = channel.shutdown(Shutdown::Both);
            }
        }
    }

    /// Ends what runs, as a crash or a lease does.
    fn end_all(&self, state: &mut State, how: &'static str) {
        let names: Vec<String> = state.active.keys().cloned().collect();
        for name in names {
            self.end(state, &name, how);
        }
    }

    fn end(&self, state: &mut State, name: &str, how: &'static str) {
        let Some(active) = state.active.remove(name) else { return };
        state.numbers += 1;
        let number = state.numbers;
        let run = &mut state.runs[active.at];
        run.ended = Some((self.record.now(), how));
        run.number = number;
        state.finished.push((number, active.at));
        let highest = state.highest.entry(name.to_owned()).or_insert(0);
        *highest = (*highest).max(active.run);
        self.log(format!("end {number} of {name} run {} how {how}", active.run));
        self.changed.notify_all();
    }

    fn tick(self: &Arc<Runner>) {
        while !self.gone() {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().unwrap();
            if !state.active.is_empty() && self.clock() >= state.lease_until {
                self.log("the lease has lapsed");
                self.end_all(&mut state, "lapsed");
            }
            let now = Instant::now();
            let due: Vec<String> = state
                .active
                .iter()
                .filter(|(_, active)| active.ends <= now)
                .map(|(name, _)| name.clone())
                .collect();
            for name in due {
                self.end(&mut state, &name, "done");
            }
        }
    }

    fn beat(self: &Arc<Runner>) {
        let Settings { id, service, zone, app, labels, heartbeat_ms, .. } = &self.settings;
        let labels: Vec<String> = labels.iter().map(|label| format!("\"{label}\"")).collect();
        while !self.gone() {
            // Reports get lost behind a cut, too.
            if self.refusing.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let (seq, cpu, draining) = {
                let mut state = self.state.lock().unwrap();
                state.seq += 1;
                state.beat_at = Some(Instant::now() + Duration::from_millis(*heartbeat_ms));
                (state.seq, state.cpu, state.draining)
            };
            let word = if draining { "draining" } else { "ready" };
            let left = if draining { ",\"drainLeftMs\":8000" } else { "" };
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{word}\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{cpu},\"memMb\":131072,\"gpus\":0}},\"labels\":[{}],\"serverTimeMs\":{},\"seq\":{seq},\"born\":{}{left}}}",
                labels.join(","),
                self.clock(),
                self.born(),
            );
            let path = format!("/instances/{id}");
            let limit = Duration::from_millis(1_000);
            // A report without an ack within a second is sent again.
            let acknowledged = loop {
                let headers = "Host: control\r\n";
                let answer =
                    http::request(self.settings.control, "PUT", &path, headers, &body, limit);
                match answer {
                    Ok(answer) if answer.status() / 100 == 2 => break true,
                    _ if self.gone() || self.refusing.load(Ordering::SeqCst) => break false,
                    _ => thread::sleep(Duration::from_millis(100)),
                }
                if self.until_beat().is_zero() {
                    break false;
                }
            };
            if draining || seq <= 2 || !acknowledged {
                self.log(format!("report {seq} ({word}, cpu {cpu}) acknowledged: {acknowledged}"));
            }
            while !self.until_beat().is_zero() && !self.gone() {
                thread::sleep(Duration::from_millis(2));
            }
        }
    }

    fn listen(self: &Arc<Runner>) {
        while !self.gone() {
            let Ok(listener) = TcpListener::bind(self.settings.app) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while !self.gone() && !self.refusing.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        if let Ok(other) = stream.try_clone() {
                            self.state.lock().unwrap().channels.push(other);
                        }
                        let runner = self.clone();
                        thread::spawn(move || runner.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            while self.refusing.load(Ordering::SeqCst) && !self.gone() {
                thread::sleep(Duration::from_millis(2));
            }
        }
    }

    fn serve(self: Arc<Runner>, mut stream: TcpStream) {
        while let Ok(Some(message)) = http::read(&mut stream) {
            if self.gone() || self.refusing.load(Ordering::SeqCst) {
                return;
            }
            if let Some(late_ms) = self.take_late(&message) {
                thread::sleep(Duration::from_millis(late_ms));
                return;
            }
            let (status, body) = self.answer(&message);
            if self.refusing.load(Ordering::SeqCst)
                || http::respond(&mut stream, status, &body).is_err()
            {
                return;
            }
        }
    }

    /// If the message is a start that is to be carried out late, arranges that and returns when.
    fn take_late(self: &Arc<Runner>, message: &http::Message) -> Option<u64> {
        let body = json::parse(&message.body)?;
        let late_ms = {
            let mut state = self.state.lock().unwrap();
            let late_ms = state.late_ms.filter(|_| message.target().1 == "/run-start")?;
            state.late_ms = None;
            state.late += 1;
            late_ms
        };
        self.log(format!("no answer to the start of {}", body.text("taskId").unwrap_or("")));
        self.carry_out_late(body, late_ms);
        Some(late_ms)
    }

    fn answer(&self, message: &http::Message) -> (u16, String) {
        let clock = self.clock();
        let plain = |status: u16| {
            (status, format!("{{\"serverTimeMs\":{clock},\"born\":{}}}", self.born()))
        };
        let refuse = |reason: &str| {
            (
                409,
                format!(
                    "{{\"serverTimeMs\":{clock},\"born\":{},\"reason\":\"{reason}\"}}",
                    self.born()
                ),
            )
        };
        if message.header("x-briargauge-expect-instance").is_some_and(|id| id != self.settings.id) {
            return plain(421);
        }
        let Some(body) = json::parse(&message.body) else { return plain(400) };
        let mut state = self.state.lock().unwrap();
        let (_, path) = message.target();
        let fence = body.number("fencingToken").unwrap_or(0);
        if fence < state.fence {
            return refuse("fence");
        }
        state.fence = fence;
        match path {
            "/run-start" => {
                self.extend(&mut state, &body, clock);
                let (Some(task), Some(run), Some(spec)) =
                    (body.text("taskId"), body.number("runId"), body.text("spec"))
                else {
                    return plain(400);
                };
                if state.lease_until <= clock
                    || body.number("expiresMs").is_some_and(|at| at <= clock)
                {
                    return refuse("late");
                }
                if state.active.get(task).is_some_and(|active| active.run == run) {
                    return plain(200);
                }
                if state.highest.get(task).is_some_and(|highest| run <= *highest) {
                    return refuse("old");
                }
                self.begin(&mut state, task, run, spec);
                plain(200)
            }
            "/run-stop" => {
                let (Some(task), Some(run)) = (body.text("taskId"), body.number("runId")) else {
                    return plain(400);
                };
                let highest = state.highest.entry(task.to_owned()).or_insert(0);
                *highest = (*highest).max(run);
                if state.active.get(task).is_some_and(|active| active.run == run) {
                    self.end(&mut state, task, "stopped");
                }
                plain(200)
            }
            "/hold" => {
                self.extend(&mut state, &body, clock);
                state.holds += u64::from(body.number("expiresMs").is_some());
                self.note(&mut state, body.number("ackCursor").unwrap_or(0));
                let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
                let end = Instant::now() + wait;
                while state.finished.is_empty() && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                (200, self.lists(&state))
            }
            _ => plain(404),
        }
    }

    /// Takes over a new end of the lease. Ends that were not acknowledged when the last one lapsed do
    /// not count as taken note of, whether the lease is renewed or not.
    fn extend(&self, state: &mut State, body: &Value, clock: u64) {
        let State { finished, runs, lease_until, .. } = state;
        if *lease_until <= clock {
            finished.iter().for_each(|(_, at)| runs[*at].lapsed = true);
        }
        if let Some(expires) = body.number("expiresMs") {
            *lease_until = (*lease_until).max(expires.min(clock + MAX_HOLD_MS));
        }
    }

    fn begin(&self, state: &mut State, task: &str, run: u64, spec: &str) {
        let run_ms = spec.split(' ').find_map(|word| word.strip_prefix("run_ms=")?.parse().ok());
        let run_ms = run_ms.unwrap_or(100);
        let at = state.runs.len();
        state.runs.push(Run {
            task: task.to_owned(),
            run,
            runner: self.settings.id.clone(),
            started: self.record.now(),
            ended: None,
            number: 0,
            noted: None,
            lapsed: false,
        });
        let ends = Instant::now() + Duration::from_millis(run_ms);
        state.active.insert(task.to_owned(), Active { run, ends, at });
        self.log(format!("start of {task} run {run}"));
    }

    fn note(&self, state: &mut State, cursor: u64) {
        let now = self.record.now();
        let State { finished, runs, .. } = state;
        finished.retain(|(number, at)| {
            let noted = *number <= cursor;
            if noted {
                runs[*at].noted = Some(now);
            }
            !noted
        });
    }

    fn lists(&self, state: &State) -> String {
        let active: Vec<String> = state
            .active
            .iter()
            .map(|(task, active)| format!("[\"{task}\",{},\"\",50,0]", active.run))
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(ENDS_MAX)
            .map(|(number, at)| {
                let run = &state.runs[*at];
                let how = run.ended.map_or("", |(_, how)| how);
                format!("[{number},\"{}\",{},\"{how}\",\"\"]", run.task, run.run)
            })
            .collect();
        format!(
            "{{\"serverTimeMs\":{},\"born\":{},\"active\":[{}],\"finished\":[{}]}}",
            self.clock(),
            self.born(),
            active.join(","),
            finished.join(",")
        )
    }
}
