//! Chooses the backend server for a task: the one with the earliest expected completion among a few
//! candidates.

pub mod group;
pub mod server;

use indexmap::IndexMap;
use rand::{Rng, RngCore};
use slab::Slab;

use crate::{
    coordination::{
        dispatch::{self, Micros},
        health,
        route::{
            group::Group,
            server::{OtherEntries, Server, TIERS},
        },
        speed,
    },
    protocol::{
        id,
        wire::{control, sidecar},
    },
};

/// Number of servers up to which all of them are candidates.
const EXHAUSTIVE_MAX: usize = 16;
/// Candidates drawn from each of the best tiers; also the number of due trials that are checked.
const SAMPLES: usize = 4;
/// Assumed round trip within the own data centre, in µs.
const RTT_OWN_US: f64 = 500.0;
/// Assumed round trip to another data centre, in µs.
const RTT_OTHER_US: f64 = 3_000.0;
/// Weight of a measured round trip that is longer than the estimate; a shorter one has weight 0.5.
const RTT_GAIN: f64 = 0.02;
/// Weight of a reply in the mean number of other entries' attempts per slot.
const OTHERS_GAIN: f64 = 0.02;
/// A task waits for a faster server only if its expected completion there, times this factor, is
/// still earlier.
const WAIT_GAIN: f64 = 1.05;
/// Of each `RESERVED_OF` servers, `RESERVED` have one reserved slot, which tasks with
/// `Task::avoids_reserved` leave free.
const RESERVED_OF: usize = 11;
const RESERVED: usize = 5;
/// Smallest share of the capacity that an entry counts on.
const CAPACITY_SHARE_MIN: f64 = 0.1;

/// Key of a backend server in `Router::servers`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub usize);

/// What to do with a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    Start(Key),
    /// Only slow servers have free capacity. The task should wait, because faster servers are
    /// expected to complete it earlier than these would.
    Wait,
    NoCapacity,
}

#[derive(Debug)]
struct DataCentre {
    name: String,
    rtt_us: f64,
}

/// A task to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Expected run time at speed 1, in µs.
    pub mean_us: f64,
    /// Number of queued tasks that fit the same servers, including this one.
    pub queued: usize,
    /// Server that must not be chosen: for a hedge, the one that has the first attempt of the task.
    pub excluded: Option<Key>,
    pub restartable: bool,
    /// Whether the task may not use reserved slots.
    pub avoids_reserved: bool,
}

/// All known backend servers.
#[derive(Debug)]
pub struct Router {
    pub servers: Slab<Server>,
    /// Keys of the servers in the registry.
    index: IndexMap<id::Incarnation, Key>,
    /// The registry as announced, from which the groups are built again when placements change.
    announced: IndexMap<id::Incarnation, control::Server>,
    placements: Vec<dispatch::Placement>,
    /// Servers that left the registry while attempts were in flight.
    delisted: IndexMap<id::Incarnation, Key>,
    pub groups: Vec<Group>,
    /// Data centres; the entry's own is the first.
    data_centres: Vec<DataCentre>,
    pub other_entries: OtherEntries,
    /// Mean run time of all tasks at speed 1, in µs.
    pub overall_us: f64,
    /// Moving mean of ln of the servers' speeds.
    mean_log_speed: f64,
    ejected: usize,
    /// Servers for which a trial was due at the last tick.
    due_trials: Vec<Key>,
    /// Run time at speed 1 that the usable servers, which serve and are not ejected, complete per
    /// unit of time, without the share of it that other entries use.
    capacity: f64,
    /// Run time at speed 1 that the usable servers complete per unit of time, including the share
    /// of it that other entries use.
    capacity_all: f64,
}

impl Router {
    /// Creates a router without servers. `own` is the entry's data centre; `rtts` are round trips
    /// to data centres in µs.
    pub fn new(own: &str, rtts: &[(String, Micros)]) -> Self {
        let mut router = Self {
            servers: Slab::new(),
            index: IndexMap::new(),
            announced: IndexMap::new(),
            placements: Vec::new(),
            delisted: IndexMap::new(),
            groups: Vec::new(),
            data_centres: vec![DataCentre { name: own.to_owned(), rtt_us: RTT_OWN_US }],
            other_entries: OtherEntries { per_slot: 0.0, stale_us: speed::UNKNOWN_US },
            overall_us: speed::UNKNOWN_US,
            mean_log_speed: 0.0,
            ejected: 0,
            due_trials: Vec::new(),
            capacity: 0.0,
            capacity_all: 0.0,
        };
        for (name, rtt) in rtts {
            let data_centre = router.data_centre(name);
            router.data_centres[data_centre].rtt_us = *rtt as f64;
        }
        router
    }

    /// Number of servers in the registry.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether the registry has no servers.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Number of servers that are ejected because of their health.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Key of a server in the registry.
    pub fn key(&self, incarnation: id::Incarnation) -> Option<Key> {
        self.index.get(&incarnation).copied()
    }

    /// Adds or updates a server. Returns whether a group was added.
    pub fn upsert(&mut self, now: Micros, announced: &control::Server) -> bool {
        self.announced.insert(announced.incarnation, announced.clone());
        let groups = self.groups.len();
        let group = self.group(announced);
        let key = match self.key(announced.incarnation) {
            Some(key) => {
                self.leave_group(key);
                key
            }
            None => {
                let key = self.revive_or_insert(announced);
                self.index.insert(announced.incarnation, key);
                key
            }
        };
        let server = &mut self.servers[key.0];
        server.serving = announced.state == control::ServerState::Serving;
        if server.slots != announced.slots {
            server.slots = announced.slots;
            server.window.set_slots(announced.slots);
        }
        server.group = group as u32;
        let group = &mut self.groups[group];
        server.member_index = group.members.len() as u32;
        group.members.push(key);
        group.rates[server.tier] += server.rate;
        group.top_tier = group.top_tier.max(server.tier);
        self.refresh(now, key);
        self.groups.len() > groups
    }

    /// Replaces all placements of kinds. Returns whether anything has changed.
    pub fn set_placements(&mut self, now: Micros, placements: Vec<dispatch::Placement>) -> bool {
        if placements == self.placements {
            return false;
        }
        self.placements = placements;
        let announced: Vec<control::Server> = self.announced.values().cloned().collect();
        for server in announced {
            self.upsert(now, &server);
        }
        true
    }

    /// Removes a server from use. It is kept until none of its attempts is in flight.
    pub fn remove(&mut self, incarnation: id::Incarnation) {
        self.announced.swap_remove(&incarnation);
        let Some(key) = self.index.swap_remove(&incarnation) else { return };
        self.leave_group(key);
        let server = &mut self.servers[key.0];
        server.delisted = true;
        if server.health.is_ejected() {
            self.ejected -= 1;
        }
        if server.in_flight == 0 {
            self.servers.remove(key.0);
        } else {
            self.delisted.insert(incarnation, key);
        }
    }

    /// Incarnations of the servers in the registry.
    pub fn incarnations(&self) -> Vec<id::Incarnation> {
        self.index.keys().copied().collect()
    }

    /// Round trip to a server, in µs.
    pub fn rtt_us(&self, key: Key) -> f64 {
        let data_centre = self.groups[self.servers[key.0].group as usize].data_centre;
        self.data_centres[data_centre].rtt_us
    }

    /// Run time at speed 1 that all servers that serve and are not ejected complete per unit of
    /// time, for all entries together.
    pub fn capacity_all(&self) -> f64 {
        self.capacity_all
    }

    /// Whether a server's speed is below the mean times `ratio`.
    pub fn is_slow(&self, key: Key, ratio: f64) -> bool {
        self.servers[key.0].speed.log() < self.mean_log_speed + ratio.ln()
    }

    /// Counts an attempt as sent; `rate` is the inverse of the expected time until its reply, per
    /// µs.
    pub fn record_sent(&mut self, now: Micros, key: Key, rate: f64) {
        let server = &mut self.servers[key.0];
        if server.is_trial_due(now) {
            server.health.trial_started();
        }
        server.record_sent(now, rate);
        if !server.delisted {
            let group = &mut self.groups[server.group as usize];
            group.rates[server.tier] += rate;
            group.top_tier = group.top_tier.max(server.tier);
        }
        self.refresh(now, key);
    }

    /// Counts an attempt as ended or abandoned.
    pub fn record_ended(&mut self, now: Micros, key: Key, rate: f64) {
        let server = &mut self.servers[key.0];
        server.record_ended(now, rate);
        if !server.delisted {
            let rates = &mut self.groups[server.group as usize].rates[server.tier];
            *rates = (*rates - rate).max(0.0);
        }
    }

    /// Records a reply and the load that it carried, if any. To be called after `record_ended`.
    pub fn record_load(&mut self, now: Micros, key: Key, load: Option<sidecar::Load>) {
        let server = &mut self.servers[key.0];
        server.record_load(now, load);
        let slots = f64::from(server.slots.max(1));
        if load.is_some() {
            let per_slot = server.others_in_flight(now, self.other_entries) / slots;
            self.other_entries.per_slot += OTHERS_GAIN * (per_slot - self.other_entries.per_slot);
        }
    }

    /// Updates the estimated round trip to a server's data centre with a measured round trip to the
    /// server that included no queueing.
    pub fn record_round_trip(&mut self, key: Key, rtt_us: f64) {
        let data_centre = self.groups[self.servers[key.0].group as usize].data_centre;
        let known = &mut self.data_centres[data_centre].rtt_us;
        *known +=
            if rtt_us < *known { 0.5 } else { RTT_GAIN } * (rtt_us.min(*known * 4.0) - *known);
    }

    /// Replaces the overall mean run time, and moves the mean speed of the servers towards the
    /// changed speed of one server.
    pub fn update_speeds(&mut self, key: Key, overall_us: f64) {
        self.overall_us = overall_us;
        self.other_entries.stale_us = overall_us.max(1_000.0);
        let weight = 0.5 / self.len().max(1) as f64;
        self.mean_log_speed += weight * (self.servers[key.0].speed.log() - self.mean_log_speed);
    }

    /// Ejects a server unless a third of all are ejected already. Returns whether it was ejected.
    pub fn eject(&mut self, now: Micros, key: Key) -> bool {
        let ejected_max = self.len() / 3;
        let server = &mut self.servers[key.0];
        if server.delisted || server.health.is_ejected() || self.ejected >= ejected_max {
            return false;
        }
        server.health.eject(now);
        self.ejected += 1;
        true
    }

    /// Records an answer of a server, which readmits it if it was ejected.
    pub fn record_answer(&mut self, key: Key) {
        let server = &mut self.servers[key.0];
        if server.health.answered() && !server.delisted {
            self.ejected -= 1;
        }
    }

    /// Frees a server that has left the registry once nothing is in flight at it, or updates the
    /// place of a registered one in the lists.
    pub fn update_or_free(&mut self, now: Micros, key: Key) {
        let server = &self.servers[key.0];
        if !server.delisted {
            self.refresh(now, key);
        } else if server.in_flight == 0 {
            self.delisted.swap_remove(&server.incarnation);
            self.servers.remove(key.0);
        }
    }

    /// Ejects servers that have missed far more replies than their peers, and computes anew which
    /// trials are due, the capacities, the groups' rates of expected replies and the lists of
    /// servers with free capacity. The call takes time in proportion to the number of servers, so
    /// it is made at intervals and not for each task.
    pub fn tick(&mut self, now: Micros) {
        let mut missed_sum = 0.0;
        let mut used = 0.0;
        let keys: Vec<Key> = self.index.values().copied().collect();
        self.due_trials.clear();
        self.capacity = 0.0;
        for key in &keys {
            let server = &mut self.servers[key.0];
            if server.in_flight > 0 && !server.health.is_ejected() {
                missed_sum += server.missed_replies(now).min(50.0);
                used += 1.0;
            }
        }
        for key in keys {
            let server = &mut self.servers[key.0];
            if server.in_flight > 0 && !server.health.is_ejected() {
                let missed = server.missed_replies(now);
                let peers_missed = (missed_sum - missed.min(50.0)) / f64::max(used - 1.0, 1.0);
                if server.health.is_unresponsive(missed, peers_missed) {
                    self.eject(now, key);
                }
            }
            let server = &self.servers[key.0];
            if server.is_trial_due(now) {
                self.due_trials.push(key);
            } else if server.serving && !server.health.is_ejected() {
                self.capacity += f64::from(server.slots) * server.speed.factor();
            }
            self.refresh(now, key);
        }
        self.capacity_all = self.capacity;
        self.capacity *= (1.0 - self.other_entries.per_slot).max(CAPACITY_SHARE_MIN);
        for group in &mut self.groups {
            group.rates = [0.0; TIERS];
            group.top_tier = 0;
            for key in &group.members {
                let server = &self.servers[key.0];
                group.rates[server.tier] += server.rate;
                if server.rate > 0.0 {
                    group.top_tier = group.top_tier.max(server.tier);
                }
            }
        }
    }

    /// Chooses a server for a task among those of the given groups.
    pub fn choose(
        &self,
        now: Micros,
        groups: &[u32],
        task: &Task,
        random: &mut dyn RngCore,
    ) -> Choice {
        let mut best: Option<(f64, Key)> = None;
        let mut consider = |key: Key| {
            let server = &self.servers[key.0];
            let reserve = task.avoids_reserved.then(|| if is_reserved(key) { 1.0 } else { 0.0 });
            if Some(key) == task.excluded || !server.has_capacity(now, self.other_entries, reserve)
            {
                return;
            }
            if !task.restartable && server.health.is_suspect(now) {
                return;
            }
            let run = server.completion_us(now, self.other_entries, task.mean_us, self.overall_us);
            let data_centre = self.groups[server.group as usize].data_centre;
            let cost = run + 4.0 * self.data_centres[data_centre].rtt_us;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        };
        let total: usize = groups.iter().map(|g| self.groups[*g as usize].members.len()).sum();
        if total <= EXHAUSTIVE_MAX {
            // The search starts at a random server, so that entries do not all prefer the same one.
            let skip = random.random_range(0..total.max(1));
            let all = || groups.iter().flat_map(|g| &self.groups[*g as usize].members);
            all().skip(skip).chain(all().take(skip)).for_each(|key| consider(*key));
        } else {
            self.sample(groups, random, &mut consider);
        }
        let Some((cost, key)) = best else { return Choice::NoCapacity };
        if self.is_worth_waiting(groups, cost, self.servers[key.0].tier, task) {
            Choice::Wait
        } else {
            Choice::Start(key)
        }
    }

    /// Takes a server of the given groups whose trial has been due for at least `patience`. Each
    /// call removes at most one key from the list of due trials. If that is a stale key, of a
    /// server that has left or whose trial is no longer due, the result is `None`, even if another
    /// trial is due.
    pub fn take_due_trial(&mut self, now: Micros, groups: &[u32], patience: Micros) -> Option<Key> {
        let index = self.due_trials.iter().take(SAMPLES).position(|key| {
            let Some(server) = self.servers.get(key.0) else { return true };
            let due = now >= server.health.changes_at() + patience;
            !server.is_trial_due(now) || (due && groups.contains(&server.group))
        })?;
        let key = self.due_trials.swap_remove(index);
        self.servers.get(key.0).is_some_and(|s| s.is_trial_due(now)).then_some(key)
    }

    /// Run time at speed 1 that all servers that serve and are not ejected complete per unit of
    /// time for this entry: `capacity_all` without the share that other entries use.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Draws candidates from the two fastest tiers with free capacity, in the own data centre and
    /// in the other ones.
    fn sample(&self, groups: &[u32], random: &mut dyn RngCore, consider: &mut impl FnMut(Key)) {
        for own in [true, false] {
            let mut tiers = 0;
            let of_side = || {
                groups
                    .iter()
                    .map(|g| &self.groups[*g as usize])
                    .filter(move |g| (g.data_centre == 0) == own && g.available_tiers != 0)
            };
            of_side().for_each(|g| tiers |= g.available_tiers);
            for _ in 0..2 {
                let Some(tier) = tiers.checked_ilog2() else { break };
                tiers &= !(1 << tier);
                let count: usize = of_side().map(|g| g.available[tier as usize].len()).sum();
                for _ in 0..SAMPLES.min(count) {
                    let mut index = random.random_range(0..count);
                    for group in of_side() {
                        let available = &group.available[tier as usize];
                        if index < available.len() {
                            consider(available[index]);
                            break;
                        }
                        index -= available.len();
                    }
                }
            }
        }
    }

    /// Whether a task should wait for a faster server although a server of tier `tier` has free
    /// capacity, where the expected time until its completion is `cost`, in µs. It should wait if
    /// the faster servers alone are expected to complete all queued tasks in less time. So slow
    /// servers are used once the queue is long enough. Only servers that are at least two tiers
    /// above `tier` count as faster.
    fn is_worth_waiting(&self, groups: &[u32], cost: f64, tier: usize, task: &Task) -> bool {
        let (mut rate, mut speed_sum) = (0.0, 0.0);
        for group in groups {
            let Group { rates, top_tier, .. } = &self.groups[*group as usize];
            if *top_tier < tier + 2 {
                continue;
            }
            for (faster, r) in rates.iter().enumerate().skip(tier + 2) {
                rate += r;
                speed_sum += r * server::tier_speed(faster);
            }
        }
        if rate <= 0.0 {
            return false;
        }
        // `speed_sum / rate` is the mean speed of the faster servers.
        let run = task.mean_us * rate / speed_sum;
        (task.queued as f64 / rate + run + RTT_OWN_US) * WAIT_GAIN < cost
    }

    /// Key of a server that is new to the registry, or back in it while its attempts are in flight.
    fn revive_or_insert(&mut self, announced: &control::Server) -> Key {
        if let Some(key) = self.delisted.swap_remove(&announced.incarnation) {
            let server = &mut self.servers[key.0];
            server.delisted = false;
            server.health = health::Health::default();
            return key;
        }
        let speed = speed::Speed::new(self.mean_log_speed);
        Key(self.servers.insert(Server::new(announced.incarnation, announced.slots, speed)))
    }

    /// Index of the group to which a server belongs, which is added if it is new.
    fn group(&mut self, announced: &control::Server) -> usize {
        let data_centre = self.data_centre(&announced.data_centre);
        let mut kinds = announced.kinds.clone();
        kinds.sort();
        let denied = self.placements.iter().filter(|placement| !placement.allows(announced));
        let denied: Vec<String> = denied.map(|placement| placement.kind.clone()).collect();
        let same = |g: &Group| {
            g.data_centre == data_centre
                && g.size == announced.size
                && g.kinds == kinds
                && g.denied == denied
        };
        if let Some(index) = self.groups.iter().position(same) {
            return index;
        }
        self.groups.push(Group {
            data_centre,
            kinds,
            denied,
            size: announced.size,
            members: Vec::new(),
            available: Default::default(),
            available_tiers: 0,
            rates: [0.0; TIERS],
            top_tier: 0,
        });
        self.groups.len() - 1
    }

    /// Index of a data centre, which is added if it is new.
    fn data_centre(&mut self, name: &str) -> usize {
        if let Some(index) = self.data_centres.iter().position(|known| known.name == name) {
            return index;
        }
        self.data_centres.push(DataCentre { name: name.to_owned(), rtt_us: RTT_OTHER_US });
        self.data_centres.len() - 1
    }

    fn leave_group(&mut self, key: Key) {
        self.remove_from_available(key);
        let server = &self.servers[key.0];
        let (index, tier, rate) = (server.member_index as usize, server.tier, server.rate);
        let group = &mut self.groups[server.group as usize];
        group.rates[tier] = (group.rates[tier] - rate).max(0.0);
        group.members.swap_remove(index);
        if let Some(moved) = group.members.get(index) {
            self.servers[moved.0].member_index = index as u32;
        }
    }

    /// Updates the tier of a server and whether it is listed as available.
    fn refresh(&mut self, now: Micros, key: Key) {
        let server = &mut self.servers[key.0];
        if server.delisted {
            return;
        }
        let available = server.has_capacity(now, self.other_entries, None);
        let tier = server::tier(server.speed.factor());
        if available == server.available_index.is_some() && tier == server.tier {
            return;
        }
        self.remove_from_available(key);
        let server = &mut self.servers[key.0];
        let group = &mut self.groups[server.group as usize];
        group.rates[server.tier] = (group.rates[server.tier] - server.rate).max(0.0);
        group.rates[tier] += server.rate;
        group.top_tier = group.top_tier.max(tier);
        server.tier = tier;
        if available {
            server.available_index = Some(group.available[tier].len() as u32);
            group.available[tier].push(key);
            group.available_tiers |= 1 << tier;
        }
    }

    /// Removes a server from the list of available ones.
    fn remove_from_available(&mut self, key: Key) {
        let server = &mut self.servers[key.0];
        let Some(index) = server.available_index.take() else { return };
        let (index, tier) = (index as usize, server.tier);
        let group = &mut self.groups[server.group as usize];
        group.available[tier].swap_remove(index);
        if group.available[tier].is_empty() {
            group.available_tiers &= !(1 << tier);
        }
        if let Some(moved) = group.available[tier].get(index) {
            self.servers[moved.0].available_index = Some(index as u32);
        }
    }
}

/// Whether one slot of a server is reserved.
fn is_reserved(key: Key) -> bool {
    key.0 % RESERVED_OF < RESERVED
}

impl Default for Router {
    fn default() -> Self {
        Self::new("", &[])
    }
}

impl From<&dispatch::Settings> for Router {
    fn from(settings: &dispatch::Settings) -> Self {
        Self::new(&settings.data_centre, &settings.round_trips)
    }
}
