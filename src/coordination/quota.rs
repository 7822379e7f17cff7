//! Divides each client account's quota among the entries (the processes that accept submissions and
//! send their tasks to backend servers) by the demand that they report.
//!
//! The shares that entries may be using never add up to more than the quota, even while a lowered
//! share is on its way to an entry. Until an entry reports again, its share counts as the higher of
//! what it last reported to hold and what it was granted since.
//!
//! An entry has a session, which is open until it is fenced. A fenced session keeps its shares
//! until it is abandoned, because the entry may still be using them. The arguments `live` and
//! `fenced` are the open sessions, and the fenced ones that are not abandoned yet.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::protocol::{id, rule::Rules, wire::control};

/// Fraction of a quota that is divided equally, so that an entry's first requests need not wait.
pub const EQUAL_FRACTION: f64 = 0.1;
/// Ratio of a share to the reported demand, so that growing demand need not wait for the next
/// report.
pub const HEADROOM: f64 = 1.25;
/// Fraction of the quota in excess of all demand that is divided equally. The rest is not granted,
/// so that an entry that joins or needs more gets a share without waiting until another entry's
/// share has been lowered.
pub const SPARE_FRACTION: f64 = 0.5;
/// Factor by which an earlier demand shrinks with each report. It is small so that the quota
/// follows a demand that moves to another entry: with a factor of 0.5, the other entry has 80% of
/// the quota only after five reports.
pub const DEMAND_DECAY: f64 = 0.25;

/// Division of all quotas, for one leader in one term.
#[derive(Debug, Default)]
pub struct Table {
    /// Entries whose shares are known, with the number of their last report, 0 before the first.
    reports: IndexMap<id::Epoch, u64>,
    accounts: IndexMap<String, IndexMap<id::Epoch, EntryShare>>,
    /// Open sessions whose entry has opened a later one and that have not reported since.
    ended: HashSet<id::Epoch>,
}

/// One entry's share of one account's quota, in starts per second.
#[derive(Debug, Default, Clone, Copy)]
struct EntryShare {
    /// Demand in the entry's last report, or what is left of an earlier one if that is higher. It
    /// counts at most as the whole quota.
    demand: f64,
    /// Share that the entry held at its last report.
    held: f64,
    /// Share that it was granted since.
    granted: f64,
}

impl EntryShare {
    /// Highest share that the entry may be using.
    fn bound(&self) -> f64 {
        self.held.max(self.granted)
    }
}

impl Table {
    /// Adds a session that was opened in this term. `earlier` are the sessions that were opened from
    /// the same address. Only one process at a time listens at an address, so they have ended, and
    /// what they may have held counts as held by the new session until it reports.
    pub fn join(&mut self, epoch: id::Epoch, earlier: &[id::Epoch]) {
        // The shares of a session that has not reported in this term are unknown.
        let known = earlier.iter().all(|earlier| self.reports.contains_key(earlier));
        if known {
            self.reports.entry(epoch).or_insert(0);
        }
        for earlier in earlier {
            self.reports.entry(*earlier).or_insert(0);
            self.ended.insert(*earlier);
            for shares in self.accounts.values_mut() {
                let Some(share) = shares.swap_remove(earlier) else { continue };
                let joined = shares.entry(epoch).or_default();
                joined.demand = joined.demand.max(share.demand);
                joined.granted += share.bound();
            }
        }
    }

    /// Drops the entries whose sessions are neither in `live` nor in `fenced`, and the accounts of
    /// which no entry has demand or a share.
    pub fn retain(&mut self, live: &[id::Epoch], fenced: &[id::Epoch]) {
        let known = |epoch: &id::Epoch| live.contains(epoch) || fenced.contains(epoch);
        self.reports.retain(|epoch, _| known(epoch));
        self.ended.retain(known);
        for shares in self.accounts.values_mut() {
            shares
                .retain(|epoch, share| known(epoch) && (share.demand > 0.0 || share.bound() > 0.0));
        }
        self.accounts.retain(|_, shares| !shares.is_empty());
    }

    /// Records an entry's report, unless one with the same or a higher number was recorded before.
    /// Returns whether it was recorded.
    pub fn report(&mut self, epoch: id::Epoch, number: u64, demands: &[control::Demand]) -> bool {
        let last = self.reports.get(&epoch).copied();
        if last.is_some_and(|last| last >= number && last > 0) {
            return false;
        }
        self.reports.insert(epoch, number);
        self.ended.remove(&epoch);
        for shares in self.accounts.values_mut() {
            if let Some(share) = shares.get_mut(&epoch) {
                *share = EntryShare { demand: decayed(share.demand), held: 0.0, granted: 0.0 };
            }
        }
        for demand in demands {
            let shares = self.accounts.entry(demand.account.0.clone()).or_default();
            let share = shares.entry(epoch).or_default();
            share.demand = share.demand.max(rate_or_zero(demand.starts_per_s));
            share.held = rate_or_zero(demand.held_per_s);
        }
        true
    }

    /// Returns the new shares of an entry that has just reported.
    ///
    /// No share is raised while the shares that some session holds are unknown, which is the case
    /// in a new term until each session has reported.
    pub fn grant(
        &mut self,
        epoch: id::Epoch,
        rules: &Rules,
        live: &[id::Epoch],
        fenced: &[id::Epoch],
    ) -> Vec<control::Share> {
        let all_reported = live.iter().chain(fenced).all(|e| self.reports.contains_key(e));
        let live: Vec<id::Epoch> =
            live.iter().copied().filter(|e| !self.ended.contains(e)).collect();
        // Accounts that the rules name and that have a quota. Each entry gets a share of it, even
        // without demand.
        let named_with_quota =
            rules.accounts().filter(|account| rules.account(account).starts_per_s.is_some());
        let named_with_quota: HashSet<&str> = named_with_quota.collect();
        for account in &named_with_quota {
            if !self.accounts.contains_key(*account) {
                self.accounts.insert((*account).to_owned(), IndexMap::new());
            }
            self.accounts[*account].entry(epoch).or_default();
        }
        let mut granted = Vec::new();
        for (account, shares) in &mut self.accounts {
            let quota = rules.account(account).starts_per_s;
            let (Some(quota), true) = (quota, shares.contains_key(&epoch)) else { continue };
            // An entry can use no more than the quota. Without this bound, a large demand that has
            // ended would take many reports to shrink.
            let entry_share = &mut shares[&epoch];
            entry_share.demand = entry_share.demand.min(f64::from(quota));
            let target = target(f64::from(quota), shares, epoch, &live);
            let others = shares.iter().filter(|(e, _)| **e != epoch);
            // What the other entries cannot be using.
            let available =
                (f64::from(quota) - others.map(|(_, s)| s.bound()).sum::<f64>()).max(0.0);
            // An account that the rules do not name has the default quota. It gets no shares once
            // no entry has demand for it, and `retain` then drops it, so that the table does not
            // keep every account that ever had demand.
            if !named_with_quota.contains(account.as_str())
                && shares.values().all(|s| s.demand == 0.0)
            {
                continue;
            }
            let share = &mut shares[&epoch];
            let max = if all_reported { available } else { available.min(share.held) };
            share.granted = target.min(max);
            granted.push(control::Share {
                account: id::Account(account.clone()),
                starts_per_s: share.granted,
            });
        }
        granted
    }
}

/// The share that an entry should have.
fn target(
    quota: f64,
    shares: &IndexMap<id::Epoch, EntryShare>,
    epoch: id::Epoch,
    live: &[id::Epoch],
) -> f64 {
    let entries = live.len().max(1) as f64;
    let floor = quota * EQUAL_FRACTION / entries;
    let above_floor = |share: &EntryShare| (share.demand * HEADROOM - floor).max(0.0);
    let wanted = shares.get(&epoch).map_or(0.0, above_floor);
    let all_wanted: f64 =
        shares.iter().filter(|(e, _)| live.contains(e)).map(|(_, s)| above_floor(s)).sum();
    let divisible = quota - floor * entries;
    if all_wanted > divisible {
        floor + divisible * wanted / all_wanted
    } else {
        floor + wanted + (divisible - all_wanted) * SPARE_FRACTION / entries
    }
}

/// A demand after one more report without it. Small demands become 0.
fn decayed(demand: f64) -> f64 {
    let decayed = demand * DEMAND_DECAY;
    if decayed < 0.01 { 0.0 } else { decayed }
}

/// A rate received from another process, or 0 if it is negative or not a finite number.
fn rate_or_zero(rate: f64) -> f64 {
    if rate.is_finite() && rate > 0.0 { rate } else { 0.0 }
}
