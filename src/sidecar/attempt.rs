//! One started attempt, from start to end, in a task of its own.

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
        platform::{End, Order, Platform},
        settings,
    },
};

/// An attempt to run.
pub struct Job {
    pub task: Task,
    pub addr: SocketAddr,
    pub deadline: Micros,
    pub stop: Rc<Stop>,
}

/// Request to stop an attempt.
#[derive(Debug, Default)]
pub struct Stop {
    reason: Cell<Option<Reason>>,
    told: Notify,
}

/// Why an attempt was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    Cancelled,
    Deadline,
    /// It used far more than it had declared.
    Oversized,
    /// Its backend server has restarted.
    Abandoned,
}

impl Stop {
    /// Asks to stop; the first reason counts.
    pub fn set(&self, reason: Reason) {
        if self.reason.get().is_none() {
            self.reason.set(Some(reason));
            self.told.notify_one();
        }
    }
}

/// Runs an attempt and hands its end to `core`.
pub async fn run<P: Platform>(core: Rc<Core<P>>, job: Job) {
    let Job { task, addr, deadline, stop } = job;
    let Task { attempt, incarnation, account, kind, input, needs, .. } = task;
    let order = Order { attempt, addr, account: account.clone(), kind: kind.clone(), input, needs };
    let length = core.settings.task.lease_ms;
    let lease = core.platform.start(&order, length);
    let started = Instant::now();
    let end = {
        let supervisor = Supervisor { core: &core, lease: &lease, stop: &stop, needs };
        let supervise = supervisor.run(core.instant(deadline));
        tokio::pin!(supervise);
        tokio::select! {
            biased;
            end = core.platform.run(&lease, order) => end,
            never = &mut supervise => match never {},
        }
    };
    let ran = started.elapsed();
    let result = result(end, stop.reason.get(), ran);
    core.meter.ended(&account.0, &kind, &result, ran);
    core.finish(attempt, incarnation, result);
}

/// Keeps a running task's lease, and stops the task when it must not go on.
struct Supervisor<'a, P: Platform> {
    core: &'a Core<P>,
    lease: &'a P::Lease,
    stop: &'a Stop,
    needs: job::Needs,
}

/// What a task has done with its declared size.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Size {
    Kept,
    Throttled { since: Instant },
    Stopped,
}

impl<P: Platform> Supervisor<'_, P> {
    async fn run(&self, deadline: Instant) -> std::convert::Infallible {
        let settings::Task { lease_ms, usage_interval_ms, .. } = self.core.settings.task;
        let mut renew = time::interval(lease_ms / 3);
        let mut usage = time::interval(usage_interval_ms);
        let sized = self.needs != job::Needs::default();
        let mut size = Size::Kept;
        let mut expired = false;
        loop {
            tokio::select! {
                () = self.stop.told.notified() => self.core.platform.stop(self.lease),
                () = time::sleep_until(deadline), if !expired => {
                    expired = true;
                    self.stop.set(Reason::Deadline);
                }
                _ = renew.tick() => {
                    if self.core.present() {
                        self.core.platform.renew(self.lease, lease_ms);
                    }
                }
                _ = usage.tick(), if sized => size = self.check_size(size),
            }
        }
    }

    fn check_size(&self, size: Size) -> Size {
        let settings::Task { throttle_ratio, stop_ratio, throttle_grace_ms, .. } =
            self.core.settings.task;
        let Some(usage) = self.core.platform.usage(self.lease) else { return size };
        let ratio = excess(usage.used, self.needs);
        match size {
            Size::Stopped => size,
            _ if ratio > stop_ratio => self.stop_oversized(),
            Size::Throttled { since }
                if ratio > throttle_ratio && since.elapsed() >= throttle_grace_ms =>
            {
                self.stop_oversized()
            }
            Size::Kept if ratio > throttle_ratio => {
                self.core.platform.throttle(self.lease);
                Size::Throttled { since: Instant::now() }
            }
            _ => size,
        }
    }

    fn stop_oversized(&self) -> Size {
        self.core.platform.checkpoint(self.lease);
        self.stop.set(Reason::Oversized);
        Size::Stopped
    }
}

/// Highest ratio of used to declared size; a size that is not declared does not count.
fn excess(used: job::Needs, declared: job::Needs) -> f64 {
    let ratio = |used: u32, declared: u32| match declared {
        0 => 0.0,
        _ => f64::from(used) / f64::from(declared),
    };
    ratio(used.cpus.into(), declared.cpus.into())
        .max(ratio(used.memory_mb, declared.memory_mb))
        .max(ratio(used.accelerators.into(), declared.accelerators.into()))
}

fn result(end: End, stopped: Option<Reason>, ran: Duration) -> RunResult {
    let ran_us = ran.as_micros() as u64;
    let failed = |reason, detail| RunResult::Failed { reason, detail, ran_us };
    match end {
        End::Answered(answer) => {
            let crc = crc32fast::hash(answer.as_bytes());
            RunResult::Done { answer, crc, ran_us }
        }
        End::Unreachable(_) => RunResult::NotStarted { reason: NotStarted::Unreachable },
        End::Failed(detail) => failed(job::Failure::TaskFailed, detail),
        End::Unknown(detail) => failed(job::Failure::OutcomeUnknown, detail),
        End::LeaseExpired => failed(job::Failure::OutcomeUnknown, "worker lease ran out".into()),
        End::Stopped => match stopped {
            Some(Reason::Cancelled) => failed(job::Failure::Cancelled, "cancelled".into()),
            Some(Reason::Deadline) => {
                failed(job::Failure::DeadlineExceeded, "deadline passed while running".into())
            }
            Some(Reason::Oversized) => {
                failed(job::Failure::TaskFailed, "used far more than declared".into())
            }
            Some(Reason::Abandoned) | None => {
                failed(job::Failure::OutcomeUnknown, "stopped".into())
            }
        },
    }
}
