//! Elections: a majority must agree to a vote before a term is started, so that an instance that
//! was cut off does not disturb a working leader when it returns.

use super::{Body, Id, Instance, Role};

impl Instance {
    pub(super) fn election_due(&mut self) {
        self.reset_election();
        self.leader = None;
        if !self.votes() {
            return;
        }
        if self.majority() == 1 {
            return self.campaign(false);
        }
        self.role = Role::PreCandidate;
        self.votes = [self.id].into();
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for id in self.other_voters() {
            let body = Body::PreVote { last, last_term };
            let message = self.message(id, self.hard.term + 1, body);
            self.output.send.push(message);
        }
    }

    /// Starts a term and asks for votes; `transfer` if the leader asked for that.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.follow(self.hard.term + 1, None);
        self.hard.vote = Some(self.id);
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

    pub(super) fn pre_vote(&mut self, from: Id, term: u64, last: u64, last_term: u64) {
        let granted =
            term > self.hard.term && !self.has_leader() && self.up_to_date(last, last_term);
        let answer_term = if granted { term } else { self.hard.term };
        let message = self.message(from, answer_term, Body::PreVoted { granted });
        self.output.send.push(message);
    }

    pub(super) fn pre_voted(&mut self, from: Id, term: u64) {
        if self.role == Role::PreCandidate && term == self.hard.term + 1 {
            self.votes.insert(from);
            if self.is_majority(|id| self.votes.contains(id)) {
                self.campaign(false);
            }
        }
    }

    pub(super) fn vote(&mut self, from: Id, last: u64, last_term: u64) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free
            && self.role == Role::Follower
            && self.leader.is_none()
            && self.up_to_date(last, last_term);
        if granted {
            self.hard.vote = Some(from);
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
