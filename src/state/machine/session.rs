//! Sessions of entries.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use serde::{Deserialize, Serialize};

use crate::protocol::{id, wire::control};

/// Owner given for a record whose session is not known; nothing listens there.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// All sessions that are open, have open jobs, or own a record.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sessions {
    /// Log index of the last registration or fence.
    changed: u64,
    table: BTreeMap<id::Epoch, Session>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Session {
    addr: SocketAddr,
    start: u64,
    state: Phase,
    /// Records of admissions that name this session.
    records: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Live,
    Fenced,
    /// Kept only as the owner of records.
    Abandoned,
}

impl Sessions {
    /// Opens a session, or finds the open one of the same process start.
    pub fn register(&mut self, index: u64, hello: &control::Hello) -> id::Epoch {
        if let Some(epoch) = self.of(hello.start) {
            return epoch;
        }
        let epoch = id::Epoch(index);
        let session =
            Session { addr: hello.addr, start: hello.start, state: Phase::Live, records: 0 };
        self.table.insert(epoch, session);
        self.changed = index;
        epoch
    }

    /// The open session of a process start.
    pub fn of(&self, start: u64) -> Option<id::Epoch> {
        let live = self.table.iter().filter(|(_, s)| s.state == Phase::Live);
        live.filter(|(_, s)| s.start == start).map(|(epoch, _)| *epoch).next()
    }

    pub fn live(&self, epoch: id::Epoch) -> bool {
        self.table.get(&epoch).is_some_and(|s| s.state == Phase::Live)
    }

    /// Ends an open session.
    pub fn fence(&mut self, index: u64, epoch: id::Epoch) {
        if let Some(session) = self.table.get_mut(&epoch)
            && session.state == Phase::Live
        {
            session.state = Phase::Fenced;
            self.changed = index;
        }
    }

    /// Marks a fenced session's jobs as settled. Returns whether the session was fenced.
    pub fn abandon(&mut self, epoch: id::Epoch) -> bool {
        let Some(session) = self.table.get_mut(&epoch) else { return false };
        if session.state != Phase::Fenced {
            return false;
        }
        session.state = Phase::Abandoned;
        true
    }

    /// Counts a record that names the session.
    pub fn hold(&mut self, epoch: id::Epoch) {
        if let Some(session) = self.table.get_mut(&epoch) {
            session.records += 1;
        }
    }

    /// Takes back a `hold`.
    pub fn release(&mut self, epoch: id::Epoch) {
        if let Some(session) = self.table.get_mut(&epoch) {
            session.records = session.records.saturating_sub(1);
        }
        self.forget(epoch);
    }

    /// Drops an abandoned session that no record names.
    pub fn forget(&mut self, epoch: id::Epoch) {
        let session = self.table.get(&epoch);
        if session.is_some_and(|s| s.state == Phase::Abandoned && s.records == 0) {
            self.table.remove(&epoch);
        }
    }

    pub fn addr(&self, epoch: id::Epoch) -> SocketAddr {
        self.table.get(&epoch).map_or(NOWHERE, |s| s.addr)
    }

    pub fn list(&self) -> control::Sessions {
        control::Sessions { as_of: self.changed, live: self.with(Phase::Live) }
    }

    pub fn fenced(&self) -> Vec<id::Epoch> {
        self.with(Phase::Fenced)
    }

    fn with(&self, state: Phase) -> Vec<id::Epoch> {
        self.table.iter().filter(|(_, s)| s.state == state).map(|(epoch, _)| *epoch).collect()
    }
}
