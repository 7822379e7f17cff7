//! What a control instance does with each call: it checks that it leads, proposes a command or
//! waits for a read barrier, and answers from the replicated state and the leader's own state.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
    time::Instant,
};

use crate::{
    control::{barrier::SharedBarrier, meter::Meter, replica::Replica, settings::Settings},
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

/// Most accepted rules changes in one answer about the history.
const HISTORY_ANSWER_MAX: usize = 100;

/// Replica, settings and metrics of a control instance, and the state that it keeps only while it
/// leads.
pub struct Core {
    pub settings: Settings,
    pub replica: Replica,
    pub meter: Meter,
    barrier: SharedBarrier,
    started: Instant,
    /// Whether a stop has been requested. Calls are accepted until `closed` is set.
    stopping: Cell<bool>,
    /// Whether calls that need the leader are refused.
    closed: Cell<bool>,
    /// Whether the commands that `tick` found due are being proposed.
    proposing_due: Cell<bool>,
    leader_state: RefCell<LeaderState>,
    /// The rules that were parsed last, with their version.
    rules: RefCell<(u64, Rc<rule::Rules>)>,
}

/// State of a leader that is not replicated. It is rebuilt in each term from the reports of entry
/// instances and sidecars.
struct LeaderState {
    term: u64,
    registry: registry::Registry,
    leases: session::Leases,
    quotas: quota::Table,
}

impl LeaderState {
    fn new(now: registry::Millis, term: u64) -> LeaderState {
        LeaderState {
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
            barrier: SharedBarrier::new(replica.clone()),
            replica,
            meter: Meter::default(),
            started: Instant::now(),
            stopping: Cell::new(false),
            closed: Cell::new(false),
            proposing_due: Cell::new(false),
            leader_state: RefCell::new(LeaderState::new(0, 0)),
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
        answer: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        self.meter.count_call(call);
        let result = answer.await;
        if let Err(refusal) = &result {
            self.meter.count_refusal(refusal);
        }
        result
    }

    fn not_leader(&self) -> Refusal {
        match self.replica.status().role {
            control::Role::Blank => Refusal::NotInitialised,
            _ => Refusal::NotLeader { leader: self.replica.leader() },
        }
    }

    /// Refuses a call that does not name the cluster of this instance, before anything else looks at
    /// it. To a client that follows no cluster yet, only the leader names its own.
    pub async fn check_cluster(&self, named: Option<id::Cluster>) -> Result<(), Refusal> {
        let Some(cluster) = self.replica.cluster() else { return Err(self.not_leader()) };
        match named {
            Some(named) if named == cluster => return Ok(()),
            Some(_) => self.meter.count_refusal(&Refusal::OtherCluster { cluster }),
            None => drop(self.read_barrier().await?),
        }
        Err(Refusal::OtherCluster { cluster })
    }

    /// The term that this instance leads. When the term is new, replaces the leader state by an
    /// empty one.
    fn leading_term(&self) -> Result<u64, Refusal> {
        if self.closed.get() {
            return Err(Refusal::Stopping);
        }
        let Some(term) = self.replica.leading() else {
            return Err(self.not_leader());
        };
        let mut leader = self.leader_state.borrow_mut();
        if leader.term != term {
            log::info!("event=leading term={term}");
            let ahead_ms = self.replica.state().now_ms().saturating_sub(util::unix_ms());
            if ahead_ms > machine::FUTURE_MAX_MS {
                // Keys expire by the state's time. Until the clocks have caught up with it, keys
                // are removed early by this difference, and submissions are refused early as
                // expired: all of them if the difference exceeds the retention. The threshold is
                // the clock difference that is allowed for callers.
                log::error!("event=clock_behind state_ahead_ms={ahead_ms}");
            }
            *leader = LeaderState::new(self.now(), term);
        }
        Ok(term)
    }

    async fn propose(&self, op: Op) -> Result<Reply, Refusal> {
        self.leading_term()?;
        let _in_flight = self.meter.in_flight();
        let command = machine::Command { now_ms: util::unix_ms(), op };
        match self.replica.propose(command).await? {
            Reply::Fenced => Err(Refusal::Fenced),
            Reply::Invalid(detail) => Err(Refusal::Invalid { detail: detail.into() }),
            reply => Ok(reply),
        }
    }

    /// Waits for a read barrier, after which the replicated state is current. Returns the time at
    /// which the barrier started.
    async fn read_barrier(&self) -> Result<Instant, Refusal> {
        self.leading_term()?;
        let start = self.barrier.wait().await?;
        // The term may have changed during the wait; the leader state must be that of the new one.
        self.leading_term()?;
        Ok(start)
    }

    /// The rules that this instance has applied. When their version is new, parses them and marks
    /// the backend servers that they drain.
    fn current_rules(&self, state: &machine::State) -> Rc<rule::Rules> {
        let replicated = state.rules();
        let (version, rules) = &mut *self.rules.borrow_mut();
        if *version != replicated.version {
            *rules = Rc::new(rule::Rules::parse(&replicated.text).unwrap_or_else(|faults| {
                log::error!("event=rules_invalid version={} faults={faults:?}", replicated.version);
                rule::Rules::default()
            }));
            *version = replicated.version;
            self.leader_state
                .borrow_mut()
                .registry
                .update_drained(|server| is_drained(rules, server));
        }
        rules.clone()
    }

    pub async fn register(&self, hello: control::Hello) -> Result<control::Session, Refusal> {
        // Without the barrier, a new leader may not have applied a registration of an earlier term
        // yet. It would then treat the session as new and without any share of a quota, although
        // the entry instance may still use one, and could grant others more than the quota allows.
        self.read_barrier().await?;
        let known = self.replica.state().live_session(hello.start).is_some();
        let earlier = self.replica.state().sessions_at(hello.addr);
        let (addr, start) = (hello.addr, hello.start);
        match self.propose(Op::Register(hello)).await? {
            Reply::Registered(epoch) => {
                log::info!("event=session_opened epoch={} addr={addr} start={start:x}", epoch.0);
                if !known {
                    self.leader_state.borrow_mut().quotas.join(epoch, &earlier);
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
        let barrier_start = self.read_barrier().await?;
        let state = self.replica.state();
        if !state.is_live(sync.epoch) {
            return Err(Refusal::Fenced);
        }
        let rules = self.current_rules(&state);
        let now = self.now();
        let mut leader = self.leader_state.borrow_mut();
        if !leader.quotas.report(sync.epoch, sync.number, &sync.demands) {
            let detail = format!("a newer sync than number {} was answered", sync.number);
            return Err(Refusal::Invalid { detail });
        }
        leader.leases.renew(now, sync.epoch);
        let (live, fenced) = (state.sessions().live, state.fenced_sessions());
        Ok(control::EntryView {
            confirmed_age_ms: util::millis(barrier_start.elapsed()),
            rules: changed_rules(&state, sync.rules_version),
            servers: leader.registry.changes_since(now, sync.servers),
            shares: leader.quotas.grant(sync.epoch, &rules, &live, &fenced),
        })
    }

    pub async fn sync_sidecar(
        &self,
        sync: control::SidecarSync,
    ) -> Result<control::SidecarView, Refusal> {
        let barrier_start = self.read_barrier().await?;
        let state = self.replica.state();
        let rules = self.current_rules(&state);
        if let Some(server) = &sync.server {
            let drained = is_drained(&rules, server);
            self.leader_state.borrow_mut().registry.announce(self.now(), server, drained);
        }
        let sessions = state.sessions();
        Ok(control::SidecarView {
            lease_ms: LEASE_MS,
            confirmed_age_ms: util::millis(barrier_start.elapsed()),
            rules: changed_rules(&state, sync.rules_version),
            sessions: (sync.sessions != Some(sessions.as_of)).then_some(sessions),
        })
    }

    pub async fn admit(&self, admit: control::Admit) -> Result<control::Admission, Refusal> {
        match self.propose(Op::Admit(admit)).await? {
            Reply::Admission(admission) => {
                self.meter.count_admission(&admission);
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
        self.read_barrier().await?;
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
        self.read_barrier().await?;
        Ok(self.replica.state().rules().clone())
    }

    pub async fn history(&self, limit: u32) -> Result<Vec<control::Accepted>, Refusal> {
        self.read_barrier().await?;
        Ok(self.replica.state().history(HISTORY_ANSWER_MAX.min(limit as usize)))
    }

    pub async fn servers(&self) -> Result<Vec<control::Server>, Refusal> {
        self.read_barrier().await?;
        Ok(self.leader_state.borrow().registry.servers().cloned().collect())
    }

    pub fn status(&self) -> control::Status {
        let rules_version = self.replica.state().rules().version;
        control::Status { rules_version, ..self.replica.status() }
    }

    pub async fn init(&self) -> Result<(), Refusal> {
        self.replica.init().await
    }

    pub async fn change_members(&self, change: control::MemberChange) -> Result<(), Refusal> {
        self.leading_term()?;
        self.replica.change_members(change).await
    }

    /// Periodic work of a leader: applies the drains of new rules, ends lapsed leases, and proposes
    /// changed limits, fences of lapsed sessions and the failure of their jobs.
    pub fn tick(self: &Rc<Self>) {
        if self.leading_term().is_err() {
            return;
        }
        let now = self.now();
        let state = self.replica.state();
        self.current_rules(&state);
        let (live, fenced) = (state.sessions().live, state.fenced_sessions());
        let mut leader = self.leader_state.borrow_mut();
        if leader.leases.stalled(now) {
            log::warn!("event=stalled consequence=leases_start_anew");
            leader.registry.renew_all(now);
        }
        for server in leader.registry.expire(now) {
            let (addr, incarnation) = (server.addr, server.incarnation.0);
            log::warn!("event=member_lapsed addr={addr} incarnation={incarnation:x}");
        }
        leader.quotas.retain(&live, &fenced);
        let due = leader.leases.poll(now, &live, &fenced);
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
        if !ops.is_empty() && !self.proposing_due.replace(true) {
            actix_rt::spawn(self.clone().propose_due(ops));
        }
    }

    async fn propose_due(self: Rc<Self>, ops: Vec<Op>) {
        for op in ops {
            let what = format!("{op:?}");
            match self.propose(op).await {
                Ok(_) => log::info!("event=settled op={what:?}"),
                Err(refusal) => log::warn!("event=not_settled op={what:?} refusal={refusal:?}"),
            }
        }
        self.proposing_due.set(false);
    }

    /// Metrics as text.
    pub fn metrics(&self) -> Vec<u8> {
        let state = self.replica.state();
        self.meter.set_state(&state);
        let leading = self.replica.leading().is_some();
        let servers = if leading { self.leader_state.borrow().registry.len() } else { 0 };
        self.meter.set_leader(leading, servers);
        self.meter.render()
    }

    /// Makes `/health` report that this instance stops. Calls are still accepted.
    pub fn announce_stop(&self) {
        self.stopping.set(true);
    }

    /// Refuses new calls that need the leader. Calls in flight continue.
    pub fn close(&self) {
        self.closed.set(true);
    }

    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }
}

fn is_drained(rules: &rule::Rules, server: &control::Server) -> bool {
    rules.drains(&server.data_centre, &server.rack, server.addr)
}

/// The rules, unless the recipient already has the current version.
fn changed_rules(state: &machine::State, known_version: u64) -> Option<control::Rules> {
    let rules = state.rules();
    (rules.version != known_version).then(|| rules.clone())
}

fn unexpected(reply: &Reply) -> Refusal {
    Refusal::Invalid { detail: format!("unexpected reply {reply:?}") }
}
