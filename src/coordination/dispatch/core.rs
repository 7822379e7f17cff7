//! The default dispatch policy (`Policy::Briargauge`): combines queue, routing, limits, retries and
//! health.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap, VecDeque},
};

use rand::RngCore;
use slab::Slab;

use crate::{
    coordination::{
        dispatch::{
            AccountSettings, Action, Micros, Placement, Preference, Removed, Settings,
            execution::{Batch, Execution, SentAttempt, Task},
            lane::{Lane, NeedsKey, Requirement},
        },
        limit, queue, retry, route, speed,
    },
    protocol::{id, wire::control},
};

/// Interval of the checks that go through all servers.
const TICK_US: Micros = 20_000;
/// Time after which an attempt of a removed execution no longer counts as in flight.
const ORPHAN_US: Micros = 10_000_000;
/// Time until a task is hedged, as a multiple of the 95th percentile of its run time. With 1, one
/// task in twenty is hedged although nothing is wrong with its server.
const HEDGE_AFTER: f64 = 1.5;
/// Maximum number of hedges per first start of a task.
const HEDGE_RATIO: f64 = 0.03;
/// Speed, relative to the mean, below which a server gets an execution's shortest tasks.
const SLOW_RATIO: f64 = 0.7;
/// How long a due trial of an ejected backend server waits for a restartable task before it uses
/// the task of an execution that has only one. Tasks of larger executions, whose failure costs
/// more, are used after four times this.
const TRIAL_PATIENCE_US: Micros = 5_000_000;
/// Maximum run time that a client account is credited for a time in which it had nothing queued, in
/// multiples of the mean run time of a task.
const IDLE_CREDIT_MAX: f64 = 16.0;
/// Number of tasks above which an execution is large. A task is bulk if its execution is large, or
/// if its account has more tasks queued than this. Bulk tasks use no reserved slots until
/// `RESERVATION_US` after the last start of a task that is not bulk.
pub(super) const BULK_TASKS: usize = 32;
/// Time after a start of a task that is not bulk in which bulk tasks use no reserved slots.
const RESERVATION_US: Micros = 1_000_000;

/// Settings and budgets of a client account.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) settings: AccountSettings,
    /// Quota of task starts; `None` if the account is not limited.
    pub(super) bucket: Option<limit::Bucket>,
    pub(super) retries: retry::Budget,
    pub(super) hedges: retry::Budget,
    pub(super) queued: usize,
    /// Expected run time of the queued tasks at speed 1.
    pub(super) queued_us: f64,
    /// When the account last changed between having queued tasks and having none, or was last
    /// credited for idle time; at first, when it was created.
    idle_since: Micros,
}

/// The policy, with its settings and state.
#[derive(Debug)]
pub struct Core {
    pub(super) settings: Settings,
    pub(super) router: route::Router,
    pub(super) estimates: speed::RunTimes,
    pub(super) accounts: Vec<Account>,
    account_index: HashMap<id::Account, queue::Account>,
    pub(super) requirements: Vec<Requirement>,
    pub(super) requirement_index: HashMap<NeedsKey, HashMap<String, usize>>,
    pub(super) lanes: Vec<Lane>,
    pub(super) lane_index: HashMap<Vec<u32>, usize>,
    /// Where the next round over the lanes starts.
    next_lane: usize,
    pub(super) executions: Slab<Execution>,
    pub(super) execution_index: foldhash::HashMap<id::Execution, usize>,
    /// Attempts in flight.
    pub(super) attempts: Slab<SentAttempt>,
    pub(super) attempt_index: foldhash::HashMap<id::Attempt, usize>,
    /// Deadlines with keys of `executions`.
    pub(super) deadlines: BTreeSet<(Micros, usize)>,
    /// Attempts that are hedged unless they have ended by the given time.
    pub(super) hedges: BinaryHeap<Reverse<(Micros, id::Attempt)>>,
    /// Tasks whose attempt did not start and which exceeded the account's retry budget, with the
    /// time to try again. Tasks that failed are never delayed: without budget, their execution
    /// fails.
    pub(super) delayed_retries: BinaryHeap<Reverse<(Micros, id::Execution, u16)>>,
    /// Attempts of removed executions, with the time from which they no longer count as in flight.
    pub(super) orphans: VecDeque<(Micros, id::Attempt)>,
    ticked_at: Micros,
    pub(super) queued: usize,
    /// Expected run time of all queued tasks at speed 1.
    pub(super) queued_us: f64,
    /// The share of `queued_us` that belongs to large executions.
    pub(super) large_us: f64,
    /// Time of the last call of `submit`, `poll` or `ended`.
    pub(super) now: Micros,
    /// When a task that is not bulk last started.
    non_bulk_started_at: Micros,
    /// Sum of the weights of all accounts.
    total_weight: f64,
    /// Sum of the weights of the accounts that have queued tasks.
    pub(super) queued_weight: f64,
}

impl Core {
    /// Creates the policy without servers and accounts.
    pub fn new(settings: Settings) -> Self {
        Self {
            router: route::Router::from(&settings),
            settings,
            estimates: speed::RunTimes::default(),
            accounts: Vec::new(),
            account_index: HashMap::new(),
            requirements: Vec::new(),
            requirement_index: HashMap::new(),
            lanes: Vec::new(),
            lane_index: HashMap::new(),
            next_lane: 0,
            executions: Slab::new(),
            execution_index: foldhash::HashMap::default(),
            attempts: Slab::new(),
            attempt_index: foldhash::HashMap::default(),
            deadlines: BTreeSet::new(),
            hedges: BinaryHeap::new(),
            delayed_retries: BinaryHeap::new(),
            orphans: VecDeque::new(),
            ticked_at: 0,
            queued: 0,
            queued_us: 0.0,
            queued_weight: 0.0,
            large_us: 0.0,
            now: 0,
            non_bulk_started_at: 0,
            total_weight: 0.0,
        }
    }

    pub(super) fn set_accounts(
        &mut self,
        now: Micros,
        accounts: &[(id::Account, AccountSettings)],
    ) {
        let default = self.settings.account;
        for account in 0..self.accounts.len() {
            self.set_account(queue::Account(account as u32), default);
        }
        for (name, settings) in accounts {
            let account = self.account(now, name);
            self.set_account(account, *settings);
        }
    }

    fn set_account(&mut self, account: queue::Account, settings: AccountSettings) {
        let state = &mut self.accounts[account.0 as usize];
        if state.queued > 0 {
            self.queued_weight += settings.weight - state.settings.weight;
        }
        self.total_weight += settings.weight - state.settings.weight;
        state.retries.set_ratio(f64::from(settings.retry_percent) / 100.0);
        state.settings = settings;
    }

    pub(super) fn set_servers(&mut self, now: Micros, servers: &control::Servers) {
        if servers.full {
            for old in self.router.incarnations() {
                if servers.changed.iter().all(|s| s.incarnation != old) {
                    self.router.remove(old);
                }
            }
        }
        for incarnation in &servers.removed {
            self.router.remove(*incarnation);
        }
        let mut group_added = false;
        for server in &servers.changed {
            group_added |= self.router.upsert(now, server);
        }
        if group_added {
            self.rebuild_lanes();
        }
        self.router.tick(now);
    }

    pub(super) fn set_placements(&mut self, now: Micros, placements: Vec<Placement>) {
        if self.router.set_placements(now, placements) {
            self.rebuild_lanes();
        }
    }

    pub(super) fn set_shares(&mut self, now: Micros, shares: &[control::Share]) {
        let mut limited = vec![false; self.accounts.len()];
        for share in shares {
            let account = self.account(now, &share.account);
            if let Some(limited) = limited.get_mut(account.0 as usize) {
                *limited = true;
            }
            let bucket = &mut self.accounts[account.0 as usize].bucket;
            match bucket {
                Some(bucket) => bucket.set_rate(now, share.starts_per_s),
                None => *bucket = Some(limit::Bucket::new(now, share.starts_per_s)),
            }
        }
        for (account, limited) in self.accounts.iter_mut().zip(limited) {
            if !limited {
                account.bucket = None;
            }
        }
    }

    pub(super) fn poll(&mut self, now: Micros, random: &mut dyn RngCore) -> Option<Action> {
        self.now = now;
        if let Some(action) = self.expire_next(now) {
            return Some(action);
        }
        if now >= self.ticked_at + TICK_US {
            self.ticked_at = now;
            self.router.tick(now);
            self.drop_orphans(now);
        }
        self.requeue_delayed(now);
        if let Some(action) = self.start_hedge(now, random) {
            return Some(action);
        }
        for _ in 0..self.lanes.len() {
            let lane = self.next_lane % self.lanes.len();
            if let Some(action) = self.start_from_lane(now, lane, random) {
                return Some(action);
            }
            self.next_lane = lane + 1;
        }
        None
    }

    pub(super) fn wake(&self) -> Option<Micros> {
        let tick =
            (self.queued > 0 || !self.attempts.is_empty()).then_some(self.ticked_at + TICK_US);
        let deadline = self.deadlines.first().map(|d| d.0);
        let hedge = self.hedges.peek().map(|h| h.0.0);
        let retry = self.delayed_retries.peek().map(|r| r.0.0);
        [tick, deadline, hedge, retry].into_iter().flatten().min()
    }

    pub(super) fn remove(&mut self, now: Micros, id: id::Execution) -> Removed {
        let Some(key) = self.execution_index.remove(&id) else {
            return Removed { incarnations: Vec::new(), started: false };
        };
        self.stop(key);
        let execution = self.executions.remove(key);
        self.deadlines.remove(&(execution.deadline, key));
        let started = execution.may_have_started();
        let mut servers: Vec<route::Key> = Vec::with_capacity(execution.attempts.len());
        for key in execution.attempts {
            let sent = &mut self.attempts[key];
            sent.execution = None;
            servers.push(sent.server);
            self.orphans.push_back((now + ORPHAN_US, sent.attempt));
        }
        servers.sort_unstable();
        servers.dedup();
        let incarnation = |key: route::Key| self.router.servers[key.0].incarnation;
        Removed { incarnations: servers.into_iter().map(incarnation).collect(), started }
    }

    /// Removes an execution's tasks from the queue, so that none of them is started any more.
    pub(super) fn stop(&mut self, key: usize) {
        let execution = &mut self.executions[key];
        execution.stopped = true;
        let batches = std::mem::take(&mut execution.batches);
        let (account, score) = (execution.account, execution.score);
        let large = execution.tasks.len() > BULK_TASKS;
        for (index, batch) in batches.iter().enumerate() {
            let item = queue::Item { score, execution: key as u32, batch: index as u16 };
            self.lanes[batch.lane].queue.remove(account, item);
            for task in &batch.tasks {
                let mean = self.executions[key].tasks[usize::from(*task)].mean_us;
                self.adjust_queued(account, batch.lane, -1, mean, large);
            }
        }
    }

    /// Queues a task at the end of its batch. So a task that is queued again is served first in its
    /// batch, except by a slow server, which gets tasks from the front.
    pub(super) fn enqueue(&mut self, key: usize, task: u16) {
        let credit = self.idle_credit(self.executions[key].account);
        self.enqueue_with(key, task, credit);
    }

    /// As `enqueue`, with the run time that the account is credited for the time in which it had
    /// nothing queued.
    pub(super) fn enqueue_with(&mut self, key: usize, task: u16, credit: f64) {
        let execution = &mut self.executions[key];
        let state = execution.tasks[usize::from(task)];
        let lane = self.requirements[state.requirement].lane;
        let batch = match execution.batches.iter().position(|b| b.lane == lane) {
            Some(batch) => batch,
            None => {
                execution.batches.push(Batch { lane, tasks: VecDeque::new() });
                execution.batches.len() - 1
            }
        };
        execution.batches[batch].tasks.push_back(task);
        let item =
            queue::Item { score: execution.score, execution: key as u32, batch: batch as u16 };
        let account = execution.account;
        let large = execution.tasks.len() > BULK_TASKS;
        self.lanes[lane].queue.push(account, item, credit);
        self.adjust_queued(account, lane, 1, state.mean_us, large);
    }

    /// Run time that an account's share of the capacity would have allowed since the account last
    /// had queued tasks, up to `IDLE_CREDIT_MAX`.
    fn idle_credit(&mut self, account: queue::Account) -> f64 {
        let account = &mut self.accounts[account.0 as usize];
        let idle = self.now.saturating_sub(account.idle_since) as f64;
        if account.queued > 0 || idle == 0.0 {
            return 0.0;
        }
        account.idle_since = self.now;
        let share = account.settings.weight / self.total_weight.max(1e-9);
        (idle * self.router.capacity() * share).min(IDLE_CREDIT_MAX * self.router.overall_us)
    }

    /// Queues all tasks of a new execution in order of expected run time, the longest at the end.
    /// So the longest task starts first, but at a slow server the shortest one.
    pub(super) fn enqueue_all(&mut self, key: usize) {
        let execution = &self.executions[key];
        let mut order: Vec<u16> = (0..execution.tasks.len() as u16).collect();
        let mean = |t: &u16| execution.tasks[usize::from(*t)].mean_us;
        order.sort_by(|a, b| mean(a).total_cmp(&mean(b)).then(b.cmp(a)));
        for task in order {
            self.enqueue(key, task);
        }
    }

    /// Starts the next task of a lane if a server has capacity for it.
    fn start_from_lane(
        &mut self,
        now: Micros,
        lane: usize,
        random: &mut dyn RngCore,
    ) -> Option<Action> {
        let Lane { groups, queue, tasks } = &mut self.lanes[lane];
        if *tasks == 0 {
            return None;
        }
        let overall = self.router.overall_us;
        let accounts = &self.accounts;
        let quantum = |a: queue::Account| accounts[a.0 as usize].settings.weight * overall;
        let (account, item) = queue.front(quantum)?;
        let execution = &mut self.executions[item.execution as usize];
        let batch = &mut execution.batches[usize::from(item.batch)];
        // A server is chosen for the last task, although a slow one then gets the first.
        let last = *batch.tasks.back()?;
        let mean_us = execution.tasks[usize::from(last)].mean_us;
        let backlog = accounts[account.0 as usize].queued > BULK_TASKS;
        let large = execution.tasks.len() > BULK_TASKS;
        let avoids_reserved = (large || backlog) && now < self.non_bulk_started_at + RESERVATION_US;
        let to_place = route::Task {
            mean_us,
            queued: *tasks,
            excluded: None,
            restartable: execution.restartable,
            avoids_reserved,
        };
        let single = execution.tasks.len() == 1;
        let patience = if single { TRIAL_PATIENCE_US } else { 4 * TRIAL_PATIENCE_US };
        let patience = if execution.restartable { 0 } else { patience };
        let server = match self.router.take_due_trial(now, groups, patience) {
            Some(server) => server,
            None => match self.router.choose(now, groups, &to_place, random) {
                route::Choice::Start(server) => server,
                route::Choice::Wait | route::Choice::NoCapacity => return None,
            },
        };
        let slow = self.router.is_slow(server, SLOW_RATIO);
        let task = if slow { batch.tasks.pop_front()? } else { batch.tasks.pop_back()? };
        let Task { mean_us, next_number, .. } = execution.tasks[usize::from(task)];
        let first = next_number == 0;
        if batch.tasks.is_empty() {
            queue.remove(account, item);
        }
        queue.charge(account, mean_us, overall);
        if !large && !backlog {
            self.non_bulk_started_at = now;
        }
        self.adjust_queued(account, lane, -1, mean_us, large);
        if first {
            self.accounts[account.0 as usize].retries.started();
            self.accounts[account.0 as usize].hedges.started();
        }
        Some(self.start(now, item.execution as usize, task, server))
    }

    /// Creates the next attempt of a task for the given server.
    pub(super) fn start(
        &mut self,
        now: Micros,
        key: usize,
        task: u16,
        server: route::Key,
    ) -> Action {
        let execution = &mut self.executions[key];
        let state = &mut execution.tasks[usize::from(task)];
        let attempt = id::Attempt { execution: execution.id, task, number: state.next_number };
        state.next_number += 1;
        state.in_flight += 1;
        let speed = self.router.servers[server.0].speed.factor();
        let rtt = self.router.rtt_us(server);
        let p95 = self.estimates.p95_us(state.class);
        // The expected run time is the mean or, if it is longer, half of the 95th percentile. The
        // latter applies to kinds whose run times have a long tail; it is 1.5 times the mean if run
        // times are exponentially distributed.
        let rate = 1.0 / (self.estimates.mean_us(state.class).max(p95 / 2.0) / speed + rtt);
        let sent = SentAttempt {
            attempt,
            execution: Some(key),
            position: execution.attempts.len(),
            account: execution.account,
            requirement: state.requirement,
            server,
            class: state.class,
            sent_at: now,
            mean_us: state.mean_us,
            rate,
        };
        let settings = &self.accounts[execution.account.0 as usize].settings;
        let hedged = settings.hedge && settings.preference == Preference::Response;
        if execution.restartable && hedged && self.estimates.is_known(state.class) {
            let due = now + (HEDGE_AFTER * p95 / speed + rtt) as Micros;
            self.hedges.push(Reverse((due, attempt)));
        }
        let index = self.attempts.insert(sent);
        execution.attempts.push(index);
        self.attempt_index.insert(attempt, index);
        self.router.record_sent(now, server, rate);
        Action::Start { attempt, incarnation: self.router.servers[server.0].incarnation }
    }

    /// Starts a second attempt of the next task whose hedge is due, if there is one.
    fn start_hedge(&mut self, now: Micros, random: &mut dyn RngCore) -> Option<Action> {
        while self.hedges.peek().is_some_and(|h| h.0.0 <= now) {
            let Reverse((_, attempt)) = self.hedges.pop()?;
            let Some(sent) = self.attempt_index.get(&attempt).map(|i| &self.attempts[*i]) else {
                continue;
            };
            let Some(key) = sent.execution else { continue };
            let lane = self.requirements[sent.requirement].lane;
            let task = self.executions[key].tasks[usize::from(attempt.task)];
            if self.executions[key].stopped || task.answered || task.in_flight != 1 {
                continue;
            }
            let excluded = Some(sent.server);
            let to_place = route::Task {
                mean_us: task.mean_us,
                // With a queue of this length, `choose` does not wait for a faster server. If it
                // did, the task would not be hedged at all.
                queued: usize::MAX,
                excluded,
                restartable: true,
                avoids_reserved: false,
            };
            let groups = &self.lanes[lane].groups;
            let route::Choice::Start(server) = self.router.choose(now, groups, &to_place, random)
            else {
                continue;
            };
            if self.accounts[sent.account.0 as usize].hedges.take(now).is_ok() {
                return Some(self.start(now, key, attempt.task, server));
            }
        }
        None
    }

    /// Stops the execution with the earliest deadline if that deadline has passed.
    fn expire_next(&mut self, now: Micros) -> Option<Action> {
        let (deadline, key) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.deadlines.pop_first();
        self.stop(key);
        let execution = &self.executions[key];
        Some(Action::Expire { execution: execution.id, started: execution.may_have_started() })
    }

    /// Tries again to queue the delayed tasks that are due. A task is delayed again if the
    /// account's retry budget is still too small.
    fn requeue_delayed(&mut self, now: Micros) {
        while self.delayed_retries.peek().is_some_and(|r| r.0.0 <= now) {
            let Some(Reverse((_, id, task))) = self.delayed_retries.pop() else { return };
            let Some(key) = self.execution_index.get(&id).copied() else { continue };
            if !self.executions[key].stopped {
                self.requeue(now, key, task);
            }
        }
    }

    /// Drops attempts of executions that were removed more than `ORPHAN_US` ago.
    fn drop_orphans(&mut self, now: Micros) {
        while self.orphans.front().is_some_and(|o| o.0 <= now) {
            let Some((_, attempt)) = self.orphans.pop_front() else { return };
            let Some(index) = self.attempt_index.remove(&attempt) else { continue };
            let sent = self.attempts.remove(index);
            self.router.record_ended(now, sent.server, sent.rate);
            self.router.update_or_free(now, sent.server);
        }
    }

    /// Queues a task again whose attempt did not start: at once if the account's retry budget
    /// allows it, else later.
    pub(super) fn requeue(&mut self, now: Micros, key: usize, task: u16) {
        let execution = &self.executions[key];
        match self.accounts[execution.account.0 as usize].retries.take(now) {
            Ok(()) => self.enqueue(key, task),
            Err(retry_at) => self.delayed_retries.push(Reverse((retry_at, execution.id, task))),
        }
    }

    /// Adds `delta` tasks, which may be negative, to the counts of queued tasks. `large` says
    /// whether their execution is large.
    fn adjust_queued(
        &mut self,
        account: queue::Account,
        lane: usize,
        delta: isize,
        mean_us: f64,
        large: bool,
    ) {
        let state = &mut self.accounts[account.0 as usize];
        let was_idle = state.queued == 0;
        state.queued = state.queued.saturating_add_signed(delta);
        self.queued = self.queued.saturating_add_signed(delta);
        self.lanes[lane].tasks = self.lanes[lane].tasks.saturating_add_signed(delta);
        let us = delta as f64 * mean_us;
        if large {
            self.large_us = (self.large_us + us).max(0.0);
        }
        // An empty queue counts as exactly zero, because sums of floats drift.
        state.queued_us = if state.queued == 0 { 0.0 } else { (state.queued_us + us).max(0.0) };
        self.queued_us = if self.queued == 0 { 0.0 } else { (self.queued_us + us).max(0.0) };
        if was_idle != (state.queued == 0) {
            state.idle_since = self.now;
            self.queued_weight +=
                if was_idle { state.settings.weight } else { -state.settings.weight };
        }
        if self.queued == 0 {
            self.large_us = 0.0;
            self.queued_weight = 0.0;
        }
    }

    /// Index of a client account, which is added with default settings if it is new.
    pub(super) fn account(&mut self, now: Micros, name: &id::Account) -> queue::Account {
        if let Some(account) = self.account_index.get(name) {
            return *account;
        }
        let account = queue::Account(self.accounts.len() as u32);
        let settings = self.settings.account;
        self.accounts.push(Account {
            settings,
            bucket: None,
            retries: retry::Budget::new(now, f64::from(settings.retry_percent) / 100.0),
            hedges: retry::Budget::without_refill(now, HEDGE_RATIO),
            queued: 0,
            queued_us: 0.0,
            idle_since: now,
        });
        self.total_weight += settings.weight;
        self.account_index.insert(name.clone(), account);
        account
    }
}
