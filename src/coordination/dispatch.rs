//! Decides which attempt starts where and when, for one entry.

mod admit;
mod core;
mod execution;
mod lane;
mod reply;
mod settings;

use rand::RngCore;

use crate::{
    coordination::naive,
    protocol::{
        id, job,
        wire::{control, sidecar},
    },
};

pub use settings::{AccountSettings, Placement, Policy, Preference, Settings};

/// A point in time, in µs since the process started.
pub type Micros = u64;

/// A submission or unkeyed request.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    pub account: id::Account,
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
    Expire { execution: id::Execution, started: bool },
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
    ExecutionFailed { started: bool },
    /// The run or the task has ended before; drop the result.
    Unused,
}

/// Dispatcher of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    inner: Inner,
}

#[derive(Debug)]
enum Inner {
    Briargauge(Box<core::Core>),
    Naive(Box<naive::Naive>),
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

/// Calls the same method of either policy.
macro_rules! either {
    ($self:ident, $inner:ident => $call:expr) => {
        match &mut $self.inner {
            Inner::Briargauge($inner) => $call,
            Inner::Naive($inner) => $call,
        }
    };
}

impl Dispatcher {
    /// A dispatcher that knows no backend servers yet.
    pub fn new(settings: Settings) -> Self {
        let inner = match settings.policy {
            Policy::Briargauge => Inner::Briargauge(Box::new(core::Core::new(settings))),
            Policy::Naive => Inner::Naive(Box::default()),
        };
        Self { inner }
    }

    /// Takes over the settings of all teams that have any; the others get the default.
    pub fn set_accounts(&mut self, now: Micros, accounts: &[(id::Account, AccountSettings)]) {
        match &mut self.inner {
            Inner::Briargauge(core) => core.set_accounts(now, accounts),
            Inner::Naive(_) => {}
        }
    }

    /// Takes over a change of the server list.
    pub fn set_servers(&mut self, now: Micros, servers: &control::Servers) {
        either!(self, inner => inner.set_servers(now, servers));
    }

    /// Takes over where kinds may run, replacing all earlier placements.
    pub fn set_placements(&mut self, now: Micros, placements: Vec<Placement>) {
        either!(self, inner => inner.set_placements(now, placements));
    }

    /// Takes over this entry's parts of the teams' quotas. A team that is not listed has no quota
    /// and is not limited.
    pub fn set_shares(&mut self, now: Micros, shares: &[control::Share]) {
        match &mut self.inner {
            Inner::Briargauge(core) => core.set_shares(now, shares),
            Inner::Naive(_) => {}
        }
    }

    /// Checks whether a run could be taken now, before it is admitted durably.
    pub fn check(&mut self, now: Micros, spec: &Spec) -> Result<(), job::Refusal> {
        either!(self, inner => inner.check(now, spec))
    }

    /// Queues a run's tasks. Checks the same as `check`.
    pub fn submit(
        &mut self,
        now: Micros,
        execution: id::Execution,
        spec: Spec,
    ) -> Result<(), job::Refusal> {
        either!(self, inner => inner.submit(now, execution, &spec))
    }

    /// The next thing to do at `now`, if any. To be called until it returns `None`, after each
    /// input and at the time that `wake` gives.
    pub fn poll(&mut self, now: Micros, random: &mut dyn RngCore) -> Option<Action> {
        either!(self, inner => inner.poll(now, random))
    }

    /// When `poll` must be called next though no input arrives.
    pub fn wake(&self) -> Option<Micros> {
        match &self.inner {
            Inner::Briargauge(core) => core.wake(),
            Inner::Naive(naive) => naive.wake(),
        }
    }

    /// Takes the end of an attempt; `load` is what the reply carried, counted after the attempt has
    /// left its slot. To be called once for each started attempt, also after its run is removed.
    pub fn ended(
        &mut self,
        now: Micros,
        attempt: id::Attempt,
        load: Option<sidecar::Load>,
        ended: Ended,
    ) -> Next {
        either!(self, inner => inner.ended(now, attempt, load, ended))
    }

    /// Forgets a run that has ended for whatever reason. Returns the backend servers at which it
    /// has attempts, each once, for cancelling, and whether any attempt may have started.
    pub fn remove(&mut self, now: Micros, execution: id::Execution) -> Removed {
        either!(self, inner => inner.remove(now, execution))
    }

    /// Number of tasks that wait.
    pub fn queued(&self) -> usize {
        match &self.inner {
            Inner::Briargauge(core) => core.queued,
            Inner::Naive(naive) => naive.queued(),
        }
    }

    /// Number of backend servers that are ejected for their health.
    pub fn ejected(&self) -> usize {
        match &self.inner {
            Inner::Briargauge(core) => core.router.ejected(),
            Inner::Naive(_) => 0,
        }
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
