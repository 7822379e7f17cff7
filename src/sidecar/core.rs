//! The sidecar's state and its rules for starting and ending attempts.

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

/// Longest pause between two looks at what has expired.
const TICK: Duration = Duration::from_millis(100);

/// One sidecar.
pub struct Core<P: Platform> {
    pub platform: P,
    pub settings: settings::Settings,
    pub meter: meter::Meter,
    /// Told when control must learn something at once.
    pub urgent: Notify,
    /// Where entries call, known once the port is bound.
    addr: OnceCell<SocketAddr>,
    born: Instant,
    state: RefCell<State>,
    /// Told when something may have become due earlier than the last tick said.
    poke: Notify,
    /// Told whenever an attempt ends.
    ended: Notify,
    ticking: Cell<bool>,
}

struct State {
    lease: lease::Lease,
    backend: Option<Backend>,
    tasks: HashMap<id::Attempt, Held>,
    /// Whether a rule drains this sidecar.
    drained: bool,
    stopping: bool,
}

impl State {
    fn draining(&self) -> bool {
        self.stopping || self.drained || self.backend.as_ref().is_some_and(|b| b.left)
    }
}

struct Backend {
    announce: announce::Announce,
    slots: slot::Slots,
    /// Time of the last announcement; `None` after the backend server could not be reached.
    heard: Option<Micros>,
    left: bool,
}

impl Backend {
    /// Whether it counts as running when announcements hold for `lease`.
    fn present(&self, now: Micros, lease: Duration) -> bool {
        self.heard.is_some_and(|heard| now < heard + lease.as_micros() as Micros)
    }
}

/// An attempt that waits or runs.
struct Held {
    incarnation: id::Incarnation,
    task: Option<Task>,
    deadline: Micros,
    waiters: Vec<oneshot::Sender<Reply>>,
    stop: Rc<attempt::Stop>,
}

impl<P: Platform> Core<P> {
    pub fn new(platform: P, settings: settings::Settings) -> Rc<Core<P>> {
        let state = State {
            lease: lease::Lease::default(),
            backend: None,
            tasks: HashMap::new(),
            drained: false,
            stopping: false,
        };
        Rc::new(Core {
            platform,
            settings,
            meter: meter::Meter::new(),
            urgent: Notify::new(),
            addr: OnceCell::new(),
            born: Instant::now(),
            state: RefCell::new(state),
            poke: Notify::new(),
            ended: Notify::new(),
            ticking: Cell::new(true),
        })
    }

    /// Sets where entries call.
    pub fn set_addr(&self, addr: SocketAddr) {
        let _ = self.addr.set(addr);
    }

    /// µs since the process started.
    pub fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.born + Duration::from_micros(at)
    }

    /// Takes an attempt in and waits for its end. The attempt does not depend on this future.
    pub async fn run(self: &Rc<Self>, task: Task) -> Reply {
        let attempt = task.attempt;
        let (sender, receiver) = oneshot::channel();
        self.offer(task, sender);
        receiver.await.unwrap_or_else(|_| self.reply(attempt, lost("sidecar stopped")))
    }

    fn offer(self: &Rc<Self>, task: Task, waiter: oneshot::Sender<Reply>) {
        let now = self.now();
        let attempt = task.attempt;
        let verdict = {
            let mut state = self.state.borrow_mut();
            self.close_if_due(now, &mut state);
            let State { backend, lease, .. } = &mut *state;
            match backend {
                None => slot::Verdict::Refused(NotStarted::WrongIncarnation),
                Some(backend) => backend.slots.offer(now, lease, ask(now, &task)),
            }
        };
        match verdict {
            slot::Verdict::Start => {
                self.hold(now, task, waiter);
                self.start(attempt);
            }
            slot::Verdict::Queued => {
                self.hold(now, task, waiter);
                self.poke.notify_one();
            }
            slot::Verdict::Refused(reason) => {
                self.meter.refused(reason);
                let _ = waiter.send(self.reply(attempt, RunResult::NotStarted { reason }));
            }
            slot::Verdict::Duplicate => match self.state.borrow_mut().tasks.get_mut(&attempt) {
                Some(held) => held.waiters.push(waiter),
                None => drop(waiter),
            },
            slot::Verdict::Forgotten => {
                let result = lost("attempt was received before");
                let _ = waiter.send(self.reply(attempt, result));
            }
        }
        self.show_load();
    }

    fn hold(&self, now: Micros, task: Task, waiter: oneshot::Sender<Reply>) {
        let held = Held {
            incarnation: task.incarnation,
            deadline: deadline(now, &task),
            waiters: vec![waiter],
            stop: Rc::default(),
            task: Some(task),
        };
        let attempt = held.task.as_ref().expect("just set").attempt;
        self.state.borrow_mut().tasks.insert(attempt, held);
    }

    /// Runs an attempt that has a slot, in a task of its own.
    fn start(self: &Rc<Self>, attempt: id::Attempt) {
        let mut state = self.state.borrow_mut();
        let State { backend: Some(backend), tasks, .. } = &mut *state else { return };
        let Some(held) = tasks.get_mut(&attempt) else { return };
        let Some(task) = held.task.take() else { return };
        let job = attempt::Job {
            task,
            addr: backend.announce.addr,
            deadline: held.deadline,
            stop: held.stop.clone(),
        };
        self.meter.started(&job.task.account.0);
        actix_rt::spawn(attempt::run(self.clone(), job));
    }

    /// Takes the end of a started attempt: frees its slot and answers whoever waits.
    pub fn finish(
        self: &Rc<Self>,
        attempt: id::Attempt,
        incarnation: id::Incarnation,
        result: RunResult,
    ) {
        let held = {
            let mut state = self.state.borrow_mut();
            let State { backend, tasks, .. } = &mut *state;
            if tasks.get(&attempt).is_none_or(|h| h.incarnation != incarnation) {
                return;
            }
            if let Some(backend) = backend {
                match &result {
                    RunResult::NotStarted { reason } => {
                        backend.slots.not_started(attempt, *reason);
                        // Until the next announcement others would only fail in the same way.
                        backend.heard = None;
                    }
                    _ => {
                        backend.slots.ended(attempt);
                    }
                }
            }
            tasks.remove(&attempt)
        };
        if let Some(held) = held {
            self.answer(attempt, held.waiters, result);
        }
        self.ended.notify_waiters();
        self.pump();
    }

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

    /// Starts and refuses queued attempts until nothing is due.
    fn pump(self: &Rc<Self>) {
        self.withdraw_unwanted();
        loop {
            let next = {
                let now = self.now();
                let mut state = self.state.borrow_mut();
                self.close_if_due(now, &mut state);
                let State { backend, lease, .. } = &mut *state;
                backend.as_mut().and_then(|b| b.slots.next(now, lease))
            };
            match next {
                None => break,
                Some(slot::Next::Start(attempt)) => self.start(attempt),
                Some(slot::Next::Refuse(attempt, reason)) => self.refuse(attempt, reason),
            }
        }
        self.show_load();
    }

    fn refuse(&self, attempt: id::Attempt, reason: NotStarted) {
        self.meter.refused(reason);
        let held = self.state.borrow_mut().tasks.remove(&attempt);
        if let Some(held) = held {
            self.answer(attempt, held.waiters, RunResult::NotStarted { reason });
        }
    }

    /// Takes attempts out of the queue whose callers have all gone: their work would be in vain.
    fn withdraw_unwanted(&self) {
        let mut state = self.state.borrow_mut();
        let State { backend: Some(backend), tasks, .. } = &mut *state else { return };
        tasks.retain(|attempt, held| {
            let unwanted = held.task.is_some() && held.waiters.iter().all(|w| w.is_closed());
            !(unwanted && backend.slots.withdraw(*attempt))
        });
    }

    fn close_if_due(&self, now: Micros, state: &mut State) {
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
            self.urgent.notify_one();
        }
    }

    /// Does what is due and returns when to look again.
    fn tick(self: &Rc<Self>) -> Instant {
        self.pump();
        let state = self.state.borrow();
        let wake = state.backend.as_ref().and_then(|b| b.slots.wake(&state.lease));
        let latest = Instant::now() + TICK;
        wake.map_or(latest, |at| self.instant(at).min(latest))
    }

    /// Keeps looking at what is due until `close`.
    pub async fn tick_on(self: Rc<Self>) {
        while self.ticking.get() {
            let at = self.tick();
            tokio::select! {
                () = time::sleep_until(at) => {}
                () = self.poke.notified() => {}
            }
        }
    }

    /// Cancels a run: its queued attempts never start, its running ones are stopped.
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
            if let Some(held) = self.state.borrow().tasks.get(attempt) {
                held.stop.set(attempt::Reason::Cancelled);
            }
        }
        self.pump();
        Cancelled { queued: queued.len() as u16, running: running.len() as u16 }
    }

    /// Makes attempts unstartable unless they have started.
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

    /// Takes an announcement. Returns the incarnation, or `None` if that start has left.
    pub fn announced(self: &Rc<Self>, announce: announce::Announce) -> Option<id::Incarnation> {
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            if let Some(backend) = &mut state.backend
                && backend.announce.start == announce.start
                && backend.announce.addr == announce.addr
            {
                backend.heard = Some(now);
                if backend.announce != announce {
                    backend.slots.set_limits(limits(&self.settings, &announce));
                    backend.announce = announce;
                    self.urgent.notify_one();
                }
                return (!backend.left).then(|| backend.slots.incarnation());
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
        let tasks = {
            let mut state = self.state.borrow_mut();
            state.backend = Some(Backend { announce, slots, heard: Some(now), left: false });
            std::mem::take(&mut state.tasks)
        };
        self.abandon(tasks, "backend server restarted");
        self.urgent.notify_one();
        Some(incarnation)
    }

    /// Ends attempts whose incarnation has ended.
    fn abandon(&self, tasks: HashMap<id::Attempt, Held>, detail: &str) {
        for (attempt, held) in tasks {
            let result = if held.task.is_some() {
                RunResult::NotStarted { reason: NotStarted::WrongIncarnation }
            } else {
                held.stop.set(attempt::Reason::Abandoned);
                lost(detail)
            };
            self.answer(attempt, held.waiters, result);
        }
        self.ended.notify_waiters();
    }

    /// The backend server leaves: refuses everything that has not started.
    pub fn left(self: &Rc<Self>, start: u64) {
        {
            let mut state = self.state.borrow_mut();
            let Some(backend) = &mut state.backend else { return };
            if backend.announce.start != start || backend.left {
                return;
            }
            backend.left = true;
        }
        log::info!("event=backend_leaving start={start}");
        self.pump();
    }

    /// The sidecar stops: refuses everything that has not started.
    pub fn stop(self: &Rc<Self>) {
        self.state.borrow_mut().stopping = true;
        self.pump();
    }

    pub fn stopping(&self) -> bool {
        self.state.borrow().stopping
    }

    /// Waits until no attempt runs, at most `limit`. Returns how many still run.
    pub async fn drained(&self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        loop {
            let ended = self.ended.notified();
            let running = self.state.borrow().tasks.len();
            if running == 0 || time::timeout_at(end, ended).await.is_err() {
                return running;
            }
        }
    }

    /// Ends what still runs: its outcome is not known.
    pub fn cut_off(&self) {
        let tasks = std::mem::take(&mut self.state.borrow_mut().tasks);
        for attempt in tasks.keys() {
            log::warn!("event=cut_off attempt={attempt}");
        }
        self.abandon(tasks, "sidecar stopped");
    }

    /// Ends the ticker.
    pub fn close(&self) {
        self.ticking.set(false);
        self.poke.notify_one();
    }

    /// Whether the backend server has announced itself lately.
    pub fn present(&self) -> bool {
        let (now, lease) = (self.now(), self.settings.announce_lease_ms);
        self.state.borrow().backend.as_ref().is_some_and(|b| b.present(now, lease))
    }

    /// What to report to control.
    pub fn report(&self) -> control::SidecarSync {
        let present = self.present();
        let state = self.state.borrow();
        let server = state.backend.as_ref().filter(|b| {
            let idle = b.slots.running().next().is_none();
            present && self.addr.get().is_some() && !((b.left || state.stopping) && idle)
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

    /// Takes over the answer to a report that was sent at `sent`.
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
                *drained = self.drained_by(lease).unwrap_or(*drained);
            }
        }
        self.pump();
    }

    /// Whether the rules held drain this sidecar, `None` if this version cannot read them. Then
    /// what the last readable rules said stays: draining every sidecar that is older than the
    /// rule language would stop all work, and control and entries drain on their own.
    fn drained_by(&self, lease: &lease::Lease) -> Option<bool> {
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

    fn show_load(&self) {
        self.meter.load(self.load());
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

fn ask(now: Micros, task: &Task) -> slot::Request {
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

/// A started attempt whose result is lost.
fn lost(detail: &str) -> RunResult {
    RunResult::Failed { reason: job::Failure::OutcomeUnknown, detail: detail.into(), ran_us: 0 }
}
