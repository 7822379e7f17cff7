//! Divides each team's quota among the entries by the demand they report.
//!
//! The parts that entries may be using never add up to more than the quota, also while a lowered
//! part has not arrived: a part counts at the higher of what the entry last reported to hold and
//! what it was granted since, until it reports again or its session is abandoned.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::protocol::{id, rule::Rules, wire::control};

/// Part of a quota that is divided equally, so that an entry's first requests need not wait.
pub const EQUAL_FRACTION: f64 = 0.1;
/// Room given above the reported demand, so that growth need not wait for the next report.
pub const HEADROOM: f64 = 1.25;
/// Part of the undemanded quota that is divided equally. The rest stays free, so that an entry
/// that joins or needs more gets it without waiting for another to give it up.
pub const SPARE_FRACTION: f64 = 0.5;
/// Factor by which an earlier demand fades with each report. With 0.5, a demand that moved to
/// another entry took five reports to get 80% of the quota there.
pub const DEMAND_DECAY: f64 = 0.25;

/// Division of all quotas, for one leader in one term.
#[derive(Debug, Default)]
pub struct Table {
    /// Entries that have reported, with the number of their last report.
    entries: IndexMap<id::Epoch, u64>,
    accounts: IndexMap<String, IndexMap<id::Epoch, Part>>,
}

/// One entry's part of one team's quota, in starts per second.
#[derive(Debug, Default, Clone, Copy)]
struct Part {
    demand: f64,
    /// What it reported to hold.
    held: f64,
    /// What it was granted since.
    granted: f64,
}

impl Part {
    /// The most that the entry may be using.
    fn bound(&self) -> f64 {
        self.held.max(self.granted)
    }
}

impl Table {
    /// Notes a session that was opened in this term and so holds nothing.
    pub fn join(&mut self, epoch: id::Epoch) {
        self.entries.entry(epoch).or_insert(0);
    }

    /// Drops the entries whose sessions are neither open nor waiting to be abandoned, and teams
    /// of which nobody has anything.
    pub fn retain(&mut self, live: &[id::Epoch], fenced: &[id::Epoch]) {
        let known = |epoch: &id::Epoch| live.contains(epoch) || fenced.contains(epoch);
        self.entries.retain(|epoch, _| known(epoch));
        for parts in self.accounts.values_mut() {
            parts.retain(|epoch, part| known(epoch) && (part.demand > 0.0 || part.bound() > 0.0));
        }
        self.accounts.retain(|_, parts| !parts.is_empty());
    }

    /// Takes a report. Returns whether it is newer than those before; older ones are ignored.
    pub fn report(&mut self, epoch: id::Epoch, number: u64, demands: &[control::Demand]) -> bool {
        let last = self.entries.get(&epoch).copied();
        if last.is_some_and(|last| last >= number && last > 0) {
            return false;
        }
        self.entries.insert(epoch, number);
        for parts in self.accounts.values_mut() {
            if let Some(part) = parts.get_mut(&epoch) {
                *part = Part { demand: faded(part.demand), held: 0.0, granted: 0.0 };
            }
        }
        for demand in demands {
            let parts = self.accounts.entry(demand.account.0.clone()).or_default();
            let part = parts.entry(epoch).or_default();
            part.demand = part.demand.max(finite(demand.starts_per_s));
            part.held = finite(demand.held_per_s);
        }
        true
    }

    /// The parts of an entry that has just reported.
    ///
    /// While the holdings of some session are unknown, which is the case in a new term until each
    /// has reported, no part is raised.
    pub fn grant(
        &mut self,
        epoch: id::Epoch,
        rules: &Rules,
        live: &[id::Epoch],
        fenced: &[id::Epoch],
    ) -> Vec<control::Share> {
        let complete = live.iter().chain(fenced).all(|e| self.entries.contains_key(e));
        let named =
            rules.accounts().filter(|account| rules.account(account).starts_per_s.is_some());
        let named: HashSet<&str> = named.collect();
        for account in &named {
            if !self.accounts.contains_key(*account) {
                self.accounts.insert((*account).to_owned(), IndexMap::new());
            }
            self.accounts[*account].entry(epoch).or_default();
        }
        let mut shares = Vec::new();
        for (account, parts) in &mut self.accounts {
            let quota = rules.account(account).starts_per_s;
            let (Some(quota), true) = (quota, parts.contains_key(&epoch)) else { continue };
            // An entry can use no more than the quota; without this bound a large demand that
            // has ended would take long to fade.
            let own = &mut parts[&epoch];
            own.demand = own.demand.min(f64::from(quota));
            let target = target(f64::from(quota), parts, epoch, live);
            let others = parts.iter().filter(|(e, _)| **e != epoch);
            let room = (f64::from(quota) - others.map(|(_, p)| p.bound()).sum::<f64>()).max(0.0);
            // A team that only has the default quota is dropped when nobody asks for it any more,
            // so that the list of teams stays as short as that of the active ones.
            if !named.contains(account.as_str()) && parts.values().all(|p| p.demand == 0.0) {
                continue;
            }
            let part = &mut parts[&epoch];
            let most = if complete { room } else { room.min(part.held) };
            part.granted = target.min(most);
            shares.push(control::Share {
                account: id::Account(account.clone()),
                starts_per_s: part.granted,
            });
        }
        shares
    }

    /// Sum of what the entries may be using of a team's quota, in starts per second.
    pub fn bound(&self, account: &str) -> f64 {
        self.accounts.get(account).map_or(0.0, |parts| parts.values().map(Part::bound).sum())
    }
}

/// The part that an entry should have.
fn target(
    quota: f64,
    parts: &IndexMap<id::Epoch, Part>,
    epoch: id::Epoch,
    live: &[id::Epoch],
) -> f64 {
    let entries = live.len().max(1) as f64;
    let floor = quota * EQUAL_FRACTION / entries;
    let above = |part: &Part| (part.demand * HEADROOM - floor).max(0.0);
    let own = parts.get(&epoch).map_or(0.0, above);
    let all: f64 = parts.iter().filter(|(e, _)| live.contains(e)).map(|(_, p)| above(p)).sum();
    let free = quota - floor * entries;
    if all > free {
        floor + free * own / all
    } else {
        floor + own + (free - all) * SPARE_FRACTION / entries
    }
}

/// A demand after one more report without it; small ones vanish.
fn faded(demand: f64) -> f64 {
    let faded = demand * DEMAND_DECAY;
    if faded < 0.01 { 0.0 } else { faded }
}

/// A rate from another process; whatever is not a rate counts as none.
fn finite(rate: f64) -> f64 {
    if rate.is_finite() && rate > 0.0 { rate } else { 0.0 }
}
