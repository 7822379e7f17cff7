//! Carries out the dispatcher's decisions and collects the answers of each execution.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use prometheus::Histogram;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::{Notify, oneshot},
    time::{self, Instant},
};

use crate::{
    budget::{Budget, Reservation},
    coordination::dispatch::{self, Action, Dispatcher, Ended, Micros, Next},
    entry::{
        backend::{AttemptOutcome, AttemptReport, Backend},
        keyed::Status,
        meter::{Meter, WasteCause},
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
    supervisor, util,
};

/// Executes submissions. An engine lives on a single thread and is shared through `Rc`.
pub struct Engine {
    start: Instant,
    limits: Limits,
    session: Rc<Session>,
    meter: Rc<Meter>,
    budget: Arc<Budget>,
    dispatcher: RefCell<Dispatcher>,
    random: RefCell<Pcg64Mcg>,
    executions: RefCell<HashMap<id::Execution, RunningExecution>>,
    backends: RefCell<HashMap<id::Incarnation, Rc<Backend>>>,
    /// Task starts that callers have requested since the last report to control.
    demand: RefCell<HashMap<id::Account, u64>>,
    /// This entry's shares of the accounts' quotas, in task starts per second.
    shares: RefCell<HashMap<id::Account, f64>>,
    policy: RefCell<Policy>,
    /// Notified after each change that may allow attempts to start.
    changed: Notify,
}

/// The tasks of a submission, ready to be executed.
#[derive(Debug)]
pub struct Workload {
    /// The tasks without their inputs. [`Engine::check`] sets the deadline in it.
    pub spec: dispatch::Spec,
    /// One JSON text for each task, in the order of the tasks.
    pub inputs: Vec<String>,
    pub deadline: Instant,
    /// Memory that the inputs take.
    pub reservation: Reservation,
}

/// Outcome of an execution, with the memory that its answers take.
#[derive(Debug)]
pub struct ExecutionResult {
    pub outcome: Outcome,
    pub reservation: Reservation,
}

/// An execution in progress.
struct RunningExecution {
    workload: Workload,
    answers: Vec<Option<String>>,
    /// Number of tasks that have an answer.
    answered: usize,
    /// Total size of the answers.
    bytes: usize,
    reservation: Reservation,
    /// Number of attempts that were sent, without those that are known not to have started. While
    /// it is 0, no task of the execution has started.
    sent: usize,
    /// Records the time from an attempt's start here until its outcome is known. This includes the
    /// time to connect to the sidecar and, if there is no reply, to revoke the attempt.
    task_seconds: Histogram,
    ended: oneshot::Sender<ExecutionResult>,
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

    /// The current time on the dispatcher's clock.
    fn now(&self) -> Micros {
        self.micros(Instant::now())
    }

    /// Converts a time to the dispatcher's clock.
    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Checks whether a submission could be accepted now.
    ///
    /// Before that, its tasks are counted as demand, the operators' rules are applied to the
    /// workload, and the deadline is set in the workload's `spec`.
    pub fn check(&self, workload: &mut Workload) -> Result<(), Status> {
        let (account, tasks) = (&workload.spec.account, workload.spec.tasks.len());
        let mut demand = self.demand.borrow_mut();
        let full = demand.len() >= metric::LABELS_MAX;
        match demand.get_mut(account) {
            Some(starts) => *starts += tasks as u64,
            // Callers can invent account names, which must not fill memory and the reports.
            None if full => {}
            None => {
                demand.insert(account.clone(), tasks as u64);
            }
        }
        drop(demand);
        if !self.budget.has_capacity(workload.reservation.bytes()) {
            let detail = "the entry's memory for answers is used up";
            return Err(Status::not_run(job::Refusal::Overloaded, detail));
        }
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        self.policy.borrow_mut().apply(now, &mut dispatcher, workload)?;
        workload.spec.deadline = self.micros(workload.deadline);
        dispatcher.check(now, &workload.spec).map_err(Status::refused)
    }

    /// Replaces the rules.
    pub fn set_rules(&self, rules: Rules) {
        self.policy.borrow_mut().set(self.now(), &mut self.dispatcher.borrow_mut(), rules);
        self.changed.notify_one();
    }

    /// Task starts per second that each account requested since the last call, with the quota share
    /// that this entry has for it. The last call was `period` ago. Resets the counts.
    pub fn take_demands(&self, period: Duration) -> Vec<control::Demand> {
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

    /// Applies control's changes to the backend servers and the new quota shares.
    pub fn update(&self, view: &control::EntryView) {
        {
            let mut backends = self.backends.borrow_mut();
            if view.servers.full {
                let listed =
                    |i: &id::Incarnation| view.servers.changed.iter().any(|s| s.incarnation == *i);
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

    /// Queues a workload for execution. Its result is sent through the returned channel.
    pub fn submit(
        &self,
        execution: id::Execution,
        workload: Workload,
    ) -> Result<oneshot::Receiver<ExecutionResult>, job::Refusal> {
        self.dispatcher.borrow_mut().submit(self.now(), execution, workload.spec.clone())?;
        let (ended, ending) = oneshot::channel();
        let running = RunningExecution {
            task_seconds: self.meter.task(&workload.spec.account),
            answers: vec![None; workload.inputs.len()],
            workload,
            answered: 0,
            bytes: 0,
            reservation: self.budget.reserve(),
            sent: 0,
            ended,
        };
        self.executions.borrow_mut().insert(execution, running);
        self.changed.notify_one();
        Ok(ending)
    }

    /// Number of answered tasks and of all tasks of an execution in progress.
    pub fn progress(&self, execution: id::Execution) -> Option<(usize, usize)> {
        self.executions.borrow().get(&execution).map(|r| (r.answered, r.answers.len()))
    }

    /// Number of tasks waiting to be sent, and number of backend servers ejected for their health.
    pub fn queued_and_ejected(&self) -> (usize, usize) {
        let dispatcher = self.dispatcher.borrow();
        (dispatcher.queued(), dispatcher.ejected())
    }

    /// Number of executions in progress.
    pub fn running(&self) -> usize {
        self.executions.borrow().len()
    }

    /// Ends an execution because its caller has cancelled it or hung up.
    pub fn cancel(&self, execution: id::Execution) {
        self.end(
            execution,
            job::Failure::Cancelled,
            job::Refusal::Cancelled,
            "cancelled by the caller",
        );
    }

    /// Ends an execution whose deadline has passed.
    pub fn expire(&self, execution: id::Execution) {
        let detail = "the deadline passed";
        self.end(execution, job::Failure::DeadlineExceeded, job::Refusal::DeadlineExceeded, detail);
    }

    /// Ends all executions of sessions other than the current one.
    pub fn end_outdated(&self) {
        let epoch = self.session.epoch();
        let outdated: Vec<id::Execution> =
            self.executions.borrow().keys().filter(|e| Some(e.epoch) != epoch).copied().collect();
        for execution in outdated {
            let detail = "the entry's session has ended";
            self.end(execution, job::Failure::EntryLost, job::Refusal::ControlUnavailable, detail);
        }
    }

    /// Ends an execution: with `failure` if one of its tasks may have started, or else with
    /// `refusal` as not run.
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
        let _ = running.ended.send(ExecutionResult { outcome, reservation: running.reservation });
    }

    /// Removes an execution from the dispatcher and cancels its remaining attempts, with one
    /// message to each sidecar that has any.
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
            // One notification may stand for many changes, which are handled in one pass.
            self.changed.notified().await;
            loop {
                self.perform_actions();
                // Without a lease, nothing may start before the next report has been answered.
                if !self.session.is_leased() {
                    break;
                }
                let Some(wake) = self.dispatcher.borrow().wake() else { break };
                let at = self.start + Duration::from_micros(wake);
                // A wake-up time in the past must not make this loop spin.
                let at = at.max(Instant::now() + WAKE_PAUSE_MIN);
                tokio::select! {
                    () = time::sleep_until(at) => {}
                    () = self.changed.notified() => {}
                }
            }
        }
    }

    /// Performs all actions for which the dispatcher is ready.
    fn perform_actions(self: &Rc<Self>) {
        // Without a lease the tasks stay queued until the lease is renewed or the session ends.
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

    /// Sends an attempt to the sidecar of a backend server.
    fn start(self: &Rc<Self>, attempt: id::Attempt, incarnation: id::Incarnation) {
        let unstarted =
            |reason| AttemptReport { load: None, outcome: AttemptOutcome::NotStarted(reason) };
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
        let (task_seconds, deadline) = (running.task_seconds.clone(), running.workload.deadline);
        drop(executions);
        self.meter.starts.inc();
        let engine = self.clone();
        actix_rt::spawn(async move {
            let start = Instant::now();
            let run = backend.run(message, deadline, &engine.session);
            let report = supervisor::catch("run_attempt", run).await;
            let report = report.unwrap_or_else(AttemptReport::panicked);
            task_seconds.observe(start.elapsed().as_secs_f64());
            engine.ended(attempt, report);
        });
    }

    /// Handles the end of an attempt.
    fn ended(&self, attempt: id::Attempt, report: AttemptReport) {
        let ended = match &report.outcome {
            AttemptOutcome::Answer { ran_us, .. } => Ended::Done { ran_us: *ran_us },
            AttemptOutcome::Failed { ran_us, .. } => Ended::Failed { ran_us: *ran_us },
            AttemptOutcome::NotStarted(reason) => Ended::NotStarted(*reason),
            AttemptOutcome::Lost { .. } => Ended::Lost,
        };
        if let Ended::NotStarted(reason) = ended {
            self.not_started(attempt, reason);
        }
        let next = self.dispatcher.borrow_mut().ended(self.now(), attempt, report.load, ended);
        self.changed.notify_one();
        match (next, report.outcome) {
            (Next::Answered, AttemptOutcome::Answer { answer, .. }) => {
                self.answered(attempt, answer)
            }
            (Next::ExecutionFailed { .. }, outcome) => self.failed(attempt, outcome),
            (Next::Pending, _) => {}
            (Next::Ignored, AttemptOutcome::NotStarted(_)) => {}
            (Next::Answered | Next::Ignored, _) => {
                let running = self.executions.borrow().contains_key(&attempt.execution);
                self.meter.wasted(if running { WasteCause::Unused } else { WasteCause::Late }, 2);
            }
        }
    }

    /// Handles an attempt that did not start. Unless its server was unreachable, a call and its
    /// reply count as wasted, even if this process refused the attempt before it sent a message.
    fn not_started(&self, attempt: id::Attempt, reason: sidecar::NotStarted) {
        if let Some(running) = self.executions.borrow_mut().get_mut(&attempt.execution) {
            running.sent -= 1;
        }
        if reason == sidecar::NotStarted::Fenced {
            self.session.report_now.notify_one();
        }
        if reason != sidecar::NotStarted::Unreachable {
            self.meter.wasted(WasteCause::Refused, 2);
        }
    }

    /// Stores the answer of a task, and ends the execution if it was the last one.
    fn answered(&self, attempt: id::Attempt, answer: String) {
        let mut executions = self.executions.borrow_mut();
        let Some(running) = executions.get_mut(&attempt.execution) else { return };
        if let Err(detail) = running.add_answer(attempt.task, answer, &self.limits) {
            drop(executions);
            // `end` does not use the refusal, because this attempt has started.
            let (failure, refusal) = (job::Failure::TaskFailed, job::Refusal::Overloaded);
            return self.end(attempt.execution, failure, refusal, &detail);
        }
        if running.answered < running.answers.len() {
            return;
        }
        let Some(running) = executions.remove(&attempt.execution) else { return };
        drop(executions);
        self.remove(attempt.execution);
        let RunningExecution { answers, reservation, ended, .. } = running;
        let outcome = Outcome::Completed(Answer::Inline(answers.into_iter().flatten().collect()));
        let _ = ended.send(ExecutionResult { outcome, reservation });
    }

    /// Ends an execution because one of its tasks cannot succeed.
    fn failed(&self, attempt: id::Attempt, outcome: AttemptOutcome) {
        let task = attempt.task;
        // `end` uses the refusal only if no task may have started. That is possible only for
        // `NotStarted`, but each case must name one.
        let (failure, refusal, detail) = match outcome {
            AttemptOutcome::Failed { reason, detail, .. } => {
                (reason, job::Refusal::NoBackend, detail)
            }
            AttemptOutcome::Lost { detail } => {
                (job::Failure::OutcomeUnknown, job::Refusal::NoBackend, detail)
            }
            AttemptOutcome::NotStarted(reason) => {
                let detail = format!("no backend server started it; the last one said {reason:?}");
                (job::Failure::TaskFailed, refusal(reason), detail)
            }
            AttemptOutcome::Answer { .. } => return,
        };
        self.end(attempt.execution, failure, refusal, &format!("task {task}: {detail}"));
    }
}

/// Shortest pause before the dispatcher is polled again although nothing has changed.
const WAKE_PAUSE_MIN: Duration = Duration::from_micros(500);

impl RunningExecution {
    /// The message that starts an attempt.
    fn message(&self, attempt: id::Attempt, incarnation: id::Incarnation) -> sidecar::Task {
        let Workload { spec, inputs, deadline, .. } = &self.workload;
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

    /// Stores the answer of a task; the error says which bound the answer exceeds.
    fn add_answer(&mut self, task: u16, answer: String, limits: &Limits) -> Result<(), String> {
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
        if !self.reservation.grow(bytes) {
            return Err("the entry's memory for answers is used up".into());
        }
        *slot = Some(answer);
        self.answered += 1;
        Ok(())
    }
}

/// The refusal that a caller gets when no backend server started a task.
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
