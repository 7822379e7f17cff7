//! What the end of an attempt means for its task, its server and the learned estimates.

use crate::{
    coordination::{
        dispatch::{Ended, Micros, Next, core::Core, execution::SentAttempt},
        route,
    },
    protocol::{
        id,
        wire::sidecar::{self, NotStarted},
    },
};

/// Fraction of the expected run time below which a failure counts as quick.
const QUICK_RATIO: f64 = 0.2;
/// Weight of a quick failure in the health of a server; other failures weigh 1.
const QUICK_WEIGHT: f64 = 1.5;
/// Number of refusals with `NotStarted::TooLarge` after which a task counts as one that fits no
/// server. It stands for a task that needs more than the worker has or is of a kind that the server
/// does not run.
const TOO_LARGE_MAX: u8 = 3;

impl Core {
    pub(super) fn ended(
        &mut self,
        now: Micros,
        attempt: id::Attempt,
        load: Option<sidecar::Load>,
        ended: Ended,
    ) -> Next {
        self.now = now;
        let Some(index) = self.attempt_index.remove(&attempt) else { return Next::Ignored };
        let sent = self.attempts.remove(index);
        self.detach_from_execution(&sent);
        self.router.record_ended(now, sent.server, sent.rate);
        self.record_outcome(now, &sent, load, ended);
        self.router.update_or_free(now, sent.server);
        let Some(key) = sent.execution else { return Next::Ignored };
        self.update_task(now, key, attempt, ended)
    }

    fn detach_from_execution(&mut self, sent: &SentAttempt) {
        let Some(key) = sent.execution else { return };
        let execution = &mut self.executions[key];
        execution.tasks[usize::from(sent.attempt.task)].in_flight -= 1;
        execution.attempts.swap_remove(sent.position);
        if let Some(moved) = execution.attempts.get(sent.position) {
            self.attempts[*moved].position = sent.position;
        }
    }

    /// Updates the estimates, and load and health of the server.
    fn record_outcome(
        &mut self,
        now: Micros,
        sent: &SentAttempt,
        load: Option<sidecar::Load>,
        ended: Ended,
    ) {
        let key = sent.server;
        match ended {
            Ended::Done { ran_us } => {
                self.router.record_load(now, key, load);
                self.router.record_answer(key);
                let server = &mut self.router.servers[key.0];
                server.record_run(now);
                let waited = now.saturating_sub(sent.sent_at).saturating_sub(ran_us) as f64;
                self.estimates.done(sent.class, &mut server.speed, ran_us);
                let work = ran_us as f64 * server.speed.factor();
                if load.is_some_and(|l| l.queued == 0 && l.busy < l.slots) {
                    self.router.record_round_trip(key, waited);
                }
                let excess = waited - 2.0 * self.router.rtt_us(key);
                self.router.servers[key.0].window.ran(excess, ran_us as f64);
                self.router.update_speeds(key, self.estimates.overall_us());
                let overall = self.estimates.overall_us();
                let lane = self.requirements[sent.requirement].lane;
                self.lanes[lane].queue.charge(sent.account, work - sent.mean_us, overall);
            }
            // Attempts of a removed execution are cancelled. A cancelled attempt ends as failed,
            // which says nothing about the server.
            Ended::Failed { .. } if sent.execution.is_none() => {
                self.router.record_load(now, key, load)
            }
            Ended::Failed { ran_us } => {
                self.router.record_load(now, key, load);
                self.router.servers[key.0].record_run(now);
                let weight = self.failure_weight(sent, ran_us);
                self.estimates.failed(sent.class);
                if self.router.servers[key.0].health.failed(now, weight) {
                    self.router.eject(now, key);
                }
            }
            Ended::NotStarted(reason) => self.record_refusal(now, key, load, reason),
            Ended::Lost => self.router.servers[key.0].health.pause(now),
        }
    }

    fn record_refusal(
        &mut self,
        now: Micros,
        key: route::Key,
        load: Option<sidecar::Load>,
        reason: NotStarted,
    ) {
        self.router.record_load(now, key, load);
        let server = &mut self.router.servers[key.0];
        match reason {
            NotStarted::Full => server.window.refused(),
            NotStarted::WrongIncarnation => server.health.close(),
            NotStarted::Draining => server.serving = false,
            NotStarted::NoLease | NotStarted::Unreachable => server.health.pause(now),
            NotStarted::Fenced
            | NotStarted::Revoked
            | NotStarted::Expired
            | NotStarted::TooLarge => {}
        }
    }

    /// Weight of a failure in the health of its server. A failure says less about the server if
    /// tasks of the kind fail elsewhere too, and nothing if they fail everywhere. It says more if
    /// it came far earlier than an answer would have.
    fn failure_weight(&self, sent: &SentAttempt, ran_us: u64) -> f64 {
        let quick = (ran_us as f64) < QUICK_RATIO * sent.mean_us;
        let weight = if quick { QUICK_WEIGHT } else { 1.0 };
        weight * (1.0 - self.estimates.failure_rate(sent.class))
    }

    /// Updates the task after the end of an attempt and decides whether it is retried.
    fn update_task(&mut self, now: Micros, key: usize, attempt: id::Attempt, ended: Ended) -> Next {
        let execution = &mut self.executions[key];
        if !matches!(ended, Ended::NotStarted(_)) {
            execution.started = true;
        }
        let task = &mut execution.tasks[usize::from(attempt.task)];
        if execution.stopped || task.answered {
            return Next::Ignored;
        }
        match ended {
            Ended::Done { .. } => {
                task.answered = true;
                execution.answered += 1;
                Next::Answered
            }
            Ended::NotStarted(_) if task.in_flight > 0 => Next::Pending,
            Ended::NotStarted(reason) => {
                task.too_large += u8::from(reason == NotStarted::TooLarge);
                let unstartable = task.too_large >= TOO_LARGE_MAX
                    || task.next_number == u16::MAX
                    || matches!(reason, NotStarted::Fenced | NotStarted::Expired);
                if unstartable {
                    return self.fail(key);
                }
                self.requeue(now, key, attempt.task);
                Next::Pending
            }
            Ended::Failed { .. } | Ended::Lost => {
                if !execution.restartable || task.next_number == u16::MAX {
                    return self.fail(key);
                }
                if task.in_flight > 0 {
                    return Next::Pending;
                }
                // Without retry budget, a failed or lost task fails its execution at once. A task
                // that did not start is only delayed, see `requeue`.
                let account = execution.account;
                if self.accounts[account.0 as usize].retries.take(now).is_err() {
                    return self.fail(key);
                }
                self.enqueue(key, attempt.task);
                Next::Pending
            }
        }
    }

    fn fail(&mut self, key: usize) -> Next {
        self.stop(key);
        Next::ExecutionFailed { started: self.executions[key].may_have_started() }
    }
}
