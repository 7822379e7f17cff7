//! Admission of attempts at one backend server: decides whether and when an attempt starts.
//!
//! An attempt starts at most once. While the session of its entry is open, it is never reported as
//! not started if it may have started: if its record has been dropped to bound memory, it is
//! treated as possibly started.

use std::collections::{HashMap, VecDeque};

use indexmap::IndexMap;

use crate::{
    coordination::{dispatch::Micros, lease::Lease},
    protocol::{
        id, job,
        wire::sidecar::{Load, NotStarted, Revoked},
    },
};

/// Maximum number of attempts and cancelled executions whose ids are remembered at once. A sidecar
/// was measured at 4.9 MB when idle and at 13.1 MB with this many ids, of the 32 MB that it may use
/// on a node.
///
/// An id must be remembered for as long as a message that names it may arrive. There is no upper
/// limit to this time: only once the entry is fenced or the backend server has a new incarnation
/// are all such messages refused without a record. [`Slots::dropped_up_to`] covers the ids that
/// must be dropped earlier: an attempt that has no record is treated as possibly started if its
/// execution's sequence number is not above the highest dropped one of the same epoch. 65,536 ids
/// last 400 s at the 160 starts/s of 8 slots with tasks of 50 ms. No job lasts that long, so the
/// rule affects late duplicates only.
pub const REMEMBERED_MAX: usize = 65_536;
/// Number of fenced epochs for which the highest dropped sequence number is kept. An entry asks about
/// attempts of a session for seconds after its end, and opens the next one at once.
pub const FENCED_EPOCHS_MAX: usize = 1_000;
/// Run time assumed for a task that declares none, in ms.
pub const DECLARED_DEFAULT_MS: u32 = 200;
/// Time in ms for which smaller tasks may overtake the task that was queued first while it waits
/// for CPUs, memory or accelerators. After that, the resources that it needs are kept free for it.
pub const OVERTAKE_MAX_MS: u64 = 500;

/// Limits of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Tasks it runs at once.
    pub slots: u16,
    /// Connections it accepts; each running attempt holds one.
    pub connections: u16,
    /// Attempts that may be queued for a slot.
    pub queue: u16,
    /// Kinds of task it runs; empty for all.
    pub kinds: Vec<String>,
    /// CPUs, memory and accelerators of its worker, which all running tasks together may need.
    pub size: job::Needs,
}

/// A request to start an attempt.
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

/// Answer to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt has a slot: start it now.
    Start,
    /// The attempt waits in the queue until [`Slots::next`] starts or refuses it.
    Queued,
    /// The attempt does not start, now or later.
    Refused(NotStarted),
    /// The attempt is already queued or running.
    Duplicate,
    /// The attempt has started before, or may have; its outcome is no longer known here.
    Forgotten,
}

/// What the sidecar must do with an attempt that was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Start(id::Attempt),
    Refuse(id::Attempt, NotStarted),
}

/// Admission of attempts in one incarnation of a backend server.
#[derive(Debug)]
pub struct Slots {
    incarnation: id::Incarnation,
    limits: Limits,
    /// Why all attempts are refused at present, if they are.
    closed: Option<NotStarted>,
    remembered_max: usize,
    records: HashMap<id::Attempt, Record>,
    cancelled: HashMap<id::Execution, ()>,
    /// Ids in `records` and `cancelled`, in the order in which they were added. Only ids of queued
    /// and running attempts may have been moved to the end, because they must not be dropped.
    by_age: VecDeque<Remembered>,
    /// Per epoch, the highest sequence number of an execution of which an id has been dropped.
    dropped_up_to: HashMap<id::Epoch, u64>,
    queue: Vec<QueuedRequest>,
    /// Attempts that hold a slot, with the resources that they declared.
    running: IndexMap<id::Attempt, job::Needs>,
    fairness: FairQueueing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Record {
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
struct QueuedRequest {
    request: Request,
    since: Micros,
}

impl Slots {
    pub fn new(incarnation: id::Incarnation, limits: Limits) -> Slots {
        Slots {
            incarnation,
            limits,
            closed: None,
            remembered_max: REMEMBERED_MAX,
            records: HashMap::new(),
            cancelled: HashMap::new(),
            by_age: VecDeque::new(),
            dropped_up_to: HashMap::new(),
            queue: Vec::new(),
            running: IndexMap::new(),
            fairness: FairQueueing::default(),
        }
    }

    /// Remembers at most `ids` ids instead of [`REMEMBERED_MAX`].
    pub fn with_remembered_max(self, ids: usize) -> Slots {
        Slots { remembered_max: ids, ..self }
    }

    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Replaces the limits. Running attempts go on, even if they exceed the new limits.
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

    /// Refuses new and queued attempts with `reason`, or accepts attempts again if it is `None`.
    /// Returns whether `reason` differs from the one set before.
    pub fn set_closed(&mut self, reason: Option<NotStarted>) -> bool {
        std::mem::replace(&mut self.closed, reason) != reason
    }

    /// Starts, queues or refuses an attempt.
    ///
    /// Duplicates are answered before lease, fence and drain are checked, because these checks
    /// would report an attempt as not started that has started.
    pub fn offer(&mut self, now: Micros, lease: &Lease, request: Request) -> Verdict {
        if request.incarnation != self.incarnation {
            return Verdict::Refused(NotStarted::WrongIncarnation);
        }
        let attempt = request.attempt;
        match self.records.get(&attempt) {
            Some(Record::Queued) => return Verdict::Duplicate,
            Some(Record::Started) if self.running.contains_key(&attempt) => {
                return Verdict::Duplicate;
            }
            Some(Record::Started) => return Verdict::Forgotten,
            Some(Record::Refused(reason)) => return Verdict::Refused(*reason),
            None if self.is_dropped(attempt.execution) => return Verdict::Forgotten,
            None => {}
        }
        if let Some(reason) = self.obstacle(now, lease, &request) {
            self.remember(attempt, Record::Refused(reason));
            return Verdict::Refused(reason);
        }
        if self.free_slots() > 0 && self.fits_beside_running(now, &request) {
            self.start(&request);
            return Verdict::Start;
        }
        if self.queue.len() >= usize::from(self.limits.queue) {
            self.remember(attempt, Record::Refused(NotStarted::Full));
            return Verdict::Refused(NotStarted::Full);
        }
        self.remember(attempt, Record::Queued);
        self.queue.push(QueuedRequest { request, since: now });
        Verdict::Queued
    }

    /// Returns the next queued attempt to start or refuse. The caller repeats the call until it
    /// returns `None`, after each input and at the time that `wake` gives.
    pub fn next(&mut self, now: Micros, lease: &Lease) -> Option<Next> {
        let refused =
            self.queue.iter().enumerate().find_map(|(index, queued)| {
                Some((index, self.obstacle(now, lease, &queued.request)?))
            });
        if let Some((index, reason)) = refused {
            let attempt = self.queue.remove(index).request.attempt;
            self.records.insert(attempt, Record::Refused(reason));
            return Some(Next::Refuse(attempt, reason));
        }
        if self.free_slots() == 0 {
            return None;
        }
        let ready: Vec<usize> = (0..self.queue.len())
            .filter(|index| self.fits_beside_running(now, &self.queue[*index].request))
            .collect();
        let index = self.fairness.choose(now, &self.queue, &ready)?;
        let request = self.queue.remove(index).request;
        self.start(&request);
        Some(Next::Start(request.attempt))
    }

    /// When `next` must be called even if no input arrives.
    pub fn wake(&self, lease: &Lease) -> Option<Micros> {
        self.queue.iter().map(|queued| queued.request.deadline.min(lease.until())).min()
    }

    /// Frees the slot of a started attempt. Returns whether it held one.
    pub fn ended(&mut self, attempt: id::Attempt) -> bool {
        self.running.shift_remove(&attempt).is_some()
    }

    /// Frees the slot of a started attempt and records the attempt as refused with `reason`. To be
    /// called only if nothing of the attempt has reached the backend server.
    pub fn not_started(&mut self, attempt: id::Attempt, reason: NotStarted) {
        if self.ended(attempt) {
            self.records.insert(attempt, Record::Refused(reason));
        }
    }

    /// Removes an attempt from the queue, so that it never starts, for example because its callers
    /// are gone. Returns whether it was queued.
    pub fn withdraw(&mut self, attempt: id::Attempt) -> bool {
        let Some(index) = self.queue.iter().position(|queued| queued.request.attempt == attempt)
        else {
            return false;
        };
        self.queue.remove(index);
        self.records.insert(attempt, Record::Refused(NotStarted::Revoked));
        true
    }

    /// Removes the queued attempts of an execution and refuses its later ones. Returns the removed
    /// attempts and the running ones.
    pub fn cancel(&mut self, execution: id::Execution) -> (Vec<id::Attempt>, Vec<id::Attempt>) {
        if self.cancelled.insert(execution, ()).is_none() {
            self.by_age.push_back(Remembered::Execution(execution));
            self.drop_oldest();
        }
        let of_execution = |a: &id::Attempt| a.execution == execution;
        let queued: Vec<_> =
            self.queue.iter().map(|queued| queued.request.attempt).filter(of_execution).collect();
        for attempt in &queued {
            self.withdraw(*attempt);
        }
        (queued, self.running().filter(of_execution).collect())
    }

    /// Prevents an attempt from starting, unless it has started.
    pub fn revoke(&mut self, attempt: id::Attempt) -> Revoked {
        match self.records.get(&attempt) {
            Some(Record::Started) => Revoked::Started,
            Some(Record::Refused(_)) => Revoked::NotStarted,
            Some(Record::Queued) => {
                self.withdraw(attempt);
                Revoked::NotStarted
            }
            // The attempt may have started. If the entry believed that it had not, it could start
            // the task a second time.
            None if self.is_dropped(attempt.execution) => Revoked::Started,
            None => {
                self.remember(attempt, Record::Refused(NotStarted::Revoked));
                Revoked::NotStarted
            }
        }
    }

    /// Drops the numbers in `dropped_up_to` of fenced epochs beyond the newest
    /// [`FENCED_EPOCHS_MAX`]. Newer ones are kept: the entry can still ask whether an attempt of its
    /// ended session has started. The records themselves are dropped by age.
    pub fn forget_fenced(&mut self, lease: &Lease) {
        let mut fenced: Vec<id::Epoch> =
            self.dropped_up_to.keys().copied().filter(|epoch| lease.fenced(*epoch)).collect();
        if fenced.len() > FENCED_EPOCHS_MAX {
            fenced.sort_unstable();
            for epoch in &fenced[..fenced.len() - FENCED_EPOCHS_MAX] {
                self.dropped_up_to.remove(epoch);
            }
        }
    }

    /// Number of epochs of which an id has been dropped.
    pub fn epochs_with_dropped_ids(&self) -> usize {
        self.dropped_up_to.len()
    }

    /// Why an attempt that has not started must not start now, if there is a reason.
    fn obstacle(&self, now: Micros, lease: &Lease, request: &Request) -> Option<NotStarted> {
        if !lease.held(now) {
            Some(NotStarted::NoLease)
        } else if lease.fenced(request.attempt.execution.epoch) {
            Some(NotStarted::Fenced)
        } else if self.closed.is_some() {
            self.closed
        } else if self.cancelled.contains_key(&request.attempt.execution) {
            Some(NotStarted::Revoked)
        } else if request.deadline <= now {
            Some(NotStarted::Expired)
        } else if !self.is_runnable(request) {
            Some(NotStarted::TooLarge)
        } else {
            None
        }
    }

    /// Whether the server runs the task's kind and its worker has the resources that the task
    /// needs. [`NotStarted::TooLarge`] is the refusal in both cases.
    fn is_runnable(&self, request: &Request) -> bool {
        let Limits { kinds, size, .. } = &self.limits;
        (kinds.is_empty() || kinds.contains(&request.kind)) && request.needs.fit(size)
    }

    fn free_slots(&self) -> usize {
        usize::from(self.limits.slots.min(self.limits.connections))
            .saturating_sub(self.running.len())
    }

    /// Whether the worker has the resources for an attempt in addition to the running ones, and in
    /// addition to the attempt that was queued first if that has waited for `OVERTAKE_MAX_MS`.
    fn fits_beside_running(&self, now: Micros, request: &Request) -> bool {
        let mut used = self.running.values().copied().fold(job::Needs::default(), sum);
        if let Some(first) = self.queue.iter().min_by_key(|queued| queued.since)
            && first.request.attempt != request.attempt
            && first.since + OVERTAKE_MAX_MS * 1_000 <= now
        {
            used = sum(used, first.request.needs);
        }
        sum(used, request.needs).fit(&self.limits.size)
    }

    fn start(&mut self, request: &Request) {
        self.running.insert(request.attempt, request.needs);
        self.remember(request.attempt, Record::Started);
        self.fairness.charge(&request.account, request.declared_ms);
    }

    fn is_dropped(&self, execution: id::Execution) -> bool {
        self.dropped_up_to.get(&execution.epoch).is_some_and(|up_to| execution.seq <= *up_to)
    }

    fn remember(&mut self, attempt: id::Attempt, record: Record) {
        if self.records.insert(attempt, record).is_none() {
            self.by_age.push_back(Remembered::Attempt(attempt));
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        // Records of queued and running attempts are kept; there are at most `slots + queue`.
        let mut kept = 0;
        while self.by_age.len() > self.remembered_max.max(kept) {
            let Some(oldest) = self.by_age.pop_front() else { return };
            let execution = match oldest {
                Remembered::Attempt(attempt) => {
                    let active = self.running.contains_key(&attempt)
                        || self.records.get(&attempt) == Some(&Record::Queued);
                    if active {
                        self.by_age.push_back(oldest);
                        kept += 1;
                        continue;
                    }
                    self.records.remove(&attempt);
                    attempt.execution
                }
                Remembered::Execution(execution) => {
                    self.cancelled.remove(&execution);
                    execution
                }
            };
            let up_to = self.dropped_up_to.entry(execution.epoch).or_default();
            *up_to = execution.seq.max(*up_to);
        }
    }
}

/// Start-time fair queueing of client accounts by declared run time.
#[derive(Debug, Default)]
struct FairQueueing {
    /// Virtual time, in ms of declared run time.
    virtual_now: u64,
    /// Per account, the finish tag of its last started task, if later than `virtual_now`.
    finish_tags: HashMap<id::Account, u64>,
}

impl FairQueueing {
    /// Index of the queued attempt to start next, out of those at the indices `ready`.
    ///
    /// If attempts would miss their deadlines by waiting for the shortest ready one, the one with
    /// the earliest deadline starts. Otherwise the account with the lowest start tag starts its
    /// shortest task. So a long task only overtakes a short one of its account if it cannot wait.
    fn choose(&self, now: Micros, queue: &[QueuedRequest], ready: &[usize]) -> Option<usize> {
        let cost = |index: &usize| declared_or_default(queue[*index].request.declared_ms);
        let shortest = ready.iter().map(cost).min()?;
        let end_after_shortest = |index: &usize| now + (shortest + cost(index)) * 1_000;
        let urgent = ready
            .iter()
            .copied()
            .filter(|index| queue[*index].request.deadline <= end_after_shortest(index));
        urgent.min_by_key(|index| queue[*index].request.deadline).or_else(|| {
            ready.iter().copied().min_by_key(|index| {
                let QueuedRequest { request, since } = &queue[*index];
                (self.start_tag(&request.account), cost(index), *since)
            })
        })
    }

    fn start_tag(&self, account: &id::Account) -> u64 {
        self.finish_tags
            .get(account)
            .map_or(self.virtual_now, |finish| self.virtual_now.max(*finish))
    }

    fn charge(&mut self, account: &id::Account, declared_ms: Option<u32>) {
        self.virtual_now = self.start_tag(account);
        self.finish_tags.retain(|_, finish| *finish > self.virtual_now);
        self.finish_tags
            .insert(account.clone(), self.virtual_now + declared_or_default(declared_ms));
    }
}

fn declared_or_default(ms: Option<u32>) -> u64 {
    u64::from(ms.unwrap_or(DECLARED_DEFAULT_MS).max(1))
}

fn sum(a: job::Needs, b: job::Needs) -> job::Needs {
    job::Needs {
        cpus: a.cpus.saturating_add(b.cpus),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}
