//! Life of a submission with a key: admission, run, record, and resubmissions of it.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use rand::Rng;
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{
    entry::{
        Core,
        control::Rejected,
        engine::{Ending, Work},
        held::{self, Answers},
    },
    protocol::{
        id, job,
        wire::{self, Answer, Outcome, control, entry},
    },
};

/// Time for control to tell whether a key is known, before a submission is refused.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which the end of a job is recorded in the background, while its session lasts.
const FINISH_LIMIT: Duration = Duration::from_secs(600);
/// Time for which a key whose admission got no answer is freed in the background.
const RELEASE_LIMIT: Duration = Duration::from_secs(60);
/// Longest single wait at the owner of a job. A frozen owner keeps its connection open, and control
/// is only asked for the job's end after the wait.
const WAIT_LIMIT: Duration = Duration::from_secs(2);
/// Mean pause between two questions about a job whose owner does not answer.
const FOLLOW_PAUSE: Duration = Duration::from_millis(300);
/// Tries to fetch an answer from its owner.
const FETCH_TRIES: u32 = 3;

/// Ends the detail of a refusal that says nothing of earlier calls with the same key.
pub const CALL_ONLY: &str = "; this call started nothing, but control could not be asked about earlier \
                         calls with this key: keep the key when submitting again";

/// A submission with a key.
#[derive(Debug)]
pub struct Keyed {
    pub key: id::Key,
    pub created_at_ms: u64,
    /// SHA-256 of the tasks.
    pub digest: [u8; 32],
    pub work: Work,
}

/// A submission with a key that this entry is handling.
#[derive(Debug)]
pub struct Active {
    execution: Cell<id::Execution>,
    /// Job and owner, if another entry runs it.
    elsewhere: Cell<Option<(id::Job, SocketAddr)>>,
    /// Whether it must not be started any more.
    cancelled: Cell<bool>,
    digest: [u8; 32],
    tasks: usize,
    stage: watch::Sender<Stage>,
}

/// How far a submission is.
#[derive(Debug, Clone)]
enum Stage {
    /// Being admitted or run, here or elsewhere.
    Running,
    /// Its run here has ended; the end is being recorded.
    Recording(Rc<Done>),
    Ended(Rc<Done>),
}

/// How a submission ended.
#[derive(Debug, Clone)]
pub enum Done {
    Completed(Rc<Answers>),
    Failed {
        reason: job::Failure,
        detail: String,
    },
    NotRun {
        reason: job::Refusal,
        detail: String,
    },
    /// It still runs at another entry; the deadline has passed.
    Running,
}

impl Done {
    pub fn not_run(reason: job::Refusal, detail: impl Into<String>) -> Done {
        Done::NotRun { reason, detail: detail.into() }
    }

    /// A refusal with its usual explanation.
    pub fn refused(reason: job::Refusal) -> Done {
        Done::not_run(reason, reason.detail())
    }

    pub fn failed(reason: job::Failure, detail: impl Into<String>) -> Done {
        Done::Failed { reason, detail: detail.into() }
    }

    /// The end of a run on this entry.
    pub fn of(ending: Ending) -> Done {
        match ending.outcome {
            Outcome::Completed(Answer::Inline(texts)) => {
                Done::Completed(Rc::new(Answers { texts, hold: ending.hold }))
            }
            Outcome::Completed(Answer::Held { .. }) => {
                Done::failed(job::Failure::AnswerLost, "a run ended without its answers")
            }
            Outcome::Failed { reason, detail } => Done::Failed { reason, detail },
            Outcome::NotRun { reason, detail } => Done::NotRun { reason, detail },
        }
    }

    /// The outcome with all answers inline; `None` while running.
    pub fn outcome(&self) -> Option<Outcome> {
        Some(match self {
            Done::Completed(answers) => Outcome::Completed(Answer::Inline(answers.texts.clone())),
            Done::Failed { reason, detail } => {
                Outcome::Failed { reason: *reason, detail: detail.clone() }
            }
            Done::NotRun { reason, detail } => {
                Outcome::NotRun { reason: *reason, detail: detail.clone() }
            }
            Done::Running => return None,
        })
    }
}

/// Takes a submission, or joins it if this entry is handling it. Returns its run and its end.
///
/// The submission goes on if the returned future is dropped.
pub async fn submit(core: &Rc<Core>, keyed: Keyed) -> (id::Execution, Rc<Done>) {
    let deadline = keyed.work.deadline;
    if let Some(active) = core.active(&keyed.key) {
        if active.digest != keyed.digest {
            return (core.session.execution(), Rc::new(Done::refused(job::Refusal::KeyConflict)));
        }
        let done = join(&active, deadline).await;
        return (active.execution(), done);
    }
    if core.keys.borrow().len() >= core.limits.requests_max {
        // Callers that hang up leave their submissions behind: these are bounded, too.
        let detail = format!("the entry handles too many submissions{CALL_ONLY}");
        let refused = Done::not_run(job::Refusal::Overloaded, detail);
        return (core.session.execution(), Rc::new(refused));
    }
    let active = Rc::new(Active {
        execution: Cell::new(core.session.execution()),
        elsewhere: Cell::new(None),
        cancelled: Cell::new(false),
        digest: keyed.digest,
        tasks: keyed.work.inputs.len(),
        stage: watch::Sender::new(Stage::Running),
    });
    let key = keyed.key.clone();
    core.keys.borrow_mut().insert(key.clone(), active.clone());
    let (owner, owned) = (core.clone(), active.clone());
    actix_rt::spawn(async move {
        let done = Rc::new(live(&owner, &owned, keyed).await);
        owner.keys.borrow_mut().remove(&key);
        owned.stage.send_replace(Stage::Ended(done));
    });
    let grace = Duration::from_millis(core.limits.finish_grace_ms);
    let done = wait(&active, deadline + grace).await;
    (active.execution(), done)
}

/// Waits for the end of a submission on behalf of its first caller.
async fn wait(active: &Active, until: Instant) -> Rc<Done> {
    if let Some(done) = ended(active, until).await {
        return done;
    }
    match &*active.stage.borrow() {
        Stage::Running => Rc::new(Done::Running),
        Stage::Recording(done) => match **done {
            // Without a record, the job may yet be recorded as failed.
            Done::Completed(_) => {
                let detail = "the end of the job could not be recorded in time";
                Rc::new(Done::failed(job::Failure::OutcomeUnknown, detail))
            }
            _ => done.clone(),
        },
        Stage::Ended(done) => done.clone(),
    }
}

/// Waits for the end of a submission on behalf of a resubmission.
pub async fn join(active: &Active, until: Instant) -> Rc<Done> {
    ended(active, until).await.unwrap_or_else(|| Rc::new(Done::Running))
}

async fn ended(active: &Active, until: Instant) -> Option<Rc<Done>> {
    let mut stage = active.stage.subscribe();
    let ended = time::timeout_at(until, stage.wait_for(|s| matches!(s, Stage::Ended(_)))).await;
    match ended {
        Ok(Ok(stage)) => match &*stage {
            Stage::Ended(done) => Some(done.clone()),
            _ => None,
        },
        _ => None,
    }
}

/// Takes a submission from admission to its recorded end.
async fn live(core: &Rc<Core>, active: &Active, keyed: Keyed) -> Done {
    let Keyed { key, created_at_ms, digest, mut work } = keyed;
    let until = work.deadline;
    let limit = || until.min(Instant::now() + Duration::from_millis(core.limits.admit_limit_ms));
    if core.is_confirmed() {
        // Control answered a short time ago: a session that has just ended is replaced soon.
        core.session.wait(limit()).await;
    }
    let refused = core.check(&mut work).err();
    if let Some(refusal) = &refused
        && let Some(done) = refuse(core, &key, until, refusal).await
    {
        return done;
    }
    loop {
        core.session.wait(limit()).await;
        let Some(execution) = active.renew(core) else {
            let detail = format!("the entry has no session at control{CALL_ONLY}");
            return Done::not_run(job::Refusal::ControlUnavailable, detail);
        };
        let admit = control::Admit {
            execution,
            key: key.clone(),
            digest,
            created_at_ms,
            tasks: work.inputs.len() as u16,
        };
        match core.control.admit(&admit, limit()).await {
            Ok(control::Admission::Admitted { job }) => {
                return match refused {
                    Some(refusal) => record(core, execution, &key, job, &refusal).await,
                    None => run(core, active, &key, job, work).await,
                };
            }
            Ok(control::Admission::Running { job, owner }) => {
                active.elsewhere.set(Some((job, owner)));
                if active.cancelled.get() {
                    // The cancel arrived before the owner was known.
                    let _ = core.cancel_at(owner, job, until).await;
                }
                if let Some(done) = follow(core, &key, job, owner, until).await {
                    return done;
                }
                active.elsewhere.set(None);
            }
            Ok(control::Admission::Finished { job, owner, outcome }) => {
                return fetch(core, job, owner, outcome, until).await;
            }
            Ok(control::Admission::Conflict) => return Done::refused(job::Refusal::KeyConflict),
            Ok(control::Admission::Expired) => return Done::refused(job::Refusal::KeyExpired),
            Ok(control::Admission::Unknown) => {
                return Done::refused(job::Refusal::ControlUnavailable);
            }
            Err(Rejected::Fenced) if Instant::now() < until => {
                core.end_session(execution.epoch);
            }
            Err(rejected) => return unadmitted(core, admit, rejected),
        }
    }
}

/// Ends a submission that control did not admit.
///
/// Only this process can start attempts of this run id, and it does so only from `run`, after an
/// `Admitted`. Once this function is called the run id is used no more except to free its key, so
/// "not run" is true even if the record is, or will be, in the log.
fn unadmitted(core: &Rc<Core>, admit: control::Admit, rejected: Rejected) -> Done {
    let detail = match rejected {
        Rejected::Fenced => "the entry's session has ended".to_owned(),
        Rejected::Invalid { detail } => detail,
        Rejected::Unanswered { sent, detail } => {
            if sent {
                actix_rt::spawn(release(core.clone(), admit));
            }
            detail
        }
    };
    Done::not_run(job::Refusal::ControlUnavailable, detail + CALL_ONLY)
}

/// Frees the key of an admission that got no answer, so that a resubmission need not wait for the
/// end of this entry's session.
async fn release(core: Rc<Core>, admit: control::Admit) {
    let until = Instant::now() + RELEASE_LIMIT;
    if let Ok(control::Admission::Admitted { job }) = core.control.admit(&admit, until).await {
        let outcome = Outcome::NotRun {
            reason: job::Refusal::ControlUnavailable,
            detail: "the admission was not answered in time".into(),
        };
        let finish = control::Finish { job, epoch: admit.execution.epoch, outcome };
        let _ = core.control.finish(&finish, until).await;
    }
}

/// Refuses a submission, unless an earlier one with the same key is known (`None`): "not run" must
/// also be true of that one.
async fn refuse(core: &Rc<Core>, key: &id::Key, until: Instant, refusal: &Done) -> Option<Done> {
    let limit = Instant::now() + LOOKUP_LIMIT;
    match core.control.lookup(key, until.min(limit)).await {
        Ok(control::Admission::Unknown) => Some(refusal.clone()),
        Ok(control::Admission::Finished { outcome: Outcome::NotRun { .. }, .. }) => {
            Some(refusal.clone())
        }
        Ok(_) => None,
        Err(_) => {
            let Done::NotRun { reason, detail } = refusal else { return Some(refusal.clone()) };
            Some(Done::NotRun { reason: *reason, detail: format!("{detail}{CALL_ONLY}") })
        }
    }
}

/// Runs an admitted submission and records its end.
async fn run(core: &Rc<Core>, active: &Active, key: &id::Key, job: id::Job, work: Work) -> Done {
    core.jobs.borrow_mut().insert(job, key.clone());
    let done = if active.cancelled.get() {
        Rc::new(Done::refused(job::Refusal::Cancelled))
    } else {
        Rc::new(core.execute(active.execution(), work).await)
    };
    active.stage.send_replace(Stage::Recording(done.clone()));
    let recorded = record(core, active.execution(), key, job, &done).await;
    core.jobs.borrow_mut().remove(&job);
    recorded
}

/// Records how a job ended; returns the end that stands.
async fn record(
    core: &Rc<Core>,
    execution: id::Execution,
    key: &id::Key,
    job: id::Job,
    done: &Done,
) -> Done {
    let outcome = match done {
        Done::Completed(answers) if answers.bytes() > wire::ANSWER_INLINE_MAX_BYTES => {
            core.held.borrow_mut().put(job, answers.clone());
            Outcome::Completed(Answer::Held { digest: held::digest(&answers.texts) })
        }
        _ => match done.outcome() {
            Some(outcome) => outcome,
            None => return Done::Running,
        },
    };
    let finish = control::Finish { job, epoch: execution.epoch, outcome };
    let until = Instant::now() + FINISH_LIMIT;
    match core.control.finish(&finish, until).await {
        Ok(control::Finished::Recorded) => done.clone(),
        Ok(control::Finished::Already { outcome }) if outcome == finish.outcome => done.clone(),
        Ok(control::Finished::Already { outcome }) => settled(core, outcome),
        Err(Rejected::Fenced) => {
            core.end_session(execution.epoch);
            // An earlier try may have been recorded before the session ended.
            let until = Instant::now() + LOOKUP_LIMIT;
            match core.control.lookup(key, until).await {
                Ok(control::Admission::Finished { job: recorded, outcome, .. })
                    if recorded == job =>
                {
                    if outcome == finish.outcome {
                        done.clone()
                    } else {
                        settled(core, outcome)
                    }
                }
                _ => match done {
                    Done::Completed(_) | Done::Failed { .. } => {
                        settled(core, Outcome::entry_lost())
                    }
                    _ => done.clone(),
                },
            }
        }
        Err(rejected) => {
            log::error!("event=finish_failed run={execution} job={job} error={rejected:?}");
            match done {
                Done::Completed(_) => {
                    let detail = "the end of the job could not be recorded";
                    Done::failed(job::Failure::OutcomeUnknown, detail)
                }
                _ => done.clone(),
            }
        }
    }
}

/// A recorded outcome whose answers, if any, are inline.
pub fn settled(core: &Core, outcome: Outcome) -> Done {
    match outcome {
        Outcome::Completed(Answer::Held { .. }) => {
            Done::failed(job::Failure::AnswerLost, "the answer is no longer held")
        }
        outcome => {
            let mut hold = core.budget.hold();
            if let Outcome::Completed(Answer::Inline(texts)) = &outcome {
                hold.grow(texts.iter().map(String::len).sum());
            }
            Done::of(Ending { outcome, hold })
        }
    }
}

/// The end of a finished job, with its answers from the owner if the log does not hold them.
async fn fetch(
    core: &Rc<Core>,
    job: id::Job,
    owner: SocketAddr,
    outcome: Outcome,
    until: Instant,
) -> Done {
    let Outcome::Completed(Answer::Held { digest }) = outcome else {
        return settled(core, outcome);
    };
    let lost = |detail: String| Done::failed(job::Failure::AnswerLost, detail);
    if owner == core.addr.get() {
        return match core.held.borrow_mut().get(job) {
            Some(answers) if held::digest(&answers.texts) == digest => Done::Completed(answers),
            _ => lost("the answer is no longer held".into()),
        };
    }
    let mut last = String::new();
    for _ in 0..FETCH_TRIES {
        let limit = until.min(Instant::now() + WAIT_LIMIT);
        match core.ask(owner, job, limit).await {
            Ok(entry::Waited::Ended(Outcome::Completed(Answer::Inline(texts))))
                if held::digest(&texts) == digest =>
            {
                return settled(core, Outcome::Completed(Answer::Inline(texts)));
            }
            Ok(_) => return lost(format!("peer={owner}: the answer is no longer held")),
            Err(e) => last = e.to_string(),
        }
        pause(until).await;
    }
    lost(last)
}

/// Waits until a job that another run has is recorded as ended. Returns `None` if its key has
/// been freed, and `Running` if `until` has passed.
async fn follow(
    core: &Rc<Core>,
    key: &id::Key,
    job: id::Job,
    owner: SocketAddr,
    until: Instant,
) -> Option<Done> {
    while Instant::now() < until {
        if owner != core.addr.get() {
            let limit = until.min(Instant::now() + WAIT_LIMIT);
            match core.ask(owner, job, limit).await {
                Ok(entry::Waited::Ended(outcome)) => return Some(settled(core, outcome)),
                Ok(entry::Waited::Running { .. }) => {
                    pause(until).await;
                    continue;
                }
                Ok(entry::Waited::Unknown) => {}
                Err(e) => log::info!("event=owner_unreachable job={job} {e}"),
            }
        }
        // The owner may have died: its jobs are recorded as failed once nothing of it can start.
        pause(until).await;
        match core.control.lookup(key, until).await {
            Ok(control::Admission::Running { job: now, .. }) if now == job => {}
            Ok(control::Admission::Finished { job: now, owner, outcome }) if now == job => {
                return Some(fetch(core, job, owner, outcome, until).await);
            }
            // Freed, and perhaps taken again with other content: that is for control to compare.
            Ok(_) => return None,
            Err(_) => {}
        }
    }
    Some(Done::Running)
}

async fn pause(until: Instant) {
    let pause = FOLLOW_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
    time::sleep(pause.min(until.saturating_duration_since(Instant::now()))).await;
}

/// What is known of a key: for status queries and cancels.
pub enum Known {
    Here(Rc<Active>),
    Running { job: id::Job, owner: SocketAddr },
    Ended(Done),
    Unknown,
    Unavailable(String),
}

/// Finds a submission, here or at control.
pub async fn find(core: &Rc<Core>, key: &id::Key, until: Instant) -> Known {
    if let Some(active) = core.active(key) {
        return match active.elsewhere.get() {
            Some((job, owner)) => Known::Running { job, owner },
            None => Known::Here(active),
        };
    }
    match core.control.lookup(key, until).await {
        Ok(control::Admission::Running { job, owner }) => Known::Running { job, owner },
        Ok(control::Admission::Finished { job, owner, outcome }) => {
            Known::Ended(fetch(core, job, owner, outcome, until).await)
        }
        Ok(_) => Known::Unknown,
        Err(rejected) => Known::Unavailable(format!("{rejected:?}")),
    }
}

impl Active {
    pub fn execution(&self) -> id::Execution {
        self.execution.get()
    }

    /// Gives the submission a run of the current session, if there is one.
    fn renew(&self, core: &Core) -> Option<id::Execution> {
        let epoch = core.session.epoch()?;
        if self.execution.get().epoch != epoch {
            self.execution.set(core.session.execution());
        }
        Some(self.execution.get())
    }

    /// Answered and all tasks.
    pub fn progress(&self, core: &Core) -> (usize, usize) {
        let answered = match &*self.stage.borrow() {
            Stage::Running => {
                return core.engine.progress(self.execution()).unwrap_or((0, self.tasks));
            }
            Stage::Recording(done) | Stage::Ended(done) => match **done {
                Done::Completed(_) => self.tasks,
                _ => 0,
            },
        };
        (answered, self.tasks)
    }

    /// Ends the submission, now or, if it is still being admitted, instead of its start.
    pub fn cancel(&self, core: &Core) {
        self.cancelled.set(true);
        core.engine.cancel(self.execution());
    }
}
