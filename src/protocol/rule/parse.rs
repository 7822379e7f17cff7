//! Parses and checks rules files.

use std::{collections::HashMap, net::SocketAddr, ops::RangeInclusive, str::SplitWhitespace};

use super::{
    ANY, FAULTS_MAX, Fault, Faults, Line, NAME_MAX_BYTES, Only, Preference, Rule, RuleLine, Rules,
    SHARE_MAX, Setting, Target,
};
use crate::protocol::job;

/// Parses a rules file and checks that its rules do not contradict each other.
pub fn rules(text: &str) -> Result<Rules, Faults> {
    let mut rules = Rules::default();
    let mut subjects = HashMap::new();
    let mut faults = Vec::new();
    for (index, text) in text.lines().enumerate() {
        let number = index + 1;
        let parsed = line(number, text).and_then(|line| {
            if let Line::Rule(rule_line) = &line {
                check(&mut subjects, &rules, rule_line)?;
            }
            Ok(line)
        });
        match parsed {
            Ok(line) => rules.push(line),
            Err(reason) => {
                faults.push(Fault { line: number, reason });
                // The checks of later lines find earlier lines by their number, so each line must
                // take up one position.
                rules.push(Line::Blank);
            }
        }
        if faults.len() >= FAULTS_MAX {
            break;
        }
    }
    if faults.is_empty() { Ok(rules) } else { Err(Faults(faults)) }
}

/// Whether `word` is a single word that may be a name.
pub fn is_name(word: &str) -> bool {
    let reserved = |c: char| c.is_whitespace() || c.is_control() || c == '#';
    !word.is_empty() && word.len() <= NAME_MAX_BYTES && !word.contains(reserved)
}

fn line(number: usize, text: &str) -> Result<Line, String> {
    let text = text.trim();
    if text.is_empty() {
        return Ok(Line::Blank);
    }
    if let Some(comment) = text.strip_prefix('#') {
        return Ok(Line::Comment(comment.trim().to_owned()));
    }
    let (body, comment) = text.split_once('#').unwrap_or((text, ""));
    let mut words = Words { words: body.split_whitespace() };
    let rule = words.rule()?;
    words.expect_end()?;
    let origin = comment.split_once(':').map(|(who, reason)| (who.trim(), reason.trim()));
    match origin {
        Some((who, reason)) if !who.is_empty() && !reason.is_empty() => {
            let (who, reason) = (who.to_owned(), reason.to_owned());
            Ok(Line::Rule(Box::new(RuleLine { line: number, rule, who, reason })))
        }
        _ => Err("must end with a comment `# who: reason` that names who asked for it".into()),
    }
}

/// What a rule sets. A file may contain only one rule with the same subject.
#[derive(Debug, PartialEq, Eq, Hash)]
enum Subject {
    Quota(String),
    Waiting(String),
    Share(String),
    Prefer(String),
    Hedge(String),
    Retries(String),
    Job(String),
    /// Restriction of a kind to a data centre or rack. The string is the kind.
    Place(String),
    /// Restriction of a kind to workers with accelerators. The string is the kind.
    Accelerators(String),
    /// The target of a drain rule in its printed form.
    Drain(String),
}

fn subject(rule: &Rule) -> Subject {
    match rule {
        Rule::Account { account, setting } => {
            let account = account.clone();
            match setting {
                Setting::Quota(_) => Subject::Quota(account),
                Setting::Waiting(_) => Subject::Waiting(account),
                Setting::Share(_) => Subject::Share(account),
                Setting::Prefer(_) => Subject::Prefer(account),
                Setting::Hedge(_) => Subject::Hedge(account),
                Setting::Retries(_) => Subject::Retries(account),
                Setting::Job(_) => Subject::Job(account),
            }
        }
        Rule::Kind { kind, only: Only::Accelerators } => Subject::Accelerators(kind.clone()),
        Rule::Kind { kind, .. } => Subject::Place(kind.clone()),
        Rule::Drain(target) => Subject::Drain(target.to_string()),
    }
}

/// Subject and setting of the rule that contradicts this one, if there is any: `prefer messages`
/// and `hedge on` for the same name. A rule that an account inherits from `*` is not compared with
/// the account's own rules.
fn contradiction(rule: &Rule) -> Option<(Subject, Setting)> {
    let Rule::Account { account, setting } = rule else { return None };
    match setting {
        Setting::Prefer(Preference::Messages) => {
            Some((Subject::Hedge(account.clone()), Setting::Hedge(true)))
        }
        Setting::Hedge(true) => {
            Some((Subject::Prefer(account.clone()), Setting::Prefer(Preference::Messages)))
        }
        _ => None,
    }
}

/// Checks a rule against the rules before it and records its subject.
fn check(
    subjects: &mut HashMap<Subject, usize>,
    before: &Rules,
    rule_line: &RuleLine,
) -> Result<(), String> {
    let earlier = |line: &usize| match &before.lines[line - 1] {
        Line::Rule(rule_line) => Some((*line, &rule_line.rule)),
        Line::Blank | Line::Comment(_) => None,
    };
    let subject = subject(&rule_line.rule);
    match subjects.get(&subject).and_then(earlier) {
        Some((line, rule)) if *rule == rule_line.rule => {
            return Err(format!("`{rule}` repeats line {line}"));
        }
        Some((line, rule)) => {
            return Err(format!("`{}` contradicts line {line}: `{rule}`", rule_line.rule));
        }
        None => {}
    }
    if let Some((other, value)) = contradiction(&rule_line.rule)
        && let Some((line, rule)) = subjects.get(&other).and_then(earlier)
        && matches!(rule, Rule::Account { setting, .. } if *setting == value)
    {
        return Err(format!("`{}` contradicts line {line}: `{rule}`", rule_line.rule));
    }
    subjects.insert(subject, rule_line.line);
    Ok(())
}

/// The words of one rule that are not parsed yet.
struct Words<'a> {
    words: SplitWhitespace<'a>,
}

impl<'a> Words<'a> {
    fn rule(&mut self) -> Result<Rule, String> {
        match self.one_of(&["team", "kind", "drain"])? {
            "team" => {
                let account = self.name("team")?;
                Ok(Rule::Account { account, setting: self.setting()? })
            }
            "kind" => {
                let kind = self.name("kind")?;
                if kind == ANY {
                    return Err(format!("`{ANY}` stands for teams only"));
                }
                self.one_of(&["only"])?;
                Ok(Rule::Kind { kind, only: self.only()? })
            }
            _ => Ok(Rule::Drain(self.target()?)),
        }
    }

    fn setting(&mut self) -> Result<Setting, String> {
        let words = ["quota", "waiting", "share", "prefer", "hedge", "retries", "job"];
        Ok(match self.one_of(&words)? {
            "quota" => {
                let quota = self.number("task starts per second", 0..=u32::MAX)?;
                self.one_of(&["starts/s"])?;
                Setting::Quota(quota)
            }
            "waiting" => Setting::Waiting(self.tasks(0..=u32::MAX)?),
            "share" => Setting::Share(self.number("weight", 1..=SHARE_MAX)?),
            "prefer" => match self.one_of(&["response", "messages"])? {
                "response" => Setting::Prefer(Preference::Response),
                _ => Setting::Prefer(Preference::Messages),
            },
            "hedge" => Setting::Hedge(self.one_of(&["on", "off"])? == "on"),
            "retries" => Setting::Retries(self.percent()?),
            _ => {
                let tasks = self.tasks(1..=job::TASKS_MAX as u32)?;
                Setting::Job(u16::try_from(tasks).unwrap_or(u16::MAX))
            }
        })
    }

    fn only(&mut self) -> Result<Only, String> {
        Ok(match self.one_of(&["data-centre", "rack", "accelerators"])? {
            "data-centre" => Only::DataCentre(self.name("data centre")?),
            "rack" => {
                let (data_centre, rack) = self.rack()?;
                Only::Rack { data_centre, rack }
            }
            _ => Only::Accelerators,
        })
    }

    fn target(&mut self) -> Result<Target, String> {
        Ok(match self.one_of(&["data-centre", "rack", "server"])? {
            "data-centre" => Target::DataCentre(self.name("data centre")?),
            "rack" => {
                let (data_centre, rack) = self.rack()?;
                Target::Rack { data_centre, rack }
            }
            _ => {
                let word = self.word("an address", "IP:PORT")?;
                let addr: SocketAddr =
                    word.parse().map_err(|_| format!("{word:?} is not an address IP:PORT"))?;
                Target::Server(addr)
            }
        })
    }

    /// The next word. The error message of a missing word consists of `expected` and `what`.
    fn word(&mut self, expected: &str, what: &str) -> Result<&'a str, String> {
        self.words.next().ok_or_else(|| format!("expected {expected} {what} at the end"))
    }

    /// The next word, which must be one of `known`.
    fn one_of(&mut self, known: &[&'static str]) -> Result<&'static str, String> {
        let listed = || known.iter().map(|w| format!("`{w}`")).collect::<Vec<_>>().join(", ");
        let word = self.words.next().ok_or_else(|| match known {
            [one] => format!("expected `{one}` at the end"),
            _ => format!("expected one of {} at the end", listed()),
        })?;
        if let Some(known) = known.iter().find(|k| **k == word) {
            return Ok(known);
        }
        if word.len() > NAME_MAX_BYTES {
            // The distance to a long word takes hundreds of times its memory.
            return Err(format!(
                "unknown word of {} bytes, expected one of {}",
                word.len(),
                listed()
            ));
        }
        let nearest = known.iter().min_by_key(|k| strsim::damerau_levenshtein(k, word));
        let nearest = nearest.copied().unwrap_or_default();
        Err(format!("unknown word `{word}`, the nearest known word is `{nearest}`"))
    }

    fn name(&mut self, what: &str) -> Result<String, String> {
        let word = self.word("the name of a", what)?;
        if word.len() > NAME_MAX_BYTES {
            return Err(format!("name of a {what} has more than {NAME_MAX_BYTES} bytes"));
        }
        Ok(word.to_owned())
    }

    fn rack(&mut self) -> Result<(String, String), String> {
        let word = self.name("rack")?;
        match word.split_once('/') {
            Some((data_centre, rack)) if !data_centre.is_empty() && !rack.is_empty() => {
                Ok((data_centre.to_owned(), rack.to_owned()))
            }
            _ => Err(format!("rack `{word}` must be written DATA-CENTRE/RACK")),
        }
    }

    fn number(&mut self, what: &str, range: RangeInclusive<u32>) -> Result<u32, String> {
        let word = self.word("a number of", what)?;
        number(word, what, range)
    }

    fn percent(&mut self) -> Result<u8, String> {
        let word = self.word("a number of", "percent")?;
        let digits = word.strip_suffix('%').ok_or_else(|| format!("`{word}` must end with `%`"))?;
        let percent = number(digits, "percent", 0..=100)?;
        Ok(u8::try_from(percent).unwrap_or(u8::MAX))
    }

    fn tasks(&mut self, range: RangeInclusive<u32>) -> Result<u32, String> {
        let tasks = self.number("tasks", range)?;
        self.one_of(&["tasks"])?;
        Ok(tasks)
    }

    fn expect_end(&mut self) -> Result<(), String> {
        match self.words.next() {
            Some(word) => Err(format!("unexpected word `{word}` after the rule")),
            None => Ok(()),
        }
    }
}

fn number(word: &str, what: &str, range: RangeInclusive<u32>) -> Result<u32, String> {
    let digits = word.bytes().all(|b| b.is_ascii_digit());
    let number = word.parse().ok().filter(|n| digits && range.contains(n));
    number.ok_or_else(|| {
        let (low, high) = range.into_inner();
        format!("`{word}` ({what}) must be a whole number from {low} to {high}")
    })
}
