//! A simulated control instance that keeps its records in memory and injects faults.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    future,
    net::SocketAddr,
    rc::Rc,
};

use briargauge::{
    protocol::{
        id,
        wire::{
            Outcome,
            control::{
                Accepted, Admission, Admit, Change, Changed, EntrySync, EntryView, Finish,
                Finished, Hello, MemberChange, Refusal, Revision, Rules, Server, Servers, Service,
                Session, Share, SidecarSync, SidecarView, Status,
            },
        },
    },
    transport::rpc,
};
use tarpc::context::Context;

/// A submission that was admitted under a key.
#[derive(Debug, Clone)]
pub struct Record {
    pub job: id::Job,
    pub execution: id::Execution,
    /// Address of the entry that runs it.
    owner: SocketAddr,
    digest: [u8; 32],
    pub outcome: Option<Outcome>,
}

/// Calls that are counted and can be left unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    Sync,
    Admit,
    Finish,
    Lookup,
}

#[derive(Default)]
pub struct Control {
    server: RefCell<Option<rpc::Server>>,
    /// Last number given to a session or a job.
    index: Cell<u64>,
    /// Sessions with the addresses of their entries.
    sessions: RefCell<HashMap<id::Epoch, SocketAddr>>,
    pub fenced: RefCell<HashSet<id::Epoch>>,
    /// Submissions by key.
    pub jobs: RefCell<HashMap<String, Record>>,
    servers: RefCell<Vec<Server>>,
    /// Number of entry reports answered.
    syncs: Cell<usize>,
    /// Number of calls received, by kind.
    pub calls: RefCell<HashMap<Call, usize>>,
    /// Calls that are received but never answered; `Admit` and `Finish` are carried out before.
    pub mute: RefCell<HashSet<Call>>,
    /// Age of the confirmation in each reply to an entry report.
    pub age_ms: Cell<u64>,
    /// Set if another instance leads.
    pub leader: Cell<Option<SocketAddr>>,
    pub lease_ms: Cell<u64>,
    /// Every entry's share of the quota of the account `desk`, in starts per second.
    pub share: Cell<Option<f64>>,
    /// Submissions created before this time are refused as expired.
    pub oldest_ms: Cell<u64>,
}

impl Control {
    pub async fn start() -> Rc<Control> {
        let control = Rc::new(Control { lease_ms: Cell::new(3_000), ..Control::default() });
        let server = rpc::serve(super::any(), Handler(control.clone()).serve()).await.unwrap();
        control.server.replace(Some(server));
        control
    }

    pub fn addr(&self) -> SocketAddr {
        self.server.borrow().as_ref().unwrap().addr()
    }

    pub fn add(&self, server: Server) {
        self.servers.borrow_mut().push(server);
    }

    /// Waits until the entry has applied the replies to `count` further reports. It sends a report
    /// only after it has applied the reply to the one before, so one more report must arrive.
    pub async fn synced(&self, count: usize) {
        let after = self.syncs.get() + count + 1;
        super::until("reports", || self.syncs.get() >= after).await;
    }

    /// Fences all sessions; if `abandon`, open jobs are recorded as failed.
    pub fn fence(&self, abandon: bool) {
        self.fenced.borrow_mut().extend(self.sessions.borrow().keys().copied());
        for record in self.jobs.borrow_mut().values_mut().filter(|_| abandon) {
            record.outcome.get_or_insert(Outcome::Failed {
                reason: briargauge::protocol::job::Failure::EntryLost,
                detail: "fenced".into(),
            });
        }
    }

    pub fn outcome(&self, key: &str) -> Option<Outcome> {
        self.jobs.borrow().get(key)?.outcome.clone()
    }

    pub fn mute(&self, call: Call, on: bool) {
        let mut mute = self.mute.borrow_mut();
        if on {
            mute.insert(call)
        } else {
            mute.remove(&call)
        };
    }

    /// Number of calls of a kind received so far.
    pub fn counted(&self, call: Call) -> usize {
        self.calls.borrow().get(&call).copied().unwrap_or(0)
    }

    fn next_index(&self) -> u64 {
        self.index.set(self.index.get() + 1);
        self.index.get()
    }

    fn check_leading(&self) -> Result<(), Refusal> {
        match self.leader.get() {
            Some(leader) => Err(Refusal::NotLeader { leader: Some(leader) }),
            None => Ok(()),
        }
    }

    fn check_session(&self, epoch: id::Epoch) -> Result<(), Refusal> {
        self.check_leading()?;
        let known = self.sessions.borrow().contains_key(&epoch);
        let live = known && !self.fenced.borrow().contains(&epoch);
        if live { Ok(()) } else { Err(Refusal::Fenced) }
    }

    /// Counts a call. Never returns if calls of this kind are to stay unanswered.
    async fn record_call(&self, call: Call) {
        *self.calls.borrow_mut().entry(call).or_default() += 1;
        if self.mute.borrow().contains(&call) {
            future::pending::<()>().await;
        }
    }

    fn admission(record: &Record) -> Admission {
        match &record.outcome {
            Some(outcome) => Admission::Finished {
                job: record.job,
                owner: record.owner,
                outcome: outcome.clone(),
            },
            None => Admission::Running { job: record.job, owner: record.owner },
        }
    }

    /// Admits a submission, or returns what is recorded under its key. A key whose submission was
    /// not run can be used again.
    fn record(&self, admit: Admit) -> Admission {
        if admit.created_at_ms < self.oldest_ms.get() {
            return Admission::Expired;
        }
        let mut jobs = self.jobs.borrow_mut();
        if let Some(record) = jobs.get(&admit.key.key) {
            let not_run = matches!(record.outcome, Some(Outcome::NotRun { .. }));
            if !not_run && record.digest != admit.digest {
                return Admission::Conflict;
            }
            if record.execution == admit.execution && record.outcome.is_none() {
                return Admission::Admitted { job: record.job };
            }
            if !not_run {
                return Control::admission(record);
            }
        }
        let job = id::Job(self.next_index());
        let owner = self.sessions.borrow()[&admit.execution.epoch];
        let record =
            Record { job, execution: admit.execution, owner, digest: admit.digest, outcome: None };
        jobs.insert(admit.key.key, record);
        Admission::Admitted { job }
    }
}

#[derive(Clone)]
struct Handler(Rc<Control>);

fn unused<T>() -> Result<T, Refusal> {
    Err(Refusal::Invalid { detail: "not part of the stand-in".into() })
}

impl Service for Handler {
    async fn register(
        self,
        _: Context,
        _: Option<id::Cluster>,
        hello: Hello,
    ) -> Result<Session, Refusal> {
        self.0.check_leading()?;
        let epoch = id::Epoch(self.0.next_index());
        self.0.sessions.borrow_mut().insert(epoch, hello.addr);
        Ok(Session { epoch, lease_ms: self.0.lease_ms.get() })
    }

    async fn sync_entry(
        self,
        _: Context,
        _: Option<id::Cluster>,
        sync: EntrySync,
    ) -> Result<EntryView, Refusal> {
        self.0.record_call(Call::Sync).await;
        self.0.check_session(sync.epoch)?;
        self.0.syncs.set(self.0.syncs.get() + 1);
        let servers = Servers {
            revision: Revision { term: 1, number: 1 },
            full: true,
            changed: self.0.servers.borrow().clone(),
            removed: Vec::new(),
        };
        let rules = (sync.rules_version == 0).then(|| Rules { version: 1, text: String::new() });
        let share = |starts_per_s| Share { account: id::Account("desk".into()), starts_per_s };
        let shares = self.0.share.get().map(share).into_iter().collect();
        Ok(EntryView { confirmed_age_ms: self.0.age_ms.get(), rules, servers, shares })
    }

    async fn admit(
        self,
        _: Context,
        _: Option<id::Cluster>,
        admit: Admit,
    ) -> Result<Admission, Refusal> {
        self.0.check_session(admit.execution.epoch)?;
        let admission = self.0.record(admit);
        self.0.record_call(Call::Admit).await;
        Ok(admission)
    }

    async fn finish(
        self,
        _: Context,
        _: Option<id::Cluster>,
        finish: Finish,
    ) -> Result<Finished, Refusal> {
        self.0.check_session(finish.epoch)?;
        let finished = {
            let mut jobs = self.0.jobs.borrow_mut();
            let Some(record) = jobs.values_mut().find(|r| r.job == finish.job) else {
                return unused();
            };
            match &record.outcome {
                Some(outcome) => Finished::Already { outcome: outcome.clone() },
                None => {
                    record.outcome = Some(finish.outcome);
                    Finished::Recorded
                }
            }
        };
        self.0.record_call(Call::Finish).await;
        Ok(finished)
    }

    async fn lookup(
        self,
        _: Context,
        _: Option<id::Cluster>,
        key: id::Key,
    ) -> Result<Admission, Refusal> {
        self.0.check_leading()?;
        self.0.record_call(Call::Lookup).await;
        let jobs = self.0.jobs.borrow();
        Ok(jobs.get(&key.key).map_or(Admission::Unknown, Control::admission))
    }

    async fn sync_sidecar(
        self,
        _: Context,
        _: Option<id::Cluster>,
        _: SidecarSync,
    ) -> Result<SidecarView, Refusal> {
        unused()
    }

    async fn change_rules(self, _: Context, _: Change) -> Result<Changed, Refusal> {
        unused()
    }

    async fn rules(self, _: Context) -> Result<Rules, Refusal> {
        unused()
    }

    async fn history(self, _: Context, _: u32) -> Result<Vec<Accepted>, Refusal> {
        unused()
    }

    async fn servers(self, _: Context) -> Result<Vec<Server>, Refusal> {
        unused()
    }

    async fn status(self, _: Context) -> Status {
        unreachable!("not part of the stand-in")
    }

    async fn init(self, _: Context) -> Result<(), Refusal> {
        unused()
    }

    async fn change_members(self, _: Context, _: MemberChange) -> Result<(), Refusal> {
        unused()
    }
}
