//! Voters without an operator: applicants fill empty seats and take those of silent voters.

use crate::{
    control::replica::GroupStatus,
    protocol::wire::{control::MemberChange, peer},
    util,
};

use super::Coordinator;

/// How long a voter must be silent before an applicant takes its seat, in ms.
const SILENT_MS: u64 = 1_500;
/// Pause between two changes, in ms.
const CHANGE_PAUSE_MS: u64 = 200;
/// Time after which a group with fewer voters than wanted takes work all the same, in ms.
const FORM_LIMIT_MS: u64 = 6_000;

/// What the leader remembers of the voters.
#[derive(Debug)]
pub struct Watch {
    changed_ms: u64,
    since_ms: u64,
    /// Silent voters and since when.
    silent: Vec<(peer::Id, u64)>,
}

impl Watch {
    pub fn new(now_ms: u64) -> Watch {
        Watch { changed_ms: now_ms, since_ms: now_ms, silent: Vec::new() }
    }

    /// The next change that the members need.
    pub fn next(
        &mut self,
        now_ms: u64,
        wanted: usize,
        standing: &GroupStatus,
    ) -> Option<MemberChange> {
        let silent = |id: &peer::Id| standing.unresponsive.contains(id);
        self.silent.retain(|(id, _)| silent(id));
        for id in &standing.unresponsive {
            if !self.silent.iter().any(|(known, _)| known == id) {
                self.silent.push((*id, now_ms));
            }
        }
        if now_ms < self.changed_ms + CHANGE_PAUSE_MS {
            return None;
        }
        let applicant = standing.applicants.first()?;
        let change = if standing.members < wanted {
            MemberChange::Add { addr: applicant.peer }
        } else {
            let (id, _) = self.silent.iter().find(|(_, since)| since + SILENT_MS <= now_ms)?;
            MemberChange::Remove { node: id.node, disk: id.disk }
        };
        self.changed_ms = now_ms;
        Some(change)
    }
}

impl Coordinator {
    pub(super) fn tend_members(&self, now_ms: u64) {
        let wanted = self.inner.settings.voters;
        let standing = self.inner.replica.group_status();
        let mut lead = self.inner.lead.borrow_mut();
        let Some(lead) = lead.as_mut() else { return };
        let late = lead.members.since_ms + FORM_LIMIT_MS <= now_ms;
        if !self.inner.formed.get() && (standing.voters >= wanted || late) {
            log::info!("event=group_formed voters={} wanted={wanted}", standing.voters);
            self.inner.formed.set(true);
        }
        let Some(change) = lead.members.next(now_ms, wanted, &standing) else { return };
        log::info!("event=voter_change change={change:?} voters={}", standing.voters);
        let replica = self.inner.replica.clone();
        actix_rt::spawn(async move {
            let asked_ms = util::boot_ms();
            if let Err(refusal) = replica.change_members(change).await {
                let took_ms = util::boot_ms() - asked_ms;
                log::warn!("event=voter_change_refused took_ms={took_ms} refusal={refusal:?}");
            }
        });
    }
}
