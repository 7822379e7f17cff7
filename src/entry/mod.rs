//! The entry process: takes submissions from callers and is responsible for their outcome.

pub mod api;
pub mod backend;
pub mod budget;
pub mod control;
pub mod engine;
pub mod held;
pub mod jobs;
pub mod keyed;
pub mod meter;
pub mod peer;
mod policy;
pub mod session;
pub mod settings;
pub mod submission;
mod sync;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::time::{self, Instant};

use crate::{
    daemon,
    entry::{
        budget::Budget,
        engine::{Engine, Work},
        held::Held,
        keyed::{Active, Done},
        meter::Meter,
        session::Session,
        settings::{Limits, Settings},
    },
    error::Result,
    protocol::{id, job, wire::entry as wire_entry},
    transport::{http, rpc},
};

/// How often a stopping entry looks whether its submissions have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running entry.
pub struct Entry {
    core: Rc<Core>,
    http: http::Server,
    rpc: rpc::Server,
}

/// State shared by the parts of an entry.
pub struct Core {
    pub limits: Limits,
    pub data_centre: String,
    /// Where other entries reach this one.
    pub addr: Cell<SocketAddr>,
    pub control: control::Client,
    pub session: Rc<Session>,
    pub engine: Rc<Engine>,
    pub meter: Rc<Meter>,
    pub budget: Arc<Budget>,
    pub held: RefCell<Held>,
    /// Submissions with a key that this entry is handling.
    pub keys: RefCell<HashMap<id::Key, Rc<Active>>>,
    /// Jobs that this entry runs.
    pub jobs: RefCell<HashMap<id::Job, id::Key>>,
    /// The process is stopping: the health check says so.
    pub unhealthy: Cell<bool>,
    /// No new work is taken.
    pub refusing: Cell<bool>,
    /// Requests being answered.
    pub requests: Cell<usize>,
    peers: RefCell<HashMap<SocketAddr, Rc<rpc::Link<wire_entry::ServiceClient>>>>,
}

impl Core {
    fn new(settings: &Settings) -> Rc<Core> {
        let limits = settings.limits.clone();
        let session = Rc::new(Session::new());
        let meter = Rc::new(Meter::new());
        let budget = Budget::new(limits.memory_max_bytes);
        let engine = Engine::new(settings, session.clone(), meter.clone(), budget.clone());
        let held = Held::new(limits.held_max_bytes, Duration::from_millis(limits.held_max_ms));
        Rc::new(Core {
            limits,
            data_centre: settings.data_centre.clone(),
            addr: Cell::new(settings.advertise.unwrap_or(settings.rpc)),
            control: control::Client::new(&settings.control),
            session,
            engine,
            meter,
            budget,
            held: RefCell::new(held),
            keys: RefCell::default(),
            jobs: RefCell::default(),
            unhealthy: Cell::new(false),
            refusing: Cell::new(false),
            requests: Cell::new(0),
            peers: RefCell::default(),
        })
    }

    /// The submission with this key, if this entry is handling it.
    pub fn active(&self, key: &id::Key) -> Option<Rc<Active>> {
        self.keys.borrow().get(key).cloned()
    }

    /// Whether the rules held are known to have been in force a short time ago.
    pub fn is_confirmed(&self) -> bool {
        let age = self.session.confirmed_age();
        age.is_some_and(|age| age <= self.limits.rules_confirm_limit())
    }

    /// Whether new work can be taken now.
    pub fn check(&self, work: &mut Work) -> Result<(), Done> {
        if self.refusing.get() {
            return Err(Done::refused(job::Refusal::Stopping));
        }
        if self.session.epoch().is_none() {
            return Err(Done::refused(job::Refusal::ControlUnavailable));
        }
        if !self.is_confirmed() {
            return Err(Done::refused(job::Refusal::RulesUnconfirmed));
        }
        self.engine.check(work)
    }

    /// Ends a session that control has fenced.
    pub fn end_session(&self, epoch: id::Epoch) {
        if self.session.epoch() != Some(epoch) {
            return;
        }
        log::warn!("event=fenced epoch={} runs={}", epoch.0, self.engine.running());
        self.session.close();
        self.engine.abandon();
        self.session.hurry.notify_one();
    }

    /// Runs work to its end, at the latest until its deadline.
    pub async fn execute(&self, execution: id::Execution, work: Work) -> Done {
        let deadline = work.deadline;
        if self.session.epoch() != Some(execution.epoch) {
            let detail = "the entry's session has ended";
            return Done::not_run(job::Refusal::ControlUnavailable, detail);
        }
        let mut ending = match self.engine.submit(execution, work) {
            Ok(ending) => ending,
            Err(reason) => return Done::not_run(reason, reason.detail()),
        };
        let ended = match time::timeout_at(deadline, &mut ending).await {
            Ok(ended) => ended,
            Err(_) => {
                self.engine.expire(execution);
                ending.await
            }
        };
        match ended {
            Ok(ending) => Done::of(ending),
            Err(_) => Done::failed(job::Failure::OutcomeUnknown, "the run was dropped"),
        }
    }

    /// Waits at another entry for the end of one of its jobs.
    pub async fn ask(
        &self,
        owner: SocketAddr,
        job: id::Job,
        until: Instant,
    ) -> Result<wire_entry::Waited> {
        let context = rpc::context(until.saturating_duration_since(Instant::now()));
        let call =
            |client: wire_entry::ServiceClient| async move { client.wait(context, job).await };
        self.peer(owner).call("wait", call).await
    }

    /// Cancels a job at the entry that runs it.
    pub async fn cancel_at(
        &self,
        owner: SocketAddr,
        job: id::Job,
        until: Instant,
    ) -> Result<wire_entry::Waited> {
        let context = rpc::context(until.saturating_duration_since(Instant::now()));
        let call =
            |client: wire_entry::ServiceClient| async move { client.cancel(context, job).await };
        self.peer(owner).call("cancel", call).await
    }

    fn peer(&self, addr: SocketAddr) -> Rc<rpc::Link<wire_entry::ServiceClient>> {
        let mut peers = self.peers.borrow_mut();
        // Entries come and go: an unbounded map would keep a link to each that ever lived.
        if peers.len() >= PEERS_MAX && !peers.contains_key(&addr) {
            peers.clear();
        }
        peers.entry(addr).or_insert_with(|| rpc::Link::new(addr)).clone()
    }
}

/// Links to other entries kept at once.
const PEERS_MAX: usize = 1_024;

impl daemon::Process for Entry {
    type Settings = Settings;

    const NAME: &'static str = "briargauge-entry";

    async fn start(settings: Settings) -> Result<Entry> {
        let core = Core::new(&settings);
        let rpc = peer::serve(settings.rpc, &core).await?;
        if settings.advertise.is_none() {
            core.addr.set(rpc.addr());
        }
        let handler = core.clone();
        let http = http::serve(settings.http, move |request| api::handle(handler.clone(), request))
            .await?;
        actix_rt::spawn(core.engine.clone().drive());
        actix_rt::spawn(sync::keep(core.clone()));
        Ok(Entry { core, http, rpc })
    }

    fn listening(&self) -> daemon::Listening {
        daemon::Listening { http: Some(self.http.addr()), rpc: Some(self.rpc.addr()), peer: None }
    }

    async fn stop(self) -> usize {
        let core = &self.core;
        core.unhealthy.set(true);
        time::sleep(Duration::from_millis(core.limits.drain_notice_ms)).await;
        core.refusing.set(true);
        let end = Instant::now() + Duration::from_millis(core.limits.drain_limit_ms);
        self.http.drain(end.saturating_duration_since(Instant::now())).await;
        // Jobs whose callers have hung up, and waits of other entries.
        while core.left() > 0 && Instant::now() < end {
            time::sleep(DRAIN_POLL).await;
        }
        self.http.wait_closed(end.saturating_duration_since(Instant::now())).await;
        self.http.stop();
        let cut = self.http.in_flight() + core.left();
        for (key, active) in core.keys.borrow().iter() {
            let (execution, account) = (active.execution(), &key.account);
            log::warn!("event=cut_off run={execution} team={account} key={:?}", key.key);
        }
        cut
    }
}

impl Core {
    /// Submissions that have not ended.
    fn left(&self) -> usize {
        self.keys.borrow().len()
    }
}
