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
pub const SUCCESSOR_MS: Millis = 2_000;

/// Backend servers known to one leader in one term.
#[derive(Debug)]
pub struct Table {
    term: u64,
    since: Millis,
    /// Number of the newest change; 0 is never used for a complete list.
    number: u64,
    members: IndexMap<id::Incarnation, Held>,
    at: IndexMap<SocketAddr, id::Incarnation>,
    /// Changes in order, each with the incarnation that was added, altered or removed.
    changes: VecDeque<(u64, id::Incarnation)>,
    replaced: IndexMap<id::Incarnation, Millis>,
}

#[derive(Debug)]
struct Held {
    /// As announced, but `Draining` also if a rule drains it.
    member: control::Member,
    announced: control::MemberState,
    seen: Millis,
}

impl Table {
    /// An empty table of a leader whose term begins at `now`.
    pub fn new(now: Millis, term: u64) -> Table {
        Table {
            term,
            since: now,
            number: 1,
            members: IndexMap::new(),
            at: IndexMap::new(),
            changes: VecDeque::new(),
            replaced: IndexMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub fn members(&self) -> impl Iterator<Item = &control::Member> {
        self.members.values().map(|h| &h.member)
    }

    /// Takes an announcement, which renews the lease. `drained` tells whether a rule drains it.
    pub fn announce(&mut self, now: Millis, member: &control::Member, drained: bool) {
        if self.superseded(now, member) {
            return;
        }
        self.replaced.swap_remove(&member.incarnation);
        self.replace(now, member);
        let shown = shown(member, member.state, drained);
        let known = self.members.get_mut(&member.incarnation);
        let altered = known.as_ref().is_none_or(|h| h.member != shown);
        match known {
            Some(held) => {
                held.seen = now;
                held.announced = member.state;
                held.member = shown;
            }
            None => {
                let held = Held { member: shown, announced: member.state, seen: now };
                self.members.insert(member.incarnation, held);
            }
        }
        if altered {
            self.log(member.incarnation);
        }
    }

    /// Whether this is a delayed announcement of an incarnation that has been replaced.
    fn superseded(&self, now: Millis, member: &control::Member) -> bool {
        let successor = self.at.get(&member.addr).filter(|i| **i != member.incarnation);
        let successor = successor.and_then(|i| self.members.get(i));
        self.replaced.contains_key(&member.incarnation)
            && successor.is_some_and(|h| now.saturating_sub(h.seen) <= SUCCESSOR_MS)
    }

    /// Removes whatever incarnation was at the announced address before.
    fn replace(&mut self, now: Millis, member: &control::Member) {
        let old = self.at.insert(member.addr, member.incarnation);
        if let Some(old) = old.filter(|old| *old != member.incarnation) {
            self.members.swap_remove(&old);
            self.replaced.insert(old, now);
            self.log(old);
        }
        let moved = self.members.get(&member.incarnation).map(|h| h.member.addr);
        if let Some(addr) = moved.filter(|addr| *addr != member.addr) {
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
    pub fn drain(&mut self, drained: impl Fn(&control::Member) -> bool) {
        let mut altered = Vec::new();
        for (incarnation, held) in &mut self.members {
            let shown = shown(&held.member, held.announced, drained(&held.member));
            if shown != held.member {
                held.member = shown;
                altered.push(*incarnation);
            }
        }
        for incarnation in altered {
            self.log(incarnation);
        }
    }

    /// Drops members whose lease has lapsed. Returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<control::Member> {
        self.replaced.retain(|_, at| now.saturating_sub(*at) < REPLACED_MS);
        let lapsed: Vec<id::Incarnation> = self
            .members
            .iter()
            .filter(|(_, h)| now.saturating_sub(h.seen) > LEASE_MS)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        let mut gone = Vec::with_capacity(lapsed.len());
        for incarnation in lapsed {
            if let Some(held) = self.members.swap_remove(&incarnation) {
                self.at.swap_remove(&held.member.addr);
                gone.push(held.member);
            }
            self.log(incarnation);
        }
        gone
    }

    /// Gives every member a whole lease from `now`, after a time in which this process could not
    /// take announcements.
    pub fn forgive(&mut self, now: Millis) {
        self.members.values_mut().for_each(|h| h.seen = now);
    }

    /// What has changed since `held`.
    ///
    /// In the first lease of a term the table is still filling up: entries keep what they hold,
    /// get what is known, and are sent the full list afterwards.
    pub fn since(&self, now: Millis, held: Option<control::Revision>) -> control::Members {
        if now.saturating_sub(self.since) <= LEASE_MS {
            return control::Members {
                revision: control::Revision { term: self.term, number: 0 },
                full: false,
                changed: self.members().cloned().collect(),
                removed: Vec::new(),
            };
        }
        let revision = control::Revision { term: self.term, number: self.number };
        let oldest = self.changes.front().map_or(self.number, |(number, _)| number - 1);
        let held = held
            .filter(|r| r.term == self.term && (oldest.max(1)..=self.number).contains(&r.number));
        let Some(held) = held else {
            let changed = self.members().cloned().collect();
            return control::Members { revision, full: true, changed, removed: Vec::new() };
        };
        let newer = self.changes.iter().rev().take_while(|(number, _)| *number > held.number);
        let touched: HashSet<id::Incarnation> = newer.map(|(_, i)| *i).collect();
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for incarnation in touched {
            match self.members.get(&incarnation) {
                Some(held) => changed.push(held.member.clone()),
                None => removed.push(incarnation),
            }
        }
        control::Members { revision, full: false, changed, removed }
    }
}

fn shown(
    member: &control::Member,
    announced: control::MemberState,
    drained: bool,
) -> control::Member {
    let state = if drained { control::MemberState::Draining } else { announced };
    control::Member { state, ..member.clone() }
}
