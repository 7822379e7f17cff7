//! Decisions of a sidecar about its backend server: which attempts start, wait, or are stopped.
//!
//! The leader of the control instances commands attempts of durable jobs. Entry instances, which
//! accept the callers' requests, command attempts of transient jobs. Each of these sources holds a
//! lease with the sidecar, and its attempts are stopped when that lease expires. A source that
//! cannot reach the sidecar therefore knows when all its attempts have ended.
//!
//! The backend server in turn holds a lease that the sidecar grants, and ends all its attempts when
//! that one expires.

mod backend;
mod leader;

use std::{collections::BTreeMap, net::SocketAddr};

use indexmap::IndexMap;

use crate::protocol::{
    queue::{self, Attempt, Id},
    wire::{
        queue::{Batch, Completion, Crash, NotStarted, Reason, Server, Start},
        work::{self, Entry, Load, Revision},
    },
};
use backend::{Assignment, BackendServer, State};

/// Remaining time of a source's lease below which its attempts do not start, in ms.
const START_MARGIN_MS: u64 = 50;
/// Longest time from a poll to its failure, in ms. A poll that fails later was not waited for: this
/// process was suspended, and the server's answer may wait to be read.
const POLL_AGE_MAX_MS: u64 = 700;
/// Time after the release of a lease within which delayed messages of its connection may still
/// carry a lease that has not expired, in ms. Entries take leases of less than half of this.
const RELEASED_MS: u64 = 2_500;
/// Longest time by which the backend server's lease may outlast that of a source with attempts
/// there, in ms. Callers send a job again 1,300 ms after they have lost an entry, whose lease is
/// 700 ms, which leaves 100 ms for the entry to hear of it. The leader starts a task again 1,200 ms
/// after its lease has expired. A sidecar that is suspended stops nothing itself.
const OUTLAST_MAX_MS: u64 = 500;
/// Incarnations of the backend server that get fencing tokens of their own under one generation.
const INCARNATIONS_MAX: u64 = 1 << 10;
/// Maximum number of attempts that wait for free capacity.
const WAITING_MAX: usize = 64;

/// Who commanded an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    Leader,
    Entry(Entry),
}

/// Next poll of the backend server, which renews the server's lease and fetches completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    /// Fencing token: the backend server refuses calls with a lower one than it has received.
    pub fence: u64,
    /// Completions with numbers up to this one are acknowledged.
    pub acknowledged: u64,
    /// New expiry of the backend server's lease, on the server's clock; `None` leaves the lease as
    /// it is.
    pub lease_until_ms: Option<u64>,
}

/// Answer of a backend server to a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// Time of the reply on the server's clock.
    pub clock_ms: u64,
    pub running: Vec<Attempt>,
    pub completions: Vec<Completion>,
}

/// Result of a request to start an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    Started,
    NotStarted(Reason),
    /// There was no answer: the request may have been carried out, or may be carried out later.
    Unknown,
}

/// Output of the decisions since the last call: what the caller is to carry out.
#[derive(Debug, Default, PartialEq)]
pub struct Actions {
    pub starts: Vec<Start>,
    pub stops: Vec<Attempt>,
    /// Outcomes of entries' start commands, with the time from start to end in ms.
    pub replies: Vec<(Entry, Attempt, work::Outcome, u64)>,
    /// Whether there is something to report to the leader.
    pub report_due: bool,
}

/// State of a sidecar. Times are ms on a monotonic clock that counts suspended time.
#[derive(Debug)]
pub struct Sidecar {
    name: String,
    addr: SocketAddr,
    /// Random number that identifies this process of the sidecar.
    incarnation: u64,
    /// Length of each lease granted to the backend server.
    backend_lease_ms: u64,
    backend: Option<BackendServer>,
    /// How often a backend server has counted as lost or has left.
    losses: u64,
    /// Number of reports built.
    reports: u64,
    /// Whether any backend server has announced itself since this process started.
    announced: bool,
    /// Fencing token of this process of the sidecar; 0 until a leader has assigned one.
    token: u64,
    /// Number of incarnations of the backend server seen by this process. The fencing token rises
    /// with it, so that an incarnation under a known id refuses delayed calls to the earlier one.
    incarnations: u64,
    /// Version of the description of the backend server.
    revision: Revision,
    /// Highest term of a leader whose commands were received.
    term: u64,
    /// Generation of the registration with the leader. Under a new one, the sidecar reports the
    /// leader's running attempts again.
    generation: u64,
    /// Expiry of the lease that the leader holds with this sidecar.
    lease_until_ms: u64,
    /// Number of the newest batch of commands that was handled.
    batch: u64,
    /// Batches received before their predecessors.
    out_of_order: BTreeMap<u64, Batch>,
    /// Attempts commanded by the leader that will not start; kept until a report of them is
    /// answered.
    not_started: Vec<NotStarted>,
    /// Crashes of the backend server that the leader has not stored yet.
    crashes: Vec<Crash>,
    /// Number of the last crash.
    last_crash: u64,
    /// Expiry of the lease of each connection of an entry. An `Entry` id stands for one connection.
    leases: IndexMap<Entry, u64>,
    /// Connections of entries whose leases were released, and until when delayed messages of them
    /// may arrive.
    released: IndexMap<Entry, u64>,
    /// Whether all start commands are refused, and the server is reported as draining.
    draining: bool,
    actions: Actions,
}

impl Sidecar {
    /// `addr` is where entries reach this sidecar; `incarnation` is a random number drawn when the
    /// process started; each lease of the backend server has a length of `backend_lease_ms`.
    pub fn new(name: String, addr: SocketAddr, incarnation: u64, backend_lease_ms: u64) -> Sidecar {
        Sidecar {
            name,
            addr,
            incarnation,
            backend_lease_ms,
            backend: None,
            losses: 0,
            reports: 0,
            announced: false,
            token: 0,
            incarnations: 0,
            revision: Revision::default(),
            term: 0,
            generation: 0,
            lease_until_ms: 0,
            batch: 0,
            out_of_order: BTreeMap::new(),
            not_started: Vec::new(),
            crashes: Vec::new(),
            last_crash: 0,
            leases: IndexMap::new(),
            released: IndexMap::new(),
            draining: false,
            actions: Actions::default(),
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the actions decided on since the last call.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Handles an announcement of the backend server. A new incarnation of the server replaces the
    /// known one, and the attempts of the replaced one are lost. If it has the same id, it may have
    /// received calls to start them before it announced itself, so they are reported as lost only
    /// once it is known that none of them runs.
    pub fn announce(&mut self, now_ms: u64, server: Server, addr: SocketAddr, seq: u64) {
        match &mut self.backend {
            Some(backend) if backend.server.id == server.id => {
                if backend.update(&server, addr, seq) {
                    self.revision.change += 1;
                    self.actions.report_due = true;
                }
                self.dispatch(now_ms);
            }
            Some(backend) if server.id.started_at_ms < backend.server.id.started_at_ms => {
                log::info!("event=announcement_outdated server={}", server.id);
            }
            _ => {
                log::info!("event=server server={} service={}", server.id, server.service);
                if let Some(backend) = &mut self.backend
                    && !backend.lost
                {
                    backend.unaccounted = backend.sent();
                }
                self.record_crash();
                let earlier = self.backend.take();
                let mut backend =
                    BackendServer::new(now_ms, server, addr, seq, self.backend_lease_ms);
                let lost = earlier.map(|earlier| backend.inherit(earlier)).unwrap_or_default();
                self.backend = Some(backend);
                self.end_all(lost, work::Outcome::Lost);
                self.announced = true;
                self.incarnations = INCARNATIONS_MAX.min(self.incarnations + 1);
                self.revision = Revision { incarnation: self.revision.incarnation + 1, change: 0 };
                self.actions.report_due = true;
            }
        }
    }

    /// Handles the backend server's notice that it has left.
    pub fn leave(&mut self, id: &str) {
        if self.backend.as_ref().is_some_and(|backend| backend.server.id.id == id) {
            log::info!("event=server_left server={id}");
            self.discard_backend(work::Outcome::Stopped);
            self.actions.report_due = true;
        }
    }

    /// Refuses all start commands from now on.
    pub fn drain(&mut self) {
        self.draining = true;
        self.actions.report_due = true;
    }

    /// Drops the present incarnation of the backend server: nothing runs there any more. `outcome`
    /// is that of the attempts that were running.
    fn discard_backend(&mut self, outcome: work::Outcome) {
        let Some(mut backend) = self.backend.take() else { return };
        self.losses += 1;
        let ended = backend.mark_lost();
        self.end_all(ended, outcome);
    }

    /// Records `outcome` for attempts that the backend server was called to start. Those that were
    /// waiting for free capacity have not started.
    fn end_all(&mut self, assignments: IndexMap<Attempt, Assignment>, outcome: work::Outcome) {
        for (attempt, assignment) in assignments {
            let outcome = match assignment.state {
                State::Waiting => work::Outcome::NotStarted(Reason::Unavailable),
                _ => outcome,
            };
            self.record_outcome(attempt, &assignment, outcome, 0);
        }
    }

    /// Records the outcome of a start command for the source that sent it: a reply to an entry, or
    /// a `NotStarted` in the next report to the leader. The leader receives other outcomes as
    /// completions, or when the backend server is reported as lost or under a new incarnation.
    fn record_outcome(
        &mut self,
        attempt: Attempt,
        assignment: &Assignment,
        outcome: work::Outcome,
        took_ms: u64,
    ) {
        let outcome = match outcome {
            work::Outcome::Stopped | work::Outcome::Lost | work::Outcome::NotStarted(_)
                if assignment.canceled =>
            {
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

    /// Returns the backend server and its address.
    pub fn server(&self) -> Option<(&Server, SocketAddr)> {
        self.backend.as_ref().map(|backend| (&backend.server, backend.addr))
    }

    /// Version of the description of the backend server.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether attempts wait or run, or may be running.
    pub fn busy(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| !backend.assignments.is_empty())
    }

    /// Returns the load of the backend server, for entries.
    pub fn load(&self) -> Load {
        let Some(backend) = &self.backend else {
            return Load { revision: self.revision, ..Load::default() };
        };
        Load {
            revision: self.revision,
            open: backend.may_start() && !self.draining,
            used: backend.used,
            queued: backend.waiting_resources(),
        }
    }

    /// Whether a poll has shown that no attempt runs at the backend server without an assignment
    /// here, such as one that an earlier process of the sidecar started.
    pub fn clean(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.found_clean)
    }

    /// Returns the next poll of the backend server; `None` if there is no server, and until a
    /// leader has assigned a fencing token. The lease in the poll counts as granted at once, since
    /// a call without an answer may have been carried out.
    pub fn poll(&mut self, now_ms: u64) -> Option<Poll> {
        let limit_ms = self.backend_lease_limit();
        let backend = self.backend.as_mut().filter(|_| self.token > 0)?;
        backend.end_lapse(now_ms);
        Some(Poll {
            fence: self.token * (INCARNATIONS_MAX + 1) + self.incarnations,
            acknowledged: backend.acknowledged(),
            lease_until_ms: backend.lease(now_ms, self.backend_lease_ms, limit_ms),
        })
    }

    /// Returns when a new lease of the backend server has to expire at the latest, so that no
    /// attempt outlasts the lease of its source for long. For an attempt that is being stopped, that
    /// is the lease at the time of the stop. While an attempt without a lease is being stopped, this is
    /// in the past.
    fn backend_lease_limit(&self) -> Option<u64> {
        let backend = self.backend.as_ref()?;
        let assigned = backend.assignments.values().chain(backend.inherited.values());
        let expiries = assigned.map(|assignment| {
            let until_ms = self.lease_until(assignment.source);
            assignment.stop_lease_ms.map_or(until_ms, |stop_ms| stop_ms.min(until_ms))
        });
        expiries.min().map(|until_ms| until_ms + OUTLAST_MAX_MS)
    }

    /// Returns when the lease of `source` expires, 0 if it has none.
    fn lease_until(&self, source: Source) -> u64 {
        match source {
            Source::Leader => self.lease_until_ms,
            Source::Entry(entry) => self.leases.get(&entry).copied().unwrap_or_default(),
        }
    }

    /// Whether a leader has assigned a fencing token, without which the backend server cannot be
    /// called.
    pub fn has_fencing_token(&self) -> bool {
        self.token > 0
    }

    /// Whether a poll may ask the backend server to delay its answer until an attempt has ended.
    pub fn may_wait(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.found_clean && !backend.unresponsive())
    }

    /// Handles the backend server's answer to a poll that was sent at `sent_ms`. An answer that
    /// arrives after a newer one is ignored.
    pub fn polled(&mut self, sent_ms: u64, now_ms: u64, reply: PollReply) {
        let Some(backend) = &mut self.backend else { return };
        if !backend.record_clock(reply.clock_ms, now_ms) {
            return;
        }
        if std::mem::take(&mut backend.lost) {
            // The server was cut off or stalled, and has not crashed.
            backend.unaccounted.clear();
            log::info!("event=server_reachable server={}", backend.server.id);
            self.actions.report_due = true;
        }
        for completion in reply.completions {
            self.complete(now_ms, completion);
        }
        self.compare_running(sent_ms, now_ms, &reply.running);
        self.dispatch(now_ms);
    }

    /// Handles a completion from the backend server's list. The leader receives those of its own
    /// attempts and those of attempts that are not assigned here.
    fn complete(&mut self, now_ms: u64, completion: Completion) {
        let Some(backend) = &mut self.backend else { return };
        if !backend.record_completion(completion.number) {
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
            self.record_outcome(
                attempt,
                &assignment,
                outcome,
                now_ms.saturating_sub(assignment.called_ms),
            );
        }
    }

    /// Compares the attempts that run with those that are assigned. Stops running ones that are not
    /// assigned, and removes assigned ones that were stopped and do not run. The list of running
    /// attempts answers a poll that was sent at `sent_ms`.
    fn compare_running(&mut self, sent_ms: u64, now_ms: u64, running: &[Attempt]) {
        let Some(backend) = &mut self.backend else { return };
        let mut foreign = 0;
        for attempt in running {
            match backend.assignments.get_mut(attempt) {
                Some(assignment) => assignment.confirm_running(),
                None => {
                    foreign += 1;
                    // Nobody waits for an attempt that is not assigned here.
                    if backend.record_foreign(now_ms, *attempt) {
                        log::info!("event=run_not_wanted run={attempt}");
                        self.actions.stops.push(*attempt);
                    }
                }
            }
        }
        let absent_earlier = match foreign == 0 && !backend.found_clean {
            true => {
                backend.found_clean = true;
                self.actions.report_due = true;
                std::mem::take(&mut backend.inherited)
            }
            false => IndexMap::new(),
        };
        self.end_all(absent_earlier, work::Outcome::Lost);
        let Some(backend) = &mut self.backend else { return };
        let absent: Vec<Attempt> = backend.absent_after_stop(sent_ms, running);
        for attempt in absent {
            if let Some(assignment) =
                self.backend.as_mut().and_then(|backend| backend.remove(&attempt))
            {
                self.record_outcome(
                    attempt,
                    &assignment,
                    work::Outcome::NotStarted(Reason::NoAnswer),
                    0,
                );
            }
        }
    }

    /// Handles a poll, sent at `sent_ms`, that the backend server did not answer; `refused` if
    /// nothing listens at its address. The server counts as lost once its lease has expired or its
    /// process is gone. Only in the second case has it crashed under its attempts.
    pub fn poll_failed(&mut self, sent_ms: u64, now_ms: u64, refused: bool) {
        let Some(backend) = &mut self.backend else { return };
        if sent_ms + POLL_AGE_MAX_MS < now_ms {
            log::info!("event=suspended for_ms={}", now_ms - sent_ms);
            return;
        }
        if backend.answered_since(sent_ms) {
            return;
        }
        if !backend.poll_failed(now_ms, refused) {
            if backend.gone() {
                self.record_crash();
            }
            return;
        }
        log::warn!("event=server_unreachable server={} refused={refused}", backend.server.id);
        let gone = backend.gone();
        let ended = backend.mark_lost();
        self.losses += 1;
        if gone {
            self.record_crash();
        }
        let outcome = if gone { work::Outcome::Lost } else { work::Outcome::Stopped };
        self.end_all(ended, outcome);
        self.actions.report_due = true;
    }

    /// Renews the lease of an entry's connection, which expires at `until_ms`. A released lease
    /// stays released: for it, only the time until which delayed messages may arrive is extended.
    pub fn renew(&mut self, entry: Entry, until_ms: u64) {
        let leases = match self.released.contains_key(&entry) {
            true => &mut self.released,
            false => &mut self.leases,
        };
        let lease = leases.entry(entry).or_insert(0);
        *lease = until_ms.max(*lease);
    }

    /// Stops the attempts of sources whose leases have expired.
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

    /// Handles a start command. The attempt may wait for free capacity until `until_ms`. Of the
    /// attempts that wait, the one with the lowest `due_ms`, which is the latest start at which its
    /// job would be on time, starts first.
    pub fn handle_start(
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
            Some(backend) if !backend.may_start() || self.draining => Some(Reason::Unavailable),
            Some(backend) if backend.assignments.contains_key(&attempt) => Some(Reason::Expired),
            Some(backend) if backend.waiting_count() >= WAITING_MAX => Some(Reason::NoCapacity),
            Some(_) => None,
        };
        if let Some(reason) = refusal {
            return self.record_outcome(attempt, &assignment, work::Outcome::NotStarted(reason), 0);
        }
        if let Some(backend) = &mut self.backend {
            backend.assignments.insert(attempt, assignment);
        }
        self.dispatch(now_ms);
    }

    /// Handles the start command of an entry as [`Sidecar::handle_start`] does. It is refused if the
    /// entry has chosen another incarnation of the backend server, or if the lease in the command has
    /// expired: later renewals do not show that the entry still wants the attempt.
    pub fn handle_entry_start(&mut self, now_ms: u64, command: work::StartCommand) {
        let work::StartCommand { entry, incarnation, lease_until_ms, start, due_ms, wait_ms } =
            command;
        let (source, until_ms) = (Source::Entry(entry), now_ms + wait_ms);
        let refusal = if incarnation != self.revision.incarnation {
            Reason::Replaced
        } else if lease_until_ms < now_ms + START_MARGIN_MS {
            Reason::Expired
        } else {
            return self.handle_start(now_ms, source, start, due_ms, until_ms);
        };
        let attempt = start.attempt;
        let assignment = Assignment::new(source, start, due_ms, until_ms);
        self.record_outcome(attempt, &assignment, work::Outcome::NotStarted(refusal), 0);
    }

    /// Starts waiting attempts that may start, the most urgent first, and refuses those that have
    /// waited too long.
    fn dispatch(&mut self, now_ms: u64) {
        let Some(backend) = &self.backend else { return };
        let lease_until = |attempt: &Attempt| {
            backend.assignments.get(attempt).map_or(0, |a| self.lease_until(a.source))
        };
        let waiting: Vec<(Attempt, u64)> = backend
            .waiting_by_urgency()
            .into_iter()
            .map(|attempt| (attempt, lease_until(&attempt)))
            .collect();
        let Some(backend) = &mut self.backend else { return };
        let may_start = backend.may_start() && !self.draining;
        let mut refused = Vec::new();
        for (attempt, lease_until_ms) in waiting {
            let assignment = &backend.assignments[&attempt];
            let has_capacity = backend.has_capacity(&assignment.start.needs);
            // A lease that the server has already cannot be shortened for the attempt.
            let outlasted = backend.lease_expires_after(lease_until_ms + OUTLAST_MAX_MS);
            let may_begin = has_capacity && !outlasted && !backend.runs_other_attempt(&attempt);
            let reason = if !may_start {
                Reason::Unavailable
            } else if lease_until_ms < now_ms + START_MARGIN_MS {
                Reason::Expired
            } else if may_begin {
                if let Some(start) = backend.begin(now_ms, &attempt) {
                    self.actions.starts.push(start);
                }
                continue;
            } else if now_ms < assignment.until_ms {
                continue;
            } else if has_capacity {
                Reason::Expired
            } else {
                Reason::NoCapacity
            };
            if let Some(assignment) = backend.remove(&attempt) {
                refused.push((attempt, assignment, reason));
            }
        }
        for (attempt, assignment, reason) in refused {
            self.record_outcome(attempt, &assignment, work::Outcome::NotStarted(reason), 0);
        }
    }

    /// Handles the result of a request to the backend server to start an attempt.
    pub fn start_answered(&mut self, now_ms: u64, attempt: Attempt, result: StartResult) {
        let Some(backend) = &mut self.backend else { return };
        let Some(assignment) = backend.assignments.get_mut(&attempt) else { return };
        match result {
            StartResult::Started => assignment.confirm_running(),
            StartResult::NotStarted(reason) => {
                if let Some(assignment) = backend.remove(&attempt) {
                    self.record_outcome(attempt, &assignment, work::Outcome::NotStarted(reason), 0);
                }
                self.dispatch(now_ms);
            }
            StartResult::Unknown if assignment.state == State::Running => {}
            StartResult::Unknown => {
                assignment.state = State::Unanswered;
                self.actions.stops.push(attempt);
            }
        }
    }

    /// Stops an attempt; one that waits for capacity is refused at once.
    pub fn stop(&mut self, attempt: Attempt) {
        let Some(assignment) = self.assignment(&attempt) else { return };
        let lease_until_ms = self.lease_until(assignment.source);
        let Some(backend) = &mut self.backend else { return };
        let Some(assignment) = backend.assignments.get_mut(&attempt) else { return };
        if assignment.state == State::Waiting {
            if let Some(assignment) = backend.remove(&attempt) {
                self.record_outcome(
                    attempt,
                    &assignment,
                    work::Outcome::NotStarted(Reason::Expired),
                    0,
                );
            }
        } else if assignment.stop_lease_ms.is_none() {
            assignment.stop_lease_ms = Some(lease_until_ms);
            self.actions.stops.push(attempt);
        }
    }

    fn assignment(&self, attempt: &Attempt) -> Option<&Assignment> {
        self.backend.as_ref()?.assignments.get(attempt)
    }

    /// Stops an attempt if `source` commanded it.
    pub fn stop_for(&mut self, source: Source, attempt: Attempt) {
        if self.assignment(&attempt).is_some_and(|assignment| assignment.source == source) {
            self.stop(attempt);
        }
    }

    /// Ends the lease of an entry's connection and stops the attempts commanded over it. Returns
    /// whether none of them is left. This id gets no new lease while delayed messages under it may
    /// still arrive; the entry opens a new connection under another id.
    pub fn release(&mut self, now_ms: u64, entry: Entry) -> bool {
        let lease_ms = self.leases.swap_remove(&entry).unwrap_or(0);
        let until_ms = self.released.entry(entry).or_insert(0);
        *until_ms = (*until_ms).max(lease_ms).max(now_ms + RELEASED_MS);
        self.released.retain(|_, until_ms| *until_ms > now_ms);
        let attempts = self.attempts(|_, assignment| assignment.source == Source::Entry(entry));
        for attempt in &attempts {
            self.stop(*attempt);
        }
        let inherited = self.backend.iter().flat_map(|backend| backend.inherited.values());
        let mut left = inherited.chain(self.backend.iter().flat_map(|b| b.assignments.values()));
        !left.any(|assignment| assignment.source == Source::Entry(entry))
    }

    /// Cancels a transient job: stops its attempts, whichever entry commanded them. Returns whether
    /// there were any.
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

    /// Returns the assigned attempts for which `wanted` is true.
    fn attempts(&self, wanted: impl Fn(&Attempt, &Assignment) -> bool) -> Vec<Attempt> {
        let assignments = self.backend.iter().flat_map(|backend| &backend.assignments);
        assignments
            .filter(|(attempt, assignment)| wanted(attempt, assignment))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Whether a stop of the attempt is still wanted and has not been confirmed.
    pub fn stop_due(&self, attempt: Attempt) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.stop_due(&attempt))
    }

    /// Handles the backend server's confirmation of a stop: from now on the attempt cannot start
    /// there if it does not run already.
    pub fn stop_confirmed(&mut self, now_ms: u64, attempt: Attempt) {
        if let Some(assignment) =
            self.backend.as_mut().and_then(|backend| backend.assignments.get_mut(&attempt))
        {
            assignment.state = State::StopConfirmed { at_ms: now_ms };
        }
    }
}
