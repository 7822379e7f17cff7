//! The jobs of a service that have ready tasks, in the order in which they get room.

use std::collections::BTreeSet;

use super::job::{Job, LATE_SLACK_MS};
use crate::protocol::queue::Id;

/// Most jobs of a phase that are tried in one go.
const BATCH: usize = 64;

/// Phases of an assignment, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// A task of the job has started: what it has used would be wasted.
    Begun,
    /// None has, and the job can be on time.
    OnTime,
    /// None has, and the job will be late.
    Late,
    /// A task of the job has started, but the job is worth nothing any more.
    Worthless,
}

impl Phase {
    pub const ALL: [Phase; 4] = [Phase::Begun, Phase::OnTime, Phase::Late, Phase::Worthless];
}

/// Jobs with ready tasks.
#[derive(Debug, Default)]
pub(super) struct Ready {
    /// Those of which a task has started, by latest start, and with the time from which on they
    /// are worth nothing.
    begun: BTreeSet<(u64, Id, u64)>,
    /// The others, by latest start.
    fresh: BTreeSet<(u64, Id)>,
    /// The others, by priority and declared work, with the latest start.
    light: BTreeSet<(u32, u64, Id, u64)>,
    /// Since when jobs that can be on time have found no room.
    full_since_ms: Option<u64>,
}

impl Ready {
    /// Takes note of a job's ready tasks.
    pub fn update(&mut self, id: Id, job: &Job) {
        self.remove(id, job);
        match (job.ready.is_empty(), job.started) {
            (true, _) => {}
            (false, true) => _ = self.begun.insert((job.due_ms, id, job.hopeless_ms)),
            (false, false) => {
                self.fresh.insert((job.due_ms, id));
                self.light.insert((job.priority, job.work, id, job.due_ms));
            }
        }
    }

    pub fn remove(&mut self, id: Id, job: &Job) {
        self.begun.remove(&(job.due_ms, id, job.hopeless_ms));
        self.fresh.remove(&(job.due_ms, id));
        self.light.remove(&(job.priority, job.work, id, job.due_ms));
    }

    /// Notes whether jobs that can be on time find room.
    pub fn note_room(&mut self, now_ms: u64, found: bool) {
        self.full_since_ms = match found {
            true => None,
            false => self.full_since_ms.or(Some(now_ms)),
        };
    }

    /// For how long jobs that can be on time have found no room, in ms.
    pub fn full_for(&self, now_ms: u64) -> Option<u64> {
        self.full_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// The first jobs of a phase. Jobs that can be on time come by urgency; but while there is no
    /// room for all of them by priority and then by work, as most are served so.
    pub fn first(&self, now_ms: u64, phase: Phase) -> Vec<Id> {
        let late_ms = now_ms.saturating_sub(LATE_SLACK_MS);
        let id = |(_, id): &(u64, Id)| *id;
        match phase {
            Phase::Begun => self.begun(|hopeless_ms| hopeless_ms >= now_ms),
            Phase::Worthless => self.begun(|hopeless_ms| hopeless_ms < now_ms),
            Phase::OnTime if self.full_since_ms.is_some() => {
                let on_time = self.light.iter().filter(|(_, _, _, due_ms)| *due_ms >= late_ms);
                on_time.map(|(_, _, id, _)| *id).take(BATCH).collect()
            }
            Phase::OnTime => self.fresh.range((late_ms, Id(0))..).map(id).take(BATCH).collect(),
            Phase::Late => self.fresh.range(..(late_ms, Id(0))).map(id).take(BATCH).collect(),
        }
    }

    fn begun(&self, wanted: impl Fn(u64) -> bool) -> Vec<Id> {
        let begun = self.begun.iter().filter(|(_, _, hopeless_ms)| wanted(*hopeless_ms));
        begun.map(|(_, id, _)| *id).take(BATCH).collect()
    }
}
