//! Raft consensus of the control instances on one replicated log.
//!
//! This module does no input or output. The caller passes in messages and the time and gets back
//! messages to send, entries to store and committed entries. A message that makes a promise about
//! stored data is part of [`Save::messages`], which the caller sends only once the rest of the
//! [`Save`] is durable.
//!
//! A member is identified by its node and its data directory. An instance whose data directory was
//! replaced is therefore another member: it joins as a learner, and once it has caught up it
//! replaces the old voter of its node.

mod check;
mod election;
mod entries;
mod follower;
mod leader;
mod members;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    protocol::wire::peer::{
        Body, Entry, HardState, Hello, Id, Member, Message, Payload, Purpose, SnapshotMeta,
        Standing,
    },
    state::snapshot::Snapshot,
};
use entries::Entries;
use leader::Progress;
use members::Applicant;

/// Heartbeat interval and election timeouts, in ms.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    pub heartbeat_ms: u64,
    /// An instance that has not received a message from a leader for this long may vote for a new
    /// leader.
    pub election_min_ms: u64,
    /// The election timeout is drawn at random between `election_min_ms` and this.
    pub election_max_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { heartbeat_ms: 75, election_min_ms: 300, election_max_ms: 600 }
    }
}

/// Upper bound of the randomised first election timeout after the start of an instance.
const FIRST_ELECTION_MAX_MS: u64 = 60;

/// Persisted state and parameters that an instance starts with.
#[derive(Debug, Clone)]
pub struct InitialState {
    pub id: Id,
    pub hard_state: HardState,
    /// Log position and members that the snapshot covers; the default if there is none.
    pub base: SnapshotMeta,
    pub entries: Vec<Entry>,
    pub timing: Timing,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Raft role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Requests pre-votes: would a majority vote for it?
    PreCandidate,
    Candidate,
    Leader,
}

/// Why a call was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    NotLeader,
    NotInitialised,
    /// The call can be repeated later.
    Busy(String),
    Invalid(String),
}

/// A change of the members that an operator requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    Add(Hello),
    Remove(Id),
}

/// Actions that the caller carries out at once.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages that need not wait for anything to be stored.
    pub messages: Vec<Message>,
    /// Entries that are committed and durable on this instance, in log order.
    pub committed: Vec<Entry>,
    /// Read barriers that have ended, by token: `Some` with the index that must be applied before
    /// the read, `None` if leadership was lost first.
    pub barriers: Vec<(u64, Option<u64>)>,
    /// `Body::Snapshot` messages without content: the caller fills in its newest snapshot.
    pub snapshots: Vec<Message>,
    /// The leader has detected that this data directory lacks entries that it acknowledged, for
    /// example because an older copy was restored. The directory must get a new disk id.
    pub renew_disk_id: bool,
}

/// Data that must be made durable in one write.
#[derive(Debug, Default)]
pub struct Save {
    /// Snapshot that replaces all entries stored so far, before `entries` are stored.
    pub install: Option<Snapshot>,
    pub hard_state: Option<HardState>,
    pub entries: Vec<Entry>,
    /// Messages to send once the data above is durable.
    pub messages: Vec<Message>,
    pub mark: Mark,
}

/// Log end and hard state of a [`Save`]; passed back to [`Instance::saved`] once it is durable.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mark {
    last_index: u64,
    last_term: u64,
    hard_state: HardState,
}

/// Consensus state of one control instance.
#[derive(Debug)]
pub struct Instance {
    id: Id,
    timing: Timing,
    random: Pcg64Mcg,
    now: u64,
    hard_state: HardState,
    /// Hard state that was last reported durable.
    durable_hard_state: HardState,
    /// Hard state in the last [`Save`].
    saving_hard_state: HardState,
    log: Entries,
    /// All entries up to this index are durable.
    durable_index: u64,
    /// Index of the first entry that has not been part of a [`Save`].
    first_unsaved: u64,
    /// Received snapshot that the next [`Save`] stores.
    install: Option<Snapshot>,
    commit_index: u64,
    /// Entries up to this index were returned in [`Output::committed`].
    delivered_index: u64,
    role: Role,
    leader: Option<Id>,
    /// When a leader last sent a message; `None` if none has since the start.
    leader_seen_at: Option<u64>,
    /// End of the current election timeout.
    election_at: u64,
    /// Instances that granted their pre-vote or vote to this one.
    votes: BTreeSet<Id>,
    /// Candidate, possibly this instance, whose pre-vote was granted, and until when pre-votes of
    /// others are refused.
    pre_vote_hold: Option<(Id, u64)>,
    /// Replication state of the other members, kept by the leader only.
    progress: BTreeMap<Id, Progress>,
    /// Sequence number of the last append or snapshot message of this leader.
    seq: u64,
    /// `seq` after the last round in which every member was sent a message.
    last_round_seq: u64,
    /// When the next heartbeat is due.
    heartbeat_at: u64,
    barriers: Vec<Barrier>,
    /// Target of a leadership transfer, and when the transfer is abandoned.
    transfer: Option<(Id, u64)>,
    /// Instances that have introduced themselves to this leader, by node.
    applicants: BTreeMap<u64, Applicant>,
    /// Members that have announced to this leader that they stop, and when they last did.
    leaving: BTreeMap<Id, u64>,
    /// Number of voters from which on learners stay learners.
    max_voters: usize,
    output: Output,
    messages_after_save: Vec<Message>,
}

/// A read barrier that is not confirmed yet.
#[derive(Debug)]
struct Barrier {
    token: u64,
    /// Replies of a majority to messages with at least this sequence number confirm the barrier.
    seq: u64,
}

impl Instance {
    pub fn new(start: InitialState, now: u64) -> Instance {
        let base = start.base.index;
        let log = Entries::new(start.base, start.entries);
        let last_index = log.last_index();
        let mut instance = Instance {
            id: start.id,
            timing: start.timing,
            random: Pcg64Mcg::seed_from_u64(start.seed),
            now,
            hard_state: start.hard_state,
            durable_hard_state: start.hard_state,
            saving_hard_state: start.hard_state,
            log,
            durable_index: last_index,
            first_unsaved: last_index + 1,
            install: None,
            commit_index: base,
            delivered_index: base,
            role: Role::Follower,
            leader: None,
            leader_seen_at: None,
            election_at: now,
            votes: BTreeSet::new(),
            pre_vote_hold: None,
            progress: BTreeMap::new(),
            seq: 0,
            last_round_seq: 0,
            heartbeat_at: now,
            barriers: Vec::new(),
            transfer: None,
            applicants: BTreeMap::new(),
            leaving: BTreeMap::new(),
            max_voters: usize::MAX,
            output: Output::default(),
            messages_after_save: Vec::new(),
        };
        // The first timeout can be shorter than an election timeout: if there is a leader, the
        // other instances refuse the pre-vote, so an early attempt does no harm.
        instance.election_at = now + instance.random.random_range(0..=FIRST_ELECTION_MAX_MS);
        if instance.majority() == 1 && instance.is_voter() {
            instance.election_at = now;
        }
        instance
    }

    /// Forms a cluster with this instance as its only voter.
    pub fn init(&mut self, now: u64, cluster: u64, member: Member) -> Result<(), Refusal> {
        self.now = self.now.max(now);
        if self.hard_state.cluster.is_some() {
            return Err(Refusal::Invalid("the data folder belongs to a cluster".to_owned()));
        }
        self.hard_state = HardState { cluster: Some(cluster), term: 1, vote: Some(self.id) };
        let payload = Payload::Members(vec![Member { id: self.id, voter: true, ..member }]);
        self.log.append(vec![Entry { index: 1, term: 1, payload }]);
        self.campaign(false);
        Ok(())
    }

    /// Binds this instance to a cluster before the leader has added it, unless it belongs to one.
    /// It can then neither form a cluster nor join another one.
    pub fn adopt(&mut self, cluster: u64) {
        self.hard_state.cluster.get_or_insert(cluster);
    }

    pub fn id(&self) -> Id {
        self.id
    }

    pub fn cluster(&self) -> Option<u64> {
        self.hard_state.cluster
    }

    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    pub fn role(&self) -> Role {
        self.role
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the entry before the first one in memory.
    pub fn base(&self) -> u64 {
        self.log.base()
    }

    /// Members by the latest membership entry, committed or not.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Members by the latest membership entry that is known to be committed, and its index.
    pub fn committed_members(&self) -> (u64, &[Member]) {
        let (index, members) = self.log.members_entry_at(self.commit_index);
        (*index, members)
    }

    /// Member lists that are in memory, each with its index, the latest last.
    pub fn member_lists(&self) -> impl Iterator<Item = (u64, &[Member])> {
        self.log.member_lists()
    }

    /// Metadata for a snapshot of the state after `index`; `None` if `index` is not in the log.
    pub fn meta(&self, index: u64) -> Option<SnapshotMeta> {
        let term = self.log.term(index)?;
        Some(SnapshotMeta { index, term, members: self.log.members_at(index).to_vec() })
    }

    /// Whether this instance is a voter by the latest membership entry.
    pub fn is_voter(&self) -> bool {
        self.voters().any(|member| member.id == self.id)
    }

    /// What this instance knows of its cluster.
    pub fn standing(&self, first_start: bool) -> Standing {
        let committed = self.log.members_at(self.commit_index);
        Standing {
            id: self.id,
            cluster: self.hard_state.cluster,
            first_start,
            voters: self.voters().map(|member| member.id).collect(),
            committed_voters: committed.iter().filter(|member| member.voter).count() as u64,
            members: self.log.members().iter().map(|member| member.peer).collect(),
            leads: self.role == Role::Leader,
            has_leader: self.has_leader(),
        }
    }

    /// Returns the index up to which entries may be dropped, so that of those up to `index` at most
    /// `count` with at most `bytes` of content stay in memory.
    pub fn excess(&self, index: u64, count: u64, bytes: usize) -> u64 {
        self.log.excess(index, count, bytes)
    }

    /// Drops the entries up to `index` from memory. A durable snapshot must cover them.
    pub fn compact(&mut self, index: u64) {
        if index > self.log.base() && index <= self.delivered_index {
            self.log.compact(index);
        }
    }

    /// Continues with the identity `id` after the data directory got a new disk id. This instance
    /// is not a member again until the leader adds it.
    pub fn disk_renewed(&mut self, id: Id) {
        self.id = id;
        self.become_follower(self.hard_state.term, None);
    }

    /// Advances the clock to `now` and starts whatever is due.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        match self.role {
            Role::Leader => self.tick_leader(),
            _ if self.now >= self.election_at => self.on_election_timeout(),
            _ => {}
        }
    }

    /// Handles a message from another instance.
    ///
    /// # Errors
    /// `Refusal::Invalid` if the message is malformed. It has then changed nothing.
    pub fn step(&mut self, now: u64, message: Message) -> Result<(), Refusal> {
        self.now = self.now.max(now);
        if message.to != self.id {
            return Ok(());
        }
        if let Some(fault) = self.fault_in(&message) {
            return Err(Refusal::Invalid(fault.to_owned()));
        }
        if self.check_or_join_cluster(&message) {
            self.handle(message);
        }
        Ok(())
    }

    fn handle(&mut self, message: Message) {
        let Message { from, term, body, .. } = message;
        let from_leader = matches!(body, Body::Append { .. } | Body::Snapshot { .. });
        match body {
            Body::PreVote { last_index, last_term } => {
                return self.handle_pre_vote(from, term, last_index, last_term);
            }
            Body::PreVoted { granted: true } => return self.handle_pre_vote_granted(from, term),
            // While there is a leader, requests for votes are ignored unless that leader has
            // started the election by a leadership transfer.
            Body::Vote { transfer: false, .. } if self.has_leader() => return,
            _ => {}
        }
        if term > self.hard_state.term {
            self.become_follower(term, from_leader.then_some(from));
        } else if term < self.hard_state.term {
            return self.answer_outdated(from, body);
        }
        match body {
            Body::Vote { last_index, last_term, .. } => {
                self.handle_vote(from, last_index, last_term)
            }
            Body::Voted { granted } => self.handle_voted(from, granted),
            Body::Append { seq, prev_index, prev_term, entries, commit_index } => {
                self.record_leader_contact(from);
                self.handle_append(from, seq, (prev_index, prev_term), entries, commit_index);
            }
            Body::Snapshot { seq, meta, data } => {
                self.record_leader_contact(from);
                self.handle_snapshot(from, seq, Snapshot { meta, data });
            }
            Body::Appended { seq, match_index } => self.handle_appended(from, seq, match_index),
            Body::Rejected { seq, hint_index, hint_term, last_index } => {
                self.handle_rejected(from, seq, (hint_index, hint_term), last_index);
            }
            Body::Campaign => {
                if self.leader == Some(from) && self.is_voter() {
                    self.campaign(true);
                }
            }
            Body::RenewDiskId => self.output.renew_disk_id |= self.leader == Some(from),
            Body::PreVote { .. } | Body::PreVoted { .. } => {}
        }
    }

    /// Whether a message belongs to this instance's cluster. An instance without a cluster joins
    /// that of the first leader that sends entries or a snapshot to its disk id.
    fn check_or_join_cluster(&mut self, message: &Message) -> bool {
        if self.hard_state.cluster.is_none()
            && matches!(message.body, Body::Append { .. } | Body::Snapshot { .. })
        {
            self.hard_state.cluster = Some(message.cluster);
        }
        self.hard_state.cluster == Some(message.cluster)
    }

    /// Replies to a message of an earlier term, so that its sender is notified of the newer term.
    fn answer_outdated(&mut self, from: Id, body: Body) {
        match body {
            Body::Append { seq, .. } | Body::Snapshot { seq, .. } => self.reject(from, seq, 0, 0),
            Body::Vote { .. } => self.send_after_save(from, Body::Voted { granted: false }),
            _ => {}
        }
    }

    /// Returns the actions to carry out at once. Call after every batch of input.
    pub fn take_output(&mut self) -> Output {
        if self.role == Role::Leader {
            self.replicate();
            self.confirm_barriers();
        }
        let end = self.commit_index.min(self.durable_index);
        if end > self.delivered_index && self.install.is_none() {
            self.output
                .committed
                .extend_from_slice(self.log.range(self.delivered_index + 1, end + 1));
            self.delivered_index = end;
        }
        std::mem::take(&mut self.output)
    }

    /// Returns the data to store next. Call only when the last [`Save`] was reported durable.
    pub fn take_save(&mut self) -> Option<Save> {
        let hard_state = (self.hard_state != self.saving_hard_state).then_some(self.hard_state);
        let entries = self.log.range(self.first_unsaved, self.log.last_index() + 1).to_vec();
        if hard_state.is_none()
            && entries.is_empty()
            && self.install.is_none()
            && self.messages_after_save.is_empty()
        {
            return None;
        }
        self.saving_hard_state = self.hard_state;
        self.first_unsaved = self.log.last_index() + 1;
        Some(Save {
            install: self.install.take(),
            hard_state,
            entries,
            messages: std::mem::take(&mut self.messages_after_save),
            mark: Mark {
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                hard_state: self.hard_state,
            },
        })
    }

    /// Notifies the instance that a [`Save`] is durable. The caller may now send its messages.
    pub fn saved(&mut self, now: u64, mark: Mark) {
        self.now = self.now.max(now);
        self.durable_hard_state = mark.hard_state;
        if self.log.term(mark.last_index) == Some(mark.last_term) && self.install.is_none() {
            self.durable_index = self.durable_index.max(mark.last_index);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Steps down because a [`Save`] failed. The caller repeats it and should call neither `tick`
    /// nor `step` until it has succeeded, because this instance must not lead before that.
    pub fn storage_failed(&mut self, now: u64) {
        self.now = self.now.max(now);
        if self.role != Role::Follower {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Appends a command to the log and returns its index and term.
    pub fn propose(&mut self, command: Bytes) -> Result<(u64, u64), Refusal> {
        self.check_accepts_calls()?;
        Ok((self.append(Payload::Command(command)), self.hard_state.term))
    }

    /// Starts a read barrier: a majority must confirm that this instance still leads. The token is
    /// returned in [`Output::barriers`].
    pub fn barrier(&mut self, token: u64) -> Result<(), Refusal> {
        self.check_accepts_calls()?;
        self.barriers.push(Barrier { token, seq: self.seq + 1 });
        Ok(())
    }

    /// Refuses a call unless this instance leads. During a leadership transfer it refuses as if it
    /// did not lead.
    fn check_accepts_calls(&self) -> Result<(), Refusal> {
        match self.role {
            Role::Leader if self.transfer.is_none() => Ok(()),
            _ if self.hard_state.cluster.is_none() => Err(Refusal::NotInitialised),
            _ => Err(Refusal::NotLeader),
        }
    }

    fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        self.log.append(vec![Entry { index, term: self.hard_state.term, payload }]);
        index
    }

    fn voters(&self) -> impl Iterator<Item = &Member> {
        self.log.members().iter().filter(|member| member.voter)
    }

    fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether a majority of the voters satisfies `counts`.
    fn is_majority(&self, counts: impl Fn(&Id) -> bool) -> bool {
        self.voters().filter(|member| counts(&member.id)).count() >= self.majority()
    }

    /// Whether this instance leads, or a leader sent a message within the shortest election
    /// timeout.
    fn has_leader(&self) -> bool {
        let recent = |seen: u64| self.now < seen + self.timing.election_min_ms;
        self.role == Role::Leader || self.leader_seen_at.is_some_and(recent)
    }

    fn record_leader_contact(&mut self, from: Id) {
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(self.hard_state.term, Some(from));
        }
        self.leader_seen_at = Some(self.now);
        self.reset_election_timer();
    }

    /// Becomes a follower in `term`, which is the current term or a newer one.
    fn become_follower(&mut self, term: u64, leader: Option<Id>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        self.transfer = None;
        let failed = self.barriers.drain(..).map(|barrier| (barrier.token, None));
        self.output.barriers.extend(failed);
        self.reset_election_timer();
    }

    fn reset_election_timer(&mut self) {
        let timing = self.timing;
        let wait = self.random.random_range(timing.election_min_ms..=timing.election_max_ms);
        self.election_at = self.now + wait;
    }

    fn message(&self, to: Id, term: u64, body: Body) -> Message {
        let cluster = self.hard_state.cluster.unwrap_or_default();
        Message { cluster, from: self.id, to, term, body }
    }

    /// Sends a message at once, whether or not earlier data is durable.
    fn send(&mut self, to: Id, body: Body) {
        let message = self.message(to, self.hard_state.term, body);
        self.output.messages.push(message);
    }

    /// Sends a message once everything up to now is durable.
    fn send_after_save(&mut self, to: Id, body: Body) {
        let message = self.message(to, self.hard_state.term, body);
        self.messages_after_save.push(message);
    }
}
