//! Where a control instance looks for its group: the addresses that its settings name, and those that
//! others referred it to.

use std::net::SocketAddr;

use indexmap::IndexSet;

use crate::protocol::wire::peer::{Member, Standing};

/// Number of addresses that are kept of those that others referred this instance to. The oldest make
/// room for new ones.
const REFERRED_MAX: usize = 32;
/// Addresses of other control instances.
#[derive(Debug, Default)]
pub struct Book {
    seeds: Vec<SocketAddr>,
    /// Addresses that trusted instances named as those of members.
    referred: IndexSet<SocketAddr>,
    members: Vec<SocketAddr>,
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

    /// Notes the members by the latest membership entry.
    pub fn update_members(&mut self, members: &[Member]) {
        self.members = members.iter().map(|m| m.peer).collect();
    }

    /// Addresses to which an instance outside its group introduces itself.
    pub fn candidates(&self) -> IndexSet<SocketAddr> {
        self.seeds.iter().chain(&self.members).chain(&self.referred).copied().collect()
    }

    /// Addresses to which this instance was referred.
    pub fn referred(&self) -> impl Iterator<Item = SocketAddr> {
        self.referred.iter().copied()
    }
}
