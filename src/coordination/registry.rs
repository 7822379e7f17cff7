//! Leased registrations of backend servers, with a bounded log of changes to their list.

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddr,
};

use indexmap::IndexMap;

use crate::protocol::{id, wire::control};

/// A time in ms. Points in time count from the start of the process.
pub type Millis = u64;

/// Length of the leases of backend servers, sidecars and entry sessions, in ms.
pub const LEASE_MS: Millis = 3_000;
/// Maximum number of changes kept for deltas: twice the number of backend servers at target size, so that the
/// replacement of a whole data centre does not force full lists.
pub const CHANGES_MAX: usize = 8_192;
/// How long a replaced incarnation is remembered, in ms.
const REPLACED_MS: Millis = 60_000;
/// Time in ms after an announcement of a successor for which announcements of the incarnation that
/// it replaced are ignored as delayed messages. Sidecars announce once a second. If the successor
/// has not announced itself for longer, its own last announcement may have been the delayed
/// message, so the replaced incarnation is accepted again.
pub const SUCCESSOR_TRUSTED_MS: Millis = 2_000;

/// Backend servers known to one leader in one term.
#[derive(Debug)]
pub struct Registry {
    term: u64,
    term_start: Millis,
    /// Number of the newest change. It starts at 1, because a revision with number 0 stands for an
    /// incomplete list.
    number: u64,
    servers: IndexMap<id::Incarnation, Registration>,
    by_addr: IndexMap<SocketAddr, id::Incarnation>,
    /// Changes in order, each with the incarnation that was added, altered or removed.
    changes: VecDeque<(u64, id::Incarnation)>,
    /// Replaced incarnations, with the time of their replacement.
    replaced: IndexMap<id::Incarnation, Millis>,
}

#[derive(Debug)]
struct Registration {
    /// The server as announced, but its state is also `Draining` if a rule drains it.
    server: control::Server,
    announced_state: control::ServerState,
    renewed_at: Millis,
}

impl Registry {
    /// Returns the empty registry of a leader whose term begins at `now`.
    pub fn new(now: Millis, term: u64) -> Registry {
        Registry {
            term,
            term_start: now,
            number: 1,
            servers: IndexMap::new(),
            by_addr: IndexMap::new(),
            changes: VecDeque::new(),
            replaced: IndexMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub fn servers(&self) -> impl Iterator<Item = &control::Server> {
        self.servers.values().map(|registration| &registration.server)
    }

    /// Records an announcement, which renews the server's lease. `drained` says whether a rule
    /// drains the server.
    pub fn announce(&mut self, now: Millis, server: &control::Server, drained: bool) {
        if self.is_superseded(now, server) {
            return;
        }
        self.replaced.swap_remove(&server.incarnation);
        self.claim_address(now, server);
        let effective = with_effective_state(server, server.state, drained);
        let known = self.servers.get_mut(&server.incarnation);
        let altered = known.as_ref().is_none_or(|registration| registration.server != effective);
        match known {
            Some(registration) => {
                registration.renewed_at = now;
                registration.announced_state = server.state;
                registration.server = effective;
            }
            None => {
                let registration = Registration {
                    server: effective,
                    announced_state: server.state,
                    renewed_at: now,
                };
                self.servers.insert(server.incarnation, registration);
            }
        }
        if altered {
            self.log_change(server.incarnation);
        }
    }

    /// Whether the announcement is a delayed one, of an incarnation that has been replaced.
    fn is_superseded(&self, now: Millis, server: &control::Server) -> bool {
        let successor = self.by_addr.get(&server.addr).filter(|i| **i != server.incarnation);
        let successor = successor.and_then(|i| self.servers.get(i));
        self.replaced.contains_key(&server.incarnation)
            && successor.is_some_and(|s| now.saturating_sub(s.renewed_at) <= SUCCESSOR_TRUSTED_MS)
    }

    /// Moves the announced address to this incarnation and removes the one that had it before.
    fn claim_address(&mut self, now: Millis, server: &control::Server) {
        let old = self.by_addr.insert(server.addr, server.incarnation);
        if let Some(old) = old.filter(|old| *old != server.incarnation) {
            self.servers.swap_remove(&old);
            self.replaced.insert(old, now);
            self.log_change(old);
        }
        let earlier = self.servers.get(&server.incarnation).map(|r| r.server.addr);
        if let Some(addr) = earlier.filter(|addr| *addr != server.addr) {
            self.by_addr.swap_remove(&addr);
        }
    }

    fn log_change(&mut self, incarnation: id::Incarnation) {
        self.number += 1;
        self.changes.push_back((self.number, incarnation));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }

    /// Applies changed rules to all servers. `drained` says whether the rules drain a server; one
    /// that they no longer drain gets its announced state back.
    pub fn update_drained(&mut self, drained: impl Fn(&control::Server) -> bool) {
        let mut altered = Vec::new();
        for (incarnation, registration) in &mut self.servers {
            let effective = with_effective_state(
                &registration.server,
                registration.announced_state,
                drained(&registration.server),
            );
            if effective != registration.server {
                registration.server = effective;
                altered.push(*incarnation);
            }
        }
        for incarnation in altered {
            self.log_change(incarnation);
        }
    }

    /// Removes the servers whose leases have lapsed and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<control::Server> {
        self.replaced.retain(|_, at| now.saturating_sub(*at) < REPLACED_MS);
        let lapsed: Vec<id::Incarnation> = self
            .servers
            .iter()
            .filter(|(_, registration)| now.saturating_sub(registration.renewed_at) > LEASE_MS)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        let mut removed = Vec::with_capacity(lapsed.len());
        for incarnation in lapsed {
            if let Some(registration) = self.servers.swap_remove(&incarnation) {
                self.by_addr.swap_remove(&registration.server.addr);
                removed.push(registration.server);
            }
            self.log_change(incarnation);
        }
        removed
    }

    /// Renews the leases of all servers, after a time in which this process could not receive
    /// announcements.
    pub fn renew_all(&mut self, now: Millis) {
        self.servers.values_mut().for_each(|registration| registration.renewed_at = now);
    }

    /// Returns the changes since the revision `known` that an entry has. Returns the full list if
    /// the entry has none, or one from which the kept changes do not lead to the newest list.
    ///
    /// During the first lease of a term not all servers have announced themselves yet. Entries then
    /// keep their lists, are sent the servers known so far in addition, and get the full list
    /// afterwards.
    pub fn changes_since(&self, now: Millis, known: Option<control::Revision>) -> control::Servers {
        if now.saturating_sub(self.term_start) <= LEASE_MS {
            return control::Servers {
                revision: control::Revision { term: self.term, number: 0 },
                full: false,
                changed: self.servers().cloned().collect(),
                removed: Vec::new(),
            };
        }
        let revision = control::Revision { term: self.term, number: self.number };
        // The kept changes lead from this number to the newest one. A list with number 0 is
        // incomplete, so no changes can complete it.
        let first = self.changes.front().map_or(self.number, |(number, _)| number - 1);
        let known = known
            .filter(|r| r.term == self.term && (first.max(1)..=self.number).contains(&r.number));
        let Some(known) = known else {
            let changed = self.servers().cloned().collect();
            return control::Servers { revision, full: true, changed, removed: Vec::new() };
        };
        let newer = self.changes.iter().rev().take_while(|(number, _)| *number > known.number);
        let touched: HashSet<id::Incarnation> = newer.map(|(_, i)| *i).collect();
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for incarnation in touched {
            match self.servers.get(&incarnation) {
                Some(registration) => changed.push(registration.server.clone()),
                None => removed.push(incarnation),
            }
        }
        control::Servers { revision, full: false, changed, removed }
    }
}

/// Returns the server with its announced state, or with `Draining` if a rule drains it.
fn with_effective_state(
    server: &control::Server,
    announced: control::ServerState,
    drained: bool,
) -> control::Server {
    let state = if drained { control::ServerState::Draining } else { announced };
    control::Server { state, ..server.clone() }
}
