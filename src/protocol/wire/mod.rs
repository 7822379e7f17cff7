//! Services and messages between the system's own processes, carried by `tarpc`.
//!
//! JSON from callers and backend servers is carried as text. The process that receives it from
//! outside checks it, and no other process parses it again.

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
    /// No task started, so the key may be admitted again.
    NotRun {
        reason: job::Refusal,
        detail: String,
    },
}

impl Outcome {
    /// The outcome that control records for the open jobs of an entry's session that has ended.
    ///
    /// An entry that is notified that its own session has ended answers with the same outcome, so
    /// that a resubmission, which is answered from control's record, gets the same answer as the
    /// first call.
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
    /// The answers are too large for the control log, so the entry that ran the submission stores
    /// them. `digest` is a SHA-256 over all of them.
    Retained { digest: [u8; 32] },
}

/// Maximum size of answers that are kept in the control log, in bytes.
pub const ANSWER_INLINE_MAX_BYTES: usize = 16 * 1024;
