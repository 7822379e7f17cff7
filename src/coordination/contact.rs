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
    /// Addresses that trusted instances named as those of members.
    referred: IndexSet<SocketAddr>,
    members: Vec<(Id, SocketAddr)>,
    /// Members that were removed, each with its last address and the time of its removal.
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

    /// Adds the members that the instance at `from` named in its answer to an introduction. An answer
    /// counts if it comes from the cluster `own` of this instance or, while this one belongs to none,
    /// from a seed or an instance that a seed's answer led to. Returns the number of new addresses.
    pub fn refer(&mut self, from: SocketAddr, own: Option<u64>, standing: &Standing) -> usize {
        let trusted = match own {
            Some(own) => standing.cluster == Some(own),
            None => self.is_seed(from) || self.referred.contains(&from),
        };
        if !trusted {
            return 0;
        }
        let mut added = 0;
        for addr in &standing.members {
            let known = self.referred.shift_remove(addr);
            self.referred.insert(*addr);
            added += usize::from(!known && !self.is_seed(*addr));
        }
        let excess = self.referred.len().saturating_sub(REFERRED_MAX);
        self.referred.drain(..excess);
        added
    }

    /// Notes the members by the member lists of the log, the latest last, so that those that it lacks
    /// are known as former ones.
    pub fn update_members<'a>(
        &mut self,
        now_ms: u64,
        lists: impl DoubleEndedIterator<Item = &'a [Member]> + Clone,
    ) {
        let latest = lists.clone().next_back().unwrap_or_default();
        let current: Vec<(Id, SocketAddr)> = latest.iter().map(|m| (m.id, m.peer)).collect();
        if current == self.members {
            return;
        }
        let earlier = lists.flatten().map(|m| (m.id, m.peer)).chain(self.members.drain(..));
        for (id, addr) in earlier {
            self.former.entry(id).or_insert((addr, now_ms)).0 = addr;
        }
        let replaced = |id: &Id, addr: &SocketAddr| {
            current.iter().any(|(member, at)| member == id || at == addr)
        };
        self.former.retain(|id, (addr, _)| !replaced(id, addr));
        let excess = self.former.len().saturating_sub(FORMER_MAX);
        self.former.drain(..excess);
        self.members = current;
    }

    /// Addresses to which an instance outside its group introduces itself.
    pub fn candidates(&self) -> IndexSet<SocketAddr> {
        let members = self.members.iter().map(|(_, addr)| addr);
        self.seeds.iter().chain(members).chain(&self.referred).copied().collect()
    }

    /// Addresses to which this instance was referred.
    pub fn referred(&self) -> impl Iterator<Item = SocketAddr> {
        self.referred.iter().copied()
    }

    /// Addresses of members that were removed within [`FORMER_KEEP_MS`].
    pub fn former(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        self.former.retain(|_, (_, removed_ms)| now_ms < *removed_ms + FORMER_KEEP_MS);
        self.former.values().map(|(addr, _)| *addr).collect()
    }
}
