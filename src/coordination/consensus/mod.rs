//! Agreement between control instances on one log, after the Raft algorithm.
//!
//! Pure: messages and time go in; messages, entries to store and committed entries come out.
//! Whatever promises something about stored data leaves through [`Save::after`], which the caller
//! sends only once the rest of the [`Save`] is durable.
//!
//! A voter is a node together with its data folder. An instance whose folder was replaced is
//! another member: it joins as a learner, and once it has caught up it takes the place of the old
//! voter of its node.

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
    protocol::wire::peer::{Body, Entry, HardState, Hello, Id, Member, Message, Meta, Payload},
    state::snapshot::Snapshot,
};
use entries::Entries;
use leader::Progress;

/// Times in ms.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    pub heartbeat_ms: u64,
    /// Without word from a leader for this long, an instance may help to elect another.
    pub election_min_ms: u64,
    /// Elections start at random between `election_min_ms` and this.
    pub election_max_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { heartbeat_ms: 75, election_min_ms: 300, election_max_ms: 600 }
    }
}

/// The first election of an instance starts at random within this time from its start.
const FIRST_ELECTION_MAX_MS: u64 = 60;

/// What an instance starts from.
#[derive(Debug, Clone)]
pub struct Start {
    pub id: Id,
    pub hard_state: HardState,
    /// What the snapshot covers.
    pub base: Meta,
    pub entries: Vec<Entry>,
    pub timing: Timing,
    /// Seed of the election timeouts.
    pub seed: u64,
}

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    Candidate,
    Leader,
}

/// Why a call was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    NotLeader,
    NotInitialised,
    /// It can be asked for again later.
    Busy(String),
    Invalid(String),
}

/// A change of the members that an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    Add(Hello),
    Remove(Id),
}

/// What an instance wants done at once.
#[derive(Debug, Default)]
pub struct Output {
    pub send: Vec<Message>,
    /// Committed and durable here, in order.
    pub committed: Vec<Entry>,
    /// Barriers that ended: `Some` with the index that must be applied first, `None` if failed.
    pub barriers: Vec<(u64, Option<u64>)>,
    /// Members that need the newest snapshot, to be sent as `Body::Snapshot`.
    pub snapshots: Vec<Message>,
    /// The leader found this folder to be an older copy: it must get a new disk id.
    pub discard: bool,
}

/// What must be made durable in one go.
#[derive(Debug, Default)]
pub struct Save {
    /// Takes the place of all entries, before the others are stored.
    pub install: Option<Snapshot>,
    pub hard_state: Option<HardState>,
    pub entries: Vec<Entry>,
    /// To be sent once the above is durable.
    pub after: Vec<Message>,
    pub mark: Mark,
}

/// Names a [`Save`] when it is reported as done.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mark {
    last: u64,
    last_term: u64,
    hard_state: HardState,
}

/// One member of the group.
#[derive(Debug)]
pub struct Instance {
    id: Id,
    timing: Timing,
    random: Pcg64Mcg,
    now: u64,
    hard_state: HardState,
    /// The hard state as last reported durable.
    durable_hard_state: HardState,
    /// The hard state as last handed out to be stored.
    saving_hard_state: HardState,
    log: Entries,
    /// All entries up to here are durable.
    durable: u64,
    /// First entry that has not been handed out to be stored.
    unsaved: u64,
    install: Option<Snapshot>,
    commit: u64,
    /// Entries up to here were handed out as committed.
    applied: u64,
    role: Role,
    leader: Option<Id>,
    /// When a leader was last heard of, since the start.
    leader_seen: Option<u64>,
    /// When the next election starts.
    election_at: u64,
    votes: BTreeSet<Id>,
    /// Whom this instance would elect, perhaps itself, and until when it would elect no other.
    favoured: Option<(Id, u64)>,
    progress: BTreeMap<Id, Progress>,
    seq: u64,
    sent_seq: u64,
    heartbeat_at: u64,
    barriers: Vec<Barrier>,
    /// Until when the leader tries to hand over, and to whom.
    transfer: Option<(Id, u64)>,
    /// Instances that are to become members, by node; the leader's memory.
    applicants: BTreeMap<u64, Hello>,
    output: Output,
    after: Vec<Message>,
}

#[derive(Debug)]
struct Barrier {
    token: u64,
    /// An answer to a message with at least this number confirms it.
    seq: u64,
}

impl Instance {
    pub fn new(start: Start, now: u64) -> Instance {
        let base = start.base.index;
        let log = Entries::new(start.base, start.entries);
        let last = log.last();
        let mut instance = Instance {
            id: start.id,
            timing: start.timing,
            random: Pcg64Mcg::seed_from_u64(start.seed),
            now,
            hard_state: start.hard_state,
            durable_hard_state: start.hard_state,
            saving_hard_state: start.hard_state,
            log,
            durable: last,
            unsaved: last + 1,
            install: None,
            commit: base,
            applied: base,
            role: Role::Follower,
            leader: None,
            leader_seen: None,
            election_at: now,
            votes: BTreeSet::new(),
            favoured: None,
            progress: BTreeMap::new(),
            seq: 0,
            sent_seq: 0,
            heartbeat_at: now,
            barriers: Vec::new(),
            transfer: None,
            applicants: BTreeMap::new(),
            output: Output::default(),
            after: Vec::new(),
        };
        // A leader that is there prevents the election, so an instance that starts need not wait
        // for one as long as one that has just lost its leader.
        instance.election_at = now + instance.random.random_range(0..=FIRST_ELECTION_MAX_MS);
        if instance.majority() == 1 && instance.votes() {
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
        let payload = Payload::Members(vec![Member { id: self.id, votes: true, ..member }]);
        self.log.append(vec![Entry { index: 1, term: 1, payload }]);
        self.campaign(false);
        Ok(())
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

    /// The leader of the term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// Index before the first entry in memory.
    pub fn base(&self) -> u64 {
        self.log.base()
    }

    /// The newest members, committed or not.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// What a snapshot of the state after `index` stands for.
    pub fn meta(&self, index: u64) -> Option<Meta> {
        let term = self.log.term(index)?;
        Some(Meta { index, term, members: self.log.members_at(index).to_vec() })
    }

    /// Whether this instance is a voter of the newest members.
    pub fn votes(&self) -> bool {
        self.voters().any(|member| member.id == self.id)
    }

    /// Forgets entries up to `index`, which a durable snapshot covers.
    pub fn compact(&mut self, index: u64) {
        if index > self.log.base() && index <= self.applied {
            self.log.compact(index);
        }
    }

    /// The folder has a new disk id.
    pub fn renamed(&mut self, id: Id) {
        self.id = id;
        self.follow(self.hard_state.term, None);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        match self.role {
            Role::Leader => self.tick_leader(),
            _ if self.now >= self.election_at => self.election_due(),
            _ => {}
        }
    }

    /// Takes a message.
    pub fn step(&mut self, now: u64, message: Message) {
        self.now = self.now.max(now);
        if message.to != self.id || !self.same_cluster(&message) {
            return;
        }
        let Message { from, term, body, .. } = message;
        let from_leader = matches!(body, Body::Append { .. } | Body::Snapshot { .. });
        match body {
            Body::PreVote { last, last_term } => return self.pre_vote(from, term, last, last_term),
            Body::PreVoted { granted: true } => return self.pre_voted(from, term),
            Body::Vote { transfer: false, .. } if self.has_leader() => return,
            _ => {}
        }
        if term > self.hard_state.term {
            self.follow(term, from_leader.then_some(from));
        } else if term < self.hard_state.term {
            return self.outdated(from, body);
        }
        match body {
            Body::Vote { last, last_term, .. } => self.vote(from, last, last_term),
            Body::Voted { granted } => self.voted(from, granted),
            Body::Append { seq, prev, prev_term, entries, commit } => {
                self.heard(from);
                self.appended_by_leader(from, seq, (prev, prev_term), entries, commit);
            }
            Body::Snapshot { seq, meta, data } => {
                self.heard(from);
                self.install(from, seq, Snapshot { meta, data });
            }
            Body::Appended { seq, matched } => self.appended(from, seq, matched),
            Body::Rejected { seq, hint, hint_term, last } => {
                self.rejected(from, seq, (hint, hint_term), last);
            }
            Body::Campaign => {
                if self.leader == Some(from) && self.votes() {
                    self.campaign(true);
                }
            }
            Body::Discard => self.output.discard |= self.leader == Some(from),
            Body::PreVote { .. } | Body::PreVoted { .. } => {}
        }
    }

    /// Whether a message belongs to this instance's cluster; a blank instance joins the cluster of
    /// a leader that knows it by its disk id.
    fn same_cluster(&mut self, message: &Message) -> bool {
        if self.hard_state.cluster.is_none()
            && matches!(message.body, Body::Append { .. } | Body::Snapshot { .. })
        {
            self.hard_state.cluster = Some(message.cluster);
        }
        self.hard_state.cluster == Some(message.cluster)
    }

    /// Answers a message of an earlier term, so that its sender learns of the newer one.
    fn outdated(&mut self, from: Id, body: Body) {
        match body {
            Body::Append { seq, .. } | Body::Snapshot { seq, .. } => self.reject(from, seq, 0, 0),
            Body::Vote { .. } => self.promise(from, Body::Voted { granted: false }),
            _ => {}
        }
    }

    /// What is to be done at once. Call after every batch of input.
    pub fn take(&mut self) -> Output {
        if self.role == Role::Leader {
            self.replicate();
            self.confirm_barriers();
        }
        let end = self.commit.min(self.durable);
        if end > self.applied && self.install.is_none() {
            self.output.committed.extend_from_slice(self.log.range(self.applied + 1, end + 1));
            self.applied = end;
        }
        std::mem::take(&mut self.output)
    }

    /// What is to be stored next. Call only when the last [`Save`] has been reported as done.
    pub fn take_save(&mut self) -> Option<Save> {
        let hard_state = (self.hard_state != self.saving_hard_state).then_some(self.hard_state);
        let entries = self.log.range(self.unsaved, self.log.last() + 1).to_vec();
        if hard_state.is_none()
            && entries.is_empty()
            && self.install.is_none()
            && self.after.is_empty()
        {
            return None;
        }
        self.saving_hard_state = self.hard_state;
        self.unsaved = self.log.last() + 1;
        Some(Save {
            install: self.install.take(),
            hard_state,
            entries,
            after: std::mem::take(&mut self.after),
            mark: Mark {
                last: self.log.last(),
                last_term: self.log.last_term(),
                hard_state: self.hard_state,
            },
        })
    }

    /// A [`Save`] is durable. Its `after` messages may leave.
    pub fn saved(&mut self, now: u64, mark: Mark) {
        self.now = self.now.max(now);
        self.durable_hard_state = mark.hard_state;
        if self.log.term(mark.last) == Some(mark.last_term) && self.install.is_none() {
            self.durable = self.durable.max(mark.last);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// A [`Save`] failed and will be repeated; meanwhile this instance can lead no one.
    pub fn storage_failed(&mut self, now: u64) {
        self.now = self.now.max(now);
        if self.role != Role::Follower {
            self.follow(self.hard_state.term, None);
        }
    }

    /// Appends a command to the log. Returns its index and term.
    pub fn propose(&mut self, command: Bytes) -> Result<(u64, u64), Refusal> {
        self.check_leader()?;
        Ok((self.append(Payload::Command(command)), self.hard_state.term))
    }

    /// Asks for proof that this instance leads. The token comes back in [`Output::barriers`].
    pub fn barrier(&mut self, token: u64) -> Result<(), Refusal> {
        self.check_leader()?;
        self.barriers.push(Barrier { token, seq: self.seq + 1 });
        Ok(())
    }

    fn check_leader(&self) -> Result<(), Refusal> {
        match self.role {
            Role::Leader if self.transfer.is_none() => Ok(()),
            _ if self.hard_state.cluster.is_none() => Err(Refusal::NotInitialised),
            _ => Err(Refusal::NotLeader),
        }
    }

    fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.last() + 1;
        self.log.append(vec![Entry { index, term: self.hard_state.term, payload }]);
        index
    }

    fn voters(&self) -> impl Iterator<Item = &Member> {
        self.log.members().iter().filter(|member| member.votes)
    }

    fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether `ids` hold a majority of the voters.
    fn is_majority(&self, counts: impl Fn(&Id) -> bool) -> bool {
        self.voters().filter(|member| counts(&member.id)).count() >= self.majority()
    }

    /// Whether a leader was heard of lately, or this instance is it.
    fn has_leader(&self) -> bool {
        let lately = |seen: u64| self.now < seen + self.timing.election_min_ms;
        self.role == Role::Leader || self.leader_seen.is_some_and(lately)
    }

    fn heard(&mut self, from: Id) {
        if self.role != Role::Follower || self.leader != Some(from) {
            self.follow(self.hard_state.term, Some(from));
        }
        self.leader_seen = Some(self.now);
        self.reset_election();
    }

    /// Becomes a follower, in a newer term or the current one.
    fn follow(&mut self, term: u64, leader: Option<Id>) {
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
        self.reset_election();
    }

    fn reset_election(&mut self) {
        let timing = self.timing;
        let wait = self.random.random_range(timing.election_min_ms..=timing.election_max_ms);
        self.election_at = self.now + wait;
    }

    fn message(&self, to: Id, term: u64, body: Body) -> Message {
        let cluster = self.hard_state.cluster.unwrap_or_default();
        Message { cluster, from: self.id, to, term, body }
    }

    /// Sends without regard to what is stored.
    fn send(&mut self, to: Id, body: Body) {
        let message = self.message(to, self.hard_state.term, body);
        self.output.send.push(message);
    }

    /// Sends once everything so far is durable.
    fn promise(&mut self, to: Id, body: Body) {
        let message = self.message(to, self.hard_state.term, body);
        self.after.push(message);
    }
}
