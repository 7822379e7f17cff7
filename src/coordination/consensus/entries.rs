//! The log in memory: the entries after a base, and the members that they name.

use crate::protocol::wire::peer::{Entry, Member, Meta, Payload};

/// Entries without gaps after a base position.
#[derive(Debug)]
pub(super) struct Entries {
    base: (u64, u64),
    entries: Vec<Entry>,
    /// Members by the index from which on they hold; never empty.
    members: Vec<(u64, Vec<Member>)>,
}

impl Entries {
    pub fn new(meta: Meta, entries: Vec<Entry>) -> Entries {
        let mut log = Entries {
            base: (meta.index, meta.term),
            entries: Vec::with_capacity(entries.len()),
            members: vec![(meta.index, meta.members)],
        };
        log.append(entries);
        log
    }

    /// Index before the first entry.
    pub fn base(&self) -> u64 {
        self.base.0
    }

    pub fn last(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base.1, |e| e.term)
    }

    /// Term of the entry at `index`, also at the base.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(at as usize)
    }

    /// Entries from `from` on, up to and without `to`.
    pub fn range(&self, from: u64, to: u64) -> &[Entry] {
        let at =
            |index: u64| (index.saturating_sub(self.base.0 + 1) as usize).min(self.entries.len());
        &self.entries[at(from)..at(to).max(at(from))]
    }

    pub fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            debug_assert_eq!(entry.index, self.last() + 1);
            if let Payload::Members(members) = &entry.payload {
                self.members.push((entry.index, members.clone()));
            }
            self.entries.push(entry);
        }
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        self.entries.truncate((index - self.base.0 - 1) as usize);
        self.members.retain(|(at, _)| *at < index);
    }

    /// Forgets the entries up to `index`.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.base.0) as usize);
        self.base = (index, term);
        let current = self.members.iter().rposition(|(at, _)| *at <= index).unwrap_or(0);
        self.members.drain(..current);
    }

    /// The newest members, committed or not.
    pub fn members(&self) -> &[Member] {
        &self.members.last().expect("never empty").1
    }

    /// Index of the entry that names the newest members.
    pub fn members_index(&self) -> u64 {
        self.members.last().expect("never empty").0
    }

    /// The members as of `index`.
    pub fn members_at(&self, index: u64) -> &[Member] {
        let found = self.members.iter().rev().find(|(at, _)| *at <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// The last position up to `index` whose term is at most `term`.
    pub fn find(&self, index: u64, term: u64) -> (u64, u64) {
        let mut index = index.min(self.last());
        while index > self.base.0 {
            let found = self.term(index).expect("between base and last");
            if found <= term {
                return (index, found);
            }
            index -= 1;
        }
        self.base
    }
}
