//! Handling of submissions with a key: admission, execution, record of the outcome, and
//! resubmissions.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use rand::Rng;
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{
    entry::{
        Core,
        control::CallError,
        engine::{ExecutionResult, Workload},
        retained::{self, Answers},
    },
    protocol::{
        id, job,
        wire::{self, Answer, Outcome, control, entry},
    },
    supervisor,
};

/// Time limit of a `lookup` of a key at control, e.g. before a submission is refused.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which the entry tries in the background to record the outcome of a job. It stops
/// earlier if its session ends.
const FINISH_LIMIT: Duration = Duration::from_secs(600);
/// Time for which the entry tries in the background to free a key, see [`free_key`].
const FREE_KEY_LIMIT: Duration = Duration::from_secs(60);
/// Time limit of one call to the owner of a job, i.e. the entry that runs it. A frozen owner keeps
/// its connection open, and the entry asks control for the outcome only after the call has ended.
const OWNER_WAIT_LIMIT: Duration = Duration::from_secs(2);
/// Mean pause before the next call about a job that another entry owns.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Number of tries to fetch the answers of a job from its owner.
const FETCH_TRIES: u32 = 3;

/// Appended to the detail of a refusal that holds for this call only, because the outcome of
/// earlier calls with the same key is unknown.
pub const EARLIER_CALLS_UNKNOWN: &str = "; this call started nothing, but control could not be \
    asked about earlier calls with this key: keep the key when submitting again";

/// A submission with a key.
#[derive(Debug)]
pub struct KeyedSubmission {
    pub key: id::Key,
    pub created_at_ms: u64,
    /// SHA-256 of the tasks, by which a resubmission is compared.
    pub digest: [u8; 32],
    pub workload: Workload,
}

/// State of a keyed submission that this entry is handling.
#[derive(Debug)]
pub struct ActiveSubmission {
    execution: Cell<id::Execution>,
    /// Job and owner if another entry runs the submission.
    remote: Cell<Option<(id::Job, SocketAddr)>>,
    /// Whether a caller has cancelled the submission, so that it must no longer be started.
    cancelled: Cell<bool>,
    digest: [u8; 32],
    /// Number of tasks.
    tasks: usize,
    stage: watch::Sender<Stage>,
}

/// How far a submission has progressed.
#[derive(Debug, Clone)]
enum Stage {
    /// It is being admitted or executed, by this or another entry.
    Running,
    /// Its execution here has ended, and control is being asked to record the outcome.
    Recording(Rc<Status>),
    Ended(Rc<Status>),
}

/// Status of a submission as it is reported to callers.
#[derive(Debug, Clone)]
pub enum Status {
    Completed(Rc<Answers>),
    Failed {
        reason: job::Failure,
        detail: String,
    },
    NotRun {
        reason: job::Refusal,
        detail: String,
    },
    /// It has not ended within the time of the call.
    Running,
}

impl Status {
    pub fn not_run(reason: job::Refusal, detail: impl Into<String>) -> Status {
        Status::NotRun { reason, detail: detail.into() }
    }

    /// A refusal with the standard explanation of its reason.
    pub fn refused(reason: job::Refusal) -> Status {
        Status::not_run(reason, reason.detail())
    }

    pub fn failed(reason: job::Failure, detail: impl Into<String>) -> Status {
        Status::Failed { reason, detail: detail.into() }
    }

    /// The status that corresponds to an outcome with inline answers.
    pub fn from_result(result: ExecutionResult) -> Status {
        match result.outcome {
            Outcome::Completed(Answer::Inline(texts)) => {
                Status::Completed(Rc::new(Answers { texts, reservation: result.reservation }))
            }
            // Executions end with inline answers, and `status_from_outcome` handles this case
            // itself.
            Outcome::Completed(Answer::Retained { .. }) => {
                Status::failed(job::Failure::AnswerLost, "a run ended without its answers")
            }
            Outcome::Failed { reason, detail } => Status::Failed { reason, detail },
            Outcome::NotRun { reason, detail } => Status::NotRun { reason, detail },
        }
    }

    /// The outcome with all answers inline; `None` while the submission is running.
    pub fn outcome(&self) -> Option<Outcome> {
        Some(match self {
            Status::Completed(answers) => Outcome::Completed(Answer::Inline(answers.texts.clone())),
            Status::Failed { reason, detail } => {
                Outcome::Failed { reason: *reason, detail: detail.clone() }
            }
            Status::NotRun { reason, detail } => {
                Outcome::NotRun { reason: *reason, detail: detail.clone() }
            }
            Status::Running => return None,
        })
    }
}

/// Handles a submission, or waits for the same submission if this entry is already handling it.
/// Returns its execution and its status.
///
/// The submission continues if the returned future is dropped.
pub async fn submit(core: &Rc<Core>, keyed: KeyedSubmission) -> (id::Execution, Rc<Status>) {
    let deadline = keyed.workload.deadline;
    if let Some(active) = core.active(&keyed.key) {
        if active.digest != keyed.digest {
            return (
                core.session.next_execution(),
                Rc::new(Status::refused(job::Refusal::KeyConflict)),
            );
        }
        let status = wait_until_ended(&active, deadline).await;
        return (active.execution(), status);
    }
    if core.submissions.borrow().len() >= core.limits.requests_max {
        // Submissions continue after their callers have hung up, so the limit on open requests does
        // not bound them.
        let detail = format!("the entry handles too many submissions{EARLIER_CALLS_UNKNOWN}");
        let refused = Status::not_run(job::Refusal::Overloaded, detail);
        return (core.session.next_execution(), Rc::new(refused));
    }
    let active = Rc::new(ActiveSubmission {
        execution: Cell::new(core.session.next_execution()),
        remote: Cell::new(None),
        cancelled: Cell::new(false),
        digest: keyed.digest,
        tasks: keyed.workload.inputs.len(),
        stage: watch::Sender::new(Stage::Running),
    });
    let key = keyed.key.clone();
    core.submissions.borrow_mut().insert(key.clone(), active.clone());
    let (handler, submission) = (core.clone(), active.clone());
    actix_rt::spawn(async move {
        let status = supervisor::catch("process", process(&handler, &submission, keyed)).await;
        let status = Rc::new(status.unwrap_or_else(|| {
            Status::failed(
                job::Failure::OutcomeUnknown,
                "internal error while the job was processed",
            )
        }));
        handler.submissions.borrow_mut().remove(&key);
        submission.stage.send_replace(Stage::Ended(status));
    });
    let grace = Duration::from_millis(core.limits.finish_grace_ms);
    let status = wait_as_first_caller(&active, deadline + grace).await;
    (active.execution(), status)
}

/// Waits until a submission has ended, for its first caller. That caller gets a status other than
/// `Running` if the execution has ended by `until`, even if its outcome is not recorded yet.
async fn wait_as_first_caller(active: &ActiveSubmission, until: Instant) -> Rc<Status> {
    if let Some(status) = wait_for_end(active, until).await {
        return status;
    }
    match &*active.stage.borrow() {
        Stage::Running => Rc::new(Status::Running),
        Stage::Recording(status) => match **status {
            // Until control has recorded the outcome, it may still record the job as failed.
            Status::Completed(_) => {
                let detail = "the end of the job could not be recorded in time";
                Rc::new(Status::failed(job::Failure::OutcomeUnknown, detail))
            }
            _ => status.clone(),
        },
        Stage::Ended(status) => status.clone(),
    }
}

/// Waits until a submission has ended, for a resubmission, a cancel or another entry. The status is
/// `Running` if it has not ended by `until`.
pub async fn wait_until_ended(active: &ActiveSubmission, until: Instant) -> Rc<Status> {
    wait_for_end(active, until).await.unwrap_or_else(|| Rc::new(Status::Running))
}

/// Returns the status of a submission once it has ended, or `None` if it has not ended by `until`.
async fn wait_for_end(active: &ActiveSubmission, until: Instant) -> Option<Rc<Status>> {
    let mut stage = active.stage.subscribe();
    let ended = time::timeout_at(until, stage.wait_for(|s| matches!(s, Stage::Ended(_)))).await;
    match ended {
        Ok(Ok(stage)) => match &*stage {
            Stage::Ended(status) => Some(status.clone()),
            _ => None,
        },
        _ => None,
    }
}

/// Handles a submission from its admission to its recorded outcome.
async fn process(core: &Rc<Core>, active: &ActiveSubmission, keyed: KeyedSubmission) -> Status {
    let KeyedSubmission { key, created_at_ms, digest, mut workload } = keyed;
    let until = workload.deadline;
    let limit = || until.min(Instant::now() + Duration::from_millis(core.limits.admit_limit_ms));
    if core.rules_confirmed() {
        // Control confirmed the rules a short time ago, so it can be reached. If the session has
        // just ended, a new one will be open soon. Without this wait, `check` would refuse the
        // submission because there is no session.
        core.session.wait_until_open(limit()).await;
    }
    let refused = core.check(&mut workload).err();
    if let Some(refusal) = &refused
        && let Some(status) = refusal_if_never_run(core, &key, until, refusal).await
    {
        return status;
    }
    // A submission that `check` refused is still sent to control, because an earlier call with its
    // key may have run. If so, `admit` gives the outcome of that call. If control admits the key as
    // new, the refusal is recorded as the outcome.
    loop {
        core.session.wait_until_open(limit()).await;
        let Some(execution) = active.renew_execution(core) else {
            let detail = format!("the entry has no session at control{EARLIER_CALLS_UNKNOWN}");
            return Status::not_run(job::Refusal::ControlUnavailable, detail);
        };
        let admit = control::Admit {
            execution,
            key: key.clone(),
            digest,
            created_at_ms,
            tasks: workload.inputs.len() as u16,
        };
        match core.control.admit(&admit, limit()).await {
            Ok(control::Admission::Admitted { job }) => {
                return match refused {
                    Some(refusal) => record_outcome(core, execution, &key, job, &refusal).await,
                    None => run_and_record(core, active, &key, job, workload).await,
                };
            }
            Ok(control::Admission::Running { job, owner }) => {
                active.remote.set(Some((job, owner)));
                if active.cancelled.get() {
                    // The cancel arrived before this entry knew the owner, so it is forwarded now.
                    let _ = core.cancel_at(owner, job, until).await;
                }
                if let Some(status) = wait_for_owner(core, &key, job, owner, until).await {
                    return status;
                }
                active.remote.set(None);
            }
            Ok(control::Admission::Finished { job, owner, outcome }) => {
                return fetch_answers(core, job, owner, outcome, until).await;
            }
            Ok(control::Admission::Conflict) => return Status::refused(job::Refusal::KeyConflict),
            Ok(control::Admission::Expired) => return Status::refused(job::Refusal::KeyExpired),
            // `Unknown` is a reply to `lookup`. In reply to `admit`, it would mean that control's
            // records contradict each other, and nothing was admitted.
            Ok(control::Admission::Unknown) => {
                return Status::refused(job::Refusal::ControlUnavailable);
            }
            Err(CallError::Fenced) if Instant::now() < until => {
                core.end_session(execution.epoch);
            }
            Err(error) => return end_unadmitted(core, admit, error),
        }
    }
}

/// Ends a submission that control did not admit.
///
/// Only this process can start attempts with this execution id, and it does so only in
/// `run_and_record`, after an `Admitted`. Once this function is called, the execution id is used
/// only to free its key. So "not run" is true even if the admission is, or will be, in the control
/// log.
fn end_unadmitted(core: &Rc<Core>, admit: control::Admit, error: CallError) -> Status {
    let detail = match error {
        CallError::Fenced => "the entry's session has ended".to_owned(),
        CallError::Invalid { detail } => detail,
        CallError::Unanswered { sent, detail } => {
            if sent {
                actix_rt::spawn(free_key(core.clone(), admit));
            }
            detail
        }
    };
    Status::not_run(job::Refusal::ControlUnavailable, detail + EARLIER_CALLS_UNKNOWN)
}

/// Frees the key of an admission that got no answer.
///
/// The admission may be in the control log, where it would block the key until this entry's session
/// ends. So this function repeats the call, which is idempotent, to learn the job. Then it records
/// the job as not run, which frees the key: control may admit it again.
async fn free_key(core: Rc<Core>, admit: control::Admit) {
    let until = Instant::now() + FREE_KEY_LIMIT;
    if let Ok(control::Admission::Admitted { job }) = core.control.admit(&admit, until).await {
        let outcome = Outcome::NotRun {
            reason: job::Refusal::ControlUnavailable,
            detail: "the admission was not answered in time".into(),
        };
        let finish = control::Finish { job, epoch: admit.execution.epoch, outcome };
        let _ = core.control.finish(&finish, until).await;
    }
}

/// Returns the refusal, unless control knows of an earlier submission with this key that may have
/// run. In that case returns `None`, because callers take "not run" to cover every call with the
/// key.
///
/// If control does not answer, the refusal says that it covers this call only.
async fn refusal_if_never_run(
    core: &Rc<Core>,
    key: &id::Key,
    until: Instant,
    refusal: &Status,
) -> Option<Status> {
    let limit = Instant::now() + LOOKUP_LIMIT;
    match core.control.lookup(key, until.min(limit)).await {
        Ok(control::Admission::Unknown) => Some(refusal.clone()),
        Ok(control::Admission::Finished { outcome: Outcome::NotRun { .. }, .. }) => {
            Some(refusal.clone())
        }
        Ok(_) => None,
        Err(_) => {
            let Status::NotRun { reason, detail } = refusal else { return Some(refusal.clone()) };
            Some(Status::NotRun {
                reason: *reason,
                detail: format!("{detail}{EARLIER_CALLS_UNKNOWN}"),
            })
        }
    }
}

/// Executes an admitted submission and records its outcome.
async fn run_and_record(
    core: &Rc<Core>,
    active: &ActiveSubmission,
    key: &id::Key,
    job: id::Job,
    workload: Workload,
) -> Status {
    core.keys_by_job.borrow_mut().insert(job, key.clone());
    let status = if active.cancelled.get() {
        Rc::new(Status::refused(job::Refusal::Cancelled))
    } else {
        Rc::new(core.execute(active.execution(), workload).await)
    };
    active.stage.send_replace(Stage::Recording(status.clone()));
    let recorded = record_outcome(core, active.execution(), key, job, &status).await;
    core.keys_by_job.borrow_mut().remove(&job);
    recorded
}

/// Records the outcome of a job at control. Returns the final status, which can differ from
/// `status` if control had recorded another outcome before or did not confirm this one.
async fn record_outcome(
    core: &Rc<Core>,
    execution: id::Execution,
    key: &id::Key,
    job: id::Job,
    status: &Status,
) -> Status {
    let outcome = match status {
        Status::Completed(answers) if answers.bytes() > wire::ANSWER_INLINE_MAX_BYTES => {
            core.retained.borrow_mut().insert(job, answers.clone());
            Outcome::Completed(Answer::Retained { digest: retained::digest(&answers.texts) })
        }
        _ => match status.outcome() {
            Some(outcome) => outcome,
            None => return Status::Running,
        },
    };
    let finish = control::Finish { job, epoch: execution.epoch, outcome };
    let until = Instant::now() + FINISH_LIMIT;
    match core.control.finish(&finish, until).await {
        Ok(control::Finished::Recorded) => status.clone(),
        Ok(control::Finished::Already { outcome }) if outcome == finish.outcome => status.clone(),
        Ok(control::Finished::Already { outcome }) => status_from_outcome(core, outcome),
        Err(CallError::Fenced) => {
            core.end_session(execution.epoch);
            // An earlier try of `finish` may have been recorded before the session ended.
            let until = Instant::now() + LOOKUP_LIMIT;
            match core.control.lookup(key, until).await {
                Ok(control::Admission::Finished { job: recorded, outcome, .. })
                    if recorded == job =>
                {
                    if outcome == finish.outcome {
                        status.clone()
                    } else {
                        status_from_outcome(core, outcome)
                    }
                }
                _ => match status {
                    Status::Completed(_) | Status::Failed { .. } => {
                        status_from_outcome(core, Outcome::entry_lost())
                    }
                    _ => status.clone(),
                },
            }
        }
        Err(error) => {
            log::error!("event=finish_failed run={execution} job={job} error={error:?}");
            match status {
                Status::Completed(_) => {
                    let detail = "the end of the job could not be recorded";
                    Status::failed(job::Failure::OutcomeUnknown, detail)
                }
                _ => status.clone(),
            }
        }
    }
}

/// Converts an outcome to a status, and reserves memory for its answers. Answers that are not
/// inline count as lost.
pub fn status_from_outcome(core: &Core, outcome: Outcome) -> Status {
    match outcome {
        // Only `fetch_answers` requests such answers from their owner. It does not pass this case
        // on.
        Outcome::Completed(Answer::Retained { .. }) => {
            Status::failed(job::Failure::AnswerLost, "the answer is no longer held")
        }
        outcome => {
            let mut reservation = core.budget.reserve();
            if let Outcome::Completed(Answer::Inline(texts)) = &outcome {
                reservation.grow(texts.iter().map(String::len).sum());
            }
            Status::from_result(ExecutionResult { outcome, reservation })
        }
    }
}

/// The status of a finished job. Answers that are too large for the control log are fetched from
/// the owner, i.e. the entry that ran the job.
async fn fetch_answers(
    core: &Rc<Core>,
    job: id::Job,
    owner: SocketAddr,
    outcome: Outcome,
    until: Instant,
) -> Status {
    let Outcome::Completed(Answer::Retained { digest }) = outcome else {
        return status_from_outcome(core, outcome);
    };
    let lost = |detail: String| Status::failed(job::Failure::AnswerLost, detail);
    if owner == core.addr.get() {
        return match core.retained.borrow_mut().get(job) {
            Some(answers) if retained::digest(&answers.texts) == digest => {
                Status::Completed(answers)
            }
            _ => lost("the answer is no longer held".into()),
        };
    }
    let mut last = String::new();
    for _ in 0..FETCH_TRIES {
        let limit = until.min(Instant::now() + OWNER_WAIT_LIMIT);
        match core.wait_at(owner, job, limit).await {
            Ok(entry::Waited::Ended(Outcome::Completed(Answer::Inline(texts))))
                if retained::digest(&texts) == digest =>
            {
                return status_from_outcome(core, Outcome::Completed(Answer::Inline(texts)));
            }
            // With any other reply the answers count as lost, usually because the owner has evicted
            // them.
            Ok(_) => return lost(format!("peer={owner}: the answer is no longer held")),
            Err(e) => last = e.to_string(),
        }
        pause_before_retry(until).await;
    }
    lost(last)
}

/// Waits until a job of another execution is recorded as ended. Returns `None` if its key has been
/// freed (see [`free_key`]) or control no longer has the job, and `Running` if `until` has passed.
async fn wait_for_owner(
    core: &Rc<Core>,
    key: &id::Key,
    job: id::Job,
    owner: SocketAddr,
    until: Instant,
) -> Option<Status> {
    while Instant::now() < until {
        if owner != core.addr.get() {
            let limit = until.min(Instant::now() + OWNER_WAIT_LIMIT);
            match core.wait_at(owner, job, limit).await {
                Ok(entry::Waited::Ended(outcome)) => {
                    return Some(status_from_outcome(core, outcome));
                }
                Ok(entry::Waited::Running { .. }) => {
                    pause_before_retry(until).await;
                    continue;
                }
                Ok(entry::Waited::Unknown) => {}
                Err(e) => log::info!("event=owner_unreachable job={job} {e}"),
            }
        }
        // The owner may have died. Control records its jobs as failed once none of its tasks can
        // start any more.
        pause_before_retry(until).await;
        match core.control.lookup(key, until).await {
            Ok(control::Admission::Running { job: current, .. }) if current == job => {}
            Ok(control::Admission::Finished { job: current, owner, outcome }) if current == job => {
                return Some(fetch_answers(core, job, owner, outcome, until).await);
            }
            // The key has been freed, and may be in use again with other content. Control compares
            // the content at the next `admit`.
            Ok(_) => return None,
            Err(_) => {}
        }
    }
    Some(Status::Running)
}

/// Waits for a random time of half to one and a half times the mean pause, but not beyond `until`.
async fn pause_before_retry(until: Instant) {
    let pause = OWNER_RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
    time::sleep(pause.min(until.saturating_duration_since(Instant::now()))).await;
}

/// What a status query or a cancel finds under a key.
pub enum KeyLookup {
    /// This entry is handling the submission.
    Local(Rc<ActiveSubmission>),
    /// The entry at `owner` runs the job.
    Remote {
        job: id::Job,
        owner: SocketAddr,
    },
    Ended(Status),
    /// No submission with the key is known.
    Unknown,
    /// Control did not answer, for the given reason.
    Unavailable(String),
}

/// Looks up a key at this entry and then at control.
pub async fn look_up(core: &Rc<Core>, key: &id::Key, until: Instant) -> KeyLookup {
    if let Some(active) = core.active(key) {
        return match active.remote.get() {
            Some((job, owner)) => KeyLookup::Remote { job, owner },
            None => KeyLookup::Local(active),
        };
    }
    match core.control.lookup(key, until).await {
        Ok(control::Admission::Running { job, owner }) => KeyLookup::Remote { job, owner },
        Ok(control::Admission::Finished { job, owner, outcome }) => {
            KeyLookup::Ended(fetch_answers(core, job, owner, outcome, until).await)
        }
        Ok(_) => KeyLookup::Unknown,
        Err(error) => KeyLookup::Unavailable(format!("{error:?}")),
    }
}

impl ActiveSubmission {
    pub fn execution(&self) -> id::Execution {
        self.execution.get()
    }

    /// Draws a new execution id if the present one belongs to an earlier session. Returns `None` if
    /// there is no session.
    fn renew_execution(&self, core: &Core) -> Option<id::Execution> {
        let epoch = core.session.epoch()?;
        if self.execution.get().epoch != epoch {
            self.execution.set(core.session.next_execution());
        }
        Some(self.execution.get())
    }

    /// Number of answered tasks and of all tasks.
    pub fn progress(&self, core: &Core) -> (usize, usize) {
        let answered = match &*self.stage.borrow() {
            Stage::Running => {
                return core.engine.progress(self.execution()).unwrap_or((0, self.tasks));
            }
            Stage::Recording(status) | Stage::Ended(status) => match **status {
                Status::Completed(_) => self.tasks,
                _ => 0,
            },
        };
        (answered, self.tasks)
    }

    /// Ends the submission. If it is still being admitted, it ends when it would otherwise start.
    pub fn cancel(&self, core: &Core) {
        self.cancelled.set(true);
        core.engine.cancel(self.execution());
    }
}
