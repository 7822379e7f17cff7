//! The service that entries offer to each other.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{id, wire},
    transport::rpc,
};

/// Calls from other entries.
#[tarpc::service]
pub trait Service {
    /// Waits until a job that this entry runs has ended, and returns the outcome with all answers
    /// inline.
    async fn wait(job: id::Job) -> Waited;
    /// Cancels a job that this entry runs.
    async fn cancel(job: id::Job) -> Waited;
}

/// Result of `wait` and `cancel`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Waited {
    Ended(wire::Outcome),
    /// The job still ran when the time to wait was over.
    Running {
        done: u16,
        tasks: u16,
    },
    /// This entry does not know the job, or no longer stores it.
    Unknown,
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
