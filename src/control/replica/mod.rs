//! The replicated state machine of the control service: [`Replica`] combines the log, the consensus
//! protocol and the applied state.

mod core;
mod driver;
mod peers;
mod service;
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
    coordination::{
        consensus::{self, Change, Timing},
        membership::Group,
    },
    error::Result,
    protocol::{
        id,
        wire::{
            control::{self, MemberChange, Refusal},
            peer::{Id, Member},
            queue::Members,
        },
    },
    state::{
        log::files::{Directory, Files},
        machine,
    },
};
use driver::{ChangeResult, Driver};

/// Longest time that a call waits for a new cluster's first commit, or for a membership change to
/// be accepted.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a stopping instance waits for a learner to vote in its place.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a waiting call checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of voters that a cluster should have unless the settings say otherwise.
const VOTERS: usize = 3;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    pub node: id::Node,
    /// Address at which peers reach this instance, and to listen on unless `listen` is set; the
    /// port may be 0.
    pub peer_addr: SocketAddr,
    /// Address to listen on for peers, if it differs from `peer_addr`.
    pub listen: Option<SocketAddr>,
    /// Address at which clients reach this instance's control service.
    pub client_addr: SocketAddr,
    /// Peer addresses of other instances, to which this one introduces itself while it has no
    /// leader, or is not listed as a member with its current addresses.
    pub peers: Vec<SocketAddr>,
    /// Whether the system starts for the first time. The instance at the first address of `peers`
    /// then forms a cluster, unless one exists. The data directory keeps this and `peers`, so that an
    /// instance that restarts before a cluster is formed, with other settings, still takes part.
    pub first_start: bool,
    /// Number of voters that the cluster should have. No cluster with fewer than a majority of them
    /// has accepted anything.
    pub voters: usize,
    pub data_directory: PathBuf,
    pub timing: Timing,
    /// Bytes by which the log must have grown since the last snapshot before the next one is made.
    /// It must also have grown by twice the size of that snapshot.
    pub snapshot_bytes: u64,
}

impl Settings {
    pub fn new(node: id::Node, peer_addr: SocketAddr, data_directory: PathBuf) -> Settings {
        Settings {
            node,
            peer_addr,
            listen: None,
            client_addr: peer_addr,
            peers: Vec::new(),
            first_start: false,
            voters: VOTERS,
            data_directory,
            timing: Timing::default(),
            snapshot_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Introductions of an instance to others, and of others to it.
#[derive(Debug, Default, Clone, Copy)]
pub struct Introductions {
    /// How long the instance has had no leader or has not been listed as a member, in ms; `None` if
    /// it has one and is.
    pub outside_ms: Option<u64>,
    /// Number of introductions of others that it heard while it led.
    pub while_leading: u64,
    /// Number of introductions of others that it heard while it did not lead.
    pub while_following: u64,
}

/// A replica of the state machine. Clones are cheap and refer to the same replica.
#[derive(Clone, Default)]
pub struct Replica {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Applied state. While a thread shares it to make a snapshot, nothing is applied.
    state: RefCell<Arc<machine::State>>,
    /// Index of the last applied entry.
    applied: Cell<u64>,
    /// `None` for a single instance that keeps its state in memory only.
    driver: Option<Driver>,
}

impl Replica {
    /// A single instance that keeps its state in memory only.
    pub fn in_memory() -> Replica {
        Replica::default()
    }

    /// Recovers the data directory, listens for peers and joins the consensus protocol.
    pub async fn start(settings: Settings) -> Result<Replica> {
        let files = Directory::open(&settings.data_directory)?;
        Replica::start_on(Box::new(files), settings).await
    }

    /// Like `start`, but uses `files` instead of those in `settings.data_directory`.
    pub async fn start_on(files: Box<dyn Files>, settings: Settings) -> Result<Replica> {
        let inner = driver::start(files, settings).await?;
        Ok(Replica { inner })
    }

    /// Commits and applies a command.
    ///
    /// After `Refusal::Storage` or `Refusal::Stopping` the command may still be applied later, or
    /// not at all.
    pub async fn propose(&self, command: machine::Command) -> Result<machine::Reply, Refusal> {
        let Some(driver) = &self.inner.driver else {
            let index = self.inner.applied.get() + 1;
            self.inner.applied.set(index);
            let mut state = self.inner.state.borrow_mut();
            let state = Arc::get_mut(&mut state).expect("shared only by replicas with a disk");
            return Ok(state.apply(index, command));
        };
        let mut bytes = postcard::to_stdvec(&command).expect("commands serialise");
        drop(command);
        // The log keeps them, and a buffer that grew by doubling is up to twice as large.
        bytes.shrink_to_fit();
        let reply = driver.propose(Bytes::from(bytes))?;
        wait(reply).await
    }

    /// Read barrier. Returns once a majority has confirmed, after the call was made, that this
    /// instance leads, and everything committed before the call is applied: `state` is then
    /// current.
    pub async fn barrier(&self) -> Result<(), Refusal> {
        match &self.inner.driver {
            Some(driver) => wait(driver.barrier()?).await,
            None => Ok(()),
        }
    }

    /// The state after the entries applied so far.
    pub fn state(&self) -> Ref<'_, machine::State> {
        Ref::map(self.inner.state.borrow(), |state| &**state)
    }

    /// The current term if this instance leads.
    pub fn leading(&self) -> Option<u64> {
        match &self.inner.driver {
            Some(driver) => driver.leading(),
            None => Some(1),
        }
    }

    /// Address of the leader's control service.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.inner.driver.as_ref()?.leader()
    }

    /// Address on which this instance listens for peers.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        Some(self.inner.driver.as_ref()?.peer_addr())
    }

    /// Replaces `Settings::client_addr`. The address of this instance's control service may be
    /// known only after the replica has started, because its port may be 0 in the settings.
    pub fn advertise(&self, client_addr: SocketAddr) {
        if let Some(driver) = &self.inner.driver {
            driver.advertise(client_addr);
        }
    }

    /// Forms a new cluster with this instance as its only voter.
    pub async fn init(&self) -> Result<(), Refusal> {
        let Some(driver) = &self.inner.driver else { return Ok(()) };
        driver.init()?;
        let formed = async {
            while driver.leading().is_none() || self.barrier().await.is_err() {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let detail = "the first record could not be stored yet".to_owned();
        time::timeout(CHANGE_TIMEOUT, formed).await.map_err(|_| Refusal::Storage { detail })
    }

    /// Adds or removes a member. Returns once the change is committed. An added instance becomes a
    /// voter later, when it has caught up.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), Refusal> {
        let Some(driver) = &self.inner.driver else {
            return Err(without_disk());
        };
        let end = time::Instant::now() + CHANGE_TIMEOUT;
        loop {
            let result = match change {
                MemberChange::Add { addr } => driver.add(addr)?,
                MemberChange::Remove { node, disk } => {
                    driver.change(Change::Remove(Id { node, disk }))?
                }
            };
            match result {
                ChangeResult::Unchanged => return Ok(()),
                ChangeResult::Appended(reply) => return wait(reply).await.map(drop),
                ChangeResult::Busy(detail) if time::Instant::now() >= end => {
                    return Err(Refusal::Invalid { detail });
                }
                ChangeResult::Busy(_) => time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Status of this instance. `rules_version` is 0, because the replica does not interpret the
    /// applied state.
    pub fn status(&self) -> control::Status {
        let Some(driver) = &self.inner.driver else {
            return control::Status {
                node: id::Node(0),
                disk: id::Disk(0),
                role: control::Role::Leader,
                term: 1,
                leader: None,
                commit: self.inner.applied.get(),
                applied: self.inner.applied.get(),
                members: Vec::new(),
                rules_version: 0,
            };
        };
        driver.status(self.inner.applied.get())
    }

    /// The cluster that this instance belongs to; `None` before it has formed or joined one.
    pub fn cluster(&self) -> Option<id::Cluster> {
        match &self.inner.driver {
            Some(driver) => driver.cluster(),
            // Nothing else can belong to the cluster of a single instance without a disk.
            None => Some(id::Cluster(0)),
        }
    }

    /// Addresses of the control services that this instance knows: its own, and those of the members
    /// by its log.
    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        self.inner.driver.as_ref().map_or_else(Vec::new, Driver::control_addrs)
    }

    /// The members by the newest list that this instance knows to be committed; `None` before it
    /// belongs to a cluster.
    pub fn members(&self) -> Option<Members> {
        self.inner.driver.as_ref()?.members()
    }

    /// The group as this instance sees it; empty unless it leads.
    pub fn group(&self) -> Group {
        self.inner.driver.as_ref().map_or_else(Group::default, Driver::group)
    }

    /// Limits the number of voters that learners are made. Further learners replicate the log, so that
    /// they can replace a voter at once.
    pub fn limit_voters(&self, max_voters: usize) {
        if let Some(driver) = &self.inner.driver {
            driver.limit_voters(max_voters);
        }
    }

    /// Begins a membership change. Returns once it is committed.
    ///
    /// # Errors
    /// `Refusal::Invalid` also if another change is in progress.
    pub async fn change(&self, change: Change) -> Result<(), Refusal> {
        let Some(driver) = &self.inner.driver else { return Err(without_disk()) };
        match driver.change(change)? {
            ChangeResult::Unchanged => Ok(()),
            ChangeResult::Appended(reply) => wait(reply).await.map(drop),
            ChangeResult::Busy(detail) => Err(Refusal::Invalid { detail }),
        }
    }

    /// Replaces `Settings::peers`.
    pub fn set_peers(&self, peers: &[SocketAddr]) {
        if let Some(driver) = &self.inner.driver {
            driver.set_peers(peers);
        }
    }

    /// Hands over the leadership, if this instance leads, and asks the leader to let a learner vote in
    /// place of this one, which is about to stop. Returns once this one neither leads nor votes, or when
    /// nobody can take its place, or none has in time.
    pub async fn leave(&self) {
        let Some(driver) = &self.inner.driver else { return };
        self.transfer_leadership().await;
        let replaced = async {
            while driver.request_replacement().await {
                self.transfer_leadership().await;
                time::sleep(POLL_INTERVAL).await;
            }
        };
        if time::timeout(LEAVE_TIMEOUT, replaced).await.is_err() {
            log::warn!("event=not_replaced waited_ms={}", LEAVE_TIMEOUT.as_millis());
        }
    }

    pub fn introductions(&self) -> Introductions {
        self.inner.driver.as_ref().map_or_else(Introductions::default, Driver::introductions)
    }

    /// Transfers leadership to another voter before a planned stop. Returns once this instance does
    /// not lead, or when no other voter is available or none has taken over in time.
    pub async fn transfer_leadership(&self) {
        let Some(driver) = &self.inner.driver else { return };
        let end = time::Instant::now() + driver.transfer_limit();
        while driver.leading().is_some()
            && time::Instant::now() < end
            && driver.transfer_leadership()
        {
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns once the replica has ended because of a failure. It can only be started again by a new
    /// process, which recovers the data directory.
    pub async fn failed(&self) {
        match &self.inner.driver {
            Some(driver) => driver.failed().await,
            None => std::future::pending().await,
        }
    }

    /// Leaves the consensus protocol and refuses waiting calls. Returns once the data directory is
    /// closed.
    pub async fn stop(&self) {
        if let Some(driver) = &self.inner.driver {
            driver.stop().await;
        }
    }
}

fn without_disk() -> Refusal {
    Refusal::Invalid { detail: "single instance without a disk".to_owned() }
}

async fn wait<T>(reply: oneshot::Receiver<Result<T, Refusal>>) -> Result<T, Refusal> {
    reply.await.unwrap_or(Err(Refusal::Stopping))
}

fn control_member(member: &Member) -> control::Member {
    control::Member {
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
