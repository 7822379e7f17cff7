//! The service of control instances towards each other: the messages of the agreement protocol.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{protocol::id, transport::rpc};

/// Calls of other control instances. Lost calls are repeated by the protocol itself.
#[tarpc::service]
pub trait Service {
    /// Takes a message of the agreement protocol; answers go to `sender`.
    async fn step(sender: SocketAddr, message: Message);
    /// Learns of an instance that knows no leader.
    async fn hello(hello: Hello);
    /// Takes a part of a snapshot; answers whether to go on.
    async fn chunk(chunk: Chunk) -> bool;
}

/// A control instance together with its data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    pub node: id::Node,
    pub disk: id::Disk,
}

/// A member of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: Id,
    /// Where its peer service listens.
    pub peer: SocketAddr,
    /// Where its control service listens.
    pub client: SocketAddr,
    /// Whether its vote counts; a learner only receives the log.
    pub votes: bool,
}

/// A position in the log with the content that makes up the agreement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub payload: Payload,
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a term.
    Empty,
    /// A serialised command of the state machine.
    Command(Bytes),
    /// The members from this entry on.
    Members(Vec<Member>),
}

/// What an instance must not forget besides its entries.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The cluster that the instance belongs to, `None` before it joins one.
    pub cluster: Option<u64>,
    pub term: u64,
    /// Whom it voted for in `term`.
    pub vote: Option<Id>,
}

/// What a snapshot stands for.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    pub index: u64,
    pub term: u64,
    pub members: Vec<Member>,
}

/// A message of the agreement protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub cluster: u64,
    pub from: Id,
    pub to: Id,
    /// The sender's term; for `PreVote` the term that it would start.
    pub term: u64,
    pub body: Body,
}

/// What a message says.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted, without starting a term.
    PreVote {
        last: u64,
        last_term: u64,
    },
    PreVoted {
        granted: bool,
    },
    /// Asks for a vote; `transfer` if the leader asked for the election.
    Vote {
        last: u64,
        last_term: u64,
        transfer: bool,
    },
    Voted {
        granted: bool,
    },
    /// Entries that follow `prev`; empty as a heartbeat. `seq` grows with each message of a leader.
    Append {
        seq: u64,
        prev: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
    },
    /// The log agrees with the leader's up to `matched` and is synced up to there.
    Appended {
        seq: u64,
        matched: u64,
    },
    /// The log does not hold `prev`, or the leader's term is over. The leader goes on from the
    /// last entry up to `hint` whose term is at most `hint_term`. `last` is the end of the log.
    Rejected {
        seq: u64,
        hint: u64,
        hint_term: u64,
        last: u64,
    },
    /// State up to `meta`, for a log that ends before the leader's begins.
    Snapshot {
        seq: u64,
        meta: Meta,
        data: Bytes,
    },
    /// Start an election now: the leader is stopping.
    Campaign,
    /// The folder is an older copy of itself; its content must not be used.
    Discard,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Body::PreVote { last, last_term } => write!(f, "PreVote({last}@{last_term})"),
            Body::PreVoted { granted } => write!(f, "PreVoted({granted})"),
            Body::Vote { last, last_term, transfer } => {
                write!(f, "Vote({last}@{last_term} transfer={transfer})")
            }
            Body::Voted { granted } => write!(f, "Voted({granted})"),
            Body::Append { seq, prev, prev_term, entries, commit } => write!(
                f,
                "Append(seq={seq} prev={prev}@{prev_term} entries={} commit={commit})",
                entries.len()
            ),
            Body::Appended { seq, matched } => write!(f, "Appended(seq={seq} matched={matched})"),
            Body::Rejected { seq, hint, hint_term, last } => {
                write!(f, "Rejected(seq={seq} hint={hint}@{hint_term} last={last})")
            }
            Body::Snapshot { seq, meta, .. } => {
                write!(f, "Snapshot(seq={seq} {}@{})", meta.index, meta.term)
            }
            Body::Campaign => f.write_str("Campaign"),
            Body::Discard => f.write_str("Discard"),
        }
    }
}

/// An instance that knows no leader introduces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// `None` before it has joined one.
    pub cluster: Option<u64>,
    pub id: Id,
    pub peer: SocketAddr,
    pub client: SocketAddr,
}

/// Part of a `Body::Snapshot`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Where answers go.
    pub sender: SocketAddr,
    /// The snapshot's message with empty data.
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
