//! Reports to control once a second and takes over what it answers.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{self, Instant};

use crate::{
    client::{self, Control},
    sidecar::{core::Core, platform::Platform},
};

/// Pause after a report that no instance confirmed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reports until the process ends: at the interval, and at once when there is urgent news.
pub async fn run<P: Platform>(core: Rc<Core<P>>) {
    let control = Control::new(&core.settings.control);
    let mut failing = false;
    loop {
        let begin = Instant::now();
        let failure = report(&core, &control).await.err();
        core.meter.synced(if failure.is_none() { "confirmed" } else { "failed" });
        match &failure {
            Some(failure) if !failing => log::warn!("event=sync_failed {}", text(failure)),
            None if failing => log::info!("event=sync_confirmed"),
            _ => {}
        }
        failing = failure.is_some();
        let pause = match failing {
            true => RETRY_PAUSE,
            false => core.settings.sync_interval_ms.saturating_sub(begin.elapsed()),
        };
        tokio::select! {
            () = time::sleep(pause) => {}
            () = core.urgent.notified() => {}
        }
    }
}

async fn report<P: Platform>(core: &Rc<Core<P>>, control: &Control) -> Result<(), client::Failure> {
    // Of the try that was answered; a lease counts from there.
    let sent = Cell::new(0);
    let view = control
        .call("sync_sidecar", core.settings.control_limit_ms, |client, context| {
            sent.set(core.now());
            let report = core.report();
            async move { client.sync_sidecar(context, report).await }
        })
        .await?;
    core.confirm(sent.get(), view);
    Ok(())
}

fn text(failure: &client::Failure) -> String {
    match failure {
        client::Failure::NoAnswer(e) => e.to_string(),
        client::Failure::Refused { peer, refusal } => {
            format!("peer={peer} reason={:?}", client::describe(refusal))
        }
    }
}
