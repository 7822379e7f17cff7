//! The first seed's formation of a cluster, and what blank instances learn of an existing one from
//! the answers to their introductions.

use std::{net::SocketAddr, rc::Rc};

use super::{
    super::{Inner, core::Core},
    Driver,
};
use crate::{
    coordination::formation::{Formation, Step},
    protocol::wire::peer::{Hello, Standing},
};

/// Shortest time between two log lines about the wait for other instances, in ms.
const LOG_INTERVAL_MS: u64 = 5_000;

impl Driver {
    /// Prepares the formation of a cluster if that is this instance's task.
    pub(super) fn begin_formation(&self) {
        let mut core = self.core.borrow_mut();
        let (settings, addr, now) = (&self.settings, self.peer_addr.get(), self.now());
        let Some(origin) = &self.origin else { return };
        if origin.seeds.first() != Some(&addr) || core.instance.cluster().is_some() {
            return;
        }
        let id = core.instance.id();
        log::info!(
            "event=formation_begun node={} disk={} seeds={:?} voters={}",
            id.node.0,
            id.disk.0,
            origin.seeds,
            settings.voters
        );
        core.formation = Some(Formation::new(now, id, addr, &origin.seeds, settings.voters));
    }

    /// Introduces this instance to another one and evaluates the answer.
    pub(super) fn send_hello(&self, inner: &Rc<Inner>, addr: SocketAddr, hello: Hello) {
        let (inner, asked_ms) = (inner.clone(), self.now());
        self.peers.hello(addr, hello, move |standing| {
            let driver = inner.driver.as_ref().expect("only replicas with a disk ask");
            driver.guard("peer_standing", || driver.receive_standing(addr, asked_ms, &standing));
        });
    }

    fn receive_standing(&self, addr: SocketAddr, asked_ms: u64, standing: &Standing) {
        let mut core = self.core.borrow_mut();
        self.record_answer(&mut core, addr, standing);
        let own = core.instance.cluster();
        if core.contacts.refer(addr, own, standing) {
            core.hello_at = self.now();
        }
        if let Some(own) = core.instance.cluster() {
            return log_foreign_cluster(&mut core, addr, own, standing);
        }
        if let Some(formation) = &mut core.formation
            && let Some(claim) = formation.record(addr, asked_ms, standing)
        {
            log::info!("event=formation_answer claim={claim:?} {}", describe(addr, standing));
        }
        let majority = self.settings.voters as u64 / 2 + 1;
        let formed = standing.committed_voters >= majority;
        // Instances that have introduced themselves here are asked, too, and may belong to another
        // cluster if this one has got an address of an instance of that cluster.
        let is_seed = core.contacts.is_seed(addr);
        if let Some(cluster) = standing.cluster.filter(|_| formed && is_seed)
            && self.takes_part(&core)
        {
            log::info!("event=cluster_adopted {}", describe(addr, standing));
            core.instance.adopt(cluster);
            core.formation = None;
            self.wake.notify_one();
        }
    }

    /// Forms a cluster if the others' answers allow it.
    pub(super) fn continue_formation(&self, core: &mut Core, now: u64) {
        if core.instance.cluster().is_some() {
            core.formation = None;
        }
        let Some(formation) = &mut core.formation else { return };
        let step = formation.step(now);
        let (blank, seeds) = (formation.blank(now), formation.seed_count());
        let waited_ms = formation.waited_ms(now);
        if step != Step::Form {
            if now >= core.formation_logged_at + LOG_INTERVAL_MS {
                core.formation_logged_at = now;
                log::warn!(
                    "event=formation_waits step={step:?} blank={blank} seeds={seeds} \
                     waited_ms={waited_ms}"
                );
            }
            return;
        }
        core.formation = None;
        match self.init_instance(core) {
            Ok(()) => log::info!(
                "event=cluster_formed cluster={:016x} blank={blank} seeds={seeds} \
                 waited_ms={waited_ms}",
                core.instance.cluster().unwrap_or_default()
            ),
            Err(refusal) => log::error!("event=cluster_not_formed refusal={refusal:?}"),
        }
    }
}

/// Logs once that a peer belongs to another cluster than this instance.
fn log_foreign_cluster(core: &mut Core, addr: SocketAddr, own: u64, standing: &Standing) {
    let Some(cluster) = standing.cluster.filter(|cluster| *cluster != own) else { return };
    if core.foreign_clusters.insert(addr, cluster) != Some(cluster) {
        log::error!("event=cluster_foreign own={own:016x} {}", describe(addr, standing));
    }
}

fn describe(addr: SocketAddr, standing: &Standing) -> String {
    let Standing { id, cluster, first_start, voters, committed_voters, leads, has_leader, .. } =
        standing;
    format!(
        "peer={addr} node={} disk={} cluster={:016x} first_start={first_start} voter={} \
         voters={} committed_voters={committed_voters} leads={leads} has_leader={has_leader}",
        id.node.0,
        id.disk.0,
        cluster.unwrap_or_default(),
        voters.contains(id),
        voters.len()
    )
}
