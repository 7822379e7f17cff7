//! Replicated state of the durable jobs: the configuration, and for each job the outcomes of its
//! tasks.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::protocol::queue::{Attempt, Config, Id, Job, Outcome, Phase, ReadyStep, Task};

/// Number of crashes under attempts of a task at which its job fails if the last was isolated.
pub const ISOLATED_CRASHES_MAX: usize = 2;
/// Number of crashes under attempts of a task at which its job fails in any case.
const CRASHES_MAX: usize = 4;

/// Bytes that count for the record of a job besides its steps and tasks, with its place in the indexes.
const RECORD_BYTES: usize = 400;
/// Bytes that count for a job that has not finished, for the leader's scheduler.
const OPEN_BYTES: usize = 300;
/// Bytes that count for each step of such a job, for the scheduler, the log and the snapshot.
const STEP_BYTES: usize = 64;
/// Bytes that count for each task of such a job: its [`Progress`], the numbers of a few failures and
/// crashes, its place among the tasks that may start, and its part of the log and the snapshot.
const TASK_BYTES: usize = size_of::<Progress>() + 88;

/// Returns the memory that a job takes at each control instance until it has finished, in bytes.
pub fn memory_bytes(job: &Job) -> usize {
    // The scheduler has a copy of the spec for its start commands.
    finished_bytes(job)
        + job.spec.len()
        + OPEN_BYTES
        + job.steps.len() * STEP_BYTES
        + job.tasks() * TASK_BYTES
}

/// Returns the memory that a job takes once it has finished, in bytes.
fn finished_bytes(job: &Job) -> usize {
    RECORD_BYTES + job.memory_bytes()
}

/// A change of the queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Takes effect if its version is higher than the one in force.
    Configure(Arc<Config>),
    Submit(Submission),
    /// Records the outcomes of ended attempts. `Outcome::Stopped` has no effect.
    Complete(Vec<Completion>),
    Cancel(Id),
    /// Records attempts under which a backend server crashed.
    Crash(Vec<Crash>),
    /// Fences attempts whose ends are not known: neither their ends nor those of earlier attempts of
    /// their tasks count from now on.
    Fence(Vec<Attempt>),
}

/// A job that a caller has submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub id: Id,
    pub host: String,
    pub path: String,
    pub job: Job,
    /// Term of the leader. Leaders of later terms number attempts above those of earlier ones.
    pub term: u64,
    /// How long the record is kept after the job has finished.
    pub keep_ms: u64,
}

/// Record that an attempt has ended, with its outcome. It is made only if the outcome matters to
/// the job.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    pub attempt: Attempt,
    pub outcome: Outcome,
}

/// Record that a backend server crashed under an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    pub attempt: Attempt,
    /// Whether nothing but the attempt explains the crash: it was alone at the server, and no other
    /// servers were lost at that time.
    pub isolated: bool,
}

/// Result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    Done,
    /// For a submission: the job was submitted before. For a cancellation: the job had already
    /// finished.
    Known,
    /// No queue has this host and path.
    NoQueue,
    /// No configuration has been accepted yet.
    NoConfig,
    /// No such job.
    Unknown,
}

/// Replicated record of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub job: Arc<Job>,
    pub service: String,
    pub host: String,
    pub prefix: String,
    pub priority: u32,
    pub max_attempts: u32,
    /// Time from acceptance within which the job counts as on time.
    pub target_ms: u64,
    /// When it was accepted, ms since the Unix epoch.
    pub accepted_ms: u64,
    pub term: u64,
    pub keep_ms: u64,
    pub phase: Phase,
    /// State of each task, by its position in the job; empty once the job has finished, unless attempts
    /// of its tasks are fenced.
    pub tasks: Vec<Progress>,
    /// Number of tasks that are not done.
    pub left: usize,
}

/// State of a task.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub done: bool,
    /// Numbers of the failed attempts. A failure that is reported again, also to a later leader,
    /// counts once.
    pub failed: Vec<u32>,
    /// Numbers of the attempts under which a backend server crashed, at most [`CRASHES_MAX`]. A
    /// crash that is reported again, also to a later leader, counts once.
    pub crashes: Vec<u32>,
    /// Attempts with numbers up to this one are fenced.
    pub fenced: u32,
}

/// The replicated queues.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredQueues")]
pub struct Queues {
    config: Option<Arc<Config>>,
    jobs: IndexMap<Id, Record>,
    /// Finished jobs and when their records may be removed, in the order in which they finished.
    finished: VecDeque<(u64, Id)>,
    /// Memory of all records.
    #[serde(skip_serializing)]
    memory_bytes: usize,
}

/// [`Queues`] as a snapshot contains them.
#[derive(Deserialize)]
struct StoredQueues {
    config: Option<Arc<Config>>,
    jobs: IndexMap<Id, Record>,
    finished: VecDeque<(u64, Id)>,
}

impl From<StoredQueues> for Queues {
    fn from(stored: StoredQueues) -> Queues {
        let StoredQueues { config, jobs, finished } = stored;
        let memory_bytes = jobs.values().map(Record::memory_bytes).sum();
        Queues { config, jobs, finished, memory_bytes }
    }
}

impl Record {
    /// Memory of the record at each control instance, in bytes.
    fn memory_bytes(&self) -> usize {
        match self.phase.is_terminal() {
            true => finished_bytes(&self.job) + self.tasks.len() * TASK_BYTES,
            false => memory_bytes(&self.job),
        }
    }

    /// The steps that have not begun and all of whose dependencies are done.
    pub fn ready_steps(&self, begun: &[bool]) -> Vec<ReadyStep> {
        self.job.ready_steps(begun, |position| self.tasks[position].done)
    }

    /// State of a task, if it is kept.
    pub fn progress(&self, task: Task) -> Option<&Progress> {
        self.tasks.get(self.job.position(task)?)
    }

    /// State of a task, if it is kept.
    fn progress_mut(&mut self, task: Task) -> Option<&mut Progress> {
        let position = self.job.position(task)?;
        self.tasks.get_mut(position)
    }

    /// Whether the end of `attempt` does not count, as the attempt was fenced before.
    pub fn fenced(&self, attempt: Attempt) -> bool {
        self.progress(attempt.task).is_some_and(|task| attempt.number <= task.fenced)
    }

    /// Whether a crash under `attempt` is still to be recorded.
    pub fn crash_counts(&self, attempt: Attempt) -> bool {
        !self.phase.is_terminal()
            && self
                .progress(attempt.task)
                .is_some_and(|task| !task.done && !task.crashes.contains(&attempt.number))
    }
}

impl Queues {
    pub(super) fn apply(&mut self, now_ms: u64, change: Change) -> Reply {
        self.remove_expired(now_ms);
        match change {
            Change::Configure(config) => self.configure(config),
            Change::Submit(submission) => self.submit(now_ms, submission),
            Change::Complete(completions) => {
                for completion in completions {
                    self.complete(now_ms, completion);
                }
                Reply::Done
            }
            Change::Cancel(id) => self.cancel(now_ms, id),
            Change::Crash(crashes) => {
                for crash in crashes {
                    self.crash(now_ms, crash);
                }
                Reply::Done
            }
            Change::Fence(attempts) => {
                attempts.into_iter().for_each(|attempt| self.fence(attempt));
                Reply::Done
            }
        }
    }

    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Memory of all records at each control instance, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    pub fn job(&self, id: Id) -> Option<&Record> {
        self.jobs.get(&id)
    }

    /// Jobs that have not finished.
    pub fn open(&self) -> impl Iterator<Item = (Id, &Record)> {
        self.jobs.iter().filter(|(_, job)| !job.phase.is_terminal()).map(|(id, job)| (*id, job))
    }

    fn configure(&mut self, config: Arc<Config>) -> Reply {
        if self.config.as_ref().is_none_or(|current| current.version < config.version) {
            self.config = Some(config);
        }
        Reply::Done
    }

    fn submit(&mut self, now_ms: u64, submission: Submission) -> Reply {
        if self.jobs.contains_key(&submission.id) {
            return Reply::Known;
        }
        let Some(config) = &self.config else { return Reply::NoConfig };
        let Some((queue, _)) = config.route(&submission.host, &submission.path) else {
            return Reply::NoQueue;
        };
        let job = submission.job;
        let tasks = job.tasks();
        let record = Record {
            service: queue.service.clone(),
            host: queue.host.clone(),
            prefix: queue.prefix.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            target_ms: queue.target_ms(&job),
            accepted_ms: now_ms,
            term: submission.term,
            keep_ms: submission.keep_ms,
            phase: Phase::Running,
            tasks: vec![Progress::default(); tasks],
            left: tasks,
            job: Arc::new(job),
        };
        self.memory_bytes += record.memory_bytes();
        self.jobs.insert(submission.id, record);
        Reply::Done
    }

    fn complete(&mut self, now_ms: u64, completion: Completion) {
        let id = completion.attempt.task.job;
        let Some(record) = self.jobs.get_mut(&id) else { return };
        let (terminal, max_attempts) = (record.phase.is_terminal(), record.max_attempts as usize);
        let Some(task) = record.progress_mut(completion.attempt.task) else { return };
        if terminal || task.done || completion.attempt.number <= task.fenced {
            return;
        }
        match completion.outcome {
            Outcome::Done => {
                task.done = true;
                record.left -= 1;
                if record.left == 0 {
                    self.finish(now_ms, id, Phase::Completed);
                }
            }
            Outcome::Failed => {
                if task.failed.contains(&completion.attempt.number) {
                    return;
                }
                task.failed.push(completion.attempt.number);
                if task.failed.len() >= max_attempts {
                    self.finish(now_ms, id, Phase::Failed);
                }
            }
            Outcome::Stopped => {}
        }
    }

    fn crash(&mut self, now_ms: u64, crash: Crash) {
        let id = crash.attempt.task.job;
        let Some(record) = self.jobs.get_mut(&id) else { return };
        if !record.crash_counts(crash.attempt) {
            return;
        }
        let Some(task) = record.progress_mut(crash.attempt.task) else { return };
        let crashes = &mut task.crashes;
        crashes.push(crash.attempt.number);
        let max = if crash.isolated { ISOLATED_CRASHES_MAX } else { CRASHES_MAX };
        if crashes.len() >= max {
            self.finish(now_ms, id, Phase::Failed);
        }
    }

    fn fence(&mut self, attempt: Attempt) {
        let Some(record) = self.jobs.get_mut(&attempt.task.job) else { return };
        if let Some(task) = record.progress_mut(attempt.task)
            && !task.done
        {
            task.fenced = task.fenced.max(attempt.number);
        }
    }

    fn cancel(&mut self, now_ms: u64, id: Id) -> Reply {
        match self.jobs.get(&id) {
            None => Reply::Unknown,
            Some(record) if record.phase.is_terminal() => Reply::Known,
            Some(_) => {
                self.finish(now_ms, id, Phase::Canceled);
                Reply::Done
            }
        }
    }

    /// Puts a job into a terminal phase. Its steps are kept, because they say which resources its
    /// running tasks still use. Its spec is dropped, and so are the states of its tasks unless they show
    /// which ends do not count.
    fn finish(&mut self, now_ms: u64, id: Id, phase: Phase) {
        let Some(record) = self.jobs.get_mut(&id) else { return };
        self.memory_bytes -= record.memory_bytes();
        record.phase = phase;
        if record.tasks.iter().all(|task| task.fenced == 0) {
            record.tasks = Vec::new();
        }
        Arc::make_mut(&mut record.job).spec = String::new();
        self.memory_bytes += record.memory_bytes();
        self.finished.push_back((now_ms + record.keep_ms, id));
    }

    /// Removes the records of finished jobs whose retention time is over, in the order in which the
    /// jobs finished. A record stays until all before it have been removed.
    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((until_ms, id)) = self.finished.front().copied()
            && until_ms <= now_ms
        {
            self.finished.pop_front();
            if let Some(record) = self.jobs.swap_remove(&id) {
                self.memory_bytes -= record.memory_bytes();
            }
        }
    }
}
