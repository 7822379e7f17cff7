//! Decides about the members of a group that maintains itself. Every instance that introduces itself is
//! added as a learner, up to a limit. A voter is removed only while a learner has caught up that votes
//! in its place.

use crate::{
    coordination::consensus::Change,
    protocol::wire::peer::{Hello, Id},
};

/// Time for which a voter must be unresponsive before a learner replaces it, in ms. Each new leader
/// waits anew, and a voter that was only paused returns as a learner.
const VOTER_LIMIT_MS: u64 = 400;
/// Time for which a learner must be unresponsive before it is removed, in ms.
const LEARNER_LIMIT_MS: u64 = 1_500;
/// Shortest time between two membership changes, in ms.
const CHANGE_INTERVAL_MS: u64 = 200;
/// Number of learners beyond the wanted voters. Two, so that one that fails delays no other one.
const STANDBYS_MAX: usize = 2;

/// State of the group as its leader sees it; empty elsewhere.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Group {
    pub members: Vec<Member>,
    /// Instances that keep introducing themselves but are not members.
    pub applicants: Vec<Applicant>,
}

/// A member as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    pub id: Id,
    pub voter: bool,
    /// Whether it has replied within an election timeout, and has lost no entries that it acknowledged.
    pub responsive: bool,
    /// Whether it is a learner that could vote at once.
    pub standby: bool,
    /// Whether it has announced that it stops.
    pub leaving: bool,
}

/// An instance that asks to be added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applicant {
    pub hello: Hello,
    /// Time since its first introduction to this leader, in ms.
    pub waited_ms: u64,
}

impl Group {
    pub fn voters(&self) -> usize {
        self.members.iter().filter(|member| member.voter).count()
    }

    pub fn learners(&self) -> usize {
        self.members.len() - self.voters()
    }

    pub fn unresponsive(&self) -> usize {
        self.members.iter().filter(|member| !member.responsive).count()
    }
}

/// Chooses the changes. Exists for one term of the leader.
#[derive(Debug)]
pub struct Monitor {
    /// When the last change was decided on.
    changed_ms: u64,
    /// Members that are unresponsive, and since when, the longest first.
    unresponsive: Vec<(Id, u64)>,
}

impl Monitor {
    pub fn new(now_ms: u64) -> Monitor {
        Monitor { changed_ms: now_ms, unresponsive: Vec::new() }
    }

    /// The next change, if one is due. A learner becomes a voter without a change from here, as soon as
    /// it has caught up and voters are missing.
    pub fn next_change(
        &mut self,
        now_ms: u64,
        wanted_voters: usize,
        group: &Group,
    ) -> Option<Change> {
        self.update_unresponsive(now_ms, group);
        if now_ms < self.changed_ms + CHANGE_INTERVAL_MS {
            return None;
        }
        let change = self
            .learner_removal(now_ms, group)
            .or_else(|| self.voter_removal(now_ms, wanted_voters, group))
            .or_else(|| addition(wanted_voters, group))?;
        self.changed_ms = now_ms;
        Some(change)
    }

    fn update_unresponsive(&mut self, now_ms: u64, group: &Group) {
        let is_unresponsive = |id: &Id| group.members.iter().any(|m| m.id == *id && !m.responsive);
        self.unresponsive.retain(|(id, _)| is_unresponsive(id));
        for member in group.members.iter().filter(|member| !member.responsive) {
            if !self.unresponsive.iter().any(|(known, _)| *known == member.id) {
                self.unresponsive.push((member.id, now_ms));
            }
        }
    }

    /// Removes a learner that is gone, so that it takes no place.
    fn learner_removal(&self, now_ms: u64, group: &Group) -> Option<Change> {
        let gone =
            |m: &&Member| !m.voter && (m.leaving || self.is_gone(now_ms, &m.id, LEARNER_LIMIT_MS));
        group.members.iter().find(gone).map(|member| Change::Remove(member.id))
    }

    /// Removes a voter that stops or is gone while a learner can vote in its place.
    fn voter_removal(&self, now_ms: u64, wanted_voters: usize, group: &Group) -> Option<Change> {
        let voter = |id: &Id| group.members.iter().find(|m| m.id == *id && m.voter);
        // A learner with another disk of a voter's node can only replace that voter.
        let replaces = |learner: &Member| {
            group.members.iter().any(|m| m.voter && m.id.node == learner.id.node)
        };
        let standby = group.members.iter().any(|member| member.standby && !replaces(member));
        if !standby || group.voters() < wanted_voters {
            return None;
        }
        let leaving = group.members.iter().find(|member| member.voter && member.leaving);
        let gone = self
            .unresponsive
            .iter()
            .filter(|(id, _)| self.is_gone(now_ms, id, VOTER_LIMIT_MS))
            .find_map(|(id, _)| voter(id));
        gone.or(leaving).map(|member| Change::Remove(member.id))
    }

    fn is_gone(&self, now_ms: u64, id: &Id, limit_ms: u64) -> bool {
        let overdue = |since: &u64| since + limit_ms <= now_ms;
        self.unresponsive.iter().any(|(known, since)| known == id && overdue(since))
    }
}

/// Adds an applicant of a node that has no member: another disk of a member's node replaces that one
/// without a change from here.
fn addition(wanted_voters: usize, group: &Group) -> Option<Change> {
    if group.members.len() >= wanted_voters + STANDBYS_MAX {
        return None;
    }
    let is_new = |hello: &Hello| group.members.iter().all(|m| m.id.node != hello.id.node);
    // One that was removed because it could not be reached waits anew, behind the others.
    let new = group.applicants.iter().filter(|applicant| is_new(&applicant.hello));
    let applicant = new.max_by_key(|applicant| applicant.waited_ms)?;
    Some(Change::Add(applicant.hello))
}
