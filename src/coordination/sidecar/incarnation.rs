//! One incarnation of the backend server: clock, lease, what runs, and what has ended.

use std::{collections::BTreeMap, net::SocketAddr};

use indexmap::IndexMap;

use super::Source;
use crate::protocol::{
    queue::{Attempt, Resources},
    wire::queue::{Completion, Server, Start},
};

/// Rate of the slowest clock that a backend server may have, against this one.
const CLOCK_SLOWEST: f64 = 0.98;
/// Time after the end of a lease before a silent backend server counts as lost, in ms.
const LAPSE_SLACK_MS: u64 = 100;
/// Polls in a row without an answer after which no lease is renewed and nothing is started. One
/// may get lost.
const SILENCES_MAX: u32 = 2;
/// Refused connections in a row after which a backend server counts as lost.
const REFUSALS_MAX: u32 = 2;
/// Pause before a run of an earlier incarnation is ordered to stop again, in ms.
const FOREIGN_STOP_MS: u64 = 300;

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// It waits for room.
    Waiting,
    /// The order is under way.
    Sent,
    Running,
    /// The order had no answer: it must be stopped before it counts as not started.
    Unsure,
    /// The backend server has confirmed that the run ends, or cannot start from now on.
    Barred {
        at_ms: u64,
    },
}

/// An attempt that the leader or an entry has assigned to this sidecar, and its state.
#[derive(Debug)]
pub(super) struct Assignment {
    pub source: Source,
    pub start: Start,
    pub due_ms: u64,
    /// Until when it may wait for room.
    pub until_ms: u64,
    pub state: State,
    pub stopping: bool,
    /// Whether its job was cancelled through another entry than the one that ordered it.
    pub canceled: bool,
    /// When the start was ordered at the backend server.
    pub commanded_ms: u64,
}

impl Assignment {
    pub fn new(source: Source, start: Start, due_ms: u64, until_ms: u64) -> Assignment {
        Assignment {
            source,
            start,
            due_ms,
            until_ms,
            state: State::Waiting,
            stopping: false,
            canceled: false,
            commanded_ms: 0,
        }
    }

    /// It is known to be at work.
    pub fn seen(&mut self) {
        if matches!(self.state, State::Sent | State::Unsure) {
            self.state = State::Running;
        }
    }
}

/// One incarnation of the backend server.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub server: Server,
    pub addr: SocketAddr,
    seq: u64,
    /// The server's clock and when it was read.
    clock: Option<(u64, u64)>,
    /// When the last lease that was asked for ends at the latest.
    lease_until_ms: u64,
    /// Polls in a row without an answer.
    silences: u32,
    refusals: u32,
    pub unreachable: bool,
    /// Whether nothing of an earlier incarnation is left.
    pub clean: bool,
    /// The leader's view to which all that runs was reported.
    pub reported_generation: u64,
    pub assignments: IndexMap<Attempt, Assignment>,
    pub used: Resources,
    foreign: IndexMap<Attempt, u64>,
    /// Ends that the leader has not stored yet.
    pub completions: BTreeMap<u64, Completion>,
    newest_completion: u64,
}

impl Incarnation {
    pub fn new(server: Server, addr: SocketAddr, seq: u64) -> Incarnation {
        Incarnation {
            server,
            addr,
            seq,
            clock: None,
            lease_until_ms: 0,
            silences: 0,
            refusals: 0,
            unreachable: false,
            clean: false,
            reported_generation: 0,
            assignments: IndexMap::new(),
            used: Resources::default(),
            foreign: IndexMap::new(),
            completions: BTreeMap::new(),
            newest_completion: 0,
        }
    }

    /// Takes a further announcement of this incarnation. Returns whether something has changed.
    pub fn announced(&mut self, server: &Server, addr: SocketAddr, seq: u64) -> bool {
        if seq <= self.seq {
            log::info!("event=announcement_outdated server={} seq={seq}", server.id);
            return false;
        }
        self.seq = seq;
        self.addr = addr;
        let changed = self.server != *server;
        self.server = server.clone();
        changed
    }

    /// Whether tasks may start.
    pub fn open(&self) -> bool {
        self.clean && !self.unreachable && !self.silent() && !self.server.draining
    }

    /// Takes the server's clock from an answer. Returns whether it is the newest so far.
    pub fn read_clock(&mut self, clock_ms: u64, now_ms: u64) -> bool {
        if self.clock.is_some_and(|(newest_ms, _)| clock_ms < newest_ms) {
            return false;
        }
        self.clock = Some((clock_ms, now_ms));
        self.refusals = 0;
        self.silences = 0;
        true
    }

    /// Whether an answer has come after `sent_ms`.
    pub fn answered_since(&self, sent_ms: u64) -> bool {
        self.clock.is_some_and(|(_, read_ms)| read_ms > sent_ms)
    }

    /// End of a new lease of `lease_ms` on the server's clock, if that is known. A silent server
    /// gets none, so that what runs there ends.
    pub fn lease(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock.filter(|_| !self.silent())?;
        self.lease_until_ms = now_ms + (lease_ms as f64 / CLOCK_SLOWEST) as u64;
        let since_ms = now_ms.saturating_sub(read_ms) as f64 * CLOCK_SLOWEST;
        Some(clock_ms + since_ms as u64 + lease_ms)
    }

    /// Whether several polls in a row had no answer.
    pub fn silent(&self) -> bool {
        self.silences >= SILENCES_MAX
    }

    /// Whether a silent server counts as lost from now on: its leases have ended, or it is gone.
    pub fn lapsed(&mut self, now_ms: u64, refused: bool) -> bool {
        self.silences += 1;
        self.refusals = if refused { self.refusals + 1 } else { 0 };
        let gone = self.refusals >= REFUSALS_MAX;
        !self.unreachable && (gone || now_ms >= self.lease_until_ms + LAPSE_SLACK_MS)
    }

    /// Forgets all that ran; the server is lost for now.
    pub fn reset(&mut self) -> IndexMap<Attempt, Assignment> {
        self.unreachable = true;
        self.clean = false;
        self.reported_generation = 0;
        self.used = Resources::default();
        std::mem::take(&mut self.assignments)
    }

    pub fn has_room(&self, needs: &Resources) -> bool {
        let mut used = self.used;
        used.add(needs);
        self.server.capacity.fits(&used)
    }

    /// Tasks that wait for room, the most urgent first.
    pub fn queue(&self) -> Vec<Attempt> {
        let waiting = self.assignments.iter().filter(|(_, a)| a.state == State::Waiting);
        let mut queue: Vec<(u64, Attempt)> =
            waiting.map(|(attempt, a)| (a.due_ms, *attempt)).collect();
        queue.sort_unstable();
        queue.into_iter().map(|(_, attempt)| attempt).collect()
    }

    pub fn waiting(&self) -> usize {
        self.assignments.values().filter(|a| a.state == State::Waiting).count()
    }

    /// Resources of what waits for room.
    pub fn queued(&self) -> Resources {
        let mut queued = Resources::default();
        let waiting = self.assignments.values().filter(|a| a.state == State::Waiting);
        waiting.for_each(|assignment| queued.add(&assignment.start.needs));
        queued
    }

    /// Takes the resources of a waiting run, which is to be started now.
    pub fn begin(&mut self, now_ms: u64, attempt: &Attempt) -> Option<Start> {
        let assignment = self.assignments.get_mut(attempt)?;
        assignment.state = State::Sent;
        assignment.commanded_ms = now_ms;
        self.used.add(&assignment.start.needs);
        Some(assignment.start.clone())
    }

    /// Forgets a run and frees its resources.
    pub fn remove(&mut self, attempt: &Attempt) -> Option<Assignment> {
        let assignment = self.assignments.swap_remove(attempt)?;
        if assignment.state != State::Waiting {
            self.used.sub(&assignment.start.needs);
        }
        Some(assignment)
    }

    /// Whether an end has not been seen before.
    pub fn new_completion(&mut self, number: u64) -> bool {
        let new = number > self.newest_completion;
        self.newest_completion = self.newest_completion.max(number);
        new
    }

    /// Ends up to here need not be listed again.
    pub fn acknowledged(&self) -> u64 {
        self.completions.keys().next().map_or(self.newest_completion, |first| first - 1)
    }

    /// The leader has stored ends up to `number`.
    pub fn stored(&mut self, number: u64) {
        self.completions.retain(|completion, _| *completion > number);
    }

    /// Runs that the leader ordered.
    pub fn of_leader(&self) -> Vec<Attempt> {
        let of_leader =
            |(_, assignment): &(&Attempt, &Assignment)| assignment.source == Source::Leader;
        self.assignments.iter().filter(of_leader).map(|(attempt, _)| *attempt).collect()
    }

    /// Whether a run of an earlier incarnation is to be ordered to stop now.
    pub fn stop_foreign(&mut self, now_ms: u64, attempt: Attempt) -> bool {
        let at_ms = self.foreign.entry(attempt).or_insert(0);
        let due = *at_ms == 0 || *at_ms + FOREIGN_STOP_MS <= now_ms;
        if due {
            *at_ms = now_ms;
        }
        due
    }

    /// Whether an order to stop a run still matters.
    pub fn stop_due(&self, attempt: &Attempt) -> bool {
        match self.assignments.get(attempt) {
            Some(assignment) => {
                !matches!(assignment.state, State::Barred { .. })
                    && (assignment.stopping || assignment.state == State::Unsure)
            }
            None => false,
        }
    }

    /// Runs that neither run nor can start, by an answer to a poll that was sent at `sent_ms`.
    pub fn barred(&self, sent_ms: u64, running: &[Attempt]) -> Vec<Attempt> {
        let barred = |attempt: &Attempt, assignment: &Assignment| {
            matches!(assignment.state, State::Barred { at_ms } if at_ms <= sent_ms)
                && !running.contains(attempt)
        };
        self.assignments
            .iter()
            .filter(|(attempt, a)| barred(attempt, a))
            .map(|(attempt, _)| *attempt)
            .collect()
    }
}
