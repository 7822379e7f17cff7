//! Dispatcher of an entry: decides which task is started when and at which backend server.

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

/// Point in time or duration in µs. Points in time count from the start of the process.
pub type Micros = u64;

/// Tasks of a submission, or of a request without an idempotency key, to be executed.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    pub account: id::Account,
    pub tasks: Vec<TaskSpec>,
    pub deadline: Micros,
    /// Whether tasks may be started more than once, which holds only for idempotent requests
    /// without an idempotency key.
    pub restartable: bool,
}

/// Properties of a task that matter for routing.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskSpec {
    pub kind: String,
    /// Caller's estimate of the run time in ms, which is only a hint.
    pub declared_ms: Option<u32>,
    pub needs: job::Needs,
}

/// What the entry must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the attempt to the backend server.
    Start { attempt: id::Attempt, incarnation: id::Incarnation },
    /// End the execution, as its deadline has passed. `started` tells whether any attempt
    /// has started, or may have.
    Expire { execution: id::Execution, started: bool },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It ran and has an answer.
    Done { ran_us: u64 },
    /// It started and has no answer.
    Failed { ran_us: u64 },
    /// It is known not to have started.
    NotStarted(sidecar::NotStarted),
    /// Whether it started is unknown: the connection broke and the sidecar could not tell.
    Lost,
}

/// What the end of an attempt means for its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The answer of the attempt is the answer of the task.
    Answered,
    /// The task has no answer yet: another attempt of it is in flight or will be made.
    Pending,
    /// The task, and with it the execution, cannot succeed.
    ExecutionFailed { started: bool },
    /// The execution or the task had ended before, so the end of this attempt changes nothing.
    Ignored,
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

/// Evaluates an expression on the policy in use, whichever it is.
macro_rules! either {
    ($self:ident, $inner:ident => $call:expr) => {
        match &mut $self.inner {
            Inner::Briargauge($inner) => $call,
            Inner::Naive($inner) => $call,
        }
    };
}

impl Dispatcher {
    /// Creates a dispatcher that knows no backend servers yet.
    pub fn new(settings: Settings) -> Self {
        let inner = match settings.policy {
            Policy::Briargauge => Inner::Briargauge(Box::new(core::Core::new(settings))),
            Policy::Naive => Inner::Naive(Box::default()),
        };
        Self { inner }
    }

    /// Replaces the settings of all client accounts. Accounts that are not listed get the default.
    pub fn set_accounts(&mut self, now: Micros, accounts: &[(id::Account, AccountSettings)]) {
        match &mut self.inner {
            Inner::Briargauge(core) => core.set_accounts(now, accounts),
            Inner::Naive(_) => {}
        }
    }

    /// Applies a change of the registry of backend servers.
    pub fn set_servers(&mut self, now: Micros, servers: &control::Servers) {
        either!(self, inner => inner.set_servers(now, servers));
    }

    /// Replaces all placements of kinds.
    pub fn set_placements(&mut self, now: Micros, placements: Vec<Placement>) {
        either!(self, inner => inner.set_placements(now, placements));
    }

    /// Replaces this entry's shares of the accounts' quotas. An account that is not listed has no
    /// quota and is not limited.
    pub fn set_shares(&mut self, now: Micros, shares: &[control::Share]) {
        match &mut self.inner {
            Inner::Briargauge(core) => core.set_shares(now, shares),
            Inner::Naive(_) => {}
        }
    }

    /// Checks whether an execution could be accepted now, before it is admitted durably.
    pub fn check(&mut self, now: Micros, spec: &Spec) -> Result<(), job::Refusal> {
        either!(self, inner => inner.check(now, spec))
    }

    /// Queues the tasks of an execution after the same checks as in `check`.
    pub fn submit(
        &mut self,
        now: Micros,
        execution: id::Execution,
        spec: Spec,
    ) -> Result<(), job::Refusal> {
        either!(self, inner => inner.submit(now, execution, &spec))
    }

    /// The next action at `now`, if any. To be called until it returns `None`, after each call that
    /// changes the state and at the time that `wake` gives.
    pub fn poll(&mut self, now: Micros, random: &mut dyn RngCore) -> Option<Action> {
        either!(self, inner => inner.poll(now, random))
    }

    /// When `poll` must be called next if nothing else happens before.
    pub fn wake(&self) -> Option<Micros> {
        match &self.inner {
            Inner::Briargauge(core) => core.wake(),
            Inner::Naive(naive) => naive.wake(),
        }
    }

    /// Records the end of an attempt. `load` is the load that the reply carried, which does not
    /// count the attempt. To be called once for each `Action::Start`, also after the execution has
    /// been removed.
    pub fn ended(
        &mut self,
        now: Micros,
        attempt: id::Attempt,
        load: Option<sidecar::Load>,
        ended: Ended,
    ) -> Next {
        either!(self, inner => inner.ended(now, attempt, load, ended))
    }

    /// Removes an execution, whether it has succeeded, failed, expired or been cancelled. Returns
    /// the backend servers that have attempts of it, where they can be cancelled, and whether any
    /// attempt may have started.
    pub fn remove(&mut self, now: Micros, execution: id::Execution) -> Removed {
        either!(self, inner => inner.remove(now, execution))
    }

    /// Number of queued tasks. The baseline policy also counts tasks of stopped or removed
    /// executions that it has not dropped from its queue yet.
    pub fn queued(&self) -> usize {
        match &self.inner {
            Inner::Briargauge(core) => core.queued,
            Inner::Naive(naive) => naive.queued(),
        }
    }

    /// Number of backend servers that are ejected because of their health.
    pub fn ejected(&self) -> usize {
        match &self.inner {
            Inner::Briargauge(core) => core.router.ejected(),
            Inner::Naive(_) => 0,
        }
    }
}

/// What remains of a removed execution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Removed {
    /// Backend servers that have attempts of the execution in flight, each once.
    pub incarnations: Vec<id::Incarnation>,
    /// Whether any attempt has started, or may have.
    pub started: bool,
}
