//! The service that sidecars offer to entries. Only the sidecar decides whether an attempt starts.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{id, job},
    transport::rpc,
};

/// Calls from entries.
#[tarpc::service]
pub trait Service {
    /// Starts an attempt, at once or from a short queue, and replies when it has ended.
    async fn run(task: Task) -> Reply;
    /// Cancels all attempts of an execution. Queued ones never start, running ones are stopped.
    async fn cancel(execution: id::Execution) -> Cancelled;
    /// Prevents the start of those attempts that have not started yet, and returns for each whether
    /// it has started.
    async fn revoke(incarnation: id::Incarnation, attempts: Vec<id::Attempt>) -> Vec<Revoked>;
}

/// The attempt that the sidecar is asked to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    pub attempt: id::Attempt,
    /// The incarnation of the backend server that the entry chose. The sidecar refuses the attempt
    /// if its backend server has another one by now, for example because the backend server or the
    /// sidecar has restarted.
    pub incarnation: id::Incarnation,
    pub account: id::Account,
    pub kind: String,
    /// The task's input, a JSON text.
    pub input: String,
    pub declared_ms: Option<u32>,
    pub needs: job::Needs,
    /// Time from the sending of the call to the deadline, in ms.
    pub left_ms: u32,
}

/// Reply to `run`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The attempt of the call.
    pub attempt: id::Attempt,
    pub load: Load,
    pub result: RunResult,
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RunResult {
    Done {
        /// The task's answer, a JSON text.
        answer: String,
        /// CRC-32 of `answer`, computed right after the backend server's response was checked.
        crc: u32,
        /// Time that the task took at the backend server, in µs.
        ran_us: u64,
    },
    /// The attempt started, or may have started, and there is no answer.
    Failed { reason: job::Failure, detail: String, ran_us: u64 },
    /// The attempt did not start and never will.
    NotStarted { reason: NotStarted },
}

/// Why an attempt did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStarted {
    /// The call names another incarnation of the backend server, no backend server has announced
    /// itself, or the backend server restarted while the attempt was queued.
    WrongIncarnation,
    /// The sidecar's lease has run out, so it does not know which epochs are fenced.
    NoLease,
    /// The entry's session has ended.
    Fenced,
    /// The backend server or the sidecar is stopping, or a rule drains the backend server.
    Draining,
    /// The attempt was revoked or cancelled, or no caller waited for it any more.
    Revoked,
    /// The deadline passed before the start.
    Expired,
    /// No slot was free and the queue was full.
    Full,
    /// The task does not fit this backend server: it needs more resources than the worker has, or
    /// the backend server does not run its kind.
    TooLarge,
    /// The backend server has not announced itself within its lease, or no connection to it could
    /// be opened.
    Unreachable,
}

/// Load of a backend server, sent with each reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub slots: u16,
    pub busy: u16,
    pub queued: u16,
}

/// Result of `cancel`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Number of attempts removed from the queue.
    pub queued: u16,
    /// Number of running attempts that are stopped.
    pub running: u16,
}

/// State of a revoked attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Revoked {
    /// The attempt has not started and never will.
    NotStarted,
    /// The attempt has started, and may have ended, or it is not known whether it started. `revoke`
    /// does not return its result: only calls of `run` that wait when the attempt ends receive it.
    Started,
    /// The attempt belongs to another incarnation of the backend server.
    Unknown,
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
