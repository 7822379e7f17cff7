//! Faults that the stand-in backend server can be set to simulate.

use serde::{Deserialize, Serialize};

/// The fault that the stand-in simulates. It is set in the settings and by `POST /fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    #[default]
    None,
    /// Answers each task with an error at once, without running it.
    FailFast,
    /// Accepts requests to run a task but neither runs nor answers them, and stops announcing
    /// itself.
    Freeze,
    /// Runs each task for this much longer.
    Delay { ms: u64 },
    /// Runs each task in its normal time and delays the answer.
    AnswerLate { ms: u64 },
    /// Sends the answer without its last bytes, then closes the connection.
    Truncate,
    /// Sends the whole answer twice.
    Double,
    /// Sends the answer with the attempt header of another attempt.
    WrongHeader,
    /// Answers with text that is not JSON.
    NotJson,
    /// Answers with a body of this many bytes.
    Oversize { bytes: usize },
    /// Closes the connection without running the task.
    DropBefore,
    /// Runs the task, then closes the connection.
    DropAfter,
    /// Ends the process when the next task arrives.
    Die,
}
