//! Taking over the leader's log.

use super::{Body, Entry, Id, Instance, entries::Entries};
use crate::state::snapshot::Snapshot;

impl Instance {
    pub(super) fn appended_by_leader(
        &mut self,
        from: Id,
        seq: u64,
        (prev, prev_term): (u64, u64),
        mut entries: Vec<Entry>,
        commit: u64,
    ) {
        let base = self.log.base();
        let end = prev + entries.len() as u64;
        if prev < base {
            // What lies at or below the base is committed and thus the same in both logs.
            entries.retain(|entry| entry.index > base);
        } else if self.log.term(prev) != Some(prev_term) {
            let (hint, hint_term) = self.log.find(prev, prev_term);
            return self.reject(from, seq, hint, hint_term);
        }
        let heartbeat = entries.is_empty();
        if let Some(at) = entries.iter().position(|e| self.log.term(e.index) != Some(e.term)) {
            let tail = entries.split_off(at);
            if !self.replace_from(tail) {
                return;
            }
        }
        let matched = end.max(base);
        self.commit = self.commit.max(commit.min(matched));
        let stored = matched <= self.durable || heartbeat;
        if stored && self.durable_hard_state == self.hard_state {
            self.send(from, Body::Appended { seq, matched: matched.min(self.durable) });
        } else {
            self.promise(from, Body::Appended { seq, matched });
        }
    }

    /// Puts `tail` in the place of all entries from its first index on.
    fn replace_from(&mut self, tail: Vec<Entry>) -> bool {
        let first = tail[0].index;
        if first <= self.commit {
            // Only a leader that has lost acknowledged entries asks for this.
            return false;
        }
        if first <= self.log.last() {
            self.log.truncate(first);
            self.durable = self.durable.min(first - 1);
            self.unsaved = self.unsaved.min(first);
        }
        self.log.append(tail);
        true
    }

    pub(super) fn reject(&mut self, to: Id, seq: u64, hint: u64, hint_term: u64) {
        let last = self.log.last();
        self.send(to, Body::Rejected { seq, hint, hint_term, last });
    }

    pub(super) fn install(&mut self, from: Id, seq: u64, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        if index > self.commit {
            if self.log.term(index) == Some(snapshot.meta.term) {
                self.commit = index;
            } else {
                self.log = Entries::new(snapshot.meta.clone(), Vec::new());
                self.commit = index;
                self.applied = index;
                self.durable = 0;
                self.unsaved = index + 1;
                self.install = Some(snapshot);
            }
        }
        self.promise(from, Body::Appended { seq, matched: index });
    }
}
