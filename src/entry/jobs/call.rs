//! Callers' calls.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use tokio::{sync::oneshot, time};

use super::{Entry, link::Link};
use crate::{
    coordination::transient::JobOutcome,
    leader::Failure,
    protocol::{
        queue::{Config, Id, Job, Phase},
        wire::queue::{Answer, Call},
    },
    util,
};

/// Time that callers wait, if they do not say.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Part of a caller's deadline kept for the way back.
const RETURN_TIME: Duration = Duration::from_millis(150);

/// How long an entry that has just started holds a job until it has a configuration. Most jobs can
/// still end in time for their callers after this time.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// How often it looks for one.
const CONFIG_POLL: Duration = Duration::from_millis(20);
/// Multiple of a job's declared time that a stopping entry must have left to take it.
const STOP_FACTOR: u64 = 2;
/// Time added to that.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// How a job that need not be kept has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    Phase(Phase),
    /// No such queue.
    NoQueue,
    /// The path names no job.
    NoJob,
    /// Nothing ran: there was no room in time.
    NotRun,
    /// Nothing ran: there is no configuration yet, or the entry is stopping.
    NotReady,
}

/// Gives a job up when its caller has left.
struct Guard {
    entry: Entry,
    id: Id,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let waits = |waiters: &mut Vec<oneshot::Sender<JobOutcome>>| {
            waiters.retain(|waiter| !waiter.is_closed());
            !waiters.is_empty()
        };
        let inner = &self.entry.inner;
        let wanted = inner.waiters.borrow_mut().get_mut(&self.id).is_some_and(waits);
        if wanted {
            return;
        }
        inner.waiters.borrow_mut().swap_remove(&self.id);
        if inner.scheduler.borrow_mut().cancel(self.id) {
            log::info!("event=caller_left job={}", self.id);
            self.entry.carry_out();
        }
    }
}

impl Entry {
    /// Passes a call to the leader. `deadline` is the time for which the caller waits.
    pub async fn call(&self, call: Call, deadline: Option<Duration>) -> Result<Answer, Failure> {
        let limit = deadline.unwrap_or(DEADLINE).saturating_sub(RETURN_TIME);
        self.inner.leader.call(call, limit).await
    }

    /// Runs a job that need not be kept, and returns when it has ended. Dropping the future gives
    /// the job up.
    pub async fn run_job(&self, host: &str, path: &str, job: Job) -> Ended {
        let arrived_ms = util::boot_ms();
        let Some(config) = self.config().await else { return Ended::NotReady };
        let Some((queue, rest)) = config.route(host, path) else { return Ended::NoQueue };
        let Some(id) = Id::parse(rest) else { return Ended::NoJob };
        if !self.has_time(&job) {
            log::info!("event=refused job={id} reason=stopping chain_ms={}", job.chain_ms());
            return Ended::NotReady;
        }
        let (waiter, ended) = oneshot::channel();
        self.inner.waiters.borrow_mut().entry(id).or_default().push(waiter);
        if !self.inner.scheduler.borrow().knows(id) {
            self.inner.scheduler.borrow_mut().submit(arrived_ms, id, queue, job);
        }
        let guard = Guard { entry: self.clone(), id };
        let taken = Instant::now();
        self.carry_out();
        let closed = ended.await.unwrap_or(JobOutcome::Canceled);
        drop(guard);
        let took = taken.elapsed();
        self.inner.meter.ended(&queue.prefix, closed, took);
        log::info!(
            "event=job job={id} queue={host}{} outcome={closed:?} took_ms={} config={}",
            queue.prefix,
            took.as_millis(),
            config.version
        );
        match closed {
            JobOutcome::Completed => Ended::Phase(Phase::Completed),
            JobOutcome::Failed => Ended::Phase(Phase::Failed),
            JobOutcome::Canceled => Ended::Phase(Phase::Canceled),
            JobOutcome::NotRun => Ended::NotRun,
        }
    }

    /// The configuration; an entry that has just started waits for it.
    async fn config(&self) -> Option<Arc<Config>> {
        let end = Instant::now() + CONFIG_WAIT;
        loop {
            let config = self.inner.config.borrow().clone();
            if config.is_some() || Instant::now() >= end {
                return config;
            }
            time::sleep(CONFIG_POLL).await;
        }
    }

    /// Whether a job can be expected to end before a stopping entry does.
    fn has_time(&self, job: &Job) -> bool {
        let Some(ends_at) = self.inner.ends_at.get() else { return true };
        let left = ends_at.saturating_duration_since(Instant::now());
        Duration::from_millis(job.chain_ms() * STOP_FACTOR) + STOP_MARGIN < left
    }

    /// Cancels a job: one of this entry, or any other by the sidecars and the leader.
    pub async fn cancel(
        &self,
        host: String,
        path: String,
        deadline: Option<Duration>,
    ) -> Result<Answer, Failure> {
        let id = {
            let config = self.inner.config.borrow();
            let route = config.as_ref().and_then(|config| config.route(&host, &path));
            route.and_then(|(_, rest)| Id::parse(rest))
        };
        if let Some(id) = id
            && self.inner.scheduler.borrow_mut().cancel(id)
        {
            log::info!("event=canceled job={id}");
            let waiters = self.inner.waiters.borrow_mut().swap_remove(&id);
            for waiter in waiters.into_iter().flatten() {
                let _ = waiter.send(JobOutcome::Canceled);
            }
            self.carry_out();
            return Ok(Answer::Accepted);
        }
        if let Some(id) = id {
            let links: Vec<Link> = self.inner.links.borrow().values().cloned().collect();
            let answers = join_all(links.iter().map(|link| link.cancel(id))).await;
            if answers.contains(&Some(true)) {
                log::info!("event=canceled job={id} by=sidecars");
                return Ok(Answer::Accepted);
            }
        }
        self.call(Call::Cancel { host, path }, deadline).await
    }
}
