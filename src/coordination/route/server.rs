//! One backend server as an entry sees it.

use crate::{
    coordination::{
        dispatch::Micros,
        health::{self, Access},
        limit, speed,
    },
    protocol::{id, wire::sidecar},
};

/// Number of speed tiers; each spans a factor of √2.
pub const TIERS: usize = 24;
/// Tier of speed 1.
const TIER_OF_ONE: f64 = 12.0;
/// Attempts sent without any reply, as a part of the slots: what other entries have sent meanwhile
/// is not known, and a sidecar's queue is short.
const UNCONFIRMED_PART: f64 = 0.75;
/// An entry with less than this part of the slots may use the server's queue, else another entry
/// that refills each slot as it falls free would keep it out.
const FAIR_PART: f64 = 0.375;
/// Most attempts it may have queued there.
const QUEUED_MAX: f64 = 2.0;
/// Mean attempts of other entries per slot from which on that bound holds in full. An entry that is
/// alone may fill all slots with long tasks at once.
const SHARED_FROM: f64 = 0.1;
/// Part of a slot that the estimate of other entries' attempts may be off without closing it.
const SLACK: f64 = 0.5;

/// Backend server with its window, learned speed and health.
#[derive(Debug)]
pub struct Server {
    pub incarnation: id::Incarnation,
    pub group: u32,
    pub slots: u16,
    pub serving: bool,
    /// Not in the server list any more; kept while attempts are in flight.
    pub gone: bool,
    pub health: health::Health,
    pub window: limit::Window,
    pub speed: speed::Speed,
    /// Attempts of this entry in flight.
    pub mine: u32,
    /// Attempts sent since the last reply.
    unconfirmed: u32,
    /// Other entries' attempts at the last reply.
    others: f64,
    seen_at: Option<Micros>,
    /// Sum of 1/expected time over the attempts in flight, per µs.
    pub rate: f64,
    /// Replies to be expected since the last one.
    silence: f64,
    silence_at: Micros,
    pub tier: usize,
    /// Position in the group's list of servers with room, by tier.
    pub room_at: Option<u32>,
    pub member_at: u32,
}

/// What the entry assumes of other entries.
#[derive(Debug, Clone, Copy)]
pub struct Others {
    /// Mean number of their attempts per slot.
    pub per_slot: f64,
    /// Time in which what is known of one server becomes stale, in µs.
    pub stale_us: f64,
}

impl Server {
    /// A backend server that has just been announced.
    pub fn new(incarnation: id::Incarnation, slots: u16, speed: speed::Speed) -> Self {
        Self {
            incarnation,
            group: 0,
            slots,
            serving: true,
            gone: false,
            health: health::Health::default(),
            window: limit::Window::new(slots),
            speed,
            mine: 0,
            unconfirmed: 0,
            others: 0.0,
            seen_at: None,
            rate: 0.0,
            silence: 0.0,
            silence_at: 0,
            tier: tier(speed.factor()),
            room_at: None,
            member_at: 0,
        }
    }

    /// Estimate of other entries' attempts: the last known number, drawn to the mean as it ages.
    pub fn others(&self, now: Micros, others: Others) -> f64 {
        let mean = others.per_slot * f64::from(self.slots);
        let Some(seen_at) = self.seen_at else { return mean };
        let age = now.saturating_sub(seen_at) as f64 / others.stale_us;
        // Stands in for exp(-age).
        mean + (self.others - mean) / (1.0 + age + age * age / 2.0)
    }

    /// Whether a further attempt may be sent. With a `reserve` it leaves so many slots free, and
    /// does not use the server's queue.
    pub fn has_room(&self, now: Micros, others: Others, reserve: Option<f64>) -> bool {
        if !self.serving || self.gone {
            return false;
        }
        match self.health.access(now, self.mine) {
            Access::Closed | Access::Trial => false,
            Access::Single => self.mine == 0,
            Access::Open => {
                let shared = (others.per_slot / SHARED_FROM).min(1.0);
                let part = 1.0 - shared * (1.0 - UNCONFIRMED_PART);
                let unconfirmed_max = (f64::from(self.slots) * part).ceil();
                let mine = f64::from(self.mine);
                let fair = f64::from(self.slots) * FAIR_PART;
                let extra = match reserve {
                    Some(reserve) => -reserve,
                    None => QUEUED_MAX * (1.0 - mine / fair).max(0.0),
                };
                f64::from(self.unconfirmed) < unconfirmed_max
                    && mine + 1.0 + self.others(now, others) <= self.window.limit() + SLACK + extra
            }
        }
    }

    /// Whether a trial is due.
    pub fn wants_trial(&self, now: Micros) -> bool {
        self.serving && !self.gone && self.health.access(now, self.mine) == Access::Trial
    }

    /// Expected time until an attempt sent now has its answer, without the network, in µs.
    pub fn completion_us(&self, now: Micros, others: Others, mean_us: f64, overall_us: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let unknown = self.others(now, others);
        let occupied = f64::from(self.mine) + unknown;
        // Attempts ahead of a free slot; smooth, as the number of others' attempts is a guess.
        let over = occupied + 1.0 - slots;
        let spread = 0.25 + 0.5 * unknown.max(0.0).sqrt();
        let ahead = if over >= 2.0 * spread {
            over
        } else if over <= -2.0 * spread {
            0.0
        } else {
            (over + 2.0 * spread).powi(2) / (8.0 * spread)
        };
        let factor = self.speed.factor();
        // The last term decides between idle servers of the same speed.
        ahead / slots * overall_us / factor + mean_us / factor * (1.0 + 0.2 * occupied / slots)
    }

    /// Counts an attempt as sent; `rate` is 1/expected time.
    pub fn sent(&mut self, now: Micros, rate: f64) {
        self.pass(now);
        self.mine += 1;
        self.unconfirmed += 1;
        self.rate += rate;
    }

    /// Counts an attempt as ended or given up.
    pub fn ended(&mut self, now: Micros, rate: f64) {
        self.pass(now);
        self.mine = self.mine.saturating_sub(1);
        self.rate = if self.mine == 0 { 0.0 } else { (self.rate - rate).max(0.0) };
    }

    /// Takes over the load that a reply carried, which does not count the replied attempt. To be
    /// called after `ended`.
    pub fn heard(&mut self, now: Micros, load: Option<sidecar::Load>) {
        self.unconfirmed = 0;
        if let Some(load) = load {
            let total = f64::from(load.busy) + f64::from(load.queued);
            self.others = (total - f64::from(self.mine)).max(0.0);
            self.seen_at = Some(now);
            if load.slots > 0 && load.slots != self.slots {
                self.slots = load.slots;
                self.window.set_slots(load.slots);
            }
        }
    }

    /// An attempt ran to its end. Refusals do not count: a sidecar refuses while its backend server
    /// is frozen.
    pub fn ran(&mut self, now: Micros) {
        self.silence = 0.0;
        self.silence_at = now;
    }

    /// Replies that were to be expected since the last one.
    pub fn silence(&mut self, now: Micros) -> f64 {
        self.pass(now);
        self.silence
    }

    fn pass(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.silence_at) as f64;
        if self.mine == 0 {
            self.silence = 0.0;
        } else {
            self.silence += passed * self.rate;
        }
        self.silence_at = now;
    }
}

/// Tier of a speed.
pub fn tier(speed: f64) -> usize {
    (speed.log2() * 2.0 + TIER_OF_ONE).clamp(0.0, TIERS as f64 - 1.0) as usize
}

/// Speed in the middle of a tier.
pub fn tier_speed(tier: usize) -> f64 {
    ((tier as f64 + 0.5 - TIER_OF_ONE) / 2.0).exp2()
}
