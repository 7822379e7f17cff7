//! Fair queue across teams: deficit round robin by weight over estimated run time.

use std::collections::{BTreeSet, VecDeque};

/// Most run time, in quanta, that a team can owe or save.
const DEBT_MAX: f64 = 16.0;

/// Index of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Account(pub u32);

/// Something queued: the tasks of an execution that fit the same backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Item {
    /// The smallest is first within its team.
    pub score: u64,
    pub execution: u32,
    pub part: u16,
}

#[derive(Debug, Default)]
struct Line {
    items: BTreeSet<Item>,
    deficit: f64,
    waiting: bool,
}

/// Queue of all teams. Within a team the item with the lowest score is first.
#[derive(Debug, Default)]
pub struct Fair {
    lines: Vec<Line>,
    ring: VecDeque<Account>,
}

impl Fair {
    /// Adds an item. `earned` is the run time that the team could have had since it last waited; a
    /// team that used less than its part may catch up before others get their next turn.
    pub fn push(&mut self, account: Account, item: Item, earned: f64) {
        if self.lines.len() <= account.0 as usize {
            self.lines.resize_with(account.0 as usize + 1, Line::default);
        }
        let line = &mut self.lines[account.0 as usize];
        line.items.insert(item);
        if !line.waiting {
            line.waiting = true;
            line.deficit += earned;
            if line.deficit > 0.0 {
                self.ring.push_front(account);
            } else {
                self.ring.push_back(account);
            }
        }
    }

    /// Takes an item out, wherever it is.
    pub fn remove(&mut self, account: Account, item: Item) {
        if let Some(line) = self.lines.get_mut(account.0 as usize) {
            line.items.remove(&item);
        }
    }

    /// The item whose turn it is. `quantum` gives a team's run time per round. Stays the same until
    /// the team is charged or the item removed.
    pub fn front(&mut self, quantum: impl Fn(Account) -> f64) -> Option<(Account, Item)> {
        loop {
            let account = *self.ring.front()?;
            let alone = self.ring.len() == 1;
            let line = &mut self.lines[account.0 as usize];
            let Some(item) = line.items.first() else {
                line.waiting = false;
                self.ring.pop_front();
                continue;
            };
            if line.deficit > 0.0 {
                return Some((account, *item));
            }
            line.deficit += quantum(account).max(1.0);
            if alone {
                // There is nobody to owe anything to.
                line.deficit = line.deficit.max(1.0);
            }
            self.ring.rotate_left(1);
        }
    }

    /// Charges a team for run time; negative to give back. A team in debt waits for its next round.
    pub fn charge(&mut self, account: Account, cost: f64, quantum: f64) {
        let line = &mut self.lines[account.0 as usize];
        let bound = DEBT_MAX * quantum;
        line.deficit = (line.deficit - cost).clamp(-bound, bound);
    }

    /// Takes everything out, for queueing it anew.
    pub fn drain(&mut self) -> Vec<(Account, Item)> {
        self.ring.clear();
        let mut all = Vec::new();
        for (index, line) in self.lines.iter_mut().enumerate() {
            line.waiting = false;
            all.extend(
                std::mem::take(&mut line.items).into_iter().map(|i| (Account(index as u32), i)),
            );
        }
        all
    }
}
