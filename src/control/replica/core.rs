//! State of a running replica: the consensus state, the calls that wait for it, and the addresses
//! of peers.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use tokio::sync::oneshot;

use super::{
    Inner,
    driver::{Heard, Introduction},
    peers::IncomingSnapshot,
    storage::{Job, Storage},
};
use crate::{
    coordination::{
        consensus::{Instance, Role, Save},
        contact::Book,
        formation::Formation,
    },
    protocol::wire::{
        control::Refusal,
        peer::{Entry, Id, Payload},
    },
    state::{machine, snapshot::Snapshot},
};

pub(super) type Waiter<T> = oneshot::Sender<Result<T, Refusal>>;
pub(super) type Reply<T> = oneshot::Receiver<Result<T, Refusal>>;

/// State of a running replica.
pub(super) struct Core {
    pub instance: Instance,
    pub storage: Option<Storage>,
    /// Whether the storage thread is storing a [`Save`].
    pub saving: bool,
    /// Whether the data directory is getting a new disk id.
    pub renewing: bool,
    /// While a thread is making a snapshot, the value of `log_bytes` at its start.
    pub snapshotting: Option<u64>,
    /// When the next snapshot may be started, in ms since the replica started.
    pub snapshot_at: u64,
    /// Error of the last write, while writes fail.
    pub storage_error: Option<String>,
    /// Calls that wait for an entry, by the entry's index and with its term.
    pub proposals: BTreeMap<u64, (u64, Waiter<machine::Reply>)>,
    /// Unconfirmed read barriers by token.
    pub barriers: BTreeMap<u64, Waiter<()>>,
    /// Committed entries that are not applied yet, in order.
    pub unapplied: VecDeque<Entry>,
    /// Confirmed read barriers, each with the index that must be applied first.
    pub confirmed_barriers: Vec<(u64, Waiter<()>)>,
    /// Token of the last read barrier.
    pub last_barrier: u64,
    /// The newest stored snapshot.
    pub snapshot: Option<Snapshot>,
    /// Log bytes since the start of the last stored snapshot, or since the last one was installed; at
    /// first, the size of the log.
    pub log_bytes: u64,
    /// Peer addresses that the instances themselves have sent.
    pub routes: BTreeMap<Id, SocketAddr>,
    /// Partly received snapshots by sender.
    pub incoming: BTreeMap<Id, IncomingSnapshot>,
    /// When this instance next checks whether to send its id and addresses to the other instances,
    /// in ms since the replica started.
    pub hello_at: u64,
    pub introduction: Introduction,
    pub heard: Heard,
    /// Addresses at which this instance looks for its group.
    pub contacts: Book,
    /// When a leader next introduces itself to former members, in ms since the replica started.
    pub former_hello_at: u64,
    /// Set while this instance may still form a cluster.
    pub formation: Option<Formation>,
    /// When the wait for other instances was last logged, in ms since the replica started.
    pub formation_logged_at: u64,
    /// Clusters other than the instance's own of which peers have told, as far as they are logged.
    pub foreign_clusters: BTreeMap<SocketAddr, u64>,
    /// Role that was last logged.
    pub role: Role,
    /// Whether this instance was last logged as a voter.
    pub voter: bool,
}

impl Core {
    /// The state after recovery: nothing waits, and no peer is known.
    pub fn new(
        instance: Instance,
        storage: Storage,
        snapshot: Option<Snapshot>,
        log_bytes: u64,
        contacts: Book,
    ) -> Core {
        Core {
            instance,
            storage: Some(storage),
            saving: false,
            renewing: false,
            snapshotting: None,
            snapshot_at: 0,
            storage_error: None,
            proposals: BTreeMap::new(),
            barriers: BTreeMap::new(),
            unapplied: VecDeque::new(),
            confirmed_barriers: Vec::new(),
            last_barrier: 0,
            snapshot,
            log_bytes,
            routes: BTreeMap::new(),
            incoming: BTreeMap::new(),
            hello_at: 0,
            introduction: Introduction::default(),
            heard: Heard::default(),
            contacts,
            former_hello_at: 0,
            formation: None,
            formation_logged_at: 0,
            foreign_clusters: BTreeMap::new(),
            role: Role::Follower,
            voter: false,
        }
    }

    pub fn submit(&self, job: Job) {
        if let Some(storage) = &self.storage {
            storage.submit(job);
        }
    }

    /// Applies the committed entries, unless a thread is still serialising the state for a
    /// snapshot.
    pub fn apply(&mut self, inner: &Inner) -> Result<(), String> {
        let mut state = inner.state.borrow_mut();
        let Some(state) = Arc::get_mut(&mut state) else { return Ok(()) };
        while let Some(entry) = self.unapplied.pop_front() {
            self.apply_entry(inner, state, entry)?;
        }
        Ok(())
    }

    fn apply_entry(
        &mut self,
        inner: &Inner,
        state: &mut machine::State,
        entry: Entry,
    ) -> Result<(), String> {
        let reply = match &entry.payload {
            Payload::Command(bytes) => {
                let command = postcard::from_bytes(bytes).map_err(|e| {
                    format!("cannot decode the command at log index {}: {e}", entry.index)
                })?;
                state.apply(entry.index, command)
            }
            Payload::Empty | Payload::Members(_) => machine::Reply::Done,
        };
        inner.applied.set(entry.index);
        if let Some((term, waiter)) = self.proposals.remove(&entry.index) {
            let result = if term == entry.term { Ok(reply) } else { Err(leadership_lost()) };
            let _ = waiter.send(result);
        }
        Ok(())
    }

    /// Completes the confirmed barriers whose index is applied.
    pub fn answer_barriers(&mut self, applied: u64) {
        for (index, waiter) in std::mem::take(&mut self.confirmed_barriers) {
            if index <= applied {
                let _ = waiter.send(Ok(()));
            } else {
                self.confirmed_barriers.push((index, waiter));
            }
        }
    }

    /// Refuses waiting proposals if this instance no longer leads, and logs a new role, or that this
    /// instance has become a voter or is one no longer.
    pub fn role_changed(&mut self) {
        let role = self.instance.role();
        if role != Role::Leader {
            for (_, (_, waiter)) in std::mem::take(&mut self.proposals) {
                let _ = waiter.send(Err(leadership_lost()));
            }
        }
        let (term, cluster) = (self.instance.term(), self.instance.cluster().unwrap_or_default());
        if role != self.role {
            log::info!("event=role role={role:?} term={term} cluster={cluster:016x}");
            self.role = role;
        }
        let voter = self.instance.is_voter();
        if voter != self.voter {
            log::info!("event=voter voter={voter} term={term} cluster={cluster:016x}");
            self.voter = voter;
        }
    }

    /// Peer address of an instance: as the instance sent it, or else as the members list it.
    pub fn route(&self, to: Id) -> Option<SocketAddr> {
        let member = || self.instance.members().iter().find(|m| m.id == to).map(|m| m.peer);
        self.routes.get(&to).copied().or_else(member)
    }

    /// Address of the leader's control service.
    pub fn leader(&self) -> Option<SocketAddr> {
        let leader = self.instance.leader()?;
        Some(self.instance.members().iter().find(|m| m.id == leader)?.client)
    }
}

fn leadership_lost() -> Refusal {
    Refusal::Storage { detail: "leadership ended before the record was committed".to_owned() }
}

pub(super) fn decode(snapshot: &Snapshot) -> Result<machine::State, String> {
    postcard::from_bytes(&snapshot.data).map_err(|e| e.to_string())
}

/// Approximate number of log bytes that a [`Save`] takes.
pub(super) fn log_bytes_of(save: &Save) -> u64 {
    const RECORD_BYTES: usize = 16;
    save.entries.iter().map(|entry| entry.bytes() + RECORD_BYTES).sum::<usize>() as u64
}
