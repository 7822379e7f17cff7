//! The service of control instances. Only the leader accepts calls; others name the leader.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    protocol::{id, job, wire},
    transport::rpc,
};

/// Calls of entries, sidecars and operators.
#[tarpc::service]
pub trait Service {
    /// Opens a session of an entry.
    async fn register(hello: Hello) -> Result<Session, Refusal>;
    /// Renews an entry's session and brings it up to date.
    async fn sync_entry(sync: EntrySync) -> Result<EntryView, Refusal>;
    /// Announces a backend server, renews its lease and brings its sidecar up to date.
    async fn sync_sidecar(sync: SidecarSync) -> Result<SidecarView, Refusal>;
    /// Records a submission before any of its tasks starts. Idempotent by key and execution.
    async fn admit(admit: Admit) -> Result<Admission, Refusal>;
    /// Records how a submission ended. Idempotent.
    async fn finish(finish: Finish) -> Result<Finished, Refusal>;
    /// Tells what is known of a key.
    async fn lookup(key: id::Key) -> Result<Admission, Refusal>;
    /// Replaces the rules if `base` is the current version. Idempotent by change id.
    async fn change_rules(change: Change) -> Result<Changed, Refusal>;
    /// The current rules.
    async fn rules() -> Result<Rules, Refusal>;
    /// The newest `limit` accepted changes, newest first.
    async fn history(limit: u32) -> Result<Vec<Accepted>, Refusal>;
    /// The backend servers that hold a lease.
    async fn servers() -> Result<Vec<Server>, Refusal>;
    /// State of this instance; never refused.
    async fn status() -> Status;
    /// Forms a new cluster with this instance as its only voter. Refused if its folder is in use.
    async fn init() -> Result<(), Refusal>;
    /// Adds or removes a member of the group.
    async fn change_members(change: MemberChange) -> Result<(), Refusal>;
}

/// Why a control instance did not take a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another instance leads, if known at the given address.
    NotLeader { leader: Option<SocketAddr> },
    /// No cluster has been formed.
    NotInitialised,
    /// The instance is stopping.
    Stopping,
    /// The entry's session has ended; it must register anew.
    Fenced,
    /// The record could not be stored; it may or may not be applied later.
    Storage { detail: String },
    /// The call cannot be carried out.
    Invalid { detail: String },
}

/// An entry introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Where its `wire::entry` service listens.
    pub addr: SocketAddr,
    pub data_centre: String,
    /// Random number of this process start; a repeated `register` with it gets the same session.
    pub start: u64,
}

/// An entry's session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub epoch: id::Epoch,
    pub lease_ms: u64,
}

/// What an entry reports once a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntrySync {
    pub epoch: id::Epoch,
    /// Increases with each call of the session. A call with a lower number is refused as
    /// superseded, and an entry drops the answer of a call once it has sent a newer one.
    pub number: u64,
    pub rules_version: u64,
    /// Revision of the server list it holds, `None` for none.
    pub servers: Option<Revision>,
    pub demands: Vec<Demand>,
}

/// Task starts a team asked of this entry since the last report. Sent for each team that asked or
/// of whose quota the entry holds a share; a team that is absent counts as neither.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub account: id::Account,
    /// Asked, whether granted or not, in starts per second.
    pub starts_per_s: f64,
    /// Share that the entry holds when it sends this, in starts per second, 0 for none.
    pub held_per_s: f64,
}

/// What an entry learns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryView {
    /// Age of the read barrier that confirmed the rules version when this answer was made, in ms.
    pub confirmed_age_ms: u64,
    /// Sent if the reported version is not current.
    pub rules: Option<Rules>,
    pub servers: Servers,
    /// This entry's part of each team's quota, replacing all earlier ones; teams that are absent
    /// have no quota.
    pub shares: Vec<Share>,
}

/// Revision of the server list: only comparable within one leader's term. Number 0 stands for the
/// incomplete list of the first lease of a term, which adds to what an entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    pub term: u64,
    pub number: u64,
}

/// Change of the server list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Servers {
    pub revision: Revision,
    /// Whether `changed` is the whole list.
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
    /// Where its sidecar's `wire::sidecar` service listens.
    pub addr: SocketAddr,
    pub data_centre: String,
    pub rack: String,
    pub slots: u16,
    pub connections: u16,
    /// Kinds of task it runs; empty for all.
    pub kinds: Vec<String>,
    pub size: job::Needs,
    pub state: ServerState,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    Serving,
    Draining,
}

/// What a sidecar reports once a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SidecarSync {
    /// `None` while no backend server is announced, or after it has left.
    pub server: Option<Server>,
    pub rules_version: u64,
    /// `Sessions::as_of` of the list it holds.
    pub sessions: Option<u64>,
}

/// What a sidecar learns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SidecarView {
    /// Length of the sidecar's lease, counted from when it sent the call, less `confirmed_age_ms`.
    pub lease_ms: u64,
    /// Age of the read barrier behind this answer, in ms.
    pub confirmed_age_ms: u64,
    /// Sent if the reported version is not current.
    pub rules: Option<Rules>,
    /// Sent if the reported list is not current.
    pub sessions: Option<Sessions>,
}

/// Which entry sessions are live. An epoch up to `as_of` that is not listed is fenced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    /// Log index up to which the list is complete.
    pub as_of: u64,
    pub live: Vec<id::Epoch>,
}

/// A submission to be recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admit {
    pub execution: id::Execution,
    pub key: id::Key,
    /// SHA-256 of the submission's content.
    pub digest: [u8; 32],
    pub created_at_ms: u64,
    pub tasks: u16,
}

/// What is known of a submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Admission {
    /// Recorded for the requesting execution: its tasks may start.
    Admitted { job: id::Job },
    /// Another execution has it.
    Running { job: id::Job, owner: SocketAddr },
    /// It has ended; `owner` holds the answer if the outcome says so.
    Finished { job: id::Job, owner: SocketAddr, outcome: wire::Outcome },
    /// The key was used with other content.
    Conflict,
    /// `created_at_ms` is out of the range for which keys are kept.
    Expired,
    /// Only from `lookup`: the key is not known.
    Unknown,
}

/// A submission's end to be recorded.
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
    /// Another outcome stands; the caller must get that one.
    Already {
        outcome: wire::Outcome,
    },
}

/// Rules in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// 0 before the first change.
    pub version: u64,
    /// The rules file as accepted, see `protocol::rule`.
    pub text: String,
}

/// A change of the rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Drawn by the operator's client; a resend repeats it.
    pub id: String,
    pub operator: String,
    /// Version that the operator has read.
    pub base: u64,
    pub text: String,
}

/// Result of `change_rules`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Changed {
    Accepted {
        version: u64,
    },
    /// `base` is not current: `winner` made the current version.
    Conflict {
        version: u64,
        winner: String,
    },
    /// The text is not valid.
    Invalid {
        detail: String,
    },
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    pub version: u64,
    pub id: String,
    pub operator: String,
    /// Leader's clock at acceptance, ms since the Unix epoch.
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
    /// No cluster formed or joined yet.
    Blank,
    Learner,
    Follower,
    Candidate,
    Leader,
}

/// A member of the control group: an instance together with its data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub node: id::Node,
    pub disk: id::Disk,
    pub addr: SocketAddr,
    /// Whether its vote counts; a learner only receives the log.
    pub votes: bool,
}

/// A change of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Replicates to the instance at `addr` and lets it vote once it has caught up.
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
