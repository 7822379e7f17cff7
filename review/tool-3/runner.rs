//! A stand-in runner: it announces itself to the sidecar of its machine and runs tasks, as
//! PROTOCOL.md says. A task's spec says how long it runs: `ms=1500`.

use std::{
    collections::BTreeMap,
    io::{BufReader, Read},
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
    json::{Json, quote},
    record::Record,
    watch::{Rng, Watch},
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 1_000;
const STOP_MS: u64 = 20;

/// How a runner is described to the system.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: Vec<String>,
}

/// A machine with a runner, whose lives follow one another.
pub struct Runner {
    pub kind: Kind,
    pub addr: SocketAddr,
    control: SocketAddr,
    record: Record,
    watch: Arc<Watch>,
    life: Mutex<Option<Arc<Life>>>,
    /// Share of the orders, in thousandths, that get no answer and are carried out late.
    late: Arc<AtomicU64>,
    /// Whether it answers nothing, and tasks stand still.
    hung: Arc<AtomicBool>,
    /// Whether the time of late orders counts from when they are carried out.
    grants: Arc<AtomicBool>,
    /// How late the next start is carried out, in ms, without an answer; 0 if it isn't.
    late_start: Arc<AtomicU64>,
    /// Whether a start has been left unanswered.
    withheld: Arc<AtomicBool>,
    /// Whether its path is cut, so that connections are refused.
    cut: Arc<AtomicBool>,
    /// Whether its answers are lost.
    mute: Arc<AtomicBool>,
}

/// One life of a runner.
struct Life {
    kind: Kind,
    addr: SocketAddr,
    born: u64,
    start: Instant,
    dead: AtomicBool,
    draining: AtomicBool,
    /// Whether the next report is due at once.
    now_due: AtomicBool,
    state: Mutex<State>,
    ended: Condvar,
    streams: Mutex<Vec<TcpStream>>,
    record: Record,
    watch: Arc<Watch>,
    late: Arc<AtomicU64>,
    hung: Arc<AtomicBool>,
    grants: Arc<AtomicBool>,
    late_start: Arc<AtomicU64>,
    withheld: Arc<AtomicBool>,
    cut: Arc<AtomicBool>,
    mute: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease: u64,
    runs: Vec<Run>,
    /// Number, task, run, how.
    finished: Vec<(u64, String, u64, &'static str)>,
    last: u64,
    /// Whether the lease has lapsed since it was last extended.
    lapsed: bool,
    /// The highest run of a task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
}

struct Run {
    task: String,
    run: u64,
    begun: u64,
    ms: u64,
    stops_at: Option<u64>,
    fails: bool,
}

impl Runner {
    pub fn new(
        kind: Kind,
        addr: SocketAddr,
        control: SocketAddr,
        record: Record,
        watch: Arc<Watch>,
    ) -> Arc<Runner> {
        Arc::new(Runner {
            kind,
            addr,
            control,
            record,
            watch,
            life: Mutex::new(None),
            late: Arc::default(),
            hung: Arc::default(),
            grants: Arc::default(),
            late_start: Arc::default(),
            withheld: Arc::default(),
            cut: Arc::default(),
            mute: Arc::default(),
        })
    }

    /// From now on, this share of the orders, in thousandths, is left unanswered and carried out 2 to 12 s
    /// later.
    pub fn set_late(&self, share: u64) {
        self.late.store(share, Ordering::SeqCst);
    }

    pub fn set_hung(&self, hung: bool) {
        self.hung.store(hung, Ordering::SeqCst);
    }

    pub fn set_grants(&self, grants: bool) {
        self.grants.store(grants, Ordering::SeqCst);
    }

    /// The next start gets no answer and is carried out `ms` later; the time that it grants is moved by as much.
    pub fn set_late_start(&self, ms: u64) {
        self.late_start.store(ms, Ordering::SeqCst);
    }

    /// Whether that start has come.
    pub fn has_withheld(&self) -> bool {
        self.withheld.load(Ordering::SeqCst)
    }

    /// Cuts the path to the runner, which runs on: connections are reset, and refused from now on.
    pub fn cut(&self) {
        self.record.line(&format!("runner {} is cut off", self.kind.id));
        self.cut.store(true, Ordering::SeqCst);
        if let Some(life) = &*self.life.lock().unwrap() {
            for stream in life.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    pub fn set_mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.record.line(&format!("runner {} is reached again", self.kind.id));
        self.cut.store(false, Ordering::SeqCst);
    }

    /// Says that it leaves, and ends 2.2 s later, whatever runs then.
    pub fn leave(&self) {
        let Some(life) = self.life.lock().unwrap().clone() else { return };
        life.draining.store(true, Ordering::SeqCst);
        life.now_due.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(2_200));
        let path = format!("/instances/{}", life.kind.id);
        let answer = http::call(self.control, "DELETE", &path, &[], "", Duration::from_secs(1));
        self.record.line(&format!("runner {} leaves: {answer:?}", life.kind.id));
        self.crash();
    }

    pub fn drain(&self) {
        if let Some(life) = &*self.life.lock().unwrap() {
            life.draining.store(true, Ordering::SeqCst);
        }
    }

    /// Begins a life under `id`.
    pub fn start(&self, id: &str) {
        let mut life = self.life.lock().unwrap();
        if life.is_some() {
            return;
        }
        let kind = Kind { id: id.to_owned(), ..self.kind.clone() };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let begun = Arc::new(Life {
            kind,
            addr: self.addr,
            born,
            start: Instant::now(),
            dead: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            now_due: AtomicBool::new(false),
            state: Mutex::default(),
            ended: Condvar::new(),
            streams: Mutex::default(),
            record: self.record.clone(),
            watch: self.watch.clone(),
            late: self.late.clone(),
            hung: self.hung.clone(),
            grants: self.grants.clone(),
            late_start: self.late_start.clone(),
            withheld: self.withheld.clone(),
            cut: self.cut.clone(),
            mute: self.mute.clone(),
        });
        self.record.line(&format!("runner {id} starts"));
        *life = Some(begun.clone());
        listener.set_nonblocking(true).unwrap();
        let serving = begun.clone();
        thread::spawn(move || serving.serve(listener));
        let working = begun.clone();
        thread::spawn(move || working.work());
        let control = self.control;
        thread::spawn(move || begun.announce(control));
    }

    /// Ends the life at once: nothing runs any more, and its connections are closed.
    pub fn crash(&self) {
        let Some(life) = self.life.lock().unwrap().take() else { return };
        life.dead.store(true, Ordering::SeqCst);
        for stream in life.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let runs: Vec<String> = life
            .state
            .lock()
            .unwrap()
            .runs
            .drain(..)
            .map(|run| {
                self.watch.ended(&run.task, run.run, &life.kind.id, "crashed");
                format!("{} run {}", run.task, run.run)
            })
            .collect();
        self.record.line(&format!("runner {} crashes under {runs:?}", life.kind.id));
    }
}

impl Life {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000
    }

    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::SeqCst)
    }

    fn announce(&self, control: SocketAddr) {
        let mut seq = 0;
        while !self.is_dead() {
            if self.cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            seq += 1;
            let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
            let Kind { id, service, zone, cpu, mem_mb, labels } = &self.kind;
            let labels: Vec<String> = labels.iter().map(|label| quote(label)).collect();
            let body = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"{state}\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{cpu},\
                 \"memMb\":{mem_mb},\"gpus\":0}},\"labels\":[{}],\"serverTimeMs\":{},\
                 \"seq\":{seq},\"born\":{}}}",
                quote(service),
                self.addr,
                quote(zone),
                labels.join(","),
                self.now(),
                self.born
            );
            let path = format!("/instances/{id}");
            let limit = Duration::from_secs(1);
            let answer = http::call(control, "PUT", &path, &[], &body, limit);
            let acknowledged = matches!(answer, Ok((200..=299, _)));
            let pause = if acknowledged { HEARTBEAT } else { Duration::from_millis(200) };
            let until = Instant::now() + pause;
            while Instant::now() < until && !self.now_due.swap(false, Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Ends runs that are done, stopped or without a lease.
    fn work(&self) {
        while !self.is_dead() {
            thread::sleep(Duration::from_millis(5));
            let now = self.now();
            let hung = self.hung.load(Ordering::SeqCst);
            let mut state = self.state.lock().unwrap();
            if self.is_dead() {
                return;
            }
            let state = &mut *state;
            let lapsed = now > state.lease;
            if lapsed && !std::mem::replace(&mut state.lapsed, true) {
                self.watch.lapsed(&self.kind.id, self.born);
            }
            let runs = std::mem::take(&mut state.runs);
            for run in runs {
                let how = if run.stops_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else if lapsed {
                    "lapsed"
                } else if run.begun + run.ms <= now && !hung {
                    if run.fails { "failed" } else { "done" }
                } else {
                    state.runs.push(run);
                    continue;
                };
                state.end(&run, how);
                self.watch.ended(&run.task, run.run, &self.kind.id, how);
                self.record.line(&format!(
                    "runner {}: {} run {} ends {how}",
                    self.kind.id, run.task, run.run
                ));
                self.ended.notify_all();
            }
        }
    }

    fn serve(self: Arc<Life>, listener: TcpListener) {
        let mut listener = Some(listener);
        while !self.is_dead() {
            if self.cut.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let open = listener.get_or_insert_with(|| {
                loop {
                    if let Ok(listener) = TcpListener::bind(self.addr) {
                        listener.set_nonblocking(true).unwrap();
                        break listener;
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            });
            match open.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    stream.set_nodelay(true).ok();
                    if let Ok(copy) = stream.try_clone() {
                        self.streams.lock().unwrap().push(copy);
                    }
                    let life = self.clone();
                    thread::spawn(move || life.connection(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn connection(self: Arc<Life>, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some((first, length, headers))) = http::head_of(&mut reader) {
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() || self.is_dead() {
                return;
            }
            let expected = headers.iter().find(|(name, _)| name == "x-briargauge-expect-instance");
            let (status, text) = match expected {
                Some((_, id)) if *id != self.kind.id => (421, "{}".to_owned()),
                _ => {
                    let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
                    let mut rng = Rng::new(self.watch.draw());
                    if rng.below(1_000) < self.late.load(Ordering::SeqCst) {
                        let life = self.clone();
                        thread::spawn(move || {
                            let arrived = life.now();
                            thread::sleep(Duration::from_millis(2_000 + rng.below(10_000)));
                            let text = String::from_utf8_lossy(&body).into_owned();
                            let text = match life.grants.load(Ordering::SeqCst) {
                                true => postpone(&text, life.now() - arrived),
                                false => text,
                            };
                            if !life.is_dead() {
                                life.handle(&path, &text);
                            }
                        });
                        continue;
                    }
                    let late_ms = match path.as_str() {
                        "/run-start" => self.late_start.swap(0, Ordering::SeqCst),
                        _ => 0,
                    };
                    if late_ms > 0 {
                        self.withheld.store(true, Ordering::SeqCst);
                        let text = String::from_utf8_lossy(&body).into_owned();
                        self.record.line(&format!(
                            "runner {} leaves a start unanswered: {text}",
                            self.kind.id
                        ));
                        let life = self.clone();
                        let arrived = self.now();
                        thread::spawn(move || {
                            thread::sleep(Duration::from_millis(late_ms));
                            // For a trial: the time counts from when the order came, as it says.
                            let text = match std::env::var_os("ABSOLUTE") {
                                Some(_) => text,
                                None => postpone(&text, life.now() - arrived),
                            };
                            life.carry_out_late(&text);
                        });
                        continue;
                    }
                    while self.hung.load(Ordering::SeqCst) && !self.is_dead() {
                        thread::sleep(Duration::from_millis(10));
                    }
                    self.handle(&path, &String::from_utf8_lossy(&body))
                }
            };
            if self.mute.load(Ordering::SeqCst) {
                continue;
            }
            if self.is_dead() || http::answer(&mut stream, status, &text).is_err() {
                return;
            }
        }
    }

    fn handle(&self, path: &str, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        match path {
            "/run-start" => self.run_start(&body),
            "/run-stop" => self.run_stop(&body),
            "/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"serverTimeMs\":{},\"reason\":\"{reason}\"}}", self.now()))
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let now = self.now();
        let (Some(task), Some(run)) = (body.text("taskId"), body.num("runId")) else {
            return (400, "{}".to_owned());
        };
        let spec = body.text("spec").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let text = format!("runner {}: {task} run {run}", self.kind.id);
        if !state.take_fence(body) {
            self.record.line(&format!("{text} refused: fence"));
            return self.refuse("fence");
        }
        let expires = body.num("expiresMs").unwrap_or(0);
        if expires.max(state.lease) <= now {
            self.record.line(&format!("{text} refused: late"));
            return self.refuse("late");
        }
        state.take_lease(now, body);
        if state.runs.iter().any(|r| r.task == task && r.run == run) {
            return (200, format!("{{\"serverTimeMs\":{now}}}"));
        }
        if state.closed.get(task).is_some_and(|closed| run <= *closed) {
            self.record.line(&format!("{text} refused: old"));
            return self.refuse("old");
        }
        let ms = spec.split(';').find_map(|part| part.strip_prefix("ms=")?.parse().ok());
        state.runs.push(Run {
            task: task.to_owned(),
            run,
            begun: now,
            ms: ms.unwrap_or(100),
            stops_at: None,
            fails: spec
                .split(';')
                .any(|part| part.strip_prefix("fails=").is_some_and(|n| self.watch.fails(task, n))),
        });
        self.watch.started(task, run, &self.kind.id);
        self.record.line(&format!("{text} starts"));
        (200, format!("{{\"serverTimeMs\":{now}}}"))
    }

    /// Carries a start out that got no answer.
    fn carry_out_late(&self, text: &str) {
        let Some(body) = Json::parse(text) else { return };
        if !self.is_dead() {
            let (status, _) = self.run_start(&body);
            self.record.line(&format!(
                "runner {} carries the start out, with status {status}",
                self.kind.id
            ));
        }
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let now = self.now();
        let (Some(task), Some(run)) = (body.text("taskId"), body.num("runId")) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        if !state.take_fence(body) {
            return self.refuse("fence");
        }
        let closed = state.closed.entry(task.to_owned()).or_insert(0);
        *closed = run.max(*closed);
        for r in state.runs.iter_mut().filter(|r| r.task == task && r.run <= run) {
            r.stops_at.get_or_insert(now + STOP_MS);
        }
        (200, format!("{{\"serverTimeMs\":{now}}}"))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let wait = Duration::from_millis(body.num("waitMs").unwrap_or(0).min(2_000));
        let cursor = body.num("ackCursor").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if !state.take_fence(body) {
            return self.refuse("fence");
        }
        state.take_lease(self.now(), body);
        for (_, task, run, how) in state.finished.iter().filter(|(n, ..)| *n <= cursor) {
            self.watch.acked(task, *run, how, &self.kind.id, self.born);
        }
        state.finished.retain(|(number, ..)| *number > cursor);
        let (state, _) = self
            .ended
            .wait_timeout_while(state, wait, |state| state.finished.is_empty() && !self.is_dead())
            .unwrap();
        let now = self.now();
        let active: Vec<String> = state
            .runs
            .iter()
            .map(|run| {
                let percent = ((now - run.begun) * 100 / run.ms.max(1)).min(99);
                format!("[{},{},\"\",{percent},500]", quote(&run.task), run.run)
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(500)
            .map(|(n, task, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        let text = format!(
            "{{\"serverTimeMs\":{now},\"born\":{},\"active\":[{}],\"finished\":[{}]}}",
            self.born,
            active.join(","),
            finished.join(",")
        );
        (200, text)
    }
}

/// Moves the end of the time that an order grants.
fn postpone(text: &str, ms: u64) -> String {
    let Some(expires) = Json::parse(text).as_ref().and_then(|body| body.num("expiresMs")) else {
        return text.to_owned();
    };
    let field = "\"expiresMs\":";
    text.replace(&format!("{field}{expires}"), &format!("{field}{}", expires + ms))
}

impl State {
    /// Notes the fence number of an order; false if it is lower than the highest one.
    fn take_fence(&mut self, body: &Json) -> bool {
        let fence = body.num("fencingToken").unwrap_or(0);
        let valid = fence >= self.fence;
        self.fence = self.fence.max(fence);
        valid
    }

    fn take_lease(&mut self, now: u64, body: &Json) {
        if let Some(expires) = body.num("expiresMs") {
            self.lease = self.lease.max(expires.min(now + MAX_HOLD_MS));
            self.lapsed &= self.lease < now;
        }
    }

    fn end(&mut self, run: &Run, how: &'static str) {
        self.last += 1;
        let closed = self.closed.entry(run.task.clone()).or_insert(0);
        *closed = run.run.max(*closed);
        self.finished.push((self.last, run.task.clone(), run.run, how));
    }
}
