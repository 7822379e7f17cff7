//! State of the sidecar. Decides which attempts start, and replies to their calls.

use std::{
    cell::{Cell, OnceCell, Ref, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::{Notify, oneshot},
    time::{self, Instant},
};

use crate::{
    coordination::{dispatch::Micros, lease, slot},
    protocol::{
        announce, id, job, rule,
        wire::{
            control,
            sidecar::{Cancelled, Load, NotStarted, Reply, Revoked, RunResult, Task},
        },
    },
    sidecar::{attempt, meter, platform::Platform, settings},
};

/// Maximum time between two checks of deadlines and leases.
const TICK: Duration = Duration::from_millis(100);

/// State of one sidecar.
pub struct Core<P: Platform> {
    pub platform: P,
    pub settings: settings::Settings,
    pub meter: meter::Meter,
    /// Notified when control must be sent a report without waiting for the interval.
    pub report_now: Notify,
    /// Address at which entries reach this sidecar; set when the port is bound.
    addr: OnceCell<SocketAddr>,
    started_at: Instant,
    state: RefCell<State>,
    /// Notified when the ticker must process the queue earlier than its last tick determined.
    wake_ticker: Notify,
    /// Notified whenever an attempt ends.
    attempt_ended: Notify,
    ticking: Cell<bool>,
}

struct State {
    lease: lease::Lease,
    backend: Option<Backend>,
    attempts: HashMap<id::Attempt, ActiveAttempt>,
    /// Whether a rule drains this sidecar.
    drained: bool,
    stopping: bool,
}

impl State {
    fn draining(&self) -> bool {
        self.stopping || self.drained || self.backend.as_ref().is_some_and(|b| b.leaving)
    }
}

/// The backend server in its current incarnation.
struct Backend {
    announce: announce::Announce,
    slots: slot::Slots,
    /// Time of the last announcement. `None` if no connection to the backend server could be opened
    /// since then.
    announced_at: Option<Micros>,
    /// Whether the backend server has sent `POST /leave`.
    leaving: bool,
}

impl Backend {
    /// Whether the last announcement is less than `lease` old.
    fn present(&self, now: Micros, lease: Duration) -> bool {
        self.announced_at
            .is_some_and(|announced_at| now < announced_at + lease.as_micros() as Micros)
    }
}

/// An attempt that is queued or runs.
struct ActiveAttempt {
    incarnation: id::Incarnation,
    /// The task until the attempt starts; `None` afterwards.
    task: Option<Task>,
    deadline: Micros,
    /// Calls that wait for the reply: the first one and repeated ones.
    waiters: Vec<oneshot::Sender<Reply>>,
    stop: Rc<attempt::StopRequest>,
}

impl<P: Platform> Core<P> {
    pub fn new(platform: P, settings: settings::Settings) -> Rc<Core<P>> {
        let state = State {
            lease: lease::Lease::default(),
            backend: None,
            attempts: HashMap::new(),
            drained: false,
            stopping: false,
        };
        Rc::new(Core {
            platform,
            settings,
            meter: meter::Meter::new(),
            report_now: Notify::new(),
            addr: OnceCell::new(),
            started_at: Instant::now(),
            state: RefCell::new(state),
            wake_ticker: Notify::new(),
            attempt_ended: Notify::new(),
            ticking: Cell::new(true),
        })
    }

    /// Sets the address at which entries reach this sidecar.
    pub fn set_addr(&self, addr: SocketAddr) {
        let _ = self.addr.set(addr);
    }

    /// Time since the process started, in µs.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts a time since the process started to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at)
    }

    /// Accepts or refuses an attempt and returns the reply when it has ended. Dropping this future
    /// does not stop an attempt that has started.
    pub async fn run(self: &Rc<Self>, task: Task) -> Reply {
        let attempt = task.attempt;
        let (sender, receiver) = oneshot::channel();
        self.offer(task, sender);
        receiver.await.unwrap_or_else(|_| self.reply(attempt, outcome_unknown("sidecar stopped")))
    }

    fn offer(self: &Rc<Self>, task: Task, waiter: oneshot::Sender<Reply>) {
        let now = self.now();
        let attempt = task.attempt;
        let verdict = {
            let mut state = self.state.borrow_mut();
            self.update_closed(now, &mut state);
            let State { backend, lease, .. } = &mut *state;
            match backend {
                None => slot::Verdict::Refused(NotStarted::WrongIncarnation),
                Some(backend) => backend.slots.offer(now, lease, slot_request(now, &task)),
            }
        };
        match verdict {
            slot::Verdict::Start => {
                self.track(now, task, waiter);
                self.start(attempt);
            }
            slot::Verdict::Queued => {
                self.track(now, task, waiter);
                self.wake_ticker.notify_one();
            }
            slot::Verdict::Refused(reason) => {
                self.meter.refused(reason);
                let _ = waiter.send(self.reply(attempt, RunResult::NotStarted { reason }));
            }
            slot::Verdict::Duplicate => match self.state.borrow_mut().attempts.get_mut(&attempt) {
                Some(active) => active.waiters.push(waiter),
                // `cut_off` has removed the attempt. `run` replies that the sidecar stopped.
                None => drop(waiter),
            },
            slot::Verdict::Forgotten => {
                let result = outcome_unknown("attempt was received before");
                let _ = waiter.send(self.reply(attempt, result));
            }
        }
        self.record_load();
    }

    fn track(&self, now: Micros, task: Task, waiter: oneshot::Sender<Reply>) {
        let active = ActiveAttempt {
            incarnation: task.incarnation,
            deadline: deadline(now, &task),
            waiters: vec![waiter],
            stop: Rc::default(),
            task: Some(task),
        };
        let attempt = active.task.as_ref().expect("just set").attempt;
        self.state.borrow_mut().attempts.insert(attempt, active);
    }

    /// Starts an attempt that has a slot, in an asynchronous task of its own.
    fn start(self: &Rc<Self>, attempt: id::Attempt) {
        let mut state = self.state.borrow_mut();
        let State { backend: Some(backend), attempts, .. } = &mut *state else { return };
        let Some(active) = attempts.get_mut(&attempt) else { return };
        let Some(task) = active.task.take() else { return };
        let started = attempt::StartedAttempt {
            task,
            addr: backend.announce.addr,
            deadline: active.deadline,
            stop: active.stop.clone(),
        };
        self.meter.started(&started.task.account.0);
        actix_rt::spawn(attempt::run(self.clone(), started));
    }

    /// Records that a started attempt has ended: frees its slot and replies to the calls that wait
    /// for it. Does nothing if the attempt belongs to an earlier incarnation of the backend server.
    pub fn finish(
        self: &Rc<Self>,
        attempt: id::Attempt,
        incarnation: id::Incarnation,
        result: RunResult,
    ) {
        let active = {
            let mut state = self.state.borrow_mut();
            let State { backend, attempts, .. } = &mut *state;
            if attempts.get(&attempt).is_none_or(|a| a.incarnation != incarnation) {
                return;
            }
            if let Some(backend) = backend {
                match &result {
                    RunResult::NotStarted { reason } => {
                        backend.slots.not_started(attempt, *reason);
                        // Treats the backend server as unreachable until its next announcement:
                        // other attempts would fail in the same way.
                        backend.announced_at = None;
                    }
                    _ => {
                        backend.slots.ended(attempt);
                    }
                }
            }
            attempts.remove(&attempt)
        };
        if let Some(active) = active {
            self.answer(attempt, active.waiters, result);
        }
        self.attempt_ended.notify_waiters();
        self.process_queue();
    }

    /// Sends the result of an attempt to the calls that wait for it.
    fn answer(&self, attempt: id::Attempt, to: Vec<oneshot::Sender<Reply>>, result: RunResult) {
        for waiter in to {
            let _ = waiter.send(self.reply(attempt, result.clone()));
        }
    }

    fn reply(&self, attempt: id::Attempt, result: RunResult) -> Reply {
        Reply { attempt, load: self.load(), result }
    }

    pub fn load(&self) -> Load {
        self.state.borrow().backend.as_ref().map(|b| b.slots.load()).unwrap_or_default()
    }

    /// Starts and refuses queued attempts until none can be started or must be refused.
    fn process_queue(self: &Rc<Self>) {
        self.withdraw_unwanted();
        loop {
            let next = {
                let now = self.now();
                let mut state = self.state.borrow_mut();
                self.update_closed(now, &mut state);
                let State { backend, lease, .. } = &mut *state;
                backend.as_mut().and_then(|b| b.slots.next(now, lease))
            };
            match next {
                None => break,
                Some(slot::Next::Start(attempt)) => self.start(attempt),
                Some(slot::Next::Refuse(attempt, reason)) => self.refuse(attempt, reason),
            }
        }
        self.record_load();
    }

    fn refuse(&self, attempt: id::Attempt, reason: NotStarted) {
        self.meter.refused(reason);
        let active = self.state.borrow_mut().attempts.remove(&attempt);
        if let Some(active) = active {
            self.answer(attempt, active.waiters, RunResult::NotStarted { reason });
        }
    }

    /// Removes attempts from the queue for which no call waits any more: nobody would receive their
    /// answer.
    fn withdraw_unwanted(&self) {
        let mut state = self.state.borrow_mut();
        let State { backend: Some(backend), attempts, .. } = &mut *state else { return };
        attempts.retain(|attempt, active| {
            let unwanted = active.task.is_some() && active.waiters.iter().all(|w| w.is_closed());
            !(unwanted && backend.slots.withdraw(*attempt))
        });
    }

    /// Lets the slots refuse attempts that have not started while the sidecar drains or the backend
    /// server is unreachable, and accept them otherwise. A change is reported to control at once.
    fn update_closed(&self, now: Micros, state: &mut State) {
        let draining = state.draining();
        let Some(backend) = &mut state.backend else { return };
        let reason = if draining {
            Some(NotStarted::Draining)
        } else if !backend.present(now, self.settings.announce_lease_ms) {
            Some(NotStarted::Unreachable)
        } else {
            None
        };
        if backend.slots.set_closed(reason) {
            self.report_now.notify_one();
        }
    }

    /// Processes the queue and returns when to do so again.
    fn tick(self: &Rc<Self>) -> Instant {
        self.process_queue();
        let state = self.state.borrow();
        let due = state.backend.as_ref().and_then(|b| b.slots.wake(&state.lease));
        let latest = Instant::now() + TICK;
        due.map_or(latest, |at| self.instant(at).min(latest))
    }

    /// Processes the queue when the deadline of a queued attempt passes or the sidecar's lease runs
    /// out, and at least every `TICK`, until `stop_ticker` is called.
    pub async fn run_ticker(self: Rc<Self>) {
        while self.ticking.get() {
            let at = self.tick();
            tokio::select! {
                () = time::sleep_until(at) => {}
                () = self.wake_ticker.notified() => {}
            }
        }
    }

    /// Cancels an execution: its queued attempts never start, its running ones are stopped.
    pub fn cancel(self: &Rc<Self>, execution: id::Execution) -> Cancelled {
        let (queued, running) = {
            let mut state = self.state.borrow_mut();
            let Some(backend) = &mut state.backend else {
                return Cancelled { queued: 0, running: 0 };
            };
            backend.slots.cancel(execution)
        };
        for attempt in &queued {
            self.refuse(*attempt, NotStarted::Revoked);
        }
        for attempt in &running {
            if let Some(active) = self.state.borrow().attempts.get(attempt) {
                active.stop.request(attempt::StopReason::Cancelled);
            }
        }
        self.process_queue();
        Cancelled { queued: queued.len() as u16, running: running.len() as u16 }
    }

    /// Prevents the start of attempts that have not started yet.
    pub fn revoke(
        self: &Rc<Self>,
        incarnation: id::Incarnation,
        attempts: &[id::Attempt],
    ) -> Vec<Revoked> {
        let revoked: Vec<Revoked> = {
            let mut state = self.state.borrow_mut();
            let backend = state.backend.as_mut();
            let Some(backend) = backend.filter(|b| b.slots.incarnation() == incarnation) else {
                return vec![Revoked::Unknown; attempts.len()];
            };
            attempts.iter().map(|a| backend.slots.revoke(*a)).collect()
        };
        for (attempt, revoked) in attempts.iter().zip(&revoked) {
            if *revoked == Revoked::NotStarted {
                self.refuse(*attempt, NotStarted::Revoked);
            }
        }
        revoked
    }

    /// Handles an announcement of the backend server. Returns its incarnation, or `None` if the
    /// backend server has sent `POST /leave` in this incarnation.
    pub fn handle_announcement(
        self: &Rc<Self>,
        announce: announce::Announce,
    ) -> Option<id::Incarnation> {
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            if let Some(backend) = &mut state.backend
                && backend.announce.start == announce.start
                && backend.announce.addr == announce.addr
            {
                backend.announced_at = Some(now);
                if backend.announce != announce {
                    backend.slots.set_limits(limits(&self.settings, &announce));
                    backend.announce = announce;
                    self.report_now.notify_one();
                }
                return (!backend.leaving).then(|| backend.slots.incarnation());
            }
        }
        let incarnation = id::Incarnation(rand::random());
        log::info!(
            "event=backend_announced addr={} start={} incarnation={}",
            announce.addr,
            announce.start,
            incarnation.0
        );
        let slots = slot::Slots::new(incarnation, limits(&self.settings, &announce));
        let attempts = {
            let mut state = self.state.borrow_mut();
            state.backend =
                Some(Backend { announce, slots, announced_at: Some(now), leaving: false });
            std::mem::take(&mut state.attempts)
        };
        self.abandon(attempts, "backend server restarted");
        self.report_now.notify_one();
        Some(incarnation)
    }

    /// Ends attempts that were removed from the state, and replies to their calls. Queued ones have
    /// not started. Running ones are stopped, and their outcome is unknown.
    fn abandon(&self, attempts: HashMap<id::Attempt, ActiveAttempt>, detail: &str) {
        for (attempt, active) in attempts {
            let result = if active.task.is_some() {
                RunResult::NotStarted { reason: NotStarted::WrongIncarnation }
            } else {
                active.stop.request(attempt::StopReason::Abandoned);
                outcome_unknown(detail)
            };
            self.answer(attempt, active.waiters, result);
        }
        self.attempt_ended.notify_waiters();
    }

    /// Handles the leaving of the backend server whose announcements carry the number `start`:
    /// refuses all attempts that have not started.
    pub fn handle_leave(self: &Rc<Self>, start: u64) {
        {
            let mut state = self.state.borrow_mut();
            let Some(backend) = &mut state.backend else { return };
            if backend.announce.start != start || backend.leaving {
                return;
            }
            backend.leaving = true;
        }
        log::info!("event=backend_leaving start={start}");
        self.process_queue();
    }

    /// Begins to stop the sidecar: refuses all attempts that have not started.
    pub fn stop(self: &Rc<Self>) {
        self.state.borrow_mut().stopping = true;
        self.process_queue();
    }

    pub fn stopping(&self) -> bool {
        self.state.borrow().stopping
    }

    /// Waits until no attempt is queued or runs, but at most for `limit`. Returns how many are
    /// left.
    pub async fn wait_until_idle(&self, limit: Duration) -> usize {
        let deadline = Instant::now() + limit;
        loop {
            let ended = self.attempt_ended.notified();
            let running = self.state.borrow().attempts.len();
            if running == 0 || time::timeout_at(deadline, ended).await.is_err() {
                return running;
            }
        }
    }

    /// Ends all attempts that are left. Running ones are stopped, and their outcome is unknown;
    /// queued ones are refused.
    pub fn cut_off(&self) {
        let attempts = std::mem::take(&mut self.state.borrow_mut().attempts);
        for attempt in attempts.keys() {
            log::warn!("event=cut_off attempt={attempt}");
        }
        self.abandon(attempts, "sidecar stopped");
    }

    /// Stops the ticker.
    pub fn stop_ticker(&self) {
        self.ticking.set(false);
        self.wake_ticker.notify_one();
    }

    /// Whether the backend server's last announcement is still valid: it is less than
    /// `announce_lease_ms` old, and the backend server could be reached since then.
    pub fn present(&self) -> bool {
        let (now, lease) = (self.now(), self.settings.announce_lease_ms);
        self.state.borrow().backend.as_ref().is_some_and(|b| b.present(now, lease))
    }

    /// The report to control. It contains no backend server if the last announcement is not
    /// valid any more, or if the backend server or the sidecar is leaving and no attempt runs.
    pub fn report(&self) -> control::SidecarSync {
        let present = self.present();
        let state = self.state.borrow();
        let server = state.backend.as_ref().filter(|b| {
            let idle = b.slots.running().next().is_none();
            present && self.addr.get().is_some() && !((b.leaving || state.stopping) && idle)
        });
        control::SidecarSync {
            server: server.map(|b| self.server(b, state.draining())),
            rules_version: state.lease.rules_version(),
            sessions: state.lease.as_of(),
        }
    }

    fn server(&self, backend: &Backend, draining: bool) -> control::Server {
        let announce = &backend.announce;
        control::Server {
            incarnation: backend.slots.incarnation(),
            addr: *self.addr.get().unwrap_or(&self.settings.rpc),
            data_centre: self.settings.data_centre.clone(),
            rack: self.settings.rack.clone(),
            slots: announce.slots,
            connections: announce.connections,
            kinds: announce.kinds.clone(),
            size: announce.size,
            state: match draining {
                true => control::ServerState::Draining,
                false => control::ServerState::Serving,
            },
        }
    }

    /// Handles control's reply to a report that was sent at `sent`.
    pub fn confirm(self: &Rc<Self>, sent: Micros, view: control::SidecarView) {
        {
            let mut state = self.state.borrow_mut();
            let State { lease, backend, drained, .. } = &mut *state;
            let version = lease.rules_version();
            lease.confirm(sent, view);
            if let Some(backend) = backend {
                backend.slots.forget_fenced(lease);
            }
            if lease.rules_version() != version {
                *drained = self.drained_by_rules(lease).unwrap_or(*drained);
            }
        }
        self.process_queue();
    }

    /// Whether the current rules drain this sidecar; `None` if this program version cannot parse
    /// them. In that case the result for the last rules that could be parsed stays in force.
    /// Otherwise a new element of the rules language would drain all sidecars of older versions and
    /// so stop all work. Control and entries apply drain rules on their own.
    fn drained_by_rules(&self, lease: &lease::Lease) -> Option<bool> {
        let settings::Settings { data_centre, rack, rpc, .. } = &self.settings;
        let addr = *self.addr.get().unwrap_or(rpc);
        match rule::Rules::parse(lease.rules()) {
            Ok(rules) => Some(rules.drains(data_centre, rack, addr)),
            Err(faults) => {
                let version = lease.rules_version();
                log::error!("event=rules_unreadable version={version} faults={:?}", faults.0);
                None
            }
        }
    }

    pub fn lease(&self) -> Ref<'_, lease::Lease> {
        Ref::map(self.state.borrow(), |s| &s.lease)
    }

    /// Sets the metrics of the current load.
    fn record_load(&self) {
        self.meter.set_load(self.load());
    }
}

fn limits(settings: &settings::Settings, announce: &announce::Announce) -> slot::Limits {
    slot::Limits {
        slots: announce.slots,
        connections: announce.connections,
        queue: settings.queue,
        kinds: announce.kinds.clone(),
        size: announce.size,
    }
}

fn slot_request(now: Micros, task: &Task) -> slot::Request {
    slot::Request {
        attempt: task.attempt,
        incarnation: task.incarnation,
        account: task.account.clone(),
        kind: task.kind.clone(),
        declared_ms: task.declared_ms,
        needs: task.needs,
        deadline: deadline(now, task),
    }
}

fn deadline(now: Micros, task: &Task) -> Micros {
    now + u64::from(task.left_ms) * 1_000
}

/// Result of an attempt that started, or may have started, and whose outcome is unknown.
fn outcome_unknown(detail: &str) -> RunResult {
    RunResult::Failed { reason: job::Failure::OutcomeUnknown, detail: detail.into(), ran_us: 0 }
}
