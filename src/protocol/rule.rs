//! The rules file: plain text, one rule per line, each with a comment that names who asked for it.
//!
//! ```text
//! # Blank lines and lines with only a comment are kept.
//! team *       quota 200 starts/s       # kana: default for teams without a line of their own
//! team repair  quota 500 starts/s       # kana: agreed in March
//! team repair  waiting 20000 tasks      # kana: most tasks queued at one entry
//! team repair  share 3                  # kana: weight against other teams under load
//! team repair  prefer response          # kana: or `messages`
//! team repair  hedge off                # kana: or `on`; overrides the preference's default
//! team repair  retries 10%              # kana: retry budget in percent of task starts
//! team repair  job 200 tasks            # kana: most tasks in one job
//! kind scan    only data-centre Kurume  # emi: the archive is there
//! kind quote   only rack Kurume/r2      # emi: licence is tied to the rack
//! kind scan    only accelerators        # emi: too slow without
//! drain data-centre Saga                # ito: power works on Friday
//! drain rack Kurume/r1                  # ito: switch is replaced
//! drain server 10.0.3.7:7400            # ito: disk errors; address of the sidecar
//! ```
//!
//! Names have no spaces and no `#`. Parsing depends on nothing but the text, because every control
//! instance decides by it whether a change is accepted.

mod parse;
mod print;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    net::SocketAddr,
};

use indexmap::IndexMap;

use crate::protocol::job;

/// Stands for every team without a rule of its own.
pub const ANY: &str = "*";
/// Longest name in a rule, in bytes.
pub const NAME_MAX_BYTES: usize = 64;
/// Largest weight of a team.
pub const SHARE_MAX: u32 = 1_000;
/// Most faults reported for one text.
pub const FAULTS_MAX: usize = 20;

/// One rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    Account { account: String, setting: Setting },
    Kind { kind: String, only: Only },
    Drain(Target),
}

/// What is set for a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setting {
    /// Task starts per second.
    Quota(u32),
    /// Most tasks waiting.
    Waiting(u32),
    /// Weight against other teams.
    Share(u32),
    Prefer(Preference),
    Hedge(bool),
    /// Retry budget in percent of task starts.
    Retries(u8),
    /// Most tasks in one job.
    Job(u16),
}

/// Which of the two measures a team cares more about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// Response time.
    Response,
    /// Few wasted messages.
    Messages,
}

/// Where a kind of task runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Only {
    DataCentre(String),
    Rack {
        data_centre: String,
        rack: String,
    },
    /// On workers with accelerators.
    Accelerators,
}

/// What takes no new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    DataCentre(String),
    Rack {
        data_centre: String,
        rack: String,
    },
    /// A backend server, by the address of its sidecar.
    Server(SocketAddr),
}

/// A line of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    Blank,
    /// A line with only a comment.
    Note(String),
    Rule(Entry),
}

/// A rule with its origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Line number, from 1.
    pub line: usize,
    pub rule: Rule,
    /// Who asked for it.
    pub who: String,
    pub reason: String,
}

/// A parsed rules file.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Rules {
    lines: Vec<Line>,
    any: AccountRules,
    accounts: IndexMap<String, AccountRules>,
    placements: BTreeMap<String, Placement>,
    drained_centres: HashSet<String>,
    /// By data centre.
    drained_racks: HashMap<String, HashSet<String>>,
    drained_servers: HashSet<SocketAddr>,
}

/// The rules for one client account; `None` where no rule says anything.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct AccountRules {
    /// Quota in task starts per second.
    pub starts_per_s: Option<u32>,
    /// Most tasks waiting.
    pub waiting: Option<u32>,
    /// Weight against other teams.
    pub share: Option<u32>,
    pub preference: Option<Preference>,
    pub hedge: Option<bool>,
    /// Retry budget in percent of task starts.
    pub retry_percent: Option<u8>,
    /// Most tasks in one job.
    pub job_tasks: Option<u16>,
}

impl AccountRules {
    fn set(&mut self, setting: Setting) {
        match setting {
            Setting::Quota(n) => self.starts_per_s = Some(n),
            Setting::Waiting(n) => self.waiting = Some(n),
            Setting::Share(n) => self.share = Some(n),
            Setting::Prefer(p) => self.preference = Some(p),
            Setting::Hedge(on) => self.hedge = Some(on),
            Setting::Retries(n) => self.retry_percent = Some(n),
            Setting::Job(n) => self.job_tasks = Some(n),
        }
    }

    fn or(self, any: AccountRules) -> AccountRules {
        AccountRules {
            starts_per_s: self.starts_per_s.or(any.starts_per_s),
            waiting: self.waiting.or(any.waiting),
            share: self.share.or(any.share),
            preference: self.preference.or(any.preference),
            hedge: self.hedge.or(any.hedge),
            retry_percent: self.retry_percent.or(any.retry_percent),
            job_tasks: self.job_tasks.or(any.job_tasks),
        }
    }
}

/// Where a kind may run; all that is given must hold.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Placement {
    pub data_centre: Option<String>,
    pub rack: Option<String>,
    pub accelerators: bool,
}

impl Placement {
    /// Whether a worker of the given size may run the kind.
    pub fn allows(&self, data_centre: &str, rack: &str, size: job::Needs) -> bool {
        self.data_centre.as_deref().is_none_or(|d| d == data_centre)
            && self.rack.as_deref().is_none_or(|r| r == rack)
            && (!self.accelerators || size.accelerators > 0)
    }
}

/// What is wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    pub reason: String,
}

/// What is wrong with a text; at most [`FAULTS_MAX`] faults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, Fault { line, reason }) in self.0.iter().enumerate() {
            let end = if at == 0 { "" } else { "\n" };
            write!(f, "{end}line {line}: {reason}")?;
        }
        Ok(())
    }
}

impl Rules {
    /// Parses and checks a rules file.
    pub fn parse(text: &str) -> Result<Rules, Faults> {
        parse::rules(text)
    }

    /// The lines of the file in order.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// The rules of the file in order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.lines.iter().filter_map(|line| match line {
            Line::Rule(entry) => Some(entry),
            Line::Blank | Line::Note(_) => None,
        })
    }

    /// The rules for a team: its own lines, then those for `*`.
    pub fn account(&self, account: &str) -> AccountRules {
        self.accounts.get(account).copied().unwrap_or_default().or(self.any)
    }

    /// Teams that have a line of their own.
    pub fn accounts(&self) -> impl Iterator<Item = &str> {
        self.accounts.keys().map(String::as_str)
    }

    /// Whether a backend server with this place and sidecar address takes no new work.
    pub fn drains(&self, data_centre: &str, rack: &str, addr: SocketAddr) -> bool {
        self.drained_centres.contains(data_centre)
            || self.drained_racks.get(data_centre).is_some_and(|racks| racks.contains(rack))
            || self.drained_servers.contains(&addr)
    }

    /// Where a kind may run, `None` for anywhere.
    pub fn placement(&self, kind: &str) -> Option<&Placement> {
        self.placements.get(kind)
    }

    /// Kinds that may not run anywhere, in the order of their names.
    pub fn placements(&self) -> impl Iterator<Item = (&str, &Placement)> {
        self.placements.iter().map(|(kind, placement)| (kind.as_str(), placement))
    }

    /// Adds a line to the indexes.
    fn push(&mut self, line: Line) {
        if let Line::Rule(entry) = &line {
            match &entry.rule {
                Rule::Account { account, setting } if account == ANY => self.any.set(*setting),
                Rule::Account { account, setting } => {
                    self.accounts.entry(account.clone()).or_default().set(*setting);
                }
                Rule::Kind { kind, only } => {
                    let placement = self.placements.entry(kind.clone()).or_default();
                    match only.clone() {
                        Only::DataCentre(name) => placement.data_centre = Some(name),
                        Only::Rack { data_centre, rack } => {
                            placement.data_centre = Some(data_centre);
                            placement.rack = Some(rack);
                        }
                        Only::Accelerators => placement.accelerators = true,
                    }
                }
                Rule::Drain(Target::DataCentre(name)) => {
                    self.drained_centres.insert(name.clone());
                }
                Rule::Drain(Target::Rack { data_centre, rack }) => {
                    let racks = self.drained_racks.entry(data_centre.clone()).or_default();
                    racks.insert(rack.clone());
                }
                Rule::Drain(Target::Server(addr)) => {
                    self.drained_servers.insert(*addr);
                }
            }
        }
        self.lines.push(line);
    }
}
