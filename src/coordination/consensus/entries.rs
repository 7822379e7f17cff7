//! The in-memory part of the log: the entries after a base position, and the members at each index.

use crate::protocol::wire::peer::{Entry, Member, Payload, SnapshotMeta};

/// Consecutive entries after a base position.
#[derive(Debug)]
pub(super) struct Entries {
    /// Index and term of the entry before the first one in memory.
    base: (u64, u64),
    entries: Vec<Entry>,
    /// Member lists, each with the index from which it is in force; never empty.
    members: Vec<(u64, Vec<Member>)>,
}

impl Entries {
    pub fn new(meta: SnapshotMeta, entries: Vec<Entry>) -> Entries {
        let mut log = Entries {
            base: (meta.index, meta.term),
            entries: Vec::with_capacity(entries.len()),
            members: vec![(meta.index, meta.members)],
        };
        log.append(entries);
        log
    }

    /// Index of the entry before the first one in memory.
    pub fn base(&self) -> u64 {
        self.base.0
    }

    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base.1, |e| e.term)
    }

    /// Term of the entry at `index`, which may be the base; `None` if it is not in memory.
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

    /// Entries with an index from `from` up to but not including `to`.
    pub fn range(&self, from: u64, to: u64) -> &[Entry] {
        let at =
            |index: u64| (index.saturating_sub(self.base.0 + 1) as usize).min(self.entries.len());
        &self.entries[at(from)..at(to).max(at(from))]
    }

    pub fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            debug_assert_eq!(entry.index, self.last_index() + 1);
            if let Payload::Members(members) = &entry.payload {
                self.members.push((entry.index, members.clone()));
            }
            self.entries.push(entry);
        }
    }

    /// Removes the entries from `index` to the end.
    pub fn truncate(&mut self, index: u64) {
        self.entries.truncate((index - self.base.0 - 1) as usize);
        self.members.retain(|(at, _)| *at < index);
    }

    /// Returns the index up to which entries may be dropped, so that of those up to `index` at most
    /// `count` with at most `bytes` of content are kept.
    pub fn excess(&self, index: u64, count: u64, bytes: usize) -> u64 {
        let mut kept_bytes = 0;
        let kept = self.range(self.base.0 + 1, index + 1).iter().rev().take_while(|entry| {
            kept_bytes += entry.bytes();
            kept_bytes <= bytes
        });
        index.saturating_sub(count.min(kept.count() as u64))
    }

    /// Drops the entries up to `index`, which becomes the base.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.base.0) as usize);
        self.base = (index, term);
        let current = self.members.iter().rposition(|(at, _)| *at <= index).unwrap_or(0);
        self.members.drain(..current);
    }

    /// Members by the latest membership entry, committed or not.
    pub fn members(&self) -> &[Member] {
        &self.members.last().expect("never empty").1
    }

    /// The member lists since the base, each with its index, the latest last.
    pub fn member_lists(&self) -> impl Iterator<Item = (u64, &[Member])> {
        self.members.iter().map(|(index, members)| (*index, members.as_slice()))
    }

    /// Index of the latest membership entry.
    pub fn members_index(&self) -> u64 {
        self.members.last().expect("never empty").0
    }

    /// Members by the latest membership entry up to `index`.
    pub fn members_at(&self, index: u64) -> &[Member] {
        &self.members_entry_at(index).1
    }

    /// The latest membership entry up to `index`, with its own index.
    pub fn members_entry_at(&self, index: u64) -> &(u64, Vec<Member>) {
        let found = self.members.iter().rev().find(|(at, _)| *at <= index);
        found.unwrap_or(&self.members[0])
    }

    /// Index and term of the last entry up to `index` whose term is at most `term`; the base if
    /// there is none.
    pub fn find(&self, index: u64, term: u64) -> (u64, u64) {
        let mut index = index.min(self.last_index());
        while index > self.base.0 {
            let found = self.term(index).expect("between base and last index");
            if found <= term {
                return (index, found);
            }
            index -= 1;
        }
        self.base
    }
}
