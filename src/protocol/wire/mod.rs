//! Services and messages between the system's own processes, carried by `tarpc`.
//!
//! JSON from callers and backend servers travels as text: it is checked once at the edge and not
//! parsed again.

pub mod control;
pub mod entry;
pub mod peer;
pub mod sidecar;

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
