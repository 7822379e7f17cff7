//! Keeps the session with control open, and the rules, servers and quota shares up to date.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{self, Instant};

use crate::{
    entry::{Core, control::CallError},
    protocol::{rule::Rules, wire::control},
};

/// Time limit of one report or registration, including all its tries.
const SYNC_LIMIT: Duration = Duration::from_secs(4);

/// Registers the entry and reports to control for as long as the process runs.
pub async fn run(core: Rc<Core>) {
    let interval = Duration::from_millis(core.limits.sync_interval_ms);
    let mut revision = None;
    let mut reported = Instant::now();
    loop {
        let start = Instant::now();
        if core.session.epoch().is_none() {
            register(&core).await;
        }
        if core.session.epoch().is_some() {
            let period = reported.elapsed();
            reported = Instant::now();
            report_to_control(&core, &mut revision, period).await;
        }
        update_metrics(&core);
        if core.session.epoch().is_none() {
            continue;
        }
        let next = start + interval;
        tokio::select! {
            () = time::sleep_until(next) => {}
            () = core.session.report_now.notified() => {
                // Each attempt that is refused because the session has ended requests a report. The
                // pause lets one report serve all these requests.
                time::sleep(interval / REPORT_NOW_DIVISOR).await;
            }
        }
    }
}

/// A report that is requested early waits for the report interval divided by this number.
const REPORT_NOW_DIVISOR: u32 = 10;

/// Opens a new session with control.
async fn register(core: &Core) {
    let sent = Cell::new(Instant::now());
    // Each registration draws a new number because it opens a new session.
    let number = rand::random();
    let call = |client: control::ServiceClient, context, cluster| {
        sent.set(Instant::now());
        let hello = control::Hello {
            addr: core.addr.get(),
            data_centre: core.data_centre.clone(),
            start: number,
        };
        async move { client.register(context, cluster, hello).await }
    };
    match core.control.group.call("register", SYNC_LIMIT, call).await {
        Ok(session) => {
            log::info!("event=registered epoch={} lease_ms={}", session.epoch.0, session.lease_ms);
            core.session.open(sent.get(), session);
        }
        Err(e) => {
            log::warn!("event=register_failed error={e:?}");
            time::sleep(REGISTER_PAUSE).await;
        }
    }
}

/// Pause after a failed `register`. Control may refuse at once, so without the pause the entry
/// would call it in a tight loop.
const REGISTER_PAUSE: Duration = Duration::from_millis(100);

/// Renews the session: sends the demands, and receives rules, servers and quota shares.
async fn report_to_control(
    core: &Core,
    revision: &mut Option<control::Revision>,
    period: Duration,
) {
    let Some(epoch) = core.session.epoch() else { return };
    let sent = Cell::new(Instant::now());
    let demands = core.engine.take_demands(period);
    let known = *revision;
    let call = |client: control::ServiceClient, context, cluster| {
        sent.set(Instant::now());
        let sync = control::EntrySync {
            epoch,
            number: core.session.next_report(),
            rules_version: core.session.rules_version(),
            servers: known,
            demands: demands.clone(),
        };
        async move { client.sync_entry(context, cluster, sync).await }
    };
    match core.control.group.call("sync", SYNC_LIMIT, call).await.map_err(CallError::from) {
        Ok(view) => {
            *revision = Some(view.servers.revision);
            if core.session.renew(sent.get(), &view) {
                apply_rules(core);
            }
            core.engine.update(&view);
        }
        Err(CallError::Fenced) => core.end_session(epoch),
        Err(e) => log::warn!("event=sync_failed error={e:?}"),
    }
}

/// Parses the session's new rules and passes them to the engine.
fn apply_rules(core: &Core) {
    let version = core.session.rules_version();
    match Rules::parse(&core.session.rules_text()) {
        Ok(rules) => {
            log::info!("event=rules version={version}");
            core.engine.set_rules(rules);
        }
        // Control accepts only texts that it can parse. It uses the same code, so this happens only
        // when processes of different versions run together.
        Err(e) => log::error!("event=rules_invalid version={version} error={e:?}"),
    }
}

/// Evicts retained answers that are past their age limit, and updates the gauges.
fn update_metrics(core: &Core) {
    core.retained.borrow_mut().trim();
    let age = core.session.rules_confirmed_age().map_or(-1, |age| age.as_millis() as i64);
    core.meter.confirmed_age_ms.set(age);
    core.meter.rules_version.set(core.session.rules_version() as i64);
    let (queued, ejected) = core.engine.queued_and_ejected();
    core.meter.queued.set(queued as i64);
    core.meter.ejected.set(ejected as i64);
    core.meter.running.set(core.engine.running() as i64);
    core.meter.answer_bytes.set(core.budget.used() as i64);
}
