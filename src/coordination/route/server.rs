//! State that an entry (a process that accepts submissions and sends their tasks to backend
//! servers) keeps of one backend server.
//!
//! A reply is what a sidecar returns for an attempt: an answer, a failure or a refusal.

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
/// Maximum number of attempts sent since the last reply, as a share of the slots. It is below 1
/// because the number of attempts that other entries have sent meanwhile is not known, and a
/// sidecar's queue is short.
const UNCONFIRMED_SHARE: f64 = 0.75;
/// Share of the slots below which an entry may also use the server's queue. If it could not,
/// another entry that refills each slot as soon as it is free would keep it from getting any.
const FAIR_SHARE: f64 = 0.375;
/// Maximum number of attempts that an entry may send beyond the window, to wait in the server's
/// queue. It applies while the entry has nothing in flight there, and falls linearly to 0 at
/// `FAIR_SHARE` of the slots.
const QUEUED_MAX: f64 = 2.0;
/// Mean number of other entries' attempts per slot at which `UNCONFIRMED_SHARE` applies in full.
/// With fewer, the share rises linearly to 1, so that an entry that is alone can fill all slots
/// with long tasks at once.
const SHARED_FROM: f64 = 0.1;
/// Number of attempts by which the window may be exceeded by the sum of the entry's attempts,
/// including the new one, and the estimate of other entries' attempts. Without it, an estimate
/// slightly above a whole number would leave a slot free.
const SLACK: f64 = 0.5;

/// A backend server with its window, learned speed and health.
#[derive(Debug)]
pub struct Server {
    pub incarnation: id::Incarnation,
    /// Index into `Router::groups`.
    pub group: u32,
    pub slots: u16,
    pub serving: bool,
    /// Whether it has left the registry and is only kept because attempts are in flight.
    pub delisted: bool,
    pub health: health::Health,
    pub window: limit::Window,
    pub speed: speed::Speed,
    /// Attempts of this entry in flight.
    pub in_flight: u32,
    /// Attempts sent since the last reply, which may have been a refusal.
    unconfirmed: u32,
    /// Number of other entries' attempts according to the load received at `load_at`.
    others: f64,
    /// When the last load was received.
    load_at: Option<Micros>,
    /// Rate of expected replies per µs: the sum of the inverse expected times until the replies to
    /// the attempts in flight.
    pub rate: f64,
    /// Number of missed replies: those expected from the time when an attempt last ran to its end,
    /// or nothing was in flight, until `counted_until`.
    missed_replies: f64,
    counted_until: Micros,
    pub tier: usize,
    /// Position in the group's list of available servers of the tier, if it is listed there.
    pub available_index: Option<u32>,
    /// Position in the group's list of members.
    pub member_index: u32,
}

/// What the entry assumes about the load from other entries.
#[derive(Debug, Clone, Copy)]
pub struct OtherEntries {
    /// Mean number of their attempts per slot.
    pub per_slot: f64,
    /// Time within which the last known load of a server becomes stale, in µs.
    pub stale_us: f64,
}

impl Server {
    /// Creates a backend server that has just been announced.
    pub fn new(incarnation: id::Incarnation, slots: u16, speed: speed::Speed) -> Self {
        Self {
            incarnation,
            group: 0,
            slots,
            serving: true,
            delisted: false,
            health: health::Health::default(),
            window: limit::Window::new(slots),
            speed,
            in_flight: 0,
            unconfirmed: 0,
            others: 0.0,
            load_at: None,
            rate: 0.0,
            missed_replies: 0.0,
            counted_until: 0,
            tier: tier(speed.factor()),
            available_index: None,
            member_index: 0,
        }
    }

    /// Estimate of other entries' attempts: the last known number, which approaches the mean with
    /// its age.
    pub fn others_in_flight(&self, now: Micros, other_entries: OtherEntries) -> f64 {
        let mean = other_entries.per_slot * f64::from(self.slots);
        let Some(load_at) = self.load_at else { return mean };
        let age = now.saturating_sub(load_at) as f64 / other_entries.stale_us;
        // The fraction approximates exp(-age).
        mean + (self.others - mean) / (1.0 + age + age * age / 2.0)
    }

    /// Whether a further attempt may be sent. With a `reserve`, that many slots must stay free and
    /// the server's queue is not used.
    pub fn has_capacity(
        &self,
        now: Micros,
        other_entries: OtherEntries,
        reserve: Option<f64>,
    ) -> bool {
        if !self.serving || self.delisted {
            return false;
        }
        match self.health.access(now, self.in_flight) {
            Access::Closed | Access::Trial => false,
            Access::Single => self.in_flight == 0,
            Access::Open => {
                let shared = (other_entries.per_slot / SHARED_FROM).min(1.0);
                let share = 1.0 - shared * (1.0 - UNCONFIRMED_SHARE);
                let unconfirmed_max = (f64::from(self.slots) * share).ceil();
                let in_flight = f64::from(self.in_flight);
                let fair = f64::from(self.slots) * FAIR_SHARE;
                let extra = match reserve {
                    Some(reserve) => -reserve,
                    None => QUEUED_MAX * (1.0 - in_flight / fair).max(0.0),
                };
                f64::from(self.unconfirmed) < unconfirmed_max
                    && in_flight + 1.0 + self.others_in_flight(now, other_entries)
                        <= self.window.limit() + SLACK + extra
            }
        }
    }

    /// Whether the server is ejected and an attempt may now test whether it has recovered.
    pub fn is_trial_due(&self, now: Micros) -> bool {
        self.serving && !self.delisted && self.health.access(now, self.in_flight) == Access::Trial
    }

    /// Expected time until an attempt that is sent now has its answer, without the network, in µs.
    pub fn completion_us(
        &self,
        now: Micros,
        other_entries: OtherEntries,
        mean_us: f64,
        overall_us: f64,
    ) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let others = self.others_in_flight(now, other_entries);
        let occupied = f64::from(self.in_flight) + others;
        // Number of attempts that must end before a slot is free. It rises smoothly from 0, because
        // the number of other entries' attempts is an estimate.
        let excess = occupied + 1.0 - slots;
        let spread = 0.25 + 0.5 * others.max(0.0).sqrt();
        let ahead = if excess >= 2.0 * spread {
            excess
        } else if excess <= -2.0 * spread {
            0.0
        } else {
            (excess + 2.0 * spread).powi(2) / (8.0 * spread)
        };
        let factor = self.speed.factor();
        // With the factor 0.2, a task goes to the less occupied one of two servers of the same
        // speed that have free slots.
        ahead / slots * overall_us / factor + mean_us / factor * (1.0 + 0.2 * occupied / slots)
    }

    /// Counts an attempt as sent; `rate` is the inverse of the expected time until its reply, per
    /// µs.
    pub fn record_sent(&mut self, now: Micros, rate: f64) {
        self.advance(now);
        self.in_flight += 1;
        self.unconfirmed += 1;
        self.rate += rate;
    }

    /// Counts an attempt as ended or abandoned.
    pub fn record_ended(&mut self, now: Micros, rate: f64) {
        self.advance(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.rate = if self.in_flight == 0 { 0.0 } else { (self.rate - rate).max(0.0) };
    }

    /// Records a reply, which may be a refusal, and the load that it carried, if any. The load does
    /// not count the attempt to which the reply belongs. To be called after `record_ended`.
    pub fn record_load(&mut self, now: Micros, load: Option<sidecar::Load>) {
        self.unconfirmed = 0;
        if let Some(load) = load {
            let total = f64::from(load.busy) + f64::from(load.queued);
            self.others = (total - f64::from(self.in_flight)).max(0.0);
            self.load_at = Some(now);
            if load.slots > 0 && load.slots != self.slots {
                self.slots = load.slots;
                self.window.set_slots(load.slots);
            }
        }
    }

    /// Records that an attempt ran to its end. Missed replies are counted anew from then on, but
    /// not after a refusal, because a sidecar also refuses attempts while its backend server is
    /// frozen.
    pub fn record_run(&mut self, now: Micros) {
        self.missed_replies = 0.0;
        self.counted_until = now;
    }

    /// Number of replies expected since an attempt last ran to its end; 0 if nothing is in flight.
    pub fn missed_replies(&mut self, now: Micros) -> f64 {
        self.advance(now);
        self.missed_replies
    }

    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.counted_until) as f64;
        if self.in_flight == 0 {
            self.missed_replies = 0.0;
        } else {
            self.missed_replies += passed * self.rate;
        }
        self.counted_until = now;
    }
}

/// Tier of a speed.
pub fn tier(speed: f64) -> usize {
    (speed.log2() * 2.0 + TIER_OF_ONE).clamp(0.0, TIERS as f64 - 1.0) as usize
}

/// Speed in the middle of a tier, on a logarithmic scale.
pub fn tier_speed(tier: usize) -> f64 {
    ((tier as f64 + 0.5 - TIER_OF_ONE) / 2.0).exp2()
}
