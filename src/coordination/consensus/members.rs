//! Changes of the members: one at a time, and each is committed before the next begins.

use super::{Change, Hello, Instance, Member, Payload, Refusal, Role};
use crate::protocol::id;

impl Instance {
    /// Takes up a change that an operator asks for. Returns the index of its entry, `None`
    /// if nothing has to be changed. A learner votes as soon as it has caught up.
    pub fn change(&mut self, change: Change) -> Result<Option<u64>, Refusal> {
        self.check_leader()?;
        if !self.settled() {
            return Err(Refusal::Busy("another change of the voters is in progress".to_owned()));
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
                    return invalid("no such voter");
                }
                members.retain(|m| m.id != id);
                if !self.would_work(&members) {
                    return invalid("the others would have no majority");
                }
                self.applicants.remove(&id.node.0);
            }
        }
        Ok(Some(self.set_members(members)))
    }

    /// An instance that knows no leader introduces itself.
    pub fn hello(&mut self, hello: Hello) {
        let ours = hello.cluster.is_none() || hello.cluster == self.hard_state.cluster;
        if self.role == Role::Leader
            && ours
            && (hello.id.node != self.id.node || hello.id == self.id)
        {
            self.applicants.insert(hello.id.node.0, hello);
        }
    }

    /// Instances that have introduced themselves to this leader.
    pub fn applicants(&self) -> impl Iterator<Item = &Hello> {
        self.applicants.values()
    }

    /// Whether a further change may begin.
    fn settled(&self) -> bool {
        self.in_charge() && self.log.members_index() <= self.commit
    }

    fn set_members(&mut self, members: Vec<Member>) -> u64 {
        let index = self.append(Payload::Members(members));
        self.track_members();
        self.advance_commit();
        index
    }

    /// Takes the next step of replacing a voter whose folder was lost.
    pub(super) fn tend_members(&mut self) {
        if !self.settled() || self.transfer.is_some() {
            return;
        }
        let next = self
            .removal()
            .or_else(|| self.promotion())
            .or_else(|| self.moved())
            .or_else(|| self.admission());
        if let Some(members) = next {
            self.set_members(members);
        }
    }

    /// Lets a learner vote that has caught up and whose node has no other voter.
    fn promotion(&self) -> Option<Vec<Member>> {
        let mut members = self.log.members().to_vec();
        let voting: Vec<id::Node> = self.voters().map(|m| m.id.node).collect();
        let learner = members
            .iter_mut()
            .find(|m| !m.votes && !voting.contains(&m.id.node) && self.caught_up(&m.id))?;
        learner.votes = true;
        self.would_work(&members).then_some(members)
    }

    /// Removes a silent member that another of its node takes the place of: a voter once the other
    /// has caught up, a learner at once.
    ///
    /// The old voter goes before the new one votes. With both in a group of three, commits would
    /// need three of four, and if the new folder were lost as well, nothing could ever commit
    /// again; without the old one, the other two go on as before.
    fn removal(&self) -> Option<Vec<Member>> {
        let members = self.log.members();
        let replaced = |(at, old): &(usize, &Member)| {
            let mut others = members
                .iter()
                .enumerate()
                .filter(|(_, m)| m.id.node == old.id.node && m.id != old.id);
            let by = |(other, m): (usize, &Member)| match old.votes {
                true => self.caught_up(&m.id),
                false => other > *at || self.answering(&m.id),
            };
            !self.answering(&old.id) && others.any(by)
        };
        let old = members.iter().enumerate().find(replaced)?.1.id;
        let rest: Vec<Member> = members.iter().filter(|m| m.id != old).copied().collect();
        self.would_work(&rest).then_some(rest)
    }

    /// Notes the new address of a member.
    fn moved(&self) -> Option<Vec<Member>> {
        let mut members = self.log.members().to_vec();
        let moved = members.iter_mut().find_map(|m| {
            let hello = self.applicants.get(&m.id.node.0).filter(|hello| hello.id == m.id)?;
            ((hello.peer, hello.client) != (m.peer, m.client)).then_some((m, hello))
        });
        let (member, hello) = moved?;
        (member.peer, member.client) = (hello.peer, hello.client);
        Some(members)
    }

    /// Takes in an instance of a known node that has come back with another folder.
    fn admission(&self) -> Option<Vec<Member>> {
        let mut members = self.log.members().to_vec();
        let applicant = self.applicants.values().find(|hello| {
            let mut same_node = members.iter().filter(|m| m.id.node == hello.id.node).peekable();
            same_node.peek().is_some()
                && same_node.all(|m| m.id != hello.id && !self.answering(&m.id))
        })?;
        members.push(learner(*applicant));
        Some(members)
    }

    /// Whether a majority of the voters among `members` answers.
    fn would_work(&self, members: &[Member]) -> bool {
        let voters = members.iter().filter(|m| m.votes);
        let answering = voters.clone().filter(|m| self.answering(&m.id)).count();
        answering > voters.count() / 2
    }
}

fn learner(hello: Hello) -> Member {
    Member { id: hello.id, peer: hello.peer, client: hello.client, votes: false }
}
