//! A job of an entry.

use std::{collections::BTreeSet, sync::Arc};

use super::Key;
use crate::protocol::queue::{self, Attempt, Queue, Step, Task};

/// Multiple of the target time from which on a job is worth nothing.
const LATE_FACTOR: u64 = 3;
/// Time after its latest start for which a job may still be on time, as declared times are rough,
/// in ms.
pub(super) const LATE_SLACK_MS: u64 = 30;

/// A task's state.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub done: bool,
    pub failed: u32,
    pub number: u32,
    pub at: Option<Place>,
    /// Where it failed last.
    pub avoid: Option<Key>,
}

/// Where a task runs, or is to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    pub attempt: Attempt,
    pub server: Key,
    pub commanded_ms: u64,
    pub stopping: bool,
}

#[derive(Debug)]
pub(super) struct Job {
    pub job: Arc<queue::Job>,
    pub spec: Arc<str>,
    pub service: String,
    /// As in [`Queue`].
    pub priority: u32,
    pub max_attempts: u32,
    /// Latest start at which the job would be on time.
    pub due_ms: u64,
    /// End until which the job is on time.
    pub on_time_ms: u64,
    /// Start from which on the job is worth nothing.
    pub hopeless_ms: u64,
    /// Declared work of all tasks, in thousandths of a core for a ms.
    pub work: u64,
    /// Whether a run has failed.
    pub has_failed: bool,
    pub tasks: Vec<Progress>,
    /// Tasks that may start.
    pub ready: BTreeSet<Task>,
    released: Vec<bool>,
    /// Tasks that have not ended as done.
    pub left: usize,
    /// Whether a task has been ordered.
    pub started: bool,
}

impl Job {
    pub fn new(now_ms: u64, queue: &Queue, job: queue::Job) -> Job {
        let (target_ms, chain_ms) = (queue.target_ms(&job), job.chain_ms());
        let tasks: Vec<Progress> = (0..job.tasks()).map(|_| Progress::default()).collect();
        Job {
            spec: Arc::from(job.spec.as_str()),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            due_ms: now_ms + target_ms.saturating_sub(chain_ms),
            on_time_ms: now_ms + target_ms,
            hopeless_ms: now_ms + (LATE_FACTOR * target_ms).saturating_sub(chain_ms),
            work: job.steps.iter().map(work).sum(),
            has_failed: false,
            ready: BTreeSet::new(),
            released: vec![false; job.steps.len()],
            left: tasks.len(),
            tasks,
            started: false,
            job: Arc::new(job),
        }
    }

    /// Makes the tasks of steps ready whose turn has come.
    pub fn release(&mut self, id: queue::Id) {
        for (number, step) in self.job.steps.iter().enumerate() {
            if self.released[number] || !self.step_ready(step) {
                continue;
            }
            self.released[number] = true;
            let task = |index| Task { job: id, step: number as u16, index };
            self.ready.extend((0..step.tasks).map(task));
        }
    }

    fn step_ready(&self, step: &Step) -> bool {
        self.job.step_ready(step, |position| self.tasks[position].done)
    }

    pub fn estimate_ms(&self, task: Task) -> u32 {
        self.job.steps.get(usize::from(task.step)).map_or(0, |step| step.estimate_ms)
    }

    /// Whether the job can no longer be on time.
    pub fn is_late(&self, now_ms: u64) -> bool {
        self.due_ms + LATE_SLACK_MS < now_ms
    }

    pub fn is_worthless(&self, now_ms: u64) -> bool {
        self.hopeless_ms < now_ms
    }
}

fn work(step: &Step) -> u64 {
    u64::from(step.tasks) * u64::from(step.estimate_ms) * step.needs.cpu_milli
}
