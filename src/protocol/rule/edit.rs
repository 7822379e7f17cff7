//! Changes of one line of the rules.

use super::{Faults, Rules};

/// A change of one line of the rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Adds a line at the end.
    Add(String),
    /// Removes the lines that have these words before their comment.
    Remove(String),
}

impl Edit {
    /// Returns the rules `text` with this change, or `None` if it changes nothing: a line with the
    /// words to add exists, or none with those to remove. An error means that the result would not be
    /// valid.
    pub fn apply(&self, text: &str) -> Result<Option<String>, Faults> {
        let (Edit::Add(words) | Edit::Remove(words)) = self;
        let same = |line: &str| rule_words(line) == rule_words(words);
        let exists = text.lines().any(same);
        let lines: Vec<&str> = match self {
            Edit::Add(_) if exists => return Ok(None),
            Edit::Remove(_) if !exists => return Ok(None),
            Edit::Add(line) => text.lines().chain([line.as_str()]).collect(),
            Edit::Remove(_) => text.lines().filter(|line| !same(line)).collect(),
        };
        let text: String = lines.iter().flat_map(|line| [line, "\n"]).collect();
        Rules::parse(&text)?;
        Ok(Some(text))
    }
}

/// The words of a line before its comment.
fn rule_words(line: &str) -> Vec<&str> {
    line.split('#').next().unwrap_or_default().split_whitespace().collect()
}
