//! Command line of the load generator.

use std::net::SocketAddr;

use crate::{cmd::util, error::Result, load::work::Work};

pub const USAGE: &str = "
Sends submissions to entries at given times, whether or not earlier ones have
been answered, and reports response times, outcomes and wasted messages as
key=value lines.

Usage:
    briargauge-load [options]

Options:
    -e, --entry ADDRS        http addresses of entries, comma-separated
        --direct ADDR        send tasks to this backend server instead
        --scenario NAME      name in the report (default: steady)
        --policy NAME        name in the report (default: briargauge)
        --class CLASS        job, keyed or idempotent (default: job)
        --tasks N            tasks per job (default: 20; requests have 1)
        --work MS            run time of tasks in ms, or `steady` (default)
        --load SHARE         offered load as a share of capacity (default: 0.5)
        --capacity SLOTS     sum of slots times speed (default: 88)
        --slots N            slots of the whole system (default: 88)
        --speed FACTOR       speed of the fastest backend server (default: 1)
        --rate PER_S         submissions per second; goes before --load
        --seconds S          length of the run (default: 10, at most 600)
        --seed N             seed of all draws (default: 1)
        --teams N            number of teams (default: 2)
        --greedy SHARE       share of submissions that team 0 adds (default: 0)
        --cancel SHARE       share of submissions that are cancelled (default: 0)
        --cancel-within MS   latest time of a cancel (default: 500)
        --burst FACTOR       rate factor during a tenth of the run (default: 1)
        --declared FACTOR    declared over true run time; 0 declares nothing
                             (default: 1)
        --deadline MS        deadline of each submission (default: 30000)
";

/// Longest experiment, in seconds.
const SECONDS_MAX: f64 = 600.0;

/// Kind of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Job,
    Keyed,
    Idempotent,
}

impl Class {
    fn new(text: &str) -> Option<Class> {
        Some(match text {
            "job" => Class::Job,
            "keyed" => Class::Keyed,
            "idempotent" => Class::Idempotent,
            _ => return None,
        })
    }

    pub fn name(self) -> &'static str {
        match self {
            Class::Job => "job",
            Class::Keyed => "keyed",
            Class::Idempotent => "idempotent",
        }
    }
}

/// Parameters of an experiment. See [`USAGE`] for their meaning.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    pub entries: Vec<SocketAddr>,
    pub direct: Option<SocketAddr>,
    pub scenario: String,
    pub policy: String,
    pub class: Class,
    pub tasks: usize,
    pub work: Work,
    pub load: f64,
    pub capacity: f64,
    pub slots: usize,
    pub speed: f64,
    pub rate: Option<f64>,
    pub seconds: f64,
    pub seed: u64,
    pub accounts: usize,
    pub greedy: f64,
    pub cancel: f64,
    pub cancel_within_ms: u64,
    pub burst: f64,
    pub declared_factor: f64,
    pub deadline_ms: u32,
}

impl Options {
    /// Parses the command line `args`, without the program's name.
    pub fn new(args: &[String]) -> Result<Options> {
        let mut spec = getopts::Options::new();
        spec.optopt("e", "entry", "", "ADDRS");
        for name in LONG_NAMES {
            spec.optopt("", name, "", "");
        }
        let matches = util::parse(&spec, args)?;
        let text =
            |name: &str, default: &str| matches.opt_str(name).unwrap_or_else(|| default.to_owned());
        let entries = match matches.opt_str("entry") {
            Some(list) => {
                list.split(',').map(|a| util::address("--entry", a)).collect::<Result<_>>()?
            }
            None => Vec::new(),
        };
        let direct =
            matches.opt_str("direct").map(|a| util::address("--direct", &a)).transpose()?;
        let class = text("class", "job");
        let class = Class::new(&class).ok_or_else(|| invalid("class", &class))?;
        let work = text("work", "steady");
        let tasks = if class == Class::Job { number(&text("tasks", "20"), "tasks")? } else { 1 };
        let options = Options {
            entries,
            direct,
            scenario: text("scenario", "steady"),
            policy: text("policy", "briargauge"),
            class,
            tasks,
            work: Work::new(&work).ok_or_else(|| invalid("work", &work))?,
            load: number(&text("load", "0.5"), "load")?,
            capacity: number(&text("capacity", "88"), "capacity")?,
            slots: number(&text("slots", "88"), "slots")?,
            speed: number(&text("speed", "1"), "speed")?,
            rate: matches.opt_str("rate").map(|t| number(&t, "rate")).transpose()?,
            seconds: number(&text("seconds", "10"), "seconds")?,
            seed: number(&text("seed", "1"), "seed")?,
            accounts: number(&text("teams", "2"), "teams")?,
            greedy: number(&text("greedy", "0"), "greedy")?,
            cancel: number(&text("cancel", "0"), "cancel")?,
            cancel_within_ms: number(&text("cancel-within", "500"), "cancel-within")?,
            burst: number(&text("burst", "1"), "burst")?,
            declared_factor: number(&text("declared", "1"), "declared")?,
            deadline_ms: number(&text("deadline", "30000"), "deadline")?,
        };
        options.check()?;
        Ok(options)
    }

    fn check(&self) -> Result<()> {
        if self.entries.is_empty() == self.direct.is_none() {
            return Err(util::usage("give either --entry or --direct"));
        }
        let positive = [
            ("load", self.load),
            ("capacity", self.capacity),
            ("speed", self.speed),
            ("seconds", self.seconds),
            ("burst", self.burst),
            ("rate", self.rate()),
        ];
        if let Some((name, _)) = positive.iter().find(|(_, v)| !v.is_finite() || *v <= 0.0) {
            return Err(util::usage(format!("--{name}: must be above 0")));
        }
        if self.seconds > SECONDS_MAX {
            return Err(util::usage(format!("--seconds: at most {SECONDS_MAX}")));
        }
        let shares = [("greedy", self.greedy), ("cancel", self.cancel)];
        if let Some((name, _)) = shares.iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return Err(util::usage(format!("--{name}: must be between 0 and 1")));
        }
        if self.accounts == 0 || self.tasks == 0 || self.slots == 0 || self.cancel_within_ms == 0 {
            return Err(util::usage("--teams, --tasks, --slots, --cancel-within: at least 1"));
        }
        Ok(())
    }

    /// Submissions per second outside the burst.
    pub fn rate(&self) -> f64 {
        self.rate.unwrap_or_else(|| {
            let job_ms = self.work.mean_ms().max(1.0) * self.tasks as f64;
            self.load * self.capacity * 1_000.0 / job_ms
        })
    }
}

/// Names of the options that have only a long form.
const LONG_NAMES: [&str; 20] = [
    "direct",
    "scenario",
    "policy",
    "class",
    "tasks",
    "work",
    "load",
    "capacity",
    "slots",
    "speed",
    "rate",
    "seconds",
    "seed",
    "teams",
    "greedy",
    "cancel",
    "cancel-within",
    "burst",
    "declared",
    "deadline",
];

/// The error for an option whose value cannot be parsed.
fn invalid(name: &str, text: &str) -> crate::error::Error {
    util::usage(format!("--{name}: '{text}' is not valid"))
}

fn number<T: std::str::FromStr>(text: &str, name: &str) -> Result<T> {
    text.parse().map_err(|_| invalid(name, text))
}
