//! Decides whether a blank instance may form a cluster. An empty disk says nothing about the world,
//! so it is formed only on the word of other instances that they are blank too.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::{
    id,
    wire::peer::{Id, Standing},
};

/// Time for which all seeds are waited for before a majority suffices, in ms. Instances that start
/// together, and one that is paused for a moment, answer in this time.
const PATIENCE_MS: u64 = 3_000;
/// Time for which an answer counts, in ms, from when it was requested.
const ANSWER_MAX_AGE_MS: u64 = 1_000;

/// What an answer means for the formation of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// The instance belongs to no cluster, and its disk is that of the system's first start: it has
    /// never belonged to one.
    Blank,
    /// The instance belongs to no cluster, and its disk is not that of the first start. It may have
    /// lost that one, or be new.
    NotFirstStart,
    /// The instance was being added to a cluster whose only voter was a lost disk of this instance.
    Abandoned,
    /// The instance belongs to a cluster.
    Member,
    /// The answer comes from this instance itself.
    Own,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Form,
    /// Another instance belongs to a cluster.
    WaitForMembers,
    /// Fewer instances than a majority of the voters are known to be blank.
    WaitForMajority,
    /// A seed has not said that it is blank.
    WaitForSeeds,
}

/// The answers that an instance without a cluster has got from others.
#[derive(Debug)]
pub struct Formation {
    id: Id,
    /// The seeds without this instance.
    seeds: IndexSet<SocketAddr>,
    /// Smallest number of voters that may have accepted something.
    majority: usize,
    started_ms: u64,
    /// Start of the wait for all seeds. A pause of this process starts it again.
    waiting_since_ms: u64,
    decided_ms: u64,
    answers: IndexMap<SocketAddr, Answer>,
}

#[derive(Debug)]
struct Answer {
    node: id::Node,
    claim: Claim,
    asked_ms: u64,
}

impl Formation {
    /// A formation by instance `id` at `addr`. The cluster is to have `voters` voters.
    pub fn new(
        now_ms: u64,
        id: Id,
        addr: SocketAddr,
        seeds: &[SocketAddr],
        voters: usize,
    ) -> Formation {
        Formation {
            id,
            seeds: seeds.iter().copied().filter(|seed| *seed != addr).collect(),
            majority: voters / 2 + 1,
            started_ms: now_ms,
            waiting_since_ms: now_ms,
            decided_ms: now_ms,
            answers: IndexMap::new(),
        }
    }

    /// Records an answer to a call that was made at `asked_ms`. Returns what it means, if the
    /// instance at `addr` had not said the same before.
    pub fn record(
        &mut self,
        addr: SocketAddr,
        asked_ms: u64,
        standing: &Standing,
    ) -> Option<Claim> {
        let claim = self.claim(standing);
        if claim == Claim::Own {
            return self.seeds.shift_remove(&addr).then_some(claim);
        }
        let answer = Answer { node: standing.id.node, claim, asked_ms };
        match self.answers.get(&addr) {
            Some(newer) if newer.asked_ms > asked_ms && claim != Claim::Member => None,
            // A member that is blank now has lost its disk, and others of its cluster may live.
            Some(Answer { claim: Claim::Member, .. })
                if matches!(claim, Claim::Blank | Claim::NotFirstStart) =>
            {
                None
            }
            _ => {
                let earlier = self.answers.insert(addr, answer);
                earlier.is_none_or(|earlier| earlier.claim != claim).then_some(claim)
            }
        }
    }

    fn claim(&self, standing: &Standing) -> Claim {
        if standing.id == self.id {
            return Claim::Own;
        }
        if standing.cluster.is_none() {
            return if standing.first_start { Claim::Blank } else { Claim::NotFirstStart };
        }
        // A cluster of a single voter ends with that voter's disk. Without a voter in its log, the
        // instance only knows that a cluster exists.
        let voters = &standing.voters;
        let ended = !voters.is_empty()
            && voters.iter().all(|voter| voter.node == self.id.node && *voter != self.id)
            && !voters.contains(&standing.id)
            && !standing.has_leader;
        if ended { Claim::Abandoned } else { Claim::Member }
    }

    /// Decides. Call at each tick: a longer gap between two calls counts as a pause of this process,
    /// in which the others could not be heard.
    pub fn step(&mut self, now_ms: u64) -> Step {
        if now_ms > self.decided_ms + ANSWER_MAX_AGE_MS {
            self.waiting_since_ms = now_ms;
        }
        self.decided_ms = now_ms;
        if self.answers.values().any(|answer| answer.claim == Claim::Member) {
            return Step::WaitForMembers;
        }
        if self.blank(now_ms) < self.majority {
            return Step::WaitForMajority;
        }
        let blank_seeds = self.seeds.iter().filter(|seed| self.is_blank(seed, now_ms)).count();
        let waited = now_ms >= self.waiting_since_ms + PATIENCE_MS;
        let most_seeds = blank_seeds + 1 > self.seed_count() / 2;
        if blank_seeds == self.seeds.len() || (waited && most_seeds) {
            return Step::Form;
        }
        Step::WaitForSeeds
    }

    /// Number of instances that are blank, with this one.
    pub fn blank(&self, now_ms: u64) -> usize {
        let blank = self.answers.iter().filter(|(addr, _)| self.is_blank(addr, now_ms));
        let nodes: IndexSet<id::Node> = blank.map(|(_, answer)| answer.node).collect();
        1 + nodes.iter().filter(|node| **node != self.id.node).count()
    }

    fn is_blank(&self, addr: &SocketAddr, now_ms: u64) -> bool {
        let fresh = |answer: &&Answer| now_ms <= answer.asked_ms + ANSWER_MAX_AGE_MS;
        self.answers.get(addr).filter(fresh).is_some_and(|answer| answer.claim == Claim::Blank)
    }

    /// Number of seeds, with this instance.
    pub fn seed_count(&self) -> usize {
        1 + self.seeds.len()
    }

    pub fn waited_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }
}
