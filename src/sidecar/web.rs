//! HTTP interface for the backend server and operators.

use std::rc::Rc;

use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::{
    protocol::announce::{Announce, Leave},
    sidecar::{core::Core, platform::Platform, worker::Worker},
    transport::{http, limit},
};

/// Maximum size of the body of a request, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Handles one request.
pub async fn answer(core: Rc<Core<Worker>>, mut request: Request) -> Response<Bytes> {
    let path = request.path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/announce") => match body::<Announce>(&mut request).await {
            Ok(announce) => announce_backend(&core, announce),
            Err(refusal) => refusal,
        },
        (Method::POST, "/leave") => match body::<Leave>(&mut request).await {
            Ok(Leave { start }) => {
                core.handle_leave(start);
                let running = core.wait_until_idle(core.settings.drain_limit_ms).await;
                http::json(StatusCode::OK, json!({ "running": running }).to_string())
            }
            Err(refusal) => refusal,
        },
        (Method::GET, "/health") => health(&core),
        (Method::GET, "/metrics") => {
            http::text(StatusCode::OK, limit::with_metrics(core.meter.render()))
        }
        _ => http::text(StatusCode::NOT_FOUND, "no such resource"),
    }
}

fn announce_backend(core: &Rc<Core<Worker>>, announce: Announce) -> Response<Bytes> {
    if announce.slots == 0 || announce.connections == 0 {
        return http::text(StatusCode::BAD_REQUEST, "slots and connections must be positive");
    }
    core.platform.set_connections(announce.connections);
    match core.handle_announcement(announce) {
        Some(incarnation) => {
            http::json(StatusCode::OK, json!({ "incarnation": incarnation.0 }).to_string())
        }
        None => http::text(StatusCode::CONFLICT, "this start has left"),
    }
}

fn health<P: Platform>(core: &Core<P>) -> Response<Bytes> {
    if core.stopping() {
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    http::text(StatusCode::OK, "ok")
}

async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response<Bytes>> {
    let bytes = http::body(request, BODY_MAX_BYTES)
        .await
        .map_err(|e| http::text(StatusCode::BAD_REQUEST, format!("{e:?}")))?;
    serde_json::from_slice(&bytes)
        .map_err(|e| http::text(StatusCode::BAD_REQUEST, format!("body: {e}")))
}
