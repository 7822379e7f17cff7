//! Where a control instance looks for its group: the addresses that its settings name, those that
//! others referred it to, and those of former members.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::wire::peer::{Id, Member, Standing};

/// Number of addresses that are kept of those that others referred this instance to. The oldest make
/// room for new ones.
const REFERRED_MAX: usize = 32;
/// Number of former members that are kept.
const FORMER_MAX: usize = 16;
/// Time for which a former member is contacted after its removal, in ms. One that was only cut off
/// does not know that it was removed, and may know none of the present members.
const FORMER_KEEP_MS: u64 = 600_000;

/// Addresses of other control instances.
#[derive(Debug, Default)]
pub struct Book {
    seeds: Vec<SocketAddr>,
    /// The cluster that a seed has named.
    cluster: Option<u64>,
    /// Addresses that trusted instances named as those of members.
    referred: IndexSet<SocketAddr>,
    members: Vec<(Id, SocketAddr)>,
    /// Index of the newest member list that was taken from the log.
    members_index: u64,
    /// Members that were removed, each with its last address and the time at which that was noted; the
    /// latest last.
    former: IndexMap<Id, (SocketAddr, u64)>,
}

impl Book {
    pub fn new(seeds: Vec<SocketAddr>) -> Book {
        Book { seeds, ..Book::default() }
    }

    /// Replaces the addresses that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    pub fn is_seed(&self, addr: SocketAddr) -> bool {
        self.seeds.contains(&addr)
    }

    /// The cluster that a seed has named.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }

    /// Adds the members that the instance at `from` named in its answer to an introduction. An answer
    /// counts if it comes from the cluster `own` of this instance or, while this one belongs to none,
    /// from a seed, or from an instance of the seed's cluster that this one was referred to: another
    /// system may use the address now. Returns whether addresses were added and kept.
    pub fn refer(&mut self, from: SocketAddr, own: Option<u64>, standing: &Standing) -> bool {
        let is_seed = self.is_seed(from);
        if is_seed {
            self.cluster = standing.cluster.or(self.cluster);
        }
        let same_cluster = standing.cluster.is_some() && standing.cluster == own.or(self.cluster);
        let trusted = same_cluster && (own.is_some() || is_seed || self.referred.contains(&from));
        let from_outside = own.is_none() && is_seed && standing.cluster.is_none();
        if !trusted && !from_outside {
            return false;
        }
        let mut added = false;
        for addr in &standing.members {
            let known = self.referred.shift_remove(addr);
            self.referred.insert(*addr);
            added |= !known && !self.is_seed(*addr);
        }
        let excess = self.referred.len().saturating_sub(REFERRED_MAX);
        self.referred.drain(..excess);
        added && excess == 0
    }

    /// Notes the members by the member lists of the log, the latest last, so that those that it lacks
    /// are known as former ones.
    pub fn update_members<'a>(
        &mut self,
        now_ms: u64,
        lists: impl Iterator<Item = (u64, &'a [Member])>,
    ) {
        let mut latest = None;
        for (index, list) in lists {
            if index > self.members_index {
                self.members_index = index;
                self.replace_members(now_ms, list);
            }
            latest = Some(list);
        }
        // Lists that were not committed may have been taken back.
        if let Some(list) = latest {
            self.replace_members(now_ms, list);
        }
    }

    fn replace_members(&mut self, now_ms: u64, list: &[Member]) {
        let current: Vec<(Id, SocketAddr)> = list.iter().map(|m| (m.id, m.peer)).collect();
        if current == self.members {
            return;
        }
        let replaced = |id: &Id, addr: &SocketAddr| {
            current.iter().any(|(member, at)| member == id || at == addr)
        };
        self.former.retain(|id, (addr, _)| !replaced(id, addr));
        for (id, addr) in &self.members {
            if !replaced(id, addr) {
                self.former.insert(*id, (*addr, now_ms));
            }
        }
        let excess = self.former.len().saturating_sub(FORMER_MAX);
        self.former.drain(..excess);
        self.members = current;
    }

    /// Addresses of the members, of the seeds, and of those that these named.
    pub fn candidates(&self) -> IndexSet<SocketAddr> {
        let members = self.members.iter().map(|(_, addr)| addr);
        self.seeds.iter().chain(members).chain(&self.referred).copied().collect()
    }

    /// Addresses to which this instance was referred.
    pub fn referred(&self) -> impl Iterator<Item = SocketAddr> {
        self.referred.iter().copied()
    }

    /// Members whose removal was noted within [`FORMER_KEEP_MS`], with their last addresses.
    pub fn former(&mut self, now_ms: u64) -> Vec<(Id, SocketAddr)> {
        self.former.retain(|_, (_, noted_ms)| now_ms < *noted_ms + FORMER_KEEP_MS);
        self.former.iter().map(|(id, (addr, _))| (*id, *addr)).collect()
    }
}
