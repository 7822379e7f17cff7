//! Carries out what the dispatcher decides and gathers the answers of each run.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use prometheus::Histogram;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::{Notify, oneshot},
    time::{self, Instant},
};

use crate::{
    coordination::dispatch::{self, Action, Dispatcher, Ended, Micros, Next},
    entry::{
        backend::{Backend, End, Report},
        budget::{Budget, Hold},
        keyed::Done,
        meter::{Meter, Waste},
        policy::Policy,
        session::Session,
        settings::{Limits, Settings},
    },
    metric,
    protocol::{
        id, job,
        rule::Rules,
        wire::{Answer, Outcome, control, sidecar},
    },
    util,
};

/// Runs submissions; on a single thread, shared by reference.
pub struct Engine {
    start: Instant,
    limits: Limits,
    session: Rc<Session>,
    meter: Rc<Meter>,
    budget: Arc<Budget>,
    dispatcher: RefCell<Dispatcher>,
    random: RefCell<Pcg64Mcg>,
    executions: RefCell<HashMap<id::Execution, Running>>,
    backends: RefCell<HashMap<id::Incarnation, Rc<Backend>>>,
    /// Task starts asked for since the last report to control.
    demand: RefCell<HashMap<id::Account, u64>>,
    /// This entry's parts of quotas, in task starts per second.
    shares: RefCell<HashMap<id::Account, f64>>,
    policy: RefCell<Policy>,
    /// Something has changed that may let attempts start.
    changed: Notify,
}

/// What is to be run.
#[derive(Debug)]
pub struct Work {
    /// Its deadline is set by [`Engine::check`].
    pub spec: dispatch::Spec,
    /// JSON texts in the order of the tasks.
    pub inputs: Vec<String>,
    pub deadline: Instant,
    /// Memory that the inputs take.
    pub hold: Hold,
}

/// How a run ended, with the memory that its answers take.
#[derive(Debug)]
pub struct Ending {
    pub outcome: Outcome,
    pub hold: Hold,
}

/// A run in progress.
struct Running {
    work: Work,
    answers: Vec<Option<String>>,
    answered: usize,
    bytes: usize,
    hold: Hold,
    /// Attempts sent and not known to be unstarted. While it is 0, nothing of the run has started.
    sent: usize,
    time: Histogram,
    ended: oneshot::Sender<Ending>,
}

impl Engine {
    pub fn new(
        settings: &Settings,
        session: Rc<Session>,
        meter: Rc<Meter>,
        budget: Arc<Budget>,
    ) -> Rc<Engine> {
        Rc::new(Engine {
            start: Instant::now(),
            limits: settings.limits.clone(),
            session,
            meter,
            budget,
            dispatcher: RefCell::new(Dispatcher::new(settings.dispatcher())),
            random: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
            executions: RefCell::default(),
            backends: RefCell::default(),
            demand: RefCell::default(),
            shares: RefCell::default(),
            policy: RefCell::default(),
            changed: Notify::new(),
        })
    }

    fn now(&self) -> Micros {
        self.micros(Instant::now())
    }

    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Counts a submission's tasks as asked for, and checks whether they could be taken now.
    pub fn check(&self, work: &mut Work) -> Result<(), Done> {
        let (account, tasks) = (&work.spec.account, work.spec.tasks.len());
        let mut demand = self.demand.borrow_mut();
        let full = demand.len() >= metric::LABELS_MAX;
        match demand.get_mut(account) {
            Some(starts) => *starts += tasks as u64,
            // Invented names must not fill memory and reports.
            None if full => {}
            None => {
                demand.insert(account.clone(), tasks as u64);
            }
        }
        drop(demand);
        if !self.budget.has_room(work.hold.bytes()) {
            let detail = "the entry's memory for answers is used up";
            return Err(Done::not_run(job::Refusal::Overloaded, detail));
        }
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        self.policy.borrow_mut().apply(now, &mut dispatcher, work)?;
        work.spec.deadline = self.micros(work.deadline);
        dispatcher.check(now, &work.spec).map_err(Done::refused)
    }

    /// Takes over new rules.
    pub fn set_rules(&self, rules: Rules) {
        self.policy.borrow_mut().set(self.now(), &mut self.dispatcher.borrow_mut(), rules);
        self.changed.notify_one();
    }

    /// Task starts per second that each team asked for over the last `period`, and the share held.
    pub fn demands(&self, period: Duration) -> Vec<control::Demand> {
        let seconds = period.as_secs_f64().max(0.001);
        let mut demand = self.demand.take();
        let shares = self.shares.borrow();
        for account in shares.keys() {
            demand.entry(account.clone()).or_default();
        }
        demand
            .into_iter()
            .map(|(account, starts)| control::Demand {
                held_per_s: shares.get(&account).copied().unwrap_or(0.0),
                starts_per_s: starts as f64 / seconds,
                account,
            })
            .collect()
    }

    /// Takes over server changes and quota shares.
    pub fn update(&self, view: &control::EntryView) {
        {
            let mut backends = self.backends.borrow_mut();
            if view.servers.full {
                let listed =
                    |i: &id::Incarnation| view.servers.changed.iter().any(|m| m.incarnation == *i);
                backends.retain(|incarnation, _| listed(incarnation));
            }
            for incarnation in &view.servers.removed {
                backends.remove(incarnation);
            }
            for server in &view.servers.changed {
                let known = backends.get(&server.incarnation).map(|b| b.addr());
                if known != Some(server.addr) {
                    let backend = Backend::new(server, self.meter.clone());
                    backends.insert(server.incarnation, backend);
                }
            }
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_servers(self.now(), &view.servers);
        dispatcher.set_shares(self.now(), &view.shares);
        let shares = view.shares.iter().map(|s| (s.account.clone(), s.starts_per_s)).collect();
        self.shares.replace(shares);
        self.changed.notify_one();
    }

    /// Runs `work`. Its end comes through the returned channel.
    pub fn submit(
        &self,
        execution: id::Execution,
        work: Work,
    ) -> Result<oneshot::Receiver<Ending>, job::Refusal> {
        self.dispatcher.borrow_mut().submit(self.now(), execution, work.spec.clone())?;
        let (ended, ending) = oneshot::channel();
        let running = Running {
            time: self.meter.task(&work.spec.account),
            answers: vec![None; work.inputs.len()],
            work,
            answered: 0,
            bytes: 0,
            hold: self.budget.hold(),
            sent: 0,
            ended,
        };
        self.executions.borrow_mut().insert(execution, running);
        self.changed.notify_one();
        Ok(ending)
    }

    /// Answered and all tasks of a run in progress.
    pub fn progress(&self, execution: id::Execution) -> Option<(usize, usize)> {
        self.executions.borrow().get(&execution).map(|r| (r.answered, r.answers.len()))
    }

    /// Tasks waiting to be sent, and backend servers ejected for their health.
    pub fn waiting(&self) -> (usize, usize) {
        let dispatcher = self.dispatcher.borrow();
        (dispatcher.queued(), dispatcher.ejected())
    }

    /// Runs in progress.
    pub fn running(&self) -> usize {
        self.executions.borrow().len()
    }

    /// Ends a run because its caller wants it no more.
    pub fn cancel(&self, execution: id::Execution) {
        self.end(
            execution,
            job::Failure::Cancelled,
            job::Refusal::Cancelled,
            "cancelled by the caller",
        );
    }

    /// Ends a run whose deadline has passed.
    pub fn expire(&self, execution: id::Execution) {
        let detail = "the deadline passed";
        self.end(execution, job::Failure::DeadlineExceeded, job::Refusal::DeadlineExceeded, detail);
    }

    /// Ends all runs of sessions other than the current one.
    pub fn abandon(&self) {
        let epoch = self.session.epoch();
        let old: Vec<id::Execution> =
            self.executions.borrow().keys().filter(|r| Some(r.epoch) != epoch).copied().collect();
        for execution in old {
            let detail = "the entry's session has ended";
            self.end(execution, job::Failure::EntryLost, job::Refusal::ControlUnavailable, detail);
        }
    }

    /// Ends a run as failed, or as not run if nothing of it can have started.
    fn end(
        &self,
        execution: id::Execution,
        failure: job::Failure,
        refusal: job::Refusal,
        detail: &str,
    ) {
        let Some(running) = self.executions.borrow_mut().remove(&execution) else { return };
        let detail = detail.to_owned();
        let outcome = if running.sent > 0 {
            Outcome::Failed { reason: failure, detail }
        } else {
            Outcome::NotRun { reason: refusal, detail }
        };
        self.remove(execution);
        let _ = running.ended.send(Ending { outcome, hold: running.hold });
    }

    /// Takes a run out of the dispatcher and cancels what is left of it, one message per sidecar.
    fn remove(&self, execution: id::Execution) {
        let removed = self.dispatcher.borrow_mut().remove(self.now(), execution);
        let backends = self.backends.borrow();
        for backend in removed.incarnations.iter().filter_map(|at| backends.get(at)) {
            let backend = backend.clone();
            actix_rt::spawn(async move { backend.cancel(execution).await });
        }
        self.changed.notify_one();
    }

    /// Carries out the dispatcher's decisions for as long as the process runs.
    pub async fn drive(self: Rc<Self>) {
        loop {
            // One notification may stand for many inputs: they are handled in one pass.
            self.changed.notified().await;
            loop {
                self.pump();
                // Without a lease nothing starts before the next report is answered.
                if !self.session.is_leased() {
                    break;
                }
                let Some(wake) = self.dispatcher.borrow().wake() else { break };
                let at = self.start + Duration::from_micros(wake);
                // Bounds the cost of a wake-up that lies in the past.
                let at = at.max(Instant::now() + WAKE_MIN);
                tokio::select! {
                    () = time::sleep_until(at) => {}
                    () = self.changed.notified() => {}
                }
            }
        }
    }

    fn pump(self: &Rc<Self>) {
        // Without a lease the tasks stay queued: either it is renewed or the session ends.
        while self.session.is_leased() {
            let action = {
                let random = &mut *self.random.borrow_mut();
                self.dispatcher.borrow_mut().poll(self.now(), random)
            };
            match action {
                Some(Action::Start { attempt, incarnation }) => self.start(attempt, incarnation),
                Some(Action::Expire { execution, .. }) => self.expire(execution),
                None => return,
            }
        }
    }

    fn start(self: &Rc<Self>, attempt: id::Attempt, incarnation: id::Incarnation) {
        let unstarted = |reason| Report { load: None, end: End::NotStarted(reason) };
        let backend = self.backends.borrow().get(&incarnation).cloned();
        let mut executions = self.executions.borrow_mut();
        let Some(running) = executions.get_mut(&attempt.execution) else {
            drop(executions);
            return self.ended(attempt, unstarted(sidecar::NotStarted::Revoked));
        };
        running.sent += 1;
        let Some(backend) = backend else {
            drop(executions);
            return self.ended(attempt, unstarted(sidecar::NotStarted::Unreachable));
        };
        if !self.session.may_start(attempt.execution.epoch) {
            drop(executions);
            return self.ended(attempt, unstarted(sidecar::NotStarted::Fenced));
        }
        let message = running.message(attempt, incarnation);
        let (time, deadline) = (running.time.clone(), running.work.deadline);
        drop(executions);
        self.meter.starts.inc();
        let engine = self.clone();
        actix_rt::spawn(async move {
            let start = Instant::now();
            let report = backend.run(message, deadline, &engine.session).await;
            time.observe(start.elapsed().as_secs_f64());
            engine.ended(attempt, report);
        });
    }

    /// Takes the end of an attempt.
    fn ended(&self, attempt: id::Attempt, report: Report) {
        let ended = match &report.end {
            End::Answer { ran_us, .. } => Ended::Done { ran_us: *ran_us },
            End::Failed { ran_us, .. } => Ended::Failed { ran_us: *ran_us },
            End::NotStarted(reason) => Ended::NotStarted(*reason),
            End::Lost { .. } => Ended::Lost,
        };
        if let Ended::NotStarted(reason) = ended {
            self.refused(attempt, reason);
        }
        let next = self.dispatcher.borrow_mut().ended(self.now(), attempt, report.load, ended);
        self.changed.notify_one();
        match (next, report.end) {
            (Next::Answered, End::Answer { answer, .. }) => self.answered(attempt, answer),
            (Next::ExecutionFailed { .. }, end) => self.failed(attempt, end),
            (Next::Retried, _) => {}
            (Next::Unused, End::NotStarted(_)) => {}
            (Next::Answered | Next::Unused, _) => {
                let running = self.executions.borrow().contains_key(&attempt.execution);
                self.meter.wasted(if running { Waste::Unused } else { Waste::Late }, 2);
            }
        }
    }

    fn refused(&self, attempt: id::Attempt, reason: sidecar::NotStarted) {
        if let Some(running) = self.executions.borrow_mut().get_mut(&attempt.execution) {
            running.sent -= 1;
        }
        if reason == sidecar::NotStarted::Fenced {
            self.session.hurry.notify_one();
        }
        if reason != sidecar::NotStarted::Unreachable {
            self.meter.wasted(Waste::Refused, 2);
        }
    }

    fn answered(&self, attempt: id::Attempt, answer: String) {
        let mut executions = self.executions.borrow_mut();
        let Some(running) = executions.get_mut(&attempt.execution) else { return };
        if let Err(detail) = running.put(attempt.task, answer, &self.limits) {
            drop(executions);
            let (failure, refusal) = (job::Failure::TaskFailed, job::Refusal::Overloaded);
            return self.end(attempt.execution, failure, refusal, &detail);
        }
        if running.answered < running.answers.len() {
            return;
        }
        let Some(running) = executions.remove(&attempt.execution) else { return };
        drop(executions);
        self.remove(attempt.execution);
        let Running { answers, hold, ended, .. } = running;
        let outcome = Outcome::Completed(Answer::Inline(answers.into_iter().flatten().collect()));
        let _ = ended.send(Ending { outcome, hold });
    }

    /// Ends a run because of one of its attempts.
    fn failed(&self, attempt: id::Attempt, end: End) {
        let task = attempt.task;
        let (failure, refusal, detail) = match end {
            End::Failed { reason, detail, .. } => (reason, job::Refusal::NoBackend, detail),
            End::Lost { detail } => (job::Failure::OutcomeUnknown, job::Refusal::NoBackend, detail),
            End::NotStarted(reason) => {
                let detail = format!("no backend server started it; the last one said {reason:?}");
                (job::Failure::TaskFailed, refusal(reason), detail)
            }
            End::Answer { .. } => return,
        };
        self.end(attempt.execution, failure, refusal, &format!("task {task}: {detail}"));
    }
}

/// Shortest pause before the dispatcher is asked again without an input.
const WAKE_MIN: Duration = Duration::from_micros(500);

impl Running {
    fn message(&self, attempt: id::Attempt, incarnation: id::Incarnation) -> sidecar::Task {
        let Work { spec, inputs, deadline, .. } = &self.work;
        let task = &spec.tasks[usize::from(attempt.task)];
        let left = deadline.saturating_duration_since(Instant::now());
        sidecar::Task {
            attempt,
            incarnation,
            account: spec.account.clone(),
            kind: task.kind.clone(),
            input: inputs[usize::from(attempt.task)].clone(),
            declared_ms: task.declared_ms,
            needs: task.needs,
            left_ms: util::millis(left).try_into().unwrap_or(u32::MAX),
        }
    }

    /// Keeps a task's answer; an error tells which bound it exceeds.
    fn put(&mut self, task: u16, answer: String, limits: &Limits) -> Result<(), String> {
        let slot = &mut self.answers[usize::from(task)];
        if slot.is_some() {
            return Ok(());
        }
        let bytes = answer.len();
        if bytes > limits.answer_max_bytes {
            let max = limits.answer_max_bytes;
            return Err(format!("the answer of task {task} has {bytes} bytes, at most {max}"));
        }
        self.bytes += bytes;
        if self.bytes > limits.job_answer_max_bytes {
            let max = limits.job_answer_max_bytes;
            return Err(format!("the answers have more than {max} bytes"));
        }
        if !self.hold.grow(bytes) {
            return Err("the entry's memory for answers is used up".into());
        }
        *slot = Some(answer);
        self.answered += 1;
        Ok(())
    }
}

/// What a caller is told when no backend server started a task.
fn refusal(reason: sidecar::NotStarted) -> job::Refusal {
    match reason {
        sidecar::NotStarted::Expired => job::Refusal::DeadlineExceeded,
        sidecar::NotStarted::Full => job::Refusal::Overloaded,
        sidecar::NotStarted::TooLarge => job::Refusal::NeverFits,
        sidecar::NotStarted::Fenced => job::Refusal::ControlUnavailable,
        sidecar::NotStarted::WrongIncarnation
        | sidecar::NotStarted::NoLease
        | sidecar::NotStarted::Draining
        | sidecar::NotStarted::Revoked
        | sidecar::NotStarted::Unreachable => job::Refusal::NoBackend,
    }
}
