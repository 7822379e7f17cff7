//! What callers send to an entry and get back, as JSON. `docs/api.md` describes it for callers.

use serde::{Deserialize, Serialize, de};
use serde_json::value::RawValue;

use crate::protocol::id;

/// Most tasks in one job.
pub const TASKS_MAX: usize = 490;

/// Body of `POST /v1/jobs`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    #[serde(rename = "team")]
    pub account: id::Account,
    /// The caller's key; a resubmission repeats it.
    pub key: String,
    /// When the caller created the submission, ms since the Unix epoch; a resubmission repeats it.
    pub created_at_ms: u64,
    /// Time from arrival until the caller no longer wants the answer, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    pub tasks: Vec<Task>,
}

/// Body of `POST /v1/requests`: a single task.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    #[serde(rename = "team")]
    pub account: id::Account,
    /// Whether running the task twice does no harm. If not, `key` and `created_at_ms` are required.
    pub idempotent: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub created_at_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    pub task: Task,
}

/// One task as the caller describes it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    pub kind: String,
    pub input: Box<RawValue>,
    /// Expected run time in ms on a typical backend server; a hint only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub needs: Option<Needs>,
}

/// What a task needs, or what a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Needs {
    pub cpus: u16,
    pub memory_mb: u32,
    pub accelerators: u16,
}

impl Needs {
    /// Whether a worker of this `size` is large enough.
    pub fn fit(&self, size: &Needs) -> bool {
        self.cpus <= size.cpus
            && self.memory_mb <= size.memory_mb
            && self.accelerators <= size.accelerators
    }
}

/// Body of `POST /v1/jobs/cancel`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    #[serde(rename = "team")]
    pub account: id::Account,
    pub key: String,
}

/// Body of every response of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case", try_from = "Flat")]
pub enum Response {
    /// Every task ran once; answers are in the order of the tasks.
    Completed { answers: Vec<Box<RawValue>> },
    /// No answer; some tasks may have run. The submission is never run again under its key.
    Failed { reason: Failure, detail: String },
    /// No task was started, and none will be.
    NotRun { reason: Refusal, detail: String },
    /// Still running: for status queries, and for resubmissions whose deadline passes.
    Running { done: usize, tasks: usize },
    /// No submission with this key is known: for status queries and cancels.
    Unknown { detail: String },
}

/// A response with the fields of all variants: raw JSON cannot be read through a tagged enum.
#[derive(Debug, Deserialize)]
struct Flat {
    status: String,
    #[serde(default)]
    answers: Vec<Box<RawValue>>,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    detail: String,
    #[serde(default)]
    done: usize,
    #[serde(default)]
    tasks: usize,
}

impl TryFrom<Flat> for Response {
    type Error = de::value::Error;

    fn try_from(flat: Flat) -> Result<Response, Self::Error> {
        let Flat { status, answers, reason, detail, done, tasks } = flat;
        let reason = de::value::StrDeserializer::new(&reason);
        Ok(match status.as_str() {
            "completed" => Response::Completed { answers },
            "failed" => Response::Failed { reason: Failure::deserialize(reason)?, detail },
            "not_run" => Response::NotRun { reason: Refusal::deserialize(reason)?, detail },
            "running" => Response::Running { done, tasks },
            "unknown" => Response::Unknown { detail },
            _ => return Err(de::Error::custom(format!("unknown status '{status}'"))),
        })
    }
}

/// Why a submission failed. Part of the public interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// A task failed at its backend server.
    TaskFailed,
    /// A task may have run, its result is lost.
    OutcomeUnknown,
    /// The deadline passed after a task had started.
    DeadlineExceeded,
    /// The caller cancelled after a task had started.
    Cancelled,
    /// The entry that ran the job was lost.
    EntryLost,
    /// The job completed, but its large answer is no longer held.
    AnswerLost,
}

/// Why a submission was not run. Part of the public interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The submission is not valid.
    BadRequest,
    /// The key was used before with other content.
    KeyConflict,
    /// `created_at_ms` is older than keys are kept, or in the future.
    KeyExpired,
    /// No backend server could ever run a task of the submission.
    NeverFits,
    /// The team is over its quota.
    OverQuota,
    /// Queues are full.
    Overloaded,
    /// No backend server is available.
    NoBackend,
    /// The deadline passed before any task started.
    DeadlineExceeded,
    /// The caller cancelled before any task started.
    Cancelled,
    /// The entry cannot confirm that it holds the current rules.
    RulesUnconfirmed,
    /// Control cannot be reached, or did not admit the submission.
    ControlUnavailable,
    /// The entry is stopping.
    Stopping,
}

impl Failure {
    /// The reason as it appears in JSON, logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Failure::TaskFailed => "task_failed",
            Failure::OutcomeUnknown => "outcome_unknown",
            Failure::DeadlineExceeded => "deadline_exceeded",
            Failure::Cancelled => "cancelled",
            Failure::EntryLost => "entry_lost",
            Failure::AnswerLost => "answer_lost",
        }
    }
}

impl Refusal {
    /// The reason as it appears in JSON, logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::BadRequest => "bad_request",
            Refusal::KeyConflict => "key_conflict",
            Refusal::KeyExpired => "key_expired",
            Refusal::NeverFits => "never_fits",
            Refusal::OverQuota => "over_quota",
            Refusal::Overloaded => "overloaded",
            Refusal::NoBackend => "no_backend",
            Refusal::DeadlineExceeded => "deadline_exceeded",
            Refusal::Cancelled => "cancelled",
            Refusal::RulesUnconfirmed => "rules_unconfirmed",
            Refusal::ControlUnavailable => "control_unavailable",
            Refusal::Stopping => "stopping",
        }
    }

    /// What the reason means, for callers.
    pub fn detail(self) -> &'static str {
        match self {
            Refusal::BadRequest => "the submission is not valid",
            Refusal::KeyConflict => "the key was used before with other content",
            Refusal::KeyExpired => "created_at_ms is out of the time for which keys are kept",
            Refusal::NeverFits => "no backend server could ever run a task of the submission",
            Refusal::OverQuota => "the team is over its quota",
            Refusal::Overloaded => "the queues are full",
            Refusal::NoBackend => "no backend server is available",
            Refusal::DeadlineExceeded => "the deadline passed before any task started",
            Refusal::Cancelled => "cancelled by the caller before any task started",
            Refusal::RulesUnconfirmed => "the entry cannot confirm that its rules are in force",
            Refusal::ControlUnavailable => "control did not admit the submission",
            Refusal::Stopping => "the entry is stopping",
        }
    }
}
