//! The follower's side: storing the entries and snapshots of the leader.

use super::{Body, Entry, Id, Instance, entries::Entries};
use crate::state::snapshot::Snapshot;

impl Instance {
    pub(super) fn handle_append(
        &mut self,
        from: Id,
        seq: u64,
        (prev_index, prev_term): (u64, u64),
        mut entries: Vec<Entry>,
        commit_index: u64,
    ) {
        let base = self.log.base();
        let end = prev_index + entries.len() as u64;
        if prev_index < base {
            // Entries up to the base are committed and therefore the same in both logs.
            entries.retain(|entry| entry.index > base);
        } else if self.log.term(prev_index) != Some(prev_term) {
            let (hint_index, hint_term) = self.log.find(prev_index, prev_term);
            return self.reject(from, seq, hint_index, hint_term);
        }
        let heartbeat = entries.is_empty();
        if let Some(at) = entries.iter().position(|e| self.log.term(e.index) != Some(e.term)) {
            let tail = entries.split_off(at);
            if !self.replace_from(tail) {
                return;
            }
        }
        let match_index = end.max(base);
        self.commit_index = self.commit_index.max(commit_index.min(match_index));
        // A heartbeat does not wait for entries to become durable: it acknowledges those that are.
        // Every acknowledgement waits until the hard state is durable.
        let need_not_await_entries = match_index <= self.durable_index || heartbeat;
        if need_not_await_entries && self.durable_hard_state == self.hard_state {
            self.send(
                from,
                Body::Appended { seq, match_index: match_index.min(self.durable_index) },
            );
        } else {
            self.send_after_save(from, Body::Appended { seq, match_index });
        }
    }

    /// Replaces all entries from the first index of `tail` on by `tail`. Returns whether it did.
    fn replace_from(&mut self, tail: Vec<Entry>) -> bool {
        let first = tail[0].index;
        if first <= self.commit_index {
            // Committed entries never change: the leader has lost entries that it acknowledged.
            return false;
        }
        if first <= self.log.last_index() {
            self.log.truncate(first);
            self.durable_index = self.durable_index.min(first - 1);
            self.first_unsaved = self.first_unsaved.min(first);
        }
        self.log.append(tail);
        true
    }

    pub(super) fn reject(&mut self, to: Id, seq: u64, hint_index: u64, hint_term: u64) {
        let last_index = self.log.last_index();
        self.send(to, Body::Rejected { seq, hint_index, hint_term, last_index });
    }

    pub(super) fn handle_snapshot(&mut self, from: Id, seq: u64, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        if index > self.commit_index {
            if self.log.term(index) == Some(snapshot.meta.term) {
                self.commit_index = index;
            } else {
                self.log = Entries::new(snapshot.meta.clone(), Vec::new());
                self.commit_index = index;
                self.delivered_index = index;
                self.durable_index = 0;
                self.first_unsaved = index + 1;
                self.install = Some(snapshot);
            }
        }
        self.send_after_save(from, Body::Appended { seq, match_index: index });
    }
}
