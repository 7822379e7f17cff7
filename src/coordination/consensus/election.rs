//! Elections. A candidate needs pre-votes of a majority before it starts a new term, so that an
//! instance that was partitioned does not depose a working leader when it returns.

use rand::Rng;

use super::{Body, Id, Instance, Role};

/// Time for which an instance that has granted a pre-vote refuses pre-votes of other candidates, in
/// ms. A round of votes fits in, with its two syncs of the hard state to disk: the candidate's
/// before it requests votes, and each voter's before it replies.
const PRE_VOTE_HOLD_MS: u64 = 50;
/// Bounds of the random time after which a candidate without a majority of pre-votes requests them
/// again, in ms. Both exceed [`PRE_VOTE_HOLD_MS`], so that others get their chance before an
/// instance that cannot win tries again.
const PRE_VOTE_RETRY_MIN_MS: u64 = 80;
const PRE_VOTE_RETRY_MAX_MS: u64 = 160;

impl Instance {
    pub(super) fn on_election_timeout(&mut self) {
        self.election_at =
            self.now + self.random.random_range(PRE_VOTE_RETRY_MIN_MS..=PRE_VOTE_RETRY_MAX_MS);
        self.leader = None;
        if !self.is_voter() {
            return;
        }
        if self.majority() == 1 {
            return self.campaign(false);
        }
        self.role = Role::PreCandidate;
        self.votes = [self.id].into();
        self.pre_vote_hold = Some((self.id, self.now + PRE_VOTE_HOLD_MS));
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for id in self.other_voters() {
            let body = Body::PreVote { last_index, last_term };
            let message = self.message(id, self.hard_state.term + 1, body);
            self.output.messages.push(message);
        }
    }

    /// Starts a new term and requests votes. `transfer` is set if the leader requested the
    /// election.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.become_follower(self.hard_state.term + 1, None);
        self.hard_state.vote = Some(self.id);
        self.role = Role::Candidate;
        self.votes = [self.id].into();
        if self.is_majority(|id| *id == self.id) {
            return self.become_leader();
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for id in self.other_voters() {
            self.send_after_save(id, Body::Vote { last_index, last_term, transfer });
        }
    }

    /// Replies to a request for a pre-vote. When several instances start an election at the same
    /// time, as after a power loss of all, each instance grants its pre-vote to one of them at a
    /// time, so that votes are seldom split.
    pub(super) fn handle_pre_vote(&mut self, from: Id, term: u64, last_index: u64, last_term: u64) {
        let granted = term > self.hard_state.term
            && !self.has_leader()
            && self.up_to_date(last_index, last_term)
            && self.may_grant_pre_vote(from, last_index, last_term);
        if granted {
            self.hold_pre_vote(from);
        }
        let answer_term = if granted { term } else { self.hard_state.term };
        let message = self.message(from, answer_term, Body::PreVoted { granted });
        self.output.messages.push(message);
    }

    /// Whether no pre-vote that was granted to another candidate is in force, see
    /// [`PRE_VOTE_HOLD_MS`]. If this instance has granted its pre-vote to itself, it yields to a
    /// candidate whose log is more up to date, or whose id is lower.
    fn may_grant_pre_vote(&self, from: Id, last_index: u64, last_term: u64) -> bool {
        match self.pre_vote_hold.filter(|(_, until)| self.now < *until) {
            Some((id, _)) if id == self.id => {
                let own = (self.log.last_term(), self.log.last_index());
                (last_term, last_index) > own || from < self.id
            }
            Some((id, _)) => id == from,
            None => true,
        }
    }

    fn hold_pre_vote(&mut self, id: Id) {
        let until = self.now + PRE_VOTE_HOLD_MS;
        self.pre_vote_hold = Some((id, until));
        self.election_at = self.election_at.max(until);
        if self.role == Role::PreCandidate {
            self.role = Role::Follower;
            self.votes.clear();
        }
    }

    pub(super) fn handle_pre_vote_granted(&mut self, from: Id, term: u64) {
        if self.role == Role::PreCandidate && term == self.hard_state.term + 1 {
            self.votes.insert(from);
            if self.is_majority(|id| self.votes.contains(id)) {
                self.campaign(false);
            }
        }
    }

    pub(super) fn handle_vote(&mut self, from: Id, last_index: u64, last_term: u64) {
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free
            && self.role == Role::Follower
            && self.leader.is_none()
            && self.up_to_date(last_index, last_term);
        if granted {
            self.hard_state.vote = Some(from);
            self.reset_election_timer();
        }
        self.send_after_save(from, Body::Voted { granted });
    }

    pub(super) fn handle_voted(&mut self, from: Id, granted: bool) {
        if self.role == Role::Candidate && granted {
            self.votes.insert(from);
            if self.is_majority(|id| self.votes.contains(id)) {
                self.become_leader();
            }
        }
    }

    /// Whether a log that ends at `last_index` and `last_term` holds every entry that this instance
    /// may have acknowledged.
    fn up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Vec<Id> {
        self.voters().map(|member| member.id).filter(|id| *id != self.id).collect()
    }
}
