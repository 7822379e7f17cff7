//! Drains of data centres: the orders of operators, and the passing on of what the rules say.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::Coordinator;
use crate::{
    coordination::drain,
    protocol::{
        rule::{self, Edit, Rules, Target},
        wire::{
            control,
            queue::{Answer, Drains, Refusal},
        },
    },
    state::machine::{Command, Op, Reply},
    util,
};

/// Attempts to make a change. One fails if the rules are changed at the same time.
const ATTEMPTS_MAX: usize = 5;
/// Age beyond which an order is not carried out. Its operator has given it up, and may have ordered the
/// opposite since.
const AGE_MAX: Duration = Duration::from_millis(1_000);
/// Who changes the rules, as their history and the comment of the rule name it.
const OPERATOR: &str = "operator";

impl Coordinator {
    /// Sets which data centres may be drained; `None` allows any name.
    pub fn set_data_centres(&self, data_centres: Option<IndexSet<String>>) {
        self.inner.data_centres.replace(data_centres);
    }

    /// Begins or ends the drain of a data centre. An order that was carried out before changes
    /// nothing. Returns once the state is as ordered, committed and applied here.
    pub(super) async fn drain(&self, data_centre: &str, drained: bool) -> Result<Answer, Refusal> {
        let arrived = Instant::now();
        self.confirm_current().await?;
        // Orders that arrive together would otherwise conflict with each other.
        let _turn = self.inner.drain_turn.lock().await;
        let rule = rule::Rule::Drain(Target::DataCentre(data_centre.to_owned()));
        let edit = match drained {
            true => Edit::Add(format!("{rule} # {OPERATOR}: ordered at a control instance")),
            false => Edit::Remove(rule.to_string()),
        };
        for _ in 0..ATTEMPTS_MAX {
            if arrived.elapsed() > AGE_MAX {
                return Err(not_changed("the order has waited for too long"));
            }
            self.follow_rules();
            let in_force = self.inner.drains.borrow().includes(data_centre);
            if !in_force && !self.is_known(data_centre) {
                log::warn!("event=drain_refused data_centre={data_centre} reason=unknown");
                return Ok(Answer::NoDataCentre);
            }
            let control::Rules { version: base, text } = self.inner.replica.state().rules().clone();
            let text = edit.apply(&text).map_err(|faults| not_changed(&faults.to_string()))?;
            let Some(text) = text else {
                log::info!(
                    "event=drain_ordered data_centre={data_centre} drained={drained} version={base} \
                     changed=false"
                );
                return Ok(Answer::Accepted);
            };
            match self.change_rules(base, text).await? {
                control::Changed::Accepted { version } => {
                    self.follow_rules();
                    log::info!(
                        "event=drain_ordered data_centre={data_centre} drained={drained} \
                         version={version} changed=true"
                    );
                    return Ok(Answer::Accepted);
                }
                control::Changed::Conflict { .. } => {}
                control::Changed::Invalid { detail } => return Err(not_changed(&detail)),
            }
        }
        Err(not_changed("the rules were changed at the same time"))
    }

    /// Whether a data centre may be drained.
    fn is_known(&self, data_centre: &str) -> bool {
        let known = self.inner.data_centres.borrow();
        known.as_ref().is_none_or(|known| known.contains(data_centre))
            && rule::is_data_centre(data_centre)
    }

    /// Replaces the rules of version `base` by `text`.
    async fn change_rules(&self, base: u64, text: String) -> Result<control::Changed, Refusal> {
        let change = control::Change {
            id: format!("{:016x}", rand::random::<u64>()),
            operator: OPERATOR.to_owned(),
            base,
            text,
        };
        let command = Command { now_ms: util::unix_ms(), op: Op::Change(change) };
        match self.inner.replica.propose(command).await {
            Ok(Reply::Changed(changed)) => Ok(changed),
            Ok(reply) => Err(Refusal::Unknown { detail: format!("unexpected reply {reply:?}") }),
            Err(control::Refusal::NotLeader { leader }) => Err(self.led_by(leader)),
            Err(refusal) => Err(Refusal::Unknown { detail: format!("{refusal:?}") }),
        }
    }

    /// Takes over the drains if the rules have changed, in whichever way that came about, and passes
    /// them on while this instance leads.
    pub(super) fn follow_rules(&self) {
        let current = {
            let state = self.inner.replica.state();
            let rules = state.rules();
            if rules.version == self.inner.drains.borrow().version {
                return;
            }
            drains(rules)
        };
        drain::replace(&mut self.inner.drains.borrow_mut(), current.clone());
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return };
        leadership.scheduler.set_drains(util::boot_ms(), current);
        leadership.sidecars.values().for_each(|sidecar| sidecar.wake.notify_waiters());
        self.inner.view_changed.notify_waiters();
    }
}

/// The drained data centres by the rules.
fn drains(rules: &control::Rules) -> Drains {
    let parsed = Rules::parse(&rules.text).unwrap_or_else(|faults| {
        // Only rules that can be parsed are accepted.
        log::error!("event=rules_unreadable version={} faults={faults:?}", rules.version);
        Rules::default()
    });
    let data_centres = parsed.drained_data_centres();
    Drains { version: rules.version, data_centres }
}

/// The refusal of an order that has changed nothing.
fn not_changed(detail: &str) -> Refusal {
    Refusal::NotReady { detail: format!("the rules are not changed: {detail}") }
}
