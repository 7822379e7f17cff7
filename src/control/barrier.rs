//! Read barriers that concurrent calls share.

use std::{cell::RefCell, mem, rc::Rc, time::Instant};

use tokio::sync::oneshot;

use crate::{control::replica::Replica, protocol::wire::control};

type Outcome = Result<Instant, control::Refusal>;

/// Shares read barriers between calls. A call that arrives while a barrier is in progress waits
/// for the next one, which starts after the call arrived. So only a call that arrives alone costs
/// a heartbeat round of its own.
#[derive(Clone)]
pub struct SharedBarrier {
    replica: Replica,
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Whether a task is running that passes barriers for the waiting calls.
    running: bool,
    waiting: Vec<oneshot::Sender<Outcome>>,
}

impl SharedBarrier {
    pub fn new(replica: Replica) -> SharedBarrier {
        SharedBarrier { replica, inner: Rc::default() }
    }

    /// Returns once a barrier that started after this call has passed, with the time at which it
    /// started.
    pub async fn wait(&self) -> Outcome {
        let (sender, receiver) = oneshot::channel();
        let idle = {
            let mut inner = self.inner.borrow_mut();
            inner.waiting.push(sender);
            !mem::replace(&mut inner.running, true)
        };
        if idle {
            actix_rt::spawn(self.clone().run());
        }
        receiver.await.unwrap_or(Err(control::Refusal::Stopping))
    }

    async fn run(self) {
        loop {
            let waiting = {
                let mut inner = self.inner.borrow_mut();
                let waiting = mem::take(&mut inner.waiting);
                inner.running = !waiting.is_empty();
                waiting
            };
            if waiting.is_empty() {
                return;
            }
            let start = Instant::now();
            let outcome = self.replica.barrier().await.map(|()| start);
            for sender in waiting {
                let _ = sender.send(outcome.clone());
            }
        }
    }
}
