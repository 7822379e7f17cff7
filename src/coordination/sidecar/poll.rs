//! Polls of the backend server: the lease that each grants, and what its answer tells.

use indexmap::IndexMap;

use super::{
    EPOCHS_MAX, LATE_CALL_MAX_MS, OUTLAST_MAX_MS, Poll, PollReply, Running, Sidecar, Source,
    backend::{Age, Proof},
};
use crate::protocol::{
    queue::{self, Attempt},
    wire::{
        queue::{Completion, Reason},
        work,
    },
};

/// Longest time from a poll to its failure, in ms. A poll that fails later was not waited for: this
/// process was suspended, and the server's answer may wait to be read.
const POLL_AGE_MAX_MS: u64 = 700;

impl Sidecar {
    /// Returns the next poll of the backend server; `None` if there is no server, and until a
    /// leader has assigned a fencing token. The lease in the poll counts as granted at once, since
    /// a call without an answer may have been carried out.
    pub fn poll(&mut self, now_ms: u64) -> Option<Poll> {
        let limit_ms = self.backend_lease_limit();
        let fence = self.fence()?;
        let backend = self.backend.as_mut()?;
        backend.end_lapse(now_ms);
        Some(Poll {
            fence,
            acknowledged: backend.acknowledged(),
            lease_until_ms: backend.lease(now_ms, self.backend_lease_ms, limit_ms),
        })
    }

    /// Returns the fencing token of the calls that are built now.
    pub(super) fn fence(&self) -> Option<u64> {
        (self.token > 0).then(|| self.token * (EPOCHS_MAX + 1) + self.epoch)
    }

    /// Returns when a new lease of the backend server has to expire at the latest, so that no
    /// attempt outlasts the lease of its source for long. For an attempt that is being stopped, that
    /// is the lease at the time of the stop. While an attempt without a lease is being stopped, this is
    /// in the past.
    fn backend_lease_limit(&self) -> Option<u64> {
        let backend = self.backend.as_ref()?;
        let assigned = backend.assignments.values().chain(backend.inherited.values());
        let expiries = assigned.map(|assignment| {
            let until_ms = self.lease_until(assignment.source);
            assignment.stop_lease_ms.map_or(until_ms, |stop_ms| stop_ms.min(until_ms))
        });
        expiries.min().map(|until_ms| until_ms + OUTLAST_MAX_MS)
    }

    /// Whether a poll may ask the backend server to delay its answer until an attempt has ended.
    pub fn may_wait(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| {
            backend.found_clean && backend.accounted && !backend.unresponsive()
        })
    }

    /// Handles the backend server's answer to a poll that was sent at `sent_ms`. An answer that
    /// arrives after a newer one is ignored. Of one that may be older, only the completions count:
    /// their numbers give their order.
    pub fn polled(&mut self, sent_ms: u64, now_ms: u64, reply: PollReply) {
        let Some(backend) = &mut self.backend else { return };
        let age = backend.record_clock(sent_ms, reply.clock_ms, now_ms);
        if age == Age::Older {
            return;
        }
        if age == Age::Newer && std::mem::take(&mut backend.lost) {
            // The server was cut off or stalled, and has not crashed.
            backend.unaccounted.clear();
            let server = backend.server.id.clone();
            log::info!("event=server_reachable server={server}");
            self.withdraw_crash(&server);
            self.actions.report_due = true;
        }
        for completion in reply.completions {
            self.complete(now_ms, completion);
        }
        if age == Age::Newer {
            self.compare_running(sent_ms, now_ms, &reply.running, reply.truncated);
            self.watch_progress(now_ms, reply.clock_ms, &reply.running);
        }
        self.dispatch(now_ms);
    }

    /// Handles a completion from the backend server's list. The leader receives those of its own
    /// attempts and those of attempts that are not assigned here.
    fn complete(&mut self, now_ms: u64, completion: Completion) {
        let Some(backend) = &mut self.backend else { return };
        if !backend.record_completion(completion.number) {
            return;
        }
        let assignment =
            completion.attempt.and_then(|attempt| Some((attempt, backend.remove(&attempt)?)));
        if let Some(progress) = &mut backend.progress {
            progress.record_end(completion.outcome);
        }
        let for_leader = assignment.as_ref().is_none_or(|(_, a)| a.source == Source::Leader);
        if for_leader {
            backend.completions.insert(completion.number, completion.clone());
            self.actions.report_due = true;
        }
        if let Some((attempt, assignment)) = assignment {
            let outcome = match completion.outcome {
                queue::Outcome::Done => work::Outcome::Done,
                queue::Outcome::Failed => work::Outcome::Failed,
                queue::Outcome::Stopped => work::Outcome::Stopped,
            };
            self.record_outcome(
                attempt,
                &assignment,
                outcome,
                now_ms.saturating_sub(assignment.called_ms),
            );
        }
    }

    /// Compares the attempts that run with those that are assigned. Stops running ones that are not
    /// assigned, and removes assigned ones that were stopped and do not run. The list of running
    /// attempts answers a poll that was sent at `sent_ms`. If that answer was `truncated`, it does not
    /// show how the attempts ended that are not in the list.
    fn compare_running(&mut self, sent_ms: u64, now_ms: u64, running: &[Running], truncated: bool) {
        let Some(backend) = &mut self.backend else { return };
        let mut foreign = 0;
        for Running { attempt, .. } in running {
            match backend.assignments.get_mut(attempt) {
                Some(assignment) => assignment.confirm_running(),
                None => {
                    foreign += 1;
                    // Nobody waits for an attempt that is not assigned here.
                    if backend.record_foreign(now_ms, *attempt) {
                        log::info!("event=run_not_wanted run={attempt}");
                        self.actions.stops.push(*attempt);
                    }
                }
            }
        }
        let shows_clean = foreign == 0 && backend.is_fenced(sent_ms);
        if shows_clean && !backend.found_clean {
            backend.found_clean = true;
            self.actions.report_due = true;
        }
        let absent_earlier = match shows_clean && !truncated && !backend.accounted {
            true => {
                backend.accounted = true;
                self.actions.report_due = true;
                std::mem::take(&mut backend.inherited)
            }
            false => IndexMap::new(),
        };
        self.end_all(absent_earlier, Proof::List);
        let Some(backend) = self.backend.as_mut().filter(|_| !truncated) else { return };
        let absent: Vec<Attempt> = backend.absent_after_stop(sent_ms, running);
        for attempt in absent {
            if let Some(assignment) =
                self.backend.as_mut().and_then(|backend| backend.remove(&attempt))
            {
                log::info!("event=stopped_run_absent run={attempt}");
                self.record_outcome(
                    attempt,
                    &assignment,
                    work::Outcome::NotStarted(Reason::NoAnswer),
                    0,
                );
            }
        }
    }

    /// Handles the answer of another server or incarnation to a poll sent at `sent_ms`.
    pub fn poll_misdirected(&mut self, sent_ms: u64, now_ms: u64) {
        if let Some(backend) = &mut self.backend {
            backend.record_other(sent_ms);
        }
        self.poll_failed(sent_ms, now_ms, false);
    }

    /// Handles a poll, sent at `sent_ms`, that the backend server did not answer; `refused` if
    /// nothing listens at its address. The server counts as lost once its lease has expired. If
    /// connections are refused still, it may have crashed under its attempts.
    pub fn poll_failed(&mut self, sent_ms: u64, now_ms: u64, refused: bool) {
        if !refused {
            self.fence_unanswered(sent_ms, now_ms);
        }
        let Some(backend) = &mut self.backend else { return };
        if sent_ms + POLL_AGE_MAX_MS < now_ms {
            log::info!("event=suspended for_ms={}", now_ms - sent_ms);
            return;
        }
        if backend.answered_since(sent_ms) {
            return;
        }
        if !backend.poll_failed(now_ms, refused) {
            if backend.gone() {
                let ended = std::mem::take(&mut backend.inherited);
                let proof = backend.end_proof(Proof::Refusal);
                self.record_crash(false);
                self.end_all(ended, proof);
                if let Some(backend) = self.backend.take_if(|backend| backend.leaving()) {
                    log::info!("event=server_left server={}", backend.server.id);
                }
            } else {
                let ended = backend.take_ended_unheard(now_ms);
                self.end_all(ended, Proof::LateCalls);
            }
            return;
        }
        let ended = backend.mark_lost(Proof::Lease);
        let fence_due = backend.record_loss(now_ms);
        log::warn!(
            "event=server_unreachable server={} refused={refused} may_run={}",
            backend.server.id,
            backend.inherited.len(),
        );
        if fence_due {
            self.fence_lost_server(now_ms);
        }
        self.losses += 1;
        self.end_all(ended, Proof::Lease);
        self.actions.report_due = true;
    }

    /// Raises the fencing token after a call without an answer, unless it carried a lower one or no
    /// lease was sent under the present one. The server may carry the call out late, and would give
    /// what runs by then a lease that counts from that time.
    pub(super) fn fence_unanswered(&mut self, sent_ms: u64, now_ms: u64) {
        if self.backend.as_ref().is_some_and(|backend| backend.may_prolong(sent_ms)) {
            self.raise_fence(now_ms);
        }
    }

    /// Raises the fencing token, so that the lost server refuses starts from before. Without a higher
    /// one, the time until all late calls have been carried out has to pass after starts under the
    /// present one.
    fn fence_lost_server(&mut self, now_ms: u64) {
        let raised = self.raise_fence(now_ms);
        if let Some(backend) = self.backend.as_mut().filter(|_| !raised) {
            let late_ms = if backend.start_called() { LATE_CALL_MAX_MS } else { 0 };
            backend.fence_after(now_ms + late_ms);
        }
    }
}
