//! A sidecar's lease from control: until when it may start attempts, and for which entries.

use std::collections::HashSet;

use crate::{
    coordination::dispatch::Micros,
    protocol::{id, wire::control},
};

/// Lease of a sidecar, with the newest session list and rules that it got from control.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    until: Micros,
    /// Log index of the session list, `None` before the first one.
    as_of: Option<u64>,
    /// Open sessions in that list.
    live: HashSet<id::Epoch>,
    rules: Option<control::Rules>,
}

impl Lease {
    /// Applies the answer to a sync call that was sent at `sent`.
    ///
    /// The lease counts from `sent`, less the age that the read barrier with which control
    /// confirmed its state had when control answered, so a slow or relayed answer never lengthens
    /// it. Session lists and rules older than the present ones are ignored.
    pub fn confirm(&mut self, sent: Micros, view: control::SidecarView) {
        let left_ms = view.lease_ms.saturating_sub(view.confirmed_age_ms);
        self.until = self.until.max(sent.saturating_add(left_ms.saturating_mul(1_000)));
        if let Some(sessions) = view.sessions
            && self.as_of.is_none_or(|as_of| as_of < sessions.as_of)
        {
            self.as_of = Some(sessions.as_of);
            self.live = sessions.live.into_iter().collect();
        }
        if let Some(rules) = view.rules
            && rules.version > self.rules_version()
        {
            self.rules = Some(rules);
        }
    }

    /// Whether attempts may start at `now`.
    pub fn held(&self, now: Micros) -> bool {
        self.as_of.is_some() && now < self.until
    }

    /// When the lease ends, unless it is confirmed again.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether an entry's session has ended according to the session list. A session that is newer
    /// than the list counts as open.
    pub fn fenced(&self, epoch: id::Epoch) -> bool {
        self.as_of.is_some_and(|as_of| epoch.0 <= as_of) && !self.live.contains(&epoch)
    }

    /// Log index of the present session list.
    pub fn as_of(&self) -> Option<u64> {
        self.as_of
    }

    /// Version of the present rules, 0 for none.
    pub fn rules_version(&self) -> u64 {
        self.rules.as_ref().map_or(0, |r| r.version)
    }

    /// Text of the present rules.
    pub fn rules(&self) -> &str {
        self.rules.as_ref().map_or("", |r| &r.text)
    }
}
