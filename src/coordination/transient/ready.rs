//! The jobs of a service that have ready tasks, in the order in which they are assigned capacity.

use std::collections::BTreeSet;

use indexmap::IndexSet;

use super::job::{Job, LATE_SLACK_MS};
use crate::protocol::queue::{Id, Task};

/// Maximum number of jobs that one pass tries.
const JOBS_PER_PASS: usize = 64;

/// Passes over the ready jobs of a service. Whenever the scheduler assigns tasks to servers, it
/// makes these passes in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pass {
    /// Jobs of which a start has been commanded. They come first, as the work already done for them
    /// would otherwise be wasted.
    StartCommanded,
    /// Jobs of which no start has been commanded and that can be on time.
    OnTime,
    /// Jobs of which no start has been commanded and that will be late.
    Late,
    /// Jobs of which a start has been commanded, but whose results have no value any more.
    NoValue,
}

impl Pass {
    pub const ALL: [Pass; 4] = [Pass::StartCommanded, Pass::OnTime, Pass::Late, Pass::NoValue];
}

/// Jobs of one service with ready tasks.
#[derive(Debug, Default)]
pub(super) struct Ready {
    /// Jobs of which a start has been commanded: latest start at which the job would be on time,
    /// job, latest start at which its result would have a value.
    start_commanded: BTreeSet<(u64, Id, u64)>,
    /// The other jobs, by urgency: latest start at which the job would be on time, job.
    unstarted: BTreeSet<(u64, Id)>,
    /// The jobs of `unstarted` by priority: priority, declared work, job, and the same
    /// latest start.
    by_priority: BTreeSet<(u32, u64, Id, u64)>,
    /// Since when jobs of the pass `OnTime`, or of the pass `StartCommanded` before it, have found
    /// no capacity.
    shortage_since_ms: Option<u64>,
    /// Tasks under which a server was lost, and which have not ended. They are not ready tasks of
    /// their jobs: each waits for a server that is held for it.
    pub suspects: IndexSet<Task>,
}

impl Ready {
    /// Updates the position of a job after a change of its ready tasks.
    pub fn update(&mut self, id: Id, job: &Job) {
        self.remove(id, job);
        match (job.ready.is_empty(), job.start_commanded) {
            (true, _) => {}
            (false, true) => {
                let key = (job.latest_start_ms, id, job.latest_useful_start_ms);
                self.start_commanded.insert(key);
            }
            (false, false) => {
                self.unstarted.insert((job.latest_start_ms, id));
                self.by_priority.insert((job.priority, job.work, id, job.latest_start_ms));
            }
        }
    }

    pub fn remove(&mut self, id: Id, job: &Job) {
        self.start_commanded.remove(&(job.latest_start_ms, id, job.latest_useful_start_ms));
        self.unstarted.remove(&(job.latest_start_ms, id));
        self.by_priority.remove(&(job.priority, job.work, id, job.latest_start_ms));
    }

    /// Records whether the jobs whose lack of capacity counts as a shortage have found capacity.
    pub fn note_capacity(&mut self, now_ms: u64, found: bool) {
        self.shortage_since_ms = match found {
            true => None,
            false => self.shortage_since_ms.or(Some(now_ms)),
        };
    }

    /// Returns how long the present shortage of capacity has lasted, in ms; `None` if there is
    /// none.
    pub fn shortage_ms(&self, now_ms: u64) -> Option<u64> {
        self.shortage_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Returns the first jobs of a pass. Jobs that can be on time are ordered by urgency. During a
    /// shortage of capacity, they are ordered by priority and then by least work, since that serves
    /// the most jobs.
    pub fn first(&self, now_ms: u64, pass: Pass) -> Vec<Id> {
        let late_ms = now_ms.saturating_sub(LATE_SLACK_MS);
        let id = |(_, id): &(u64, Id)| *id;
        match pass {
            Pass::StartCommanded => self.start_commanded(|useful_ms| useful_ms >= now_ms),
            Pass::NoValue => self.start_commanded(|useful_ms| useful_ms < now_ms),
            Pass::OnTime if self.shortage_since_ms.is_some() => {
                let on_time =
                    self.by_priority.iter().filter(|(_, _, _, start_ms)| *start_ms >= late_ms);
                on_time.map(|(_, _, id, _)| *id).take(JOBS_PER_PASS).collect()
            }
            Pass::OnTime => {
                self.unstarted.range((late_ms, Id(0))..).map(id).take(JOBS_PER_PASS).collect()
            }
            Pass::Late => {
                self.unstarted.range(..(late_ms, Id(0))).map(id).take(JOBS_PER_PASS).collect()
            }
        }
    }

    /// Returns the first jobs of which a start has been commanded and whose latest start with a
    /// valuable result satisfies `wanted`.
    fn start_commanded(&self, wanted: impl Fn(u64) -> bool) -> Vec<Id> {
        let jobs = self.start_commanded.iter().filter(|(_, _, useful_ms)| wanted(*useful_ms));
        jobs.map(|(_, id, _)| *id).take(JOBS_PER_PASS).collect()
    }
}
