//! Connections to sidecars. Each opening of a connection has a lease of its own, which the sidecar
//! identifies by a random number that is drawn for the opening, a [`work::Entry`]. When the
//! connection breaks, the lease is no longer renewed. When the lease ends, the sidecar stops the
//! attempts that were started under it; if the sidecar's process has died, the backend server stops
//! them soon after. From then on the entry knows that none of them is running, even if it cannot
//! reach the sidecar.

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
    coordination::{
        connection::{Lease, Watermark},
        transient::{Key, StartCommand},
    },
    protocol::{
        id,
        queue::{Attempt, Id},
        wire::{
            queue::{Drains, Members},
            work::{self, Renewal, Reply, Revision, ServiceClient, Status},
        },
    },
    transport::rpc,
    util,
};

/// Interval between renewals while start commands are outstanding.
const RENEW_INTERVAL: Duration = Duration::from_millis(150);
/// Number of renewals in a row that are skipped while no start command is outstanding.
const IDLE_SKIPS: u32 = 5;
/// Time limit of renewals and of the other short calls to a sidecar.
const RENEW_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause before another try to open a connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Pause before another try to stop an attempt.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time that a call may wait for the end of an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// A connection to a sidecar that is opened again whenever it breaks. Clones are cheap and refer to
/// the same connection.
#[derive(Clone)]
pub(super) struct Connection {
    inner: Rc<Inner>,
}

struct Inner {
    /// Name of the sidecar.
    name: String,
    addr: Cell<SocketAddr>,
    key: Key,
    /// `None` while the connection is broken.
    channel: RefCell<Option<Channel>>,
    /// Ends the renewals, so that the connection is opened again.
    broken: Notify,
    /// Makes a renewal due at once.
    renewal_due: Notify,
}

/// Result of the cancellation of a job at a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cancellation {
    /// Attempts of the job were there, and are stopped.
    Attempts,
    Nothing,
    NotConnected,
    /// Attempts may be there and go on.
    Unanswered,
}

/// What an entry passes on to sidecars.
#[derive(Debug, Default)]
struct Updates {
    members: Option<Members>,
    drains: Drains,
}

/// One opening of a [`Connection`], until it breaks.
#[derive(Clone)]
struct Channel {
    client: ServiceClient,
    /// Random number that identifies the lease of this opening.
    entry: work::Entry,
    lease: Rc<Cell<Lease>>,
    /// Becomes true once no attempt that was started over the connection is running any more.
    terminated: watch::Receiver<bool>,
}

impl Channel {
    /// Waits until no attempt that was started over the connection is running any more. If the task
    /// that determines it has failed, that is when the leases have ended.
    async fn wait_for_termination(&self) {
        let mut terminated = self.terminated.clone();
        if terminated.wait_for(|terminated| *terminated).await.is_ok() {
            return;
        }
        while !self.lease.get().over(util::boot_ms()) {
            time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Extends the lease and returns its end on the sidecar's clock.
    fn extend_lease(&self, watermark: Watermark) -> u64 {
        let mut lease = self.lease.get();
        let until_ms = lease.extend(watermark.until_ms());
        self.lease.set(lease);
        until_ms
    }

    /// Records the sidecar's answer that attempts may be left.
    fn record_left(&self) {
        let mut lease = self.lease.get();
        lease.record_left(util::boot_ms());
        self.lease.set(lease);
    }

    /// Records the reading of the sidecar's clock in an answer that arrived at `received_ms`.
    fn record_clock(&self, clock_ms: u64, received_ms: u64) {
        let mut lease = self.lease.get();
        lease.record(clock_ms, received_ms);
        self.lease.set(lease);
    }
}

impl Connection {
    pub fn new(name: String, addr: SocketAddr, key: Key) -> Connection {
        let inner = Inner {
            name,
            addr: Cell::new(addr),
            key,
            channel: RefCell::new(None),
            broken: Notify::new(),
            renewal_due: Notify::new(),
        };
        Connection { inner: Rc::new(inner) }
    }

    /// Cancels a job of another entry at this sidecar.
    pub async fn cancel(&self, job: Id) -> Cancellation {
        let channel = self.inner.channel.borrow().clone();
        let Some(channel) = channel else { return Cancellation::NotConnected };
        let answer = channel.client.cancel(rpc::context(RENEW_TIMEOUT), job);
        match time::timeout(RENEW_TIMEOUT, answer).await {
            Ok(Ok(true)) => Cancellation::Attempts,
            Ok(Ok(false)) => Cancellation::Nothing,
            Ok(Err(_)) | Err(_) => {
                log::info!("event=cancel_unanswered job={job} sidecar={}", self.inner.addr.get());
                Cancellation::Unanswered
            }
        }
    }

    /// Requests that an attempt is stopped, until the sidecar has answered or the connection breaks,
    /// which stops its attempts as well. Meanwhile renewals for other attempts would keep this one.
    /// The reply to its start command reports the outcome.
    pub fn stop(&self, attempt: Attempt) {
        let Some(channel) = self.inner.channel.borrow().clone() else { return };
        let connection = self.clone();
        actix_rt::spawn(async move {
            while connection.is_open(channel.entry) {
                let context = rpc::context(RENEW_TIMEOUT);
                match channel.client.stop(context, channel.entry, vec![attempt]).await {
                    Ok(()) => return,
                    Err(e) => log::info!("event=stop_unanswered run={attempt} error={e:?}"),
                }
                time::sleep(STOP_RETRY_DELAY).await;
            }
        });
    }

    /// Whether the opening of the connection that `entry` identifies has not broken.
    fn is_open(&self, entry: work::Entry) -> bool {
        self.inner.channel.borrow().as_ref().is_some_and(|channel| channel.entry == entry)
    }
}

impl Entry {
    /// Sends a start command, waits until its attempt has ended, and passes the reply to the
    /// scheduler.
    pub(super) async fn run_attempt(self, connection: Connection, command: StartCommand) {
        let attempt = command.start.attempt;
        let channel = connection.inner.channel.borrow().clone();
        let reply = match channel {
            None => None,
            Some(channel) => self.run_on_channel(&connection, channel, command).await,
        };
        let key = connection.inner.key;
        if reply.is_none() {
            log::info!("event=run_lost run={attempt} sidecar={}", connection.inner.addr.get());
        }
        self.scheduler().ended(util::boot_ms(), key, attempt, reply.as_ref());
        if self.inner.scheduler.borrow().outdated(key) {
            connection.inner.renewal_due.notify_one();
        }
        self.carry_out();
    }

    /// Returns `None` if the reply was lost; no attempt of the command is then running any more.
    async fn run_on_channel(
        &self,
        connection: &Connection,
        channel: Channel,
        command: StartCommand,
    ) -> Option<Reply> {
        let request = work::StartCommand {
            entry: channel.entry,
            incarnation: command.incarnation,
            lease_until_ms: channel.extend_lease(self.inner.watermark.get()),
            start: command.start,
            due_ms: channel.lease.get().clock_lower_bound(command.due_ms),
            wait_ms: command.wait_ms,
        };
        let cluster = self.inner.leader.cluster();
        let call = channel.client.run(rpc::context(ATTEMPT_TIMEOUT), cluster, request);
        let terminated = channel.wait_for_termination();
        tokio::pin!(terminated);
        tokio::select! {
            answer = call => match answer {
                Ok(reply) => return Some(reply),
                Err(e) => {
                    log::debug!(
                        "event=run_failed sidecar={} error={e:?}",
                        connection.inner.addr.get()
                    );
                    connection.inner.broken.notify_one();
                }
            },
            () = &mut terminated => return None,
        }
        terminated.await;
        None
    }

    /// Opens a connection, renews its lease, and opens it again whenever it breaks.
    pub(super) async fn maintain_connection(self, connection: Connection) {
        let key = connection.inner.key;
        if connection.inner.channel.replace(None).is_some() {
            // The task that maintained the connection before has failed.
            self.scheduler().disconnected(key);
        }
        loop {
            let addr = self.inner.scheduler.borrow().addr(key);
            connection.inner.addr.set(addr);
            let cluster = self.inner.leader.cluster();
            let Some((channel, terminated, status)) =
                open(&connection.inner.name, addr, cluster, self.known()).await
            else {
                time::sleep(RECONNECT_DELAY).await;
                continue;
            };
            connection.inner.channel.replace(Some(channel.clone()));
            let incarnation = status.incarnation;
            self.scheduler().connected(key);
            self.apply_status(key, status);
            self.renew(&connection, &channel).await;
            log::info!("event=link_broken sidecar={addr}");
            connection.inner.channel.replace(None);
            self.scheduler().disconnected(key);
            let process = Process { name: connection.inner.name.clone(), incarnation, addr };
            actix_rt::spawn(wait_for_termination(channel, terminated, process));
        }
    }

    fn known(&self) -> Updates {
        let drains = self.inner.scheduler.borrow().drains().clone();
        Updates { members: self.inner.leader.members(), drains }
    }

    /// Renews all leases at once, also idle ones, to pass on what sidecars may not know yet.
    pub(super) fn renew_all(&self) {
        let connections = self.inner.connections.borrow();
        connections.values().for_each(|connection| connection.inner.renewal_due.notify_one());
    }

    fn apply_status(&self, key: Key, status: Status) {
        let Status { load, server, members, .. } = status;
        if let Some(members) = members {
            self.inner.leader.learn(&members);
        }
        if let Some(server) = server {
            log::info!("event=server_described server={} revision={:?}", server.id, load.revision);
            self.scheduler().describe_server(key, load.revision, server);
        }
        self.scheduler().update_load(util::boot_ms(), key, &load);
        self.carry_out();
    }

    /// Renews the lease until the connection breaks.
    async fn renew(&self, connection: &Connection, channel: &Channel) {
        let key = connection.inner.key;
        let mut skipped = 0;
        let mut due = time::Instant::now() + RENEW_INTERVAL;
        loop {
            tokio::select! {
                () = time::sleep_until(due) => {}
                () = connection.inner.renewal_due.notified() => skipped = IDLE_SKIPS,
                () = connection.inner.broken.notified() => return,
            }
            // On a slow link, an interval that began with the answer would let the lease expire.
            due = time::Instant::now() + RENEW_INTERVAL;
            let idle = self.inner.scheduler.borrow().outstanding(key) == 0;
            if idle && skipped < IDLE_SKIPS {
                skipped += 1;
                continue;
            }
            skipped = 0;
            let revision = self.inner.scheduler.borrow().revision(key);
            let lease_until_ms = channel.extend_lease(self.inner.watermark.get());
            let Updates { members, drains } = self.known();
            let entry = channel.entry;
            let renewal = Renewal { entry, revision, lease_until_ms, members, drains };
            let cluster = self.inner.leader.cluster();
            match request_status(&channel.client, cluster, renewal).await {
                Some((received_ms, status)) => {
                    channel.record_clock(status.clock_ms, received_ms);
                    self.apply_status(key, status);
                }
                None => return,
            }
        }
    }
}

/// Opens a connection to the sidecar `name` with a new random [`work::Entry`], so that its renewals do
/// not extend the leases of earlier openings. Fails if another sidecar answers at the address.
async fn open(
    name: &str,
    addr: SocketAddr,
    cluster: Option<id::Cluster>,
    known: Updates,
) -> Option<(Channel, watch::Sender<bool>, Status)> {
    let client = match rpc::connect::<ServiceClient>(addr).await {
        Ok(client) => client,
        Err(e) => {
            log::debug!("event=link_not_opened {e}");
            return None;
        }
    };
    let entry = work::Entry(rand::random());
    let Updates { members, drains } = known;
    let revision = Revision::default();
    let renewal = Renewal { entry, revision, lease_until_ms: 0, members, drains };
    let (received_ms, status) = request_status(&client, cluster, renewal).await?;
    if status.sidecar.as_deref() != Some(name) {
        let other = status.sidecar.as_deref().unwrap_or("none");
        log::debug!("event=other_sidecar peer={addr} sidecar={name} answered={other}");
        return None;
    }
    let (sender, terminated) = watch::channel(false);
    let channel = Channel {
        client,
        entry,
        lease: Rc::new(Cell::new(Lease::new(status.clock_ms, received_ms))),
        terminated,
    };
    Some((channel, sender, status))
}

/// Renews a lease and requests the status of a sidecar. Also returns when the answer arrived.
async fn request_status(
    client: &ServiceClient,
    cluster: Option<id::Cluster>,
    renewal: Renewal,
) -> Option<(u64, Status)> {
    let answer = client.renew(rpc::context(RENEW_TIMEOUT), cluster, renewal);
    match time::timeout(RENEW_TIMEOUT, answer).await {
        Ok(Ok(status)) => Some((util::boot_ms(), status)),
        Ok(Err(e)) => {
            log::debug!("event=renewal_failed error={e:?}");
            None
        }
        Err(_) => None,
    }
}

/// A process of a sidecar, which a connection was open to.
struct Process {
    name: String,
    incarnation: u64,
    addr: SocketAddr,
}

/// Waits until no attempt that was started over a broken connection is running any more, and then
/// sends `true` to `terminated`. That is so in three cases: a new process of the sidecar reports that
/// nothing that earlier processes started is left at the backend server; the same process has
/// released the lease of the connection and confirms that none of its attempts is left; or the lease
/// of the connection and, after it, the longest lease of the backend server have ended, and no process
/// of the sidecar has answered that attempts may be left.
async fn wait_for_termination(channel: Channel, terminated: watch::Sender<bool>, process: Process) {
    loop {
        match attempts_left(channel.entry, &process).await {
            Some(false) => break,
            Some(true) => channel.record_left(),
            None => {}
        }
        if channel.lease.get().over(util::boot_ms()) {
            break;
        }
        time::sleep(RECONNECT_DELAY).await;
    }
    let _ = terminated.send(true);
}

/// Releases the lease of a broken connection to a process of a sidecar. Returns whether attempts that
/// were started over it may be left, or `None` without an answer of the sidecar.
async fn attempts_left(entry: work::Entry, process: &Process) -> Option<bool> {
    // Only the incarnation and what is left count here, which the sidecar says to every entry.
    let (channel, _, status) = open(&process.name, process.addr, None, Updates::default()).await?;
    if status.incarnation != process.incarnation {
        return Some(!status.clean);
    }
    let release = channel.client.release(rpc::context(RENEW_TIMEOUT), entry);
    match time::timeout(RENEW_TIMEOUT, release).await {
        Ok(Ok(released)) => Some(!released),
        Ok(Err(_)) | Err(_) => None,
    }
}
