//! Fair queue across client accounts: deficit round robin, weighted, over estimated run time.

use std::collections::{BTreeSet, VecDeque};

/// Bound on an account's deficit in either direction, in quanta of run time.
const DEFICIT_MAX: f64 = 16.0;

/// Index of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Account(pub u32);

/// A queued batch: the waiting tasks of one execution that fit the same backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Item {
    /// Order within the account: the item with the smallest score is served first.
    pub score: u64,
    pub execution: u32,
    pub batch: u16,
}

#[derive(Debug, Default)]
struct AccountQueue {
    items: BTreeSet<Item>,
    /// Run time that the account may still use in this round; negative while it is in debt.
    deficit: f64,
    /// Whether the account is in `FairQueue::rotation`.
    in_rotation: bool,
}

/// Queue of all client accounts. Within an account the item with the lowest score is first.
#[derive(Debug, Default)]
pub struct FairQueue {
    queues: Vec<AccountQueue>,
    /// Accounts with queued items, in the order in which they are served.
    rotation: VecDeque<Account>,
}

impl FairQueue {
    /// Returns a queue without items in which each account has the deficit and the turn that it has
    /// in this one.
    pub fn without_items(&self) -> Self {
        let queue = |queue: &AccountQueue| AccountQueue { items: BTreeSet::new(), ..*queue };
        Self { queues: self.queues.iter().map(queue).collect(), rotation: self.rotation.clone() }
    }

    /// Adds an item. `credit` is the run time that the account was entitled to since it last had
    /// queued items. With it, an account that used less than its share is served before the others
    /// until it has caught up.
    pub fn push(&mut self, account: Account, item: Item, credit: f64) {
        let queue = self.queue(account);
        queue.items.insert(item);
        if !queue.in_rotation {
            queue.in_rotation = true;
            queue.deficit += credit;
            if queue.deficit > 0.0 {
                self.rotation.push_front(account);
            } else {
                self.rotation.push_back(account);
            }
        }
    }

    /// Removes an item at any position.
    pub fn remove(&mut self, account: Account, item: Item) {
        if let Some(queue) = self.queues.get_mut(account.0 as usize) {
            queue.items.remove(&item);
        }
    }

    /// The item to serve next. `quantum` gives an account's run time per round. The result stays
    /// the same until the account is charged, the item is removed or another item is pushed ahead
    /// of it.
    pub fn front(&mut self, quantum: impl Fn(Account) -> f64) -> Option<(Account, Item)> {
        loop {
            let account = *self.rotation.front()?;
            let alone = self.rotation.len() == 1;
            let queue = &mut self.queues[account.0 as usize];
            let Some(item) = queue.items.first() else {
                queue.in_rotation = false;
                self.rotation.pop_front();
                continue;
            };
            if queue.deficit > 0.0 {
                return Some((account, *item));
            }
            queue.deficit += quantum(account).max(1.0);
            if alone {
                // A debt is forgiven if no other account has queued items, because it would only
                // delay this item.
                queue.deficit = queue.deficit.max(1.0);
            }
            self.rotation.rotate_left(1);
        }
    }

    /// Charges an account for run time, or credits it if `cost` is negative. An account in debt is
    /// skipped until its quanta have paid the debt off.
    pub fn charge(&mut self, account: Account, cost: f64, quantum: f64) {
        let queue = self.queue(account);
        let bound = DEFICIT_MAX * quantum;
        queue.deficit = (queue.deficit - cost).clamp(-bound, bound);
    }

    /// The queue of an account, which is added if it is new.
    fn queue(&mut self, account: Account) -> &mut AccountQueue {
        let index = account.0 as usize;
        if self.queues.len() <= index {
            self.queues.resize_with(index + 1, AccountQueue::default);
        }
        &mut self.queues[index]
    }
}
