//! Drives the consensus protocol: passes messages, storage results and the time to the consensus
//! state and carries out the actions that it returns.

mod formation;
mod group;
mod heard;
mod introduction;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, mpsc::UnboundedReceiver, oneshot},
    time,
};

use super::{
    Inner, POLL_INTERVAL, Settings,
    core::{Core, Reply, decode, log_bytes_of},
    peers::Peers,
    service,
    storage::{self, Job, JobResult},
};
use crate::{
    coordination::{
        consensus::{self, InitialState, Instance, Role},
        contact::Book,
    },
    error::Result,
    protocol::wire::{
        control::Refusal,
        peer::{self, Body, Hello, Message, Purpose, SnapshotChunk, SnapshotMeta, Standing},
    },
    state::{
        log::{Log, files::Files},
        machine,
        origin::Origin,
        snapshot::Snapshot,
    },
    supervisor,
    transport::rpc,
};
pub(super) use group::ChangeResult;
pub(super) use heard::Heard;
pub(super) use introduction::Introduction;

/// Most entries kept in memory after a snapshot, so that followers that are slightly behind need no
/// snapshot.
const RETAINED_ENTRIES: u64 = 1_000;
/// Most bytes of these entries.
const RETAINED_BYTES: usize = 8 * 1024 * 1024;
/// Time after which a snapshot that could not be stored is made again, in ms.
const SNAPSHOT_RETRY_MS: u64 = 1_000;
/// Number of clock ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u64 = 5;
/// Number of heartbeat intervals between two introductions.
const HEARTBEATS_PER_HELLO: u64 = 4;

/// Runs the consensus protocol of one replica.
pub(super) struct Driver {
    core: RefCell<Core>,
    peers: Peers,
    settings: Settings,
    /// Of an instance that belonged to no cluster at its start.
    origin: Option<Origin>,
    peer_addr: Cell<SocketAddr>,
    client_addr: Cell<SocketAddr>,
    server: RefCell<Option<rpc::Server>>,
    /// Notified when the consensus state has new input.
    wake: Notify,
    started: Instant,
    stopping: Cell<bool>,
    /// Set once this instance, which is about to stop, has asked for a learner in its place.
    leaving: Cell<bool>,
    /// Set once the data directory is closed.
    closed: Cell<bool>,
    /// Set after a panic, which may have left `core` half changed.
    panicked: Cell<bool>,
    /// Notified when the replica has ended without a call of `stop`.
    failed: Notify,
}

/// Recovers the data directory, starts the peer service and spawns [`run`].
pub(super) async fn start(files: Box<dyn Files>, settings: Settings) -> Result<Rc<Inner>> {
    let (log, recovered) = Log::open(files, settings.node)?;
    let origin = match recovered.hard_state.cluster {
        None => open_origin(&*log.files(), &settings)?,
        Some(_) => None,
    };
    let mut state = machine::State::default();
    if let Some(snapshot) = &recovered.snapshot {
        state = decode(snapshot).map_err(|reason| crate::error::Error::Corrupt {
            step: "read_snapshot",
            path: settings.data_directory.clone(),
            offset: 0,
            reason,
        })?;
    }
    let base = recovered.snapshot.as_ref().map_or_else(SnapshotMeta::default, |s| s.meta.clone());
    let applied = base.index;
    let start = InitialState {
        id: recovered.id,
        hard_state: recovered.hard_state,
        base,
        entries: recovered.entries,
        timing: settings.timing,
        seed: rand::random(),
    };
    let log_bytes = log.bytes();
    let (storage, results) = storage::start(log);
    let contacts = Book::new(seeds(&settings.peers, origin.as_ref()));
    let instance = Instance::new(start, 0);
    let core = Core::new(instance, storage, recovered.snapshot, log_bytes, contacts);
    let (addr, listen) = (settings.peer_addr, settings.listen);
    let driver = Driver {
        core: RefCell::new(core),
        peers: Peers::default(),
        peer_addr: Cell::new(addr),
        client_addr: Cell::new(settings.client_addr),
        settings,
        origin,
        server: RefCell::new(None),
        wake: Notify::new(),
        started: Instant::now(),
        stopping: Cell::new(false),
        leaving: Cell::new(false),
        closed: Cell::new(false),
        panicked: Cell::new(false),
        failed: Notify::new(),
    };
    let inner = Rc::new(Inner {
        state: RefCell::new(Arc::new(state)),
        applied: Cell::new(applied),
        driver: Some(driver),
    });
    let service = peer::Service::serve(service::Server::new(&inner));
    let server = rpc::serve(listen.unwrap_or(addr), service).await?;
    let driver = inner.driver.as_ref().expect("just set");
    if listen.is_none() {
        driver.peer_addr.set(server.addr());
    }
    driver.begin_formation();
    *driver.server.borrow_mut() = Some(server);
    actix_rt::spawn(run(inner.clone(), results));
    Ok(inner)
}

/// Loads the origin of a data directory without a cluster; in a first start it is stored first.
fn open_origin(files: &dyn Files, settings: &Settings) -> Result<Option<Origin>> {
    let stored = Origin::load(files)?;
    let is_stored = stored.is_some();
    let origin = Origin::at_start(stored, settings.first_start, &settings.peers);
    if let Some(origin) = origin.as_ref().filter(|_| !is_stored) {
        origin.store(files)?;
    }
    Ok(origin)
}

/// Whether the sender of an introduction is to be asked what it knows. A leader that looks for a former
/// member may have reached an instance of another system at its address.
fn is_route(hello: &Hello, own: &peer::Id) -> bool {
    match hello.purpose {
        Purpose::Find(id) => id == *own,
        Purpose::Join | Purpose::Ask | Purpose::Leave => true,
    }
}

/// Addresses of the seeds, as the settings and the origin list them.
fn seeds(peers: &[SocketAddr], origin: Option<&Origin>) -> Vec<SocketAddr> {
    let first = origin.iter().flat_map(|origin| &origin.seeds);
    peers.iter().chain(first).copied().collect()
}

/// Runs the replica until it is stopped or fails, then waits until the data directory is closed.
async fn run(inner: Rc<Inner>, mut results: UnboundedReceiver<JobResult>) {
    let driver = inner.driver.as_ref().expect("only replicas with a disk run");
    let ended = supervisor::catch("replica", run_until_end(&inner, driver, &mut results)).await;
    let ended = ended.unwrap_or_else(|| Err("panic".to_owned()));
    if let Err(reason) = &ended {
        log::error!("event=replica_failed reason={reason:?}");
    }
    driver.close();
    while results.recv().await.is_some() {}
    driver.closed.set(true);
    if ended.is_err() {
        driver.failed.notify_one();
    }
}

/// Runs the replica until it is stopped. Returns the reason if it cannot go on.
async fn run_until_end(
    inner: &Rc<Inner>,
    driver: &Driver,
    results: &mut UnboundedReceiver<JobResult>,
) -> Result<(), String> {
    let tick =
        Duration::from_millis((driver.settings.timing.heartbeat_ms / TICKS_PER_HEARTBEAT).max(1));
    let mut ticks = time::interval(tick);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    while !driver.stopping.get() {
        if driver.panicked.get() {
            return Err("panic".to_owned());
        }
        tokio::select! {
            () = driver.wake.notified() => {}
            _ = ticks.tick() => driver.tick(inner),
            result = results.recv() => match result {
                Some(result) => driver.handle_result(inner, result),
                None => return Err("storage thread ended".to_owned()),
            },
        }
        driver.process_output(inner)?;
    }
    Ok(())
}

impl Driver {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Handles a message of another instance.
    pub fn receive(&self, sender: SocketAddr, message: Message) {
        self.guard("peer_message", || self.step(sender, message));
    }

    /// Handles an introduction of another instance. Returns what this one knows of its cluster, or
    /// `None` if the replica has ended.
    pub fn receive_hello(&self, hello: Hello) -> Option<Standing> {
        self.guard("peer_hello", || {
            let mut core = self.core.borrow_mut();
            if is_route(&hello, &core.instance.id()) {
                core.routes.insert(hello.id, hello.peer);
            }
            self.record_hello(&mut core, &hello);
            core.instance.hello(hello);
            let mut standing = core.instance.standing(self.origin.is_some());
            if standing.members.is_empty() {
                standing.members = core.contacts.referred().collect();
            }
            standing
        })
        .filter(|_| !self.stopping.get())
    }

    /// Handles a chunk of a snapshot. Returns whether the sender shall continue.
    pub fn receive_chunk(&self, chunk: SnapshotChunk) -> bool {
        let (from, sender) = (chunk.head.from, chunk.sender);
        if !self.takes_part(&self.core.borrow()) {
            return false;
        }
        let added = self.guard("snapshot_chunk", || {
            let added = self.core.borrow_mut().incoming.entry(from).or_default().add(chunk);
            added.map(|message| {
                message.into_iter().for_each(|message| self.step(sender, message));
            })
        });
        matches!(added, Some(Ok(())))
    }

    /// Calls a function that changes `core`. If it panics, `core` may be half changed, and the
    /// replica ends.
    fn guard<T>(&self, step: &str, change: impl FnOnce() -> T) -> Option<T> {
        let result = supervisor::catch_in(step, change);
        if result.is_none() {
            self.panicked.set(true);
            self.wake.notify_one();
        }
        result
    }

    /// Replaces `Settings::peers`.
    pub fn set_peers(&self, peers: &[SocketAddr]) {
        let mut core = self.core.borrow_mut();
        core.contacts.set_seeds(seeds(peers, self.origin.as_ref()));
        core.hello_at = self.now();
    }

    /// Whether this instance takes part in the protocol. It must not while it cannot store anything.
    fn takes_part(&self, core: &Core) -> bool {
        core.storage_error.is_none() && !core.renewing && !self.stopping.get()
    }

    fn step(&self, sender: SocketAddr, message: Message) {
        let mut core = self.core.borrow_mut();
        if message.to == core.instance.id() {
            core.routes.insert(message.from, sender);
        }
        if self.takes_part(&core) {
            let from = message.from;
            if let Err(refusal) = core.instance.step(self.now(), message) {
                let (node, disk) = (from.node.0, from.disk.0);
                log::warn!(
                    "event=message_refused peer={sender} node={node} disk={disk} refusal={refusal:?}"
                );
            }
            self.wake.notify_one();
        }
    }

    fn tick(&self, inner: &Rc<Inner>) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        if !self.takes_part(&core) {
            return;
        }
        core.instance.tick(now);
        if now >= core.hello_at {
            let heartbeats = match core.formation {
                Some(_) => 1,
                None => HEARTBEATS_PER_HELLO,
            };
            core.hello_at = now + heartbeats * self.settings.timing.heartbeat_ms;
            self.introduce(inner, &mut core);
        }
        self.continue_formation(&mut core, now);
    }

    /// Handles a result of the storage thread.
    fn handle_result(&self, inner: &Inner, result: JobResult) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        match result {
            JobResult::Saved(save) => {
                core.saving = false;
                self.clear_storage_error(&mut core);
                if let Some(snapshot) = save.install {
                    self.snapshot_installed(&mut core, inner, snapshot);
                }
                core.instance.saved(now, save.mark);
                for message in save.messages {
                    self.send(&core, message);
                }
            }
            JobResult::DiskIdRenewed(id) => {
                log::warn!("event=disk_renewed node={} disk={}", id.node.0, id.disk.0);
                core.renewing = false;
                self.clear_storage_error(&mut core);
                core.instance.disk_renewed(id);
            }
            // `run` then applies the entries that were committed while the state was shared.
            JobResult::StateReleased => {}
            JobResult::Trimmed => {}
            JobResult::SnapshotStored(snapshot) => {
                let covered_bytes = core.snapshotting.take().unwrap_or_default();
                core.log_bytes = core.log_bytes.saturating_sub(covered_bytes);
                core.submit(Job::Trim(snapshot.meta.index));
                let index = snapshot.meta.index;
                let excess = core.instance.excess(index, RETAINED_ENTRIES, RETAINED_BYTES);
                core.instance.compact(excess);
                if core.snapshot.as_ref().is_none_or(|s| s.meta.index < snapshot.meta.index) {
                    core.snapshot = Some(snapshot);
                }
            }
            JobResult::SnapshotFailed(detail) => {
                core.snapshotting = None;
                core.snapshot_at = now + SNAPSHOT_RETRY_MS;
                log::error!("event=snapshot_failed {detail}");
            }
            // The next snapshot trims these segments too.
            JobResult::TrimFailed(detail) => log::error!("event=trim_failed {detail}"),
            JobResult::Failed(detail) => {
                if core.storage_error.is_none() {
                    log::error!("event=storage_failed {detail}");
                }
                core.storage_error = Some(detail);
                core.instance.storage_failed(now);
            }
        }
    }

    fn clear_storage_error(&self, core: &mut Core) {
        if core.storage_error.take().is_some() {
            log::info!("event=storage_recovered");
        }
    }

    /// Replaces the applied state by that of an installed snapshot.
    fn snapshot_installed(&self, core: &mut Core, inner: &Inner, snapshot: Snapshot) {
        match decode(&snapshot) {
            Ok(state) => {
                *inner.state.borrow_mut() = Arc::new(state);
                core.unapplied.clear();
                inner.applied.set(snapshot.meta.index);
                core.log_bytes = 0;
                core.snapshot = Some(snapshot);
            }
            Err(reason) => {
                log::error!("event=snapshot_unreadable reason={reason:?}");
                self.stopping.set(true);
            }
        }
    }

    /// Carries out the actions that the consensus state returns.
    fn process_output(&self, inner: &Rc<Inner>) -> Result<(), String> {
        let mut core = self.core.borrow_mut();
        let output = core.instance.take_output();
        for message in output.messages {
            self.send(&core, message);
        }
        core.unapplied.extend(output.committed);
        core.apply(inner)?;
        for (token, confirmed) in output.barriers {
            let Some(waiter) = core.barriers.remove(&token) else { continue };
            match confirmed {
                Some(index) => core.confirmed_barriers.push((index, waiter)),
                None => drop(waiter.send(Err(Refusal::NotLeader { leader: None }))),
            }
        }
        core.answer_barriers(inner.applied.get());
        for head in output.snapshots {
            self.send_snapshot(inner, &mut core, head);
        }
        if output.renew_disk_id && !core.renewing {
            core.renewing = true;
            core.submit(Job::RenewDiskId);
        }
        if !core.saving
            && let Some(save) = core.instance.take_save()
        {
            core.saving = true;
            core.log_bytes += log_bytes_of(&save);
            core.submit(Job::Save(Box::new(save)));
        }
        self.start_snapshot(inner, &mut core);
        core.role_changed();
        Ok(())
    }

    fn send(&self, core: &Core, message: Message) {
        if let Some(addr) = core.route(message.to) {
            self.peers.send(addr, self.peer_addr.get(), message);
        }
    }

    fn send_snapshot(&self, inner: &Rc<Inner>, core: &mut Core, mut head: Message) {
        let to = head.to;
        let (Some(snapshot), Some(addr)) = (core.snapshot.clone(), core.route(to)) else {
            return core.instance.snapshot_transfer_failed(to);
        };
        if let Body::Snapshot { meta, .. } = &mut head.body {
            *meta = snapshot.meta;
        }
        let inner = inner.clone();
        actix_rt::spawn(async move {
            let driver = inner.driver.as_ref().expect("only replicas with a disk send");
            if !driver.peers.snapshot(addr, driver.peer_addr.get(), head, snapshot.data).await {
                driver.core.borrow_mut().instance.snapshot_transfer_failed(to);
            }
        });
    }

    /// Starts a snapshot once the log has grown by the configured limit and by twice the size of
    /// the last snapshot, so that the cost of snapshots stays proportional to that of the log.
    fn start_snapshot(&self, inner: &Inner, core: &mut Core) {
        let last_bytes = core.snapshot.as_ref().map_or(0, |s| s.data.len() as u64);
        let due = core.log_bytes >= self.settings.snapshot_bytes.max(2 * last_bytes);
        if !due || core.snapshotting.is_some() || self.now() < core.snapshot_at {
            return;
        }
        let Some(meta) = core.instance.meta(inner.applied.get()) else { return };
        core.snapshotting = Some(core.log_bytes);
        if let Some(storage) = &core.storage {
            storage.snapshot(meta, inner.state.borrow().clone());
        }
    }

    /// Refuses a call while writes fail or the replica is stopping.
    fn check_available(&self, core: &Core) -> Result<(), Refusal> {
        match &core.storage_error {
            _ if self.stopping.get() => Err(Refusal::Stopping),
            Some(detail) => Err(Refusal::Storage { detail: detail.clone() }),
            None => Ok(()),
        }
    }

    fn refusal(&self, core: &Core, refusal: consensus::Refusal) -> Refusal {
        match refusal {
            consensus::Refusal::NotLeader => Refusal::NotLeader { leader: core.leader() },
            consensus::Refusal::NotInitialised => Refusal::NotInitialised,
            consensus::Refusal::Busy(detail) | consensus::Refusal::Invalid(detail) => {
                Refusal::Invalid { detail }
            }
        }
    }

    pub fn propose(&self, command: Bytes) -> Result<Reply<machine::Reply>, Refusal> {
        let mut core = self.core.borrow_mut();
        self.check_available(&core)?;
        let (index, term) =
            core.instance.propose(command).map_err(|refusal| self.refusal(&core, refusal))?;
        Ok(self.wait_for(&mut core, index, term))
    }

    fn wait_for(&self, core: &mut Core, index: u64, term: u64) -> Reply<machine::Reply> {
        let (waiter, reply) = oneshot::channel();
        core.proposals.insert(index, (term, waiter));
        self.wake.notify_one();
        reply
    }

    pub fn barrier(&self) -> Result<Reply<()>, Refusal> {
        let mut core = self.core.borrow_mut();
        self.check_available(&core)?;
        core.last_barrier += 1;
        let token = core.last_barrier;
        core.instance.barrier(token).map_err(|refusal| self.refusal(&core, refusal))?;
        let (waiter, reply) = oneshot::channel();
        core.barriers.insert(token, waiter);
        self.wake.notify_one();
        Ok(reply)
    }

    pub fn leading(&self) -> Option<u64> {
        let core = self.core.borrow();
        let leads = core.instance.role() == Role::Leader && !self.stopping.get();
        leads.then(|| core.instance.term())
    }

    pub fn leader(&self) -> Option<SocketAddr> {
        self.core.borrow().leader()
    }

    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr.get()
    }

    pub fn advertise(&self, addr: SocketAddr) {
        self.client_addr.set(addr);
    }

    /// Returns once the replica has ended without a call of `stop`.
    pub async fn failed(&self) {
        self.failed.notified().await;
    }

    pub async fn stop(&self) {
        self.stopping.set(true);
        self.wake.notify_one();
        while !self.closed.get() {
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Refuses the waiting calls and lets the storage thread end.
    fn close(&self) {
        self.stopping.set(true);
        self.server.borrow_mut().take();
        let mut core = self.core.borrow_mut();
        core.proposals.clear();
        core.barriers.clear();
        core.confirmed_barriers.clear();
        core.storage = None;
    }
}
