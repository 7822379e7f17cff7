//! Fair queue across client accounts.

use briargauge::coordination::queue::{Account, FairQueue, Item};
use quickcheck::{Gen, QuickCheck};

const QUANTUM: f64 = 100.0;

fn item(execution: u32) -> Item {
    Item { score: u64::from(execution), execution, batch: 0 }
}

/// Guards against an account that gets more than its weight while others wait, whatever its tasks
/// cost.
#[test]
fn backlogged_accounts_get_run_time_by_weight() {
    fn holds(costs: Vec<u8>) -> Result<(), String> {
        if costs.is_empty() {
            return Ok(());
        }
        let weights = [1.0, 2.0, 4.0];
        let mut queue = FairQueue::default();
        (0..3).for_each(|account| queue.push(Account(account), item(account), 0.0));
        let mut served = [0.0; 3];
        for round in 0..3_000 {
            let (account, _) = queue
                .front(|account| weights[account.0 as usize] * QUANTUM)
                .ok_or("no item served although accounts have items queued")?;
            // Account 0 has the most expensive tasks.
            let base = 1.0 + f64::from(costs[round % costs.len()]);
            let cost = if account.0 == 0 { base * 3.0 } else { base };
            queue.charge(account, cost, QUANTUM);
            served[account.0 as usize] += cost / weights[account.0 as usize];
        }
        // One round of each account, and the most expensive task.
        let bound = QUANTUM + 3.0 * 256.0;
        let (least, most) = (served.iter().copied().fold(f64::MAX, f64::min), served);
        match most.iter().find(|s| **s > least + 2.0 * bound) {
            Some(most) => Err(format!("one account got {most} by weight, another {least}")),
            None => Ok(()),
        }
    }
    checker().quickcheck(holds as fn(Vec<u8>) -> Result<(), String>);
}

/// Guards against capacity that stays idle because the only account with queued items is in debt,
/// and against items that are lost or served twice.
#[test]
fn each_item_is_served_exactly_once() {
    fn holds(pushes: Vec<(u8, u16)>) -> Result<(), String> {
        let mut queue = FairQueue::default();
        for (execution, (account, _)) in pushes.iter().enumerate() {
            queue.push(Account(u32::from(account % 5)), item(execution as u32), 0.0);
        }
        let mut seen = vec![false; pushes.len()];
        for _ in 0..pushes.len() {
            let (account, next) = queue.front(|_| QUANTUM).ok_or("an item was never served")?;
            if std::mem::replace(&mut seen[next.execution as usize], true) {
                return Err(format!("{next:?} served twice"));
            }
            queue.remove(account, next);
            queue.charge(account, f64::from(pushes[next.execution as usize].1), QUANTUM);
        }
        match queue.front(|_| QUANTUM) {
            Some(more) => Err(format!("{more:?} left in the queue after all items were served")),
            None => Ok(()),
        }
    }
    checker().quickcheck(holds as fn(Vec<(u8, u16)>) -> Result<(), String>);
}

/// Guards against an account that used little capacity having to wait for one that always has tasks
/// queued.
#[test]
fn account_with_credit_is_served_first() {
    let mut queue = FairQueue::default();
    queue.push(Account(0), item(0), 0.0);
    for _ in 0..10 {
        let (account, _) = queue.front(|_| QUANTUM).unwrap();
        queue.charge(account, QUANTUM, QUANTUM);
    }
    queue.push(Account(1), item(1), 3.0 * QUANTUM);
    let order: Vec<u32> = (0..6)
        .map(|_| {
            let (account, _) = queue.front(|_| QUANTUM).unwrap();
            queue.charge(account, QUANTUM, QUANTUM);
            account.0
        })
        .collect();
    insta::assert_snapshot!(format!("{order:?}"), @"[1, 1, 1, 1, 0, 1]");
}

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 2)).tests(200)
}
