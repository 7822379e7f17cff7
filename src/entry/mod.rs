//! The entry process: it accepts submissions from callers and is responsible for their outcome.
//!
//! Terms of this module:
//!
//! * A submission is what a caller sends: one or more tasks, usually with a key. A caller that
//!   submits it again with the same key gets the outcome of the earlier execution if there was one.
//!   A submission without a key has one task, which must be idempotent.
//! * A job is control's record of an admitted submission with a key. In the HTTP interface, "job"
//!   is also the name of a submission to `/v1/jobs`.
//! * An execution is one run of all tasks of a submission by one session of an entry.
//! * An attempt is one try to run one task of an execution at one backend server.
//! * Control is the group of control instances. It records jobs and their outcomes, grants sessions
//!   to entries, and distributes rules, quota shares and the list of backend servers.
//! * A sidecar is the process beside a backend server that starts the attempts there.
//!
//! The submodule `jobs` serves the job queues, whose jobs are not the ones described here.

pub mod api;
pub mod backend;
pub mod control;
pub mod engine;
pub mod jobs;
pub mod keyed;
pub mod meter;
pub mod peer;
mod policy;
pub mod retained;
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
    budget::Budget,
    daemon,
    entry::{
        engine::{Engine, Workload},
        keyed::{ActiveSubmission, Status},
        meter::Meter,
        retained::RetainedAnswers,
        session::Session,
        settings::{Limits, Settings},
    },
    error::Result,
    protocol::{id, job, wire::entry as wire_entry},
    supervisor,
    transport::{http, limit, rpc},
};

/// How often a stopping entry checks whether its submissions have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running entry.
pub struct Entry {
    core: Rc<Core>,
    http: http::Server,
    rpc: rpc::Server,
}

/// State that the components of an entry share.
pub struct Core {
    pub limits: Limits,
    pub data_centre: String,
    /// Address at which other entries reach this one.
    pub addr: Cell<SocketAddr>,
    pub control: control::Client,
    pub session: Rc<Session>,
    pub engine: Rc<Engine>,
    pub meter: Rc<Meter>,
    pub budget: Arc<Budget>,
    pub retained: RefCell<RetainedAnswers>,
    /// The keyed submissions that this entry is handling.
    pub submissions: RefCell<HashMap<id::Key, Rc<ActiveSubmission>>>,
    /// Keys of the jobs that this entry is executing.
    pub keys_by_job: RefCell<HashMap<id::Job, id::Key>>,
    /// Whether the health check reports that the process is stopping.
    pub unhealthy: Cell<bool>,
    /// Whether new submissions are refused because the process is stopping.
    pub refusing: Cell<bool>,
    /// Number of requests that are being answered.
    pub open_requests: Cell<usize>,
    peers: RefCell<HashMap<SocketAddr, Rc<rpc::Link<wire_entry::ServiceClient>>>>,
}

impl Core {
    fn new(settings: &Settings) -> Rc<Core> {
        let limits = settings.limits.clone();
        let session = Rc::new(Session::new());
        let meter = Rc::new(Meter::new());
        let budget = Budget::new(limits.memory_max_bytes);
        let engine = Engine::new(settings, session.clone(), meter.clone(), budget.clone());
        let retained =
            RetainedAnswers::new(limits.held_max_bytes, Duration::from_millis(limits.held_max_ms));
        Rc::new(Core {
            limits,
            data_centre: settings.data_centre.clone(),
            addr: Cell::new(settings.advertise.unwrap_or(settings.rpc)),
            control: control::Client::new(&settings.control),
            session,
            engine,
            meter,
            budget,
            retained: RefCell::new(retained),
            submissions: RefCell::default(),
            keys_by_job: RefCell::default(),
            unhealthy: Cell::new(false),
            refusing: Cell::new(false),
            open_requests: Cell::new(0),
            peers: RefCell::default(),
        })
    }

    /// The submission with this key if this entry is handling it.
    pub fn active(&self, key: &id::Key) -> Option<Rc<ActiveSubmission>> {
        self.submissions.borrow().get(key).cloned()
    }

    /// Whether control confirmed the rules no longer than `rules_confirm_limit_ms` ago.
    pub fn rules_confirmed(&self) -> bool {
        let age = self.session.rules_confirmed_age();
        age.is_some_and(|age| age <= self.limits.rules_confirm_limit())
    }

    /// Checks whether a new submission can be accepted now. If the entry itself can accept
    /// submissions, [`Engine::check`] also counts the tasks as demand and prepares the workload.
    pub fn check(&self, workload: &mut Workload) -> Result<(), Status> {
        if self.refusing.get() {
            return Err(Status::refused(job::Refusal::Stopping));
        }
        if self.session.epoch().is_none() {
            return Err(Status::refused(job::Refusal::ControlUnavailable));
        }
        if !self.rules_confirmed() {
            return Err(Status::refused(job::Refusal::RulesUnconfirmed));
        }
        self.engine.check(workload)
    }

    /// Ends a session that control has fenced, with all its executions.
    pub fn end_session(&self, epoch: id::Epoch) {
        if self.session.epoch() != Some(epoch) {
            return;
        }
        log::warn!("event=fenced epoch={} runs={}", epoch.0, self.engine.running());
        self.session.close();
        self.engine.end_outdated();
        self.session.report_now.notify_one();
    }

    /// Executes a workload until it ends or its deadline passes.
    pub async fn execute(&self, execution: id::Execution, workload: Workload) -> Status {
        let deadline = workload.deadline;
        if self.session.epoch() != Some(execution.epoch) {
            let detail = "the entry's session has ended";
            return Status::not_run(job::Refusal::ControlUnavailable, detail);
        }
        let mut receiver = match self.engine.submit(execution, workload) {
            Ok(receiver) => receiver,
            Err(reason) => return Status::not_run(reason, reason.detail()),
        };
        let received = match time::timeout_at(deadline, &mut receiver).await {
            Ok(received) => received,
            Err(_) => {
                self.engine.expire(execution);
                receiver.await
            }
        };
        match received {
            Ok(result) => Status::from_result(result),
            Err(_) => Status::failed(job::Failure::OutcomeUnknown, "the run was dropped"),
        }
    }

    /// Calls another entry to wait for the end of one of its jobs.
    pub async fn wait_at(
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

    /// Calls the entry that runs a job to cancel it, and waits for the end of the job.
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
        // Entries are replaced over time. An unbounded map would keep a link to every entry that
        // ever existed.
        if peers.len() >= PEERS_MAX && !peers.contains_key(&addr) {
            peers.clear();
        }
        peers.entry(addr).or_insert_with(|| rpc::Link::new(addr)).clone()
    }
}

/// Highest number of links to other entries that are kept at once.
const PEERS_MAX: usize = 1_024;

impl daemon::Process for Entry {
    type Settings = Settings;

    const NAME: &'static str = "briargauge-entry";

    async fn start(settings: Settings) -> Result<Entry> {
        limit::configure(settings.limits.instance());
        let core = Core::new(&settings);
        let rpc = peer::serve(settings.rpc, &core).await?;
        if settings.advertise.is_none() {
            core.addr.set(rpc.addr());
        }
        let handler = core.clone();
        let http =
            http::serve_large(settings.http, move |request| api::handle(handler.clone(), request))
                .await?;
        supervisor::spawn("drive", &core.engine, Engine::drive);
        supervisor::spawn("sync", &core, sync::run);
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
        let until = Instant::now() + Duration::from_millis(core.limits.drain_limit_ms);
        self.http.drain(until.saturating_duration_since(Instant::now())).await;
        // Jobs go on after their callers have hung up, and other entries may wait for them.
        while core.unfinished() > 0 && Instant::now() < until {
            time::sleep(DRAIN_POLL).await;
        }
        self.http.wait_closed(until.saturating_duration_since(Instant::now())).await;
        self.http.stop();
        let cut = self.http.in_flight() + core.unfinished();
        for (key, active) in core.submissions.borrow().iter() {
            let (execution, account) = (active.execution(), &key.account);
            log::warn!("event=cut_off run={execution} team={account} key={:?}", key.key);
        }
        cut
    }
}

impl Core {
    /// Number of keyed submissions that have not ended.
    fn unfinished(&self) -> usize {
        self.submissions.borrow().len()
    }
}
