//! RPC service of the leading control instance, called by entries and sidecars for durable jobs.
//! Entries are the instances that accept the callers' requests.

use std::{fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{
        id,
        queue::{Attempt, Config, Job, Outcome, Phase, Resources},
    },
    transport::rpc,
};

/// Calls from entries, operators' endpoints and sidecars. Only the leader accepts them, and only
/// those that name its own cluster: an answer therefore always comes from the cluster that the caller
/// follows.
#[tarpc::service]
pub trait Service {
    /// Carries out a call that a caller or an operator made. `cluster` is the one that the client
    /// follows, if it follows one yet.
    async fn call(cluster: Option<id::Cluster>, call: Call) -> Result<Answer, Refusal>;
    /// Handles a sidecar's report. Returns at once if there are commands for the sidecar, otherwise
    /// after `wait_ms` or when its next report arrives. `cluster` is as in `call`.
    async fn report(cluster: Option<id::Cluster>, report: Report) -> Result<Commands, Refusal>;
}

/// Why an instance did not return an answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The call was not carried out: another instance leads, at the given address if that is known.
    /// `members` is as in [`View`].
    NotLeader { leader: Option<SocketAddr>, members: Option<Members> },
    /// The call was not carried out and will not be: it names another cluster than `cluster`, to
    /// which the instance belongs, or none. In the latter case the instance leads.
    OtherCluster { cluster: id::Cluster },
    /// The call was not carried out and will not be, as the control group is still being formed, or
    /// as the instance could not confirm that its state is current.
    NotReady { detail: String },
    /// The instance tried to carry out the call and does not know the result: the call may have
    /// been carried out, may be carried out later, or may never be.
    Unknown { detail: String },
}

/// A call about jobs or the configuration. `path` is the prefix of a queue followed by the id of a
/// job; that of a query may be the prefix alone, which stands for the queue.
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
    /// Returns an entry's view of the system once it differs from the given versions of the
    /// configuration, the list of sidecars and the drains, or after `wait_ms`.
    Watch {
        config: u64,
        sidecars: u64,
        wait_ms: u64,
        /// Version of the known [`Drains`], of which newer ones are returned.
        drains: u64,
    },
    /// Begins or ends the drain of a data centre. An order that was carried out before changes
    /// nothing.
    Drain {
        data_centre: String,
        drained: bool,
    },
}

/// Answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The change is committed and applied.
    Accepted,
    /// Answer to a query of a job.
    State(Phase),
    /// Answer to a query of a queue: the number of its jobs of which no task has started.
    Pending(u64),
    Config(Arc<Config>),
    /// Those parts of an entry's view that have changed.
    View(View),
    /// No queue matches the host and path.
    NoQueue,
    /// The job is not known.
    NoJob,
    /// No configuration has been accepted yet.
    NoConfig,
    /// The job was refused, as the backend servers cannot complete it in time.
    Busy,
    /// There is no data centre of this name.
    NoDataCentre,
    /// The job was not accepted, as the control instances have no memory left for it.
    Full,
}

/// An entry's view of the system; `None` for a part that has not changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub config: Option<Arc<Config>>,
    /// Version of the list of sidecars, and the list.
    pub sidecars: Option<(u64, Vec<Sidecar>)>,
    /// The control instances that the answering one knows.
    pub members: Option<Members>,
    pub drains: Option<Drains>,
}

/// The drained data centres: nothing starts on their backend servers, and what runs there runs on.
/// Processes pass the newest version that they know on.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    /// Version of the rules that say so; 0 if none is known. Of two versions of a cluster, the higher
    /// one is newer.
    pub version: u64,
    /// Names in ascending order.
    pub data_centres: Vec<String>,
}

impl Drains {
    pub fn includes(&self, data_centre: &str) -> bool {
        self.data_centres.iter().any(|drained| drained == data_centre)
    }
}

/// The control instances of a cluster. Processes pass the newest list that they know on, so that one
/// that knows only instances that are gone learns of the present ones from any other process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    pub cluster: id::Cluster,
    /// Index of the committed log entry that the list is from. Of two lists of a cluster, the one with
    /// the higher index is newer.
    pub index: u64,
    /// Where they serve calls.
    pub addrs: Vec<SocketAddr>,
}

/// A sidecar and its backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sidecar {
    pub name: String,
    /// Where entries reach the sidecar.
    pub addr: SocketAddr,
    pub server: Server,
}

/// Identifies one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    pub id: String,
    /// Start of this incarnation in ms since the Unix epoch, by the server's clock.
    pub started_at_ms: u64,
}

/// Description of a backend server, as it announced itself to its sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub id: ServerId,
    pub service: String,
    pub data_centre: String,
    pub capacity: Resources,
    pub labels: Vec<String>,
    pub draining: bool,
}

/// Most labels of a backend server. Servers announce two: their kind and their rack.
pub const LABELS_MAX: usize = 1_024;
/// Most bytes of all texts of a description. Sidecars keep several, and it is sent to every entry.
const TEXTS_MAX_BYTES: usize = 64 * 1024;

impl Server {
    /// Checks the size of the description.
    pub fn check(&self) -> Result<(), String> {
        if self.labels.len() > LABELS_MAX {
            return Err(format!("a server has at most {LABELS_MAX} labels"));
        }
        let names = [&self.id.id, &self.service, &self.data_centre];
        let bytes: usize = names.into_iter().chain(&self.labels).map(String::len).sum();
        if bytes > TEXTS_MAX_BYTES {
            return Err(format!("the texts of a server have at most {TEXTS_MAX_BYTES} bytes"));
        }
        Ok(())
    }
}

/// State of the backend server beside a sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Backend {
    /// It has not announced itself since the sidecar started. Attempts that an earlier incarnation
    /// of the sidecar started may still run.
    Unknown,
    /// It is gone, and nothing runs there any more.
    Lost,
    Present(Server),
}

impl Backend {
    /// Returns the backend server, if it is present.
    pub fn server(&self) -> Option<&Server> {
        match self {
            Backend::Present(server) => Some(server),
            Backend::Unknown | Backend::Lost => None,
        }
    }
}

/// A sidecar's report to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the sidecar.
    pub sidecar: String,
    /// Where entries reach it.
    pub addr: SocketAddr,
    /// Random number drawn when the sidecar's process started.
    pub incarnation: u64,
    /// Position among the reports of the sidecar's process. A delayed one may arrive after newer ones.
    pub number: u64,
    pub backend: Backend,
    /// How often the sidecar's process has dropped the attempts at a backend server that it took for
    /// lost or that has left. The server may have been present again before a report could say so.
    pub losses: u64,
    /// Newest generation of its registration with the leader that the sidecar received.
    pub generation: u64,
    /// All attempts that the leader commanded and that run, or may be running. `None` once the
    /// leader has received them under this generation, while no backend server is present, and
    /// while attempts that are not assigned at the sidecar may still run, such as those that an
    /// earlier process of the sidecar started, or may have ended with completions that it has not
    /// received yet.
    pub running: Option<Vec<Attempt>>,
    /// Attempts that the leader commanded and that may run or start at the backend server although it
    /// was lost or has started again: a call that it has not answered may be carried out late.
    pub undecided: Vec<Attempt>,
    /// Completions that the leader has not yet acknowledged. Empty while attempts that are not
    /// assigned at the sidecar may still run.
    pub completions: Vec<Completion>,
    /// Commanded attempts that did not start and cannot start any more.
    pub not_started: Vec<NotStarted>,
    /// Crashes of the backend server that the leader has not yet acknowledged. They concern servers
    /// of any registration.
    pub crashes: Vec<Crash>,
    /// Number up to which all batches of commands have been handled.
    pub batch: u64,
    /// How long the leader may delay its answer.
    pub wait_ms: u64,
    /// Version of the [`Drains`] that the sidecar knows. The leader answers at once if it has newer ones.
    pub drains: u64,
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

/// A crash of a backend server under attempts that the leader commanded, or what may be one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Numbers the crashes that one process of the sidecar reports.
    pub number: u64,
    pub server: ServerId,
    /// The leader's attempts that ran at the server, as it had confirmed.
    pub attempts: Vec<Attempt>,
    /// The leader's attempts that it had been called to start and had not confirmed. They may never
    /// have started.
    pub sent: Vec<Attempt>,
    /// Number of entries' attempts that had been sent to the server and had not ended.
    pub others: u32,
    /// Whether another incarnation or server has answered since. Before, connections are refused, which a
    /// path that is cut does as well; if the server answers again, the crash is not reported any more.
    pub confirmed: bool,
}

impl Crash {
    /// All attempts of the leader under which the server may have crashed.
    pub fn all_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().chain(&self.sent)
    }

    /// Whether nothing but one attempt had been sent to the server.
    pub fn is_alone(&self) -> bool {
        self.all_attempts().count() == 1 && self.others == 0
    }
}

/// Why an attempt did not start.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server has too little free capacity.
    NoCapacity,
    /// The backend server is draining or refuses work.
    Unavailable,
    /// The command came too late or is outdated, the attempt was stopped while it waited for free
    /// capacity, or the sidecar has the same attempt already.
    Expired,
    /// The backend server did not answer.
    NoAnswer,
    /// The command was for an earlier incarnation of the backend server.
    Replaced,
}

/// Returns the labels in log lines. They are kept stable for searches in logs, and some differ from
/// the names of the variants.
impl fmt::Debug for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NoCapacity => "Room",
            Reason::Unavailable => "Unavailable",
            Reason::Expired => "Late",
            Reason::NoAnswer => "NoAnswer",
            Reason::Replaced => "Replaced",
        })
    }
}

/// The leader's instructions to a sidecar to start and stop attempts.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Commands {
    pub term: u64,
    /// Generation of the sidecar's registration with the leader. If it is higher than the report's,
    /// the sidecar must list all running attempts. The first generation that a process of the
    /// sidecar receives is its fencing token.
    pub generation: u64,
    /// Length of the leader's lease with the sidecar, counted from when the report was sent. The
    /// sidecar stops the leader's attempts when the lease expires.
    pub lease_ms: u64,
    /// Completions with numbers up to this one are stored, or need not be. The sidecar may drop
    /// those that its report listed.
    pub completions_stored: u64,
    /// Numbers of the report's completions that do not count, as their attempts were fenced. Their
    /// tasks may have started again, so the lease of the backend server has to expire before they
    /// are acknowledged to it.
    pub completions_fenced: Vec<u64>,
    /// Numbers of the report's crashes that are stored, or need not be. The sidecar may drop them.
    pub crashes_stored: Vec<u64>,
    pub batches: Vec<Batch>,
    /// As in [`View`].
    pub members: Option<Members>,
    /// The leader's newest ones.
    pub drains: Drains,
}

/// Numbered group of commands, which is sent again until a report says that it was handled.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Batches are numbered from 1 under each generation.
    pub number: u64,
    pub starts: Vec<Start>,
    pub stops: Vec<Attempt>,
}

/// An attempt that is to be started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    pub attempt: Attempt,
    pub needs: Resources,
    /// Declared run time.
    pub estimate_ms: u32,
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
