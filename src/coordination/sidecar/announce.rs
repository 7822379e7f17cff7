//! Announcements of backend servers. Anyone may have written one, and it may be late, so it proves
//! nothing: another server than the known one is a candidate until the process at its address has
//! answered as that server.

use std::net::SocketAddr;

use super::{BackendServer, LATE_CALL_MAX_MS, Poll, Sidecar, backend::Proof, progress::Progress};
use crate::protocol::wire::{
    queue::{Server, ServerId},
    work::Revision,
};

/// Most candidates at the same time; of more, the one that was announced the longest ago is dropped.
const CANDIDATES_MAX: usize = 8;
/// Most different announcements that are kept of a candidate.
const ANNOUNCEMENTS_MAX: usize = 4;
/// Time after its newest announcement within which a candidate has to answer, in ms. Servers announce
/// themselves about every 1,500 ms.
const CANDIDATE_MAX_MS: u64 = 5_000;

/// What an announcement says.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    pub server: Server,
    pub addr: SocketAddr,
    /// Position among the announcements of its writer.
    pub seq: u64,
}

/// An incarnation of a backend server and the address at which it is to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    pub server: ServerId,
    pub addr: SocketAddr,
}

/// Result of a call to the address of a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The candidate has answered.
    Present,
    /// Another incarnation or another server has answered.
    Other,
    NoAnswer,
}

/// A backend server that was announced and has not answered yet.
#[derive(Debug)]
pub(super) struct Candidate {
    identity: Identity,
    /// By arrival. They may have several writers.
    announcements: Vec<Announcement>,
    announced_ms: u64,
    /// Until when it is cold, by its newest announcement.
    cold_until_ms: u64,
}

impl Sidecar {
    /// Handles an announcement. It may change the state of the known backend server; another server of
    /// this instance becomes a candidate, and changes nothing until [`Sidecar::checked`].
    pub fn announce(&mut self, now_ms: u64, server: Server, addr: SocketAddr, seq: u64) {
        if addr.ip() != self.addr.ip() {
            // A server elsewhere has a sidecar of its own, and would refuse the calls of that one after
            // one with a higher fencing token.
            log::warn!("event=announcement_refused server={} addr={addr}", server.id);
            return;
        }
        let announcement = Announcement { server, addr, seq };
        let known = self.backend.as_mut();
        if let Some(known) = known.filter(|known| known.server.id == announcement.server.id) {
            if known.update(now_ms, announcement) {
                self.revision.change += 1;
                self.actions.report_due = true;
            }
            self.dispatch(now_ms);
        } else {
            self.add_candidate(now_ms, announcement);
        }
    }

    /// Handles a notice that the backend server leaves. It may have another writer, or be of an earlier
    /// incarnation, so it is the beginning of a drain: nothing starts, and what runs goes on.
    pub fn leave(&mut self, id: &str) {
        if let Some(known) = self.backend.as_mut().filter(|known| known.server.id.id == id) {
            log::info!("event=server_leaving server={}", known.server.id);
            if known.leave() {
                self.revision.change += 1;
                self.actions.report_due = true;
            }
        }
    }

    /// Handles how long a server that has just announced itself is still cold; 0 if it is not.
    pub fn record_cold_time(&mut self, now_ms: u64, id: &ServerId, cold_left_ms: u64) {
        let cold_until_ms = if cold_left_ms == 0 { 0 } else { now_ms.saturating_add(cold_left_ms) };
        if let Some(known) = self.backend.as_mut().filter(|known| known.server.id == *id) {
            known.record_cold(now_ms, cold_until_ms);
        }
        for candidate in self.candidates.iter_mut().filter(|c| c.identity.server == *id) {
            candidate.cold_until_ms = cold_until_ms;
        }
    }

    fn add_candidate(&mut self, now_ms: u64, announcement: Announcement) {
        let identity = Identity { server: announcement.server.id.clone(), addr: announcement.addr };
        if let Some(known) =
            self.candidates.iter_mut().find(|candidate| candidate.identity == identity)
        {
            known.announced_ms = now_ms;
            if known.announcements.len() == ANNOUNCEMENTS_MAX {
                known.announcements.remove(1);
            }
            known.announcements.push(announcement);
            return;
        }
        log::info!(
            "event=server_announced server={} service={} addr={} seq={} known={}",
            identity.server,
            announcement.server.service,
            identity.addr,
            announcement.seq,
            self.backend.as_ref().map_or("none".to_owned(), |known| known.server.id.to_string()),
        );
        if self.candidates.len() == CANDIDATES_MAX {
            let oldest = self.candidates.iter().enumerate().min_by_key(|(_, c)| c.announced_ms);
            if let Some((at, _)) = oldest {
                self.candidates.remove(at);
            }
        }
        self.actions.checks.push(identity.clone());
        let announcements = vec![announcement];
        let (announced_ms, cold_until_ms) = (now_ms, 0);
        self.candidates.push(Candidate { identity, announcements, announced_ms, cold_until_ms });
    }

    /// Whether the server is still a candidate.
    pub fn is_candidate(&mut self, now_ms: u64, identity: &Identity) -> bool {
        self.candidates.retain(|candidate| {
            let recent = candidate.announced_ms + CANDIDATE_MAX_MS > now_ms;
            if !recent {
                let Identity { server, addr } = &candidate.identity;
                log::warn!("event=server_never_answered server={server} addr={addr}");
            }
            recent
        });
        self.candidates.iter().any(|candidate| candidate.identity == *identity)
    }

    /// Drops a candidate that is not called any more.
    pub fn forget_candidate(&mut self, identity: &Identity) {
        self.candidates.retain(|candidate| candidate.identity != *identity);
    }

    /// Returns a poll that changes nothing but the fencing token at a server, for a candidate; `None`
    /// until a leader has assigned a token.
    pub fn check_call(&self) -> Option<Poll> {
        let fence = self.fence()?;
        Some(Poll { fence, acknowledged: 0, lease_until_ms: None })
    }

    /// Handles the result of a call to the address of a candidate, sent at `sent_ms`. One that has
    /// answered replaces the known server once that one has certainly ended.
    pub fn checked(&mut self, sent_ms: u64, now_ms: u64, identity: &Identity, check: Check) {
        let Some(at) = self.candidates.iter().position(|candidate| candidate.identity == *identity)
        else {
            return;
        };
        match check {
            Check::NoAnswer => {}
            Check::Other => {
                log::warn!(
                    "event=announcement_refuted server={} addr={}",
                    identity.server,
                    identity.addr
                );
                self.candidates.remove(at);
            }
            Check::Present => {
                let known = self.backend.as_ref();
                if known.is_none_or(|known| known.has_ended(sent_ms, now_ms, identity.addr)) {
                    let candidate = self.candidates.remove(at);
                    self.adopt(now_ms, candidate.announcements);
                    self.begin_cold_start(now_ms, candidate.cold_until_ms);
                } else {
                    log::info!(
                        "event=server_waits server={} addr={} known={}",
                        identity.server,
                        identity.addr,
                        known.map_or("none".to_owned(), |known| known.server.id.to_string()),
                    );
                }
            }
        }
    }

    /// Takes over a server that has answered. The attempts of the known one are lost. If it has the same
    /// id, it may have received calls to start them since it started, so they are reported as lost only
    /// once it is known that none of them runs.
    fn adopt(&mut self, now_ms: u64, announcements: Vec<Announcement>) {
        let mut announcements = announcements.into_iter();
        let Some(first) = announcements.next() else { return };
        let Announcement { server, addr, seq } = &first;
        log::info!(
            "event=server server={} service={} addr={addr} seq={seq}",
            server.id,
            server.service
        );
        if let Some(known) = &mut self.backend {
            log::warn!(
                "event=server_replaced server={} addr={} by={} silent_ms={} sent={}",
                known.server.id,
                known.addr,
                server.id,
                now_ms.saturating_sub(known.heard_ms()),
                known.sent().len(),
            );
            if !known.lost {
                known.unaccounted = known.sent();
            }
        }
        self.record_crash(true);
        if let Some(known) = self.backend.as_ref().map(|known| known.server.id.clone()) {
            self.confirm_crash(&known);
        }
        let earlier = self.backend.take();
        let mut backend = BackendServer::new(now_ms, first, self.backend_lease_ms);
        backend.progress = self.stall_ms.map(Progress::new);
        for later in announcements {
            backend.update(now_ms, later);
        }
        if let Some(earlier) = earlier {
            let proof = earlier.end_proof(Proof::Incarnation);
            let lost = backend.inherit(earlier);
            self.backend = Some(backend);
            self.end_all(lost, proof);
        } else {
            self.backend = Some(backend);
        }
        self.announced = true;
        self.begin_epoch();
        self.revision = Revision { incarnation: self.revision.incarnation + 1, change: 0 };
        self.actions.report_due = true;
    }
}

impl BackendServer {
    /// Whether the server has certainly ended, now that another one has answered a call to `addr` that
    /// was sent at `sent_ms`. Only one process listens at an address; one that has started since under the
    /// same id may have received later calls.
    fn has_ended(&self, sent_ms: u64, now_ms: u64, addr: SocketAddr) -> bool {
        match self.addr == addr {
            true => self.called_and_heard_before(sent_ms),
            false => {
                self.answered_by_other()
                    || self.gone()
                    || self.unheard_since_loss(now_ms) >= LATE_CALL_MAX_MS
            }
        }
    }
}
