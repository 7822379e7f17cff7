//! Metrics and log lines of connections.

use std::{cell::RefCell, net::SocketAddr};

use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};
use tokio::time::Instant;

use super::{
    bound::Usage,
    pool::{Port, Reason, State},
};
use crate::metric::{self, BoundedLog};

pub(super) struct Meter {
    registry: Registry,
    reserved: IntGauge,
    port_bytes: IntGaugeVec,
    connections: IntGaugeVec,
    refused: IntCounterVec,
    closed: IntCounterVec,
    log: RefCell<BoundedLog>,
}

impl Meter {
    pub fn new() -> Meter {
        let registry = Registry::new();
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(name, help);
            let gauges = IntGaugeVec::new(opts, labels).expect("metric names are valid");
            registry.register(Box::new(gauges.clone())).expect("each metric is registered once");
            gauges
        };
        let reserved = IntGauge::new(
            "briargauge_connection_reserved_bytes",
            "Memory reserved for connections, their unfinished requests and their unread answers.",
        )
        .expect("metric names are valid");
        registry.register(Box::new(reserved.clone())).expect("each metric is registered once");
        Meter {
            port_bytes: gauges(
                "briargauge_connection_bytes",
                "Part of the reserved memory of each port.",
                &["port"],
            ),
            connections: gauges(
                "briargauge_connections",
                "Accepted connections by port and by what they do.",
                &["port", "state"],
            ),
            refused: metric::counter(
                &registry,
                "briargauge_connections_refused_total",
                "Refused connections and requests by reason.",
                &["reason"],
            ),
            closed: metric::counter(
                &registry,
                "briargauge_connections_closed_total",
                "Connections that were closed for others, or because a time limit had passed.",
                &["port", "reason"],
            ),
            reserved,
            registry,
            log: RefCell::default(),
        }
    }

    pub fn refused(&self, port: Port, peer: SocketAddr, reason: Reason) {
        self.refused.with_label_values(&[reason.label()]).inc();
        self.log("connection_refused", port, peer, reason);
    }

    pub fn request_refused(&self, reason: Reason) {
        self.refused.with_label_values(&[reason.label()]).inc();
    }

    pub fn closed(&self, port: Port, peer: SocketAddr, reason: Reason) {
        let number = port.number.to_string();
        self.closed.with_label_values(&[number.as_str(), reason.label()]).inc();
        self.log("connection_closed", port, peer, reason);
    }

    fn log(&self, event: &str, port: Port, peer: SocketAddr, reason: Reason) {
        let Some(left_out) = self.log.borrow_mut().line(Instant::now()) else { return };
        log::warn!(
            "event={event} peer={peer} port={} reason={} left_out={left_out}",
            port.number,
            reason.label()
        );
    }

    pub fn render(
        &self,
        total: Usage,
        ports: &[(Port, Usage, [usize; State::ALL.len()])],
    ) -> Vec<u8> {
        self.reserved.set(total.bytes as i64);
        for (port, usage, states) in ports {
            let number = port.number.to_string();
            self.port_bytes.with_label_values(&[number.as_str()]).set(usage.bytes as i64);
            for (state, count) in State::ALL.iter().zip(states) {
                let labels = [number.as_str(), state.label()];
                self.connections.with_label_values(&labels).set(*count as i64);
            }
        }
        metric::render(&self.registry)
    }
}
