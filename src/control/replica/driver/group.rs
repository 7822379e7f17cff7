//! The group of control instances as one replica sees it: its formation, changes of its members, who
//! leads, and transfers of the leadership.

use std::{iter, net::SocketAddr, time::Duration};

use super::{
    super::{
        Introductions, control_member,
        core::{Core, Reply},
        role,
    },
    Driver,
};
use crate::{
    coordination::{
        consensus::{self, Change, Role},
        membership::{self, Applicant, Group},
    },
    protocol::{
        id,
        wire::{
            control::{self, Refusal},
            peer::{Hello, Member},
            queue::Members,
        },
    },
    state::machine,
};

/// Result of a requested membership change.
pub(in crate::control::replica) enum ChangeResult {
    /// The change is already in force.
    Unchanged,
    /// The change is in the log; the reply arrives once it is committed.
    Appended(Reply<machine::Reply>),
    /// The change is not possible now and can be requested again later.
    Busy(String),
}

impl Driver {
    pub fn init(&self) -> Result<(), Refusal> {
        self.init_instance(&mut self.core.borrow_mut())
    }

    /// Forms a cluster with this instance as its only voter.
    pub(super) fn init_instance(&self, core: &mut Core) -> Result<(), Refusal> {
        self.check_available(core)?;
        let member = Member {
            id: core.instance.id(),
            peer: self.peer_addr.get(),
            client: self.client_addr.get(),
            voter: true,
        };
        let formed = core.instance.init(self.now(), rand::random(), member);
        self.wake.notify_one();
        formed.map_err(|refusal| self.refusal(core, refusal))
    }

    /// Adds the instance that has introduced itself with the peer or control address `addr`.
    pub fn add(&self, addr: SocketAddr) -> Result<ChangeResult, Refusal> {
        let hello = {
            let core = self.core.borrow();
            let mut applicants = core.instance.applicants();
            let at = |(hello, _): &(&Hello, u64)| hello.peer == addr || hello.client == addr;
            applicants.find(at).map(|(hello, _)| *hello)
        };
        match hello {
            Some(hello) => self.change(Change::Add(hello)),
            None if self.leading().is_some() => {
                Ok(ChangeResult::Busy(format!("no instance at {addr} has introduced itself")))
            }
            None => Err(self.refusal(&self.core.borrow(), consensus::Refusal::NotLeader)),
        }
    }

    pub fn change(&self, change: Change) -> Result<ChangeResult, Refusal> {
        let mut core = self.core.borrow_mut();
        self.check_available(&core)?;
        match core.instance.change(change) {
            Ok(None) => Ok(ChangeResult::Unchanged),
            Ok(Some(index)) => {
                let term = core.instance.term();
                Ok(ChangeResult::Appended(self.wait_for(&mut core, index, term)))
            }
            Err(consensus::Refusal::Busy(detail)) => Ok(ChangeResult::Busy(detail)),
            Err(refusal) => Err(self.refusal(&core, refusal)),
        }
    }

    pub fn status(&self, applied: u64) -> control::Status {
        let core = self.core.borrow();
        let instance = &core.instance;
        control::Status {
            node: instance.id().node,
            disk: instance.id().disk,
            role: role(instance),
            term: instance.term(),
            leader: core.leader(),
            commit: instance.commit_index(),
            applied,
            members: instance.members().iter().map(control_member).collect(),
            rules_version: 0,
        }
    }

    pub fn cluster(&self) -> Option<id::Cluster> {
        self.core.borrow().instance.cluster().map(id::Cluster)
    }

    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        let core = self.core.borrow();
        let members = core.instance.members().iter().map(|m| m.client);
        iter::once(self.client_addr.get()).chain(members).collect()
    }

    pub fn members(&self) -> Option<Members> {
        let core = self.core.borrow();
        let cluster = id::Cluster(core.instance.cluster()?);
        let (index, members) = core.instance.committed_members();
        Some(Members { cluster, index, addrs: members.iter().map(|m| m.client).collect() })
    }

    /// The group as this instance sees it; empty unless it leads.
    pub fn group(&self) -> Group {
        let core = self.core.borrow();
        let instance = &core.instance;
        if instance.role() != Role::Leader {
            return Group::default();
        }
        let members = instance.members();
        let is_member = |hello: &Hello| members.iter().any(|m| m.id == hello.id);
        let member = |m: &Member| membership::Member {
            id: m.id,
            voter: m.voter,
            responsive: instance.is_responsive(&m.id),
            standby: instance.is_standby(&m.id),
            leaving: instance.is_leaving(&m.id),
        };
        let applicants = instance.applicants().filter(|(hello, _)| !is_member(hello));
        Group {
            members: members.iter().map(member).collect(),
            applicants: applicants
                .map(|(hello, waited_ms)| Applicant { hello: *hello, waited_ms })
                .collect(),
        }
    }

    pub fn introductions(&self) -> Introductions {
        let core = self.core.borrow();
        let since_ms = core.introduction.since_ms();
        Introductions {
            outside_ms: since_ms.map(|since_ms| self.now().saturating_sub(since_ms)),
            while_leading: core.heard.while_leading,
            while_following: core.heard.while_following,
        }
    }

    pub fn limit_voters(&self, max_voters: usize) {
        self.core.borrow_mut().instance.limit_voters(max_voters);
    }

    pub fn transfer_limit(&self) -> Duration {
        Duration::from_millis(2 * self.settings.timing.election_max_ms)
    }

    /// Starts a leadership transfer unless one is in progress. Returns false if no other voter is
    /// responsive.
    pub fn transfer_leadership(&self) -> bool {
        let mut core = self.core.borrow_mut();
        let started = core.instance.transfer_leadership(self.now());
        self.wake.notify_one();
        !matches!(started, Err(consensus::Refusal::Invalid(_)))
    }
}
