//! Chooses the backend server for a task: the best expected completion among a few candidates.

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
            server::{Others, Server, TIERS},
        },
        speed,
    },
    protocol::{
        id,
        wire::{control, sidecar},
    },
};

/// Up to this many servers all are looked at.
const ALL_MAX: usize = 16;
/// Candidates drawn from each of the best tiers.
const DRAWS: usize = 4;
/// Round trip assumed within a data centre and to others, in µs.
const RTT_OWN_US: f64 = 500.0;
const RTT_FAR_US: f64 = 3_000.0;
/// Weight of a round trip that is longer than expected; shorter ones count at once.
const RTT_GAIN: f64 = 0.02;
/// Weight of a reply in the mean number of other entries' attempts.
const OTHERS_GAIN: f64 = 0.02;
/// A task waits for a faster server only if that is expected to save this much.
const HOLD_GAIN: f64 = 1.05;
/// Of so many servers, so many keep one slot free of bulk tasks.
const RESERVED_OF: usize = 11;
const RESERVED: usize = 5;
/// Smallest part of the capacity that an entry counts on.
const CAPACITY_PART_MIN: f64 = 0.1;

/// Key of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub usize);

/// What to do with a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    Start(Key),
    /// Only slow servers have room, and waiting for a faster one is better.
    Hold,
    Full,
}

#[derive(Debug)]
struct Dc {
    name: String,
    rtt_us: f64,
}

/// A task to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Expected run time at speed 1.
    pub mean_us: f64,
    /// Tasks that wait for the same servers, including this one.
    pub queued: usize,
    /// A server it must not go to: the one that has its first attempt.
    pub except: Option<Key>,
    pub restartable: bool,
    /// Whether it leaves the reserved slots to others.
    pub bulk: bool,
}

/// All known backend servers.
#[derive(Debug)]
pub struct Router {
    pub servers: Slab<Server>,
    index: IndexMap<id::Incarnation, Key>,
    /// The server list, to sort it into groups again when placements change.
    announced: IndexMap<id::Incarnation, control::Server>,
    placements: Vec<dispatch::Placement>,
    /// Servers that left the server list while attempts were in flight.
    gone: IndexMap<id::Incarnation, Key>,
    pub groups: Vec<Group>,
    dcs: Vec<Dc>,
    pub others: Others,
    /// Mean run time of all tasks at speed 1, in µs.
    pub overall_us: f64,
    log_speed: f64,
    ejected: usize,
    /// Servers for which a trial was due at the last tick.
    trials: Vec<Key>,
    /// Completion rate of all servers together in units of speed 1, less the other entries' part.
    capacity: f64,
    /// The same with the other entries' part.
    capacity_all: f64,
}

impl Router {
    /// A router without servers. `own` is the entry's data centre; round trips are in µs.
    pub fn new(own: &str, rtts: &[(String, Micros)]) -> Self {
        let mut router = Self {
            servers: Slab::new(),
            index: IndexMap::new(),
            announced: IndexMap::new(),
            placements: Vec::new(),
            gone: IndexMap::new(),
            groups: Vec::new(),
            dcs: vec![Dc { name: own.to_owned(), rtt_us: RTT_OWN_US }],
            others: Others { per_slot: 0.0, stale_us: speed::UNKNOWN_US },
            overall_us: speed::UNKNOWN_US,
            log_speed: 0.0,
            ejected: 0,
            trials: Vec::new(),
            capacity: 0.0,
            capacity_all: 0.0,
        };
        for (name, rtt) in rtts {
            let dc = router.dc(name);
            router.dcs[dc].rtt_us = *rtt as f64;
        }
        router
    }

    /// Number of servers in the server list.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Number of servers ejected for their health.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Key of a server in the server list.
    pub fn key(&self, incarnation: id::Incarnation) -> Option<Key> {
        self.index.get(&incarnation).copied()
    }

    /// Adds or changes a server. True if a group was added.
    pub fn put(&mut self, now: Micros, announced: &control::Server) -> bool {
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
        server.member_at = group.members.len() as u32;
        group.members.push(key);
        group.rates[server.tier] += server.rate;
        group.top_tier = group.top_tier.max(server.tier);
        self.refresh(now, key);
        self.groups.len() > groups
    }

    /// Takes over where kinds may run. Returns whether anything has changed.
    pub fn set_placements(&mut self, now: Micros, placements: Vec<dispatch::Placement>) -> bool {
        if placements == self.placements {
            return false;
        }
        self.placements = placements;
        let announced: Vec<control::Server> = self.announced.values().cloned().collect();
        for server in announced {
            self.put(now, &server);
        }
        true
    }

    /// Takes a server out of use.
    pub fn remove(&mut self, incarnation: id::Incarnation) {
        self.announced.swap_remove(&incarnation);
        let Some(key) = self.index.swap_remove(&incarnation) else { return };
        self.leave_group(key);
        let server = &mut self.servers[key.0];
        server.gone = true;
        if server.health.is_ejected() {
            self.ejected -= 1;
        }
        if server.mine == 0 {
            self.servers.remove(key.0);
        } else {
            self.gone.insert(incarnation, key);
        }
    }

    /// Incarnations in the server list.
    pub fn incarnations(&self) -> Vec<id::Incarnation> {
        self.index.keys().copied().collect()
    }

    /// Round trip to a server, in µs.
    pub fn rtt_us(&self, key: Key) -> f64 {
        self.dcs[self.groups[self.servers[key.0].group as usize].dc].rtt_us
    }

    /// Run time, at speed 1, that all servers do per unit of time.
    pub fn capacity_all(&self) -> f64 {
        self.capacity_all
    }

    /// Whether a server's speed is below this part of the mean.
    pub fn is_slow(&self, key: Key, part: f64) -> bool {
        self.servers[key.0].speed.log() < self.log_speed + part.ln()
    }

    /// Counts an attempt as sent.
    pub fn sent(&mut self, now: Micros, key: Key, rate: f64) {
        let server = &mut self.servers[key.0];
        if server.wants_trial(now) {
            server.health.trial_started();
        }
        server.sent(now, rate);
        if !server.gone {
            let group = &mut self.groups[server.group as usize];
            group.rates[server.tier] += rate;
            group.top_tier = group.top_tier.max(server.tier);
        }
        self.refresh(now, key);
    }

    /// Counts an attempt as ended or given up.
    pub fn ended(&mut self, now: Micros, key: Key, rate: f64) {
        let server = &mut self.servers[key.0];
        server.ended(now, rate);
        if !server.gone {
            let rates = &mut self.groups[server.group as usize].rates[server.tier];
            *rates = (*rates - rate).max(0.0);
        }
    }

    /// Takes over what a reply tells. To be called after `ended`.
    pub fn heard(&mut self, now: Micros, key: Key, load: Option<sidecar::Load>) {
        let server = &mut self.servers[key.0];
        server.heard(now, load);
        let slots = f64::from(server.slots.max(1));
        if load.is_some() {
            let part = server.others(now, self.others) / slots;
            self.others.per_slot += OTHERS_GAIN * (part - self.others.per_slot);
        }
    }

    /// Takes a round trip into account that had no queueing in it.
    pub fn travelled(&mut self, key: Key, rtt_us: f64) {
        let dc = self.groups[self.servers[key.0].group as usize].dc;
        let known = &mut self.dcs[dc].rtt_us;
        *known +=
            if rtt_us < *known { 0.5 } else { RTT_GAIN } * (rtt_us.min(*known * 4.0) - *known);
    }

    /// Takes over the overall mean run time and a server's changed speed.
    pub fn learned(&mut self, key: Key, overall_us: f64) {
        self.overall_us = overall_us;
        self.others.stale_us = overall_us.max(1_000.0);
        let weight = 0.5 / self.len().max(1) as f64;
        self.log_speed += weight * (self.servers[key.0].speed.log() - self.log_speed);
    }

    /// Ejects a server unless a third of all are. True if it was ejected.
    pub fn eject(&mut self, now: Micros, key: Key) -> bool {
        let most = self.len() / 3;
        let server = &mut self.servers[key.0];
        if server.gone || server.health.is_ejected() || self.ejected >= most {
            return false;
        }
        server.health.eject(now);
        self.ejected += 1;
        true
    }

    /// Notes an answer of a server, which readmits it if it was ejected.
    pub fn answered(&mut self, key: Key) {
        let server = &mut self.servers[key.0];
        if server.health.answered() && !server.gone {
            self.ejected -= 1;
        }
    }

    /// Frees a server that has left once nothing is in flight, or updates its place in the lists.
    pub fn settle(&mut self, now: Micros, key: Key) {
        let server = &self.servers[key.0];
        if !server.gone {
            self.refresh(now, key);
        } else if server.mine == 0 {
            self.gone.swap_remove(&server.incarnation);
            self.servers.remove(key.0);
        }
    }

    /// Updates the lists of servers with room, and ejects those that are silent far longer than
    /// their peers. Takes time in proportion to the number of servers; not part of a decision.
    pub fn tick(&mut self, now: Micros) {
        let mut silent = 0.0;
        let mut busy = 0.0;
        let keys: Vec<Key> = self.index.values().copied().collect();
        self.trials.clear();
        self.capacity = 0.0;
        for key in &keys {
            let server = &mut self.servers[key.0];
            if server.mine > 0 && !server.health.is_ejected() {
                silent += server.silence(now).min(50.0);
                busy += 1.0;
            }
        }
        for key in keys {
            let server = &mut self.servers[key.0];
            if server.mine > 0 && !server.health.is_ejected() {
                let silence = server.silence(now);
                let peers = (silent - silence.min(50.0)) / f64::max(busy - 1.0, 1.0);
                if server.health.is_unresponsive(silence, peers) {
                    self.eject(now, key);
                }
            }
            let server = &self.servers[key.0];
            if server.wants_trial(now) {
                self.trials.push(key);
            } else if server.serving && !server.health.is_ejected() {
                self.capacity += f64::from(server.slots) * server.speed.factor();
            }
            self.refresh(now, key);
        }
        self.capacity_all = self.capacity;
        self.capacity *= (1.0 - self.others.per_slot).max(CAPACITY_PART_MIN);
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

    /// Chooses a server among those of the given groups.
    pub fn choose(
        &self,
        now: Micros,
        groups: &[u32],
        task: &Task,
        random: &mut dyn RngCore,
    ) -> Choice {
        let mut best: Option<(f64, Key)> = None;
        let mut look = |key: Key| {
            let server = &self.servers[key.0];
            let reserve = task.bulk.then(|| if is_reserved(key) { 1.0 } else { 0.0 });
            if Some(key) == task.except || !server.has_room(now, self.others, reserve) {
                return;
            }
            if !task.restartable && server.health.is_suspect(now) {
                return;
            }
            let run = server.completion_us(now, self.others, task.mean_us, self.overall_us);
            let cost = run + 4.0 * self.dcs[self.groups[server.group as usize].dc].rtt_us;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        };
        let total: usize = groups.iter().map(|g| self.groups[*g as usize].members.len()).sum();
        if total <= ALL_MAX {
            // Starts at a random one, so that entries do not all prefer the same server.
            let skip = random.random_range(0..total.max(1));
            let all = || groups.iter().flat_map(|g| &self.groups[*g as usize].members);
            all().skip(skip).chain(all().take(skip)).for_each(|key| look(*key));
        } else {
            self.draw(groups, random, &mut look);
        }
        let Some((cost, key)) = best else { return Choice::Full };
        if self.is_worth_waiting(groups, cost, self.servers[key.0].tier, task) {
            Choice::Hold
        } else {
            Choice::Start(key)
        }
    }

    /// A server that has been due for a trial for at least `patience`.
    pub fn trial(&mut self, now: Micros, groups: &[u32], patience: Micros) -> Option<Key> {
        let at = self.trials.iter().take(DRAWS).position(|key| {
            let Some(server) = self.servers.get(key.0) else { return true };
            let due = now >= server.health.changes_at() + patience;
            !server.wants_trial(now) || (due && groups.contains(&server.group))
        })?;
        let key = self.trials.swap_remove(at);
        self.servers.get(key.0).is_some_and(|s| s.wants_trial(now)).then_some(key)
    }

    /// Run time, at speed 1, that this entry can have done per unit of time.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Candidates of the two fastest tiers with room, in the own and in other data centres.
    fn draw(&self, groups: &[u32], random: &mut dyn RngCore, look: &mut impl FnMut(Key)) {
        for own in [true, false] {
            let mut mask = 0;
            let of_side = || {
                groups
                    .iter()
                    .map(|g| &self.groups[*g as usize])
                    .filter(move |g| (g.dc == 0) == own && g.room_mask != 0)
            };
            of_side().for_each(|g| mask |= g.room_mask);
            for _ in 0..2 {
                let Some(tier) = mask.checked_ilog2() else { break };
                mask &= !(1 << tier);
                let count: usize = of_side().map(|g| g.room[tier as usize].len()).sum();
                for _ in 0..DRAWS.min(count) {
                    let mut at = random.random_range(0..count);
                    for group in of_side() {
                        let room = &group.room[tier as usize];
                        if at < room.len() {
                            look(room[at]);
                            break;
                        }
                        at -= room.len();
                    }
                }
            }
        }
    }

    /// Whether all tasks that wait would be done earlier by faster servers alone. It is a threshold
    /// on the length of the queue, so slow servers are used as soon as the queue is long enough.
    fn is_worth_waiting(&self, groups: &[u32], cost: f64, tier: usize, task: &Task) -> bool {
        let (mut rate, mut work) = (0.0, 0.0);
        for group in groups {
            let Group { rates, top_tier, .. } = &self.groups[*group as usize];
            if *top_tier < tier + 2 {
                continue;
            }
            for (faster, r) in rates.iter().enumerate().skip(tier + 2) {
                rate += r;
                work += r * server::tier_speed(faster);
            }
        }
        if rate <= 0.0 {
            return false;
        }
        let run = task.mean_us * rate / work;
        (task.queued as f64 / rate + run + RTT_OWN_US) * HOLD_GAIN < cost
    }

    fn revive_or_insert(&mut self, announced: &control::Server) -> Key {
        if let Some(key) = self.gone.swap_remove(&announced.incarnation) {
            let server = &mut self.servers[key.0];
            server.gone = false;
            server.health = health::Health::default();
            return key;
        }
        let speed = speed::Speed::new(self.log_speed);
        Key(self.servers.insert(Server::new(announced.incarnation, announced.slots, speed)))
    }

    fn group(&mut self, announced: &control::Server) -> usize {
        let dc = self.dc(&announced.data_centre);
        let mut kinds = announced.kinds.clone();
        kinds.sort();
        let denied = self.placements.iter().filter(|placement| !placement.allows(announced));
        let denied: Vec<String> = denied.map(|placement| placement.kind.clone()).collect();
        let same = |g: &Group| {
            g.dc == dc && g.size == announced.size && g.kinds == kinds && g.denied == denied
        };
        if let Some(at) = self.groups.iter().position(same) {
            return at;
        }
        self.groups.push(Group {
            dc,
            kinds,
            denied,
            size: announced.size,
            members: Vec::new(),
            room: Default::default(),
            room_mask: 0,
            rates: [0.0; TIERS],
            top_tier: 0,
        });
        self.groups.len() - 1
    }

    fn dc(&mut self, name: &str) -> usize {
        if let Some(at) = self.dcs.iter().position(|dc| dc.name == name) {
            return at;
        }
        self.dcs.push(Dc { name: name.to_owned(), rtt_us: RTT_FAR_US });
        self.dcs.len() - 1
    }

    fn leave_group(&mut self, key: Key) {
        self.unlist(key);
        let server = &self.servers[key.0];
        let (at, tier, rate) = (server.member_at as usize, server.tier, server.rate);
        let group = &mut self.groups[server.group as usize];
        group.rates[tier] = (group.rates[tier] - rate).max(0.0);
        group.members.swap_remove(at);
        if let Some(moved) = group.members.get(at) {
            self.servers[moved.0].member_at = at as u32;
        }
    }

    fn refresh(&mut self, now: Micros, key: Key) {
        let server = &mut self.servers[key.0];
        if server.gone {
            return;
        }
        let room = server.has_room(now, self.others, None);
        let tier = server::tier(server.speed.factor());
        if room == server.room_at.is_some() && tier == server.tier {
            return;
        }
        self.unlist(key);
        let server = &mut self.servers[key.0];
        let group = &mut self.groups[server.group as usize];
        group.rates[server.tier] = (group.rates[server.tier] - server.rate).max(0.0);
        group.rates[tier] += server.rate;
        group.top_tier = group.top_tier.max(tier);
        server.tier = tier;
        if room {
            server.room_at = Some(group.room[tier].len() as u32);
            group.room[tier].push(key);
            group.room_mask |= 1 << tier;
        }
    }

    fn unlist(&mut self, key: Key) {
        let server = &mut self.servers[key.0];
        let Some(at) = server.room_at.take() else { return };
        let (at, tier) = (at as usize, server.tier);
        let group = &mut self.groups[server.group as usize];
        group.room[tier].swap_remove(at);
        if group.room[tier].is_empty() {
            group.room_mask &= !(1 << tier);
        }
        if let Some(moved) = group.room[tier].get(at) {
            self.servers[moved.0].room_at = Some(at as u32);
        }
    }
}

/// Whether one slot of a server is kept from bulk tasks.
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
