//! The platform that runs tasks on workers, as the sidecar sees it.

use std::{future::Future, net::SocketAddr, time::Duration};

use crate::protocol::{id, job};

/// A task to be run on the worker.
#[derive(Debug, Clone)]
pub struct Order {
    pub attempt: id::Attempt,
    /// Where its backend server listens.
    pub addr: SocketAddr,
    pub account: id::Account,
    pub kind: String,
    /// JSON text.
    pub input: String,
    /// Declared size.
    pub needs: job::Needs,
}

/// How a task ended on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// There is a checked answer, a JSON text.
    Answered(String),
    /// Nothing of it reached the backend server.
    Unreachable(String),
    /// It was sent, and the backend server refused or failed it.
    Failed(String),
    /// It was sent, and its answer is missing or not usable.
    Unknown(String),
    /// It was stopped on request.
    Stopped,
    /// Its worker lease ran out.
    LeaseExpired,
}

/// What a task uses, as last reported; reports lag behind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    pub used: job::Needs,
}

/// The platform.
pub trait Platform: 'static {
    /// The worker lease under which one task runs.
    type Lease: 'static;

    /// Takes a lease of `length` for a task.
    fn start(&self, order: &Order, length: Duration) -> Self::Lease;

    /// Runs the task to its end. The task ends with its lease.
    fn run(&self, lease: &Self::Lease, order: Order) -> impl Future<Output = End>;

    /// Lengthens the lease to `length` from now.
    fn renew(&self, lease: &Self::Lease, length: Duration);

    /// The last report, if any has arrived yet.
    fn usage(&self, lease: &Self::Lease) -> Option<Usage>;

    /// Asks the task to save its state.
    fn checkpoint(&self, lease: &Self::Lease);

    /// Slows the task down.
    fn throttle(&self, lease: &Self::Lease);

    /// Ends the task.
    fn stop(&self, lease: &Self::Lease);
}
