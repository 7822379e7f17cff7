//! Keeps the session at control open and the entry up to date.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{self, Instant};

use crate::{
    entry::{Core, control::Rejected},
    protocol::{rule::Rules, wire::control},
};

/// Time for one report, over all tries.
const SYNC_LIMIT: Duration = Duration::from_secs(4);

/// Registers the entry and reports to control for as long as the process runs.
pub async fn keep(core: Rc<Core>) {
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
            report(&core, &mut revision, period).await;
        }
        observe(&core);
        if core.session.epoch().is_none() {
            continue;
        }
        let next = start + interval;
        tokio::select! {
            () = time::sleep_until(next) => {}
            () = core.session.hurry.notified() => {
                // Many attempts may find the session ended at once: they need one report.
                time::sleep(interval / HURRY_DIVISOR).await;
            }
        }
    }
}

/// Shortest pause between two reports, as a part of the interval.
const HURRY_DIVISOR: u32 = 10;

async fn register(core: &Core) {
    let sent = Cell::new(Instant::now());
    // A new number each time: the old session has ended.
    let start = rand::random();
    let call = |client: control::ServiceClient, context| {
        sent.set(Instant::now());
        let hello =
            control::Hello { addr: core.addr.get(), data_centre: core.data_centre.clone(), start };
        async move { client.register(context, hello).await }
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

/// Pause after a `register` that was refused at once.
const REGISTER_PAUSE: Duration = Duration::from_millis(100);

async fn report(core: &Core, revision: &mut Option<control::Revision>, period: Duration) {
    let Some(epoch) = core.session.epoch() else { return };
    let sent = Cell::new(Instant::now());
    let demands = core.engine.demands(period);
    let known = *revision;
    let call = |client: control::ServiceClient, context| {
        sent.set(Instant::now());
        let sync = control::EntrySync {
            epoch,
            number: core.session.report(),
            rules_version: core.session.rules_version(),
            servers: known,
            demands: demands.clone(),
        };
        async move { client.sync_entry(context, sync).await }
    };
    match core.control.group.call("sync", SYNC_LIMIT, call).await.map_err(Rejected::from) {
        Ok(view) => {
            *revision = Some(view.servers.revision);
            if core.session.renew(sent.get(), &view) {
                take_rules(core);
            }
            core.engine.update(&view);
        }
        Err(Rejected::Fenced) => core.end_session(epoch),
        Err(e) => log::warn!("event=sync_failed error={e:?}"),
    }
}

fn take_rules(core: &Core) {
    let version = core.session.rules_version();
    match Rules::parse(&core.session.rules_text()) {
        Ok(rules) => {
            log::info!("event=rules version={version}");
            core.engine.set_rules(rules);
        }
        // Control accepts only texts that parse, by the same code unless versions are mixed.
        Err(e) => log::error!("event=rules_invalid version={version} error={e:?}"),
    }
}

fn observe(core: &Core) {
    core.held.borrow_mut().trim();
    let age = core.session.confirmed_age().map_or(-1, |age| age.as_millis() as i64);
    core.meter.confirmed_age_ms.set(age);
    core.meter.rules_version.set(core.session.rules_version() as i64);
    let (queued, ejected) = core.engine.waiting();
    core.meter.queued.set(queued as i64);
    core.meter.ejected.set(ejected as i64);
    core.meter.running.set(core.engine.running() as i64);
    core.meter.held_bytes.set(core.budget.used() as i64);
}
