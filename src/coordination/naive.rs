//! The baseline policy: tasks in order of arrival, round robin over backend servers with a constant
//! bound on attempts in flight, a fixed timeout and three retries. It knows no fairness, no learned
//! estimates and no health. It is kept simple on purpose; `docs/dispatch.md` compares the default
//! policy with it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use indexmap::IndexMap;
use rand::RngCore;

use crate::{
    coordination::dispatch::{Action, Ended, Micros, Next, Placement, Removed, Spec, TaskSpec},
    protocol::{
        id, job,
        wire::{control, sidecar},
    },
};

/// Most attempts in flight per slot.
const IN_FLIGHT_FACTOR: usize = 2;
/// Time after which a restartable task whose attempt has no answer is queued again, if retries are
/// left. The attempt stays in flight, and its answer still counts.
const TIMEOUT_US: Micros = 1_000_000;
const RETRIES_MAX: u16 = 3;

#[derive(Debug)]
struct Server {
    announced: control::Server,
    in_flight: usize,
}

#[derive(Debug)]
struct Execution {
    spec: Spec,
    /// Number of the next attempt and whether it is answered, per task.
    tasks: Vec<(u16, bool)>,
    /// Whether any attempt that has already ended did start, or may have. Attempts in flight are
    /// not counted.
    started: bool,
    /// Whether it has expired or failed, after which no task is started.
    stopped: bool,
}

/// State of the baseline policy.
#[derive(Debug, Default)]
pub struct Naive {
    servers: IndexMap<id::Incarnation, Server>,
    /// Index of the server that the round robin tries next.
    next: usize,
    queue: VecDeque<(id::Execution, u16)>,
    executions: IndexMap<id::Execution, Execution>,
    attempts: BTreeMap<id::Attempt, id::Incarnation>,
    timeouts: VecDeque<(Micros, id::Attempt)>,
    deadlines: BTreeSet<(Micros, id::Execution)>,
    placements: Vec<Placement>,
}

impl Naive {
    pub(super) fn set_servers(&mut self, _now: Micros, servers: &control::Servers) {
        let kept = |i: &id::Incarnation| {
            !servers.removed.contains(i)
                && (!servers.full || servers.changed.iter().any(|s| s.incarnation == *i))
        };
        self.servers.retain(|incarnation, _| kept(incarnation));
        for server in &servers.changed {
            let in_flight = self.servers.get(&server.incarnation).map_or(0, |s| s.in_flight);
            self.servers
                .insert(server.incarnation, Server { announced: server.clone(), in_flight });
        }
    }

    pub(super) fn set_placements(&mut self, _now: Micros, placements: Vec<Placement>) {
        self.placements = placements;
    }

    /// Whether the server is serving, runs the task's kind, is allowed by the placements and is
    /// large enough for the task.
    fn can_run(&self, announced: &control::Server, task: &TaskSpec) -> bool {
        (announced.kinds.is_empty() || announced.kinds.contains(&task.kind))
            && self.placements.iter().all(|p| p.kind != task.kind || p.allows(announced))
            && task.needs.fit(&announced.size)
            && announced.state == control::ServerState::Serving
    }

    pub(super) fn check(&mut self, now: Micros, spec: &Spec) -> Result<(), job::Refusal> {
        if spec.tasks.is_empty() || spec.tasks.len() > usize::from(u16::MAX) {
            return Err(job::Refusal::BadRequest);
        }
        if self.servers.is_empty() {
            return Err(job::Refusal::NoBackend);
        }
        let has_server =
            |i| self.servers.values().any(|s| self.can_run(&s.announced, &spec.tasks[i]));
        if !(0..spec.tasks.len()).all(has_server) {
            return Err(job::Refusal::NeverFits);
        }
        if spec.deadline <= now { Err(job::Refusal::DeadlineExceeded) } else { Ok(()) }
    }

    pub(super) fn submit(
        &mut self,
        now: Micros,
        id: id::Execution,
        spec: &Spec,
    ) -> Result<(), job::Refusal> {
        if self.executions.contains_key(&id) {
            return Err(job::Refusal::KeyConflict);
        }
        self.check(now, spec)?;
        let tasks = vec![(0, false); spec.tasks.len()];
        self.queue.extend((0..tasks.len() as u16).map(|task| (id, task)));
        self.deadlines.insert((spec.deadline, id));
        self.executions
            .insert(id, Execution { spec: spec.clone(), tasks, started: false, stopped: false });
        Ok(())
    }

    pub(super) fn poll(&mut self, now: Micros, _random: &mut dyn RngCore) -> Option<Action> {
        if let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let started = self.may_have_started(id);
            if let Some(execution) = self.executions.get_mut(&id) {
                execution.stopped = true;
                return Some(Action::Expire { execution: id, started });
            }
        }
        while let Some((at, attempt)) = self.timeouts.front().copied()
            && at <= now
        {
            self.timeouts.pop_front();
            if self.attempts.contains_key(&attempt) {
                self.retry(attempt);
            }
        }
        loop {
            let (id, task) = *self.queue.front()?;
            let Some(execution) = self.executions.get(&id).filter(|execution| !execution.stopped)
            else {
                self.queue.pop_front();
                continue;
            };
            let spec = &execution.spec.tasks[usize::from(task)];
            let total = self.servers.len();
            let index = (0..total).map(|i| (self.next + i) % total).find(|i| {
                let server = &self.servers[*i];
                let slots = usize::from(server.announced.slots);
                server.in_flight < slots * IN_FLIGHT_FACTOR && self.can_run(&server.announced, spec)
            })?;
            self.next = index + 1;
            self.queue.pop_front();
            return self.start(now, id, task, index);
        }
    }

    fn start(&mut self, now: Micros, id: id::Execution, task: u16, index: usize) -> Option<Action> {
        let execution = self.executions.get_mut(&id)?;
        let state = &mut execution.tasks[usize::from(task)];
        let attempt = id::Attempt { execution: id, task, number: state.0 };
        state.0 += 1;
        if execution.spec.restartable {
            self.timeouts.push_back((now + TIMEOUT_US, attempt));
        }
        let (incarnation, server) = self.servers.get_index_mut(index)?;
        server.in_flight += 1;
        self.attempts.insert(attempt, *incarnation);
        Some(Action::Start { attempt, incarnation: *incarnation })
    }

    pub(super) fn wake(&self) -> Option<Micros> {
        let deadline = self.deadlines.first().map(|d| d.0);
        let timeout = self.timeouts.front().map(|t| t.0);
        [deadline, timeout].into_iter().flatten().min()
    }

    pub(super) fn ended(
        &mut self,
        _now: Micros,
        attempt: id::Attempt,
        _load: Option<sidecar::Load>,
        ended: Ended,
    ) -> Next {
        let Some(incarnation) = self.attempts.remove(&attempt) else { return Next::Ignored };
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        let Some(execution) = self.executions.get_mut(&attempt.execution) else {
            return Next::Ignored;
        };
        execution.started |= !matches!(ended, Ended::NotStarted(_));
        let (number, answered) = &mut execution.tasks[usize::from(attempt.task)];
        if execution.stopped || *answered {
            return Next::Ignored;
        }
        if let Ended::Done { .. } = ended {
            *answered = true;
            return Next::Answered;
        }
        let superseded = *number > attempt.number + 1;
        let repeatable = execution.spec.restartable || matches!(ended, Ended::NotStarted(_));
        if superseded || (repeatable && self.retry(attempt)) {
            return Next::Pending;
        }
        if let Some(execution) = self.executions.get_mut(&attempt.execution) {
            execution.stopped = true;
        }
        Next::ExecutionFailed { started: self.may_have_started(attempt.execution) }
    }

    pub(super) fn remove(&mut self, _now: Micros, id: id::Execution) -> Removed {
        let started = self.may_have_started(id);
        if let Some(execution) = self.executions.swap_remove(&id) {
            self.deadlines.remove(&(execution.spec.deadline, id));
        }
        let mut incarnations: Vec<_> = self.servers_of_execution(id).collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        Removed { incarnations, started }
    }

    /// Number of entries in the queue. Tasks of executions that have been stopped or removed are
    /// counted until they reach the head of the queue and are dropped.
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Queues the task again if this is its latest attempt, it has no answer and retries are left.
    /// Returns whether it did.
    fn retry(&mut self, attempt: id::Attempt) -> bool {
        let Some(execution) = self.executions.get(&attempt.execution) else { return false };
        let (number, answered) = execution.tasks[usize::from(attempt.task)];
        let allowed = number <= RETRIES_MAX && number == attempt.number + 1 && !answered;
        if allowed {
            self.queue.push_back((attempt.execution, attempt.task));
        }
        allowed
    }

    /// Backend servers of the execution's attempts in flight.
    fn servers_of_execution(&self, id: id::Execution) -> impl Iterator<Item = id::Incarnation> {
        let first = id::Attempt { execution: id, task: 0, number: 0 };
        let last = id::Attempt { execution: id, task: u16::MAX, number: u16::MAX };
        self.attempts.range(first..=last).map(|(_, incarnation)| *incarnation)
    }

    fn may_have_started(&self, id: id::Execution) -> bool {
        self.executions.get(&id).is_some_and(|execution| execution.started)
            || self.servers_of_execution(id).next().is_some()
    }
}
