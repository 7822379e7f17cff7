//! State of a transient job and its tasks.

use std::{collections::BTreeSet, sync::Arc};

use super::Key;
use crate::protocol::queue::{self, Attempt, Queue, Step, Task};

/// A job has no value if it takes longer than this multiple of its target time.
const VALUE_FACTOR: u64 = 3;
/// Time after its latest start within which a job still counts as one that can be on time, in ms;
/// declared run times are rough.
pub(super) const LATE_SLACK_MS: u64 = 30;

/// State of a task.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub done: bool,
    /// Number of failed attempts.
    pub failed: u32,
    /// Number of the newest attempt.
    pub number: u32,
    pub placement: Option<Placement>,
    /// Server on which it failed last.
    pub avoid: Option<Key>,
}

/// The commanded attempt of a task, and its server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    pub attempt: Attempt,
    pub server: Key,
    pub commanded_ms: u64,
    pub stopping: bool,
}

/// A transient job that has not ended.
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
    /// Latest end at which the job is on time.
    pub on_time_ms: u64,
    /// Value deadline: latest start at which the result still has a value.
    pub value_deadline_ms: u64,
    /// Declared work of all tasks, in thousandths of a core times ms.
    pub work: u64,
    /// Whether an attempt has failed.
    pub has_failed: bool,
    pub tasks: Vec<Progress>,
    /// Tasks that may start.
    pub ready: BTreeSet<Task>,
    /// For each step, whether its tasks have been made ready.
    released: Vec<bool>,
    /// Number of tasks that are not done.
    pub remaining: usize,
    /// Whether the start of a task has been commanded.
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
            value_deadline_ms: now_ms + (VALUE_FACTOR * target_ms).saturating_sub(chain_ms),
            work: job.steps.iter().map(work).sum(),
            has_failed: false,
            ready: BTreeSet::new(),
            released: vec![false; job.steps.len()],
            remaining: tasks.len(),
            tasks,
            started: false,
            job: Arc::new(job),
        }
    }

    /// Makes the tasks of those steps ready whose dependencies are done.
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

    /// Whether the job can no longer be on time if it starts now.
    pub fn is_late(&self, now_ms: u64) -> bool {
        self.due_ms + LATE_SLACK_MS < now_ms
    }

    /// Whether the result of the job has no value any more if it starts now.
    pub fn is_past_value_deadline(&self, now_ms: u64) -> bool {
        self.value_deadline_ms < now_ms
    }
}

fn work(step: &Step) -> u64 {
    u64::from(step.tasks) * u64::from(step.estimate_ms) * step.needs.cpu_milli
}
