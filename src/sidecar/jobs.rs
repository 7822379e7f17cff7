//! The sidecar of the job queues. It carries out the commands of the leader and of entries at the
//! backend server beside it, and reports the outcomes to them.

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
    coordination::sidecar::{self, Actions, Check, Identity, Poll, PollReply, StartResult},
    error::Result,
    leader::LeaderClient,
    protocol::{
        queue::Attempt,
        wire::{
            queue::{Reason, Server, ServerId, Start},
            work::{Entry, Outcome, Service},
        },
    },
    supervisor,
    transport::rpc,
    util,
};

/// Longest time that a report waits at the leader for commands.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// Time limit of a report's answer beyond [`REPORT_WAIT`].
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of reports in flight. The leader answers a waiting report when a newer one
/// arrives.
const REPORTS_IN_FLIGHT_MAX: usize = 3;
/// Pause before another try to stop an attempt.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Resolution of the times that the decisions are based on.
const CLOCK_STEP: Duration = Duration::from_millis(1);
/// Interval at which leases are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two calls to an announced server that has not answered.
const CHECK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a draining sidecar checks whether its attempts have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a poll of the backend server.
#[derive(Debug)]
pub enum PollResult {
    Replied(PollReply),
    /// Another server or another incarnation replied.
    Other,
    /// Nothing listens at the server's address.
    Refused,
    /// No valid reply arrived.
    NoReply,
}

/// Calls to the backend server. An implementation sends each request at most once; repeating it is
/// up to the caller.
pub trait Backend: 'static {
    /// Requests the start of an attempt. `lease` carries the end of the lease and the fencing
    /// token; its acknowledgement is not used.
    fn start(
        &self,
        addr: SocketAddr,
        server: &ServerId,
        start: &Start,
        lease: &Poll,
    ) -> impl Future<Output = StartResult>;

    /// Requests that an attempt is stopped. Returns true if the server has confirmed that the
    /// attempt ends or never starts.
    fn stop(
        &self,
        addr: SocketAddr,
        server: &ServerId,
        attempt: Attempt,
        fence: u64,
    ) -> impl Future<Output = bool>;

    /// Renews the lease and fetches the attempts that run and the completions. The server may wait
    /// up to `wait` for a completion before it replies.
    fn poll(
        &self,
        addr: SocketAddr,
        server: &ServerId,
        poll: &Poll,
        wait: Duration,
    ) -> impl Future<Output = PollResult>;

    /// Polls without a wait, over a connection of its own: one that is open may lead to a process that
    /// has ended.
    fn check(
        &self,
        addr: SocketAddr,
        server: &ServerId,
        poll: &Poll,
    ) -> impl Future<Output = PollResult>;
}

/// Properties of a sidecar.
#[derive(Debug, Clone)]
pub struct Options {
    pub name: String,
    /// Where entries reach it.
    pub addr: SocketAddr,
    pub listen: SocketAddr,
    /// Longest lease of the backend server.
    pub max_lease_ms: u64,
    /// As in [`sidecar::Sidecar::with_stall_detection`].
    pub stall_ms: Option<u64>,
}

type Waiter = oneshot::Sender<(Outcome, u64)>;

/// The running sidecar. Clones are cheap and refer to the same sidecar.
pub struct Sidecar<B> {
    inner: Rc<Inner<B>>,
}

struct Inner<B> {
    state: RefCell<sidecar::Sidecar>,
    leader: LeaderClient,
    backend: B,
    /// Wakes the task that sends reports.
    report_wake: Notify,
    /// Whether something has changed since the last report was sent.
    report_due: Cell<bool>,
    /// Wakes the task that polls the backend server.
    poll_wake: Notify,
    /// Wakes the calls to announced servers once a fencing token is assigned.
    check_wake: Notify,
    /// Whether the newest poll has the long wait that is used while nothing runs.
    idle_poll: Cell<bool>,
    reports_in_flight: Cell<usize>,
    /// Whether the last report was answered by a leader.
    has_leader: Cell<bool>,
    /// Start commands of entries that wait for the end of their attempts.
    waiters: RefCell<IndexMap<(Entry, Attempt), Waiter>>,
    /// The RPC server for entries. Dropping it stops the service.
    server: RefCell<Option<rpc::Server>>,
}

impl<B> Clone for Sidecar<B> {
    fn clone(&self) -> Sidecar<B> {
        Sidecar { inner: self.inner.clone() }
    }
}

impl<B: Backend> Sidecar<B> {
    pub async fn start(options: Options, leader: LeaderClient, backend: B) -> Result<Sidecar<B>> {
        let Options { name, addr, listen, max_lease_ms, stall_ms } = options;
        let state = sidecar::Sidecar::new(name, addr, rand::random(), max_lease_ms)
            .with_stall_detection(stall_ms);
        let inner = Inner {
            state: RefCell::new(state),
            leader,
            backend,
            report_wake: Notify::new(),
            report_due: Cell::new(false),
            poll_wake: Notify::new(),
            check_wake: Notify::new(),
            idle_poll: Cell::new(false),
            reports_in_flight: Cell::new(0),
            has_leader: Cell::new(false),
            waiters: RefCell::default(),
            server: RefCell::default(),
        };
        let sidecar = Sidecar { inner: Rc::new(inner) };
        let served = rpc::serve(listen, service::Handler::new(sidecar.clone()).serve()).await?;
        sidecar.inner.server.replace(Some(served));
        supervisor::spawn("reports", &sidecar, Sidecar::run_reports);
        supervisor::spawn("polls", &sidecar, Sidecar::run_polls);
        supervisor::spawn("sidecar_tick", &sidecar, Sidecar::run_ticks);
        Ok(sidecar)
    }

    /// Handles an announcement of a backend server, whoever sent it. The server will be cold for
    /// `cold_left_ms`.
    pub fn announce(&self, server: Server, addr: SocketAddr, seq: u64, cold_left_ms: u64) {
        let (now_ms, id) = (util::boot_ms(), server.id.clone());
        let mut state = self.inner.state.borrow_mut();
        state.announce(now_ms, server, addr, seq);
        state.record_cold_time(now_ms, &id, cold_left_ms);
        drop(state);
        self.carry_out();
    }

    /// Handles a notice that the backend server leaves, whoever sent it.
    pub fn leave(&self, id: &str) {
        self.inner.state.borrow_mut().leave(id);
        self.carry_out();
    }

    /// Prepares a planned stop: accepts no more commands, and waits until all attempts have ended,
    /// at most for `limit`.
    pub async fn drain(&self, limit: Duration) {
        self.inner.state.borrow_mut().drain();
        self.carry_out();
        let end = time::Instant::now() + limit;
        while self.inner.state.borrow().busy() && time::Instant::now() < end {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }

    /// Carries out the actions that the state has decided on.
    fn carry_out(&self) {
        let Actions { starts, stops, replies, checks, report_due } =
            self.inner.state.borrow_mut().take_actions();
        if !starts.is_empty() {
            self.supersede_idle_poll();
        }
        for start in starts {
            actix_rt::spawn(self.clone().start_attempt(start));
        }
        for attempt in stops {
            actix_rt::spawn(self.clone().stop_attempt(attempt));
        }
        for identity in checks {
            let sidecar = self.clone();
            actix_rt::spawn(async move {
                supervisor::catch("check", sidecar.check_candidate(&identity)).await;
                sidecar.inner.state.borrow_mut().forget_candidate(&identity);
            });
        }
        for (entry, attempt, outcome, took_ms) in replies {
            let waiter = self.inner.waiters.borrow_mut().swap_remove(&(entry, attempt));
            if let Some(waiter) = waiter {
                let _ = waiter.send((outcome, took_ms));
            }
        }
        if report_due {
            self.inner.report_due.set(true);
            self.inner.report_wake.notify_one();
        }
    }

    async fn run_ticks(self) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.inner.state.borrow().busy() {
                self.inner.state.borrow_mut().tick(util::boot_ms());
                self.carry_out();
            }
        }
    }

    /// Sends a report whenever something has changed, and keeps at least one waiting at the leader.
    async fn run_reports(self) {
        loop {
            let in_flight = self.inner.reports_in_flight.get();
            let due = in_flight < REPORTS_IN_FLIGHT_MAX && self.inner.report_due.replace(false);
            if due || in_flight == 0 {
                self.spawn_report();
            }
            self.inner.report_wake.notified().await;
        }
    }

    fn spawn_report(&self) {
        self.inner.reports_in_flight.set(self.inner.reports_in_flight.get() + 1);
        let sidecar = self.clone();
        actix_rt::spawn(async move {
            supervisor::catch("report", sidecar.report()).await;
            sidecar.inner.reports_in_flight.set(sidecar.inner.reports_in_flight.get() - 1);
            sidecar.inner.report_wake.notify_one();
        });
    }

    /// Sends a report and carries out the commands in the answer.
    async fn report(&self) {
        let sent_ms = util::boot_ms();
        let report = self.inner.state.borrow_mut().report(util::millis(REPORT_WAIT));
        let limit = REPORT_WAIT + REPORT_TIMEOUT;
        let answer = self.inner.leader.report(report.clone(), limit).await;
        match answer {
            Ok(Ok(commands)) => {
                if !self.inner.has_leader.replace(true) {
                    log::info!("event=leader_found term={}", commands.term);
                }
                if let Some(members) = &commands.members {
                    self.inner.leader.learn(members);
                }
                let fenced = self.inner.state.borrow().has_fencing_token();
                let now_ms = util::boot_ms();
                self.inner.state.borrow_mut().handle_commands(now_ms, sent_ms, &report, commands);
                if !fenced {
                    self.inner.poll_wake.notify_one();
                    self.inner.check_wake.notify_waiters();
                }
                self.carry_out();
            }
            Ok(Err(refusal)) => {
                self.log_no_leader(format_args!("reason=refused refusal={refusal:?}"));
                self.inner.leader.pause().await;
            }
            Err(e) => {
                self.log_no_leader(format_args!("reason=failed {e}"));
                self.inner.leader.pause().await;
            }
        }
    }

    /// Logs the first failed report as a warning and later ones at debug level, because they follow
    /// every few ms until a leader is found.
    fn log_no_leader(&self, reason: fmt::Arguments) {
        match self.inner.has_leader.replace(false) {
            true => log::warn!("event=leader_lost {reason}"),
            false => log::debug!("event=no_leader {reason}"),
        }
    }

    /// The backend server and its address, if it is present.
    fn server(&self) -> Option<(ServerId, SocketAddr)> {
        let state = self.inner.state.borrow();
        state.server().map(|(server, addr)| (server.id.clone(), addr))
    }

    /// Calls an announced server until it or another one has answered at its address.
    async fn check_candidate(&self, identity: &Identity) {
        while self.inner.state.borrow_mut().is_candidate(util::boot_ms(), identity) {
            let poll = self.inner.state.borrow().check_call();
            if let Some(poll) = poll {
                let (sent_ms, Identity { server, addr }) = (util::boot_ms(), identity);
                let check = match self.inner.backend.check(*addr, server, &poll).await {
                    PollResult::Replied(_) => Check::Present,
                    PollResult::Other => Check::Other,
                    PollResult::Refused | PollResult::NoReply => Check::NoAnswer,
                };
                self.inner.state.borrow_mut().checked(sent_ms, util::boot_ms(), identity, check);
                if check == Check::Present {
                    self.inner.poll_wake.notify_one();
                }
                self.carry_out();
            }
            // Goes on after a wake-up as well as after the pause.
            let _ = time::timeout(CHECK_RETRY_DELAY, self.inner.check_wake.notified()).await;
        }
    }

    /// Requests the start of an attempt once, and records the result.
    async fn start_attempt(self, start: Start) {
        let lease = self.inner.state.borrow_mut().poll(util::boot_ms());
        let (Some(lease), Some((server, addr))) = (lease, self.server()) else { return };
        let result = match lease.lease_until_ms {
            Some(_) => self.inner.backend.start(addr, &server, &start, &lease).await,
            // The server would let the attempt run under the lease that it has, or refuse it.
            None => StartResult::NotStarted(Reason::Unavailable),
        };
        if result != StartResult::Started {
            log::info!("event=start run={} server={server} outcome={result:?}", start.attempt);
        }
        if self.server().is_some_and(|(id, _)| id == server) {
            self.inner.state.borrow_mut().start_answered(util::boot_ms(), start.attempt, result);
            self.carry_out();
        }
    }

    /// Repeats the request to stop an attempt until the server has confirmed it or the stop is no
    /// longer due.
    async fn stop_attempt(self, attempt: Attempt) {
        loop {
            let lease = self.inner.state.borrow_mut().poll(util::boot_ms());
            let (Some(lease), Some((server, addr))) = (lease, self.server()) else { return };
            if self.inner.backend.stop(addr, &server, attempt, lease.fence).await {
                if self.server().is_some_and(|(id, _)| id == server) {
                    self.inner.state.borrow_mut().stop_confirmed(util::boot_ms(), attempt);
                    self.carry_out();
                    // The list has to be requested in a later millisecond than the confirmation.
                    time::sleep(CLOCK_STEP).await;
                    self.poll_once();
                }
                return;
            }
            time::sleep(STOP_RETRY_DELAY).await;
            if !self.inner.state.borrow().stop_due(attempt) {
                return;
            }
        }
    }
}
