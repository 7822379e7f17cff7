//! State that a dispatcher keeps of executions, tasks and attempts.

use std::collections::VecDeque;

use crate::{
    coordination::{dispatch::Micros, queue, route, speed},
    protocol::id,
};

/// A submission or request that has not ended.
#[derive(Debug)]
pub struct Execution {
    pub id: id::Execution,
    pub account: queue::Account,
    pub restartable: bool,
    pub deadline: Micros,
    /// Order within the client account, see `queue::Item`.
    pub score: u64,
    pub tasks: Vec<Task>,
    /// Queued tasks by lane.
    pub batches: Vec<Batch>,
    /// Attempts in flight, as keys of `Core::attempts`.
    pub attempts: Vec<usize>,
    /// Whether any attempt that has already ended did start, or may have. Attempts in flight are
    /// not counted.
    pub started: bool,
    /// Whether it has expired, failed or been removed, after which no task is started.
    pub stopped: bool,
    /// Number of tasks that have their answer.
    pub answered: u32,
}

/// Queued tasks of an execution that fit the same servers, sorted by expected run time with the
/// shortest first; tasks that are queued again are appended. Tasks are taken from the end, but from
/// the front for a slow server.
#[derive(Debug)]
pub struct Batch {
    pub lane: usize,
    pub tasks: VecDeque<u16>,
}

#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Index into `Core::requirements`.
    pub requirement: usize,
    pub class: speed::Class,
    /// Run time at speed 1 that was expected when the task was submitted, in µs.
    pub mean_us: f64,
    /// Number of the next attempt.
    pub next_number: u16,
    /// Number of attempts in flight: two while the task is hedged.
    pub in_flight: u8,
    /// Number of attempts that were refused with `NotStarted::TooLarge`.
    pub too_large: u8,
    pub answered: bool,
}

/// An attempt that was sent to a server and has not ended.
#[derive(Debug)]
pub struct SentAttempt {
    pub attempt: id::Attempt,
    /// Key of `Core::executions`; `None` once the execution has been removed.
    pub execution: Option<usize>,
    /// Position in `Execution::attempts`.
    pub position: usize,
    pub account: queue::Account,
    /// Index into `Core::requirements`.
    pub requirement: usize,
    pub server: route::Key,
    pub class: speed::Class,
    pub sent_at: Micros,
    /// Expected run time at speed 1 when the task was submitted, in µs.
    pub mean_us: f64,
    /// Inverse of the expected time until the reply, per µs.
    pub rate: f64,
}

impl Execution {
    /// Whether any attempt has started or may have.
    pub fn may_have_started(&self) -> bool {
        self.started || !self.attempts.is_empty()
    }
}
