//! Admission of attempts at one backend server: decides whether and when an attempt starts.
//!
//! Every attempt gets exactly one of three fates: it starts once, it is refused for good, or, if
//! its record has been given up for lack of memory, it is neither started nor called unstarted.

use std::collections::{HashMap, VecDeque};

use indexmap::IndexMap;

use crate::{
    coordination::{dispatch::Micros, lease::Lease},
    protocol::{
        id, job,
        wire::sidecar::{Load, NotStarted, Revoked},
    },
};

/// Attempts and cancelled runs remembered at once. A sidecar measured 4.9 MB when idle and 13.1 MB
/// with this memory full, of the 32 MB that a node may spend.
///
/// An id has to be remembered for as long as a message that names it may arrive: until its entry
/// is fenced or the backend server gets a new incarnation, since both refuse such messages without
/// memory. That has no bound in time, so what is given up is covered by [`Slots::floors`]: once an
/// id has been dropped, no run of its epoch up to the dropped one starts any more, and none is
/// called unstarted. 65,536 ids last 400 s at the 160 starts/s of 8 slots with tasks of 50 ms,
/// longer than a job lives, so the floor meets no attempt that is not a late duplicate.
pub const REMEMBERED_MAX: usize = 65_536;
/// Run time assumed of a task that declares none, in ms.
pub const DECLARED_DEFAULT_MS: u32 = 200;
/// Longest time for which smaller tasks overtake one that waits for cpus, memory or accelerators,
/// in ms. After that, what it needs is kept free for it.
pub const OVERTAKE_MAX_MS: u64 = 500;

/// What a backend server takes.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Tasks it runs at once.
    pub slots: u16,
    /// Connections it accepts; each running attempt holds one.
    pub connections: u16,
    /// Attempts that may wait for a slot.
    pub queue: u16,
    /// Kinds of task it runs; empty for all.
    pub kinds: Vec<String>,
    /// Size of its worker.
    pub size: job::Needs,
}

/// An attempt that asks to start.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub attempt: id::Attempt,
    pub incarnation: id::Incarnation,
    pub account: id::Account,
    pub kind: String,
    pub declared_ms: Option<u32>,
    pub needs: job::Needs,
    pub deadline: Micros,
}

/// Answer to an [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It has a slot: start it now.
    Start,
    /// It waits for a slot; [`Slots::next`] tells when it starts or why it does not.
    Queued,
    /// It does not start, now or later.
    Refused(NotStarted),
    /// A duplicate of an attempt that waits or runs.
    Duplicate,
    /// It started before, or may have: its outcome is not known here any more.
    Forgotten,
}

/// Something for the sidecar to do with an attempt that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Start(id::Attempt),
    Refuse(id::Attempt, NotStarted),
}

/// Admission of attempts in one incarnation.
#[derive(Debug)]
pub struct Slots {
    incarnation: id::Incarnation,
    limits: Limits,
    closed: Option<NotStarted>,
    memory: usize,
    seen: HashMap<id::Attempt, Mark>,
    cancelled: HashMap<id::Execution, ()>,
    order: VecDeque<Remembered>,
    /// Per epoch, the highest run of which an id has been given up.
    floors: HashMap<id::Epoch, u64>,
    queue: Vec<Waiting>,
    running: IndexMap<id::Attempt, job::Needs>,
    turns: Turns,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mark {
    Queued,
    Started,
    Refused(NotStarted),
}

#[derive(Debug, Clone, Copy)]
enum Remembered {
    Attempt(id::Attempt),
    Execution(id::Execution),
}

#[derive(Debug)]
struct Waiting {
    ask: Request,
    since: Micros,
}

impl Slots {
    pub fn new(incarnation: id::Incarnation, limits: Limits) -> Slots {
        Slots {
            incarnation,
            limits,
            closed: None,
            memory: REMEMBERED_MAX,
            seen: HashMap::new(),
            cancelled: HashMap::new(),
            order: VecDeque::new(),
            floors: HashMap::new(),
            queue: Vec::new(),
            running: IndexMap::new(),
            turns: Turns::default(),
        }
    }

    /// Remembers at most `ids` ids.
    pub fn with_remembered_max(self, ids: usize) -> Slots {
        Slots { memory: ids, ..self }
    }

    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Takes over changed limits; what runs goes on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    pub fn load(&self) -> Load {
        Load {
            slots: self.limits.slots,
            busy: self.running.len() as u16,
            queued: self.queue.len() as u16,
        }
    }

    /// Attempts that hold a slot.
    pub fn running(&self) -> impl Iterator<Item = id::Attempt> + '_ {
        self.running.keys().copied()
    }

    /// Refuses new and queued attempts with `reason`, or takes attempts again. Returns whether
    /// that is a change.
    pub fn set_closed(&mut self, reason: Option<NotStarted>) -> bool {
        std::mem::replace(&mut self.closed, reason) != reason
    }

    /// Takes an attempt in.
    ///
    /// Duplicates are answered before the lease, fence and drain checks, because those would call
    /// an attempt unstarted that has started.
    pub fn offer(&mut self, now: Micros, lease: &Lease, ask: Request) -> Verdict {
        if ask.incarnation != self.incarnation {
            return Verdict::Refused(NotStarted::WrongIncarnation);
        }
        let attempt = ask.attempt;
        match self.seen.get(&attempt) {
            Some(Mark::Queued) => return Verdict::Duplicate,
            Some(Mark::Started) if self.running.contains_key(&attempt) => {
                return Verdict::Duplicate;
            }
            Some(Mark::Started) => return Verdict::Forgotten,
            Some(Mark::Refused(reason)) => return Verdict::Refused(*reason),
            None if self.forgotten(attempt.execution) => return Verdict::Forgotten,
            None => {}
        }
        if let Some(reason) = self.obstacle(now, lease, &ask) {
            self.remember(attempt, Mark::Refused(reason));
            return Verdict::Refused(reason);
        }
        if self.free() > 0 && self.fits_beside(now, &ask) {
            self.start(&ask);
            return Verdict::Start;
        }
        if self.queue.len() >= usize::from(self.limits.queue) {
            self.remember(attempt, Mark::Refused(NotStarted::Full));
            return Verdict::Refused(NotStarted::Full);
        }
        self.remember(attempt, Mark::Queued);
        self.queue.push(Waiting { ask, since: now });
        Verdict::Queued
    }

    /// What to do next with a queued attempt. To be called until it returns `None`, after each
    /// input and at the time that `wake` gives.
    pub fn next(&mut self, now: Micros, lease: &Lease) -> Option<Next> {
        let refused = self
            .queue
            .iter()
            .enumerate()
            .find_map(|(at, w)| Some((at, self.obstacle(now, lease, &w.ask)?)));
        if let Some((at, reason)) = refused {
            let attempt = self.queue.remove(at).ask.attempt;
            self.seen.insert(attempt, Mark::Refused(reason));
            return Some(Next::Refuse(attempt, reason));
        }
        if self.free() == 0 {
            return None;
        }
        let ready: Vec<usize> = (0..self.queue.len())
            .filter(|at| self.fits_beside(now, &self.queue[*at].ask))
            .collect();
        let at = self.turns.choose(now, &self.queue, &ready)?;
        let ask = self.queue.remove(at).ask;
        self.start(&ask);
        Some(Next::Start(ask.attempt))
    }

    /// When `next` must be called though no input arrives.
    pub fn wake(&self, lease: &Lease) -> Option<Micros> {
        self.queue.iter().map(|w| w.ask.deadline.min(lease.until())).min()
    }

    /// Frees the slot of a started attempt. Returns whether it held one.
    pub fn ended(&mut self, attempt: id::Attempt) -> bool {
        self.running.shift_remove(&attempt).is_some()
    }

    /// Frees the slot of an attempt of which nothing reached the backend server.
    pub fn not_started(&mut self, attempt: id::Attempt, reason: NotStarted) {
        if self.ended(attempt) {
            self.seen.insert(attempt, Mark::Refused(reason));
        }
    }

    /// Withdraws a queued attempt that nobody waits for any more. Returns whether it was queued.
    pub fn withdraw(&mut self, attempt: id::Attempt) -> bool {
        let Some(at) = self.queue.iter().position(|w| w.ask.attempt == attempt) else {
            return false;
        };
        self.queue.remove(at);
        self.seen.insert(attempt, Mark::Refused(NotStarted::Revoked));
        true
    }

    /// Takes a run's queued attempts out and refuses its later ones. Returns the attempts taken
    /// out and those that run.
    pub fn cancel(&mut self, execution: id::Execution) -> (Vec<id::Attempt>, Vec<id::Attempt>) {
        if self.cancelled.insert(execution, ()).is_none() {
            self.order.push_back(Remembered::Execution(execution));
            self.trim();
        }
        let of_execution = |a: &id::Attempt| a.execution == execution;
        let queued: Vec<_> =
            self.queue.iter().map(|w| w.ask.attempt).filter(of_execution).collect();
        for attempt in &queued {
            self.withdraw(*attempt);
        }
        (queued, self.running().filter(of_execution).collect())
    }

    /// Makes an attempt unstartable unless it has started.
    pub fn revoke(&mut self, attempt: id::Attempt) -> Revoked {
        match self.seen.get(&attempt) {
            Some(Mark::Started) => Revoked::Started,
            Some(Mark::Refused(_)) => Revoked::NotStarted,
            Some(Mark::Queued) => {
                self.withdraw(attempt);
                Revoked::NotStarted
            }
            // It may have started; claiming otherwise could start the task twice.
            None if self.forgotten(attempt.execution) => Revoked::Started,
            None => {
                self.remember(attempt, Mark::Refused(NotStarted::Revoked));
                Revoked::NotStarted
            }
        }
    }

    /// Drops what is only kept for entries that `lease` fences anyway.
    pub fn forget_fenced(&mut self, lease: &Lease) {
        self.floors.retain(|epoch, _| !lease.fenced(*epoch));
    }

    /// Why an attempt that has not started must not start now.
    fn obstacle(&self, now: Micros, lease: &Lease, ask: &Request) -> Option<NotStarted> {
        if !lease.held(now) {
            Some(NotStarted::NoLease)
        } else if lease.fenced(ask.attempt.execution.epoch) {
            Some(NotStarted::Fenced)
        } else if self.closed.is_some() {
            self.closed
        } else if self.cancelled.contains_key(&ask.attempt.execution) {
            Some(NotStarted::Revoked)
        } else if ask.deadline <= now {
            Some(NotStarted::Expired)
        } else if !self.could_run(ask) {
            Some(NotStarted::TooLarge)
        } else {
            None
        }
    }

    fn could_run(&self, ask: &Request) -> bool {
        let Limits { kinds, size, .. } = &self.limits;
        (kinds.is_empty() || kinds.contains(&ask.kind)) && ask.needs.fit(size)
    }

    fn free(&self) -> usize {
        usize::from(self.limits.slots.min(self.limits.connections))
            .saturating_sub(self.running.len())
    }

    /// Whether an attempt fits beside the running ones, and beside the one that has waited
    /// longest if that has been overtaken for long enough.
    fn fits_beside(&self, now: Micros, ask: &Request) -> bool {
        let mut used = self.running.values().copied().fold(job::Needs::default(), sum);
        if let Some(first) = self.queue.iter().min_by_key(|w| w.since)
            && first.ask.attempt != ask.attempt
            && first.since + OVERTAKE_MAX_MS * 1_000 <= now
        {
            used = sum(used, first.ask.needs);
        }
        sum(used, ask.needs).fit(&self.limits.size)
    }

    fn start(&mut self, ask: &Request) {
        self.running.insert(ask.attempt, ask.needs);
        self.remember(ask.attempt, Mark::Started);
        self.turns.served(&ask.account, ask.declared_ms);
    }

    fn forgotten(&self, execution: id::Execution) -> bool {
        self.floors.get(&execution.epoch).is_some_and(|floor| execution.seq <= *floor)
    }

    fn remember(&mut self, attempt: id::Attempt, mark: Mark) {
        if self.seen.insert(attempt, mark).is_none() {
            self.order.push_back(Remembered::Attempt(attempt));
            self.trim();
        }
    }

    fn trim(&mut self) {
        // Attempts that wait or run stay; there are at most `slots + queue` of them.
        let mut kept = 0;
        while self.order.len() > self.memory.max(kept) {
            let Some(oldest) = self.order.pop_front() else { return };
            let execution = match oldest {
                Remembered::Attempt(attempt) => {
                    let active = self.running.contains_key(&attempt)
                        || self.seen.get(&attempt) == Some(&Mark::Queued);
                    if active {
                        self.order.push_back(oldest);
                        kept += 1;
                        continue;
                    }
                    self.seen.remove(&attempt);
                    attempt.execution
                }
                Remembered::Execution(execution) => {
                    self.cancelled.remove(&execution);
                    execution
                }
            };
            let floor = self.floors.entry(execution.epoch).or_default();
            *floor = execution.seq.max(*floor);
        }
    }
}

/// Turns of the teams: start-time fair queueing by declared run time.
#[derive(Debug, Default)]
struct Turns {
    clock: u64,
    /// Per team, the virtual time at which what it has started is paid off, if after `clock`.
    paid: HashMap<id::Account, u64>,
}

impl Turns {
    /// The waiting attempt to start next, out of those at `ready`.
    ///
    /// An attempt that would miss its deadline behind the shortest one goes first, earliest
    /// deadline first. Otherwise the team that is furthest behind has its turn with its shortest
    /// task, so a long task only goes ahead of a short one when it cannot wait.
    fn choose(&self, now: Micros, queue: &[Waiting], ready: &[usize]) -> Option<usize> {
        let cost = |at: &usize| declared(queue[*at].ask.declared_ms);
        let shortest = ready.iter().map(cost).min()?;
        let slack = |at: &usize| now + (shortest + cost(at)) * 1_000;
        let urgent = ready.iter().copied().filter(|at| queue[*at].ask.deadline <= slack(at));
        urgent.min_by_key(|at| queue[*at].ask.deadline).or_else(|| {
            ready.iter().copied().min_by_key(|at| {
                let Waiting { ask, since } = &queue[*at];
                (self.tag(&ask.account), cost(at), *since)
            })
        })
    }

    fn tag(&self, account: &id::Account) -> u64 {
        self.paid.get(account).map_or(self.clock, |paid| self.clock.max(*paid))
    }

    fn served(&mut self, account: &id::Account, declared_ms: Option<u32>) {
        self.clock = self.tag(account);
        self.paid.retain(|_, paid| *paid > self.clock);
        self.paid.insert(account.clone(), self.clock + declared(declared_ms));
    }
}

fn declared(ms: Option<u32>) -> u64 {
    u64::from(ms.unwrap_or(DECLARED_DEFAULT_MS).max(1))
}

fn sum(a: job::Needs, b: job::Needs) -> job::Needs {
    job::Needs {
        cpus: a.cpus.saturating_add(b.cpus),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}
