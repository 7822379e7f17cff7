//! Lanes: queues that each hold the tasks that fit the same groups of servers.

use crate::{
    coordination::{dispatch::core::Core, queue},
    protocol::job,
};

/// Number of requirements above which `Core::requirements` is emptied as soon as there are no
/// executions and attempts, which refer to it.
const REQUIREMENTS_MAX: usize = 50_000;

/// Kind and needs of a task, which together decide which servers fit it.
#[derive(Debug)]
pub(super) struct Requirement {
    kind: String,
    needs: job::Needs,
    /// Index into `Core::lanes`.
    pub(super) lane: usize,
}

/// Queue of the tasks that fit the same groups of servers.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Indices into `Router::groups`.
    pub(super) groups: Vec<u32>,
    pub(super) queue: queue::FairQueue,
    /// Number of queued tasks.
    pub(super) tasks: usize,
}

/// The CPUs, memory in MB and accelerators of [`job::Needs`], as a key of a map.
pub(super) type NeedsKey = (u16, u32, u16);

impl Core {
    /// Drops all requirements if there are many and nothing refers to them. Called between
    /// submissions only, as the tasks of one refer to their requirements while it is added.
    pub(super) fn drop_unused_requirements(&mut self) {
        let unused = self.executions.is_empty() && self.attempts.is_empty();
        if unused && self.requirements.len() > REQUIREMENTS_MAX {
            self.requirements.clear();
            self.requirement_index.clear();
        }
    }

    /// Index of the requirement with a kind and needs. A new requirement is added.
    pub(super) fn requirement(&mut self, kind: &str, needs: &job::Needs) -> usize {
        let id = (needs.cpus, needs.memory_mb, needs.accelerators);
        if let Some(requirement) = self.requirement_index.get(&id).and_then(|kinds| kinds.get(kind))
        {
            return *requirement;
        }
        let lane = self.lane(kind, needs);
        let kinds = self.requirement_index.entry(id).or_default();
        kinds.insert(kind.to_owned(), self.requirements.len());
        self.requirements.push(Requirement { kind: kind.to_owned(), needs: *needs, lane });
        self.requirements.len() - 1
    }

    /// Index of the lane for tasks with a kind and needs. A new lane is added.
    fn lane(&mut self, kind: &str, needs: &job::Needs) -> usize {
        let groups = &self.router.groups;
        let fits = |g: &u32| groups[*g as usize].fits(kind, needs);
        let groups: Vec<u32> = (0..groups.len() as u32).filter(fits).collect();
        if let Some(lane) = self.lane_index.get(&groups) {
            return *lane;
        }
        self.lanes.push(Lane { groups: groups.clone(), ..Lane::default() });
        self.lane_index.insert(groups, self.lanes.len() - 1);
        self.lanes.len() - 1
    }

    /// Assigns all requirements and queued tasks to lanes again after the groups of servers have
    /// changed.
    pub(super) fn rebuild_lanes(&mut self) {
        let old_lanes = std::mem::take(&mut self.lanes);
        self.lane_index.clear();
        for requirement in 0..self.requirements.len() {
            let lanes = self.lanes.len();
            let Requirement { kind, needs, lane: old_lane } = &mut self.requirements[requirement];
            let (kind, needs, old_lane) = (std::mem::take(kind), *needs, *old_lane);
            let lane = self.lane(&kind, &needs);
            if lane == lanes {
                self.lanes[lane].queue = old_lanes[old_lane].queue.without_items();
            }
            self.requirements[requirement] = Requirement { kind, needs, lane };
        }
        for account in &mut self.accounts {
            (account.queued, account.queued_us) = (0, 0.0);
        }
        (self.queued, self.queued_us, self.queued_weight, self.large_us) = (0, 0.0, 0.0, 0.0);
        let keys: Vec<usize> = self.executions.iter().map(|(key, _)| key).collect();
        for key in keys {
            for batch in std::mem::take(&mut self.executions[key].batches) {
                for task in batch.tasks {
                    self.enqueue_with(key, task, 0.0);
                }
            }
        }
    }
}
