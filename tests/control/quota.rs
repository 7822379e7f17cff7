//! Shares of quotas when entries join or fail, messages are late, and the leader changes.

use std::collections::HashMap;

use briargauge::{
    coordination::quota::Table,
    protocol::{id, rule::Rules, wire::control},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const QUOTA: f64 = 300.0;
const RULES: &str = "team a quota 300 starts/s # k: r\nteam * quota 300 starts/s # k: r\n";
/// One account with a rule of its own, and one with the default rule.
const ACCOUNTS: [&str; 2] = ["a", "b"];
/// Sums of shares may exceed the quota only by the rounding errors of floating-point numbers.
const ROUNDING: f64 = 1e-6;

#[derive(Debug, Clone, Copy)]
enum Step {
    Join,
    /// The process of an entry restarts at its address while its session is open.
    Restart {
        entry: usize,
    },
    /// An entry opens another session.
    Reopen {
        entry: usize,
    },
    Demand {
        entry: usize,
        account: usize,
        starts_per_s: u16,
    },
    /// An entry reports; report and answer arrive at once.
    Sync {
        entry: usize,
    },
    /// An entry reports; the report arrives at once, and its answer stays in transit.
    Report {
        entry: usize,
    },
    /// An entry sends a report, which stays in transit.
    Send {
        entry: usize,
    },
    /// One of the reports in transit arrives at the leader.
    DeliverReport {
        entry: usize,
        index: usize,
    },
    /// One of the answers in transit arrives at the entry.
    DeliverAnswer {
        entry: usize,
        index: usize,
    },
    Fence {
        entry: usize,
    },
    Abandon {
        entry: usize,
    },
    NewLeader,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let entry = usize::arbitrary(g) % 3;
        let index = usize::arbitrary(g) % 3;
        match u8::arbitrary(g) % 36 {
            0..3 => Step::Join,
            3 => Step::Fence { entry },
            4 => Step::Abandon { entry },
            5 => Step::NewLeader,
            6..10 => {
                let account = usize::arbitrary(g) % ACCOUNTS.len();
                Step::Demand { entry, account, starts_per_s: u16::arbitrary(g) % 4 * 200 }
            }
            10..15 => Step::Sync { entry },
            15..18 => Step::Report { entry },
            18..22 => Step::Send { entry },
            22..27 => Step::DeliverReport { entry, index },
            27..29 => Step::Restart { entry },
            29..31 => Step::Reopen { entry },
            _ => Step::DeliverAnswer { entry, index },
        }
    }
}

struct Report {
    number: u64,
    demands: Vec<control::Demand>,
}

struct Entry {
    epoch: id::Epoch,
    fenced: bool,
    /// Whether the process still uses this session.
    in_use: bool,
    number: u64,
    demands: HashMap<&'static str, f64>,
    shares: Vec<control::Share>,
    reports: Vec<Report>,
    answers: Vec<(u64, Vec<control::Share>)>,
}

impl Entry {
    fn share(&self, account: &str) -> f64 {
        self.shares.iter().find(|s| s.account.0 == account).map_or(0.0, |s| s.starts_per_s)
    }

    fn send(&mut self) {
        self.number += 1;
        let demands = ACCOUNTS.iter().map(|account| control::Demand {
            account: id::Account((*account).into()),
            starts_per_s: self.demands.get(account).copied().unwrap_or_default(),
            held_per_s: self.share(account),
        });
        let known = |d: &control::Demand| d.starts_per_s > 0.0 || d.held_per_s > 0.0;
        let demands = demands.filter(known).collect();
        self.reports.push(Report { number: self.number, demands });
    }
}

struct Simulation {
    rules: Rules,
    table: Table,
    entries: Vec<Entry>,
    /// Epoch of the newest session.
    last_epoch: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let rules = Rules::parse(RULES).expect("the rules are valid");
        Simulation { rules, table: Table::default(), entries: Vec::new(), last_epoch: 0 }
    }

    fn sessions(&self, fenced: bool) -> Vec<id::Epoch> {
        self.entries.iter().filter(|e| e.fenced == fenced).map(|e| e.epoch).collect()
    }

    fn join(&mut self, earlier: &[id::Epoch]) {
        self.last_epoch += 1;
        let epoch = id::Epoch(self.last_epoch);
        self.table.join(epoch, earlier);
        self.entries.push(Entry {
            epoch,
            fenced: false,
            in_use: true,
            number: 0,
            demands: HashMap::new(),
            shares: Vec::new(),
            reports: Vec::new(),
            answers: Vec::new(),
        });
    }

    /// Opens another session for the process of an entry, or for a new process at its address. A new
    /// process holds no shares.
    fn reopen(&mut self, entry: usize, same_process: bool) {
        let Some(earlier) = self.entries.get_mut(entry).filter(|e| e.in_use) else { return };
        earlier.in_use = false;
        earlier.answers.clear();
        let shares = std::mem::take(&mut earlier.shares);
        let epoch = earlier.epoch;
        self.join(&[epoch]);
        if same_process {
            self.entries.last_mut().unwrap().shares = shares;
        }
    }

    fn deliver_report(&mut self, entry: usize, index: usize) {
        let (live, fenced) = (self.sessions(false), self.sessions(true));
        let Some(entry) = self.entries.get_mut(entry) else { return };
        if entry.fenced || index >= entry.reports.len() {
            return;
        }
        let report = entry.reports.remove(index);
        if self.table.report(entry.epoch, report.number, &report.demands) {
            let shares = self.table.grant(entry.epoch, &self.rules, &live, &fenced);
            if entry.in_use {
                entry.answers.push((report.number, shares));
            }
        }
    }

    fn deliver_answer(&mut self, entry: usize, index: usize) {
        let Some(entry) = self.entries.get_mut(entry) else { return };
        if index < entry.answers.len() {
            let (number, shares) = entry.answers.remove(index);
            if number == entry.number {
                entry.shares = shares;
            }
        }
    }

    fn sync(&mut self, entry: usize) {
        self.report(entry);
        if let Some(newest) = self.entries.get(entry).and_then(|e| e.answers.len().checked_sub(1)) {
            self.deliver_answer(entry, newest);
        }
    }

    fn report(&mut self, entry: usize) {
        if let Some(sender) = self.entries.get_mut(entry).filter(|e| e.in_use) {
            sender.send();
            let newest = sender.reports.len() - 1;
            self.deliver_report(entry, newest);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Sync { entry } => self.sync(entry),
            Step::Report { entry } => self.report(entry),
            Step::Join if self.entries.len() < 3 => self.join(&[]),
            Step::Join => {}
            Step::Restart { entry } => self.reopen(entry, false),
            Step::Reopen { entry } => self.reopen(entry, true),
            Step::Demand { entry, account, starts_per_s } => {
                if let Some(entry) = self.entries.get_mut(entry) {
                    entry.demands.insert(ACCOUNTS[account], starts_per_s.into());
                }
            }
            Step::Send { entry } => {
                if let Some(entry) = self.entries.get_mut(entry).filter(|e| e.in_use) {
                    entry.send();
                }
            }
            Step::DeliverReport { entry, index } => self.deliver_report(entry, index),
            Step::DeliverAnswer { entry, index } => self.deliver_answer(entry, index),
            Step::Fence { entry } => {
                if let Some(entry) = self.entries.get_mut(entry) {
                    entry.fenced = true;
                }
            }
            Step::Abandon { entry } => {
                if self.entries.get(entry).is_some_and(|e| e.fenced) {
                    self.entries.remove(entry);
                }
            }
            Step::NewLeader => {
                self.table = Table::default();
                // Reports in transit to the old leader get no answer, as it cannot confirm that it
                // still leads.
                self.entries.iter_mut().for_each(|e| e.reports.clear());
            }
        }
        let (live, fenced) = (self.sessions(false), self.sessions(true));
        self.table.retain(&live, &fenced);
    }

    /// Sum of the shares that the entries hold.
    fn in_use(&self, account: &str) -> f64 {
        self.entries.iter().map(|e| e.share(account)).sum()
    }
}

/// Guards against entries that together hold more than an account's quota at some time: while
/// lowered shares are in transit, lost or overtaken, after an entry has failed, or in a new term.
#[test]
fn shares_never_exceed_the_quota() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        steps.iter().all(|step| {
            simulation.step(*step);
            ACCOUNTS.iter().all(|account| simulation.in_use(account) <= QUOTA + ROUNDING)
        })
    }
    QuickCheck::new().tests(3_000).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against shares that do not follow a moved demand within two or three reports, and against
/// entries without demand that have no share for their first requests.
#[test]
fn shares_follow_demand() {
    let mut simulation = Simulation::new();
    (0..3).for_each(|_| simulation.join(&[]));
    let round = |simulation: &mut Simulation| (0..3).for_each(|entry| simulation.sync(entry));
    simulation.entries[0].demands.insert("a", 1_000.0);
    (0..4).for_each(|_| round(&mut simulation));
    assert!(simulation.entries[0].share("a") > 0.9 * QUOTA, "{}", simulation.entries[0].share("a"));
    assert!(simulation.entries[1].share("a") >= 0.03 * QUOTA);

    simulation.entries[0].demands.insert("a", 0.0);
    simulation.entries[1].demands.insert("a", 1_000.0);
    let mut rounds = 0;
    while simulation.entries[1].share("a") < 0.5 * QUOTA {
        round(&mut simulation);
        rounds += 1;
        assert!(rounds <= 2, "{}", simulation.entries[1].share("a"));
    }
    while simulation.entries[1].share("a") < 0.8 * QUOTA {
        round(&mut simulation);
        rounds += 1;
        assert!(rounds <= 3, "{}", simulation.entries[1].share("a"));
    }
    assert!(simulation.in_use("a") <= QUOTA + ROUNDING);
}

/// Guards against an entry that refuses an account as over its quota after a restart, because the
/// shares of its earlier process are still counted, or because they are not known to a new leader.
#[test]
fn restarted_entries_have_a_share_at_once() {
    for new_leader in [false, true] {
        let mut simulation = Simulation::new();
        (0..2).for_each(|_| simulation.join(&[]));
        for entry in 0..2 {
            simulation.entries[entry].demands.insert("a", 1_000.0);
        }
        for entry in [0, 1, 0, 1] {
            simulation.sync(entry);
        }
        if new_leader {
            simulation.step(Step::NewLeader);
            simulation.sync(1);
        }
        for restart in 0..3 {
            let entry = if restart == 0 { 0 } else { simulation.entries.len() - 1 };
            simulation.step(Step::Restart { entry });
            let restarted = simulation.entries.len() - 1;
            simulation.sync(restarted);
            let share = simulation.entries[restarted].share("a");
            assert!(share >= 0.03 * QUOTA, "{share} after restart {restart}, {new_leader}");
            assert!(simulation.in_use("a") <= QUOTA + ROUNDING);
        }
    }
}
