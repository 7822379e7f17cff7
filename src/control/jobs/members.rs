//! Maintains the members of the group without an operator.

use crate::{coordination::membership::Group, util};

use super::{Coordinator, Leadership};

/// Time after which a group with a majority of the configured voters accepts calls, in ms.
const FORM_LIMIT_MS: u64 = 6_000;
/// Shortest time between two log lines about applicants that wait, in ms.
const WAIT_LOG_INTERVAL_MS: u64 = 5_000;

impl Coordinator {
    /// Adds or removes one member if that is due, and marks the group as formed once it has enough
    /// voters, or a majority of them and this instance has led for [`FORM_LIMIT_MS`], or a
    /// configuration is stored: calls were then accepted before, and a voter is being replaced.
    pub(super) fn maintain_members(&self, now_ms: u64) {
        let wanted_voters = self.inner.settings.voters;
        let group = self.inner.replica.group();
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return };
        self.update_formed(now_ms, leadership, group.voters());
        let Some(change) = leadership.member_monitor.next_change(now_ms, wanted_voters, &group)
        else {
            return leadership.log_applicants(now_ms, &group);
        };
        log::info!(
            "event=voter_change change={change:?} voters={} learners={} unresponsive={}",
            group.voters(),
            group.learners(),
            group.unresponsive()
        );
        self.inner.meter.change_begun(&change);
        let coordinator = self.clone();
        actix_rt::spawn(async move {
            let started_ms = util::boot_ms();
            if let Err(refusal) = coordinator.inner.replica.change(change).await {
                coordinator.inner.meter.change_refused(&change);
                let took_ms = util::boot_ms() - started_ms;
                log::warn!("event=voter_change_refused took_ms={took_ms} refusal={refusal:?}");
            }
        });
    }

    fn update_formed(&self, now_ms: u64, leadership: &Leadership, voters: usize) {
        let wanted_voters = self.inner.settings.voters;
        let overdue = leadership.started_ms + FORM_LIMIT_MS <= now_ms;
        let served = self.inner.replica.state().queues().config().is_some();
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
    }
}

impl Leadership {
    /// Logs applicants that have waited for long, with what decides about them.
    fn log_applicants(&mut self, now_ms: u64, group: &Group) {
        let Some(oldest) = group.applicants.iter().max_by_key(|applicant| applicant.waited_ms)
        else {
            return;
        };
        let due = now_ms >= self.applicants_logged_ms + WAIT_LOG_INTERVAL_MS;
        if !due || oldest.waited_ms < WAIT_LOG_INTERVAL_MS {
            return;
        }
        self.applicants_logged_ms = now_ms;
        log::info!(
            "event=applicants_wait applicants={} oldest={} oldest_ms={} voters={} learners={} \
             unresponsive={}",
            group.applicants.len(),
            oldest.hello.peer,
            oldest.waited_ms,
            group.voters(),
            group.learners(),
            group.unresponsive()
        );
    }
}
