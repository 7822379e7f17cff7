//! What a dispatcher knows of executions, tasks and attempts.

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
    /// Order within the team, see `queue::Item`.
    pub score: u64,
    pub tasks: Vec<Task>,
    /// Queued tasks by lane.
    pub batches: Vec<Batch>,
    /// Attempts in flight.
    pub flights: Vec<usize>,
    /// Whether an attempt has ended that had started, or may have.
    pub started: bool,
    /// Expired or failed: nothing starts any more.
    pub over: bool,
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

/// One task.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    pub demand: usize,
    pub class: speed::Class,
    /// Expected run time at speed 1 when it was submitted, in µs.
    pub mean_us: f64,
    /// Number of the next attempt.
    pub number: u16,
    pub flying: u8,
    pub refused: u8,
    pub answered: bool,
}

/// An attempt that was started and has not ended.
#[derive(Debug)]
pub struct Flight {
    pub attempt: id::Attempt,
    /// `None` once the execution is removed.
    pub execution: Option<usize>,
    /// Position in the `flights` of the execution.
    pub at: usize,
    pub account: queue::Account,
    pub lane: usize,
    pub server: route::Key,
    pub class: speed::Class,
    pub sent: Micros,
    pub mean_us: f64,
    /// 1/expected time.
    pub rate: f64,
}

impl Execution {
    /// Whether any attempt has started or may have.
    pub fn may_have_started(&self) -> bool {
        self.started || !self.flights.is_empty()
    }
}
