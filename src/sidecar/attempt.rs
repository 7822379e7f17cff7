//! Runs one started attempt until it ends, in an asynchronous task of its own.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{
    coordination::dispatch::Micros,
    protocol::{
        job,
        wire::sidecar::{NotStarted, RunResult, Task},
    },
    sidecar::{
        core::Core,
        platform::{Outcome, Platform, TaskSpec},
        settings,
    },
    supervisor,
};

/// An attempt that was given a slot.
pub struct StartedAttempt {
    pub task: Task,
    /// Address of the backend server.
    pub addr: SocketAddr,
    pub deadline: Micros,
    pub stop: Rc<StopRequest>,
}

/// Request to stop an attempt.
#[derive(Debug, Default)]
pub struct StopRequest {
    reason: Cell<Option<StopReason>>,
    requested: Notify,
}

/// Why an attempt was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    Cancelled,
    Deadline,
    /// The task used far more resources than it had declared.
    Oversized,
    /// The backend server has restarted, or the sidecar stops and the drain limit has passed.
    Abandoned,
}

impl StopRequest {
    /// Requests the stop. Only the first call has an effect.
    pub fn request(&self, reason: StopReason) {
        if self.reason.get().is_none() {
            self.reason.set(Some(reason));
            self.requested.notify_one();
        }
    }
}

/// Runs an attempt and passes its result to `core`.
pub async fn run<P: Platform>(core: Rc<Core<P>>, started: StartedAttempt) {
    let StartedAttempt { task, addr, deadline, stop } = started;
    let Task { attempt, incarnation, account, kind, input, needs, .. } = task;
    let spec =
        TaskSpec { attempt, addr, account: account.clone(), kind: kind.clone(), input, needs };
    let length = core.settings.task.lease_ms;
    let lease = core.platform.open_lease(&spec, length);
    let started_at = Instant::now();
    let outcome = {
        let supervisor = Supervisor { core: &core, lease: &lease, stop: &stop, needs };
        let supervise = supervisor.run(core.instant(deadline));
        tokio::pin!(supervise);
        let run = async {
            tokio::select! {
                biased;
                outcome = core.platform.run(&lease, spec) => outcome,
                never = &mut supervise => match never {},
            }
        };
        let outcome = supervisor::catch("run_attempt", run).await;
        outcome.unwrap_or_else(|| Outcome::Unknown("internal error during the run".into()))
    };
    let ran = started_at.elapsed();
    let result = result(outcome, stop.reason.get(), ran);
    core.meter.ended(&account.0, &kind, &result, ran);
    core.finish(attempt, incarnation, result);
}

/// Renews the worker lease of a running task while the backend server announces itself. Stops the
/// task on request, at its deadline, or when it uses far more than it has declared.
struct Supervisor<'a, P: Platform> {
    core: &'a Core<P>,
    lease: &'a P::Lease,
    stop: &'a StopRequest,
    needs: job::Needs,
}

/// State of a task with regard to the resources that it has declared.
#[derive(Debug, Clone, Copy, PartialEq)]
enum UsageState {
    WithinLimits,
    Throttled { since: Instant },
    Stopped,
}

impl<P: Platform> Supervisor<'_, P> {
    /// Supervises the task until the future is dropped.
    async fn run(&self, deadline: Instant) -> std::convert::Infallible {
        let settings::Task { lease_ms, usage_interval_ms, .. } = self.core.settings.task;
        let mut renew = time::interval(lease_ms / 3);
        let mut usage = time::interval(usage_interval_ms);
        let declares_resources = self.needs != job::Needs::default();
        let mut state = UsageState::WithinLimits;
        let mut expired = false;
        loop {
            tokio::select! {
                () = self.stop.requested.notified() => self.core.platform.stop(self.lease),
                () = time::sleep_until(deadline), if !expired => {
                    expired = true;
                    self.stop.request(StopReason::Deadline);
                }
                _ = renew.tick() => {
                    if self.core.present() {
                        self.core.platform.renew(self.lease, lease_ms);
                    }
                }
                _ = usage.tick(), if declares_resources => state = self.check_usage(state),
            }
        }
    }

    /// Throttles or stops the task if its last reported usage requires that.
    fn check_usage(&self, state: UsageState) -> UsageState {
        let settings::Task { throttle_ratio, stop_ratio, throttle_grace_ms, .. } =
            self.core.settings.task;
        let Some(usage) = self.core.platform.usage(self.lease) else { return state };
        let ratio = usage_ratio(usage.used, self.needs);
        match state {
            UsageState::Stopped => state,
            _ if ratio > stop_ratio => self.stop_oversized(),
            UsageState::Throttled { since }
                if ratio > throttle_ratio && since.elapsed() >= throttle_grace_ms =>
            {
                self.stop_oversized()
            }
            UsageState::WithinLimits if ratio > throttle_ratio => {
                self.core.platform.throttle(self.lease);
                UsageState::Throttled { since: Instant::now() }
            }
            _ => state,
        }
    }

    fn stop_oversized(&self) -> UsageState {
        self.core.platform.checkpoint(self.lease);
        self.stop.request(StopReason::Oversized);
        UsageState::Stopped
    }
}

/// Highest ratio of used to declared resources. A resource that is not declared is ignored.
fn usage_ratio(used: job::Needs, declared: job::Needs) -> f64 {
    let ratio = |used: u32, declared: u32| match declared {
        0 => 0.0,
        _ => f64::from(used) / f64::from(declared),
    };
    ratio(used.cpus.into(), declared.cpus.into())
        .max(ratio(used.memory_mb, declared.memory_mb))
        .max(ratio(used.accelerators.into(), declared.accelerators.into()))
}

fn result(outcome: Outcome, stopped: Option<StopReason>, ran: Duration) -> RunResult {
    let ran_us = ran.as_micros() as u64;
    let failed = |reason, detail| RunResult::Failed { reason, detail, ran_us };
    match outcome {
        Outcome::Answered(answer) => {
            let crc = crc32fast::hash(answer.as_bytes());
            RunResult::Done { answer, crc, ran_us }
        }
        Outcome::Unreachable(_) => RunResult::NotStarted { reason: NotStarted::Unreachable },
        Outcome::Failed(detail) => failed(job::Failure::TaskFailed, detail),
        Outcome::Unknown(detail) => failed(job::Failure::OutcomeUnknown, detail),
        Outcome::LeaseExpired => {
            failed(job::Failure::OutcomeUnknown, "worker lease ran out".into())
        }
        Outcome::Stopped => match stopped {
            Some(StopReason::Cancelled) => failed(job::Failure::Cancelled, "cancelled".into()),
            Some(StopReason::Deadline) => {
                failed(job::Failure::DeadlineExceeded, "deadline passed while running".into())
            }
            Some(StopReason::Oversized) => {
                failed(job::Failure::TaskFailed, "used far more than declared".into())
            }
            Some(StopReason::Abandoned) | None => {
                failed(job::Failure::OutcomeUnknown, "stopped".into())
            }
        },
    }
}
