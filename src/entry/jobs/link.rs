//! Links to sidecars. What was ordered over a link that broke is stopped by the sidecar when the
//! link's lease ends, so that the entry then knows that nothing of it runs any more.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::{Notify, watch},
    time,
};

use super::Entry;
use crate::{
    coordination::transient::{Key, StartCommand},
    protocol::{
        queue::{Attempt, Id},
        wire::work::{self, Renewal, Reply, ServiceClient, Status},
    },
    transport::rpc,
    util,
};

/// Length of the lease that each message renews, in ms.
const LEASE_MS: u64 = 700;
/// Pause between renewals while orders are under way.
const RENEW_PAUSE: Duration = Duration::from_millis(150);
/// Renewals left out while no orders are under way.
const IDLE_SKIPS: u32 = 5;
/// Time for the answer to a renewal.
const RENEW_LIMIT: Duration = Duration::from_millis(350);
/// Pause before a broken link is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time after which nothing runs under a sidecar that has died, in ms: the longest lease of the
/// backend server.
const DEAD_MS: u64 = 1_100;
/// Longest time that a call may wait for the end of a run.
const RUN_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// A link to a sidecar. Cheap to clone.
#[derive(Clone)]
pub(super) struct Link {
    inner: Rc<Inner>,
}

struct Inner {
    addr: Cell<SocketAddr>,
    key: Key,
    session: RefCell<Option<Session>>,
    /// Wakes the link's loop.
    broken: Notify,
}

/// An open connection.
#[derive(Clone)]
struct Session {
    client: ServiceClient,
    entry: work::Entry,
    /// The sidecar's clock, and the time at which it was asked for.
    clock: Rc<Cell<(u64, u64)>>,
    /// End of the last lease, on the sidecar's clock.
    lease_until_ms: Rc<Cell<u64>>,
    /// Becomes true once nothing that was ordered over the connection runs any more.
    over: watch::Receiver<bool>,
}

impl Session {
    /// The sidecar's clock, at most.
    fn clock(&self) -> u64 {
        let (clock_ms, asked_ms) = self.clock.get();
        clock_ms + util::boot_ms().saturating_sub(asked_ms)
    }

    /// A new lease, on the sidecar's clock.
    fn lease(&self) -> u64 {
        let until_ms = self.clock() + LEASE_MS;
        self.lease_until_ms.set(until_ms.max(self.lease_until_ms.get()));
        until_ms
    }
}

impl Link {
    pub fn new(addr: SocketAddr, key: Key) -> Link {
        let inner = Inner {
            addr: Cell::new(addr),
            key,
            session: RefCell::new(None),
            broken: Notify::new(),
        };
        Link { inner: Rc::new(inner) }
    }

    /// Cancels a job of another entry. `None` if the sidecar cannot be asked.
    pub async fn cancel(&self, job: Id) -> Option<bool> {
        let session = self.inner.session.borrow().clone()?;
        let answer = session.client.cancel(rpc::context(RENEW_LIMIT), job);
        match time::timeout(RENEW_LIMIT, answer).await {
            Ok(Ok(any)) => Some(any),
            Ok(Err(_)) | Err(_) => {
                log::info!("event=cancel_unanswered job={job} sidecar={}", self.inner.addr.get());
                None
            }
        }
    }

    /// Orders a run to stop; its order then ends.
    pub fn stop(&self, attempt: Attempt) {
        let session = self.inner.session.borrow().clone();
        let Some(session) = session else { return };
        actix_rt::spawn(async move {
            let context = rpc::context(RENEW_LIMIT);
            if let Err(e) = session.client.stop(context, session.entry, vec![attempt]).await {
                log::debug!("event=stop_failed run={attempt} error={e:?}");
            }
        });
    }
}

impl Entry {
    /// Orders a run and waits for its end.
    pub(super) async fn run(self, link: Link, command: StartCommand) {
        let attempt = command.start.attempt;
        let session = link.inner.session.borrow().clone();
        let reply = match session {
            None => None,
            Some(session) => self.run_over(&link, session, command).await,
        };
        let key = link.inner.key;
        if reply.is_none() {
            log::info!("event=run_lost run={attempt} sidecar={}", link.inner.addr.get());
        }
        self.inner.scheduler.borrow_mut().ended(util::boot_ms(), key, attempt, reply.as_ref());
        self.carry_out();
    }

    async fn run_over(
        &self,
        link: &Link,
        mut session: Session,
        command: StartCommand,
    ) -> Option<Reply> {
        let clock_ms = session.clock();
        let due_ms = (clock_ms + command.due_ms).saturating_sub(util::boot_ms());
        let request = work::StartCommand {
            entry: session.entry,
            lease_until_ms: session.lease(),
            start: command.start,
            due_ms,
            wait_ms: command.wait_ms,
        };
        let call = session.client.run(rpc::context(RUN_LIMIT), request);
        tokio::select! {
            answer = call => match answer {
                Ok(reply) => return Some(reply),
                Err(e) => {
                    log::debug!("event=run_failed sidecar={} error={e:?}", link.inner.addr.get());
                    link.inner.broken.notify_one();
                }
            },
            _ = session.over.wait_for(|over| *over) => return None,
        }
        // An error means that the other end of `over` is gone, with the same meaning.
        let _ = session.over.wait_for(|over| *over).await;
        None
    }

    /// Keeps a link open.
    pub(super) async fn run_link(self, link: Link) {
        let key = link.inner.key;
        loop {
            let addr = self.inner.scheduler.borrow().addr(key);
            link.inner.addr.set(addr);
            let Some((session, over, status)) = open(addr).await else {
                time::sleep(RECONNECT_PAUSE).await;
                continue;
            };
            link.inner.session.replace(Some(session.clone()));
            self.inner.scheduler.borrow_mut().connected(key);
            self.inner.scheduler.borrow_mut().update_load(util::boot_ms(), key, &status.load);
            self.carry_out();
            self.renew(&link, &session).await;
            log::info!("event=link_broken sidecar={addr}");
            link.inner.session.replace(None);
            self.inner.scheduler.borrow_mut().disconnected(key);
            actix_rt::spawn(end(session, over, status.incarnation, addr));
        }
    }

    /// Renews the lease until the link breaks.
    async fn renew(&self, link: &Link, session: &Session) {
        let key = link.inner.key;
        let mut skipped = 0;
        loop {
            tokio::select! {
                () = time::sleep(RENEW_PAUSE) => {}
                () = link.inner.broken.notified() => return,
            }
            let idle = self.inner.scheduler.borrow().outstanding(key) == 0;
            if idle && skipped < IDLE_SKIPS {
                skipped += 1;
                continue;
            }
            skipped = 0;
            match ask(&session.client, session.entry, session.lease()).await {
                Some((asked_ms, status)) => {
                    session.clock.set((status.clock_ms, asked_ms));
                    let now_ms = util::boot_ms();
                    self.inner.scheduler.borrow_mut().update_load(now_ms, key, &status.load);
                    self.carry_out();
                }
                None => return,
            }
        }
    }
}

/// Opens a link under a name of its own, so that leases of earlier links are not renewed.
async fn open(addr: SocketAddr) -> Option<(Session, watch::Sender<bool>, Status)> {
    let client = match rpc::connect::<ServiceClient>(addr).await {
        Ok(client) => client,
        Err(e) => {
            log::debug!("event=link_not_opened {e}");
            return None;
        }
    };
    let entry = work::Entry(rand::random());
    let (asked_ms, status) = ask(&client, entry, 0).await?;
    let (sender, over) = watch::channel(false);
    let session = Session {
        client,
        entry,
        clock: Rc::new(Cell::new((status.clock_ms, asked_ms))),
        lease_until_ms: Rc::default(),
        over,
    };
    Some((session, sender, status))
}

/// Requests the status of a sidecar; also returns when the request was sent.
async fn ask(
    client: &ServiceClient,
    entry: work::Entry,
    lease_until_ms: u64,
) -> Option<(u64, Status)> {
    let asked_ms = util::boot_ms();
    let renewal = Renewal { entry, lease_until_ms };
    let answer = client.renew(rpc::context(RENEW_LIMIT), renewal);
    match time::timeout(RENEW_LIMIT, answer).await {
        Ok(Ok(status)) => Some((asked_ms, status)),
        Ok(Err(e)) => {
            log::debug!("event=renewal_failed error={e:?}");
            None
        }
        Err(_) => None,
    }
}

/// Waits until nothing that was ordered over a broken link runs any more, and says so.
async fn end(session: Session, over: watch::Sender<bool>, known: u64, addr: SocketAddr) {
    loop {
        // The sidecar's clock, at least.
        let (clock_ms, asked_ms) = session.clock.get();
        let late_ms = util::boot_ms().saturating_sub(asked_ms + util::millis(RENEW_LIMIT));
        let clock_ms = clock_ms + late_ms;
        if session.lease_until_ms.get() + DEAD_MS < clock_ms {
            break;
        }
        if let Some((again, _, status)) = open(addr).await {
            let alive = status.incarnation == known;
            if !alive && status.clean {
                break;
            }
            let release = again.client.release(rpc::context(RENEW_LIMIT), session.entry);
            if alive && matches!(time::timeout(RENEW_LIMIT, release).await, Ok(Ok(true))) {
                break;
            }
        }
        time::sleep(RECONNECT_PAUSE).await;
    }
    let _ = over.send(true);
}
