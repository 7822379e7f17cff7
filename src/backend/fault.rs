//! Misbehaviour of the stand-in backend server.

use serde::{Deserialize, Serialize};

/// What the stand-in does wrong; set in its settings and by `POST /fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    #[default]
    None,
    /// Answers each task at once with an error, without running it.
    FailFast,
    /// Takes requests, but neither runs nor answers anything, and stops announcing itself.
    Freeze,
    /// Runs each task this much longer.
    Delay { ms: u64 },
    /// Runs each task in time and holds the answer back.
    AnswerLate { ms: u64 },
    /// Sends half of the answer, then closes the connection.
    Truncate,
    /// Sends the whole answer twice.
    Double,
    /// Sends the answer with another attempt's header.
    WrongHeader,
    /// Answers with text that is not JSON.
    NotJson,
    /// Answers with a body of this many bytes.
    Oversize { bytes: usize },
    /// Closes the connection without running the task.
    DropBefore,
    /// Runs the task, then closes the connection.
    DropAfter,
    /// Ends the process at once.
    Die,
}
