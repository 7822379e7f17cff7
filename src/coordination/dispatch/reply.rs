//! What the end of an attempt means for its task, its server and what is learned.

use crate::{
    coordination::{
        dispatch::{Ended, Micros, Next, core::Core, execution::Flight},
        route,
    },
    protocol::{
        id,
        wire::sidecar::{self, NotStarted},
    },
};

/// Part of the expected run time below which a failure counts as quick.
const QUICK_PART: f64 = 0.2;
const QUICK_WEIGHT: f64 = 1.5;
/// Refusals for size after which a task counts as one that never fits.
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
        let Some(at) = self.flight_index.remove(&attempt) else { return Next::Unused };
        let flight = self.flights.remove(at);
        self.leave_execution(&flight);
        self.router.ended(now, flight.server, flight.rate);
        self.learn(now, &flight, load, ended);
        self.router.settle(now, flight.server);
        let Some(key) = flight.execution else { return Next::Unused };
        self.conclude(now, key, attempt, ended)
    }

    fn leave_execution(&mut self, flight: &Flight) {
        let Some(key) = flight.execution else { return };
        let execution = &mut self.executions[key];
        execution.tasks[usize::from(flight.attempt.task)].flying -= 1;
        execution.flights.swap_remove(flight.at);
        if let Some(moved) = execution.flights.get(flight.at) {
            self.flights[*moved].at = flight.at;
        }
    }

    fn learn(&mut self, now: Micros, flight: &Flight, load: Option<sidecar::Load>, ended: Ended) {
        let key = flight.server;
        match ended {
            Ended::Done { ran_us } => {
                self.router.heard(now, key, load);
                self.router.answered(key);
                let server = &mut self.router.servers[key.0];
                server.ran(now);
                let waited = now.saturating_sub(flight.sent).saturating_sub(ran_us) as f64;
                self.book.done(flight.class, &mut server.speed, ran_us);
                let work = ran_us as f64 * server.speed.factor();
                if load.is_some_and(|l| l.queued == 0 && l.busy < l.slots) {
                    self.router.travelled(key, waited);
                }
                let excess = waited - 2.0 * self.router.rtt_us(key);
                self.router.servers[key.0].window.ran(excess, ran_us as f64);
                self.router.learned(key, self.book.overall_us());
                let overall = self.book.overall_us();
                let lane = &mut self.lanes[flight.lane];
                lane.queue.charge(flight.account, work - flight.mean_us, overall);
            }
            // A cancelled attempt ends as failed, which says nothing of the server.
            Ended::Failed { .. } if flight.execution.is_none() => self.router.heard(now, key, load),
            Ended::Failed { ran_us } => {
                self.router.heard(now, key, load);
                self.router.servers[key.0].ran(now);
                let weight = self.failure_weight(flight, ran_us);
                self.book.failed(flight.class);
                if self.router.servers[key.0].health.failed(now, weight) {
                    self.router.eject(now, key);
                }
            }
            Ended::NotStarted(reason) => self.refused(now, key, load, reason),
            Ended::Lost => self.router.servers[key.0].health.pause(now),
        }
    }

    fn refused(
        &mut self,
        now: Micros,
        key: route::Key,
        load: Option<sidecar::Load>,
        reason: NotStarted,
    ) {
        self.router.heard(now, key, load);
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

    /// A failure says less of the server if tasks of the kind fail elsewhere too, and nothing if
    /// they fail everywhere. It says more if it came far earlier than an answer would have.
    fn failure_weight(&self, flight: &Flight, ran_us: u64) -> f64 {
        let quick = (ran_us as f64) < QUICK_PART * flight.mean_us;
        let weight = if quick { QUICK_WEIGHT } else { 1.0 };
        weight * (1.0 - self.book.failure_rate(flight.class))
    }

    fn conclude(&mut self, now: Micros, key: usize, attempt: id::Attempt, ended: Ended) -> Next {
        let execution = &mut self.executions[key];
        if !matches!(ended, Ended::NotStarted(_)) {
            execution.started = true;
        }
        let task = &mut execution.tasks[usize::from(attempt.task)];
        if execution.over || task.answered {
            return Next::Unused;
        }
        match ended {
            Ended::Done { .. } => {
                task.answered = true;
                execution.answered += 1;
                Next::Answered
            }
            Ended::NotStarted(_) if task.flying > 0 => Next::Retried,
            Ended::NotStarted(reason) => {
                task.refused += u8::from(reason == NotStarted::TooLarge);
                let hopeless = task.refused >= TOO_LARGE_MAX
                    || task.number == u16::MAX
                    || matches!(reason, NotStarted::Fenced | NotStarted::Expired);
                if hopeless {
                    return self.fail(key);
                }
                self.requeue(now, key, attempt.task);
                Next::Retried
            }
            Ended::Failed { .. } | Ended::Lost => {
                if !execution.restartable || task.number == u16::MAX {
                    return self.fail(key);
                }
                if task.flying > 0 {
                    return Next::Retried;
                }
                let account = execution.account;
                if self.accounts[account.0 as usize].retries.take(now).is_err() {
                    return self.fail(key);
                }
                self.enqueue(key, attempt.task);
                Next::Retried
            }
        }
    }

    fn fail(&mut self, key: usize) -> Next {
        self.stop(key);
        Next::ExecutionFailed { started: self.executions[key].may_have_started() }
    }
}
