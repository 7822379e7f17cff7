//! Services and messages between the system's own processes, carried by `tarpc`.
//!
//! JSON from callers and backend servers travels as text: it is checked once at the edge and not
//! parsed again.

pub mod control;
pub mod entry;
pub mod peer;
pub mod queue;
pub mod sidecar;
pub mod work;

use serde::{Deserialize, Serialize};

use crate::protocol::job;

/// How a submission ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    Completed(Answer),
    Failed {
        reason: job::Failure,
        detail: String,
    },
    /// No task started: the key may be admitted again.
    NotRun {
        reason: job::Refusal,
        detail: String,
    },
}

impl Outcome {
    /// The outcome that control records for the open jobs of a session that has ended. An entry
    /// that learns of its own end answers with the same words, so that a resubmission, which gets
    /// the record, does not get another answer than the first caller.
    pub fn entry_lost() -> Outcome {
        Outcome::Failed {
            reason: job::Failure::EntryLost,
            detail: "the entry that ran the job was lost".into(),
        }
    }
}

/// The answers of a completed submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// JSON texts in the order of the tasks.
    Inline(Vec<String>),
    /// Too large for the log: held by the entry that ran the submission.
    Held { digest: [u8; 32] },
}

/// Size of answers, in bytes, up to which they are kept in the control log.
pub const ANSWER_INLINE_MAX_BYTES: usize = 16 * 1024;
