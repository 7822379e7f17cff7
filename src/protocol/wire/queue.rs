//! The service of the leading control instance towards entries and sidecars of durable jobs.

use std::{fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    protocol::queue::{Attempt, Config, Job, Outcome, Phase, Resources},
    transport::rpc,
};

/// Calls of entries, operators' endpoints and sidecars. Only the leader accepts them.
#[tarpc::service]
pub trait Service {
    /// Carries out a caller's or an operator's call.
    async fn call(call: Call) -> Result<Answer, Refusal>;
    /// Takes a sidecar's report. Returns at once if there are orders, otherwise after `wait_ms` or
    /// when the next report comes.
    async fn report(report: Report) -> Result<Commands, Refusal>;
}

/// Why an instance did not take a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Nothing was done. Another instance leads, if known at the given address.
    NotLeader { leader: Option<SocketAddr> },
    /// Nothing was done, and nothing will be.
    NotReady { detail: String },
    /// The call may or may not be carried out later.
    Unknown { detail: String },
}

/// A call about jobs or the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Submit {
        host: String,
        path: String,
        job: Job,
    },
    Query {
        host: String,
        path: String,
    },
    Cancel {
        host: String,
        path: String,
    },
    Configure(Arc<Config>),
    ReadConfig,
    /// Asks for what an entry needs to know, if it is newer than this; waits for that.
    Watch {
        config: u64,
        sidecars: u64,
        wait_ms: u64,
    },
}

/// Answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Stored, and in force.
    Accepted,
    State(Phase),
    /// Jobs of the queue of which no task has started.
    Pending(u64),
    Config(Arc<Config>),
    /// What is newer than an entry's view.
    View(View),
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// No configuration has been accepted yet.
    NoConfig,
    /// Not accepted: the backend servers cannot do it in time.
    Busy,
}

/// What an entry knows of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub config: Option<Arc<Config>>,
    /// Version of the list and the list.
    pub sidecars: Option<(u64, Vec<Sidecar>)>,
    /// Control instances.
    pub control_addrs: Vec<SocketAddr>,
}

/// A sidecar with a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sidecar {
    pub name: String,
    pub addr: SocketAddr,
    pub server: Server,
}

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    pub id: String,
    /// Start of this incarnation, ms since the Unix epoch by the server's clock.
    pub started_at_ms: u64,
}

/// A backend server as its sidecar knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub id: ServerId,
    pub service: String,
    pub data_centre: String,
    pub capacity: Resources,
    pub labels: Vec<String>,
    pub draining: bool,
}

/// What a sidecar knows of the backend server beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Backend {
    /// It has not announced itself since the sidecar started: what an earlier process of the sidecar
    /// ordered may still run.
    Unknown,
    /// Nothing runs there any more.
    Lost,
    Present(Server),
}

impl Backend {
    /// The backend server, if it is there.
    pub fn server(&self) -> Option<&Server> {
        match self {
            Backend::Present(server) => Some(server),
            Backend::Unknown | Backend::Lost => None,
        }
    }
}

/// What a sidecar tells the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the sidecar.
    pub sidecar: String,
    /// Where entries reach it.
    pub addr: SocketAddr,
    /// Random number of this start of the sidecar's process.
    pub incarnation: u64,
    pub backend: Backend,
    /// Newest generation of its registration with the leader that the sidecar received.
    pub generation: u64,
    /// All that runs there on the leader's orders, or may; until the leader has it.
    pub running: Option<Vec<Attempt>>,
    /// Ends that are not yet acknowledged.
    pub completions: Vec<Completion>,
    /// Runs that were ordered and did not start, and cannot start any more.
    pub not_started: Vec<NotStarted>,
    /// Batches of orders taken up to here.
    pub batch: u64,
    pub wait_ms: u64,
}

/// Numbered record that an attempt has ended at a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Position in the server's list of completions.
    pub number: u64,
    /// `None` if the backend server named no task.
    pub attempt: Option<Attempt>,
    pub outcome: Outcome,
}

/// An attempt that did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    pub attempt: Attempt,
    pub reason: Reason,
}

/// Why an attempt did not start.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server has too little free capacity.
    NoCapacity,
    /// The backend server is draining or refuses work.
    Unavailable,
    /// The command came too late, or is outdated.
    Expired,
    /// The backend server did not answer.
    NoAnswer,
}

/// Logs print these labels, which predate the names of the variants.
impl fmt::Debug for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NoCapacity => "Room",
            Reason::Unavailable => "Unavailable",
            Reason::Expired => "Late",
            Reason::NoAnswer => "NoAnswer",
        })
    }
}

/// The leader's instructions to a sidecar to start and stop attempts.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Commands {
    pub term: u64,
    /// Generation of the sidecar's registration with the leader. A higher one than the report's
    /// requests all that runs; the first one is the sidecar's fencing token.
    pub generation: u64,
    /// How long the lease lasts, from the sending of the report.
    pub lease_ms: u64,
    /// Ends up to here are stored or need not be.
    pub completions_stored: u64,
    pub batches: Vec<Batch>,
    /// Control instances.
    pub control_addrs: Vec<SocketAddr>,
}

/// Orders that are repeated until a report says that they were taken.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// 1 is the first under a generation.
    pub number: u64,
    pub starts: Vec<Start>,
    pub stops: Vec<Attempt>,
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    pub attempt: Attempt,
    pub needs: Resources,
    pub spec: Arc<str>,
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_at_ms)
    }
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
