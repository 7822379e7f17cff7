//! Applies the operators' rules to submissions and to the dispatcher.

use std::collections::HashSet;

use crate::{
    coordination::dispatch::{AccountSettings, Dispatcher, Micros, Placement, Preference},
    entry::{engine::Workload, keyed::Status},
    metric,
    protocol::{
        id, job,
        rule::{self, AccountRules, Rules},
    },
};

/// The current rules, and the client accounts whose settings the dispatcher has.
#[derive(Debug, Default)]
pub struct Policy {
    rules: Rules,
    /// Accounts that the rules name, and accounts that have submitted something; the latter are
    /// added only while the set has fewer than [`metric::LABELS_MAX`] accounts. The dispatcher has
    /// no default from the `*` rule, so it gets the settings of each of these accounts: its own,
    /// and those of the `*` rule for whatever its own rules leave open.
    accounts: HashSet<String>,
}

impl Policy {
    /// Replaces the rules.
    pub fn set(&mut self, now: Micros, dispatcher: &mut Dispatcher, rules: Rules) {
        self.accounts.extend(rules.accounts().map(str::to_owned));
        self.rules = rules;
        self.update_dispatcher(now, dispatcher);
    }

    /// Applies the rules to a submission; the error is the refusal if they forbid it.
    pub fn apply(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        workload: &mut Workload,
    ) -> Result<(), Status> {
        let account = &workload.spec.account.0;
        if !self.accounts.contains(account) && self.accounts.len() < metric::LABELS_MAX {
            self.accounts.insert(account.clone());
            self.update_dispatcher(now, dispatcher);
        }
        let (tasks, max) = (workload.spec.tasks.len(), self.rules.account(account).job_tasks);
        if let Some(max) = max
            && tasks > usize::from(max)
        {
            let detail =
                format!("tasks: {tasks} are too many, the rules allow team {account} {max}");
            return Err(Status::not_run(job::Refusal::BadRequest, detail));
        }
        for task in &mut workload.spec.tasks {
            let placement = self.rules.placement(&task.kind);
            if placement.is_some_and(|placement| placement.accelerators) {
                task.needs.accelerators = task.needs.accelerators.max(1);
            }
        }
        Ok(())
    }

    /// Passes the settings of all known accounts, and all placements, to the dispatcher.
    fn update_dispatcher(&self, now: Micros, dispatcher: &mut Dispatcher) {
        let accounts: Vec<_> = self
            .accounts
            .iter()
            .map(|account| {
                (id::Account(account.clone()), account_settings(self.rules.account(account)))
            })
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

fn account_settings(rules: AccountRules) -> AccountSettings {
    let default = AccountSettings::default();
    let preference = match rules.preference {
        Some(rule::Preference::Messages) => Preference::Messages,
        Some(rule::Preference::Response) => Preference::Response,
        None => default.preference,
    };
    // A hedge rule overrides the default that the preference implies.
    let hedge = rules.hedge.unwrap_or(preference == Preference::Response);
    AccountSettings {
        weight: rules.share.map_or(default.weight, f64::from),
        waiting_max: rules.waiting.map_or(default.waiting_max, |n| n as usize),
        hedge,
        retry_percent: rules.retry_percent.map_or(default.retry_percent, u32::from),
        preference,
    }
}
