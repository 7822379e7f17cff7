//! Batches changes: those that wait while earlier batches are being proposed share a log entry.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use tokio::sync::oneshot;

use crate::{
    control::replica::Replica,
    protocol::wire::control,
    state::machine::{
        self, Op,
        queue::{Change, Reply},
    },
    util,
};

/// Largest number of batches that are being proposed at the same time.
const IN_FLIGHT_MAX: usize = 2;

type Answer = Result<Reply, control::Refusal>;

/// Proposes changes in batches. Clones are cheap and refer to the same batcher.
#[derive(Clone)]
pub struct Batcher {
    replica: Replica,
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    waiting: RefCell<Vec<(Change, oneshot::Sender<Answer>)>>,
    in_flight: Cell<usize>,
}

impl Batcher {
    pub fn new(replica: Replica) -> Batcher {
        Batcher { replica, inner: Rc::default() }
    }

    /// Returns once the change is committed and applied.
    ///
    /// After `Refusal::Storage` or `Refusal::Stopping` the change may still be applied later, or
    /// not at all. `Stopping` is also returned if the replica's reply is of an unexpected kind.
    pub async fn propose(&self, change: Change) -> Answer {
        let (sender, receiver) = oneshot::channel();
        self.inner.waiting.borrow_mut().push((change, sender));
        if self.inner.in_flight.get() < IN_FLIGHT_MAX {
            self.inner.in_flight.set(self.inner.in_flight.get() + 1);
            actix_rt::spawn(self.clone().propose_batches());
        }
        receiver.await.unwrap_or(Err(control::Refusal::Stopping))
    }

    async fn propose_batches(self) {
        loop {
            let batch = self.inner.waiting.take();
            if batch.is_empty() {
                break;
            }
            let (changes, senders): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
            let command = machine::Command { now_ms: util::unix_ms(), op: Op::Queue(changes) };
            let replies = match self.replica.propose(command).await {
                Ok(machine::Reply::Queue(replies)) => replies.into_iter().map(Ok).collect(),
                Ok(reply) => {
                    log::error!("event=unexpected_reply reply={reply:?}");
                    vec![Err(control::Refusal::Stopping); senders.len()]
                }
                Err(refusal) => vec![Err(refusal); senders.len()],
            };
            for (sender, reply) in senders.into_iter().zip(replies) {
                let _ = sender.send(reply);
            }
        }
        self.inner.in_flight.set(self.inner.in_flight.get() - 1);
    }
}
