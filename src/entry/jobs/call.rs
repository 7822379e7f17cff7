//! Handles the calls of callers.

use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::{sync::oneshot, time};

use super::{
    Entry,
    connection::{Cancellation, Connection},
    waiting::Waiting,
};
use crate::{
    coordination::transient::{self, JobOutcome},
    leader::Failure,
    protocol::{
        queue::{Id, Job, Phase},
        wire::queue::{Answer, Call},
    },
    transport::http,
    util,
};

/// Deadline of callers that set none.
const DEADLINE_DEFAULT: Duration = Duration::from_millis(1_500);
/// Time before a caller's deadline that is reserved for the reply to reach the caller.
const REPLY_TIME: Duration = Duration::from_millis(150);
/// A stopping entry accepts a job only if the time left exceeds this multiple of the job's declared
/// time on the free capacity, plus [`STOP_TIME_SLACK`].
const STOP_TIME_FACTOR: u64 = 2;
/// Time added to the multiple of a job's declared time.
const STOP_TIME_SLACK: Duration = Duration::from_millis(700);

/// Number of copies of a job while it is forwarded: the original, that of the present try, and its
/// message.
const FORWARDED_COPIES: usize = 3;

/// Result of a call to run a transient job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    Phase(Phase),
    /// No such queue.
    NoQueue,
    /// The path does not name a job.
    NoJob,
    /// No task was started: no capacity became free in time, or drains leave no server.
    NotRun,
    /// No task was started: the entry has no configuration yet, cannot learn whether there is such a
    /// queue, or is stopping.
    NotReady,
    /// No task was started: there is no memory for the job.
    Full,
    /// The caller's deadline has passed. Tasks may have run; those that still do are stopped.
    Expired,
}

/// Cancels a job on drop unless other callers still wait for it.
struct CancelGuard {
    entry: Entry,
    id: Id,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let inner = &self.entry.inner;
        let wanted = inner.waiting.borrow_mut().get_mut(&self.id).is_some_and(Waiting::is_wanted);
        if wanted {
            return;
        }
        inner.waiting.borrow_mut().swap_remove(&self.id);
        if self.entry.scheduler().cancel(self.id) {
            log::info!("event=caller_left job={}", self.id);
            self.entry.carry_out();
        }
    }
}

impl Entry {
    /// Forwards a durable job to the leader. If there is no memory to pass it on, it is refused unless it
    /// is stored already.
    pub async fn submit(
        &self,
        host: String,
        path: String,
        job: Job,
        deadline: Option<Duration>,
    ) -> Result<Answer, Failure> {
        let bytes = FORWARDED_COPIES * job.memory_bytes();
        if let Some(_reservation) = self.inner.memory.reserve_job(bytes) {
            return self.call(Call::Submit { host, path, job }, deadline).await;
        }
        drop(job);
        self.inner.meter.refused();
        match self.call(Call::Query { host, path }, deadline).await {
            Ok(Answer::State(_)) => Ok(Answer::Accepted),
            Ok(Answer::NoJob) => Ok(Answer::Full),
            answer => answer,
        }
    }

    /// Forwards a call to the leader. `deadline` is the time for which the caller waits.
    pub async fn call(&self, call: Call, deadline: Option<Duration>) -> Result<Answer, Failure> {
        let limit = deadline.unwrap_or(DEADLINE_DEFAULT).saturating_sub(REPLY_TIME);
        self.inner.leader.call(call, limit).await
    }

    /// Returns when the caller of a request that is read now leaves, if it waits for `deadline`.
    pub fn leaves_ms(&self, deadline: Duration) -> u64 {
        self.inner.watermark.get().leaves_ms(util::millis(deadline))
    }

    /// Runs a transient job and returns when it has ended. Dropping the future cancels the job
    /// unless other callers wait for it. So does `leaves_ms`, when the caller's deadline passes: a
    /// caller that leaves is not always heard of, and may send the job elsewhere.
    pub async fn run_job(&self, host: &str, path: &str, job: Job, leaves_ms: Option<u64>) -> Ended {
        let arrived_ms = util::boot_ms();
        let reservation = self.inner.memory.reserve_job(transient::memory_bytes(&job));
        // Without memory it is dropped at once; the caller may wait for the same job that is held.
        let job = reservation.map(|reservation| (job, reservation));
        let Some(config) = self.config_for(host, path).await else { return Ended::NotReady };
        let Some((queue, rest)) = config.route(host, path) else { return Ended::NoQueue };
        let Some(id) = Id::parse(rest) else { return Ended::NoJob };
        if let Some((job, _)) = &job
            && !self.has_time_for(&queue.service, job)
        {
            log::info!("event=refused job={id} reason=stopping chain_ms={}", job.chain_ms());
            return Ended::NotReady;
        }
        // The caller may have sent the job to another entry.
        http::drop_if_closed().await;
        let left = leaves_ms.map(|at_ms| at_ms.saturating_sub(util::boot_ms()));
        if left == Some(0) {
            log::info!("event=read_after_deadline job={id}");
            return Ended::Expired;
        }
        let known = self.inner.scheduler.borrow().knows(id);
        let (waiter, ended) = oneshot::channel();
        match job {
            _ if known => self.inner.waiting.borrow_mut().entry(id).or_default().add(waiter),
            Some((job, reservation)) => {
                let waiting = Waiting::new(waiter, reservation);
                self.inner.waiting.borrow_mut().insert(id, waiting);
                self.scheduler().submit(arrived_ms, id, queue, job);
            }
            None => {
                self.inner.meter.refused();
                return Ended::Full;
            }
        }
        let guard = CancelGuard { entry: self.clone(), id };
        let submitted = Instant::now();
        self.carry_out();
        let outcome = match left {
            None => Ok(ended.await),
            Some(left_ms) => time::timeout(Duration::from_millis(left_ms), ended).await,
        };
        drop(guard);
        let Ok(outcome) = outcome else {
            log::info!("event=deadline_passed job={id}");
            return Ended::Expired;
        };
        let outcome = outcome.unwrap_or(JobOutcome::Canceled);
        let took = submitted.elapsed();
        self.inner.meter.ended(&queue.prefix, outcome, took);
        log::info!(
            "event=job job={id} queue={host}{} outcome={outcome:?} took_ms={} config={}",
            queue.prefix,
            took.as_millis(),
            config.version
        );
        match outcome {
            JobOutcome::Completed => Ended::Phase(Phase::Completed),
            JobOutcome::Failed => Ended::Phase(Phase::Failed),
            JobOutcome::Canceled => Ended::Phase(Phase::Canceled),
            JobOutcome::NotRun => Ended::NotRun,
        }
    }

    /// Whether a job of a service can be expected to end before this entry stops.
    fn has_time_for(&self, service: &str, job: &Job) -> bool {
        let Some(stops_at) = *self.inner.stops_at.borrow() else { return true };
        let time_left = stops_at.saturating_duration_since(Instant::now());
        let declared_ms = self.scheduler().declared_ms(service, job);
        Duration::from_millis(declared_ms.saturating_mul(STOP_TIME_FACTOR)) + STOP_TIME_SLACK
            < time_left
    }

    /// Cancels a job. A transient job of another entry is cancelled through the sidecars, a durable
    /// job through the leader.
    pub async fn cancel(
        &self,
        host: String,
        path: String,
        deadline: Option<Duration>,
    ) -> Result<Answer, Failure> {
        let Some(config) = self.config_for(&host, &path).await else {
            return Err(Failure::NotDone { detail: "the configuration is not known".to_owned() });
        };
        let id = config.route(&host, &path).and_then(|(_, rest)| Id::parse(rest));
        if let Some(id) = id
            && self.scheduler().cancel(id)
        {
            log::info!("event=canceled job={id}");
            self.inner.end(id, JobOutcome::Canceled);
            self.carry_out();
            return Ok(Answer::Accepted);
        }
        let mut unanswered = false;
        if let Some(id) = id {
            let connections: Vec<Connection> =
                self.inner.connections.borrow().values().cloned().collect();
            let answers =
                join_all(connections.iter().map(|connection| connection.cancel(id))).await;
            if answers.contains(&Cancellation::Attempts) {
                log::info!("event=canceled job={id} by=sidecars");
                return Ok(Answer::Accepted);
            }
            unanswered = answers.contains(&Cancellation::Unanswered);
        }
        match self.call(Call::Cancel { host, path }, deadline).await {
            Ok(Answer::NoJob) if unanswered => {
                Err(Failure::Unknown { detail: "a sidecar did not answer".to_owned() })
            }
            answer => answer,
        }
    }
}
