//! A stand-in backend server for tests and experiments, whose speed and faults can be set.

pub mod fault;
pub mod handler;
pub mod serve;
pub mod settings;
pub mod starts;

use std::{rc::Rc, time::Duration};

use actix_http::{Method, StatusCode};
use actix_rt::task::JoinHandle;
use snafu::ResultExt;
use tokio::{net::TcpListener, sync::watch, time};

use crate::{
    daemon,
    error::{self, Result},
    protocol::announce::{self, Announce, Leave},
    transport::http::{self, CallError},
};

/// Longest response that is accepted from the sidecar, in bytes.
const ANSWER_MAX_BYTES: usize = 4 * 1024;
/// Maximum number of connections of each of the two clients of the sidecar: one client sends
/// announcements, the other the request to leave.
const CONNECTIONS: usize = 2;

/// A running stand-in backend server.
pub struct Backend {
    server: Rc<handler::Server>,
    sidecar: std::net::SocketAddr,
    announcing: JoinHandle<()>,
    announce: Announce,
    drain_limit: Duration,
    stop: watch::Sender<()>,
}

impl daemon::Process for Backend {
    type Settings = settings::Settings;

    const NAME: &'static str = "briargauge-backend";

    async fn start(settings: settings::Settings) -> Result<Backend> {
        let listen = error::NetSnafu { step: "listen", peer: settings.http };
        let listener = TcpListener::bind(settings.http).await.context(listen)?;
        let addr = listener.local_addr().context(listen)?;
        let announce = Announce {
            addr,
            start: rand::random(),
            slots: settings.slots,
            connections: settings.connections,
            kinds: settings.kinds.clone(),
            size: settings.size,
        };
        let server = Rc::new(handler::Server::new(&settings, addr)?);
        let (stop, stopped) = watch::channel(());
        actix_rt::spawn(serve::accept(listener, server.clone(), stopped));
        let announcing = actix_rt::spawn(announce_repeatedly(
            server.clone(),
            settings.sidecar,
            announce.clone(),
        ));
        let drain_limit = Duration::from_millis(settings.drain_limit_ms);
        Ok(Backend { server, sidecar: settings.sidecar, announcing, announce, drain_limit, stop })
    }

    fn listening(&self) -> daemon::Listening {
        daemon::Listening { http: Some(self.announce.addr), rpc: None, peer: None }
    }

    async fn stop(self) -> usize {
        self.announcing.abort();
        let client = http::Client::new(CONNECTIONS);
        let leave = Leave { start: self.announce.start };
        // The sidecar answers once it has no attempt in flight at this server.
        let leaving = post(&client, self.sidecar, "/leave", &leave);
        match time::timeout(self.drain_limit, leaving).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => log::warn!("event=leave_failed peer={} error={e}", self.sidecar),
            Err(_) => log::warn!("event=leave_failed peer={} error=timeout", self.sidecar),
        }
        let interrupted = self.server.wait_drained(self.drain_limit).await;
        let _ = self.stop.send(());
        interrupted
    }
}

/// Announces the backend server to its sidecar at a fixed interval, except while it is frozen. Logs
/// only the first of consecutive failures.
async fn announce_repeatedly(
    server: Rc<handler::Server>,
    sidecar: std::net::SocketAddr,
    announce: Announce,
) {
    let client = http::Client::new(CONNECTIONS);
    let interval = Duration::from_millis(announce::ANNOUNCE_INTERVAL_MS);
    let mut ticks = time::interval(interval);
    let mut failing = false;
    loop {
        ticks.tick().await;
        if server.frozen() {
            continue;
        }
        let sent = time::timeout(interval, post(&client, sidecar, "/announce", &announce)).await;
        let error = match sent {
            Ok(Ok(answer)) if answer.status == StatusCode::OK => None,
            Ok(Ok(answer)) => Some(format!("status {}", answer.status)),
            Ok(Err(e)) => Some(e.to_string()),
            Err(_) => Some("timeout".into()),
        };
        if let (Some(error), false) = (&error, failing) {
            log::warn!("event=announce_failed peer={sidecar} error={error}");
        }
        failing = error.is_some();
    }
}

async fn post(
    client: &http::Client,
    addr: std::net::SocketAddr,
    path: &str,
    body: &impl serde::Serialize,
) -> Result<http::Answer, CallError> {
    let body = serde_json::to_vec(body)
        .map_err(|e| CallError::NotSent(http::NotSent::new(e.to_string())))?;
    let call = http::Call {
        method: Method::POST,
        addr,
        path,
        headers: &[("content-type", "application/json")],
        body: body.into(),
        answer_max_bytes: ANSWER_MAX_BYTES,
    };
    client.call(call).await
}
