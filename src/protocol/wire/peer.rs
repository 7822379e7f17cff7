//! The service that control instances offer to each other: the messages of the consensus protocol.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{protocol::id, transport::rpc};

/// Calls from other control instances. A lost call is not retried: the protocol itself repeats
/// messages.
#[tarpc::service]
pub trait Service {
    /// Delivers a consensus message. Replies are sent to the address `sender`.
    async fn step(sender: SocketAddr, message: Message);
    /// Introduces an instance, see [`Purpose`]. Returns what the receiver knows of a cluster; `None` if
    /// its replica has ended.
    async fn hello(hello: Hello) -> Option<Standing>;
    /// Delivers a chunk of a snapshot. Returns whether the sender shall continue.
    async fn snapshot_chunk(chunk: SnapshotChunk) -> bool;
}

/// Identity of a control instance with its data directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    pub node: id::Node,
    pub disk: id::Disk,
}

/// A control instance that belongs to the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: Id,
    /// Address of its peer service.
    pub peer: SocketAddr,
    /// Address of its control service.
    pub client: SocketAddr,
    /// Whether its vote counts. Otherwise it is a learner, which only receives the log.
    pub voter: bool,
}

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub payload: Payload,
}

impl Entry {
    /// Size of the command, in bytes; 0 for other entries.
    pub fn bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(bytes) => bytes.len(),
            Payload::Empty | Payload::Members(_) => 0,
        }
    }
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term.
    Empty,
    /// A serialised command of the state machine.
    Command(Bytes),
    /// Membership entry: the members from this index on.
    Members(Vec<Member>),
}

/// State besides the log that must be durable before an instance acts on it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Cluster that the instance belongs to; `None` before it joins one.
    pub cluster: Option<u64>,
    pub term: u64,
    /// Candidate that the instance voted for in `term`.
    pub vote: Option<Id>,
}

/// Last log position that a snapshot covers, and the members at that position.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    pub index: u64,
    pub term: u64,
    pub members: Vec<Member>,
}

/// A message of the consensus protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub cluster: u64,
    pub from: Id,
    pub to: Id,
    /// The sender's term. In `PreVote`, and in a reply that grants it, the term that the candidate
    /// would start.
    pub term: u64,
    pub body: Body,
}

/// Content of a message. Indexes and terms refer to the log of the sender.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a pre-vote: would the receiver grant its vote? No term is started.
    PreVote { last_index: u64, last_term: u64 },
    /// Reply to `PreVote`.
    PreVoted { granted: bool },
    /// Requests a vote. `transfer` is set if the leader requested the election.
    Vote { last_index: u64, last_term: u64, transfer: bool },
    /// Reply to `Vote`.
    Voted { granted: bool },
    /// Entries that follow `prev_index`; without entries it is a heartbeat. `seq` grows with each
    /// append and snapshot message of a leader.
    Append { seq: u64, prev_index: u64, prev_term: u64, entries: Vec<Entry>, commit_index: u64 },
    /// Reply to `Append` or `Snapshot`: up to `match_index` the log equals the leader's and is
    /// durable.
    Appended { seq: u64, match_index: u64 },
    /// Reply to `Append` or `Snapshot`: the log has no entry `prev_index` of that term, or the
    /// leader's term is over. The leader continues after its last entry up to `hint_index` whose
    /// term is at most `hint_term`. `last_index` is the end of the follower's log.
    Rejected { seq: u64, hint_index: u64, hint_term: u64, last_index: u64 },
    /// Snapshot for a follower whose log ends before the leader's begins.
    Snapshot { seq: u64, meta: SnapshotMeta, data: Bytes },
    /// The leader transfers leadership: the receiver shall start an election at once.
    Campaign,
    /// The receiver's data directory lacks entries that it acknowledged, for example because an
    /// older copy was restored. It must not be used under its disk id any more, but get a new one.
    RenewDiskId,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Body::PreVote { last_index, last_term } => {
                write!(f, "PreVote({last_index}@{last_term})")
            }
            Body::PreVoted { granted } => write!(f, "PreVoted({granted})"),
            Body::Vote { last_index, last_term, transfer } => {
                write!(f, "Vote({last_index}@{last_term} transfer={transfer})")
            }
            Body::Voted { granted } => write!(f, "Voted({granted})"),
            Body::Append { seq, prev_index, prev_term, entries, commit_index } => write!(
                f,
                "Append(seq={seq} prev={prev_index}@{prev_term} entries={} commit={commit_index})",
                entries.len()
            ),
            Body::Appended { seq, match_index } => {
                write!(f, "Appended(seq={seq} matched={match_index})")
            }
            Body::Rejected { seq, hint_index, hint_term, last_index } => {
                write!(f, "Rejected(seq={seq} hint={hint_index}@{hint_term} last={last_index})")
            }
            Body::Snapshot { seq, meta, .. } => {
                write!(f, "Snapshot(seq={seq} {}@{})", meta.index, meta.term)
            }
            Body::Campaign => f.write_str("Campaign"),
            Body::RenewDiskId => f.write_str("Discard"),
        }
    }
}

/// Why an instance introduces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// It has no leader, or is not listed as a member with its current addresses.
    Join,
    /// It only asks what the receiver knows, as that one may belong to another system.
    Ask,
    /// It stops, so that a learner should vote in its place.
    Leave,
    /// It leads, and looks for this former member, which may have been removed while it was cut off.
    Find(Id),
}

/// Introduction of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Cluster of the instance or, before it belongs to one, of its seeds; `None` if neither is known.
    pub cluster: Option<u64>,
    pub id: Id,
    pub peer: SocketAddr,
    pub client: SocketAddr,
    pub purpose: Purpose,
}

/// What an instance knows of the cluster that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    pub id: Id,
    /// Cluster of the instance; `None` before it joins one.
    pub cluster: Option<u64>,
    /// Whether the instance belonged to no cluster at its start, and its data directory has been in use
    /// since the first start of the system.
    pub first_start: bool,
    /// Voters by its latest membership entry, committed or not.
    pub voters: Vec<Id>,
    /// Number of voters by the latest membership entry that it knows to be committed.
    pub committed_voters: u64,
    /// Peer addresses of the members by its latest membership entry or, without one, those of which
    /// it was told. The sender of an introduction asks these too.
    pub members: Vec<SocketAddr>,
    /// Whether it leads.
    pub leads: bool,
    /// Whether it leads, or a leader sent a message within the shortest election timeout.
    pub has_leader: bool,
}

/// Chunk of the data of a `Body::Snapshot`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Address for replies.
    pub sender: SocketAddr,
    /// The snapshot message without its data.
    pub head: Message,
    pub offset: u64,
    pub total: u64,
    pub data: Bytes,
}

impl rpc::Client for ServiceClient {
    type Request = ServiceRequest;
    type Response = ServiceResponse;

    fn new(transport: rpc::Transport<Self::Request, Self::Response>) -> Self {
        ServiceClient::new(rpc::client_config(), transport).spawn()
    }
}
