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
            Action, Micros, Preference, Removed, Settings, Spec, TeamSettings,
            run::{Flight, Part, Run, Task},
        },
        limit, queue, retry, route, speed,
    },
    protocol::{id, job, wire::control},
};

/// Interval of the checks that look at all servers.
const TICK_US: Micros = 20_000;
/// Time after which an attempt of a removed run no longer counts as in flight.
const ORPHAN_US: Micros = 10_000_000;
/// A run may overtake others of its team that arrived up to this many times the difference of
/// their ideal times earlier. Larger values serve short runs better and long ones worse.
const OVERTAKE: f64 = 4.0;
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
const BULK_TASKS: usize = 32;
const SMALL_US: Micros = 1_000_000;
/// Shorter runs that arrive later overtake a long one, so its end is expected so much later.
const LATE_FACTOR: f64 = 1.5;
/// Demands after which the table is emptied when nothing refers to it.
const DEMANDS_MAX: usize = 50_000;

/// A kind with needs: what decides which servers fit.
#[derive(Debug)]
pub(super) struct Demand {
    kind: String,
    needs: job::Needs,
    pub(super) lane: usize,
}

/// Tasks that fit the same groups of servers.
#[derive(Debug, Default)]
pub(super) struct Lane {
    pub(super) groups: Vec<u32>,
    pub(super) queue: queue::Fair,
    pub(super) tasks: usize,
}

#[derive(Debug)]
pub(super) struct Team {
    pub(super) settings: TeamSettings,
    pub(super) bucket: Option<limit::Bucket>,
    pub(super) retries: retry::Budget,
    pub(super) hedges: retry::Budget,
    pub(super) queued: usize,
    pub(super) queued_us: f64,
    /// When it last stopped to have queued tasks.
    idle_since: Micros,
}

type DemandId = (speed::Kind, (u16, u32, u16));

/// State of the policy.
#[derive(Debug)]
pub struct Core {
    pub(super) settings: Settings,
    pub(super) router: route::Router,
    pub(super) book: speed::Book,
    pub(super) teams: Vec<Team>,
    team_index: HashMap<id::Team, queue::Team>,
    demands: Vec<Demand>,
    demand_index: HashMap<DemandId, usize>,
    pub(super) lanes: Vec<Lane>,
    lane_index: HashMap<Vec<u32>, usize>,
    next_lane: usize,
    pub(super) runs: Slab<Run>,
    pub(super) run_index: HashMap<id::Run, usize>,
    pub(super) flights: Slab<Flight>,
    pub(super) flight_index: HashMap<id::Attempt, usize>,
    deadlines: BTreeSet<(Micros, usize)>,
    pub(super) hedges: BinaryHeap<Reverse<(Micros, id::Attempt)>>,
    pub(super) parked: BinaryHeap<Reverse<(Micros, id::Run, u16)>>,
    pub(super) orphans: VecDeque<(Micros, id::Attempt)>,
    ticked: Micros,
    pub(super) queued: usize,
    pub(super) queued_us: f64,
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
            book: speed::Book::default(),
            teams: Vec::new(),
            team_index: HashMap::new(),
            demands: Vec::new(),
            demand_index: HashMap::new(),
            lanes: Vec::new(),
            lane_index: HashMap::new(),
            next_lane: 0,
            runs: Slab::new(),
            run_index: HashMap::new(),
            flights: Slab::new(),
            flight_index: HashMap::new(),
            deadlines: BTreeSet::new(),
            hedges: BinaryHeap::new(),
            parked: BinaryHeap::new(),
            orphans: VecDeque::new(),
            ticked: 0,
            queued: 0,
            queued_us: 0.0,
            weight: 0.0,
            now: 0,
            small_at: 0,
            weights: 0.0,
        }
    }

    pub(super) fn set_teams(&mut self, now: Micros, teams: &[(id::Team, TeamSettings)]) {
        let default = self.settings.team;
        for team in 0..self.teams.len() {
            self.set_team(queue::Team(team as u32), default);
        }
        for (name, settings) in teams {
            let team = self.team(now, name);
            self.set_team(team, *settings);
        }
    }

    fn set_team(&mut self, team: queue::Team, settings: TeamSettings) {
        let state = &mut self.teams[team.0 as usize];
        if state.queued > 0 {
            self.weight += settings.weight - state.settings.weight;
        }
        self.weights += settings.weight - state.settings.weight;
        state.retries.set_part(f64::from(settings.retry_percent) / 100.0);
        state.settings = settings;
    }

    pub(super) fn set_members(&mut self, now: Micros, members: &control::Members) {
        if members.full {
            for old in self.router.incarnations() {
                if members.changed.iter().all(|m| m.incarnation != old) {
                    self.router.remove(old);
                }
            }
        }
        for incarnation in &members.removed {
            self.router.remove(*incarnation);
        }
        let mut grown = false;
        for member in &members.changed {
            grown |= self.router.put(now, member);
        }
        if grown {
            self.rebuild_lanes();
        }
        self.router.tick(now);
    }

    pub(super) fn set_shares(&mut self, now: Micros, shares: &[control::Share]) {
        let mut limited = vec![false; self.teams.len()];
        for share in shares {
            let team = self.team(now, &share.team);
            if let Some(seen) = limited.get_mut(team.0 as usize) {
                *seen = true;
            }
            let bucket = &mut self.teams[team.0 as usize].bucket;
            match bucket {
                Some(bucket) => bucket.set_rate(now, share.starts_per_s),
                None => *bucket = Some(limit::Bucket::new(now, share.starts_per_s)),
            }
        }
        for (team, limited) in self.teams.iter_mut().zip(limited) {
            if !limited {
                team.bucket = None;
            }
        }
    }

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
        let team = self.team(now, &spec.team);
        let team = &mut self.teams[team.0 as usize];
        if team.bucket.as_mut().is_some_and(|b| !b.is_open(now)) {
            return Err(job::Refusal::OverQuota);
        }
        if (team.queued > 0 && team.queued + spec.tasks.len() > team.settings.waiting_max)
            || (self.queued > 0 && self.queued + spec.tasks.len() > self.settings.waiting_max)
        {
            return Err(job::Refusal::Overloaded);
        }
        // The queue conserves work, so both are upper bounds of the wait.
        let weight = team.settings.weight;
        let others = if team.queued > 0 { self.weight } else { self.weight + weight };
        let ahead = self.queued_us.min(team.queued_us * others / weight.max(1e-9));
        let capacity = self.router.capacity().max(1.0);
        let wait = ahead / capacity;
        let left = (spec.deadline - now) as f64;
        if ahead > 0.0
            && (wait > self.settings.wait_max_us as f64
                || LATE_FACTOR * (wait + work / capacity) + longest > left)
        {
            return Err(job::Refusal::Overloaded);
        }
        Ok(())
    }

    pub(super) fn submit(
        &mut self,
        now: Micros,
        id: id::Run,
        spec: &Spec,
    ) -> Result<(), job::Refusal> {
        if self.run_index.contains_key(&id) {
            return Err(job::Refusal::KeyConflict);
        }
        self.check(now, spec)?;
        self.now = now;
        let team = self.team(now, &spec.team);
        if let Some(bucket) = &mut self.teams[team.0 as usize].bucket {
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
        let run = Run {
            id,
            team,
            restartable: spec.restartable,
            deadline: spec.deadline,
            score: now + (OVERTAKE * ideal) as u64,
            tasks,
            parts: Vec::new(),
            flights: Vec::new(),
            started: false,
            over: false,
            answered: 0,
        };
        let key = self.runs.insert(run);
        self.run_index.insert(id, key);
        self.deadlines.insert((spec.deadline, key));
        self.enqueue_all(key);
        Ok(())
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

    pub(super) fn remove(&mut self, now: Micros, id: id::Run) -> Removed {
        let Some(key) = self.run_index.remove(&id) else {
            return Removed { at: Vec::new(), started: false };
        };
        self.stop(key);
        let run = self.runs.remove(key);
        self.deadlines.remove(&(run.deadline, key));
        let started = run.may_have_started();
        let mut at: Vec<route::Key> = Vec::with_capacity(run.flights.len());
        for flight in run.flights {
            let flight = &mut self.flights[flight];
            flight.run = None;
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
        let run = &mut self.runs[key];
        run.over = true;
        let parts = std::mem::take(&mut run.parts);
        let (team, score) = (run.team, run.score);
        for (part, queued) in parts.iter().enumerate() {
            let item = queue::Item { score, run: key as u32, part: part as u16 };
            self.lanes[queued.lane].queue.remove(team, item);
            for task in &queued.tasks {
                let mean = self.runs[key].tasks[usize::from(*task)].mean_us;
                self.count(team, queued.lane, -1, mean);
            }
        }
    }

    /// Queues a task of a run again; it is served first within its run.
    pub(super) fn enqueue(&mut self, key: usize, task: u16) {
        let run = &mut self.runs[key];
        let state = run.tasks[usize::from(task)];
        let lane = self.demands[state.demand].lane;
        let part = match run.parts.iter().position(|p| p.lane == lane) {
            Some(part) => part,
            None => {
                run.parts.push(Part { lane, tasks: VecDeque::new() });
                run.parts.len() - 1
            }
        };
        run.parts[part].tasks.push_back(task);
        let item = queue::Item { score: run.score, run: key as u32, part: part as u16 };
        let team = run.team;
        let earned = self.earned(team);
        self.lanes[lane].queue.push(team, item, earned);
        self.count(team, lane, 1, state.mean_us);
    }

    /// Run time that a team's part of the capacity was worth since it last had queued tasks.
    fn earned(&mut self, team: queue::Team) -> f64 {
        let team = &mut self.teams[team.0 as usize];
        let idle = self.now.saturating_sub(team.idle_since) as f64;
        if team.queued > 0 || idle == 0.0 {
            return 0.0;
        }
        team.idle_since = self.now;
        let part = team.settings.weight / self.weights.max(1e-9);
        (idle * self.router.capacity() * part).min(SAVED_MAX * self.router.overall_us)
    }

    fn enqueue_all(&mut self, key: usize) {
        let run = &self.runs[key];
        let mut order: Vec<u16> = (0..run.tasks.len() as u16).collect();
        let mean = |t: &u16| run.tasks[usize::from(*t)].mean_us;
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
        let teams = &self.teams;
        let quantum = |t: queue::Team| teams[t.0 as usize].settings.weight * overall;
        let (team, item) = queue.front(quantum)?;
        let run = &mut self.runs[item.run as usize];
        let part = &mut run.parts[usize::from(item.part)];
        let longest = *part.tasks.back()?;
        let mean_us = run.tasks[usize::from(longest)].mean_us;
        let backlog = teams[team.0 as usize].queued > BULK_TASKS;
        let large = run.tasks.len() > BULK_TASKS;
        let bulk = (large || backlog) && now < self.small_at + SMALL_US;
        let wanted = route::Task {
            mean_us,
            queued: *tasks,
            except: None,
            restartable: run.restartable,
            bulk,
        };
        let cheap = run.tasks.len() == 1;
        let patience = if cheap { TRIAL_PATIENCE_US } else { 4 * TRIAL_PATIENCE_US };
        let patience = if run.restartable { 0 } else { patience };
        let server = match self.router.trial(now, groups, patience) {
            Some(server) => server,
            None => match self.router.choose(now, groups, &wanted, random) {
                route::Choice::Start(server) => server,
                route::Choice::Hold | route::Choice::Full => return None,
            },
        };
        let slow = self.router.is_slow(server, SLOW);
        let task = if slow { part.tasks.pop_front()? } else { part.tasks.pop_back()? };
        let mean_us = run.tasks[usize::from(task)].mean_us;
        if part.tasks.is_empty() {
            queue.remove(team, item);
        }
        queue.charge(team, mean_us, overall);
        if !large && !backlog {
            self.small_at = now;
        }
        self.count(team, lane, -1, mean_us);
        self.teams[team.0 as usize].retries.started();
        self.teams[team.0 as usize].hedges.started();
        Some(self.start(now, item.run as usize, task, server))
    }

    /// Starts a task at a server.
    pub(super) fn start(
        &mut self,
        now: Micros,
        key: usize,
        task: u16,
        server: route::Key,
    ) -> Action {
        let run = &mut self.runs[key];
        let state = &mut run.tasks[usize::from(task)];
        let attempt = id::Attempt { run: run.id, task, number: state.number };
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
            run: Some(key),
            at: run.flights.len(),
            team: run.team,
            lane,
            server,
            class: state.class,
            sent: now,
            mean_us: state.mean_us,
            rate,
        };
        let settings = &self.teams[run.team.0 as usize].settings;
        let hedged = settings.hedge && settings.preference == Preference::Response;
        if run.restartable && hedged && self.book.is_known(state.class) {
            let due = now + (HEDGE_AFTER * p95 / speed + rtt) as Micros;
            self.hedges.push(Reverse((due, attempt)));
        }
        let at = self.flights.insert(flight);
        run.flights.push(at);
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
            let (Some(key), lane) = (flight.run, flight.lane) else { continue };
            let task = self.runs[key].tasks[usize::from(attempt.task)];
            if self.runs[key].over || task.answered || task.flying != 1 {
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
            if self.teams[flight.team.0 as usize].hedges.take(now).is_ok() {
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
        let run = &self.runs[key];
        Some(Action::Expire { run: run.id, started: run.may_have_started() })
    }

    fn unpark(&mut self, now: Micros) {
        while self.parked.peek().is_some_and(|p| p.0.0 <= now) {
            let Some(Reverse((_, id, task))) = self.parked.pop() else { return };
            let Some(key) = self.run_index.get(&id).copied() else { continue };
            if !self.runs[key].over {
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
        let run = &self.runs[key];
        match self.teams[run.team.0 as usize].retries.take(now) {
            Ok(()) => self.enqueue(key, task),
            Err(at) => self.parked.push(Reverse((at, run.id, task))),
        }
    }

    fn count(&mut self, team: queue::Team, lane: usize, by: isize, mean_us: f64) {
        let state = &mut self.teams[team.0 as usize];
        let idle = state.queued == 0;
        state.queued = state.queued.saturating_add_signed(by);
        self.queued = self.queued.saturating_add_signed(by);
        self.lanes[lane].tasks = self.lanes[lane].tasks.saturating_add_signed(by);
        let us = by as f64 * mean_us;
        // Exact zeros, as sums of floats drift.
        state.queued_us = if state.queued == 0 { 0.0 } else { (state.queued_us + us).max(0.0) };
        self.queued_us = if self.queued == 0 { 0.0 } else { (self.queued_us + us).max(0.0) };
        if idle != (state.queued == 0) {
            state.idle_since = self.now;
            self.weight += if idle { state.settings.weight } else { -state.settings.weight };
        }
        if self.queued == 0 {
            self.weight = 0.0;
        }
    }

    fn team(&mut self, now: Micros, name: &id::Team) -> queue::Team {
        if let Some(team) = self.team_index.get(name) {
            return *team;
        }
        let team = queue::Team(self.teams.len() as u32);
        let settings = self.settings.team;
        self.teams.push(Team {
            settings,
            bucket: None,
            retries: retry::Budget::new(now, f64::from(settings.retry_percent) / 100.0),
            hedges: retry::Budget::without_floor(now, HEDGE_PART),
            queued: 0,
            queued_us: 0.0,
            idle_since: now,
        });
        self.weights += settings.weight;
        self.team_index.insert(name.clone(), team);
        team
    }

    fn demand(&mut self, kind: &str, needs: &job::Needs) -> usize {
        if self.demands.len() > DEMANDS_MAX && self.runs.is_empty() {
            self.demands.clear();
            self.demand_index.clear();
        }
        let id = (self.book.kind(kind), (needs.cpus, needs.memory_mb, needs.accelerators));
        if let Some(demand) = self.demand_index.get(&id) {
            return *demand;
        }
        let lane = self.lane(kind, needs);
        self.demands.push(Demand { kind: kind.to_owned(), needs: *needs, lane });
        self.demand_index.insert(id, self.demands.len() - 1);
        self.demands.len() - 1
    }

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

    /// Sorts everything into lanes again after a new group of servers has appeared.
    fn rebuild_lanes(&mut self) {
        self.lanes.clear();
        self.lane_index.clear();
        for demand in 0..self.demands.len() {
            let (kind, needs) =
                (std::mem::take(&mut self.demands[demand].kind), self.demands[demand].needs);
            self.demands[demand].lane = self.lane(&kind, &needs);
            self.demands[demand].kind = kind;
        }
        for team in &mut self.teams {
            (team.queued, team.queued_us) = (0, 0.0);
        }
        (self.queued, self.queued_us, self.weight) = (0, 0.0, 0.0);
        let keys: Vec<usize> = self.runs.iter().map(|(key, _)| key).collect();
        for key in keys {
            for part in std::mem::take(&mut self.runs[key].parts) {
                for task in part.tasks {
                    self.enqueue(key, task);
                }
            }
        }
        for (_, flight) in &mut self.flights {
            if let Some(run) = flight.run {
                let demand = self.runs[run].tasks[usize::from(flight.attempt.task)].demand;
                flight.lane = self.demands[demand].lane;
            }
        }
    }
}
