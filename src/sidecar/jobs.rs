//! The sidecar of the queues: carries the orders of the leader and of entries to the backend server
//! beside it, and tells them what became of them.

mod poll;
mod service;

use std::{
    cell::{Cell, RefCell},
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    sync::{Notify, oneshot},
    time,
};

use crate::{
    coordination::sidecar::{self, Actions, Poll, PollReply, StartResult},
    error::Result,
    leader::Leader,
    protocol::{
        queue::Attempt,
        wire::{
            queue::{Server, ServerId, Start},
            work::{Entry, Outcome, Service},
        },
    },
    transport::rpc,
    util,
};

/// Longest time that a report waits for orders.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// Time for an answer beyond the wait asked for.
const REPORT_LIMIT: Duration = Duration::from_millis(500);
/// Reports under way; a newer one ends the wait of an older one.
const REPORTS_MAX: usize = 3;
/// Pause between two tries to stop a run.
const STOP_RETRY: Duration = Duration::from_millis(50);
/// How often leases are looked at.
const TICK: Duration = Duration::from_millis(50);
/// How often a stopping sidecar looks whether runs have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Answer of a backend server to a poll.
#[derive(Debug)]
pub enum PollResult {
    Replied(PollReply),
    /// Nothing listens at its address.
    Refused,
    Silent,
}

/// Calls to the backend server. Each is made at most once.
pub trait Backend: 'static {
    /// Orders the start of a run.
    fn start(
        &self,
        addr: SocketAddr,
        server: &ServerId,
        start: &Start,
        poll: &Poll,
    ) -> impl Future<Output = StartResult>;

    /// Orders the end of a run. `true` once the server has confirmed that it ends or never starts.
    fn stop(
        &self,
        addr: SocketAddr,
        server: &ServerId,
        attempt: Attempt,
        fence: u64,
    ) -> impl Future<Output = bool>;

    /// Renews the lease and reads what runs and has ended; waits for an end up to `wait`.
    fn poll(
        &self,
        addr: SocketAddr,
        server: &ServerId,
        poll: &Poll,
        wait: Duration,
    ) -> impl Future<Output = PollResult>;
}

type Waiter = oneshot::Sender<(Outcome, u64)>;

/// The running sidecar. Cheap to clone.
pub struct Sidecar<B> {
    inner: Rc<Inner<B>>,
}

struct Inner<B> {
    state: RefCell<sidecar::Sidecar>,
    leader: Leader,
    backend: B,
    /// Wakes the loop of reports.
    news: Notify,
    /// There is something that no report has told yet.
    has_news: Cell<bool>,
    /// There is something to tell the backend server.
    due: Notify,
    /// Whether the newest poll waits as long as it may while nothing runs.
    idle: Cell<bool>,
    reports: Cell<usize>,
    /// Whether the last report had an answer.
    led: Cell<bool>,
    /// Entries' calls that wait for the end of a run.
    waiters: RefCell<IndexMap<(Entry, Attempt), Waiter>>,
    server: RefCell<Option<rpc::Server>>,
}

impl<B> Clone for Sidecar<B> {
    fn clone(&self) -> Sidecar<B> {
        Sidecar { inner: self.inner.clone() }
    }
}

impl<B: Backend> Sidecar<B> {
    /// Starts the sidecar `name`, which serves entries at `addr`.
    pub async fn start(
        name: String,
        addr: SocketAddr,
        max_lease_ms: u64,
        leader: Leader,
        backend: B,
    ) -> Result<Sidecar<B>> {
        let inner = Inner {
            state: RefCell::new(sidecar::Sidecar::new(name, addr, rand::random(), max_lease_ms)),
            leader,
            backend,
            news: Notify::new(),
            has_news: Cell::new(false),
            due: Notify::new(),
            idle: Cell::new(false),
            reports: Cell::new(0),
            led: Cell::new(false),
            waiters: RefCell::default(),
            server: RefCell::default(),
        };
        let sidecar = Sidecar { inner: Rc::new(inner) };
        let served = rpc::serve(addr, service::Handler::new(sidecar.clone()).serve()).await?;
        sidecar.inner.server.replace(Some(served));
        actix_rt::spawn(sidecar.clone().run_reports());
        actix_rt::spawn(sidecar.clone().run_polls());
        actix_rt::spawn(sidecar.clone().run_ticks());
        Ok(sidecar)
    }

    /// Takes the backend server's announcement.
    pub fn announce(&self, server: Server, addr: SocketAddr, seq: u64) {
        self.inner.state.borrow_mut().announce(util::boot_ms(), server, addr, seq);
        self.inner.due.notify_one();
        self.carry_out();
    }

    /// The backend server has left.
    pub fn leave(&self, id: &str) {
        self.inner.state.borrow_mut().leave(id);
        self.carry_out();
    }

    /// Before a planned stop: takes no more work, and waits until what runs has ended, at most
    /// `limit`.
    pub async fn drain(&self, limit: Duration) {
        self.inner.state.borrow_mut().drain();
        self.carry_out();
        let end = time::Instant::now() + limit;
        while self.inner.state.borrow().busy() && time::Instant::now() < end {
            time::sleep(DRAIN_POLL).await;
        }
        time::sleep(DRAIN_POLL).await;
    }

    /// Carries out the actions that the state has decided on.
    fn carry_out(&self) {
        let Actions { starts, stops, replies, report_due } =
            self.inner.state.borrow_mut().take_actions();
        if !starts.is_empty() {
            self.poll_sooner();
        }
        for start in starts {
            actix_rt::spawn(self.clone().start_attempt(start));
        }
        for attempt in stops {
            actix_rt::spawn(self.clone().stop_attempt(attempt));
        }
        for (entry, attempt, outcome, took_ms) in replies {
            let waiter = self.inner.waiters.borrow_mut().swap_remove(&(entry, attempt));
            if let Some(waiter) = waiter {
                let _ = waiter.send((outcome, took_ms));
            }
        }
        if report_due {
            self.inner.has_news.set(true);
            self.inner.news.notify_one();
        }
    }

    async fn run_ticks(self) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.inner.state.borrow().busy() {
                self.inner.state.borrow_mut().tick(util::boot_ms());
                self.carry_out();
            }
        }
    }

    async fn run_reports(self) {
        loop {
            let reports = self.inner.reports.get();
            let news = reports < REPORTS_MAX && self.inner.has_news.replace(false);
            if news || reports == 0 {
                self.spawn_report();
            }
            self.inner.news.notified().await;
        }
    }

    fn spawn_report(&self) {
        self.inner.reports.set(self.inner.reports.get() + 1);
        actix_rt::spawn(self.clone().report());
    }

    async fn report(self) {
        let sent_ms = util::boot_ms();
        let report = self.inner.state.borrow().report(util::millis(REPORT_WAIT));
        let limit = REPORT_WAIT + REPORT_LIMIT;
        let answer = self.inner.leader.report(report.clone(), limit).await;
        match answer {
            Ok(Ok(commands)) => {
                if !self.inner.led.replace(true) {
                    log::info!("event=leader_found term={}", commands.term);
                }
                self.inner.leader.set_control_addrs(commands.control_addrs.clone());
                let fenced = self.inner.state.borrow().fenced();
                let now_ms = util::boot_ms();
                self.inner.state.borrow_mut().commanded(now_ms, sent_ms, &report, commands);
                if !fenced {
                    self.inner.due.notify_one();
                }
                self.carry_out();
            }
            Ok(Err(refusal)) => {
                self.not_led(format_args!("reason=refused refusal={refusal:?}"));
                self.inner.leader.pause().await;
            }
            Err(e) => {
                self.not_led(format_args!("reason=failed {e}"));
                self.inner.leader.pause().await;
            }
        }
        self.inner.reports.set(self.inner.reports.get() - 1);
        self.inner.news.notify_one();
    }

    /// Logs the first report that failed; the others follow every few ms until a leader is found.
    fn not_led(&self, reason: fmt::Arguments) {
        match self.inner.led.replace(false) {
            true => log::warn!("event=leader_lost {reason}"),
            false => log::debug!("event=no_leader {reason}"),
        }
    }

    fn server(&self) -> Option<(ServerId, SocketAddr)> {
        let state = self.inner.state.borrow();
        state.server().map(|(server, addr)| (server.id.clone(), addr))
    }

    async fn start_attempt(self, start: Start) {
        let poll = self.inner.state.borrow_mut().poll(util::boot_ms());
        let (Some(poll), Some((server, addr))) = (poll, self.server()) else { return };
        let result = self.inner.backend.start(addr, &server, &start, &poll).await;
        if result != StartResult::Started {
            log::info!("event=start run={} server={server} outcome={result:?}", start.attempt);
        }
        if self.server().is_some_and(|(id, _)| id == server) {
            self.inner.state.borrow_mut().start_answered(util::boot_ms(), start.attempt, result);
            self.carry_out();
        }
    }

    async fn stop_attempt(self, attempt: Attempt) {
        loop {
            let poll = self.inner.state.borrow_mut().poll(util::boot_ms());
            let (Some(poll), Some((server, addr))) = (poll, self.server()) else { return };
            if self.inner.backend.stop(addr, &server, attempt, poll.fence).await {
                if self.server().is_some_and(|(id, _)| id == server) {
                    self.inner.state.borrow_mut().stopped(util::boot_ms(), attempt);
                    self.carry_out();
                    self.poll_once();
                }
                return;
            }
            time::sleep(STOP_RETRY).await;
            if !self.inner.state.borrow().stop_due(attempt) {
                return;
            }
        }
    }
}
