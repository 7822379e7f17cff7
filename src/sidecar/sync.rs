//! Reports to control once a second and takes over what it answers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{self, Instant};

use crate::{
    error::Error,
    protocol::wire::control,
    sidecar::{core::Core, platform::Platform},
    transport::rpc,
};

/// Pause before the next instance is asked after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

type Link = rpc::Link<control::ServiceClient>;

/// Connections to the control instances.
pub struct Control<P: Platform> {
    core: Rc<Core<P>>,
    links: IndexMap<SocketAddr, Rc<Link>>,
    configured: Vec<SocketAddr>,
    /// Position in `configured` of the instance to ask after a failure.
    next: usize,
    current: SocketAddr,
}

/// Result of one call.
enum Synced {
    Confirmed,
    /// Another instance is known to lead.
    Elsewhere(SocketAddr),
    Failed,
}

impl<P: Platform> Control<P> {
    pub fn new(core: Rc<Core<P>>) -> Control<P> {
        let configured = core.settings.control.clone();
        let current = configured[0];
        Control { core, links: IndexMap::new(), configured, next: 0, current }
    }

    /// Reports until the process ends: at the interval, at once when there is urgent news, and
    /// again after a short pause when an instance failed.
    pub async fn run(mut self) {
        let core = self.core.clone();
        loop {
            let sent = Instant::now();
            let pause = match self.round().await {
                Synced::Confirmed => core.settings.sync_interval_ms.saturating_sub(sent.elapsed()),
                _ => RETRY_PAUSE,
            };
            tokio::select! {
                () = time::sleep(pause) => {}
                () = core.urgent.notified() => {}
            }
        }
    }

    /// Asks the current instance, and the one it names as leader.
    async fn round(&mut self) -> Synced {
        match self.ask(self.current).await {
            Synced::Elsewhere(leader) if leader != self.current => {
                self.current = leader;
                match self.ask(leader).await {
                    Synced::Confirmed => Synced::Confirmed,
                    _ => self.turn(),
                }
            }
            Synced::Confirmed => Synced::Confirmed,
            _ => self.turn(),
        }
    }

    /// Moves on to the next configured instance.
    fn turn(&mut self) -> Synced {
        self.links.shift_remove(&self.current);
        self.next = (self.next + 1) % self.configured.len();
        self.current = self.configured[self.next];
        Synced::Failed
    }

    async fn ask(&mut self, addr: SocketAddr) -> Synced {
        let link = self.links.entry(addr).or_insert_with(|| Link::new(addr)).clone();
        let core = &self.core;
        let report = core.report();
        let limit = core.settings.control_call_ms;
        let sent = core.now();
        let call = |client: control::ServiceClient| async move {
            client.sync_sidecar(rpc::context(limit), report).await
        };
        match link.call("sync_sidecar", call).await {
            Ok(Ok(view)) => {
                core.meter.synced("confirmed");
                core.confirm(sent, view);
                Synced::Confirmed
            }
            Ok(Err(control::Refusal::NotLeader { leader: Some(leader) })) => {
                core.meter.synced("not_leader");
                Synced::Elsewhere(leader)
            }
            Ok(Err(refusal)) => {
                core.meter.synced("refused");
                log::debug!("event=sync_refused peer={addr} reason={refusal:?}");
                Synced::Failed
            }
            Err(e) => {
                core.meter.synced("failed");
                log_failure(&e);
                Synced::Failed
            }
        }
    }
}

fn log_failure(error: &Error) {
    log::warn!("event=sync_failed {error}");
}
