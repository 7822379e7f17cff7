//! The replicated state machine as the control service sees it: log and agreement behind one type.

mod core;
mod drive;
mod peers;
mod storage;

use std::{
    cell::{Cell, Ref, RefCell},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::oneshot, time};

use crate::{
    coordination::consensus::{self, Change, Timing},
    error::Result,
    protocol::{
        id,
        wire::{
            control::{self, Refusal, VoterChange},
            peer::{Hello, Id, Member},
        },
    },
    state::{
        log::files::{Directory, Files},
        machine,
    },
};
use drive::{Drive, Taken};

/// Longest wait for a change of the voters to be taken up.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// How often a waiting call looks again.
const POLL: Duration = Duration::from_millis(20);

/// How a replica is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    pub node: id::Node,
    /// Where to listen for peers; the port may be 0.
    pub peer_addr: SocketAddr,
    /// Where this instance's control service listens, as clients see it.
    pub client_addr: SocketAddr,
    /// Peer addresses of other instances, to introduce itself when it knows no leader.
    pub peers: Vec<SocketAddr>,
    pub folder: PathBuf,
    pub timing: Timing,
    /// Log bytes after which a snapshot is made.
    pub snapshot_bytes: u64,
}

impl Settings {
    pub fn new(node: id::Node, peer_addr: SocketAddr, folder: PathBuf) -> Settings {
        Settings {
            node,
            peer_addr,
            client_addr: peer_addr,
            peers: Vec::new(),
            folder,
            timing: Timing::default(),
            snapshot_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Members as the leader sees them.
#[derive(Debug, Default, Clone)]
pub struct Standing {
    /// Members, learners included.
    pub members: usize,
    pub voters: usize,
    /// Members that do not answer.
    pub silent: Vec<Id>,
    /// Instances that have introduced themselves and are no members.
    pub applicants: Vec<Hello>,
}

/// A replica of the state machine. Cheap to clone; all clones are the same replica.
#[derive(Clone, Default)]
pub struct Replica {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Shared with a thread while that makes a snapshot; meanwhile nothing is applied.
    state: RefCell<Arc<machine::State>>,
    /// Last applied index.
    applied: Cell<u64>,
    /// `None` for a single instance without a disk.
    drive: Option<Drive>,
}

impl Replica {
    /// A single instance that keeps its state in memory only.
    pub fn in_memory() -> Replica {
        Replica::default()
    }

    /// Recovers the data folder, listens for peers and takes part in the agreement.
    pub async fn start(settings: Settings) -> Result<Replica> {
        let files = Directory::open(&settings.folder)?;
        Replica::start_on(Box::new(files), settings).await
    }

    /// As `start`, on other files than those of `settings.folder`.
    pub async fn start_on(files: Box<dyn Files>, settings: Settings) -> Result<Replica> {
        let inner = drive::start(files, settings).await?;
        Ok(Replica { inner })
    }

    /// Commits and applies a command.
    ///
    /// `Refusal::Storage` means that the command may or may not be applied later.
    pub async fn propose(&self, command: machine::Command) -> Result<machine::Reply, Refusal> {
        let Some(drive) = &self.inner.drive else {
            let index = self.inner.applied.get() + 1;
            self.inner.applied.set(index);
            let mut state = self.inner.state.borrow_mut();
            let state = Arc::get_mut(&mut state).expect("shared only by replicas with a disk");
            return Ok(state.apply(index, command));
        };
        let bytes = postcard::to_stdvec(&command).expect("commands serialise");
        let reply = drive.propose(Bytes::from(bytes))?;
        wait(reply).await
    }

    /// Returns once this instance is known to have led after the call was made and has applied
    /// everything committed before it: what `state` holds then is current.
    pub async fn barrier(&self) -> Result<(), Refusal> {
        match &self.inner.drive {
            Some(drive) => wait(drive.barrier()?).await,
            None => Ok(()),
        }
    }

    /// The state as applied so far.
    pub fn state(&self) -> Ref<'_, machine::State> {
        Ref::map(self.inner.state.borrow(), |state| &**state)
    }

    /// The term, if this instance leads.
    pub fn leading(&self) -> Option<u64> {
        match &self.inner.drive {
            Some(drive) => drive.leading(),
            None => Some(1),
        }
    }

    /// Address of the leader's control service.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.inner.drive.as_ref()?.leader()
    }

    /// Where this instance listens for peers.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        Some(self.inner.drive.as_ref()?.peer_addr())
    }

    /// Sets the address of this instance's control service, if it was not known at the start.
    pub fn advertise(&self, client_addr: SocketAddr) {
        if let Some(drive) = &self.inner.drive {
            drive.advertise(client_addr);
        }
    }

    /// Forms a new cluster with this instance as its only voter.
    pub async fn init(&self) -> Result<(), Refusal> {
        let Some(drive) = &self.inner.drive else { return Ok(()) };
        drive.init()?;
        let formed = async {
            while drive.leading().is_none() || self.barrier().await.is_err() {
                time::sleep(POLL).await;
            }
        };
        let detail = "the first record could not be stored yet".to_owned();
        time::timeout(CHANGE_LIMIT, formed).await.map_err(|_| Refusal::Storage { detail })
    }

    /// Adds or removes a voter. Returns once the change is committed; an added instance begins to
    /// vote some time later, when it has caught up.
    pub async fn change_voters(&self, change: VoterChange) -> Result<(), Refusal> {
        let Some(drive) = &self.inner.drive else {
            return Err(Refusal::Invalid { detail: "single instance without a disk".to_owned() });
        };
        let end = time::Instant::now() + CHANGE_LIMIT;
        loop {
            let taken = match change {
                VoterChange::Add { addr } => drive.add(addr)?,
                VoterChange::Remove { node, disk } => {
                    drive.change(Change::Remove(Id { node, disk }))?
                }
            };
            match taken {
                Taken::Unchanged => return Ok(()),
                Taken::Appended(reply) => return wait(reply).await.map(drop),
                Taken::Busy(detail) if time::Instant::now() >= end => {
                    return Err(Refusal::Invalid { detail });
                }
                Taken::Busy(_) => time::sleep(POLL).await,
            }
        }
    }

    /// State of this instance. `rules_version` is 0: the replica does not look into the state.
    pub fn status(&self) -> control::Status {
        let Some(drive) = &self.inner.drive else {
            return control::Status {
                node: id::Node(0),
                disk: id::Disk(0),
                role: control::Role::Leader,
                term: 1,
                leader: None,
                commit: self.inner.applied.get(),
                applied: self.inner.applied.get(),
                voters: Vec::new(),
                rules_version: 0,
            };
        };
        drive.status(self.inner.applied.get())
    }

    /// Whether this instance belongs to no cluster yet.
    pub fn blank(&self) -> bool {
        matches!(self.status().role, control::Role::Blank)
    }

    /// Members and applicants; empty unless this instance leads.
    pub fn standing(&self) -> Standing {
        self.inner.drive.as_ref().map_or_else(Standing::default, Drive::standing)
    }

    /// Before a planned stop: lets another voter lead. Returns once this instance does not lead,
    /// or no other voter has taken over in time.
    pub async fn hand_over(&self) {
        let Some(drive) = &self.inner.drive else { return };
        let end = time::Instant::now() + drive.hand_over_limit();
        while drive.leading().is_some() && time::Instant::now() < end && drive.hand_over() {
            time::sleep(POLL).await;
        }
    }

    /// Stops taking part; calls that wait are refused. Returns once the data folder is closed.
    pub async fn stop(&self) {
        if let Some(drive) = &self.inner.drive {
            drive.stop().await;
        }
    }
}

async fn wait<T>(reply: oneshot::Receiver<Result<T, Refusal>>) -> Result<T, Refusal> {
    reply.await.unwrap_or(Err(Refusal::Stopping))
}

fn voter(member: &Member) -> control::Voter {
    control::Voter {
        node: member.id.node,
        disk: member.id.disk,
        addr: member.client,
        votes: member.voter,
    }
}

fn role(instance: &consensus::Instance) -> control::Role {
    match instance.role() {
        consensus::Role::Leader => control::Role::Leader,
        consensus::Role::Candidate | consensus::Role::PreCandidate => control::Role::Candidate,
        consensus::Role::Follower if instance.cluster().is_none() => control::Role::Blank,
        consensus::Role::Follower if instance.is_voter() => control::Role::Follower,
        consensus::Role::Follower => control::Role::Learner,
    }
}
