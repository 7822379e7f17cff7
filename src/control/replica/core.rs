//! What a running replica knows: the agreement, the calls that wait for it, and routes to peers.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use tokio::sync::oneshot;

use super::{
    Inner,
    peers::Incoming,
    storage::{Job, Storage},
};
use crate::{
    coordination::consensus::{Instance, Role, Save},
    protocol::wire::{
        control::Refusal,
        peer::{Entry, Id, Payload},
    },
    state::{machine, snapshot::Snapshot},
};

pub(super) type Waiter<T> = oneshot::Sender<Result<T, Refusal>>;
pub(super) type Reply<T> = oneshot::Receiver<Result<T, Refusal>>;

/// What a replica knows while it runs.
pub(super) struct Core {
    pub instance: Instance,
    pub storage: Option<Storage>,
    /// A save is being stored.
    pub saving: bool,
    /// The folder is getting a new disk id.
    pub renewing: bool,
    pub compacting: bool,
    /// Why storing fails at present.
    pub fault: Option<String>,
    /// Calls that wait for the entry at an index of a term.
    pub proposals: BTreeMap<u64, (u64, Waiter<machine::Reply>)>,
    pub barriers: BTreeMap<u64, Waiter<()>>,
    /// Committed entries that are not applied yet.
    pub deferred: VecDeque<Entry>,
    /// Confirmed barriers that wait for an index to be applied.
    pub confirmed: Vec<(u64, Waiter<()>)>,
    pub next_barrier: u64,
    pub snapshot: Option<Snapshot>,
    /// Log bytes since the last snapshot.
    pub log_bytes: u64,
    /// Peer addresses that instances told themselves.
    pub routes: BTreeMap<Id, SocketAddr>,
    pub incoming: BTreeMap<Id, Incoming>,
    pub hello_at: u64,
    pub role: Role,
}

impl Core {
    pub fn submit(&self, job: Job) {
        if let Some(storage) = &self.storage {
            storage.submit(job);
        }
    }

    /// Applies committed entries, unless a thread makes a snapshot of the state.
    pub fn apply(&mut self, inner: &Inner) -> Result<(), String> {
        let mut state = inner.state.borrow_mut();
        let Some(state) = Arc::get_mut(&mut state) else { return Ok(()) };
        while let Some(entry) = self.deferred.pop_front() {
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
                let command = postcard::from_bytes(bytes)
                    .map_err(|e| format!("command {} does not decode: {e}", entry.index))?;
                state.apply(entry.index, command)
            }
            Payload::Empty | Payload::Members(_) => machine::Reply::Done,
        };
        inner.applied.set(entry.index);
        if let Some((term, waiter)) = self.proposals.remove(&entry.index) {
            let result = if term == entry.term { Ok(reply) } else { Err(lost()) };
            let _ = waiter.send(result);
        }
        Ok(())
    }

    pub fn answer_barriers(&mut self, applied: u64) {
        for (index, waiter) in std::mem::take(&mut self.confirmed) {
            if index <= applied {
                let _ = waiter.send(Ok(()));
            } else {
                self.confirmed.push((index, waiter));
            }
        }
    }

    /// Ends waiting calls when leadership has ended, and logs the new role.
    pub fn role_changed(&mut self) {
        let role = self.instance.role();
        if role != Role::Leader {
            for (_, (_, waiter)) in std::mem::take(&mut self.proposals) {
                let _ = waiter.send(Err(lost()));
            }
        }
        if role != self.role {
            log::info!("event=role role={role:?} term={}", self.instance.term());
            self.role = role;
        }
    }

    pub fn route(&self, to: Id) -> Option<SocketAddr> {
        let member = || self.instance.members().iter().find(|m| m.id == to).map(|m| m.peer);
        self.routes.get(&to).copied().or_else(member)
    }

    pub fn leader(&self) -> Option<SocketAddr> {
        let leader = self.instance.leader()?;
        Some(self.instance.members().iter().find(|m| m.id == leader)?.client)
    }
}

fn lost() -> Refusal {
    Refusal::Storage { detail: "leadership ended before the record was committed".to_owned() }
}

pub(super) fn decode(snapshot: &Snapshot) -> Result<machine::State, String> {
    postcard::from_bytes(&snapshot.data).map_err(|e| e.to_string())
}

/// Log bytes of a save, roughly.
pub(super) fn size(save: &Save) -> u64 {
    const RECORD_BYTES: usize = 16;
    let entry = |entry: &Entry| match &entry.payload {
        Payload::Command(bytes) => bytes.len() + RECORD_BYTES,
        Payload::Empty | Payload::Members(_) => RECORD_BYTES,
    };
    save.entries.iter().map(entry).sum::<usize>() as u64
}
