//! The service of entries towards each other.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{id, wire},
    transport::rpc,
};

/// Calls of other entries.
#[tarpc::service]
pub trait Service {
    /// Waits until a job that this entry runs has ended; gives the whole outcome, answers inline.
    async fn wait(job: id::Job) -> Waited;
    /// Cancels a job that this entry runs.
    async fn cancel(job: id::Job) -> Waited;
}

/// Result of `wait` and `cancel`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Waited {
    Ended(wire::Outcome),
    /// Still running when the wait's time ran out.
    Running {
        done: u16,
        tasks: u16,
    },
    /// This entry does not hold the job (any more).
    Unknown,
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
