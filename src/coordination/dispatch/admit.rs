//! Admission: which executions are accepted, and how they are queued.

use crate::{
    coordination::dispatch::{
        Micros, Spec,
        core::{BULK_TASKS, Core},
        execution::{Execution, Task},
    },
    protocol::{id, job},
};

/// An execution overtakes others of its client account that arrived earlier by up to this many
/// times the difference of their ideal durations. Larger values serve short executions better and
/// long ones worse.
const OVERTAKE_FACTOR: f64 = 4.0;
/// Wait of the whole queue, in µs, above which an execution is refused if the queued work is
/// expected to make it miss its deadline. Tasks that only wait for the next slot are no backlog.
const BACKLOG_US: f64 = 100_000.0;
/// Share of the capacity that executions of more than `BULK_TASKS` tasks can count on while others
/// are queued, because smaller executions overtake them.
const LARGE_SHARE: f64 = 0.33;

impl Core {
    pub(super) fn check(&mut self, now: Micros, spec: &Spec) -> Result<(), job::Refusal> {
        if spec.tasks.is_empty() || spec.tasks.len() > usize::from(u16::MAX) {
            return Err(job::Refusal::BadRequest);
        }
        if self.router.is_empty() {
            return Err(job::Refusal::NoBackend);
        }
        if spec.deadline <= now {
            return Err(job::Refusal::DeadlineExceeded);
        }
        self.drop_unused_requirements();
        let (mut work, mut longest) = (0.0, 0.0);
        for task in &spec.tasks {
            let requirement = self.requirement(&task.kind, &task.needs);
            let lane = &self.lanes[self.requirements[requirement].lane];
            if lane.groups.is_empty() {
                return Err(job::Refusal::NeverFits);
            }
            if lane.groups.iter().all(|g| self.router.groups[*g as usize].is_empty()) {
                return Err(job::Refusal::NoBackend);
            }
            let kind = self.estimates.kind(&task.kind);
            let class = self.estimates.class(kind, task.declared_ms);
            let mean = self.estimates.mean_us(class);
            work += mean;
            longest = f64::max(longest, mean);
        }
        let account = self.account(now, &spec.account);
        let account = &mut self.accounts[account.0 as usize];
        if account.bucket.as_mut().is_some_and(|b| !b.is_open(now)) {
            return Err(job::Refusal::OverQuota);
        }
        if (account.queued > 0 && account.queued + spec.tasks.len() > account.settings.waiting_max)
            || (self.queued > 0 && self.queued + spec.tasks.len() > self.settings.waiting_max)
        {
            return Err(job::Refusal::Overloaded);
        }
        // The queue is work-conserving, so both the work of all accounts and the account's own work
        // divided by its share of the weights are upper bounds of the wait.
        let weight = account.settings.weight;
        let competing =
            if account.queued > 0 { self.queued_weight } else { self.queued_weight + weight };
        let ahead = self.queued_us.min(account.queued_us * competing / weight.max(1e-9));
        let capacity = self.router.capacity().max(1.0);
        let wait = ahead / capacity;
        // Work that arrives later from other accounts shares the capacity with a long execution.
        let end = (account.queued_us + work) * competing / weight.max(1e-9) / capacity;
        let end = if spec.tasks.len() > BULK_TASKS {
            end.max((self.large_us + work) / capacity / LARGE_SHARE)
        } else {
            end
        };
        let left_us = (spec.deadline - now) as f64;
        let backlog = self.queued_us > BACKLOG_US * capacity;
        let late = backlog && end + longest > left_us;
        if late || wait > self.settings.wait_max_us as f64 {
            return Err(job::Refusal::Overloaded);
        }
        Ok(())
    }

    pub(super) fn submit(
        &mut self,
        now: Micros,
        id: id::Execution,
        spec: &Spec,
    ) -> Result<(), job::Refusal> {
        if self.execution_index.contains_key(&id) {
            return Err(job::Refusal::KeyConflict);
        }
        self.check(now, spec)?;
        self.now = now;
        let account = self.account(now, &spec.account);
        if let Some(bucket) = &mut self.accounts[account.0 as usize].bucket {
            bucket.take(now, spec.tasks.len());
        }
        let mut tasks = Vec::with_capacity(spec.tasks.len());
        let (mut work, mut longest) = (0.0, 0.0);
        for task in &spec.tasks {
            let requirement = self.requirement(&task.kind, &task.needs);
            let kind = self.estimates.kind(&task.kind);
            let class = self.estimates.class(kind, task.declared_ms);
            let mean_us = self.estimates.mean_us(class);
            work += mean_us;
            longest = f64::max(longest, mean_us);
            let (next_number, in_flight, too_large, answered) = (0, 0, 0, false);
            tasks.push(Task {
                requirement,
                class,
                mean_us,
                next_number,
                in_flight,
                too_large,
                answered,
            });
        }
        let ideal = longest + work / self.router.capacity_all().max(1.0);
        let execution = Execution {
            id,
            account,
            restartable: spec.restartable,
            deadline: spec.deadline,
            score: now + (OVERTAKE_FACTOR * ideal) as u64,
            tasks,
            batches: Vec::new(),
            attempts: Vec::new(),
            started: false,
            stopped: false,
            answered: 0,
        };
        let key = self.executions.insert(execution);
        self.execution_index.insert(id, key);
        self.deadlines.insert((spec.deadline, key));
        self.enqueue_all(key);
        Ok(())
    }
}
