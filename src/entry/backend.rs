//! Calls to one backend server, through its sidecar.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use rand::Rng;
use serde::de::IgnoredAny;
use tokio::{
    sync::oneshot,
    time::{self, Instant},
};

use crate::{
    entry::{
        meter::{Meter, WasteCause},
        session::Session,
    },
    error::Error,
    protocol::{
        id, job,
        wire::{control::Server, sidecar},
    },
    transport::rpc,
    util,
};

/// Time after the deadline for which a reply is still awaited. A late reply carries the load of the
/// backend server and says whether the task started.
const REPLY_GRACE: Duration = Duration::from_millis(2_000);
/// Number of tries to revoke the attempts whose calls got no reply.
const REVOKE_TRIES: u32 = 3;
/// Time limit of one try to revoke attempts, and of a cancel.
const REVOKE_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause before the second try to revoke attempts. It doubles before each further try, and each
/// pause varies at random by half of its length.
const REVOKE_PAUSE: Duration = Duration::from_millis(50);

/// A backend server.
pub struct Backend {
    incarnation: id::Incarnation,
    link: Rc<rpc::Link<sidecar::ServiceClient>>,
    meter: Rc<Meter>,
    /// Attempts whose calls got no reply and that the next `revoke` call covers.
    lost: RefCell<Vec<(id::Attempt, oneshot::Sender<sidecar::Revoked>)>>,
    /// Whether a task that revokes lost attempts is running.
    revoking: Cell<bool>,
}

/// How an attempt ended, with the load that the sidecar reported with it.
#[derive(Debug)]
pub struct AttemptReport {
    pub load: Option<sidecar::Load>,
    pub outcome: AttemptOutcome,
}

/// How an attempt ended, after its reply has been checked.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// JSON text.
    Answer {
        answer: String,
        ran_us: u64,
    },
    Failed {
        reason: job::Failure,
        detail: String,
        ran_us: u64,
    },
    NotStarted(sidecar::NotStarted),
    /// The attempt may have started, and there is no answer that can be trusted.
    Lost {
        detail: String,
    },
}

impl Backend {
    pub fn new(server: &Server, meter: Rc<Meter>) -> Rc<Backend> {
        Rc::new(Backend {
            incarnation: server.incarnation,
            link: rpc::Link::new(server.addr),
            meter,
            lost: RefCell::default(),
            revoking: Cell::new(false),
        })
    }

    pub fn addr(&self) -> std::net::SocketAddr {
        self.link.addr()
    }

    /// Sends an attempt to the sidecar and waits until it has ended.
    pub async fn run(
        self: &Rc<Self>,
        mut task: sidecar::Task,
        deadline: Instant,
        session: &Session,
    ) -> AttemptReport {
        let attempt = task.attempt;
        if self.link.ready().await.is_err() {
            return AttemptReport::without_load(AttemptOutcome::NotStarted(
                sidecar::NotStarted::Unreachable,
            ));
        }
        // Connecting takes time, and the process may have been frozen meanwhile.
        let left = deadline.saturating_duration_since(Instant::now());
        if !session.may_start(attempt.execution.epoch) {
            return AttemptReport::without_load(AttemptOutcome::NotStarted(
                sidecar::NotStarted::Fenced,
            ));
        }
        if left.is_zero() {
            return AttemptReport::without_load(AttemptOutcome::NotStarted(
                sidecar::NotStarted::Expired,
            ));
        }
        task.left_ms = util::millis(left).try_into().unwrap_or(u32::MAX);
        let context = rpc::context(left + REPLY_GRACE);
        let call = self.link.call("run", |client| async move { client.run(context, task).await });
        // The future is boxed because it takes 2 KiB and more and is moved several times on its way
        // to the runtime.
        match Box::pin(call).await {
            Ok(reply) => check(attempt, reply),
            // `Net` means that no connection could be opened, so the call was not sent.
            Err(Error::Net { .. }) => AttemptReport::without_load(AttemptOutcome::NotStarted(
                sidecar::NotStarted::Unreachable,
            )),
            // The call may have been sent, but no reply arrived. So one wasted message is counted.
            Err(e) => {
                self.meter.wasted(WasteCause::Lost, 1);
                AttemptReport::without_load(Box::pin(self.revoke_lost(attempt, e)).await)
            }
        }
    }

    /// Revokes an attempt whose call got no reply, so that it can no longer start. Returns its
    /// outcome, which depends on whether it had started.
    async fn revoke_lost(self: &Rc<Self>, attempt: id::Attempt, error: Error) -> AttemptOutcome {
        let (sender, revoked) = oneshot::channel();
        self.lost.borrow_mut().push((attempt, sender));
        if !self.revoking.replace(true) {
            actix_rt::spawn(self.clone().revoke());
        }
        match revoked.await {
            Ok(sidecar::Revoked::NotStarted) => {
                AttemptOutcome::NotStarted(sidecar::NotStarted::Revoked)
            }
            Ok(sidecar::Revoked::Started) => {
                AttemptOutcome::Lost { detail: format!("{error}; the task had started") }
            }
            Ok(sidecar::Revoked::Unknown) => AttemptOutcome::Lost {
                detail: format!("{error}; the backend server has restarted"),
            },
            Err(_) => AttemptOutcome::Lost { detail: error.to_string() },
        }
    }

    /// Revokes all attempts whose calls got no reply, with as few messages as possible.
    async fn revoke(self: Rc<Self>) {
        // When a connection breaks, all of its calls fail in the same turn of the runtime. Yielding
        // once lets all of them be collected, so that one message covers them.
        tokio::task::yield_now().await;
        loop {
            let lost = self.lost.take();
            if lost.is_empty() {
                break;
            }
            let (attempts, senders): (Vec<_>, Vec<_>) = lost.into_iter().unzip();
            let results = self.request_revocation(&attempts).await;
            for (sender, result) in senders.into_iter().zip(results) {
                let _ = sender.send(result);
            }
        }
        self.revoking.set(false);
    }

    /// Sends `revoke` and returns one result for each attempt, or none if no try succeeded.
    async fn request_revocation(&self, attempts: &[id::Attempt]) -> Vec<sidecar::Revoked> {
        let mut pause = REVOKE_PAUSE;
        for _ in 0..REVOKE_TRIES {
            self.meter.wasted(WasteCause::Lost, 2);
            let (incarnation, attempts) = (self.incarnation, attempts.to_vec());
            let requested = attempts.len();
            let context = rpc::context(REVOKE_LIMIT);
            let call = |client: sidecar::ServiceClient| async move {
                client.revoke(context, incarnation, attempts).await
            };
            match self.link.call("revoke", call).await {
                Ok(results) if results.len() == requested => return results,
                Ok(results) => {
                    let (peer, got) = (self.addr(), results.len());
                    log::error!("event=revoke_mismatch peer={peer} asked={requested} got={got}");
                    return Vec::new();
                }
                Err(e) => log::warn!("event=revoke_failed attempts={requested} {e}"),
            }
            time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
            pause *= 2;
        }
        Vec::new()
    }

    /// Cancels all attempts of an execution at this backend server.
    pub async fn cancel(&self, execution: id::Execution) {
        let context = rpc::context(REVOKE_LIMIT);
        let call = self
            .link
            .call("cancel", |client| async move { client.cancel(context, execution).await })
            .await;
        match call {
            Ok(sidecar::Cancelled { queued: 0, running: 0 }) => {
                self.meter.wasted(WasteCause::Late, 2)
            }
            Ok(_) => {}
            Err(e) => log::warn!("event=cancel_failed run={execution} {e}"),
        }
    }
}

impl AttemptReport {
    /// The report of an attempt whose call panicked. Whether it ran is not known.
    pub fn panicked() -> AttemptReport {
        let detail = "internal error during the call".to_owned();
        AttemptReport::without_load(AttemptOutcome::Lost { detail })
    }

    fn without_load(outcome: AttemptOutcome) -> AttemptReport {
        AttemptReport { load: None, outcome }
    }
}

/// Checks that a reply belongs to the attempt and that its answer is intact. Otherwise the attempt
/// counts as lost.
fn check(attempt: id::Attempt, reply: sidecar::Reply) -> AttemptReport {
    if reply.attempt != attempt {
        let detail = format!("the reply to attempt {attempt} names attempt {}", reply.attempt);
        return AttemptReport::without_load(AttemptOutcome::Lost { detail });
    }
    let outcome = match reply.result {
        sidecar::RunResult::NotStarted { reason } => AttemptOutcome::NotStarted(reason),
        sidecar::RunResult::Failed { reason, detail, ran_us } => {
            AttemptOutcome::Failed { reason, detail, ran_us }
        }
        sidecar::RunResult::Done { answer, crc, ran_us } => {
            if crc32fast::hash(answer.as_bytes()) != crc {
                AttemptOutcome::Lost {
                    detail: format!("the answer of attempt {attempt} has a wrong checksum"),
                }
            } else if serde_json::from_str::<IgnoredAny>(&answer).is_err() {
                AttemptOutcome::Lost {
                    detail: format!("the answer of attempt {attempt} is not valid JSON"),
                }
            } else {
                AttemptOutcome::Answer { answer, ran_us }
            }
        }
    };
    AttemptReport { load: Some(reply.load), outcome }
}
