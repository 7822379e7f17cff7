//! One backend server, reached through its sidecar.

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
        meter::{Meter, Waste},
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

/// Time after the deadline for which a reply is awaited, as it tells the state of the server.
const REPLY_GRACE: Duration = Duration::from_millis(2_000);
/// Tries to learn what became of attempts whose connection broke.
const REVOKE_TRIES: u32 = 3;
/// Time for one such try, and for a cancel.
const REVOKE_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause before the second try; doubled for each further one, with jitter of one half.
const REVOKE_PAUSE: Duration = Duration::from_millis(50);

/// A backend server.
pub struct Backend {
    incarnation: id::Incarnation,
    link: Rc<rpc::Link<sidecar::ServiceClient>>,
    meter: Rc<Meter>,
    /// Attempts whose connection broke, to be settled with one message.
    lost: RefCell<Vec<(id::Attempt, oneshot::Sender<sidecar::Revoked>)>>,
    settling: Cell<bool>,
}

/// What became of an attempt.
#[derive(Debug)]
pub struct Report {
    pub load: Option<sidecar::Load>,
    pub end: End,
}

/// End of an attempt, after its reply has been checked.
#[derive(Debug)]
pub enum End {
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
    /// It may have started; there is no answer that could be trusted.
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
            settling: Cell::new(false),
        })
    }

    pub fn addr(&self) -> std::net::SocketAddr {
        self.link.addr()
    }

    /// Sends an attempt and waits for its end.
    pub async fn run(
        self: &Rc<Self>,
        mut task: sidecar::Task,
        deadline: Instant,
        session: &Session,
    ) -> Report {
        let attempt = task.attempt;
        if self.link.ready().await.is_err() {
            return Report::without_load(End::NotStarted(sidecar::NotStarted::Unreachable));
        }
        // Connecting took time, and the process may have been frozen.
        let left = deadline.saturating_duration_since(Instant::now());
        if !session.may_start(attempt.execution.epoch) {
            return Report::without_load(End::NotStarted(sidecar::NotStarted::Fenced));
        }
        if left.is_zero() {
            return Report::without_load(End::NotStarted(sidecar::NotStarted::Expired));
        }
        task.left_ms = util::millis(left).try_into().unwrap_or(u32::MAX);
        let context = rpc::context(left + REPLY_GRACE);
        let call = self.link.call("run", |client| async move { client.run(context, task).await });
        // Boxed: it is moved several times on its way to the runtime, at 2 KiB and more a time.
        match Box::pin(call).await {
            Ok(reply) => check(attempt, reply),
            Err(Error::Net { .. }) => {
                Report::without_load(End::NotStarted(sidecar::NotStarted::Unreachable))
            }
            Err(e) => {
                self.meter.wasted(Waste::Lost, 1);
                Report::without_load(Box::pin(self.settle(attempt, e)).await)
            }
        }
    }

    /// Makes an attempt unstartable after its connection broke, and tells whether it had started.
    async fn settle(self: &Rc<Self>, attempt: id::Attempt, error: Error) -> End {
        let (settled, settlement) = oneshot::channel();
        self.lost.borrow_mut().push((attempt, settled));
        if !self.settling.replace(true) {
            actix_rt::spawn(self.clone().revoke());
        }
        match settlement.await {
            Ok(sidecar::Revoked::NotStarted) => End::NotStarted(sidecar::NotStarted::Revoked),
            Ok(sidecar::Revoked::Started) => {
                End::Lost { detail: format!("{error}; the task had started") }
            }
            Ok(sidecar::Revoked::Unknown) => {
                End::Lost { detail: format!("{error}; the backend server has restarted") }
            }
            Err(_) => End::Lost { detail: error.to_string() },
        }
    }

    /// Settles all attempts whose connection broke, in as few messages as possible.
    async fn revoke(self: Rc<Self>) {
        // All calls of a connection fail in the same turn of the runtime: let them gather.
        tokio::task::yield_now().await;
        loop {
            let lost = self.lost.take();
            if lost.is_empty() {
                break;
            }
            let (attempts, settled): (Vec<_>, Vec<_>) = lost.into_iter().unzip();
            let results = self.ask_revoked(&attempts).await;
            for (settled, result) in settled.into_iter().zip(results) {
                let _ = settled.send(result);
            }
        }
        self.settling.set(false);
    }

    /// One result per attempt, or none at all.
    async fn ask_revoked(&self, attempts: &[id::Attempt]) -> Vec<sidecar::Revoked> {
        let mut pause = REVOKE_PAUSE;
        for _ in 0..REVOKE_TRIES {
            self.meter.wasted(Waste::Lost, 2);
            let (incarnation, attempts) = (self.incarnation, attempts.to_vec());
            let asked = attempts.len();
            let context = rpc::context(REVOKE_LIMIT);
            let call = |client: sidecar::ServiceClient| async move {
                client.revoke(context, incarnation, attempts).await
            };
            match self.link.call("revoke", call).await {
                Ok(results) if results.len() == asked => return results,
                Ok(results) => {
                    let (peer, got) = (self.addr(), results.len());
                    log::error!("event=revoke_mismatch peer={peer} asked={asked} got={got}");
                    return Vec::new();
                }
                Err(e) => log::warn!("event=revoke_failed attempts={asked} {e}"),
            }
            time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
            pause *= 2;
        }
        Vec::new()
    }

    /// Cancels all attempts of a run here.
    pub async fn cancel(&self, execution: id::Execution) {
        let context = rpc::context(REVOKE_LIMIT);
        let call = self
            .link
            .call("cancel", |client| async move { client.cancel(context, execution).await })
            .await;
        match call {
            Ok(sidecar::Cancelled { queued: 0, running: 0 }) => self.meter.wasted(Waste::Late, 2),
            Ok(_) => {}
            Err(e) => log::warn!("event=cancel_failed run={execution} {e}"),
        }
    }
}

impl Report {
    fn without_load(end: End) -> Report {
        Report { load: None, end }
    }
}

/// Takes a reply only if it belongs to the attempt and arrived unharmed.
fn check(attempt: id::Attempt, reply: sidecar::Reply) -> Report {
    if reply.attempt != attempt {
        let detail = format!("the reply to attempt {attempt} names attempt {}", reply.attempt);
        return Report::without_load(End::Lost { detail });
    }
    let end = match reply.result {
        sidecar::RunResult::NotStarted { reason } => End::NotStarted(reason),
        sidecar::RunResult::Failed { reason, detail, ran_us } => {
            End::Failed { reason, detail, ran_us }
        }
        sidecar::RunResult::Done { answer, crc, ran_us } => {
            if crc32fast::hash(answer.as_bytes()) != crc {
                End::Lost {
                    detail: format!("the answer of attempt {attempt} has a wrong checksum"),
                }
            } else if serde_json::from_str::<IgnoredAny>(&answer).is_err() {
                End::Lost { detail: format!("the answer of attempt {attempt} is not valid JSON") }
            } else {
                End::Answer { answer, ran_us }
            }
        }
    };
    Report { load: Some(reply.load), end }
}
