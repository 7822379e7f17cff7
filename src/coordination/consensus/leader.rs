//! The leader's side: replication, commit index, read barriers and leadership transfer.

use super::{Body, Entry, Id, Instance, Payload, Refusal, Role, SnapshotMeta};

/// Limit for the bytes of commands in one append message.
const APPEND_MAX_BYTES: usize = 256 * 1024;
/// Number of entries that may be sent to a follower before it acknowledges them.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4096;
/// Number of maximal election timeouts after which an unacknowledged snapshot is sent again.
const SNAPSHOT_TIMEOUTS: u64 = 20;

/// Replication state of another member as the leader knows it.
#[derive(Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    next_index: u64,
    /// Up to this index the member's log equals the leader's and is durable.
    pub match_index: u64,
    /// Leader's sequence number when `match_index` was last raised; messages with higher numbers
    /// were sent after that.
    match_seq: u64,
    stage: Stage,
    last_reply_at: u64,
    /// Highest sequence number to which the member has replied.
    last_reply_seq: u64,
    /// A rejection of a message with a lower sequence number does not move `next_index`, and an
    /// acknowledgement of one does not end a probe: those messages were sent before a rejection
    /// moved `next_index` back.
    min_probe_seq: u64,
    /// The member no longer holds entries that it acknowledged, so it counts neither for commits
    /// nor for barriers. Only the leader that received the acknowledgements can detect this: a
    /// data directory that is replaced by an older copy while there is no leader goes unnoticed.
    lost_entries: bool,
}

#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// The point up to which the logs agree is unknown. `awaiting_reply` is set once a message to
    /// find it has been sent.
    Probe { awaiting_reply: bool },
    /// Entries are sent without waiting for replies.
    Replicate,
    /// A snapshot was requested from the caller at `since`, in the message with number `seq`.
    Snapshot { since: u64, seq: u64 },
}

impl Progress {
    fn new(next_index: u64, now: u64) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            match_seq: 0,
            stage: Stage::Probe { awaiting_reply: false },
            last_reply_at: now,
            last_reply_seq: 0,
            min_probe_seq: 0,
            lost_entries: false,
        }
    }
}

impl Instance {
    pub(super) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.applicants.clear();
        self.leaving.clear();
        self.progress.clear();
        self.heartbeat_at = self.now;
        // Entries of earlier terms can be committed only together with one of this term.
        self.append(Payload::Empty);
        self.track_members();
        self.advance_commit();
    }

    /// Makes `progress` match the current members.
    pub(super) fn track_members(&mut self) {
        let others: Vec<Id> =
            self.log.members().iter().map(|m| m.id).filter(|id| *id != self.id).collect();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            let next_index = self.log.last_index().max(1);
            self.progress.entry(id).or_insert_with(|| Progress::new(next_index, self.now));
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.is_majority(|id| self.is_responsive(id)) {
            return self.become_follower(self.hard_state.term, None);
        }
        if self.transfer.is_some_and(|(_, end)| self.now >= end) {
            self.transfer = None;
        }
        self.maintain_members();
    }

    /// Whether a member has replied within the maximal election timeout. When a leader is elected
    /// or a member is added, the member counts as if it had just replied. True for this instance
    /// itself, and false for a member that has lost entries that it acknowledged.
    pub fn is_responsive(&self, id: &Id) -> bool {
        let limit = self.timing.election_max_ms;
        *id == self.id
            || self
                .progress
                .get(id)
                .is_some_and(|p| !p.lost_entries && self.now < p.last_reply_at + limit)
    }

    /// Sends members the entries or snapshots that they lack. Every member gets a message if a
    /// heartbeat is due or a new barrier needs replies.
    pub(super) fn replicate(&mut self) {
        let due = self.now >= self.heartbeat_at;
        let force = due || self.barriers.iter().any(|barrier| barrier.seq > self.last_round_seq);
        if due {
            self.heartbeat_at = self.now + self.timing.heartbeat_ms;
        }
        let ids: Vec<Id> = self.progress.keys().copied().collect();
        for id in ids {
            let Some(mut progress) = self.progress.remove(&id) else { continue };
            self.replicate_to(id, &mut progress, force);
            self.progress.insert(id, progress);
        }
        if force {
            self.last_round_seq = self.seq;
        }
        if let Some((target, _)) = self.transfer
            && due
            && self.progress.get(&target).is_some_and(|p| p.match_index == self.log.last_index())
        {
            self.send(target, Body::Campaign);
        }
    }

    fn replicate_to(&mut self, id: Id, progress: &mut Progress, force: bool) {
        if progress.lost_entries {
            if force {
                self.send(id, Body::RenewDiskId);
            }
            return;
        }
        let limit = SNAPSHOT_TIMEOUTS * self.timing.election_max_ms;
        match progress.stage {
            Stage::Snapshot { since, .. } if self.now < since + limit => {
                return self.send_bare_heartbeat(id, force);
            }
            // A member that does not reply, as while its disk is full, cannot store a snapshot.
            Stage::Probe { awaiting_reply: true } if progress.next_index <= self.log.base() => {
                return self.send_bare_heartbeat(id, force);
            }
            _ if progress.next_index <= self.log.base() => return self.send_snapshot(id, progress),
            Stage::Snapshot { .. } => progress.stage = Stage::Probe { awaiting_reply: false },
            _ => {}
        }
        let mut sent = false;
        if progress.stage == Stage::Replicate {
            while progress.next_index <= self.log.last_index()
                && progress.next_index <= progress.match_index + MAX_IN_FLIGHT_ENTRIES
            {
                let entries = self.next_batch(progress.next_index);
                let prev_index = progress.next_index - 1;
                progress.next_index += entries.len() as u64;
                self.send_append(id, prev_index, self.term_at(prev_index), entries);
                sent = true;
            }
        }
        let probe_due = progress.stage == Stage::Probe { awaiting_reply: false };
        if !sent && (force || probe_due) {
            let prev_index = progress.next_index - 1;
            self.send_append(id, prev_index, self.term_at(prev_index), Vec::new());
        }
        if probe_due {
            progress.stage = Stage::Probe { awaiting_reply: true };
        }
    }

    /// Sends a heartbeat that follows index 0, which every log accepts, if `due`.
    fn send_bare_heartbeat(&mut self, to: Id, due: bool) {
        if due {
            self.send_append(to, 0, 0, Vec::new());
        }
    }

    fn term_at(&self, index: u64) -> u64 {
        self.log.term(index).unwrap_or_default()
    }

    fn next_batch(&self, from: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += match &entry.payload {
                Payload::Command(command) => command.len() + 1,
                Payload::Empty | Payload::Members(_) => 1,
            };
            first || bytes <= APPEND_MAX_BYTES
        };
        self.log.range(from, self.log.last_index() + 1).iter().take_while(fits).cloned().collect()
    }

    fn send_append(&mut self, to: Id, prev_index: u64, prev_term: u64, entries: Vec<Entry>) {
        self.seq += 1;
        let (seq, commit_index) = (self.seq, self.commit_index);
        self.send(to, Body::Append { seq, prev_index, prev_term, entries, commit_index });
    }

    fn send_snapshot(&mut self, to: Id, progress: &mut Progress) {
        self.seq += 1;
        progress.stage = Stage::Snapshot { since: self.now, seq: self.seq };
        let body = Body::Snapshot {
            seq: self.seq,
            meta: SnapshotMeta::default(),
            data: Default::default(),
        };
        let message = self.message(to, self.hard_state.term, body);
        self.output.snapshots.push(message);
    }

    /// Notifies the leader that a snapshot could not be transferred to a member.
    pub fn snapshot_transfer_failed(&mut self, id: Id) {
        if let Some(progress) = self.progress.get_mut(&id)
            && matches!(progress.stage, Stage::Snapshot { .. })
        {
            // The next heartbeat serves as the probe, although none has been sent yet. A member that
            // replies and still needs a snapshot is sent one again.
            progress.stage = Stage::Probe { awaiting_reply: true };
        }
    }

    /// Records a member's reply to message `seq`. Returns `None` if the member is unknown or has
    /// lost entries.
    fn record_reply(&mut self, from: Id, seq: u64) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.progress.get_mut(&from).filter(|p| !p.lost_entries)?;
        progress.last_reply_at = now;
        progress.last_reply_seq = progress.last_reply_seq.max(seq);
        Some(progress)
    }

    pub(super) fn handle_appended(&mut self, from: Id, seq: u64, match_index: u64) {
        let last_sent_seq = self.seq;
        let (base, last_index) = (self.log.base(), self.log.last_index());
        let Some(progress) = self.record_reply(from, seq) else { return };
        if match_index > last_index {
            return;
        }
        if match_index > progress.match_index {
            progress.match_index = match_index;
            progress.match_seq = last_sent_seq;
        }
        progress.next_index = progress.next_index.max(match_index + 1);
        let agrees = match progress.stage {
            Stage::Probe { .. } => seq >= progress.min_probe_seq,
            // If entries after the stored snapshot are no longer in memory, the next one is sent.
            Stage::Snapshot { seq: sent, .. } => match_index >= base || seq == sent,
            Stage::Replicate => true,
        };
        if agrees {
            progress.stage = Stage::Replicate;
        }
        self.advance_commit();
    }

    /// Moves `next_index` back to where the logs may agree, unless the member has lost entries.
    /// `hint` is index and term of the last entry in the follower's log that may be in the leader's
    /// log too, see [`Body::Rejected`].
    pub(super) fn handle_rejected(
        &mut self,
        from: Id,
        seq: u64,
        hint: (u64, u64),
        last_index: u64,
    ) {
        let (last_sent_seq, base) = (self.seq, self.log.base());
        let (index, term) = self.log.find(hint.0, hint.1);
        let Some(progress) = self.record_reply(from, seq) else { return };
        if seq > progress.match_seq && last_index < progress.match_index {
            // The message was sent after the member had acknowledged more entries than it now has.
            progress.lost_entries = true;
            return;
        }
        if seq < progress.min_probe_seq || matches!(progress.stage, Stage::Snapshot { .. }) {
            return;
        }
        // If the logs may agree only before the base, the entries to continue with are no longer in
        // memory. `next_index` then becomes the base, so that a snapshot is sent.
        let agreed = if hint.0 < base || term > hint.1 { base.saturating_sub(1) } else { index };
        progress.next_index = agreed.max(progress.match_index) + 1;
        progress.min_probe_seq = last_sent_seq + 1;
        progress.stage = Stage::Probe { awaiting_reply: false };
    }

    /// Raises the commit index to the last entry that a majority has stored, if that entry is of
    /// the current term.
    pub(super) fn advance_commit(&mut self) {
        let mut stored: Vec<u64> =
            self.voters().map(|member| self.durable_index_of(&member.id)).collect();
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = stored.get(self.majority() - 1) else { return };
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_index = index;
        }
    }

    fn durable_index_of(&self, id: &Id) -> u64 {
        if *id == self.id {
            return self.durable_index;
        }
        self.progress.get(id).filter(|p| !p.lost_entries).map_or(0, |p| p.match_index)
    }

    /// Whether an entry of this leader's term is committed. Only then does `commit_index` cover
    /// everything that earlier leaders committed.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit_index) == Some(self.hard_state.term)
    }

    pub(super) fn confirm_barriers(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let commit_index = self.commit_index;
        let barriers = std::mem::take(&mut self.barriers);
        for barrier in barriers {
            let answered = |id: &Id| {
                *id == self.id
                    || self
                        .progress
                        .get(id)
                        .is_some_and(|p| !p.lost_entries && p.last_reply_seq >= barrier.seq)
            };
            if self.is_majority(answered) {
                self.output.barriers.push((barrier.token, Some(commit_index)));
            } else {
                self.barriers.push(barrier);
            }
        }
    }

    /// Starts a leadership transfer to the responsive voter with the longest matching log.
    /// Proposals, read barriers and membership changes are refused until the transfer has ended.
    pub fn transfer_leadership(&mut self, now: u64) -> Result<(), Refusal> {
        self.now = self.now.max(now);
        self.check_accepts_calls()?;
        let candidates = self.voters().map(|m| m.id).filter(|id| *id != self.id);
        let target = candidates
            .filter(|id| self.is_responsive(id) && !self.is_leaving(id))
            .max_by_key(|id| self.progress.get(id).map_or(0, |p| p.match_index));
        let Some(target) = target else {
            return Err(Refusal::Invalid("no other voter answers".to_owned()));
        };
        self.transfer = Some((target, self.now + self.timing.election_max_ms));
        self.heartbeat_at = self.now;
        Ok(())
    }

    /// Whether a member is being replicated to and is at most a few entries behind `commit_index`.
    pub(super) fn caught_up(&self, id: &Id) -> bool {
        const MAX_LAG_ENTRIES: u64 = 64;
        self.is_responsive(id)
            && self.progress.get(id).is_some_and(|p| {
                p.stage == Stage::Replicate && p.match_index + MAX_LAG_ENTRIES >= self.commit_index
            })
    }
}
