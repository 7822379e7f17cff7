//! Requests of callers to an entry and its responses, as JSON. `docs/api.md` describes them for
//! callers.

use serde::{Deserialize, Serialize, de};
use serde_json::value::RawValue;

use crate::protocol::id;

/// Maximum number of tasks in one job.
pub const TASKS_MAX: usize = 490;

/// Body of `POST /v1/jobs`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    #[serde(rename = "team")]
    pub account: id::Account,
    /// The submission's key, chosen by the caller; a resubmission repeats it.
    pub key: String,
    /// Time at which the caller created the submission, in ms since the Unix epoch; a resubmission
    /// repeats it.
    pub created_at_ms: u64,
    /// Time from the submission's arrival until its answer has no value for the caller, in ms.
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
    /// Whether the task may safely run twice. If not, `key` and `created_at_ms` are required.
    pub idempotent: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub created_at_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    pub task: Task,
}

/// A task as the caller describes it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    pub kind: String,
    pub input: Box<RawValue>,
    /// Expected run time on a typical backend server, in ms. It is only a hint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub needs: Option<Needs>,
}

/// Resources that a task needs, or that a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Needs {
    pub cpus: u16,
    pub memory_mb: u32,
    pub accelerators: u16,
}

impl Needs {
    /// Whether a worker with the resources `size` can run a task with these needs.
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
#[serde(tag = "status", rename_all = "snake_case", try_from = "ResponseFields")]
pub enum Response {
    /// Every task has an answer. The answers are in the order of the tasks. Each task ran once,
    /// except that the task of an idempotent request may have run more than once.
    Completed { answers: Vec<Box<RawValue>> },
    /// There is no answer, but some tasks may have run. The submission is never run again under its
    /// key.
    Failed { reason: Failure, detail: String },
    /// No task was started, and none will be started.
    NotRun { reason: Refusal, detail: String },
    /// The submission is still running. This answers status queries, and resubmissions whose
    /// deadline passes.
    Running { done: usize, tasks: usize },
    /// No submission with this key is known. This answers status queries and cancellations.
    Unknown { detail: String },
}

/// The fields of all variants of [`Response`]. Responses are deserialised through this struct,
/// because serde cannot deserialise a `RawValue` inside an internally tagged enum.
#[derive(Debug, Deserialize)]
struct ResponseFields {
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

impl TryFrom<ResponseFields> for Response {
    type Error = de::value::Error;

    fn try_from(fields: ResponseFields) -> Result<Response, Self::Error> {
        let ResponseFields { status, answers, reason, detail, done, tasks } = fields;
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

/// Why a submission failed. The values are part of the callers' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// A task failed at its backend server.
    TaskFailed,
    /// A task may have run, but its result is lost.
    OutcomeUnknown,
    /// The deadline passed after a task had started.
    DeadlineExceeded,
    /// The caller cancelled after a task had started.
    Cancelled,
    /// The entry that ran the job was lost.
    EntryLost,
    /// The job completed, but its answer, which was too large for the control log, is no longer
    /// stored.
    AnswerLost,
}

/// Why a submission was not run. The values are part of the callers' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The submission is not valid.
    BadRequest,
    /// The key was used before for a submission with other content.
    KeyConflict,
    /// `created_at_ms` is in the future, or further in the past than keys are kept.
    KeyExpired,
    /// At least one task of the submission fits no backend server, whatever the load.
    NeverFits,
    /// The client account is over its quota.
    OverQuota,
    /// The queues are full.
    Overloaded,
    /// No backend server is available.
    NoBackend,
    /// The deadline passed before any task started.
    DeadlineExceeded,
    /// The caller cancelled before any task started.
    Cancelled,
    /// The entry cannot confirm that its rules are the current ones.
    RulesUnconfirmed,
    /// Control cannot be reached, or did not admit the submission.
    ControlUnavailable,
    /// The entry is stopping.
    Stopping,
}

impl Failure {
    /// Name of the reason in JSON, logs and metrics.
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
    /// Name of the reason in JSON, logs and metrics.
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

    /// Explanation of the reason for callers.
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
