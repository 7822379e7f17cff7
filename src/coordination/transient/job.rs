//! State of a transient job and its tasks.

use std::{collections::BTreeSet, sync::Arc};

use super::{Key, crash::Crash};
use crate::protocol::queue::{self, Attempt, Queue, ReadyStep, Step, Task};

/// The result of a job has no value if the job takes longer than this multiple of its target time.
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
    /// Crashes of backend servers under its attempts, and what may be some.
    pub crashes: Vec<Crash>,
    /// Number of the newest attempt.
    pub number: u32,
    pub placement: Option<Placement>,
    /// Server on which it failed last.
    pub avoid: Option<Key>,
}

/// An attempt of a task that has been commanded and has not ended, and its server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    pub attempt: Attempt,
    pub server: Key,
    pub commanded_ms: u64,
    /// Whether a stop has been commanded because the attempt has stalled.
    pub stopping: bool,
}

/// A transient job that has not ended.
#[derive(Debug)]
pub(super) struct Job {
    /// The job as submitted.
    pub submitted: Arc<queue::Job>,
    pub spec: Arc<str>,
    pub service: String,
    /// As in [`Queue`].
    pub priority: u32,
    pub max_attempts: u32,
    /// Latest start at which the job would be on time.
    pub latest_start_ms: u64,
    /// Latest end at which the job is on time.
    pub latest_end_ms: u64,
    /// Latest start at which the result would still have a value.
    pub latest_useful_start_ms: u64,
    /// Declared work of all tasks, in thousandths of a core times ms.
    pub work: u64,
    /// Whether an attempt has failed.
    pub has_failed: bool,
    pub tasks: Vec<Progress>,
    /// Tasks that may start.
    pub ready: BTreeSet<Task>,
    /// For each step, whether its tasks have been made ready.
    made_ready: Vec<bool>,
    /// Number of tasks that are not done.
    pub remaining: usize,
    /// Whether the start of a task has ever been commanded, even if it did not start.
    pub start_commanded: bool,
    /// Number of commanded starts, without those that the sidecar refused because its server takes no
    /// work.
    pub starts_open: u32,
}

/// Bytes that count for a job besides its steps and tasks: its place in the indexes and its callers.
const JOB_BYTES: usize = size_of::<Job>() + 400;
/// Bytes that count for a task: its state, what is known of a crash, and its place among the ready ones.
const TASK_BYTES: usize = size_of::<Progress>() + 2 * size_of::<Task>() + 16;

/// Returns the memory that a job takes at an entry until it has ended, in bytes.
pub fn memory_bytes(job: &queue::Job) -> usize {
    // The spec is held twice: as submitted and for the start commands.
    JOB_BYTES + job.memory_bytes() + job.spec.len() + job.tasks() * TASK_BYTES
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
            latest_start_ms: now_ms + target_ms.saturating_sub(chain_ms),
            latest_end_ms: now_ms + target_ms,
            latest_useful_start_ms: now_ms + (VALUE_FACTOR * target_ms).saturating_sub(chain_ms),
            work: job.steps.iter().map(work).sum(),
            has_failed: false,
            ready: BTreeSet::new(),
            made_ready: vec![false; job.steps.len()],
            remaining: tasks.len(),
            tasks,
            start_commanded: false,
            starts_open: 0,
            submitted: Arc::new(job),
        }
    }

    /// Makes the tasks of a step ready if all steps that it depends on are done.
    pub fn make_steps_ready(&mut self, id: queue::Id) {
        let is_done = |position: usize| self.tasks[position].done;
        for ReadyStep { number, start } in self.submitted.ready_steps(&self.made_ready, is_done) {
            self.made_ready[number] = true;
            let of_step = (0..self.submitted.steps[number].tasks).zip(&self.tasks[start..]);
            let waiting = of_step.filter(|(_, progress)| {
                // A task under which a server was lost waits for a server of its own.
                !progress.done && progress.placement.is_none() && progress.crashes.is_empty()
            });
            let task = |index| Task { job: id, step: number as u16, index };
            self.ready.extend(waiting.map(|(index, _)| task(index)));
        }
    }

    /// Makes a task ready whose attempt has ended, unless it waits for other steps.
    pub fn make_ready(&mut self, task: Task) {
        if self.is_step_ready(task) {
            self.ready.insert(task);
        }
    }

    /// Whether the tasks of a task's step have been made ready.
    pub fn is_step_ready(&self, task: Task) -> bool {
        self.made_ready.get(usize::from(task.step)).is_some_and(|ready| *ready)
    }

    /// Takes over an attempt of a removed job with the same id, which may still run. Returns whether
    /// this job has its task.
    pub fn adopt(&mut self, placement: Placement) -> bool {
        let attempt = placement.attempt;
        let Some(position) = self.submitted.position(attempt.task) else { return false };
        let task = &mut self.tasks[position];
        task.number = attempt.number;
        task.placement = Some(Placement { stopping: true, ..placement });
        self.start_commanded = true;
        self.starts_open += 1;
        true
    }

    /// Returns the step of a task.
    pub fn step(&self, task: Task) -> Option<&Step> {
        self.submitted.steps.get(usize::from(task.step))
    }

    /// Returns the state of a task.
    pub fn progress(&self, task: Task) -> Option<&Progress> {
        self.tasks.get(self.submitted.position(task)?)
    }

    /// Returns the declared run time of a task.
    pub fn estimate_ms(&self, task: Task) -> u32 {
        self.step(task).map_or(0, |step| step.estimate_ms)
    }

    /// Whether nothing of the job has run, and nothing of it may run any more.
    pub fn has_not_run(&self) -> bool {
        self.starts_open == 0
    }

    /// Whether the job would not be on time even if it started now.
    pub fn is_late(&self, now_ms: u64) -> bool {
        self.latest_start_ms + LATE_SLACK_MS < now_ms
    }

    /// Whether the result of the job would have no value any more if it started now.
    pub fn has_no_value(&self, now_ms: u64) -> bool {
        self.latest_useful_start_ms < now_ms
    }
}

/// Declared work of a step, in thousandths of a core times ms.
fn work(step: &Step) -> u64 {
    u64::from(step.tasks) * u64::from(step.estimate_ms) * step.needs.cpu_milli
}
