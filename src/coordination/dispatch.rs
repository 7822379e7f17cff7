//! Decides which attempt starts where and when, for one entry.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::RngCore;

use crate::protocol::{
    id, job,
    wire::{control, sidecar},
};

/// A point in time, in µs since the process started.
pub type Micros = u64;

/// A submission or unkeyed request.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    pub team: id::Team,
    pub tasks: Vec<TaskSpec>,
    pub deadline: Micros,
    /// Whether tasks may be started more than once: only idempotent requests without a key.
    pub restartable: bool,
}

/// What routing knows of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskSpec {
    pub kind: String,
    /// Caller's estimate of the run time in ms; a hint only.
    pub declared_ms: Option<u32>,
    pub needs: job::Needs,
}

/// Something for the entry to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this attempt to this backend server.
    Start { attempt: id::Attempt, incarnation: id::Incarnation },
    /// The run's deadline has passed: end it. `started` tells whether any attempt was sent and not
    /// known to be unstarted.
    Expire { run: id::Run, started: bool },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// There is an answer.
    Done { ran_us: u64 },
    /// It started and has no answer.
    Failed { ran_us: u64 },
    /// It is known not to have started.
    NotStarted(sidecar::NotStarted),
    /// Nothing is known: the connection broke and the sidecar did not settle it.
    Lost,
}

/// What an ended attempt means for its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The task has its answer; use it.
    Answered,
    /// The task will be, or is being, tried elsewhere.
    Retried,
    /// The task, and so its run, cannot succeed.
    RunFailed { started: bool },
    /// The run or the task has ended before; drop the result.
    Unused,
}

/// Dispatcher of one entry.
#[derive(Debug, Default)]
pub struct Dispatcher {
    members: Vec<control::Member>,
    next: usize,
    queue: VecDeque<id::Attempt>,
    runs: IndexMap<id::Run, usize>,
}

impl Dispatcher {
    /// Takes over a change of the member list.
    pub fn set_members(&mut self, _now: Micros, members: &control::Members) {
        if members.full {
            self.members.clear();
        }
        self.members.retain(|m| !members.removed.contains(&m.incarnation));
        self.members.retain(|m| members.changed.iter().all(|c| c.incarnation != m.incarnation));
        self.members.extend(members.changed.iter().cloned());
    }

    /// Takes over this entry's parts of the teams' quotas.
    pub fn set_shares(&mut self, _now: Micros, _shares: &[control::Share]) {}

    /// Checks whether a run could be taken now, before it is admitted durably.
    pub fn check(&mut self, _now: Micros, _spec: &Spec) -> Result<(), job::Refusal> {
        if self.members.is_empty() { Err(job::Refusal::NoBackend) } else { Ok(()) }
    }

    /// Queues a run's tasks.
    pub fn submit(&mut self, _now: Micros, run: id::Run, spec: Spec) -> Result<(), job::Refusal> {
        self.runs.insert(run, spec.tasks.len());
        for task in 0..spec.tasks.len() {
            self.queue.push_back(id::Attempt { run, task: task as u16, number: 0 });
        }
        Ok(())
    }

    /// The next thing to do at `now`, if any. To be called until it returns `None`, after each
    /// input and at the time that `wake` gives.
    pub fn poll(&mut self, _now: Micros, _random: &mut dyn RngCore) -> Option<Action> {
        if self.members.is_empty() {
            return None;
        }
        let attempt = self.queue.pop_front()?;
        self.next = (self.next + 1) % self.members.len();
        Some(Action::Start { attempt, incarnation: self.members[self.next].incarnation })
    }

    /// When `poll` must be called next though no input arrives.
    pub fn wake(&self) -> Option<Micros> {
        None
    }

    /// Takes the end of an attempt; `load` is what the reply carried.
    pub fn ended(
        &mut self,
        _now: Micros,
        attempt: id::Attempt,
        _load: Option<sidecar::Load>,
        ended: Ended,
    ) -> Next {
        if !self.runs.contains_key(&attempt.run) {
            return Next::Unused;
        }
        match ended {
            Ended::Done { .. } => Next::Answered,
            Ended::Failed { .. } | Ended::Lost => Next::RunFailed { started: true },
            Ended::NotStarted(_) => {
                self.queue.push_back(id::Attempt { number: attempt.number + 1, ..attempt });
                Next::Retried
            }
        }
    }

    /// Forgets a run that has ended for whatever reason. Returns the backend servers at which it
    /// has attempts, each once, for cancelling, and whether any attempt may have started.
    pub fn remove(&mut self, _now: Micros, run: id::Run) -> Removed {
        self.runs.swap_remove(&run);
        self.queue.retain(|a| a.run != run);
        Removed { at: Vec::new(), started: true }
    }
}

/// What a removed run leaves behind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Removed {
    /// Backend servers that have attempts of the run, each once.
    pub at: Vec<id::Incarnation>,
    /// Whether any attempt has started or may have.
    pub started: bool,
}
