//! The service of a sidecar towards entries that run jobs which need not be kept.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{
        queue::{Attempt, Id, Resources},
        wire::queue::{Reason, Start},
    },
    transport::rpc,
};

/// Calls of entries.
#[tarpc::service]
pub trait Service {
    /// Renews an entry's lease and returns the status of the sidecar.
    async fn renew(renewal: Renewal) -> Status;
    /// Runs a task; returns when the run has ended or will not start.
    async fn run(command: StartCommand) -> Reply;
    /// Stops runs of an entry.
    async fn stop(entry: Entry, attempts: Vec<Attempt>);
    /// Ends an entry's lease and stops its runs. Answers whether none is left.
    async fn release(entry: Entry) -> bool;
    /// Stops the runs of a job that need not be kept, whichever entry ordered them. Answers whether
    /// there were any.
    async fn cancel(job: Id) -> bool;
}

/// One start of an entry's process: a random number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Entry(pub u64);

/// Renews an entry's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    pub entry: Entry,
    /// End of the lease on the sidecar's clock; 0 if that is not known yet.
    pub lease_until_ms: u64,
}

/// Status of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Random number of this start of the sidecar's process.
    pub incarnation: u64,
    /// The sidecar's clock.
    pub clock_ms: u64,
    /// Whether nothing is left at the backend server of earlier incarnations.
    pub clean: bool,
    pub load: Load,
}

/// What the backend server is doing.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Whether tasks are started at present.
    pub open: bool,
    /// Resources of what runs, or may.
    pub used: Resources,
    /// Resources of what waits for room.
    pub queued: Resources,
}

/// Instruction to a sidecar to run a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartCommand {
    pub entry: Entry,
    /// As in [`Renewal`]; an order that arrives later is refused.
    pub lease_until_ms: u64,
    pub start: Start,
    /// Latest start at which its job would be on time, on the sidecar's clock. Of the tasks that
    /// wait for room the one with the lowest starts first.
    pub due_ms: u64,
    /// How long it may wait for room.
    pub wait_ms: u64,
}

/// Answer to a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    pub outcome: Outcome,
    /// From the start to the end of the run.
    pub took_ms: u64,
    pub clock_ms: u64,
    pub load: Load,
}

/// How a start command ended. In all cases nothing of it runs any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Done,
    Failed,
    /// Stopped on order, or because a lease ended.
    Stopped,
    /// The job was cancelled through another entry.
    Canceled,
    /// The backend server is gone.
    Lost,
    /// The run did not start.
    NotStarted(Reason),
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
