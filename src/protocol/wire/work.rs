//! RPC service of a sidecar, called by entries for transient jobs. Entries are the instances that
//! accept the callers' requests.

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{
        id,
        queue::{Attempt, Id, Resources},
        wire::queue::{Drains, Members, Reason, Server, Start},
    },
    transport::rpc,
};

/// Calls from entries. `cluster` is the one that the entry follows. A sidecar that follows another
/// one, or none yet, starts nothing for the entry, and appears to it as closed.
#[tarpc::service]
pub trait Service {
    /// Renews an entry's lease and returns the status of the sidecar.
    async fn renew(cluster: Option<id::Cluster>, renewal: Renewal) -> Status;
    /// Starts an attempt, and returns when the attempt has ended or will not start.
    async fn run(cluster: Option<id::Cluster>, command: StartCommand) -> Reply;
    /// Stops attempts that an entry commanded.
    async fn stop(entry: Entry, attempts: Vec<Attempt>);
    /// Ends an entry's lease and stops its attempts. Returns whether none of them is left.
    async fn release(entry: Entry) -> bool;
    /// Stops the attempts of a transient job, whichever entry commanded them. Returns whether there
    /// were any.
    async fn cancel(job: Id) -> bool;
}

/// Identifies one connection of an entry to a sidecar: a random number drawn when it opens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Entry(pub u64);

/// Version of a sidecar's description of its backend server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Position of the server's incarnation among those that the sidecar's process has known; 0 if
    /// it has known none.
    pub incarnation: u32,
    /// Number of changes of the description since the incarnation became known.
    pub change: u32,
}

/// Renews an entry's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    pub entry: Entry,
    /// Version of the description that the entry has.
    pub revision: Revision,
    /// Expiry of the lease on the sidecar's clock; 0 while that clock is not known.
    pub lease_until_ms: u64,
    /// The control instances that the entry knows. The sidecar may know only ones that are gone.
    pub members: Option<Members>,
    /// The newest ones that the entry knows. The sidecar may have no path to the leader.
    pub drains: Drains,
}

/// Status of a sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the sidecar, if the entry has no description of its backend server, as after the
    /// connection was opened. Another sidecar may have taken over the address.
    pub sidecar: Option<String>,
    /// Random number drawn when the sidecar's process started.
    pub incarnation: u64,
    /// Time on the sidecar's clock.
    pub clock_ms: u64,
    /// Whether it is known that no attempt runs at the backend server without an assignment at the
    /// sidecar, such as one that an earlier process of the sidecar started.
    pub clean: bool,
    pub load: Load,
    /// Description of the backend server, if the entry has another version of it.
    pub server: Option<Server>,
    /// The control instances that the sidecar knows. The entry may know only ones that are gone.
    pub members: Option<Members>,
}

/// Load of a backend server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Version of the description of the server.
    pub revision: Revision,
    /// Whether the sidecar accepts start commands at present.
    pub open: bool,
    /// Whether there is no server, or the present one counts as lost until it answers again.
    pub lost: bool,
    /// Resources of the attempts that run, or may be running, and those that are withheld.
    pub used: Resources,
    /// Resources of the attempts that wait for free capacity.
    pub queued: Resources,
    /// Whether the sidecar stops attempts that make no progress, and the server tells the progress of
    /// all that run.
    pub watches_progress: bool,
}

/// Instruction to a sidecar to start an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartCommand {
    pub entry: Entry,
    /// Incarnation of the backend server that the entry has chosen, as in [`Revision`]. Another one
    /// may have other labels or belong to another service, so the sidecar refuses the command then.
    pub incarnation: u32,
    /// As in [`Renewal`]. A command that arrives after the lease has expired is refused.
    pub lease_until_ms: u64,
    pub start: Start,
    /// Latest start at which the job would be on time, on the sidecar's clock. Of the attempts that
    /// wait for free capacity, the one with the lowest value starts first.
    pub due_ms: u64,
    /// How long the attempt may wait for free capacity.
    pub wait_ms: u64,
}

/// Answer to a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    pub outcome: Outcome,
    /// Time from the start to the end of the attempt.
    pub took_ms: u64,
    /// Time on the sidecar's clock.
    pub clock_ms: u64,
    pub load: Load,
}

/// How a start command ended. In all cases the attempt does not run any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Done,
    Failed,
    /// The attempt was stopped by command, because a lease expired, or because the backend server
    /// has left.
    Stopped,
    /// The job was cancelled by a call to the sidecar. Entries make that call for jobs of other
    /// entries.
    Canceled,
    /// The backend server has crashed, or may have.
    Lost(Loss),
    /// The attempt did not start.
    NotStarted(Reason),
}

/// What is known of a crash of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Whether the server had confirmed that the attempt runs. Otherwise it may never have started.
    pub began: bool,
    /// Whether another incarnation or server has answered since. Before, connections are refused, which
    /// a path that is cut does as well; [`Load::lost`] shows whether the server has answered again.
    pub confirmed: bool,
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
