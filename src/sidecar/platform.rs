//! Interface of the platform that runs tasks on workers.

use std::{future::Future, net::SocketAddr, time::Duration};

use crate::protocol::{id, job};

/// A task to run on the worker.
#[derive(Debug, Clone)]
pub struct TaskSpec {
    pub attempt: id::Attempt,
    /// Address of the backend server.
    pub addr: SocketAddr,
    pub account: id::Account,
    pub kind: String,
    /// The task's input, a JSON text.
    pub input: String,
    /// Resources that the task declares.
    pub needs: job::Needs,
}

/// How a task ended on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The task has an answer, which was checked: a JSON text.
    Answered(String),
    /// No part of the task was sent to the backend server.
    Unreachable(String),
    /// The task was sent, and the backend server refused it or failed to run it.
    Failed(String),
    /// The task was sent, but its answer is missing or invalid.
    Unknown(String),
    /// The task was stopped on request.
    Stopped,
    /// The task's worker lease expired.
    LeaseExpired,
}

/// Resources that a task used at the time of the platform's last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    pub used: job::Needs,
}

/// A platform that runs tasks on workers.
pub trait Platform: 'static {
    /// Worker lease of one task.
    type Lease: 'static;

    /// Opens a lease with the duration `length` for a task. Only `run` starts the task.
    fn open_lease(&self, task: &TaskSpec, length: Duration) -> Self::Lease;

    /// Runs the task until it ends or its lease expires.
    fn run(&self, lease: &Self::Lease, task: TaskSpec) -> impl Future<Output = Outcome>;

    /// Extends the lease so that it expires `length` from now.
    fn renew(&self, lease: &Self::Lease, length: Duration);

    /// The last usage report; `None` before the first one has arrived.
    fn usage(&self, lease: &Self::Lease) -> Option<Usage>;

    /// Requests the task to save its state.
    fn checkpoint(&self, lease: &Self::Lease);

    /// Slows the task down.
    fn throttle(&self, lease: &Self::Lease);

    /// Stops the task.
    fn stop(&self, lease: &Self::Lease);
}
