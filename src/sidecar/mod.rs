//! The sidecar process. It runs beside one backend server, and only it decides whether an attempt
//! starts there.

pub mod attempt;
pub mod core;
pub mod jobs;
pub mod meter;
pub mod platform;
pub mod service;
pub mod settings;
pub mod sync;
pub mod web;
pub mod worker;

use std::{rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use tokio::time;

use crate::{
    daemon,
    error::Result,
    protocol::wire::sidecar::Service as _,
    supervisor,
    transport::{http, rpc},
};

/// Time for sending the last replies before the connections are closed.
const SETTLE: Duration = Duration::from_millis(50);

/// A running sidecar.
pub struct Sidecar {
    core: Rc<core::Core<worker::Worker>>,
    http: http::Server,
    rpc: rpc::Server,
    sync: JoinHandle<()>,
}

impl daemon::Process for Sidecar {
    type Settings = settings::Settings;

    const NAME: &'static str = "briargauge-sidecar";

    async fn start(settings: settings::Settings) -> Result<Sidecar> {
        let platform = worker::Worker::new(&settings);
        let core = core::Core::new(platform, settings);
        let handler = service::Handler { core: core.clone() };
        let rpc = rpc::serve(core.settings.rpc, handler.serve()).await?;
        core.set_addr(core.settings.advertise.unwrap_or(rpc.addr()));
        let http_addr = core.settings.http;
        let web = core.clone();
        let http = http::serve(http_addr, move |request| web::answer(web.clone(), request)).await?;
        supervisor::spawn("sidecar_tick", &core, core::Core::run_ticker);
        let sync = supervisor::spawn("sync", &core, sync::run);
        Ok(Sidecar { core, http, rpc, sync })
    }

    fn listening(&self) -> daemon::Listening {
        daemon::Listening { http: Some(self.http.addr()), rpc: Some(self.rpc.addr()), peer: None }
    }

    async fn stop(self) -> usize {
        let linger = time::sleep(self.core.settings.linger_ms);
        self.core.stop();
        let cut_off = self.core.wait_until_idle(self.core.settings.drain_limit_ms).await;
        self.core.cut_off();
        // Nothing runs any more, so the next report tells control that the backend server is gone.
        self.core.report_now.notify_one();
        linger.await;
        self.http.drain(SETTLE).await;
        self.http.stop();
        time::sleep(SETTLE).await;
        self.sync.abort();
        self.core.stop_ticker();
        cut_off
    }
}
