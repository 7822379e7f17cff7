//! Applies the rules to submissions and to the dispatcher.

use std::collections::HashSet;

use crate::{
    coordination::dispatch::{AccountSettings, Dispatcher, Micros, Placement, Preference},
    entry::{engine::Work, keyed::Done},
    metric,
    protocol::{
        id, job,
        rule::{self, AccountRules, Rules},
    },
};

/// The rules in force, and the teams that the dispatcher knows them for.
#[derive(Debug, Default)]
pub struct Policy {
    rules: Rules,
    /// Teams with lines of their own, and those seen: `*` applies to them by name.
    accounts: HashSet<String>,
}

impl Policy {
    /// Takes over new rules.
    pub fn set(&mut self, now: Micros, dispatcher: &mut Dispatcher, rules: Rules) {
        self.accounts.extend(rules.accounts().map(str::to_owned));
        self.rules = rules;
        self.tell(now, dispatcher);
    }

    /// Applies the rules to a submission; returns why they forbid it.
    pub fn apply(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        work: &mut Work,
    ) -> Result<(), Done> {
        let account = &work.spec.account.0;
        if !self.accounts.contains(account) && self.accounts.len() < metric::LABELS_MAX {
            self.accounts.insert(account.clone());
            self.tell(now, dispatcher);
        }
        let (tasks, max) = (work.spec.tasks.len(), self.rules.account(account).job_tasks);
        if let Some(max) = max
            && tasks > usize::from(max)
        {
            let detail =
                format!("tasks: {tasks} are too many, the rules allow team {account} {max}");
            return Err(Done::not_run(job::Refusal::BadRequest, detail));
        }
        for task in &mut work.spec.tasks {
            let placement = self.rules.placement(&task.kind);
            if placement.is_some_and(|placement| placement.accelerators) {
                task.needs.accelerators = task.needs.accelerators.max(1);
            }
        }
        Ok(())
    }

    fn tell(&self, now: Micros, dispatcher: &mut Dispatcher) {
        let accounts: Vec<_> = self
            .accounts
            .iter()
            .map(|account| (id::Account(account.clone()), settings(self.rules.account(account))))
            .collect();
        dispatcher.set_accounts(now, &accounts);
        dispatcher.set_placements(now, placements(&self.rules));
    }
}

fn placements(rules: &Rules) -> Vec<Placement> {
    let placed = rules.placements().map(|(kind, placement)| Placement {
        kind: kind.to_owned(),
        data_centre: placement.data_centre.clone(),
        rack: placement.rack.clone(),
    });
    placed.collect()
}

fn settings(rules: AccountRules) -> AccountSettings {
    let default = AccountSettings::default();
    let preference = match rules.preference {
        Some(rule::Preference::Messages) => Preference::Messages,
        Some(rule::Preference::Response) => Preference::Response,
        None => default.preference,
    };
    // The rule overrides what follows from the preference.
    let hedge = rules.hedge.unwrap_or(preference == Preference::Response);
    AccountSettings {
        weight: rules.share.map_or(default.weight, f64::from),
        waiting_max: rules.waiting.map_or(default.waiting_max, |n| n as usize),
        hedge,
        retry_percent: rules.retry_percent.map_or(default.retry_percent, u32::from),
        preference,
    }
}
