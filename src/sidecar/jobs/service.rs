//! The service that entries call.

use tarpc::context::Context;
use tokio::sync::oneshot;

use super::{Backend, Sidecar};
use crate::{
    coordination::sidecar::Source,
    protocol::{
        id,
        queue::{Attempt, Id},
        wire::{
            queue::Reason,
            work::{Entry, Load, Outcome, Renewal, Reply, Revision, Service, StartCommand, Status},
        },
    },
    util,
};

/// Serves the calls of one connection.
pub struct Handler<B> {
    sidecar: Sidecar<B>,
}

impl<B> Clone for Handler<B> {
    fn clone(&self) -> Handler<B> {
        Handler { sidecar: self.sidecar.clone() }
    }
}

impl<B> Handler<B> {
    pub fn new(sidecar: Sidecar<B>) -> Handler<B> {
        Handler { sidecar }
    }
}

impl<B: Backend> Handler<B> {
    /// Whether the sidecar starts attempts for entries that follow `cluster`.
    fn serves(&self, cluster: Option<id::Cluster>) -> bool {
        cluster.is_some() && cluster == self.sidecar.inner.leader.cluster()
    }

    /// `load` as entries that follow `cluster` see it.
    fn load_for(&self, cluster: Option<id::Cluster>, load: Load) -> Load {
        Load { open: load.open && self.serves(cluster), ..load }
    }
}

impl<B: Backend> Service for Handler<B> {
    async fn renew(self, _: Context, cluster: Option<id::Cluster>, renewal: Renewal) -> Status {
        let leader = &self.sidecar.inner.leader;
        if let Some(members) = &renewal.members {
            leader.learn(members);
        }
        let clock_ms = util::boot_ms();
        // Versions are comparable only within one cluster.
        if self.serves(cluster) {
            self.sidecar.inner.state.borrow_mut().update_drains(clock_ms, &renewal.drains);
            self.sidecar.carry_out();
        }
        let mut state = self.sidecar.inner.state.borrow_mut();
        let server = state.server().filter(|_| renewal.revision != state.revision());
        let server = server.map(|(server, _)| server.clone());
        if renewal.lease_until_ms > clock_ms {
            state.renew(renewal.entry, renewal.lease_until_ms);
        }
        Status {
            sidecar: (renewal.revision == Revision::default()).then(|| state.name().to_owned()),
            incarnation: state.incarnation(),
            clock_ms,
            clean: state.clean(),
            load: self.load_for(cluster, state.load(clock_ms)),
            server,
            members: leader.members(),
        }
    }

    async fn run(self, _: Context, cluster: Option<id::Cluster>, command: StartCommand) -> Reply {
        let inner = &self.sidecar.inner;
        if !self.serves(cluster) {
            let named = cluster.map_or_else(|| "none".to_owned(), |cluster| cluster.to_string());
            log::info!("event=other_cluster run={} cluster={named}", command.start.attempt);
            let outcome = Outcome::NotStarted(Reason::Unavailable);
            let load = self.load_for(cluster, inner.state.borrow().load(util::boot_ms()));
            return Reply { outcome, took_ms: 0, clock_ms: util::boot_ms(), load };
        }
        let (attempt, entry) = (command.start.attempt, command.entry);
        let (waiter, reply) = oneshot::channel();
        inner.waiters.borrow_mut().insert((entry, attempt), waiter);
        {
            let now_ms = util::boot_ms();
            let mut state = inner.state.borrow_mut();
            if command.lease_until_ms > now_ms {
                state.renew(entry, command.lease_until_ms);
            }
            state.handle_entry_start(now_ms, command);
        }
        self.sidecar.carry_out();
        let (outcome, took_ms) = reply.await.unwrap_or((Outcome::NotStarted(Reason::Expired), 0));
        let load = self.load_for(cluster, inner.state.borrow().load(util::boot_ms()));
        Reply { outcome, took_ms, clock_ms: util::boot_ms(), load }
    }

    async fn stop(self, _: Context, entry: Entry, attempts: Vec<Attempt>) {
        for attempt in attempts {
            self.sidecar.inner.state.borrow_mut().stop_for(Source::Entry(entry), attempt);
        }
        self.sidecar.carry_out();
    }

    async fn release(self, _: Context, entry: Entry) -> bool {
        let released = self.sidecar.inner.state.borrow_mut().release(util::boot_ms(), entry);
        self.sidecar.carry_out();
        released
    }

    async fn cancel(self, _: Context, job: Id) -> bool {
        let any = self.sidecar.inner.state.borrow_mut().cancel(job);
        self.sidecar.carry_out();
        any
    }
}
