//! Which runs are taken, and how they are queued.

use crate::{
    coordination::dispatch::{
        Micros, Spec,
        core::{BULK_TASKS, Core},
        execution::{Execution, Task},
    },
    protocol::{id, job},
};

/// A run may overtake others of its team that arrived up to this many times the difference of
/// their ideal times earlier. Larger values serve short runs better and long ones worse.
const OVERTAKE: f64 = 4.0;
/// Wait of all queued tasks from which on others count in the expected end of a run, in µs. A task
/// that waits for the next slot is no backlog.
const BACKLOG_US: f64 = 100_000.0;
/// Part of the capacity that large runs get while others are queued: those overtake them.
const BULK_PART: f64 = 0.33;

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
        let (mut work, mut longest) = (0.0, 0.0);
        for task in &spec.tasks {
            let demand = self.demand(&task.kind, &task.needs);
            let lane = &self.lanes[self.demands[demand].lane];
            if lane.groups.is_empty() {
                return Err(job::Refusal::NeverFits);
            }
            if lane.groups.iter().all(|g| self.router.groups[*g as usize].is_empty()) {
                return Err(job::Refusal::NoBackend);
            }
            let kind = self.book.kind(&task.kind);
            let class = self.book.class(kind, task.declared_ms);
            let mean = self.book.mean_us(class);
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
        // The queue conserves work, so both are upper bounds of the wait.
        let weight = account.settings.weight;
        let others = if account.queued > 0 { self.weight } else { self.weight + weight };
        let ahead = self.queued_us.min(account.queued_us * others / weight.max(1e-9));
        let capacity = self.router.capacity().max(1.0);
        let wait = ahead / capacity;
        // What arrives later from other teams shares the capacity with a long run.
        let end = (account.queued_us + work) * others / weight.max(1e-9) / capacity;
        let end = if spec.tasks.len() > BULK_TASKS {
            end.max((self.bulk_us + work) / capacity / BULK_PART)
        } else {
            end
        };
        let left = (spec.deadline - now) as f64;
        let backlog = self.queued_us > BACKLOG_US * capacity;
        let late = backlog && end + longest > left;
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
            let demand = self.demand(&task.kind, &task.needs);
            let kind = self.book.kind(&task.kind);
            let class = self.book.class(kind, task.declared_ms);
            let mean_us = self.book.mean_us(class);
            work += mean_us;
            longest = f64::max(longest, mean_us);
            let (number, flying, refused, answered) = (0, 0, 0, false);
            tasks.push(Task { demand, class, mean_us, number, flying, refused, answered });
        }
        let ideal = longest + work / self.router.capacity_all().max(1.0);
        let execution = Execution {
            id,
            account,
            restartable: spec.restartable,
            deadline: spec.deadline,
            score: now + (OVERTAKE * ideal) as u64,
            tasks,
            batches: Vec::new(),
            flights: Vec::new(),
            started: false,
            over: false,
            answered: 0,
        };
        let key = self.executions.insert(execution);
        self.execution_index.insert(id, key);
        self.deadlines.insert((spec.deadline, key));
        self.enqueue_all(key);
        Ok(())
    }
}
