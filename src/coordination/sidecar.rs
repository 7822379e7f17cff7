//! What a sidecar knows of its backend server, and what runs there for whom.
//!
//! Runs are ordered by the leader of the control instances, for jobs that are kept, and by
//! entries, for jobs that are not. Each of them holds a lease; what it ordered is stopped when that
//! has ended, so that it knows without an answer when nothing of it runs any more.

mod incarnation;

use std::{collections::BTreeMap, net::SocketAddr};

use indexmap::IndexMap;

use crate::protocol::{
    queue::{self, Attempt, Id},
    wire::{
        queue::{Backend, Batch, Commands, Completion, NotStarted, Reason, Report, Server, Start},
        work::{self, Entry, Load},
    },
};
use incarnation::{Assignment, Incarnation, State};

/// Least time left of a lease for a start to be ordered, in ms.
const START_MARGIN_MS: u64 = 50;
/// Most tasks that wait for room.
const QUEUE_MAX: usize = 64;

/// Who ordered a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    Leader,
    Entry(Entry),
}

/// Next poll of the backend server, which renews the lease and fetches completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    pub fence: u64,
    /// Completions up to here are acknowledged.
    pub acknowledged: u64,
    /// New end of the lease on the server's clock; `None` leaves the lease as it is.
    pub lease_until_ms: Option<u64>,
}

/// Answer of a backend server to a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// The server's clock.
    pub clock_ms: u64,
    pub running: Vec<Attempt>,
    pub completions: Vec<Completion>,
}

/// Result of a request to start an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    Started,
    NotStarted(Reason),
    /// The request may be carried out later.
    Unknown,
}

/// Output of the decisions since the last call: what the caller is to carry out.
#[derive(Debug, Default, PartialEq)]
pub struct Actions {
    pub starts: Vec<Start>,
    pub stops: Vec<Attempt>,
    /// Outcomes of entries' start commands, with the run time in ms.
    pub replies: Vec<(Entry, Attempt, work::Outcome, u64)>,
    /// There is something to report to the leader.
    pub report_due: bool,
}

/// State of a sidecar. Times are ms on a steady clock that counts suspended time.
#[derive(Debug)]
pub struct Sidecar {
    name: String,
    addr: SocketAddr,
    incarnation: u64,
    max_lease_ms: u64,
    backend: Option<Incarnation>,
    /// Whether a backend server has announced itself.
    met: bool,
    /// Fencing token of this incarnation; 0 before a leader gave one.
    token: u64,
    term: u64,
    /// Generation of the registration with the leader; a new one requests all that runs.
    generation: u64,
    lease_until_ms: u64,
    /// Batches taken.
    batch: u64,
    early: BTreeMap<u64, Batch>,
    not_started: Vec<NotStarted>,
    /// Ends of the entries' leases.
    leases: IndexMap<Entry, u64>,
    /// Entries whose leases were given back, and until when late messages of theirs may come.
    released: IndexMap<Entry, u64>,
    stopping: bool,
    actions: Actions,
}

impl Sidecar {
    /// `addr` is where entries reach this sidecar.
    pub fn new(name: String, addr: SocketAddr, incarnation: u64, max_lease_ms: u64) -> Sidecar {
        Sidecar {
            name,
            addr,
            incarnation,
            max_lease_ms,
            backend: None,
            met: false,
            token: 0,
            term: 0,
            generation: 0,
            lease_until_ms: 0,
            batch: 0,
            early: BTreeMap::new(),
            not_started: Vec::new(),
            leases: IndexMap::new(),
            released: IndexMap::new(),
            stopping: false,
            actions: Actions::default(),
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Takes an announcement of the backend server.
    pub fn announce(&mut self, now_ms: u64, server: Server, addr: SocketAddr, seq: u64) {
        match &mut self.backend {
            Some(backend) if backend.server.id == server.id => {
                if backend.announced(&server, addr, seq) {
                    self.actions.report_due = true;
                }
                self.dispatch(now_ms);
            }
            Some(backend) if server.id.started_at_ms < backend.server.id.started_at_ms => {
                log::info!("event=announcement_outdated server={}", server.id);
            }
            _ => {
                log::info!("event=server server={} service={}", server.id, server.service);
                self.lose();
                self.backend = Some(Incarnation::new(server, addr, seq));
                self.met = true;
                self.actions.report_due = true;
            }
        }
    }

    /// The backend server says that it has left.
    pub fn leave(&mut self, id: &str) {
        if self.backend.as_ref().is_some_and(|backend| backend.server.id.id == id) {
            log::info!("event=server_left server={id}");
            self.lose();
            self.actions.report_due = true;
        }
    }

    /// Takes no more orders from now on.
    pub fn drain(&mut self) {
        self.stopping = true;
        self.actions.report_due = true;
    }

    /// Nothing of the present incarnation of the backend server runs any more.
    fn lose(&mut self) {
        let Some(backend) = self.backend.take() else { return };
        for (attempt, assignment) in backend.assignments {
            self.reply(attempt, &assignment, work::Outcome::Lost, 0);
        }
    }

    /// Tells an entry what became of its order. The leader learns of it from reports.
    fn reply(
        &mut self,
        attempt: Attempt,
        assignment: &Assignment,
        outcome: work::Outcome,
        took_ms: u64,
    ) {
        let outcome = match outcome {
            work::Outcome::Stopped | work::Outcome::NotStarted(_) if assignment.canceled => {
                work::Outcome::Canceled
            }
            outcome => outcome,
        };
        match (assignment.source, outcome) {
            (Source::Entry(entry), _) => {
                self.actions.replies.push((entry, attempt, outcome, took_ms))
            }
            (Source::Leader, work::Outcome::NotStarted(reason)) => {
                self.not_started.push(NotStarted { attempt, reason });
                self.actions.report_due = true;
            }
            (Source::Leader, _) => {}
        }
    }

    /// The backend server and its address.
    pub fn server(&self) -> Option<(&Server, SocketAddr)> {
        self.backend.as_ref().map(|backend| (&backend.server, backend.addr))
    }

    /// Whether runs are there, or may be.
    pub fn busy(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| !backend.assignments.is_empty())
    }

    /// What the backend server is doing.
    pub fn load(&self) -> Load {
        let Some(backend) = &self.backend else { return Load::default() };
        Load {
            open: backend.open() && !self.stopping,
            used: backend.used,
            queued: backend.queued(),
        }
    }

    /// Whether nothing of an earlier incarnation is left at the backend server.
    pub fn clean(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.clean)
    }

    /// What to ask of the backend server now; `None` before a leader gave a fencing token. The lease
    /// counts as given, since a call without an answer may have been carried out.
    pub fn poll(&mut self, now_ms: u64) -> Option<Poll> {
        let backend = self.backend.as_mut().filter(|_| self.token > 0)?;
        Some(Poll {
            fence: self.token,
            acknowledged: backend.acknowledged(),
            lease_until_ms: backend.lease(now_ms, self.max_lease_ms),
        })
    }

    /// Whether the backend server can be asked.
    pub fn fenced(&self) -> bool {
        self.token > 0
    }

    /// Whether the backend server may be asked to wait for an end before it answers.
    pub fn may_wait(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.clean && !backend.silent())
    }

    /// Takes the backend server's answer to a poll that was sent at `sent_ms`. An answer that a
    /// newer one has overtaken says nothing new.
    pub fn polled(&mut self, sent_ms: u64, now_ms: u64, reply: PollReply) {
        let Some(backend) = &mut self.backend else { return };
        if !backend.read_clock(reply.clock_ms, now_ms) {
            return;
        }
        if std::mem::take(&mut backend.unreachable) {
            log::info!("event=server_reachable server={}", backend.server.id);
            self.actions.report_due = true;
        }
        for completion in reply.completions {
            self.ended(now_ms, completion);
        }
        self.seen(sent_ms, now_ms, &reply.running);
        self.dispatch(now_ms);
    }

    /// Takes an end from the backend server's list.
    fn ended(&mut self, now_ms: u64, completion: Completion) {
        let Some(backend) = &mut self.backend else { return };
        if !backend.new_completion(completion.number) {
            return;
        }
        let assignment =
            completion.attempt.and_then(|attempt| Some((attempt, backend.remove(&attempt)?)));
        let for_leader = assignment.as_ref().is_none_or(|(_, a)| a.source == Source::Leader);
        if for_leader {
            backend.completions.insert(completion.number, completion.clone());
            self.actions.report_due = true;
        }
        if let Some((attempt, assignment)) = assignment {
            let outcome = match completion.outcome {
                queue::Outcome::Done => work::Outcome::Done,
                queue::Outcome::Failed => work::Outcome::Failed,
                queue::Outcome::Stopped => work::Outcome::Stopped,
            };
            self.reply(
                attempt,
                &assignment,
                outcome,
                now_ms.saturating_sub(assignment.commanded_ms),
            );
        }
    }

    /// Compares what runs with what was ordered.
    fn seen(&mut self, sent_ms: u64, now_ms: u64, running: &[Attempt]) {
        let Some(backend) = &mut self.backend else { return };
        let mut foreign = 0;
        for attempt in running {
            match backend.assignments.get_mut(attempt) {
                Some(assignment) => assignment.seen(),
                None => {
                    foreign += 1;
                    // Of an earlier incarnation, whose orders nobody waits for any more.
                    if backend.stop_foreign(now_ms, *attempt) {
                        log::info!("event=run_not_wanted run={attempt}");
                        self.actions.stops.push(*attempt);
                    }
                }
            }
        }
        if foreign == 0 && !backend.clean {
            backend.clean = true;
            self.actions.report_due = true;
        }
        let barred: Vec<Attempt> = backend.barred(sent_ms, running);
        for attempt in barred {
            if let Some(assignment) =
                self.backend.as_mut().and_then(|backend| backend.remove(&attempt))
            {
                self.reply(attempt, &assignment, work::Outcome::NotStarted(Reason::NoAnswer), 0);
            }
        }
    }

    /// The backend server did not answer a poll that was sent at `sent_ms`; `refused` if nothing
    /// listens at its address.
    pub fn poll_failed(&mut self, sent_ms: u64, now_ms: u64, refused: bool) {
        let Some(backend) = &mut self.backend else { return };
        if backend.answered_since(sent_ms) || !backend.lapsed(now_ms, refused) {
            return;
        }
        log::warn!("event=server_unreachable server={} refused={refused}", backend.server.id);
        let assignments = backend.reset();
        for (attempt, assignment) in assignments {
            self.reply(attempt, &assignment, work::Outcome::Lost, 0);
        }
        self.actions.report_due = true;
    }

    /// Renews an entry's lease, which ends at `until_ms`.
    pub fn renew(&mut self, entry: Entry, until_ms: u64) {
        let leases = match self.released.contains_key(&entry) {
            true => &mut self.released,
            false => &mut self.leases,
        };
        let lease = leases.entry(entry).or_insert(0);
        *lease = until_ms.max(*lease);
    }

    /// Stops what was ordered by those whose leases have ended.
    pub fn tick(&mut self, now_ms: u64) {
        self.leases.retain(|_, until_ms| *until_ms > now_ms);
        let attempts = self.attempts(|_, assignment| match assignment.source {
            Source::Entry(entry) => !self.leases.contains_key(&entry),
            Source::Leader => self.lease_until_ms <= now_ms,
        });
        for attempt in attempts {
            self.stop(attempt);
        }
        self.dispatch(now_ms);
    }

    /// Takes an entry's order.
    pub fn command(
        &mut self,
        now_ms: u64,
        source: Source,
        start: Start,
        due_ms: u64,
        until_ms: u64,
    ) {
        let attempt = start.attempt;
        let assignment = Assignment::new(source, start, due_ms, until_ms);
        let refusal = match &self.backend {
            None => Some(Reason::Unavailable),
            Some(backend) if !backend.open() || self.stopping => Some(Reason::Unavailable),
            Some(backend) if backend.assignments.contains_key(&attempt) => Some(Reason::Expired),
            Some(backend) if backend.waiting() >= QUEUE_MAX => Some(Reason::NoCapacity),
            Some(_) if self.lease_left(now_ms, source) < START_MARGIN_MS => Some(Reason::Expired),
            Some(_) => None,
        };
        if let Some(reason) = refusal {
            return self.reply(attempt, &assignment, work::Outcome::NotStarted(reason), 0);
        }
        if let Some(backend) = &mut self.backend {
            backend.assignments.insert(attempt, assignment);
        }
        self.dispatch(now_ms);
    }

    fn lease_left(&self, now_ms: u64, source: Source) -> u64 {
        let until_ms = match source {
            Source::Leader => self.lease_until_ms,
            Source::Entry(entry) => self.leases.get(&entry).copied().unwrap_or(0),
        };
        until_ms.saturating_sub(now_ms)
    }

    /// Starts what waits and has room, the most urgent first; refuses what has waited too long.
    fn dispatch(&mut self, now_ms: u64) {
        let Some(backend) = &mut self.backend else { return };
        let open = backend.open() && !self.stopping;
        let mut refused = Vec::new();
        for attempt in backend.queue() {
            let assignment = &backend.assignments[&attempt];
            let (needs, until_ms) = (assignment.start.needs, assignment.until_ms);
            let reason = if !open {
                Reason::Unavailable
            } else if backend.has_room(&needs) {
                if let Some(start) = backend.begin(now_ms, &attempt) {
                    self.actions.starts.push(start);
                }
                continue;
            } else if until_ms <= now_ms {
                Reason::NoCapacity
            } else {
                continue;
            };
            if let Some(assignment) = backend.remove(&attempt) {
                refused.push((attempt, assignment, reason));
            }
        }
        for (attempt, assignment, reason) in refused {
            self.reply(attempt, &assignment, work::Outcome::NotStarted(reason), 0);
        }
    }

    /// Takes the result of an order to start.
    pub fn start_answered(&mut self, now_ms: u64, attempt: Attempt, result: StartResult) {
        let Some(backend) = &mut self.backend else { return };
        let Some(assignment) = backend.assignments.get_mut(&attempt) else { return };
        match result {
            StartResult::Started => assignment.seen(),
            StartResult::NotStarted(reason) => {
                if let Some(assignment) = backend.remove(&attempt) {
                    self.reply(attempt, &assignment, work::Outcome::NotStarted(reason), 0);
                }
                self.dispatch(now_ms);
            }
            StartResult::Unknown if assignment.state == State::Running => {}
            StartResult::Unknown => {
                assignment.state = State::Unsure;
                self.actions.stops.push(attempt);
            }
        }
    }

    /// Orders a run to end; one that waits is refused at once.
    pub fn stop(&mut self, attempt: Attempt) {
        let Some(backend) = &mut self.backend else { return };
        let Some(assignment) = backend.assignments.get_mut(&attempt) else { return };
        if assignment.state == State::Waiting {
            if let Some(assignment) = backend.remove(&attempt) {
                self.reply(attempt, &assignment, work::Outcome::NotStarted(Reason::Expired), 0);
            }
        } else if !std::mem::replace(&mut assignment.stopping, true) {
            self.actions.stops.push(attempt);
        }
    }

    /// Orders a run to end, if `source` ordered it.
    pub fn stop_for(&mut self, source: Source, attempt: Attempt) {
        let commanded = self.backend.as_ref().and_then(|backend| backend.assignments.get(&attempt));
        if commanded.is_some_and(|assignment| assignment.source == source) {
            self.stop(attempt);
        }
    }

    /// Ends an entry's lease and stops its runs. Answers whether none is left.
    pub fn release(&mut self, now_ms: u64, entry: Entry) -> bool {
        if let Some(until_ms) = self.leases.swap_remove(&entry) {
            self.released.insert(entry, until_ms);
        }
        self.released.retain(|other, until_ms| *other == entry || *until_ms > now_ms);
        let attempts = self.attempts(|_, assignment| assignment.source == Source::Entry(entry));
        for attempt in &attempts {
            self.stop(*attempt);
        }
        self.attempts(|_, assignment| assignment.source == Source::Entry(entry)).is_empty()
    }

    /// Stops the runs of a job that an entry ordered. Answers whether there were any.
    pub fn cancel(&mut self, job: Id) -> bool {
        let attempts =
            self.attempts(|attempt, a| attempt.task.job == job && a.source != Source::Leader);
        for attempt in &attempts {
            if let Some(assignment) =
                self.backend.as_mut().and_then(|backend| backend.assignments.get_mut(attempt))
            {
                assignment.canceled = true;
            }
            self.stop(*attempt);
        }
        !attempts.is_empty()
    }

    /// The runs that were ordered and that `wanted` holds for.
    fn attempts(&self, wanted: impl Fn(&Attempt, &Assignment) -> bool) -> Vec<Attempt> {
        let assignments = self.backend.iter().flat_map(|backend| &backend.assignments);
        assignments
            .filter(|(attempt, assignment)| wanted(attempt, assignment))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Whether an order to stop has not been confirmed and still matters.
    pub fn stop_due(&self, attempt: Attempt) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.stop_due(&attempt))
    }

    /// The backend server has confirmed a stop: a run that is not there will not start.
    pub fn stopped(&mut self, now_ms: u64, attempt: Attempt) {
        if let Some(assignment) =
            self.backend.as_mut().and_then(|backend| backend.assignments.get_mut(&attempt))
        {
            assignment.state = State::Barred { at_ms: now_ms };
        }
    }

    /// What to tell the leader.
    pub fn report(&self, wait_ms: u64) -> Report {
        let backend = self.backend.as_ref().filter(|backend| !backend.unreachable);
        let describe = |backend: &Incarnation| Server {
            draining: backend.server.draining || self.stopping,
            ..backend.server.clone()
        };
        let clean = backend.filter(|backend| backend.clean);
        Report {
            sidecar: self.name.clone(),
            addr: self.addr,
            incarnation: self.incarnation,
            backend: match backend {
                Some(backend) => Backend::Present(describe(backend)),
                None if self.met => Backend::Lost,
                None => Backend::Unknown,
            },
            generation: self.generation,
            running: clean
                .filter(|backend| backend.reported_generation != self.generation)
                .map(Incarnation::of_leader),
            completions: clean
                .map_or_else(Vec::new, |backend| backend.completions.values().cloned().collect()),
            not_started: self.not_started.clone(),
            batch: self.batch,
            wait_ms,
        }
    }

    /// Takes the answer to a report that was sent at `sent_ms`.
    pub fn commanded(&mut self, now_ms: u64, sent_ms: u64, report: &Report, commands: Commands) {
        if commands.term < self.term || commands.generation < self.generation {
            log::info!("event=orders_outdated term={} known={}", commands.term, self.term);
            return;
        }
        self.term = commands.term;
        self.lease_until_ms = self.lease_until_ms.max(sent_ms + commands.lease_ms);
        if self.token == 0 {
            self.token = commands.generation;
            log::info!("event=fence token={}", self.token);
        }
        if commands.generation > self.generation {
            self.generation = commands.generation;
            self.batch = 0;
            self.early.clear();
            self.not_started.clear();
            self.actions.report_due |= self.clean();
            return;
        }
        let Some(backend) = &mut self.backend else { return };
        if report.backend.server().map(|s| &s.id) != Some(&backend.server.id)
            || report.generation != self.generation
        {
            return;
        }
        if report.running.is_some() {
            backend.reported_generation = self.generation;
        }
        backend.stored(commands.completions_stored);
        self.not_started.retain(|not| !report.not_started.contains(not));
        self.early.extend(commands.batches.into_iter().map(|batch| (batch.number, batch)));
        self.take_batches(now_ms);
    }

    /// Takes batches in their order; answers on one connection may overtake each other.
    fn take_batches(&mut self, now_ms: u64) {
        while let Some(entry) = self.early.first_entry() {
            if *entry.key() > self.batch + 1 {
                break;
            }
            let batch = entry.remove();
            if batch.number <= self.batch {
                continue;
            }
            self.batch = batch.number;
            for start in batch.starts {
                self.command(now_ms, Source::Leader, start, now_ms, now_ms);
            }
            for attempt in batch.stops {
                self.stop(attempt);
            }
        }
    }
}
