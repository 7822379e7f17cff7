//! Sessions of entry instances.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use serde::{Deserialize, Serialize};

use crate::protocol::{id, wire::control};

/// Owner reported for a record whose session is not known. Nothing listens at this address.
const UNKNOWN_OWNER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// All sessions that are live, that are fenced but not abandoned yet, or that own an admission
/// record.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sessions {
    /// Log index of the last registration or fence.
    last_change: u64,
    table: BTreeMap<id::Epoch, Session>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Session {
    addr: SocketAddr,
    /// Random number that the entry instance drew for this registration.
    start: u64,
    phase: Phase,
    /// Number of admission records that this session owns.
    records: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Live,
    /// The session has ended, but its open jobs have not been recorded as failed yet.
    Fenced,
    /// The session has ended, its open jobs have been recorded as failed, and it is kept only as
    /// the owner of records.
    Abandoned,
}

impl Sessions {
    /// Opens a session, or returns the live one of the same registration.
    pub fn register(&mut self, index: u64, hello: &control::Hello) -> id::Epoch {
        if let Some(epoch) = self.live_session(hello.start) {
            return epoch;
        }
        let epoch = id::Epoch(index);
        let session =
            Session { addr: hello.addr, start: hello.start, phase: Phase::Live, records: 0 };
        self.table.insert(epoch, session);
        self.last_change = index;
        epoch
    }

    /// The live session of a registration, which may have been sent more than once.
    pub fn live_session(&self, start: u64) -> Option<id::Epoch> {
        let live = self.table.iter().filter(|(_, s)| s.phase == Phase::Live);
        live.filter(|(_, s)| s.start == start).map(|(epoch, _)| *epoch).next()
    }

    pub fn is_live(&self, epoch: id::Epoch) -> bool {
        self.table.get(&epoch).is_some_and(|s| s.phase == Phase::Live)
    }

    /// Ends a live session.
    pub fn fence(&mut self, index: u64, epoch: id::Epoch) {
        if let Some(session) = self.table.get_mut(&epoch)
            && session.phase == Phase::Live
        {
            session.phase = Phase::Fenced;
            self.last_change = index;
        }
    }

    /// Marks a fenced session as abandoned; the caller must then record its open jobs as failed.
    /// Returns whether the session was fenced.
    pub fn abandon(&mut self, epoch: id::Epoch) -> bool {
        let Some(session) = self.table.get_mut(&epoch) else { return false };
        if session.phase != Phase::Fenced {
            return false;
        }
        session.phase = Phase::Abandoned;
        true
    }

    /// Counts a new record that the session owns.
    pub fn add_record(&mut self, epoch: id::Epoch) {
        if let Some(session) = self.table.get_mut(&epoch) {
            session.records += 1;
        }
    }

    /// Counts the removal of a record that the session owned.
    pub fn remove_record(&mut self, epoch: id::Epoch) {
        if let Some(session) = self.table.get_mut(&epoch) {
            session.records = session.records.saturating_sub(1);
        }
        self.remove_if_unused(epoch);
    }

    /// Removes an abandoned session that owns no records.
    pub fn remove_if_unused(&mut self, epoch: id::Epoch) {
        let session = self.table.get(&epoch);
        if session.is_some_and(|s| s.phase == Phase::Abandoned && s.records == 0) {
            self.table.remove(&epoch);
        }
    }

    /// Sessions of an address that have not been abandoned.
    pub fn at(&self, addr: SocketAddr) -> Vec<id::Epoch> {
        let kept = self.table.iter().filter(|(_, s)| s.phase != Phase::Abandoned);
        kept.filter(|(_, s)| s.addr == addr).map(|(epoch, _)| *epoch).collect()
    }

    pub fn addr(&self, epoch: id::Epoch) -> SocketAddr {
        self.table.get(&epoch).map_or(UNKNOWN_OWNER, |s| s.addr)
    }

    /// The list of live sessions that is sent to sidecars.
    pub fn list(&self) -> control::Sessions {
        control::Sessions { as_of: self.last_change, live: self.in_phase(Phase::Live) }
    }

    pub fn fenced(&self) -> Vec<id::Epoch> {
        self.in_phase(Phase::Fenced)
    }

    fn in_phase(&self, phase: Phase) -> Vec<id::Epoch> {
        self.table.iter().filter(|(_, s)| s.phase == phase).map(|(epoch, _)| *epoch).collect()
    }
}
