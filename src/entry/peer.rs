//! The service that an entry offers to other entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tarpc::context::Context;
use tokio::time::Instant;

use crate::{
    entry::{
        Core,
        keyed::{self, Status},
    },
    error::Result,
    protocol::{
        id,
        wire::{
            Answer, Outcome,
            entry::{Service, Waited},
        },
    },
    transport::rpc,
};

/// A wait ends this long before the caller's own deadline, so that the reply arrives in time.
const MARGIN: Duration = Duration::from_millis(200);

/// Serves other entries at `addr`.
pub async fn serve(addr: SocketAddr, core: &Rc<Core>) -> Result<rpc::Server> {
    rpc::serve(addr, Peer { core: core.clone() }.serve()).await
}

#[derive(Clone)]
struct Peer {
    core: Rc<Core>,
}

impl Service for Peer {
    async fn wait(self, context: Context, job: id::Job) -> Waited {
        self.waited(context, job).await
    }

    async fn cancel(self, context: Context, job: id::Job) -> Waited {
        let key = self.core.keys_by_job.borrow().get(&job).cloned();
        if let Some(active) = key.and_then(|key| self.core.active(&key)) {
            active.cancel(&self.core);
        }
        self.waited(context, job).await
    }
}

impl Peer {
    /// Waits until a job has ended or the call's deadline is near.
    async fn waited(&self, context: Context, job: id::Job) -> Waited {
        let left = context.deadline.saturating_duration_since(std::time::Instant::now());
        let until = Instant::now() + left.saturating_sub(MARGIN);
        let key = self.core.keys_by_job.borrow().get(&job).cloned();
        let Some(active) = key.and_then(|key| self.core.active(&key)) else {
            return self.retained(job);
        };
        match &*keyed::wait_until_ended(&active, until).await {
            Status::Running => {
                let (done, tasks) = active.progress(&self.core);
                Waited::Running { done: done as u16, tasks: tasks as u16 }
            }
            status => status.outcome().map_or(Waited::Unknown, Waited::Ended),
        }
    }

    /// The answers of a job that has ended, if this entry still retains them.
    fn retained(&self, job: id::Job) -> Waited {
        match self.core.retained.borrow_mut().get(job) {
            Some(answers) => {
                Waited::Ended(Outcome::Completed(Answer::Inline(answers.texts.clone())))
            }
            None => Waited::Unknown,
        }
    }
}
