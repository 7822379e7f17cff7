//! The leased list of backend servers, with a bounded log of its changes.

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddr,
};

use indexmap::IndexMap;

use crate::protocol::{id, wire::control};

/// A point in time, in ms since the process started.
pub type Millis = u64;

/// Length of every lease: backend servers, sidecars and entry sessions, in ms.
pub const LEASE_MS: Millis = 3_000;
/// Changes kept for deltas: twice the backend servers at target size, so that the replacement of
/// a whole data centre does not force full lists.
pub const CHANGES_MAX: usize = 8_192;
/// How long a replaced incarnation is remembered, in ms.
const REPLACED_MS: Millis = 60_000;
/// Age of its successor's last announcement, in ms, up to which a replaced incarnation is taken
/// for a delayed message. Sidecars announce once a second, so a successor that is older than this
/// may itself have been the delayed one.
pub const SUCCESSOR_AGE_MAX_MS: Millis = 2_000;

/// Backend servers known to one leader in one term.
#[derive(Debug)]
pub struct Registry {
    term: u64,
    since: Millis,
    /// Number of the newest change; 0 is never used for a complete list.
    number: u64,
    servers: IndexMap<id::Incarnation, Held>,
    at: IndexMap<SocketAddr, id::Incarnation>,
    /// Changes in order, each with the incarnation that was added, altered or removed.
    changes: VecDeque<(u64, id::Incarnation)>,
    replaced: IndexMap<id::Incarnation, Millis>,
}

#[derive(Debug)]
struct Held {
    /// As announced, but `Draining` also if a rule drains it.
    server: control::Server,
    announced: control::ServerState,
    seen: Millis,
}

impl Registry {
    /// An empty table of a leader whose term begins at `now`.
    pub fn new(now: Millis, term: u64) -> Registry {
        Registry {
            term,
            since: now,
            number: 1,
            servers: IndexMap::new(),
            at: IndexMap::new(),
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
        self.servers.values().map(|h| &h.server)
    }

    /// Takes an announcement, which renews the lease. `drained` tells whether a rule drains it.
    pub fn announce(&mut self, now: Millis, server: &control::Server, drained: bool) {
        if self.superseded(now, server) {
            return;
        }
        self.replaced.swap_remove(&server.incarnation);
        self.replace(now, server);
        let shown = shown(server, server.state, drained);
        let known = self.servers.get_mut(&server.incarnation);
        let altered = known.as_ref().is_none_or(|h| h.server != shown);
        match known {
            Some(held) => {
                held.seen = now;
                held.announced = server.state;
                held.server = shown;
            }
            None => {
                let held = Held { server: shown, announced: server.state, seen: now };
                self.servers.insert(server.incarnation, held);
            }
        }
        if altered {
            self.log(server.incarnation);
        }
    }

    /// Whether this is a delayed announcement of an incarnation that has been replaced.
    fn superseded(&self, now: Millis, server: &control::Server) -> bool {
        let successor = self.at.get(&server.addr).filter(|i| **i != server.incarnation);
        let successor = successor.and_then(|i| self.servers.get(i));
        self.replaced.contains_key(&server.incarnation)
            && successor.is_some_and(|h| now.saturating_sub(h.seen) <= SUCCESSOR_AGE_MAX_MS)
    }

    /// Removes whatever incarnation was at the announced address before.
    fn replace(&mut self, now: Millis, server: &control::Server) {
        let old = self.at.insert(server.addr, server.incarnation);
        if let Some(old) = old.filter(|old| *old != server.incarnation) {
            self.servers.swap_remove(&old);
            self.replaced.insert(old, now);
            self.log(old);
        }
        let moved = self.servers.get(&server.incarnation).map(|h| h.server.addr);
        if let Some(addr) = moved.filter(|addr| *addr != server.addr) {
            self.at.swap_remove(&addr);
        }
    }

    fn log(&mut self, incarnation: id::Incarnation) {
        self.number += 1;
        self.changes.push_back((self.number, incarnation));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }

    /// Applies a change of the rules.
    pub fn drain(&mut self, drained: impl Fn(&control::Server) -> bool) {
        let mut altered = Vec::new();
        for (incarnation, held) in &mut self.servers {
            let shown = shown(&held.server, held.announced, drained(&held.server));
            if shown != held.server {
                held.server = shown;
                altered.push(*incarnation);
            }
        }
        for incarnation in altered {
            self.log(incarnation);
        }
    }

    /// Drops servers whose lease has lapsed. Returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<control::Server> {
        self.replaced.retain(|_, at| now.saturating_sub(*at) < REPLACED_MS);
        let lapsed: Vec<id::Incarnation> = self
            .servers
            .iter()
            .filter(|(_, h)| now.saturating_sub(h.seen) > LEASE_MS)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        let mut gone = Vec::with_capacity(lapsed.len());
        for incarnation in lapsed {
            if let Some(held) = self.servers.swap_remove(&incarnation) {
                self.at.swap_remove(&held.server.addr);
                gone.push(held.server);
            }
            self.log(incarnation);
        }
        gone
    }

    /// Gives every server a whole lease from `now`, after a time in which this process could not
    /// take announcements.
    pub fn renew_all(&mut self, now: Millis) {
        self.servers.values_mut().for_each(|h| h.seen = now);
    }

    /// What has changed since `held`.
    ///
    /// In the first lease of a term the registry is still filling up: entries keep what they hold,
    /// get what is known, and are sent the full list afterwards.
    pub fn changes_since(&self, now: Millis, held: Option<control::Revision>) -> control::Servers {
        if now.saturating_sub(self.since) <= LEASE_MS {
            return control::Servers {
                revision: control::Revision { term: self.term, number: 0 },
                full: false,
                changed: self.servers().cloned().collect(),
                removed: Vec::new(),
            };
        }
        let revision = control::Revision { term: self.term, number: self.number };
        let oldest = self.changes.front().map_or(self.number, |(number, _)| number - 1);
        let held = held
            .filter(|r| r.term == self.term && (oldest.max(1)..=self.number).contains(&r.number));
        let Some(held) = held else {
            let changed = self.servers().cloned().collect();
            return control::Servers { revision, full: true, changed, removed: Vec::new() };
        };
        let newer = self.changes.iter().rev().take_while(|(number, _)| *number > held.number);
        let touched: HashSet<id::Incarnation> = newer.map(|(_, i)| *i).collect();
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for incarnation in touched {
            match self.servers.get(&incarnation) {
                Some(held) => changed.push(held.server.clone()),
                None => removed.push(incarnation),
            }
        }
        control::Servers { revision, full: false, changed, removed }
    }
}

fn shown(
    server: &control::Server,
    announced: control::ServerState,
    drained: bool,
) -> control::Server {
    let state = if drained { control::ServerState::Draining } else { announced };
    control::Server { state, ..server.clone() }
}
