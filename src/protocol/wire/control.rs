//! The service that control instances offer. Only the leader accepts calls; other instances return
//! the address of the leader. Exceptions are `status`, which every instance answers, and `init`,
//! which only an instance without a cluster accepts.
//!
//! Entries and sidecars name the cluster that they follow, if they follow one yet, in each call. The
//! leader carries out only calls that name its own: epochs, log indexes, versions and leases of two
//! clusters are not comparable.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{id, job, wire},
    transport::rpc,
};

/// Calls from entries, sidecars and operators.
#[tarpc::service]
pub trait Service {
    /// Opens a session of an entry.
    async fn register(cluster: Option<id::Cluster>, hello: Hello) -> Result<Session, Refusal>;
    /// Renews an entry's session and returns what has changed for the entry.
    async fn sync_entry(
        cluster: Option<id::Cluster>,
        sync: EntrySync,
    ) -> Result<EntryView, Refusal>;
    /// Renews the lease during which a sidecar may start attempts, and the registration of its
    /// backend server if the report contains one. Returns what has changed for the sidecar.
    async fn sync_sidecar(
        cluster: Option<id::Cluster>,
        sync: SidecarSync,
    ) -> Result<SidecarView, Refusal>;
    /// Records a submission before any of its tasks starts. Idempotent for the same key and
    /// execution.
    async fn admit(cluster: Option<id::Cluster>, admit: Admit) -> Result<Admission, Refusal>;
    /// Records how a submission ended. Idempotent.
    async fn finish(cluster: Option<id::Cluster>, finish: Finish) -> Result<Finished, Refusal>;
    /// Returns the state of the submission with a key.
    async fn lookup(cluster: Option<id::Cluster>, key: id::Key) -> Result<Admission, Refusal>;
    /// Replaces the rules if `base` is the current version. Idempotent for the same change id.
    async fn change_rules(change: Change) -> Result<Changed, Refusal>;
    /// Returns the current rules.
    async fn rules() -> Result<Rules, Refusal>;
    /// Returns the last `limit` accepted changes of the rules, newest first.
    async fn history(limit: u32) -> Result<Vec<Accepted>, Refusal>;
    /// Returns the backend servers whose registration has not lapsed.
    async fn servers() -> Result<Vec<Server>, Refusal>;
    /// Returns the state of this instance.
    async fn status() -> Status;
    /// Forms a new cluster with this instance as its only voter. Refused if the instance already
    /// belongs to a cluster.
    async fn init() -> Result<(), Refusal>;
    /// Adds or removes a member of the group.
    async fn change_members(change: MemberChange) -> Result<(), Refusal>;
}

/// Why a control instance refused a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This instance is not the leader. `leader` is the address of the leader, if it is known.
    NotLeader { leader: Option<SocketAddr> },
    /// The call was not carried out and will not be: it names another cluster than `cluster`, to
    /// which the instance belongs, or none. In the latter case the instance leads.
    OtherCluster { cluster: id::Cluster },
    /// No cluster has been formed.
    NotInitialised,
    /// The instance is stopping.
    Stopping,
    /// The entry's session has ended. The entry must register again.
    Fenced,
    /// The instance could not store the record, or lost its leadership before the record was
    /// committed. It is not known whether the change was stored: it may be applied later, or never.
    Storage { detail: String },
    /// The call cannot be carried out.
    Invalid { detail: String },
}

/// Introduction of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Address of the entry's `wire::entry` service.
    pub addr: SocketAddr,
    pub data_centre: String,
    /// Random number drawn for each registration. If `register` is repeated with the same number, it
    /// returns the same session.
    pub start: u64,
}

/// An entry's session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub epoch: id::Epoch,
    pub lease_ms: u64,
}

/// Report of an entry, sent once a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntrySync {
    pub epoch: id::Epoch,
    /// Number of the call, which increases with each call of the session. Control refuses a call
    /// whose number is lower than one that it has received, and an entry ignores the reply to a
    /// call after it has sent a newer one.
    pub number: u64,
    pub rules_version: u64,
    /// Revision of the entry's list of backend servers; `None` if it has no list yet.
    pub servers: Option<Revision>,
    pub demands: Vec<Demand>,
}

/// Rate of task starts that a client account requested from this entry since the last report. It is
/// sent for each account that requested any, or of whose quota the entry has a share. An account
/// that is absent is assumed to have requested none, and the entry to have no share of its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub account: id::Account,
    /// Requested rate, whether it was granted or not, in starts per second.
    pub starts_per_s: f64,
    /// The entry's share of the quota when it sends this, in starts per second; 0 for none.
    pub held_per_s: f64,
}

/// Reply to an entry's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryView {
    /// Age of the read barrier that confirmed the rules version, in ms, when this reply was made.
    pub confirmed_age_ms: u64,
    /// Sent if the reported version is not current.
    pub rules: Option<Rules>,
    pub servers: Servers,
    /// The entry's share of the quota of each client account. It replaces all earlier shares. The
    /// entry does not limit an account that is absent.
    pub shares: Vec<Share>,
}

/// Revision of the list of backend servers. Revisions are comparable only within one leader's term.
///
/// A new leader starts with an empty list and adds each backend server when a sidecar first reports
/// it. A registration lapses if it is not renewed in time, so once the term has lasted that long, a
/// backend server that has not been reported counts as gone, and the list as complete. Number 0
/// denotes the incomplete list before; an entry adds that list to its own instead of replacing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    pub term: u64,
    pub number: u64,
}

/// Change of the list of backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Servers {
    pub revision: Revision,
    /// Whether `changed` is the whole list instead of a difference.
    pub full: bool,
    pub changed: Vec<Server>,
    pub removed: Vec<id::Incarnation>,
}

/// Share of a client account's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub account: id::Account,
    pub starts_per_s: f64,
}

/// A backend server with its sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub incarnation: id::Incarnation,
    /// Address of the sidecar's `wire::sidecar` service.
    pub addr: SocketAddr,
    pub data_centre: String,
    pub rack: String,
    pub slots: u16,
    pub connections: u16,
    /// Kinds of task that the backend server runs; empty means all kinds.
    pub kinds: Vec<String>,
    pub size: job::Needs,
    pub state: ServerState,
}

/// Whether a backend server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    Serving,
    Draining,
}

/// Report of a sidecar, sent once a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SidecarSync {
    /// `None` if no announcement of a backend server is valid, or if the backend server or the
    /// sidecar is leaving and no attempt runs any more.
    pub server: Option<Server>,
    pub rules_version: u64,
    /// `Sessions::as_of` of the sidecar's list of sessions; `None` if it has no list yet.
    pub sessions: Option<u64>,
}

/// Reply to a sidecar's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SidecarView {
    /// Duration of the sidecar's lease, in ms, from the time at which the sidecar sent the call.
    /// The sidecar must subtract `confirmed_age_ms`. It starts attempts only during its lease.
    pub lease_ms: u64,
    /// Age of the read barrier that confirmed this reply, in ms.
    pub confirmed_age_ms: u64,
    /// Sent if the reported version is not current.
    pub rules: Option<Rules>,
    /// Sent if the reported list of sessions is not current.
    pub sessions: Option<Sessions>,
}

/// The live sessions of entries. An epoch is the log index at which its session was registered, so
/// an epoch up to `as_of` that is not in the list is fenced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    /// Log index up to which the list is complete.
    pub as_of: u64,
    pub live: Vec<id::Epoch>,
}

/// A submission to record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admit {
    pub execution: id::Execution,
    pub key: id::Key,
    /// SHA-256 of the submission's content.
    pub digest: [u8; 32],
    pub created_at_ms: u64,
    pub tasks: u16,
}

/// State of a submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Admission {
    /// The submission is recorded for the requesting execution, whose tasks may start.
    Admitted { job: id::Job },
    /// Another execution runs the submission. `owner` is the address of its entry.
    Running { job: id::Job, owner: SocketAddr },
    /// The submission has ended. The entry at `owner` stores the answers if the outcome does not
    /// contain them.
    Finished { job: id::Job, owner: SocketAddr, outcome: wire::Outcome },
    /// The key was used for a submission with other content.
    Conflict,
    /// `created_at_ms` is outside the time range for which keys are kept.
    Expired,
    /// The key is not known. Only `lookup` returns this.
    Unknown,
}

/// The outcome of a submission to record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Finish {
    pub job: id::Job,
    pub epoch: id::Epoch,
    pub outcome: wire::Outcome,
}

/// Result of `finish`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Finished {
    Recorded,
    /// Another outcome was recorded before. The caller must be sent that one.
    Already {
        outcome: wire::Outcome,
    },
}

/// The rules that are in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// 0 before the first change.
    pub version: u64,
    /// The accepted rules file; see `protocol::rule`.
    pub text: String,
}

/// A change of the rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Random id drawn by the operator's client; a repeated call contains the same one.
    pub id: String,
    pub operator: String,
    /// Version of the rules on which the operator's change is based.
    pub base: u64,
    pub text: String,
}

/// Result of `change_rules`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Changed {
    Accepted {
        version: u64,
    },
    /// `base` is not the current version. `winner` is the operator who made that one.
    Conflict {
        version: u64,
        winner: String,
    },
    /// The text is not valid.
    Invalid {
        detail: String,
    },
}

/// An accepted change of the rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    pub version: u64,
    pub id: String,
    pub operator: String,
    /// Time of acceptance by the leader's clock, in ms since the Unix epoch.
    pub at_ms: u64,
    pub text: String,
}

/// State of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub node: id::Node,
    pub disk: id::Disk,
    pub role: Role,
    pub term: u64,
    pub leader: Option<SocketAddr>,
    pub commit: u64,
    pub applied: u64,
    #[serde(rename = "voters")]
    pub members: Vec<Member>,
    pub rules_version: u64,
}

/// Role of a control instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// The instance has not formed or joined a cluster yet.
    Blank,
    Learner,
    Follower,
    Candidate,
    Leader,
}

/// A member of the control group: an instance with its data directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub node: id::Node,
    pub disk: id::Disk,
    pub addr: SocketAddr,
    /// Whether its vote counts. Otherwise it is a learner, which only receives the log.
    pub votes: bool,
}

/// A change of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds the instance at `addr` as a learner, which becomes a voter when it has caught up.
    Add {
        addr: SocketAddr,
    },
    Remove {
        node: id::Node,
        disk: id::Disk,
    },
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
