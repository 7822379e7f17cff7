//! Sends reports to control, once a second by default, and applies the replies.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{self, Instant};

use crate::{
    client::{self, Control},
    sidecar::{core::Core, platform::Platform},
};

/// Pause after a report that no control instance confirmed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Sends reports until the process ends: at the interval, and at once when `Core::report_now` is
/// notified.
pub async fn run<P: Platform>(core: Rc<Core<P>>) {
    let control = Control::new(&core.settings.control);
    let mut failing = false;
    loop {
        let started_at = Instant::now();
        let failure = report(&core, &control).await.err();
        core.meter.synced(if failure.is_none() { "confirmed" } else { "failed" });
        match &failure {
            Some(failure) if !failing => log::warn!("event=sync_failed {}", describe(failure)),
            None if failing => log::info!("event=sync_confirmed"),
            _ => {}
        }
        failing = failure.is_some();
        let pause = match failing {
            true => RETRY_PAUSE,
            false => core.settings.sync_interval_ms.saturating_sub(started_at.elapsed()),
        };
        tokio::select! {
            () = time::sleep(pause) => {}
            () = core.report_now.notified() => {}
        }
    }
}

async fn report<P: Platform>(core: &Rc<Core<P>>, control: &Control) -> Result<(), client::Failure> {
    // Time at which the call that was answered was sent. The lease counts from then.
    let sent_at = Cell::new(0);
    let view = control
        .call("sync_sidecar", core.settings.control_limit_ms, |client, context, cluster| {
            sent_at.set(core.now());
            let report = core.report();
            async move { client.sync_sidecar(context, cluster, report).await }
        })
        .await?;
    core.confirm(sent_at.get(), view);
    Ok(())
}

fn describe(failure: &client::Failure) -> String {
    match failure {
        client::Failure::NoAnswer(e) => e.to_string(),
        client::Failure::Refused { peer, refusal } => {
            format!("peer={peer} reason={:?}", client::describe(refusal))
        }
    }
}
