//! Maintains the members of the group without an operator. An applicant is added while members are
//! missing. An unresponsive member is removed only while there is an applicant, which a later
//! change can add in its place.

use crate::{
    control::replica::GroupStatus,
    protocol::wire::{control::MemberChange, peer},
    util,
};

use super::Coordinator;

/// Time for which a member must be unresponsive before it is removed, in ms.
const UNRESPONSIVE_LIMIT_MS: u64 = 1_500;
/// Shortest time between two membership changes, in ms.
const CHANGE_INTERVAL_MS: u64 = 200;
/// Time after which a group with a majority of the configured voters accepts calls, in ms.
const FORM_LIMIT_MS: u64 = 6_000;

/// Decides about membership changes. Exists for one term of the leader.
#[derive(Debug)]
pub struct Monitor {
    /// When the last change was decided on.
    changed_ms: u64,
    started_ms: u64,
    /// Members that are unresponsive, and since when.
    unresponsive: Vec<(peer::Id, u64)>,
}

impl Monitor {
    pub fn new(now_ms: u64) -> Monitor {
        Monitor { changed_ms: now_ms, started_ms: now_ms, unresponsive: Vec::new() }
    }

    /// The next change of the members, if one is due. Learners count as members here, because they
    /// become voters once they have caught up.
    pub fn next_change(
        &mut self,
        now_ms: u64,
        wanted_voters: usize,
        status: &GroupStatus,
    ) -> Option<MemberChange> {
        let is_unresponsive = |id: &peer::Id| status.unresponsive.contains(id);
        self.unresponsive.retain(|(id, _)| is_unresponsive(id));
        for id in &status.unresponsive {
            if !self.unresponsive.iter().any(|(known, _)| known == id) {
                self.unresponsive.push((*id, now_ms));
            }
        }
        if now_ms < self.changed_ms + CHANGE_INTERVAL_MS {
            return None;
        }
        // Without an applicant no member is removed either: nothing could replace it.
        let applicant = status.applicants.first()?;
        let change = if status.members < wanted_voters {
            MemberChange::Add { addr: applicant.peer }
        } else {
            let (id, _) = self
                .unresponsive
                .iter()
                .find(|(_, since)| since + UNRESPONSIVE_LIMIT_MS <= now_ms)?;
            MemberChange::Remove { node: id.node, disk: id.disk }
        };
        self.changed_ms = now_ms;
        Some(change)
    }
}

impl Coordinator {
    /// Adds or removes one member if that is due, and marks the group as formed once it has enough
    /// voters, or a majority of them and this instance has led for [`FORM_LIMIT_MS`], or a
    /// configuration is stored: calls were then accepted before, and a voter is being replaced.
    pub(super) fn maintain_members(&self, now_ms: u64) {
        let wanted_voters = self.inner.settings.voters;
        let status = self.inner.replica.group_status();
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return };
        let overdue = leadership.member_monitor.started_ms + FORM_LIMIT_MS <= now_ms;
        let served = self.inner.replica.state().queues().config().is_some();
        let voters = status.voters;
        // What fewer voters than a majority have accepted, the tolerated losses could take.
        let complete = voters >= wanted_voters || (overdue && voters > wanted_voters / 2);
        if !self.inner.formed.get() && (complete || served) {
            let term = leadership.term;
            log::info!(
                "event=group_formed term={term} voters={voters} wanted={wanted_voters} \
                 served={served} overdue={overdue}"
            );
            self.inner.formed.set(true);
        }
        let Some(change) = leadership.member_monitor.next_change(now_ms, wanted_voters, &status)
        else {
            return;
        };
        log::info!("event=voter_change change={change:?} voters={}", status.voters);
        self.inner.meter.change_begun(&change);
        let coordinator = self.clone();
        actix_rt::spawn(async move {
            let started_ms = util::boot_ms();
            if let Err(refusal) = coordinator.inner.replica.change_members(change).await {
                coordinator.inner.meter.change_refused(&change);
                let took_ms = util::boot_ms() - started_ms;
                log::warn!("event=voter_change_refused took_ms={took_ms} refusal={refusal:?}");
            }
        });
    }
}
