//! The service of sidecars. A sidecar alone decides whether an attempt starts.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{id, job},
    transport::rpc,
};

/// Calls of entries.
#[tarpc::service]
pub trait Service {
    /// Starts an attempt, at once or from a short queue, and holds the call until it ends.
    async fn run(task: Task) -> Reply;
    /// Cancels all attempts of an execution: queued ones never start, running ones are stopped.
    async fn cancel(execution: id::Execution) -> Cancelled;
    /// Makes attempts that have not started unstartable and tells which had started.
    async fn revoke(incarnation: id::Incarnation, attempts: Vec<id::Attempt>) -> Vec<Revoked>;
}

/// An attempt to be started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    pub attempt: id::Attempt,
    /// The life of the backend server that the entry chose; another one refuses.
    pub incarnation: id::Incarnation,
    pub account: id::Account,
    pub kind: String,
    /// JSON text.
    pub input: String,
    pub declared_ms: Option<u32>,
    pub needs: job::Needs,
    /// Time left until the deadline when the call was sent, in ms.
    pub left_ms: u32,
}

/// End of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Repeats the attempt of the call.
    pub attempt: id::Attempt,
    pub load: Load,
    pub result: RunResult,
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RunResult {
    Done {
        /// JSON text.
        answer: String,
        /// CRC-32 of `answer`, computed when the backend server's reply had been checked.
        crc: u32,
        /// Time at the backend server, in µs.
        ran_us: u64,
    },
    /// It started; there is no answer.
    Failed { reason: job::Failure, detail: String, ran_us: u64 },
    /// It did not start and never will.
    NotStarted { reason: NotStarted },
}

/// Why an attempt did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStarted {
    /// The call names another life of the backend server.
    WrongIncarnation,
    /// The sidecar's own lease is too old to know which epochs are fenced.
    NoLease,
    /// The entry's session has ended.
    Fenced,
    /// The backend server is leaving, or a rule drains it.
    Draining,
    /// The attempt was revoked or cancelled.
    Revoked,
    /// The deadline passed before the start.
    Expired,
    /// Slots and queue are full.
    Full,
    /// The task does not fit the worker.
    TooLarge,
    /// The backend server could not be connected to.
    Unreachable,
}

/// Load of a backend server, carried on each reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub slots: u16,
    pub busy: u16,
    pub queued: u16,
}

/// Result of `cancel`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Attempts taken out of the queue.
    pub queued: u16,
    /// Attempts stopped while running.
    pub running: u16,
}

/// What is known of a revoked attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Revoked {
    /// It never started and never will.
    NotStarted,
    /// It has started; its result went, or will go, with the lost call.
    Started,
    /// It belongs to another life of the backend server.
    Unknown,
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
