//! The control process: replicated log, entry sessions, list of backend servers, rules.

mod barrier;
mod core;
pub mod jobs;
mod meter;
pub mod replica;
mod service;
pub mod settings;

use std::{rc::Rc, time::Duration};

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use tokio::{sync::watch, time};

use crate::{
    control::{core::Core, replica::Replica, service::Handler, settings::Settings},
    daemon,
    error::Result,
    protocol::wire::control::Service,
    supervisor,
    transport::{http, limit, rpc},
};

/// Interval between checks of the leases. It is short compared with a lease, because a lapsed lease
/// is noticed up to one interval late.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which a stopping instance checks whether its calls have been answered.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running control instance.
pub struct Control {
    core: Rc<Core>,
    rpc: rpc::Server,
    http: http::Server,
    _stop: watch::Sender<()>,
}

impl daemon::Process for Control {
    type Settings = Settings;

    const NAME: &'static str = "briargauge-control";

    async fn start(settings: Settings) -> Result<Control> {
        let (rpc, http) = (settings.rpc, settings.http);
        let replica = Replica::start(settings.replica()).await?;
        let advertise = settings.advertise;
        let core = Core::new(settings, replica);
        let rpc = rpc::serve_to_end(rpc, Handler { core: core.clone() }.serve()).await?;
        core.replica.advertise(advertise.unwrap_or(rpc.addr()));
        let http_core = core.clone();
        let http = http::serve(http, move |request| answer(http_core.clone(), request)).await?;
        let (stop, stopped) = watch::channel(());
        let ticking = (core.clone(), stopped);
        supervisor::spawn("control_tick", &ticking, |(core, stopped)| tick(core, stopped));
        Ok(Control { core, rpc, http, _stop: stop })
    }

    fn listening(&self) -> daemon::Listening {
        daemon::Listening {
            http: Some(self.http.addr()),
            rpc: Some(self.rpc.addr()),
            peer: self.core.replica.peer_addr(),
        }
    }

    async fn failed(&self) {
        self.core.replica.failed().await;
    }

    async fn stop(self) -> usize {
        self.core.announce_stop();
        let limit = Duration::from_millis(self.core.settings.drain_limit_ms);
        let answered = async {
            // Calls are served until another instance leads. From then on they are refused, and
            // callers turn to that instance.
            self.core.replica.transfer_leadership().await;
            self.core.close();
            while self.core.meter.proposals() > 0 {
                time::sleep(DRAIN_POLL).await;
            }
        };
        if time::timeout(limit, answered).await.is_err() {
            log::warn!("event=drain_limit proposals={}", self.core.meter.proposals());
        }
        self.core.close();
        let unanswered = self.core.meter.proposals();
        self.core.replica.stop().await;
        self.http.stop();
        unanswered
    }
}

async fn tick(core: Rc<Core>, mut stopped: watch::Receiver<()>) {
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => core.tick(),
            _ = stopped.changed() => return,
        }
    }
}

async fn answer(core: Rc<Core>, request: Request) -> Response<Bytes> {
    match request.path() {
        "/metrics" => http::text(StatusCode::OK, limit::with_metrics(core.metrics())),
        "/health" if core.stopping() => http::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        "/health" => http::text(StatusCode::OK, "ok\n"),
        _ => http::text(StatusCode::NOT_FOUND, "not found\n"),
    }
}
