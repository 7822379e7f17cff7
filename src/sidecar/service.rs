//! The RPC service for entries.

use std::rc::Rc;

use tarpc::context::Context;

use crate::{
    protocol::{
        id,
        wire::sidecar::{Cancelled, Reply, Revoked, Service, Task},
    },
    sidecar::{core::Core, platform::Platform},
};

/// Handles the calls of entries to one sidecar.
pub struct Handler<P: Platform> {
    pub core: Rc<Core<P>>,
}

impl<P: Platform> Clone for Handler<P> {
    fn clone(&self) -> Handler<P> {
        Handler { core: self.core.clone() }
    }
}

impl<P: Platform> Service for Handler<P> {
    async fn run(self, _: Context, task: Task) -> Reply {
        self.core.run(task).await
    }

    async fn cancel(self, _: Context, execution: id::Execution) -> Cancelled {
        self.core.cancel(execution)
    }

    async fn revoke(
        self,
        _: Context,
        incarnation: id::Incarnation,
        attempts: Vec<id::Attempt>,
    ) -> Vec<Revoked> {
        self.core.revoke(incarnation, &attempts)
    }
}
