//! The rules file: plain text with one rule per line. Each rule ends with a comment that names who
//! requested it and why.
//!
//! ```text
//! # Blank lines and lines with only a comment are kept.
//! team *       quota 200 starts/s       # kana: for teams without a quota of their own
//! team repair  quota 500 starts/s       # kana: agreed in March
//! team repair  waiting 20000 tasks      # kana: maximum number of tasks queued at one entry
//! team repair  share 3                  # kana: weight relative to other teams under load
//! team repair  prefer response          # kana: or `messages`
//! team repair  hedge off                # kana: or `on`, the default for `prefer response`
//! team repair  retries 10%              # kana: retry budget in percent of task starts
//! team repair  job 200 tasks            # kana: maximum number of tasks in one job
//! kind scan    only data-centre Kurume  # emi: the archive is there
//! kind quote   only rack Kurume/r2      # emi: licence is tied to the rack
//! kind scan    only accelerators        # emi: too slow without
//! drain data-centre Saga                # ito: power works on Friday
//! drain rack Kurume/r1                  # ito: switch is replaced
//! drain server 10.0.3.7:7400            # ito: disk errors; address of the sidecar
//! ```
//!
//! A `team` in the rules is a client account. Names contain no spaces and no `#`.
//!
//! The result of parsing depends on the text alone, because each control instance decides by it
//! whether a change is accepted, and all must decide alike.

mod edit;
mod parse;
mod print;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    net::SocketAddr,
};

use indexmap::IndexMap;

use crate::protocol::job;
pub use edit::Edit;

/// Name in rules that apply to every client account without a rule of its own for the same setting.
pub const ANY: &str = "*";
/// Maximum length of a name in a rule, in bytes.
pub const NAME_MAX_BYTES: usize = 64;
/// Maximum weight of a client account.
pub const SHARE_MAX: u32 = 1_000;
/// Maximum number of faults that are reported for one text.
pub const FAULTS_MAX: usize = 20;

/// One rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    Account { account: String, setting: Setting },
    Kind { kind: String, only: Only },
    Drain(Target),
}

/// Whether a rule can contain `name` as that of a data centre.
pub fn is_data_centre(name: &str) -> bool {
    parse::is_name(name)
}

/// A setting of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setting {
    /// Task starts per second.
    Quota(u32),
    /// Maximum number of tasks that are queued at one entry.
    Waiting(u32),
    /// Weight relative to other client accounts.
    Share(u32),
    Prefer(Preference),
    /// Whether tasks that may be started twice are hedged. The default is to hedge them. With the
    /// preference `Messages` they are never hedged, whatever this setting says.
    Hedge(bool),
    /// Retry budget in percent of task starts.
    Retries(u8),
    /// Maximum number of tasks in one job.
    Job(u16),
}

/// The measure that dispatch keeps low for a client account. The default is `Response`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// Response time.
    Response,
    /// Number of wasted messages.
    Messages,
}

/// Restriction of where tasks of a kind may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Only {
    DataCentre(String),
    Rack {
        data_centre: String,
        rack: String,
    },
    /// Only on workers with accelerators.
    Accelerators,
}

/// The part of the system that a drain rule excludes from new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    DataCentre(String),
    Rack {
        data_centre: String,
        rack: String,
    },
    /// A backend server, identified by the address of its sidecar.
    Server(SocketAddr),
}

/// A line of the rules file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    Blank,
    /// A line with only a comment.
    Comment(String),
    /// Boxed, so that a text of many short lines takes little memory.
    Rule(Box<RuleLine>),
}

/// A line with a rule: the rule, its line number and its comment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleLine {
    /// Line number, from 1.
    pub line: usize,
    pub rule: Rule,
    /// Who requested the rule.
    pub who: String,
    pub reason: String,
}

/// A parsed rules file.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Rules {
    lines: Vec<Line>,
    /// Rules for [`ANY`].
    any: AccountRules,
    accounts: IndexMap<String, AccountRules>,
    placements: BTreeMap<String, Placement>,
    drained_centres: HashSet<String>,
    /// Names of the drained racks by data centre.
    drained_racks: HashMap<String, HashSet<String>>,
    drained_servers: HashSet<SocketAddr>,
}

/// The rules for one client account. A field is `None` if no rule sets it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct AccountRules {
    /// Quota in task starts per second.
    pub starts_per_s: Option<u32>,
    /// Maximum number of tasks that are queued at one entry.
    pub waiting: Option<u32>,
    /// Weight relative to other client accounts.
    pub share: Option<u32>,
    pub preference: Option<Preference>,
    pub hedge: Option<bool>,
    /// Retry budget in percent of task starts.
    pub retry_percent: Option<u8>,
    /// Maximum number of tasks in one job.
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

    /// Takes each field that is not set from `any`.
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

/// Where tasks of a kind may run. All the restrictions that are set must be met.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Placement {
    pub data_centre: Option<String>,
    pub rack: Option<String>,
    pub accelerators: bool,
}

impl Placement {
    /// Whether tasks of the kind may run on a worker at this place with the resources `size`.
    pub fn allows(&self, data_centre: &str, rack: &str, size: job::Needs) -> bool {
        self.data_centre.as_deref().is_none_or(|d| d == data_centre)
            && self.rack.as_deref().is_none_or(|r| r == rack)
            && (!self.accelerators || size.accelerators > 0)
    }
}

/// A fault in a line of the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    pub reason: String,
}

/// The faults of a text, at most [`FAULTS_MAX`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, Fault { line, reason }) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}line {line}: {reason}")?;
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

    /// The lines with rules, in the order of the file.
    pub fn rule_lines(&self) -> impl Iterator<Item = &RuleLine> {
        self.lines.iter().filter_map(|line| match line {
            Line::Rule(rule_line) => Some(&**rule_line),
            Line::Blank | Line::Comment(_) => None,
        })
    }

    /// The rules for a client account: for each setting its own rule, or the one for `*` if it has
    /// none.
    pub fn account(&self, account: &str) -> AccountRules {
        self.accounts.get(account).copied().unwrap_or_default().or(self.any)
    }

    /// Client accounts that have a rule of their own.
    pub fn accounts(&self) -> impl Iterator<Item = &str> {
        self.accounts.keys().map(String::as_str)
    }

    /// Whether a rule drains the backend server at this place whose sidecar has the address `addr`.
    pub fn drains(&self, data_centre: &str, rack: &str, addr: SocketAddr) -> bool {
        self.drained_centres.contains(data_centre)
            || self.drained_racks.get(data_centre).is_some_and(|racks| racks.contains(rack))
            || self.drained_servers.contains(&addr)
    }

    /// Names of the data centres that rules drain, in ascending order.
    pub fn drained_data_centres(&self) -> Vec<String> {
        let mut names: Vec<String> = self.drained_centres.iter().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Where tasks of a kind may run; `None` if they may run anywhere.
    pub fn placement(&self, kind: &str) -> Option<&Placement> {
        self.placements.get(kind)
    }

    /// Kinds whose place is restricted, in the order of their names.
    pub fn placements(&self) -> impl Iterator<Item = (&str, &Placement)> {
        self.placements.iter().map(|(kind, placement)| (kind.as_str(), placement))
    }

    /// Appends a line and enters its rule in the lookup tables.
    fn push(&mut self, line: Line) {
        if let Line::Rule(rule_line) = &line {
            match &rule_line.rule {
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
