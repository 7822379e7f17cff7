//! Elections: a majority must agree to a vote before a term is started, so that an instance that
//! was cut off does not disturb a working leader when it returns.

use rand::Rng;

use super::{Body, Id, Instance, Role};

/// Time for which an instance that has promised its pre-vote promises it to no other, in ms: a
/// round of votes with two syncs fits in.
const FAVOUR_MS: u64 = 50;
/// An instance that gets no majority of pre-votes asks again after a random time between these, in
/// ms. They exceed [`FAVOUR_MS`], so that an instance that can't win leaves room for others.
const RETRY_MIN_MS: u64 = 80;
const RETRY_MAX_MS: u64 = 160;

impl Instance {
    pub(super) fn election_due(&mut self) {
        self.election_at = self.now + self.random.random_range(RETRY_MIN_MS..=RETRY_MAX_MS);
        self.leader = None;
        if !self.votes() {
            return;
        }
        if self.majority() == 1 {
            return self.campaign(false);
        }
        self.role = Role::PreCandidate;
        self.votes = [self.id].into();
        self.favoured = Some((self.id, self.now + FAVOUR_MS));
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for id in self.other_voters() {
            let body = Body::PreVote { last, last_term };
            let message = self.message(id, self.hard_state.term + 1, body);
            self.output.send.push(message);
        }
    }

    /// Starts a term and asks for votes; `transfer` if the leader asked for that.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.follow(self.hard_state.term + 1, None);
        self.hard_state.vote = Some(self.id);
        self.role = Role::Candidate;
        self.votes = [self.id].into();
        if self.is_majority(|id| *id == self.id) {
            return self.lead();
        }
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for id in self.other_voters() {
            self.promise(id, Body::Vote { last, last_term, transfer });
        }
    }

    /// Of instances that ask at the same time, as after a loss of power of all, one is favoured, so
    /// that votes are seldom split.
    pub(super) fn pre_vote(&mut self, from: Id, term: u64, last: u64, last_term: u64) {
        let granted = term > self.hard_state.term
            && !self.has_leader()
            && self.up_to_date(last, last_term)
            && self.favours(from, last, last_term);
        if granted {
            self.favour(from);
        }
        let answer_term = if granted { term } else { self.hard_state.term };
        let message = self.message(from, answer_term, Body::PreVoted { granted });
        self.output.send.push(message);
    }

    /// Whether no other is favoured at present, or this instance itself against one that should
    /// rather lead: its log is longer, or as long and its id is lower.
    fn favours(&self, from: Id, last: u64, last_term: u64) -> bool {
        match self.favoured.filter(|(_, until)| self.now < *until) {
            Some((id, _)) if id == self.id => {
                let own = (self.log.last_term(), self.log.last());
                (last_term, last) > own || from < self.id
            }
            Some((id, _)) => id == from,
            None => true,
        }
    }

    fn favour(&mut self, id: Id) {
        let until = self.now + FAVOUR_MS;
        self.favoured = Some((id, until));
        self.election_at = self.election_at.max(until);
        if self.role == Role::PreCandidate {
            self.role = Role::Follower;
            self.votes.clear();
        }
    }

    pub(super) fn pre_voted(&mut self, from: Id, term: u64) {
        if self.role == Role::PreCandidate && term == self.hard_state.term + 1 {
            self.votes.insert(from);
            if self.is_majority(|id| self.votes.contains(id)) {
                self.campaign(false);
            }
        }
    }

    pub(super) fn vote(&mut self, from: Id, last: u64, last_term: u64) {
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free
            && self.role == Role::Follower
            && self.leader.is_none()
            && self.up_to_date(last, last_term);
        if granted {
            self.hard_state.vote = Some(from);
            self.reset_election();
        }
        self.promise(from, Body::Voted { granted });
    }

    pub(super) fn voted(&mut self, from: Id, granted: bool) {
        if self.role == Role::Candidate && granted {
            self.votes.insert(from);
            if self.is_majority(|id| self.votes.contains(id)) {
                self.lead();
            }
        }
    }

    /// Whether a log that ends so holds all that this one may have acknowledged.
    fn up_to_date(&self, last: u64, last_term: u64) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    fn other_voters(&self) -> Vec<Id> {
        self.voters().map(|member| member.id).filter(|id| *id != self.id).collect()
    }
}
