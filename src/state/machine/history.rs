//! The rules in force, the changes that led to them, and the answers to operators' changes.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    protocol::{rule, wire::control},
    util,
};

/// Maximum number of answers kept for resends: about 4 days at 1,700 changes a day. A resend of an
/// accepted change whose answer has been dropped gets a conflict, because its base version is no
/// longer current; so no change is applied twice.
pub const DECISIONS_MAX: usize = 8_192;
/// Maximum number of accepted changes kept.
pub const HISTORY_MAX: usize = 8_192;
/// Maximum number of bytes of replaced text kept with the accepted changes.
pub const HISTORY_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Longest rules text, in bytes: enough for 760 client accounts with seven rules of 120 bytes.
pub const RULES_MAX_BYTES: usize = 1024 * 1024;
/// Longest change id and operator name, in bytes.
pub const NAME_MAX_BYTES: usize = 128;
/// Maximum size of the rules text in one answer about the history, in bytes: half of the largest
/// message.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Longest error text kept with an answer, in bytes.
const DETAIL_MAX_BYTES: usize = 2_048;

/// The rules and their history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct History {
    rules: control::Rules,
    /// Accepted changes, oldest first.
    accepted: VecDeque<Accepted>,
    accepted_bytes: usize,
    /// Answers by change id.
    decisions: IndexMap<String, Decision>,
    /// Ids of the answered changes, oldest answer first.
    decision_order: VecDeque<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Accepted {
    version: u64,
    id: String,
    operator: String,
    at_ms: u64,
    /// Turns the text of this version into the text of the version before.
    undo: Undo,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Decision {
    /// Digest of the change, which distinguishes a resend from another change under the same id.
    digest: [u8; 32],
    answer: control::Changed,
}

/// The inverse of a change of the text. Most changes touch a line or two of a long text, so a
/// history of whole texts would take a thousand times the memory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Undo {
    /// Length of the start that both texts share, in bytes.
    prefix_len: usize,
    /// Length of the end that both texts share, in bytes.
    suffix_len: usize,
    /// Text between the two in the older version.
    replaced: String,
}

impl Undo {
    fn new(old: &str, new: &str) -> Undo {
        let equal = |(a, b): &(char, char)| a == b;
        let prefix_len: usize =
            old.chars().zip(new.chars()).take_while(equal).map(|(c, _)| c.len_utf8()).sum();
        let rest = old[prefix_len..].chars().rev().zip(new[prefix_len..].chars().rev());
        let suffix_len: usize = rest.take_while(equal).map(|(c, _)| c.len_utf8()).sum();
        let replaced = old[prefix_len..old.len() - suffix_len].to_owned();
        Undo { prefix_len, suffix_len, replaced }
    }

    fn apply(&self, new: &str) -> String {
        let (prefix, suffix) = (&new[..self.prefix_len], &new[new.len() - self.suffix_len..]);
        [prefix, &self.replaced, suffix].concat()
    }
}

impl Default for History {
    fn default() -> History {
        History {
            rules: control::Rules { version: 0, text: String::new() },
            accepted: VecDeque::new(),
            accepted_bytes: 0,
            decisions: IndexMap::new(),
            decision_order: VecDeque::new(),
        }
    }
}

impl History {
    pub fn rules(&self) -> &control::Rules {
        &self.rules
    }

    /// Accepts or refuses a change. A resend gets the answer of the first.
    pub fn change(&mut self, now_ms: u64, change: &control::Change) -> control::Changed {
        if let Some(detail) = size_fault(change) {
            return control::Changed::Invalid { detail };
        }
        let digest = digest(change);
        if let Some(decision) = self.decisions.get(&change.id) {
            if decision.digest == digest {
                return decision.answer.clone();
            }
            let detail = format!("change id {:?} was used with other content", change.id);
            return control::Changed::Invalid { detail };
        }
        let answer = self.decide(now_ms, change);
        self.keep_decision(change.id.clone(), Decision { digest, answer: answer.clone() });
        answer
    }

    fn decide(&mut self, now_ms: u64, change: &control::Change) -> control::Changed {
        let version = self.rules.version;
        if change.base != version {
            let winner = self.accepted.back().map_or(String::new(), |a| a.operator.clone());
            return control::Changed::Conflict { version, winner };
        }
        if let Err(faults) = rule::Rules::parse(&change.text) {
            return control::Changed::Invalid { detail: truncated(&faults) };
        }
        let version = version + 1;
        let undo = Undo::new(&self.rules.text, &change.text);
        self.accepted_bytes += undo.replaced.len();
        self.accepted.push_back(Accepted {
            version,
            id: change.id.clone(),
            operator: change.operator.clone(),
            at_ms: now_ms,
            undo,
        });
        // The newest change is always kept, because a conflict names its operator.
        while self.accepted.len() > HISTORY_MAX
            || (self.accepted_bytes > HISTORY_MAX_BYTES && self.accepted.len() > 1)
        {
            let oldest = self.accepted.pop_front();
            self.accepted_bytes -= oldest.map_or(0, |a| a.undo.replaced.len());
        }
        self.rules = control::Rules { version, text: change.text.clone() };
        control::Changed::Accepted { version }
    }

    fn keep_decision(&mut self, id: String, decision: Decision) {
        self.decision_order.push_back(id.clone());
        self.decisions.insert(id, decision);
        if self.decision_order.len() > DECISIONS_MAX
            && let Some(oldest) = self.decision_order.pop_front()
        {
            self.decisions.swap_remove(&oldest);
        }
    }

    /// The newest accepted changes, newest first: at most `limit`, and no more than have
    /// [`ANSWER_MAX_BYTES`] of text together.
    pub fn newest(&self, limit: usize) -> Vec<control::Accepted> {
        let mut text = self.rules.text.clone();
        let mut bytes = 0;
        let newest = self.accepted.iter().rev().take(limit).map_while(|a| {
            bytes += text.len();
            let before = a.undo.apply(&text);
            (bytes <= ANSWER_MAX_BYTES).then(|| control::Accepted {
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

/// The faults as text, cut at [`DETAIL_MAX_BYTES`].
fn truncated(faults: &rule::Faults) -> String {
    let mut text = faults.to_string();
    let end = DETAIL_MAX_BYTES.min(text.len());
    let end = (0..=end).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    text.truncate(end);
    text
}

/// Which field of a change has an invalid length, if any.
fn size_fault(change: &control::Change) -> Option<String> {
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
    let header = format!("{}\n{}\n", change.base, change.operator);
    util::sha256(&[header.as_bytes(), change.text.as_bytes()].concat())
}
