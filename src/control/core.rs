//! What a control instance does with each call: checks that it leads, proposes or confirms, and
//! answers from the replicated state and the leader's memory.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
    time::Instant,
};

use crate::{
    control::{confirm::Confirm, meter::Meter, replica::Replica, settings::Settings},
    coordination::{
        quota,
        registry::{self, LEASE_MS},
        session,
    },
    protocol::{
        id, rule,
        wire::control::{self, Refusal},
    },
    state::machine::{self, Op, Reply},
    util,
};

/// Most entries of the history in one answer.
const HISTORY_ANSWER_MAX: usize = 100;

/// One control instance.
pub struct Core {
    pub settings: Settings,
    pub replica: Replica,
    pub meter: Meter,
    confirm: Confirm,
    started: Instant,
    /// Whether a stop has been asked for; calls are still taken.
    stopping: Cell<bool>,
    /// Whether calls are refused.
    closed: Cell<bool>,
    /// Whether fences or limits are being proposed.
    settling: Cell<bool>,
    soft: RefCell<Soft>,
    /// The rules last parsed, with their version.
    rules: RefCell<(u64, Rc<rule::Rules>)>,
}

/// The leader's memory: rebuilt in each term from what entries and sidecars report.
struct Soft {
    term: u64,
    registry: registry::Registry,
    leases: session::Leases,
    quotas: quota::Table,
}

impl Soft {
    fn new(now: registry::Millis, term: u64) -> Soft {
        Soft {
            term,
            registry: registry::Registry::new(now, term),
            leases: session::Leases::new(now),
            quotas: quota::Table::default(),
        }
    }
}

impl Core {
    pub fn new(settings: Settings, replica: Replica) -> Rc<Core> {
        Rc::new(Core {
            settings,
            confirm: Confirm::new(replica.clone()),
            replica,
            meter: Meter::default(),
            started: Instant::now(),
            stopping: Cell::new(false),
            closed: Cell::new(false),
            settling: Cell::new(false),
            soft: RefCell::new(Soft::new(0, 0)),
            rules: RefCell::default(),
        })
    }

    fn now(&self) -> registry::Millis {
        util::millis(self.started.elapsed())
    }

    /// Counts a call and, if it is refused, the reason.
    pub async fn counted<T>(
        &self,
        call: &'static str,
        work: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        self.meter.call(call);
        let result = work.await;
        if let Err(refusal) = &result {
            self.meter.refused(refusal);
        }
        result
    }

    fn not_leader(&self) -> Refusal {
        match self.replica.status().role {
            control::Role::Blank => Refusal::NotInitialised,
            _ => Refusal::NotLeader { leader: self.replica.leader() },
        }
    }

    /// The term that this instance leads. Begins a new memory when the term is new.
    fn lead(&self) -> Result<u64, Refusal> {
        if self.closed.get() {
            return Err(Refusal::Stopping);
        }
        let Some(term) = self.replica.leading() else {
            return Err(self.not_leader());
        };
        let mut soft = self.soft.borrow_mut();
        if soft.term != term {
            log::info!("event=leading term={term}");
            let ahead_ms = self.replica.state().now_ms().saturating_sub(util::unix_ms());
            if ahead_ms > machine::FUTURE_MAX_MS {
                // Keys age by the state's time: submissions are refused as expired until the
                // clocks have caught up.
                log::error!("event=clock_behind state_ahead_ms={ahead_ms}");
            }
            *soft = Soft::new(self.now(), term);
        }
        Ok(term)
    }

    async fn propose(&self, op: Op) -> Result<Reply, Refusal> {
        self.lead()?;
        let _in_flight = self.meter.in_flight();
        let command = machine::Command { now_ms: util::unix_ms(), op };
        match self.replica.propose(command).await? {
            Reply::Fenced => Err(Refusal::Fenced),
            Reply::Invalid(detail) => Err(Refusal::Invalid { detail: detail.into() }),
            reply => Ok(reply),
        }
    }

    /// Waits for a read barrier. Returns when it started.
    async fn confirmed(&self) -> Result<Instant, Refusal> {
        self.lead()?;
        let start = self.confirm.wait().await?;
        // The term may have changed while waiting; the memory below must be that of the new one.
        self.lead()?;
        Ok(start)
    }

    /// The rules in force here. Applies their drains to the server list when they are new.
    fn current_rules(&self, state: &machine::State) -> Rc<rule::Rules> {
        let held = state.rules();
        let (version, rules) = &mut *self.rules.borrow_mut();
        if *version != held.version {
            *rules = Rc::new(rule::Rules::parse(&held.text).unwrap_or_else(|faults| {
                log::error!("event=rules_invalid version={} faults={faults:?}", held.version);
                rule::Rules::default()
            }));
            *version = held.version;
            self.soft.borrow_mut().registry.drain(|m| drained(rules, m));
        }
        rules.clone()
    }

    pub async fn register(&self, hello: control::Hello) -> Result<control::Session, Refusal> {
        // Without the barrier a new leader may not yet know a session of an earlier term.
        self.confirmed().await?;
        let known = self.replica.state().session_of(hello.start).is_some();
        let (addr, start) = (hello.addr, hello.start);
        match self.propose(Op::Register(hello)).await? {
            Reply::Registered(epoch) => {
                log::info!("event=session_opened epoch={} addr={addr} start={start:x}", epoch.0);
                if !known {
                    self.soft.borrow_mut().quotas.join(epoch);
                }
                Ok(control::Session { epoch, lease_ms: LEASE_MS })
            }
            other => Err(unexpected(&other)),
        }
    }

    pub async fn sync_entry(
        &self,
        sync: control::EntrySync,
    ) -> Result<control::EntryView, Refusal> {
        let start = self.confirmed().await?;
        let state = self.replica.state();
        if !state.live(sync.epoch) {
            return Err(Refusal::Fenced);
        }
        let rules = self.current_rules(&state);
        let now = self.now();
        let mut soft = self.soft.borrow_mut();
        if !soft.quotas.report(sync.epoch, sync.number, &sync.demands) {
            let detail = format!("a newer sync than number {} was answered", sync.number);
            return Err(Refusal::Invalid { detail });
        }
        soft.leases.renew(now, sync.epoch);
        let (live, fenced) = (state.sessions().live, state.fenced());
        Ok(control::EntryView {
            confirmed_age_ms: util::millis(start.elapsed()),
            rules: newer_rules(&state, sync.rules_version),
            servers: soft.registry.changes_since(now, sync.servers),
            shares: soft.quotas.grant(sync.epoch, &rules, &live, &fenced),
        })
    }

    pub async fn sync_sidecar(
        &self,
        sync: control::SidecarSync,
    ) -> Result<control::SidecarView, Refusal> {
        let start = self.confirmed().await?;
        let state = self.replica.state();
        let rules = self.current_rules(&state);
        if let Some(server) = &sync.server {
            let drained = drained(&rules, server);
            self.soft.borrow_mut().registry.announce(self.now(), server, drained);
        }
        let sessions = state.sessions();
        Ok(control::SidecarView {
            lease_ms: LEASE_MS,
            confirmed_age_ms: util::millis(start.elapsed()),
            rules: newer_rules(&state, sync.rules_version),
            sessions: (sync.sessions != Some(sessions.as_of)).then_some(sessions),
        })
    }

    pub async fn admit(&self, admit: control::Admit) -> Result<control::Admission, Refusal> {
        match self.propose(Op::Admit(admit)).await? {
            Reply::Admission(admission) => {
                self.meter.admission(&admission);
                Ok(admission)
            }
            other => Err(unexpected(&other)),
        }
    }

    pub async fn finish(&self, finish: control::Finish) -> Result<control::Finished, Refusal> {
        match self.propose(Op::Finish(finish)).await? {
            Reply::Finished(finished) => Ok(finished),
            other => Err(unexpected(&other)),
        }
    }

    pub async fn lookup(&self, key: id::Key) -> Result<control::Admission, Refusal> {
        self.confirmed().await?;
        Ok(self.replica.state().lookup(&key))
    }

    pub async fn change_rules(&self, change: control::Change) -> Result<control::Changed, Refusal> {
        let (operator, id, base) = (change.operator.clone(), change.id.clone(), change.base);
        match self.propose(Op::Change(change)).await? {
            Reply::Changed(changed) => {
                log::info!(
                    "event=rules_change operator={operator:?} id={id:?} base={base} answer={changed:?}"
                );
                Ok(changed)
            }
            other => Err(unexpected(&other)),
        }
    }

    pub async fn rules(&self) -> Result<control::Rules, Refusal> {
        self.confirmed().await?;
        Ok(self.replica.state().rules().clone())
    }

    pub async fn history(&self, limit: u32) -> Result<Vec<control::Accepted>, Refusal> {
        self.confirmed().await?;
        Ok(self.replica.state().history(HISTORY_ANSWER_MAX.min(limit as usize)))
    }

    pub async fn servers(&self) -> Result<Vec<control::Server>, Refusal> {
        self.confirmed().await?;
        Ok(self.soft.borrow().registry.servers().cloned().collect())
    }

    pub fn status(&self) -> control::Status {
        let rules_version = self.replica.state().rules().version;
        control::Status { rules_version, ..self.replica.status() }
    }

    pub async fn init(&self) -> Result<(), Refusal> {
        self.replica.init().await
    }

    pub async fn change_members(&self, change: control::MemberChange) -> Result<(), Refusal> {
        self.lead()?;
        self.replica.change_members(change).await
    }

    /// Regular work of a leader: lapsed leases, drains of new rules, and what must be proposed.
    pub fn tick(self: &Rc<Self>) {
        if self.lead().is_err() {
            return;
        }
        let now = self.now();
        let state = self.replica.state();
        self.current_rules(&state);
        let (live, fenced) = (state.sessions().live, state.fenced());
        let mut soft = self.soft.borrow_mut();
        if soft.leases.stalled(now) {
            log::warn!("event=stalled consequence=leases_start_anew");
            soft.registry.renew_all(now);
        }
        for server in soft.registry.expire(now) {
            let (addr, incarnation) = (server.addr, server.incarnation.0);
            log::warn!("event=member_lapsed addr={addr} incarnation={incarnation:x}");
        }
        soft.quotas.retain(&live, &fenced);
        let due = soft.leases.poll(now, &live, &fenced);
        let mut ops = Vec::new();
        if state.limits() != self.settings.limits() {
            ops.push(Op::Limit(self.settings.limits()));
        }
        if !due.fence.is_empty() {
            ops.push(Op::Fence(due.fence));
        }
        if !due.abandon.is_empty() {
            ops.push(Op::Abandon(due.abandon));
        }
        if !ops.is_empty() && !self.settling.replace(true) {
            actix_rt::spawn(self.clone().settle(ops));
        }
    }

    async fn settle(self: Rc<Self>, ops: Vec<Op>) {
        for op in ops {
            let what = format!("{op:?}");
            match self.propose(op).await {
                Ok(_) => log::info!("event=settled op={what:?}"),
                Err(refusal) => log::warn!("event=not_settled op={what:?} refusal={refusal:?}"),
            }
        }
        self.settling.set(false);
    }

    /// Metrics as text.
    pub fn metrics(&self) -> Vec<u8> {
        let state = self.replica.state();
        self.meter.state(&state);
        let leading = self.replica.leading().is_some();
        self.meter.leader(leading, if leading { self.soft.borrow().registry.len() } else { 0 });
        self.meter.render()
    }

    /// Announces the stop; calls are still taken.
    pub fn announce_stop(&self) {
        self.stopping.set(true);
    }

    /// Refuses new calls; those in flight go on.
    pub fn close(&self) {
        self.closed.set(true);
    }

    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }
}

fn drained(rules: &rule::Rules, server: &control::Server) -> bool {
    rules.drains(&server.data_centre, &server.rack, server.addr)
}

fn newer_rules(state: &machine::State, held: u64) -> Option<control::Rules> {
    let rules = state.rules();
    (rules.version != held).then(|| rules.clone())
}

fn unexpected(reply: &Reply) -> Refusal {
    Refusal::Invalid { detail: format!("unexpected reply {reply:?}") }
}
