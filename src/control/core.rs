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
    coordination::member::{self, LEASE_MS},
    protocol::{
        id,
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
    stopping: Cell<bool>,
    soft: RefCell<Soft>,
}

/// The leader's memory: rebuilt in each term from what entries and sidecars report.
struct Soft {
    term: u64,
    members: member::Table,
}

impl Soft {
    fn new(now: member::Millis, term: u64) -> Soft {
        Soft { term, members: member::Table::new(now, term) }
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
            soft: RefCell::new(Soft::new(0, 0)),
        })
    }

    fn now(&self) -> member::Millis {
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

    /// The term that this instance leads. Begins a new memory when the term is new.
    fn lead(&self) -> Result<u64, Refusal> {
        let Some(term) = self.replica.leading() else {
            return Err(if self.stopping.get() {
                Refusal::Stopping
            } else {
                Refusal::NotLeader { leader: None }
            });
        };
        let mut soft = self.soft.borrow_mut();
        if soft.term != term {
            log::info!("event=leading term={term}");
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

    pub async fn register(&self, hello: control::Hello) -> Result<control::Session, Refusal> {
        match self.propose(Op::Register(hello)).await? {
            Reply::Registered(epoch) => Ok(control::Session { epoch, lease_ms: LEASE_MS }),
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
        let soft = self.soft.borrow();
        Ok(control::EntryView {
            confirmed_age_ms: util::millis(start.elapsed()),
            rules: newer_rules(&state, sync.rules_version),
            members: soft.members.since(self.now(), sync.members),
            shares: Vec::new(),
        })
    }

    pub async fn sync_sidecar(
        &self,
        sync: control::SidecarSync,
    ) -> Result<control::SidecarView, Refusal> {
        let start = self.confirmed().await?;
        let state = self.replica.state();
        if let Some(member) = &sync.member {
            self.soft.borrow_mut().members.announce(self.now(), member, false);
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

    pub async fn members(&self) -> Result<Vec<control::Member>, Refusal> {
        self.confirmed().await?;
        Ok(self.soft.borrow().members.members().cloned().collect())
    }

    pub fn status(&self) -> control::Status {
        let leading = self.replica.leading();
        control::Status {
            node: id::Node(self.settings.node),
            disk: id::Disk(0),
            role: if leading.is_some() { control::Role::Leader } else { control::Role::Follower },
            term: leading.unwrap_or(0),
            leader: None,
            commit: 0,
            applied: 0,
            voters: Vec::new(),
            rules_version: self.replica.state().rules().version,
        }
    }

    pub async fn init(&self) -> Result<(), Refusal> {
        Ok(())
    }

    pub async fn change_voters(&self, _change: control::VoterChange) -> Result<(), Refusal> {
        Err(Refusal::Invalid { detail: "this instance keeps its state in memory".into() })
    }

    /// Regular work of a leader.
    pub fn tick(&self) {
        if self.lead().is_err() {
            return;
        }
        let now = self.now();
        for member in self.soft.borrow_mut().members.expire(now) {
            log::warn!(
                "event=member_lapsed addr={} incarnation={:x}",
                member.addr,
                member.incarnation.0
            );
        }
    }

    /// Metrics as text.
    pub fn metrics(&self) -> Vec<u8> {
        let state = self.replica.state();
        self.meter.state(&state);
        let leading = self.replica.leading().is_some();
        self.meter.leader(leading, if leading { self.soft.borrow().members.len() } else { 0 });
        self.meter.render()
    }

    /// Refuses new calls; those in flight go on.
    pub fn stop_taking(&self) {
        self.stopping.set(true);
    }

    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }
}

fn newer_rules(state: &machine::State, held: u64) -> Option<control::Rules> {
    let rules = state.rules();
    (rules.version != held).then(|| rules.clone())
}

fn unexpected(reply: &Reply) -> Refusal {
    Refusal::Invalid { detail: format!("unexpected reply {reply:?}") }
}
