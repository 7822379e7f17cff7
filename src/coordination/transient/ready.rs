//! The jobs of a service that have ready tasks, in the order in which they are assigned capacity.

use std::collections::BTreeSet;

use super::job::{Job, LATE_SLACK_MS};
use crate::protocol::queue::Id;

/// Maximum number of jobs of a phase that one assignment tries.
const BATCH: usize = 64;

/// Phases of an assignment, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// A task of the job has started. These jobs come first, as the work already done for them
    /// would otherwise be wasted.
    Started,
    /// No task has started, and the job can be on time.
    OnTime,
    /// No task has started, and the job will be late.
    Late,
    /// A task of the job has started, but the job is past its value deadline.
    PastValueDeadline,
}

impl Phase {
    pub const ALL: [Phase; 4] =
        [Phase::Started, Phase::OnTime, Phase::Late, Phase::PastValueDeadline];
}

/// Jobs of one service with ready tasks.
#[derive(Debug, Default)]
pub(super) struct Ready {
    /// Jobs of which a task has started: latest start, job, value deadline.
    started: BTreeSet<(u64, Id, u64)>,
    /// The other jobs, by urgency: latest start, job.
    unstarted: BTreeSet<(u64, Id)>,
    /// The same jobs by priority: priority, declared work, job, latest start.
    by_priority: BTreeSet<(u32, u64, Id, u64)>,
    /// Since when jobs that can be on time have found no capacity.
    shortage_since_ms: Option<u64>,
}

impl Ready {
    /// Updates the position of a job after a change of its ready tasks.
    pub fn update(&mut self, id: Id, job: &Job) {
        self.remove(id, job);
        match (job.ready.is_empty(), job.started) {
            (true, _) => {}
            (false, true) => _ = self.started.insert((job.due_ms, id, job.value_deadline_ms)),
            (false, false) => {
                self.unstarted.insert((job.due_ms, id));
                self.by_priority.insert((job.priority, job.work, id, job.due_ms));
            }
        }
    }

    pub fn remove(&mut self, id: Id, job: &Job) {
        self.started.remove(&(job.due_ms, id, job.value_deadline_ms));
        self.unstarted.remove(&(job.due_ms, id));
        self.by_priority.remove(&(job.priority, job.work, id, job.due_ms));
    }

    /// Records whether jobs that can be on time find capacity.
    pub fn note_capacity(&mut self, now_ms: u64, found: bool) {
        self.shortage_since_ms = match found {
            true => None,
            false => self.shortage_since_ms.or(Some(now_ms)),
        };
    }

    /// For how long jobs that can be on time have found no capacity, in ms.
    pub fn shortage_ms(&self, now_ms: u64) -> Option<u64> {
        self.shortage_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Returns the first jobs of a phase. Jobs that can be on time are ordered by urgency. While
    /// there is no capacity for all of them, they are ordered by priority and then by least work,
    /// since that serves the most jobs.
    pub fn first(&self, now_ms: u64, phase: Phase) -> Vec<Id> {
        let late_ms = now_ms.saturating_sub(LATE_SLACK_MS);
        let id = |(_, id): &(u64, Id)| *id;
        match phase {
            Phase::Started => self.started(|deadline_ms| deadline_ms >= now_ms),
            Phase::PastValueDeadline => self.started(|deadline_ms| deadline_ms < now_ms),
            Phase::OnTime if self.shortage_since_ms.is_some() => {
                let on_time =
                    self.by_priority.iter().filter(|(_, _, _, due_ms)| *due_ms >= late_ms);
                on_time.map(|(_, _, id, _)| *id).take(BATCH).collect()
            }
            Phase::OnTime => self.unstarted.range((late_ms, Id(0))..).map(id).take(BATCH).collect(),
            Phase::Late => self.unstarted.range(..(late_ms, Id(0))).map(id).take(BATCH).collect(),
        }
    }

    /// The first started jobs for whose value deadline `wanted` is true.
    fn started(&self, wanted: impl Fn(u64) -> bool) -> Vec<Id> {
        let started = self.started.iter().filter(|(_, _, deadline_ms)| wanted(*deadline_ms));
        started.map(|(_, id, _)| *id).take(BATCH).collect()
    }
}
