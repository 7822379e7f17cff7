//! Prints rules in the form that the parser accepts.

use std::fmt;

use super::{Line, Only, Preference, Rule, RuleLine, Rules, Setting, Target};

impl fmt::Display for Rules {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Line::Blank => Ok(()),
            Line::Comment(text) if text.is_empty() => f.write_str("#"),
            Line::Comment(text) => write!(f, "# {text}"),
            Line::Rule(rule_line) => {
                let RuleLine { rule, who, reason, .. } = &**rule_line;
                write!(f, "{rule} # {who}: {reason}")
            }
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rule::Account { account, setting } => write!(f, "team {account} {setting}"),
            Rule::Kind { kind, only } => write!(f, "kind {kind} only {only}"),
            Rule::Drain(target) => write!(f, "drain {target}"),
        }
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Setting::Quota(n) => write!(f, "quota {n} starts/s"),
            Setting::Waiting(n) => write!(f, "waiting {n} tasks"),
            Setting::Share(n) => write!(f, "share {n}"),
            Setting::Prefer(Preference::Response) => f.write_str("prefer response"),
            Setting::Prefer(Preference::Messages) => f.write_str("prefer messages"),
            Setting::Hedge(true) => f.write_str("hedge on"),
            Setting::Hedge(false) => f.write_str("hedge off"),
            Setting::Retries(n) => write!(f, "retries {n}%"),
            Setting::Job(n) => write!(f, "job {n} tasks"),
        }
    }
}

impl fmt::Display for Only {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Only::DataCentre(name) => write!(f, "data-centre {name}"),
            Only::Rack { data_centre, rack } => write!(f, "rack {data_centre}/{rack}"),
            Only::Accelerators => f.write_str("accelerators"),
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::DataCentre(name) => write!(f, "data-centre {name}"),
            Target::Rack { data_centre, rack } => write!(f, "rack {data_centre}/{rack}"),
            Target::Server(addr) => write!(f, "server {addr}"),
        }
    }
}
