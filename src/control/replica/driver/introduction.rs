//! Introductions of this instance to others: while it is outside the group, when it leads, and before it
//! stops.

use std::{net::SocketAddr, rc::Rc};

use indexmap::IndexMap;

use super::{
    super::{Inner, core::Core},
    Driver,
};
use crate::{
    coordination::consensus::Role,
    protocol::wire::peer::{Hello, Purpose, Standing},
};

/// Shortest time between two log lines about the same wait, in ms.
const LOG_INTERVAL_MS: u64 = 5_000;
/// Time after which an instance without a leader, or not listed as a member, logs that it is outside
/// the group, in ms. An election is over by then.
const OUTSIDE_MIN_MS: u64 = 2_000;
/// Number of asked instances that a log line lists.
const LISTED_MAX: usize = 8;
/// Interval at which a leader introduces itself to former members, in ms.
const FORMER_INTERVAL_MS: u64 = 1_000;

/// The introductions that an instance has sent since it last was a member with a leader.
#[derive(Debug, Default)]
pub(in crate::control::replica) struct Introduction {
    since_ms: Option<u64>,
    logged_ms: Option<u64>,
    /// The last answer of each instance that was asked.
    answers: IndexMap<SocketAddr, Option<Answer>>,
}

/// What an instance said of its group.
#[derive(Debug, Clone, Copy)]
struct Answer {
    cluster: Option<u64>,
    leads: bool,
    has_leader: bool,
    voters: usize,
    at_ms: u64,
}

impl Introduction {
    /// Since when the instance has been outside the group, in ms since the replica started.
    pub fn since_ms(&self) -> Option<u64> {
        self.since_ms
    }

    fn begin(&mut self, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
    }

    /// Ends the wait. Returns how long it took, if that was logged before.
    fn end(&mut self, now_ms: u64) -> Option<u64> {
        let since_ms = self.since_ms.take()?;
        self.answers.clear();
        self.logged_ms.take().map(|_| now_ms.saturating_sub(since_ms))
    }

    fn asked(&mut self, addr: SocketAddr) {
        self.answers.entry(addr).or_default();
    }

    fn answered(&mut self, now_ms: u64, addr: SocketAddr, standing: &Standing) {
        let answer = Answer {
            cluster: standing.cluster,
            leads: standing.leads,
            has_leader: standing.has_leader,
            voters: standing.voters.len(),
            at_ms: now_ms,
        };
        self.answers.insert(addr, Some(answer));
    }

    /// What to log of the wait now, if anything is due.
    fn due_line(&mut self, now_ms: u64) -> Option<String> {
        let outside_ms = now_ms.saturating_sub(self.since_ms?);
        let logged_lately = self.logged_ms.is_some_and(|at| now_ms < at + LOG_INTERVAL_MS);
        if outside_ms < OUTSIDE_MIN_MS || logged_lately {
            return None;
        }
        self.logged_ms = Some(now_ms);
        let answered = self.answers.values().flatten().count();
        let led = self.answers.values().flatten().filter(|answer| answer.leads).count();
        let listed: Vec<String> = self
            .answers
            .iter()
            .take(LISTED_MAX)
            .map(|(addr, answer)| format!("{addr}={}", describe(answer.as_ref(), now_ms)))
            .collect();
        Some(format!(
            "outside_ms={outside_ms} asked={} answered={answered} leaders={led} answers={:?}",
            self.answers.len(),
            listed.join(" ")
        ))
    }
}

fn describe(answer: Option<&Answer>, now_ms: u64) -> String {
    let Some(answer) = answer else { return "none".to_owned() };
    let role = match answer {
        Answer { cluster: None, .. } => "blank",
        Answer { leads: true, .. } => "leader",
        Answer { has_leader: true, .. } => "has_leader",
        Answer { .. } => "no_leader",
    };
    let age_ms = now_ms.saturating_sub(answer.at_ms);
    format!("{role},voters:{},age_ms:{age_ms}", answer.voters)
}

impl Driver {
    /// Sends an introduction to all known instances while this one has no leader, or is not listed
    /// as a member with its current addresses. A leader introduces itself to itself, so that a
    /// change of its own addresses is recorded, and to former members, which may have been removed
    /// while they were cut off.
    pub(super) fn introduce(&self, inner: &Rc<Inner>, core: &mut Core) {
        let hello = self.own_hello(core);
        core.contacts.update_members(self.now(), core.instance.member_lists());
        let listed = core
            .instance
            .members()
            .iter()
            .any(|m| m.id == hello.id && m.peer == hello.peer && m.client == hello.client);
        let leads = core.instance.role() == Role::Leader;
        if leads || (listed && core.instance.leader().is_some()) {
            self.end_introduction(core);
            if leads {
                core.instance.hello(hello);
                self.contact_former(inner, core, hello);
            }
            return;
        }
        core.introduction.begin(self.now());
        if !self.leaving.get() {
            self.send_introductions(inner, core, hello);
            self.log_outside(core, listed);
        }
    }

    fn end_introduction(&self, core: &mut Core) {
        if let Some(outside_ms) = core.introduction.end(self.now()) {
            let voter = core.instance.is_voter();
            log::info!("event=inside_group outside_ms={outside_ms} voter={voter}");
        }
    }

    fn send_introductions(&self, inner: &Rc<Inner>, core: &mut Core, hello: Hello) {
        let candidates = core.contacts.candidates();
        let mut addrs = candidates.clone();
        addrs.extend(core.routes.values().copied());
        for addr in addrs.into_iter().filter(|addr| *addr != hello.peer) {
            // Without a cluster, any leader would add this instance.
            let purpose = match hello.cluster.is_some() || candidates.contains(&addr) {
                true => Purpose::Join,
                false => Purpose::Ask,
            };
            core.introduction.asked(addr);
            self.send_hello(inner, addr, Hello { purpose, ..hello });
        }
    }

    fn log_outside(&self, core: &mut Core, listed: bool) {
        let Some(line) = core.introduction.due_line(self.now()) else { return };
        let instance = &core.instance;
        let (id, role, term) = (instance.id(), instance.role(), instance.term());
        let voters = instance.members().iter().filter(|member| member.voter).count();
        log::warn!(
            "event=outside_group node={} disk={} listed={listed} role={role:?} term={term} \
             own_voters={voters} {line}",
            id.node.0,
            id.disk.0
        );
    }

    fn own_hello(&self, core: &Core) -> Hello {
        Hello {
            cluster: core.instance.cluster().or(core.contacts.cluster()),
            id: core.instance.id(),
            peer: self.peer_addr.get(),
            client: self.client_addr.get(),
            purpose: Purpose::Join,
        }
    }

    fn contact_former(&self, inner: &Rc<Inner>, core: &mut Core, hello: Hello) {
        let now = self.now();
        if now < core.former_hello_at {
            return;
        }
        core.former_hello_at = now + FORMER_INTERVAL_MS;
        for (id, addr) in core.contacts.former(now) {
            self.send_hello(inner, addr, Hello { purpose: Purpose::Find(id), ..hello });
        }
    }

    /// Asks the leader to let a learner vote in place of this instance, which introduces itself to nobody
    /// any more. Returns whether that may still happen.
    pub async fn request_replacement(&self) -> bool {
        self.leaving.set(true);
        let (leader, hello) = {
            let core = self.core.borrow();
            let members = core.instance.members();
            if !core.instance.is_voter() || members.iter().all(|member| member.voter) {
                return false;
            }
            let leader = core.instance.leader();
            let leader = members.iter().find(|m| Some(m.id) == leader).copied();
            (leader, Hello { purpose: Purpose::Leave, ..self.own_hello(&core) })
        };
        let Some(leader) = leader else { return true };
        if leader.id == hello.id {
            return true;
        }
        let Some(standing) = self.peers.ask(leader.peer, hello).await else { return true };
        let votes = standing.voters.contains(&hello.id);
        let learners = standing.members.len() > standing.voters.len();
        log::info!(
            "event=replacement_requested leader={} leads={} votes={votes} learners={learners}",
            leader.peer,
            standing.leads
        );
        !standing.leads || (votes && learners)
    }

    /// Records the answer to an introduction of this instance.
    pub(super) fn record_answer(&self, core: &mut Core, addr: SocketAddr, standing: &Standing) {
        if core.introduction.since_ms().is_some() {
            core.introduction.answered(self.now(), addr, standing);
        }
    }

    /// Counts the introduction of another instance, and logs it unless that was done a moment ago.
    pub(super) fn record_hello(&self, core: &mut Core, hello: &Hello) {
        let leads = core.instance.role() == Role::Leader;
        if !core.heard.record(self.now(), hello.id, leads) {
            return;
        }
        let member = core.instance.members().iter().any(|m| m.id == hello.id);
        let leader = core.leader();
        log::info!(
            "event=introduction peer={} node={} disk={} purpose={:?} member={member} leads={leads} \
             leader={leader:?}",
            hello.peer,
            hello.id.node.0,
            hello.id.disk.0,
            hello.purpose
        );
    }
}
