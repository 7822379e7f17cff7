//! Read barriers shared by the calls that wait at the same time.

use std::{cell::RefCell, mem, rc::Rc, time::Instant};

use tokio::sync::oneshot;

use crate::{control::replica::Replica, protocol::wire::control};

type Answer = Result<Instant, control::Refusal>;

/// Shares read barriers: calls that arrive while one is under way wait for the next one, which
/// starts after they arrived. So a call costs a heartbeat round only when it is alone.
#[derive(Clone)]
pub struct Confirm {
    replica: Replica,
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    running: bool,
    waiting: Vec<oneshot::Sender<Answer>>,
}

impl Confirm {
    pub fn new(replica: Replica) -> Confirm {
        Confirm { replica, inner: Rc::default() }
    }

    /// Returns once a barrier that started after this call has passed, with the time at which it
    /// started.
    pub async fn wait(&self) -> Answer {
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
            let answer = self.replica.barrier().await.map(|()| start);
            for sender in waiting {
                let _ = sender.send(answer.clone());
            }
        }
    }
}
