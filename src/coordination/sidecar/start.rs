//! Starts of attempts: commands, and attempts that wait until they may start.

use super::{Admission, Assignment, OUTLAST_MAX_MS, Sidecar, Source, StartResult, State};
use crate::protocol::{
    queue::{ATTEMPTS_MAX, Attempt},
    wire::{
        queue::{Reason, Start},
        work,
    },
};

/// Remaining time of a source's lease below which its attempts do not start, in ms.
const START_MARGIN_MS: u64 = 50;
/// Maximum number of attempts that wait for free capacity.
const WAITING_MAX: usize = 64;

impl Sidecar {
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
            Some(backend) if !backend.may_start() || self.is_closed() => Some(Reason::Unavailable),
            Some(backend) if backend.admission(now_ms) == Admission::None => {
                Some(Reason::Unavailable)
            }
            Some(backend) if backend.assignments.contains_key(&attempt) => Some(Reason::Expired),
            Some(backend) if backend.assignments.len() >= ATTEMPTS_MAX => Some(Reason::NoCapacity),
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
    pub(super) fn dispatch(&mut self, now_ms: u64) {
        let Some(backend) = &self.backend else { return };
        let lease_until = |attempt: &Attempt| {
            backend.assignments.get(attempt).map_or(0, |a| self.lease_until(a.source))
        };
        let waiting: Vec<(Attempt, u64)> = backend
            .waiting_by_urgency()
            .into_iter()
            .map(|attempt| (attempt, lease_until(&attempt)))
            .collect();
        let closed = self.is_closed();
        let Some(backend) = &mut self.backend else { return };
        let may_start = backend.may_start() && !closed;
        let mut refused = Vec::new();
        for (attempt, lease_until_ms) in waiting {
            let assignment = &backend.assignments[&attempt];
            let has_capacity = backend.has_capacity(now_ms, &assignment.start.needs);
            // A lease that the server has already cannot be shortened for the attempt.
            let outlasted = backend.lease_expires_after(lease_until_ms + OUTLAST_MAX_MS);
            let may_begin = has_capacity && !outlasted && !backend.runs_other_attempt(&attempt);
            let reason = if !may_start || backend.admission(now_ms) == Admission::None {
                Reason::Unavailable
            } else if lease_until_ms < now_ms + START_MARGIN_MS {
                Reason::Expired
            } else if may_begin {
                if let Some(start) = backend.begin(now_ms, &attempt) {
                    self.largest_needs = self.largest_needs.max_of(&start.needs);
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
        let Some(assignment) = backend.assignments.get_mut(&attempt) else {
            // The attempt was stopped meanwhile, but the start may still be carried out late.
            if result == StartResult::Unknown {
                self.raise_fence(now_ms);
            }
            return;
        };
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
                let called_ms = assignment.called_ms;
                self.actions.stops.push(attempt);
                self.fence_unanswered(called_ms, now_ms);
            }
        }
    }
}
