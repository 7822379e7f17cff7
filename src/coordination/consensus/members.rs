//! Membership changes: one member at a time, and each change is committed before the next begins.

use super::{Change, Hello, Id, Instance, Member, Payload, Purpose, Refusal, Role};
use crate::protocol::id;

/// Time after its last introduction for which an instance counts as an applicant, in ms. It exceeds
/// four intervals between introductions, of which some may be lost.
const APPLICANT_MAX_AGE_MS: u64 = 1_500;

/// Time for which the announcement of a member that it stops counts, in ms. It is repeated until the
/// member stops, and one that starts again must not be taken for one that stops.
const LEAVING_MAX_AGE_MS: u64 = 500;

/// An instance that has introduced itself to this leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct Applicant {
    hello: Hello,
    first_at: u64,
    last_at: u64,
}

impl Applicant {
    fn is_current(&self, now: u64) -> bool {
        now <= self.last_at + APPLICANT_MAX_AGE_MS
    }
}

impl Instance {
    /// Begins a change that an operator requests. Returns the index of its log entry, or `None` if
    /// the change is already in force. An added instance is a learner and becomes a voter as soon
    /// as it has caught up.
    pub fn change(&mut self, change: Change) -> Result<Option<u64>, Refusal> {
        self.check_accepts_calls()?;
        if !self.ready_for_member_change() {
            return Err(Refusal::Busy("another change of the members is in progress".to_owned()));
        }
        let mut members = self.log.members().to_vec();
        match change {
            Change::Add(hello) => {
                if members.iter().any(|m| m.id == hello.id) {
                    return Ok(None);
                }
                members.push(learner(hello));
            }
            Change::Remove(id) => {
                let invalid = |reason: &str| Err(Refusal::Invalid(reason.to_owned()));
                if id == self.id {
                    return invalid("the leader cannot be removed: stop it or hand over first");
                }
                if !members.iter().any(|m| m.id == id) {
                    return invalid("no such member");
                }
                members.retain(|m| m.id != id);
                if !self.has_responsive_majority(&members) {
                    return invalid("the others would have no majority");
                }
                self.applicants.remove(&id.node.0);
            }
        }
        Ok(Some(self.propose_members(members)))
    }

    /// Limits the number of voters that learners are made. Further learners replicate the log, so that
    /// they can replace a voter at once.
    pub fn limit_voters(&mut self, max_voters: usize) {
        self.max_voters = max_voters;
    }

    /// Handles the introduction of an instance. Only a leader keeps it; a leader also introduces itself.
    pub fn hello(&mut self, hello: Hello) {
        let ours = hello.cluster.is_none() || hello.cluster == self.hard_state.cluster;
        let other_disk = hello.id.node == self.id.node && hello.id != self.id;
        if self.role != Role::Leader || !ours || other_disk {
            return;
        }
        match hello.purpose {
            Purpose::Join => self.add_applicant(hello),
            Purpose::Leave => {
                self.applicants.remove(&hello.id.node.0);
                if self.log.members().iter().any(|m| m.id == hello.id) {
                    self.leaving.insert(hello.id, self.now);
                }
            }
            Purpose::Ask | Purpose::Find(_) => {}
        }
    }

    fn add_applicant(&mut self, hello: Hello) {
        self.leaving.remove(&hello.id);
        let now = self.now;
        let known = self.applicants.get(&hello.id.node.0).filter(|known| known.is_current(now));
        let first_at = known.map_or(now, |known| known.first_at);
        self.applicants.insert(hello.id.node.0, Applicant { hello, first_at, last_at: now });
    }

    /// Instances that keep introducing themselves to this leader, each with the time since its first
    /// introduction, in ms.
    pub fn applicants(&self) -> impl Iterator<Item = (&Hello, u64)> {
        self.applicants
            .values()
            .filter(|applicant| applicant.is_current(self.now))
            .map(|applicant| (&applicant.hello, self.now - applicant.first_at))
    }

    /// Whether a member has announced to this leader that it stops.
    pub fn is_leaving(&self, id: &Id) -> bool {
        self.leaving.get(id).is_some_and(|at| self.now <= at + LEAVING_MAX_AGE_MS)
    }

    /// Whether another membership change may begin: this leader has committed an entry of its term,
    /// and the latest membership entry is committed.
    fn ready_for_member_change(&self) -> bool {
        self.has_committed_in_term() && self.log.members_index() <= self.commit_index
    }

    fn propose_members(&mut self, members: Vec<Member>) -> u64 {
        self.leaving.retain(|id, _| members.iter().any(|m| m.id == *id));
        let index = self.append(Payload::Members(members));
        self.track_members();
        self.advance_commit();
        index
    }

    /// Begins the membership change that is due, if any: to remove a member that another one
    /// replaces, to make a voter of a learner, to record a member's new addresses, or to add a
    /// learner for a data directory that replaces a lost one.
    pub(super) fn maintain_members(&mut self) {
        if !self.ready_for_member_change() || self.transfer.is_some() {
            return;
        }
        let changed = self
            .removal()
            .or_else(|| self.promotion())
            .or_else(|| self.address_update())
            .or_else(|| self.learner_addition());
        if let Some(members) = changed {
            self.propose_members(members);
        }
    }

    /// Makes a voter of a learner that has caught up and whose node has no other voter, while voters
    /// are missing.
    fn promotion(&self) -> Option<Vec<Member>> {
        let mut members = self.log.members().to_vec();
        if self.voters().count() >= self.max_voters {
            return None;
        }
        let voting: Vec<id::Node> = self.voters().map(|m| m.id.node).collect();
        let learner = members
            .iter_mut()
            .find(|m| !m.voter && !voting.contains(&m.id.node) && self.is_standby(&m.id))?;
        learner.voter = true;
        self.has_responsive_majority(&members).then_some(members)
    }

    /// Whether a learner could vote at once.
    pub fn is_standby(&self, id: &Id) -> bool {
        let learner = self.log.members().iter().any(|m| m.id == *id && !m.voter);
        learner && self.caught_up(id) && !self.is_leaving(id)
    }

    /// Removes an unresponsive member that another member of its node replaces. A voter is removed
    /// once the other has caught up; a learner as soon as the other responds or was added later.
    ///
    /// The old voter is removed before the new member becomes a voter. If both were voters in a
    /// cluster of three, commits would need three of four voters, and the loss of the new data
    /// directory would block the cluster for good. Without the old voter, the remaining two still
    /// form a majority.
    fn removal(&self) -> Option<Vec<Member>> {
        let members = self.log.members();
        let replaced = |(at, old): &(usize, &Member)| {
            let mut others = members
                .iter()
                .enumerate()
                .filter(|(_, m)| m.id.node == old.id.node && m.id != old.id);
            let by = |(other, m): (usize, &Member)| match old.voter {
                true => self.caught_up(&m.id),
                false => other > *at || self.is_responsive(&m.id),
            };
            !self.is_responsive(&old.id) && others.any(by)
        };
        let old = members.iter().enumerate().find(replaced)?.1.id;
        let rest: Vec<Member> = members.iter().filter(|m| m.id != old).copied().collect();
        self.has_responsive_majority(&rest).then_some(rest)
    }

    /// Records the new addresses of a member that has introduced itself with them.
    fn address_update(&self) -> Option<Vec<Member>> {
        let mut members = self.log.members().to_vec();
        let outdated = members.iter_mut().find_map(|m| {
            let (hello, _) = self.applicants().find(|(hello, _)| hello.id == m.id)?;
            ((hello.peer, hello.client) != (m.peer, m.client)).then_some((m, *hello))
        });
        let (member, hello) = outdated?;
        (member.peer, member.client) = (hello.peer, hello.client);
        Some(members)
    }

    /// Adds a learner for a known node that has returned with another data directory, if no member
    /// of that node is responsive.
    fn learner_addition(&self) -> Option<Vec<Member>> {
        let mut members = self.log.members().to_vec();
        let (applicant, _) = self.applicants().find(|(hello, _)| {
            let mut same_node = members.iter().filter(|m| m.id.node == hello.id.node).peekable();
            same_node.peek().is_some()
                && same_node.all(|m| m.id != hello.id && !self.is_responsive(&m.id))
        })?;
        members.push(learner(*applicant));
        Some(members)
    }

    /// Whether a majority of the voters among `members` is responsive.
    fn has_responsive_majority(&self, members: &[Member]) -> bool {
        let voters = members.iter().filter(|m| m.voter);
        let responsive = voters.clone().filter(|m| self.is_responsive(&m.id)).count();
        responsive > voters.count() / 2
    }
}

fn learner(hello: Hello) -> Member {
    Member { id: hello.id, peer: hello.peer, client: hello.client, voter: false }
}
