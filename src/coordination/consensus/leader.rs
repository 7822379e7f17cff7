//! Leading: replication, commitment, read barriers, handing over.

use super::{Body, Entry, Id, Instance, Meta, Payload, Refusal, Role};

/// Bytes of commands in one message.
const APPEND_BYTES: usize = 256 * 1024;
/// Entries sent to a follower ahead of its answers.
const WINDOW: u64 = 4096;
/// A snapshot that has not arrived after this many election timeouts is sent again.
const SNAPSHOT_TIMEOUTS: u64 = 20;

/// What a leader knows of another member.
#[derive(Debug)]
pub(super) struct Progress {
    /// Next entry to send.
    next: u64,
    /// The member's log agrees and is durable up to here.
    pub matched: u64,
    /// Messages with higher numbers were sent after `matched` was known.
    matched_seq: u64,
    stage: Stage,
    answered_at: u64,
    /// Highest number of a message that it answered.
    answered_seq: u64,
    /// Rejections of messages with lower numbers have been dealt with.
    repair_seq: u64,
    /// It no longer holds what it acknowledged, so it counts for nothing.
    /// Only the leader of the term in which it acknowledged can tell: an older copy of a folder
    /// that is put back while nobody leads is not noticed.
    lost: bool,
}

#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// Where the logs agree is not known; `asked` once a message is under way.
    Probe {
        asked: bool,
    },
    Replicate,
    Snapshot {
        since: u64,
    },
}

impl Progress {
    fn new(next: u64, now: u64) -> Progress {
        Progress {
            next,
            matched: 0,
            matched_seq: 0,
            stage: Stage::Probe { asked: false },
            answered_at: now,
            answered_seq: 0,
            repair_seq: 0,
            lost: false,
        }
    }
}

impl Instance {
    pub(super) fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.applicants.clear();
        self.progress.clear();
        self.heartbeat_at = self.now;
        // Entries of earlier terms are committed only together with one of this term.
        self.append(Payload::Empty);
        self.track_members();
        self.advance_commit();
    }

    /// Keeps a progress for each other member.
    pub(super) fn track_members(&mut self) {
        let others: Vec<Id> =
            self.log.members().iter().map(|m| m.id).filter(|id| *id != self.id).collect();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            let next = self.log.last().max(1);
            self.progress.entry(id).or_insert_with(|| Progress::new(next, self.now));
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.is_majority(|id| self.answering(id)) {
            return self.follow(self.hard_state.term, None);
        }
        if self.transfer.is_some_and(|(_, end)| self.now >= end) {
            self.transfer = None;
        }
        self.tend_members();
    }

    /// Whether a member has answered within an election timeout.
    pub fn answering(&self, id: &Id) -> bool {
        let limit = self.timing.election_max_ms;
        *id == self.id
            || self.progress.get(id).is_some_and(|p| !p.lost && self.now < p.answered_at + limit)
    }

    /// Sends what members are missing, and heartbeats when they or a barrier are due.
    pub(super) fn replicate(&mut self) {
        let due = self.now >= self.heartbeat_at;
        let force = due || self.barriers.iter().any(|barrier| barrier.seq > self.sent_seq);
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
            self.sent_seq = self.seq;
        }
        if let Some((target, _)) = self.transfer
            && due
            && self.progress.get(&target).is_some_and(|p| p.matched == self.log.last())
        {
            self.send(target, Body::Campaign);
        }
    }

    fn replicate_to(&mut self, id: Id, progress: &mut Progress, force: bool) {
        if progress.lost {
            if force {
                self.send(id, Body::Discard);
            }
            return;
        }
        let limit = SNAPSHOT_TIMEOUTS * self.timing.election_max_ms;
        match progress.stage {
            Stage::Snapshot { since } if self.now < since + limit => {
                if force {
                    self.send_append(id, 0, 0, Vec::new());
                }
                return;
            }
            _ if progress.next <= self.log.base() => return self.send_snapshot(id, progress),
            Stage::Snapshot { .. } => progress.stage = Stage::Probe { asked: false },
            _ => {}
        }
        let mut sent = false;
        if progress.stage == Stage::Replicate {
            while progress.next <= self.log.last() && progress.next <= progress.matched + WINDOW {
                let entries = self.batch(progress.next);
                let prev = progress.next - 1;
                progress.next += entries.len() as u64;
                self.send_append(id, prev, self.term_at(prev), entries);
                sent = true;
            }
        }
        let ask = progress.stage == Stage::Probe { asked: false };
        if !sent && (force || ask) {
            let prev = progress.next - 1;
            self.send_append(id, prev, self.term_at(prev), Vec::new());
        }
        if ask {
            progress.stage = Stage::Probe { asked: true };
        }
    }

    fn term_at(&self, index: u64) -> u64 {
        self.log.term(index).unwrap_or_default()
    }

    fn batch(&self, from: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += match &entry.payload {
                Payload::Command(command) => command.len() + 1,
                Payload::Empty | Payload::Members(_) => 1,
            };
            first || bytes <= APPEND_BYTES
        };
        self.log.range(from, self.log.last() + 1).iter().take_while(fits).cloned().collect()
    }

    fn send_append(&mut self, to: Id, prev: u64, prev_term: u64, entries: Vec<Entry>) {
        self.seq += 1;
        let (seq, commit) = (self.seq, self.commit);
        self.send(to, Body::Append { seq, prev, prev_term, entries, commit });
    }

    fn send_snapshot(&mut self, to: Id, progress: &mut Progress) {
        progress.stage = Stage::Snapshot { since: self.now };
        self.seq += 1;
        let body =
            Body::Snapshot { seq: self.seq, meta: Meta::default(), data: Default::default() };
        let message = self.message(to, self.hard_state.term, body);
        self.output.snapshots.push(message);
    }

    /// A snapshot could not be sent.
    pub fn snapshot_failed(&mut self, id: Id) {
        if let Some(progress) = self.progress.get_mut(&id)
            && matches!(progress.stage, Stage::Snapshot { .. })
        {
            progress.stage = Stage::Probe { asked: true };
        }
    }

    /// Notes an answer of a member to message `seq`; `None` if it does not count.
    fn answered(&mut self, from: Id, seq: u64) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.progress.get_mut(&from).filter(|p| !p.lost)?;
        progress.answered_at = now;
        progress.answered_seq = progress.answered_seq.max(seq);
        Some(progress)
    }

    pub(super) fn appended(&mut self, from: Id, seq: u64, matched: u64) {
        let (sent, base, last) = (self.seq, self.log.base(), self.log.last());
        let Some(progress) = self.answered(from, seq) else { return };
        if matched > last {
            return;
        }
        if matched > progress.matched {
            progress.matched = matched;
            progress.matched_seq = sent;
        }
        progress.next = progress.next.max(matched + 1);
        let agrees = match progress.stage {
            Stage::Probe { .. } => seq >= progress.repair_seq,
            Stage::Snapshot { .. } => matched >= base,
            Stage::Replicate => true,
        };
        if agrees {
            progress.stage = Stage::Replicate;
        }
        self.advance_commit();
    }

    pub(super) fn rejected(&mut self, from: Id, seq: u64, hint: (u64, u64), last: u64) {
        let (sent, base) = (self.seq, self.log.base());
        let (index, term) = self.log.find(hint.0, hint.1);
        let Some(progress) = self.answered(from, seq) else { return };
        if seq > progress.matched_seq && last < progress.matched {
            // The message was sent after the member had acknowledged more than it now holds.
            progress.lost = true;
            return;
        }
        if seq < progress.repair_seq || matches!(progress.stage, Stage::Snapshot { .. }) {
            return;
        }
        let agreed = if hint.0 < base || term > hint.1 { base.saturating_sub(1) } else { index };
        progress.next = agreed.max(progress.matched) + 1;
        progress.repair_seq = sent + 1;
        progress.stage = Stage::Probe { asked: false };
    }

    /// Commits what a majority has stored, if it is of this term.
    pub(super) fn advance_commit(&mut self) {
        let mut stored: Vec<u64> = self.voters().map(|member| self.stored(&member.id)).collect();
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = stored.get(self.majority() - 1) else { return };
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }

    fn stored(&self, id: &Id) -> u64 {
        if *id == self.id {
            return self.durable;
        }
        self.progress.get(id).filter(|p| !p.lost).map_or(0, |p| p.matched)
    }

    /// Whether an entry of this term is committed, so that `commit` is known to be current.
    pub(super) fn in_charge(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit) == Some(self.hard_state.term)
    }

    pub(super) fn confirm_barriers(&mut self) {
        if !self.in_charge() {
            return;
        }
        let commit = self.commit;
        let barriers = std::mem::take(&mut self.barriers);
        for barrier in barriers {
            let answered = |id: &Id| {
                *id == self.id
                    || self
                        .progress
                        .get(id)
                        .is_some_and(|p| !p.lost && p.answered_seq >= barrier.seq)
            };
            if self.is_majority(answered) {
                self.output.barriers.push((barrier.token, Some(commit)));
            } else {
                self.barriers.push(barrier);
            }
        }
    }

    /// Hands leadership to the voter that has most of the log. Meanwhile nothing is proposed.
    pub fn transfer(&mut self, now: u64) -> Result<(), Refusal> {
        self.now = self.now.max(now);
        self.check_leader()?;
        let candidates = self.voters().map(|m| m.id).filter(|id| *id != self.id);
        let target = candidates
            .filter(|id| self.answering(id))
            .max_by_key(|id| self.progress.get(id).map_or(0, |p| p.matched));
        let Some(target) = target else {
            return Err(Refusal::Invalid("no other voter answers".to_owned()));
        };
        self.transfer = Some((target, self.now + self.timing.election_max_ms));
        self.heartbeat_at = self.now;
        Ok(())
    }

    /// Whether a learner holds the log up to a few entries before `commit`.
    pub(super) fn caught_up(&self, id: &Id) -> bool {
        const LAG: u64 = 64;
        self.answering(id)
            && self
                .progress
                .get(id)
                .is_some_and(|p| p.stage == Stage::Replicate && p.matched + LAG >= self.commit)
    }
}
