//! The rules in force, how they came about, and the answers given to operators.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    protocol::{rule, wire::control},
    util,
};

/// Answers kept for resends, about 4 days at 1,700 changes a day. A resend of an accepted change
/// whose answer is gone meets a newer version and gets a conflict; it is never applied twice.
pub const DECISIONS_MAX: usize = 8_192;
/// Accepted changes kept.
pub const HISTORY_MAX: usize = 8_192;
/// Bytes of replaced text kept with the accepted changes.
pub const HISTORY_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Longest rules text, in bytes: 760 teams with seven rules of 120 bytes fit.
pub const RULES_MAX_BYTES: usize = 1024 * 1024;
/// Longest change id and operator name, in bytes.
pub const NAME_MAX_BYTES: usize = 128;
/// Most text in one answer about the history, in bytes; a message has at most twice as many.
const NEWEST_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Longest explanation kept with an answer, in bytes.
const DETAIL_MAX_BYTES: usize = 2_048;

/// The rules and their history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct History {
    rules: control::Rules,
    /// Accepted changes, oldest first.
    accepted: VecDeque<Accepted>,
    accepted_bytes: usize,
    /// Answers by change id.
    decided: IndexMap<String, Decision>,
    /// Change ids in the order of their answers.
    order: VecDeque<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Accepted {
    version: u64,
    id: String,
    operator: String,
    at_ms: u64,
    /// Turns the text of this version into that of the version before.
    undo: Undo,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Decision {
    /// Tells a resend from another change under the same id.
    digest: [u8; 32],
    answer: control::Changed,
}

/// The part of a text that was replaced. Most changes touch a line or two of a long text, so the
/// history of whole texts would take a thousand times the memory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Undo {
    /// Bytes at the start and end that both texts share.
    head: usize,
    tail: usize,
    /// What stood between them before.
    middle: String,
}

impl Undo {
    fn new(old: &str, new: &str) -> Undo {
        let equal = |(a, b): &(char, char)| a == b;
        let head: usize =
            old.chars().zip(new.chars()).take_while(equal).map(|(c, _)| c.len_utf8()).sum();
        let rest = old[head..].chars().rev().zip(new[head..].chars().rev());
        let tail: usize = rest.take_while(equal).map(|(c, _)| c.len_utf8()).sum();
        Undo { head, tail, middle: old[head..old.len() - tail].to_owned() }
    }

    fn apply(&self, new: &str) -> String {
        [&new[..self.head], &self.middle, &new[new.len() - self.tail..]].concat()
    }
}

impl Default for History {
    fn default() -> History {
        History {
            rules: control::Rules { version: 0, text: String::new() },
            accepted: VecDeque::new(),
            accepted_bytes: 0,
            decided: IndexMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl History {
    pub fn rules(&self) -> &control::Rules {
        &self.rules
    }

    /// Decides on a change, or repeats the decision if it is a resend.
    pub fn change(&mut self, now_ms: u64, change: &control::Change) -> control::Changed {
        if let Some(detail) = unfit(change) {
            return control::Changed::Invalid { detail };
        }
        let digest = digest(change);
        if let Some(decision) = self.decided.get(&change.id) {
            if decision.digest == digest {
                return decision.answer.clone();
            }
            let detail = format!("change id {:?} was used with other content", change.id);
            return control::Changed::Invalid { detail };
        }
        let answer = self.decide(now_ms, change);
        self.remember(change.id.clone(), Decision { digest, answer: answer.clone() });
        answer
    }

    fn decide(&mut self, now_ms: u64, change: &control::Change) -> control::Changed {
        let version = self.rules.version;
        if change.base != version {
            let winner = self.accepted.back().map_or(String::new(), |a| a.operator.clone());
            return control::Changed::Conflict { version, winner };
        }
        if let Err(faults) = rule::Rules::parse(&change.text) {
            return control::Changed::Invalid { detail: detail(&faults) };
        }
        let version = version + 1;
        let undo = Undo::new(&self.rules.text, &change.text);
        self.accepted_bytes += undo.middle.len();
        self.accepted.push_back(Accepted {
            version,
            id: change.id.clone(),
            operator: change.operator.clone(),
            at_ms: now_ms,
            undo,
        });
        // The newest change always stays: a conflict names its operator.
        while self.accepted.len() > HISTORY_MAX
            || (self.accepted_bytes > HISTORY_MAX_BYTES && self.accepted.len() > 1)
        {
            let oldest = self.accepted.pop_front();
            self.accepted_bytes -= oldest.map_or(0, |a| a.undo.middle.len());
        }
        self.rules = control::Rules { version, text: change.text.clone() };
        control::Changed::Accepted { version }
    }

    fn remember(&mut self, id: String, decision: Decision) {
        self.order.push_back(id.clone());
        self.decided.insert(id, decision);
        if self.order.len() > DECISIONS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.decided.swap_remove(&oldest);
        }
    }

    /// The newest accepted changes, newest first: `limit`, or as many as have up to
    /// [`NEWEST_MAX_BYTES`] of text.
    pub fn newest(&self, limit: usize) -> Vec<control::Accepted> {
        let mut text = self.rules.text.clone();
        let mut bytes = 0;
        let newest = self.accepted.iter().rev().take(limit).map_while(|a| {
            bytes += text.len();
            let before = a.undo.apply(&text);
            (bytes <= NEWEST_MAX_BYTES).then(|| control::Accepted {
                version: a.version,
                id: a.id.clone(),
                operator: a.operator.clone(),
                at_ms: a.at_ms,
                text: std::mem::replace(&mut text, before),
            })
        });
        newest.collect()
    }
}

/// The faults as text, as many as there is room for.
fn detail(faults: &rule::Faults) -> String {
    let mut detail = faults.to_string();
    let end = DETAIL_MAX_BYTES.min(detail.len());
    let end = (0..=end).rev().find(|i| detail.is_char_boundary(*i)).unwrap_or(0);
    detail.truncate(end);
    detail
}

fn unfit(change: &control::Change) -> Option<String> {
    for (what, name) in [("change id", &change.id), ("operator", &change.operator)] {
        if name.trim().is_empty() || name.len() > NAME_MAX_BYTES {
            return Some(format!("{what} must have 1 to {NAME_MAX_BYTES} bytes"));
        }
    }
    (change.text.len() > RULES_MAX_BYTES).then(|| {
        format!("text has {} bytes, at most {RULES_MAX_BYTES} are allowed", change.text.len())
    })
}

fn digest(change: &control::Change) -> [u8; 32] {
    let head = format!("{}\n{}\n", change.base, change.operator);
    util::sha256(&[head.as_bytes(), change.text.as_bytes()].concat())
}
