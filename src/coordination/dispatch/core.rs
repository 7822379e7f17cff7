//! The dispatch policy: queue, routing, limits, retries and health together.

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
            execution::{Execution, Flight, Part, Task},
            lane::{Demand, Lane, Needs},
        },
        limit, queue, retry, route, speed,
    },
    protocol::{id, wire::control},
};

/// Interval of the checks that look at all servers.
const TICK_US: Micros = 20_000;
/// Time after which an attempt of a removed run no longer counts as in flight.
const ORPHAN_US: Micros = 10_000_000;
/// Time to a hedge in units of the 95th percentile. At 1, one in twenty is hedged although nothing
/// is wrong with its server.
const HEDGE_AFTER: f64 = 1.5;
/// Hedged starts per start.
const HEDGE_PART: f64 = 0.03;
/// Speed, relative to the mean, below which a server gets a run's shortest tasks.
const SLOW: f64 = 0.7;
/// How long a due trial of a backend server waits for a task that may be repeated before a single
/// task is used; those of larger jobs, whose failure costs more, are used after four times this.
const TRIAL_PATIENCE_US: Micros = 5_000_000;
/// Most run time, in mean tasks, that a team saves while it has nothing queued.
const SAVED_MAX: f64 = 16.0;
/// Runs with more tasks, and teams that have more queued, are bulk: they leave some slots to
/// others as long as there are others.
pub(super) const BULK_TASKS: usize = 32;
/// How long after the last start of another task bulk ones still leave slots.
const SMALL_US: Micros = 1_000_000;

/// Settings and budgets of a client account.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) settings: AccountSettings,
    pub(super) bucket: Option<limit::Bucket>,
    pub(super) retries: retry::Budget,
    pub(super) hedges: retry::Budget,
    pub(super) queued: usize,
    pub(super) queued_us: f64,
    /// When it last stopped to have queued tasks.
    idle_since: Micros,
}

/// State of the policy.
#[derive(Debug)]
pub struct Core {
    pub(super) settings: Settings,
    pub(super) router: route::Router,
    pub(super) book: speed::RunTimes,
    pub(super) accounts: Vec<Account>,
    account_index: HashMap<id::Account, queue::Account>,
    pub(super) demands: Vec<Demand>,
    pub(super) demand_index: HashMap<Needs, HashMap<String, usize>>,
    pub(super) lanes: Vec<Lane>,
    pub(super) lane_index: HashMap<Vec<u32>, usize>,
    next_lane: usize,
    pub(super) executions: Slab<Execution>,
    pub(super) execution_index: foldhash::HashMap<id::Execution, usize>,
    pub(super) flights: Slab<Flight>,
    pub(super) flight_index: foldhash::HashMap<id::Attempt, usize>,
    pub(super) deadlines: BTreeSet<(Micros, usize)>,
    pub(super) hedges: BinaryHeap<Reverse<(Micros, id::Attempt)>>,
    pub(super) parked: BinaryHeap<Reverse<(Micros, id::Execution, u16)>>,
    pub(super) orphans: VecDeque<(Micros, id::Attempt)>,
    ticked: Micros,
    pub(super) queued: usize,
    pub(super) queued_us: f64,
    /// The part of it that belongs to runs of more than `BULK_TASKS` tasks.
    pub(super) bulk_us: f64,
    /// Time of the current input.
    pub(super) now: Micros,
    /// When a task that is not bulk last started.
    small_at: Micros,
    /// Sum of the weights of all teams.
    weights: f64,
    /// Sum of the weights of teams that have queued tasks.
    pub(super) weight: f64,
}

impl Core {
    /// A dispatcher without servers and teams.
    pub fn new(settings: Settings) -> Self {
        Self {
            router: route::Router::from(&settings),
            settings,
            book: speed::RunTimes::default(),
            accounts: Vec::new(),
            account_index: HashMap::new(),
            demands: Vec::new(),
            demand_index: HashMap::new(),
            lanes: Vec::new(),
            lane_index: HashMap::new(),
            next_lane: 0,
            executions: Slab::new(),
            execution_index: foldhash::HashMap::default(),
            flights: Slab::new(),
            flight_index: foldhash::HashMap::default(),
            deadlines: BTreeSet::new(),
            hedges: BinaryHeap::new(),
            parked: BinaryHeap::new(),
            orphans: VecDeque::new(),
            ticked: 0,
            queued: 0,
            queued_us: 0.0,
            weight: 0.0,
            bulk_us: 0.0,
            now: 0,
            small_at: 0,
            weights: 0.0,
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
            self.weight += settings.weight - state.settings.weight;
        }
        self.weights += settings.weight - state.settings.weight;
        state.retries.set_ratio(f64::from(settings.retry_percent) / 100.0);
        state.settings = settings;
    }

    pub(super) fn set_servers(&mut self, now: Micros, servers: &control::Servers) {
        if servers.full {
            for old in self.router.incarnations() {
                if servers.changed.iter().all(|m| m.incarnation != old) {
                    self.router.remove(old);
                }
            }
        }
        for incarnation in &servers.removed {
            self.router.remove(*incarnation);
        }
        let mut grown = false;
        for server in &servers.changed {
            grown |= self.router.put(now, server);
        }
        if grown {
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
            if let Some(seen) = limited.get_mut(account.0 as usize) {
                *seen = true;
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
        if let Some(expire) = self.expire(now) {
            return Some(expire);
        }
        if now >= self.ticked + TICK_US {
            self.ticked = now;
            self.router.tick(now);
            self.drop_orphans(now);
        }
        self.unpark(now);
        if let Some(action) = self.hedge(now, random) {
            return Some(action);
        }
        for _ in 0..self.lanes.len() {
            let lane = self.next_lane % self.lanes.len();
            if let Some(action) = self.start_in(now, lane, random) {
                return Some(action);
            }
            self.next_lane = lane + 1;
        }
        None
    }

    pub(super) fn wake(&self) -> Option<Micros> {
        let tick = (self.queued > 0 || !self.flights.is_empty()).then_some(self.ticked + TICK_US);
        let deadline = self.deadlines.first().map(|d| d.0);
        let hedge = self.hedges.peek().map(|h| h.0.0);
        let parked = self.parked.peek().map(|p| p.0.0);
        [tick, deadline, hedge, parked].into_iter().flatten().min()
    }

    pub(super) fn remove(&mut self, now: Micros, id: id::Execution) -> Removed {
        let Some(key) = self.execution_index.remove(&id) else {
            return Removed { at: Vec::new(), started: false };
        };
        self.stop(key);
        let execution = self.executions.remove(key);
        self.deadlines.remove(&(execution.deadline, key));
        let started = execution.may_have_started();
        let mut at: Vec<route::Key> = Vec::with_capacity(execution.flights.len());
        for flight in execution.flights {
            let flight = &mut self.flights[flight];
            flight.execution = None;
            at.push(flight.server);
            self.orphans.push_back((now + ORPHAN_US, flight.attempt));
        }
        at.sort_unstable();
        at.dedup();
        let at = at.into_iter().map(|k| self.router.servers[k.0].incarnation).collect();
        Removed { at, started }
    }

    /// Takes what is queued of a run out of the queue, so that nothing of it starts any more.
    pub(super) fn stop(&mut self, key: usize) {
        let execution = &mut self.executions[key];
        execution.over = true;
        let parts = std::mem::take(&mut execution.parts);
        let (account, score) = (execution.account, execution.score);
        let bulk = execution.tasks.len() > BULK_TASKS;
        for (part, queued) in parts.iter().enumerate() {
            let item = queue::Item { score, execution: key as u32, part: part as u16 };
            self.lanes[queued.lane].queue.remove(account, item);
            for task in &queued.tasks {
                let mean = self.executions[key].tasks[usize::from(*task)].mean_us;
                self.count(account, queued.lane, -1, mean, bulk);
            }
        }
    }

    /// Queues a task of a run again; it is served first within its run.
    pub(super) fn enqueue(&mut self, key: usize, task: u16) {
        let execution = &mut self.executions[key];
        let state = execution.tasks[usize::from(task)];
        let lane = self.demands[state.demand].lane;
        let part = match execution.parts.iter().position(|p| p.lane == lane) {
            Some(part) => part,
            None => {
                execution.parts.push(Part { lane, tasks: VecDeque::new() });
                execution.parts.len() - 1
            }
        };
        execution.parts[part].tasks.push_back(task);
        let item = queue::Item { score: execution.score, execution: key as u32, part: part as u16 };
        let account = execution.account;
        let bulk = execution.tasks.len() > BULK_TASKS;
        let earned = self.earned(account);
        self.lanes[lane].queue.push(account, item, earned);
        self.count(account, lane, 1, state.mean_us, bulk);
    }

    /// Run time that a team's part of the capacity was worth since it last had queued tasks.
    fn earned(&mut self, account: queue::Account) -> f64 {
        let account = &mut self.accounts[account.0 as usize];
        let idle = self.now.saturating_sub(account.idle_since) as f64;
        if account.queued > 0 || idle == 0.0 {
            return 0.0;
        }
        account.idle_since = self.now;
        let part = account.settings.weight / self.weights.max(1e-9);
        (idle * self.router.capacity() * part).min(SAVED_MAX * self.router.overall_us)
    }

    pub(super) fn enqueue_all(&mut self, key: usize) {
        let execution = &self.executions[key];
        let mut order: Vec<u16> = (0..execution.tasks.len() as u16).collect();
        let mean = |t: &u16| execution.tasks[usize::from(*t)].mean_us;
        order.sort_by(|a, b| mean(a).total_cmp(&mean(b)).then(b.cmp(a)));
        for task in order {
            self.enqueue(key, task);
        }
    }

    fn start_in(&mut self, now: Micros, lane: usize, random: &mut dyn RngCore) -> Option<Action> {
        let Lane { groups, queue, tasks } = &mut self.lanes[lane];
        if *tasks == 0 {
            return None;
        }
        let overall = self.router.overall_us;
        let accounts = &self.accounts;
        let quantum = |t: queue::Account| accounts[t.0 as usize].settings.weight * overall;
        let (account, item) = queue.front(quantum)?;
        let execution = &mut self.executions[item.execution as usize];
        let part = &mut execution.parts[usize::from(item.part)];
        let longest = *part.tasks.back()?;
        let mean_us = execution.tasks[usize::from(longest)].mean_us;
        let backlog = accounts[account.0 as usize].queued > BULK_TASKS;
        let large = execution.tasks.len() > BULK_TASKS;
        let bulk = (large || backlog) && now < self.small_at + SMALL_US;
        let wanted = route::Task {
            mean_us,
            queued: *tasks,
            except: None,
            restartable: execution.restartable,
            bulk,
        };
        let cheap = execution.tasks.len() == 1;
        let patience = if cheap { TRIAL_PATIENCE_US } else { 4 * TRIAL_PATIENCE_US };
        let patience = if execution.restartable { 0 } else { patience };
        let server = match self.router.trial(now, groups, patience) {
            Some(server) => server,
            None => match self.router.choose(now, groups, &wanted, random) {
                route::Choice::Start(server) => server,
                route::Choice::Hold | route::Choice::Full => return None,
            },
        };
        let slow = self.router.is_slow(server, SLOW);
        let task = if slow { part.tasks.pop_front()? } else { part.tasks.pop_back()? };
        let Task { mean_us, number, .. } = execution.tasks[usize::from(task)];
        let first = number == 0;
        if part.tasks.is_empty() {
            queue.remove(account, item);
        }
        queue.charge(account, mean_us, overall);
        if !large && !backlog {
            self.small_at = now;
        }
        self.count(account, lane, -1, mean_us, large);
        if first {
            self.accounts[account.0 as usize].retries.started();
            self.accounts[account.0 as usize].hedges.started();
        }
        Some(self.start(now, item.execution as usize, task, server))
    }

    /// Starts a task at a server.
    pub(super) fn start(
        &mut self,
        now: Micros,
        key: usize,
        task: u16,
        server: route::Key,
    ) -> Action {
        let execution = &mut self.executions[key];
        let state = &mut execution.tasks[usize::from(task)];
        let attempt = id::Attempt { execution: execution.id, task, number: state.number };
        state.number += 1;
        state.flying += 1;
        let lane = self.demands[state.demand].lane;
        let speed = self.router.servers[server.0].speed.factor();
        let rtt = self.router.rtt_us(server);
        let p95 = self.book.p95_us(state.class);
        // Kinds with a long tail are judged by the tail: half of the 95th percentile is 1.5 times
        // the mean for exponential run times.
        let rate = 1.0 / (self.book.mean_us(state.class).max(p95 / 2.0) / speed + rtt);
        let flight = Flight {
            attempt,
            execution: Some(key),
            at: execution.flights.len(),
            account: execution.account,
            lane,
            server,
            class: state.class,
            sent: now,
            mean_us: state.mean_us,
            rate,
        };
        let settings = &self.accounts[execution.account.0 as usize].settings;
        let hedged = settings.hedge && settings.preference == Preference::Response;
        if execution.restartable && hedged && self.book.is_known(state.class) {
            let due = now + (HEDGE_AFTER * p95 / speed + rtt) as Micros;
            self.hedges.push(Reverse((due, attempt)));
        }
        let at = self.flights.insert(flight);
        execution.flights.push(at);
        self.flight_index.insert(attempt, at);
        self.router.sent(now, server, rate);
        Action::Start { attempt, incarnation: self.router.servers[server.0].incarnation }
    }

    fn hedge(&mut self, now: Micros, random: &mut dyn RngCore) -> Option<Action> {
        while self.hedges.peek().is_some_and(|h| h.0.0 <= now) {
            let Reverse((_, attempt)) = self.hedges.pop()?;
            let Some(flight) = self.flight_index.get(&attempt).map(|f| &self.flights[*f]) else {
                continue;
            };
            let (Some(key), lane) = (flight.execution, flight.lane) else { continue };
            let task = self.executions[key].tasks[usize::from(attempt.task)];
            if self.executions[key].over || task.answered || task.flying != 1 {
                continue;
            }
            let except = Some(flight.server);
            let wanted = route::Task {
                mean_us: task.mean_us,
                queued: usize::MAX,
                except,
                restartable: true,
                bulk: false,
            };
            let groups = &self.lanes[lane].groups;
            let route::Choice::Start(server) = self.router.choose(now, groups, &wanted, random)
            else {
                continue;
            };
            if self.accounts[flight.account.0 as usize].hedges.take(now).is_ok() {
                return Some(self.start(now, key, attempt.task, server));
            }
        }
        None
    }

    fn expire(&mut self, now: Micros) -> Option<Action> {
        let (deadline, key) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.deadlines.pop_first();
        self.stop(key);
        let execution = &self.executions[key];
        Some(Action::Expire { execution: execution.id, started: execution.may_have_started() })
    }

    fn unpark(&mut self, now: Micros) {
        while self.parked.peek().is_some_and(|p| p.0.0 <= now) {
            let Some(Reverse((_, id, task))) = self.parked.pop() else { return };
            let Some(key) = self.execution_index.get(&id).copied() else { continue };
            if !self.executions[key].over {
                self.requeue(now, key, task);
            }
        }
    }

    fn drop_orphans(&mut self, now: Micros) {
        while self.orphans.front().is_some_and(|o| o.0 <= now) {
            let Some((_, attempt)) = self.orphans.pop_front() else { return };
            let Some(at) = self.flight_index.remove(&attempt) else { continue };
            let flight = self.flights.remove(at);
            self.router.ended(now, flight.server, flight.rate);
            self.router.settle(now, flight.server);
        }
    }

    /// Queues a task again if the team's budget allows, else later.
    pub(super) fn requeue(&mut self, now: Micros, key: usize, task: u16) {
        let execution = &self.executions[key];
        match self.accounts[execution.account.0 as usize].retries.take(now) {
            Ok(()) => self.enqueue(key, task),
            Err(at) => self.parked.push(Reverse((at, execution.id, task))),
        }
    }

    fn count(&mut self, account: queue::Account, lane: usize, by: isize, mean_us: f64, bulk: bool) {
        let state = &mut self.accounts[account.0 as usize];
        let idle = state.queued == 0;
        state.queued = state.queued.saturating_add_signed(by);
        self.queued = self.queued.saturating_add_signed(by);
        self.lanes[lane].tasks = self.lanes[lane].tasks.saturating_add_signed(by);
        let us = by as f64 * mean_us;
        if bulk {
            self.bulk_us = (self.bulk_us + us).max(0.0);
        }
        // Exact zeros, as sums of floats drift.
        state.queued_us = if state.queued == 0 { 0.0 } else { (state.queued_us + us).max(0.0) };
        self.queued_us = if self.queued == 0 { 0.0 } else { (self.queued_us + us).max(0.0) };
        if idle != (state.queued == 0) {
            state.idle_since = self.now;
            self.weight += if idle { state.settings.weight } else { -state.settings.weight };
        }
        if self.queued == 0 {
            self.bulk_us = 0.0;
            self.weight = 0.0;
        }
    }

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
            hedges: retry::Budget::without_floor(now, HEDGE_PART),
            queued: 0,
            queued_us: 0.0,
            idle_since: now,
        });
        self.weights += settings.weight;
        self.account_index.insert(name.clone(), account);
        account
    }
}
