//! Decisions of a sidecar about its backend server: which attempts start, wait, or are stopped.
//!
//! The leader of the control instances commands attempts of durable jobs. Entry instances, which
//! accept the callers' requests, command attempts of transient jobs. Each of these sources holds a
//! lease with the sidecar, and its attempts are stopped when that lease expires. A source that
//! cannot reach the sidecar therefore knows when all its attempts have ended.
//!
//! The backend server in turn holds a lease that the sidecar grants, and ends all its attempts when
//! that one expires.

mod announce;
mod backend;
mod drain;
mod leader;
mod poll;
pub mod progress;
mod stall;
mod start;
mod warmup;

use std::{collections::BTreeMap, net::SocketAddr};

use indexmap::IndexMap;

use crate::protocol::{
    queue::{Attempt, Id, Resources},
    wire::{
        queue::{Batch, Completion, Crash, Drains, NotStarted, Reason, Server, Start},
        work::{self, Entry, Load, Revision},
    },
};
use announce::Candidate;
pub use announce::{Check, Identity};
use backend::{Assignment, BackendServer, Proof, State};
use progress::Admission;

/// Time after the release of a lease within which delayed messages of its connection may still
/// carry a lease that has not expired, in ms. Entries take leases of less than half of this.
const RELEASED_MS: u64 = 2_500;
/// Longest time by which the backend server's lease may outlast that of a source with attempts
/// there, in ms. Callers send a job again 1,300 ms after they have lost an entry, whose lease is
/// 700 ms, which leaves 100 ms for the entry to hear of it. The leader starts a task again 1,200 ms
/// after its lease has expired. A sidecar that is suspended stops nothing itself.
const OUTLAST_MAX_MS: u64 = 500;
/// Longest time from a call without an answer until the backend server has carried it out and what it
/// started has ended, in ms: 12 s until it is carried out, then a lease.
pub const LATE_CALL_MAX_MS: u64 = 13_000;
/// Epochs of the backend server that get fencing tokens of their own under one generation. Tokens stay
/// exact in JSON readers that use floating point for 8,000 terms of leaders.
const EPOCHS_MAX: u64 = 1 << 16;

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

/// A running attempt in an answer to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    pub attempt: Attempt,
    /// How much of it is done, in percent; `None` if the server does not tell.
    pub progress: Option<u8>,
}

/// Answer of a backend server to a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// Time of the reply on the server's clock.
    pub clock_ms: u64,
    pub running: Vec<Running>,
    /// The first completions that are not acknowledged.
    pub completions: Vec<Completion>,
    /// Whether the server may hold more completions than the answer has room for. Those of attempts
    /// that are not in `running` may be among them.
    pub truncated: bool,
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
    /// Announced servers, to be called until they are no candidates any more.
    pub checks: Vec<Identity>,
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
    /// As in [`Sidecar::with_stall_detection`].
    stall_ms: Option<u64>,
    backend: Option<BackendServer>,
    /// Announced servers that have not answered.
    candidates: Vec<Candidate>,
    /// How often a backend server has counted as lost.
    losses: u64,
    /// Number of reports built.
    reports: u64,
    /// Whether any backend server has answered since this process started.
    announced: bool,
    /// Fencing token of this process of the sidecar; 0 until a leader has assigned one.
    token: u64,
    /// Number of times that a backend server has become known to this process, was lost, or did not
    /// answer a call with a lease. The fencing token rises with it, so that the server refuses delayed
    /// calls from before: those to an earlier incarnation with its id, and those that got no answer.
    epoch: u64,
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
    drains: Drains,
    /// Covers the needs of each attempt that has started.
    largest_needs: Resources,
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
            stall_ms: None,
            backend: None,
            candidates: Vec::new(),
            losses: 0,
            reports: 0,
            announced: false,
            token: 0,
            epoch: 0,
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
            drains: Drains::default(),
            largest_needs: Resources::default(),
            actions: Actions::default(),
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the actions decided on since the last call.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Refuses all start commands from now on.
    pub fn drain(&mut self) {
        self.draining = true;
        self.actions.report_due = true;
    }

    /// Raises the fencing token of the calls that are built from now on. Returns false if there is no
    /// higher one.
    fn begin_epoch(&mut self) -> bool {
        if self.epoch == EPOCHS_MAX {
            return false;
        }
        self.epoch += 1;
        if self.epoch == EPOCHS_MAX {
            log::warn!("event=fencing_tokens_exhausted token={}", self.token);
        }
        true
    }

    /// Raises the fencing token, so that the backend server refuses the calls from before that it has
    /// not carried out yet: starts, and polls that would prolong its lease. Returns false if there is
    /// no higher one.
    fn raise_fence(&mut self, now_ms: u64) -> bool {
        let raised = self.begin_epoch();
        if let Some(backend) = self.backend.as_mut().filter(|_| raised) {
            backend.record_fence(now_ms);
        }
        raised
    }

    /// Records the outcome of attempts that have ended at the backend server. Those that were
    /// waiting for free capacity have not started.
    fn end_all(&mut self, assignments: IndexMap<Attempt, Assignment>, proof: Proof) {
        if assignments.is_empty() {
            return;
        }
        let count = |counted: fn(&State) -> bool| {
            assignments.values().filter(|assignment| counted(&assignment.state)).count()
        };
        log::info!(
            "event=runs_ended proof={proof:?} waiting={} unconfirmed={} running={} stopped={}",
            count(|state| *state == State::Waiting),
            count(|state| state.is_unconfirmed()),
            count(|state| *state == State::Running),
            count(|state| matches!(state, State::StopConfirmed { .. })),
        );
        for (attempt, assignment) in assignments {
            let outcome = match assignment.state {
                State::Waiting => work::Outcome::NotStarted(Reason::Unavailable),
                state => {
                    if state.is_unconfirmed() {
                        log::info!("event=unconfirmed_run_ended run={attempt} proof={proof:?}");
                    }
                    proof.outcome(&assignment)
                }
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
            work::Outcome::Stopped | work::Outcome::Lost(_) | work::Outcome::NotStarted(_)
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
    pub fn load(&self, now_ms: u64) -> Load {
        let Some(backend) = &self.backend else {
            return Load { revision: self.revision, lost: true, ..Load::default() };
        };
        Load {
            revision: self.revision,
            open: backend.may_start()
                && !self.is_closed()
                && backend.admission(now_ms) != Admission::None,
            lost: backend.lost,
            used: backend.shown_used(now_ms, &self.largest_needs),
            queued: backend.waiting_resources(),
            watches_progress: backend.watches_progress(),
        }
    }

    /// Whether a poll has shown that no attempt runs at the backend server without an assignment
    /// here, such as one that an earlier process of the sidecar started.
    pub fn clean(&self) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.found_clean)
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
        let Some(backend) = &mut self.backend else { return false };
        let assigned = backend.assignments.iter_mut().chain(&mut backend.inherited);
        let of_job =
            assigned.filter(|(attempt, a)| attempt.task.job == job && a.source != Source::Leader);
        let mut attempts = Vec::new();
        for (attempt, assignment) in of_job {
            assignment.canceled = true;
            attempts.push(*attempt);
        }
        for attempt in &attempts {
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
