//! Announcements of backend servers and of other writers, calls to announced servers, and restarts
//! of backend servers.

use std::net::SocketAddr;

use briargauge::{
    coordination::sidecar::{Check, Identity, Poll},
    protocol::wire::queue::{Server, ServerId},
};

use super::{
    BackendServer, Event, Fate, OVERTAKEN_MAX_MS, POLL_LIMIT_MS, Process, SERVERS, World, addr,
    first_addr, first_id, later, server,
};

/// Time between two announcements of a backend server.
const ANNOUNCE_MS: u64 = 1_500;
/// Time from the start of a backend server until its first announcement.
const FIRST_ANNOUNCE_MS: u64 = 30;
/// When the first backend servers started.
pub const FIRST_START_MS: u64 = 1_000_000;
/// Time by which a later lifetime of a backend server starts later, or earlier if its clock was set
/// back.
const LIFE_MS: u64 = 1_000;
/// Time by which the start in a claim differs from the true one.
const CLAIM_OFF_MS: u64 = 7;
/// Time between two announcements of a writer that goes on.
const REPEAT_MS: u64 = 700;
/// Pause between two calls to a candidate.
const CHECK_RETRY_MS: u64 = 100;
/// Longest time of each way of a call to a candidate.
const CHECK_WAY_MAX_MS: u64 = 4;
/// A number that no announcement of a backend server reaches.
const SEQ_HIGH: u64 = 4_000_000_000;
/// Where nothing listens.
const EMPTY_PORT: u16 = 9;

#[derive(Debug, Clone)]
pub struct Announcement {
    pub server: Server,
    pub addr: SocketAddr,
    pub seq: u64,
}

/// A call of a sidecar's process to a candidate.
#[derive(Debug, Clone)]
pub struct CheckCall {
    sidecar: usize,
    incarnation: u64,
    identity: Identity,
    called: Option<Process>,
    /// When it was sent, on the sidecar's clock.
    sent_ms: u64,
    poll: Poll,
}

#[derive(Debug, Clone)]
pub enum Step {
    /// A backend server sends its next announcement.
    Announce(Process),
    Announced {
        sidecar: usize,
        announcement: Announcement,
    },
    Left {
        sidecar: usize,
        id: String,
    },
    /// The next call to a candidate is due.
    Check {
        sidecar: usize,
        incarnation: u64,
        identity: Identity,
    },
    /// The call arrives; the answer takes `back_ms`, if there is one.
    Called {
        call: CheckCall,
        back_ms: Option<u64>,
    },
    Checked {
        call: CheckCall,
        check: Check,
    },
}

impl Step {
    /// The sidecar whose process handles the step.
    pub fn sidecar(&self) -> Option<usize> {
        match self {
            Step::Announced { sidecar, .. }
            | Step::Left { sidecar, .. }
            | Step::Check { sidecar, .. } => Some(*sidecar),
            Step::Checked { call, .. } => Some(call.sidecar),
            Step::Announce(_) | Step::Called { .. } => None,
        }
    }
}

#[derive(Debug, Default, PartialEq, Eq)]
enum NextId {
    #[default]
    Same,
    /// One that no server had before.
    New,
    /// That of the first server of the instance.
    First,
}

/// How a backend server starts again.
#[derive(Debug, Default)]
pub struct Restart {
    id: NextId,
    other_addr: bool,
    /// Whether its clock was set back.
    set_back: bool,
    /// Whether it sends a notice before its end.
    notice: bool,
    down_ms: u64,
}

/// Takes values one after another out of a drawn number.
struct Variant(u64);

impl Variant {
    fn take(&mut self, below: u64) -> u64 {
        let value = self.0 % below;
        self.0 /= below;
        value
    }
}

impl World {
    fn draw_claim(&mut self, below: u64) -> u64 {
        std::mem::swap(&mut self.random, &mut self.claims_random);
        let drawn = self.draw(below);
        std::mem::swap(&mut self.random, &mut self.claims_random);
        drawn
    }

    /// Lets the backend servers announce themselves from now on.
    pub(super) fn begin_announcements(&mut self) {
        for server in 0..SERVERS {
            let process = Process { server, life: self.servers[server].life };
            let first_ms = self.now_ms + self.draw_claim(ANNOUNCE_MS);
            self.push(first_ms, Event::Claim(Step::Announce(process)));
        }
    }

    /// A live backend server whose sidecar may not start attempts there, or knows something else of it
    /// than it has announced.
    pub(super) fn unused(&self) -> Option<String> {
        (0..SERVERS).find_map(|index| {
            let Announcement { server, addr, .. } = self.servers[index].announcement();
            let known = self.sidecars[index].server();
            let load = self.sidecars[index].load(self.sidecar_ms(index));
            (known != Some((&server, addr)) || !load.open)
                .then(|| format!("server {index} is unused: {known:?} {load:?}, {server:?} {addr}"))
        })
    }

    /// Lets a sidecar's process call announced servers.
    pub(super) fn check(&mut self, sidecar: usize, identities: Vec<Identity>) {
        let incarnation = self.sidecars[sidecar].incarnation();
        for identity in identities {
            let step = Step::Check { sidecar, incarnation, identity };
            self.push(self.now_ms, Event::Claim(step));
        }
    }

    pub(super) fn claim(&mut self, step: Step) {
        match step {
            Step::Announce(process) => self.announce(process),
            Step::Announced { sidecar, announcement } => {
                let Announcement { server, addr, seq } = announcement;
                let clock_ms = self.sidecar_ms(sidecar);
                self.sidecars[sidecar].announce(clock_ms, server, addr, seq);
                self.act(sidecar);
            }
            Step::Left { sidecar, id } => {
                self.sidecars[sidecar].leave(&id);
                self.act(sidecar);
            }
            Step::Check { sidecar, incarnation, identity } => {
                let clock_ms = self.sidecar_ms(sidecar);
                let state = &mut self.sidecars[sidecar];
                if state.incarnation() == incarnation && state.is_candidate(clock_ms, &identity) {
                    self.call_candidate(sidecar, identity);
                }
            }
            Step::Called { call, back_ms } => {
                let check = self.serve_check(&call);
                if let Some(back_ms) = back_ms {
                    let step = Step::Checked { call, check };
                    self.push(self.now_ms + back_ms, Event::Claim(step));
                }
            }
            Step::Checked { call, check } => self.checked(call, check),
        }
    }

    fn announce(&mut self, process: Process) {
        let Process { server: index, life } = process;
        if self.servers[index].life != life {
            return;
        }
        let announcement = self.servers[index].announcement();
        self.servers[index].seq += 1;
        self.announced[index].push(announcement.clone());
        let step = Step::Announced { sidecar: index, announcement };
        self.push(self.now_ms + 1, Event::Claim(step));
        self.push(self.now_ms + ANNOUNCE_MS, Event::Claim(Step::Announce(process)));
    }

    fn call_candidate(&mut self, sidecar: usize, identity: Identity) {
        let incarnation = self.sidecars[sidecar].incarnation();
        let Some(poll) = self.sidecars[sidecar].check_call() else {
            let step = Step::Check { sidecar, incarnation, identity };
            return self.push(self.now_ms + CHECK_RETRY_MS, Event::Claim(step));
        };
        let sent_ms = self.sidecar_ms(sidecar);
        let called = self.process(identity.addr);
        let call = CheckCall { sidecar, incarnation, identity, called, sent_ms, poll };
        let way_max_ms = match self.polls_overtake_ms[sidecar] > self.now_ms {
            true => OVERTAKEN_MAX_MS,
            false => CHECK_WAY_MAX_MS,
        };
        let (mut there_ms, back_ms) = (self.draw_claim(way_max_ms), self.draw_claim(way_max_ms));
        std::mem::swap(&mut self.random, &mut self.claims_random);
        let fate = called.map_or(Fate::Refused, |_| self.fate(sidecar));
        std::mem::swap(&mut self.random, &mut self.claims_random);
        let answered = match fate {
            Fate::Answered => true,
            Fate::Late(by_ms) => {
                there_ms += by_ms;
                there_ms + back_ms < POLL_LIMIT_MS
            }
            Fate::Silent(by_ms) => {
                there_ms += by_ms;
                false
            }
            Fate::Lost | Fate::Unanswered | Fate::Refused => false,
        };
        if !matches!(fate, Fate::Lost | Fate::Refused) {
            let step = Step::Called { call: call.clone(), back_ms: answered.then_some(back_ms) };
            self.push(self.now_ms + there_ms, Event::Claim(step));
        }
        if !answered {
            let after_ms = if let Fate::Refused = fate { 1 } else { POLL_LIMIT_MS };
            let step = Step::Checked { call, check: Check::NoAnswer };
            self.push(self.now_ms + after_ms, Event::Claim(step));
        }
    }

    /// The answer of the process that was called, if it has not ended.
    fn serve_check(&mut self, call: &CheckCall) -> Check {
        let Identity { server: ServerId { id, started_at_ms }, addr } = &call.identity;
        let process = self.process(*addr).filter(|process| call.called == Some(*process));
        let Some(Process { server, .. }) = process else { return Check::NoAnswer };
        let server = &mut self.servers[server];
        if server.id.id != *id {
            return Check::Other;
        }
        match server.accepts(call.poll.fence) {
            false => Check::NoAnswer,
            true if server.id.started_at_ms == *started_at_ms => Check::Present,
            true => Check::Other,
        }
    }

    fn checked(&mut self, call: CheckCall, check: Check) {
        let CheckCall { sidecar, incarnation, identity, sent_ms, .. } = call;
        if self.sidecars[sidecar].incarnation() != incarnation {
            return;
        }
        self.note(format!("sidecar {sidecar} {identity:?} {check:?}"));
        let clock_ms = self.sidecar_ms(sidecar);
        self.sidecars[sidecar].checked(sent_ms, clock_ms, &identity, check);
        if check == Check::Present {
            self.next_poll_ms[sidecar] = self.now_ms;
        }
        self.act(sidecar);
        let step = Step::Check { sidecar, incarnation, identity };
        self.push(self.now_ms + CHECK_RETRY_MS, Event::Claim(step));
    }

    /// Carries out a fault that sends announcements or starts a backend server again. `variant` says
    /// which.
    pub(super) fn claim_fault(&mut self, kind: u8, sidecar: usize, variant: u64) {
        let mut variant = Variant(variant);
        let Announcement { server: present, addr: true_addr, seq } =
            self.servers[sidecar].announcement();
        match kind {
            // Another id, with the same, a later or an earlier start.
            17 => {
                let started_at_ms = match variant.take(3) {
                    0 => present.id.started_at_ms,
                    1 => present.id.started_at_ms + CLAIM_OFF_MS,
                    _ => present.id.started_at_ms - CLAIM_OFF_MS,
                };
                let id = ServerId { id: format!("c{sidecar}"), started_at_ms };
                let addr = self.claimed_addr(sidecar, variant.take(3));
                let announcement = Announcement { server: server(id), addr, seq: 1 };
                self.claim_often(sidecar, announcement, variant.take(3));
            }
            // The same id with a later or an earlier start.
            18 => {
                let started_at_ms = match variant.take(2) {
                    0 => present.id.started_at_ms + CLAIM_OFF_MS,
                    _ => present.id.started_at_ms - CLAIM_OFF_MS,
                };
                let id = ServerId { started_at_ms, ..present.id };
                let addr = self.claimed_addr(sidecar, variant.take(3));
                let seq = [1, seq + 1, SEQ_HIGH][variant.take(3) as usize];
                let announcement = Announcement { server: server(id), addr, seq };
                self.claim_often(sidecar, announcement, variant.take(3));
            }
            // The same server with another address, service, capacity or state.
            19 => {
                let mut announcement = Announcement { server: present, addr: true_addr, seq };
                match variant.take(5) {
                    0 => announcement.addr = self.claimed_addr(sidecar, 1),
                    1 => announcement.addr = self.claimed_addr(sidecar, 2),
                    2 => announcement.server.service = "other".to_owned(),
                    3 => announcement.server.capacity.cpu_milli = 500,
                    _ => announcement.server.draining = true,
                }
                announcement.seq = [0, seq, seq + 1, SEQ_HIGH][variant.take(4) as usize];
                self.claim_often(sidecar, announcement, variant.take(3));
            }
            // The same server as it announces itself, under a number that it never reaches.
            24 => {
                let announcement = Announcement { server: present, addr: true_addr, seq: SEQ_HIGH };
                self.claim_often(sidecar, announcement, variant.take(3));
            }
            // A late copy of an announcement, of an earlier lifetime if there was one.
            20 => {
                let announced = &self.announced[sidecar];
                let earlier = announced.iter().filter(|copy| copy.server.id != present.id);
                let copies: Vec<Announcement> = match earlier.count() {
                    0 => announced.clone(),
                    count => announced[..count].to_vec(),
                };
                if !copies.is_empty() {
                    let copy = copies[variant.take(copies.len() as u64) as usize].clone();
                    self.claim_often(sidecar, copy, 0);
                }
            }
            21 => {
                let id = match variant.take(3) {
                    0 => format!("c{sidecar}"),
                    _ => present.id.id,
                };
                self.push(self.now_ms, Event::Claim(Step::Left { sidecar, id }));
            }
            _ => {
                let restart = Restart {
                    id: match variant.take(3) {
                        0 if kind == 23 => NextId::Same,
                        1 => NextId::First,
                        _ => NextId::New,
                    },
                    set_back: kind == 23,
                    other_addr: variant.take(3) == 0,
                    notice: variant.take(3) == 0,
                    down_ms: variant.take(2) * 40 * variant.take(30),
                };
                self.restart_server(sidecar, restart);
            }
        }
    }

    /// The address of the server, one where nothing listens, or that of another server.
    fn claimed_addr(&self, sidecar: usize, variant: u64) -> SocketAddr {
        match variant {
            0 => self.servers[sidecar].addr,
            1 => addr(EMPTY_PORT),
            _ => self.servers[(sidecar + 1) % SERVERS].addr,
        }
    }

    /// Sends an announcement and further ones of the same writer.
    fn claim_often(&mut self, sidecar: usize, announcement: Announcement, further: u64) {
        for sent in 0..=further {
            let at_ms = self.now_ms + sent * REPEAT_MS;
            let announcement =
                Announcement { seq: announcement.seq + sent, ..announcement.clone() };
            later(&mut self.calm_ms, at_ms);
            self.push(at_ms, Event::Claim(Step::Announced { sidecar, announcement }));
        }
    }

    /// Ends a backend server and starts the next one of the instance.
    pub(super) fn restart_server(&mut self, index: usize, restart: Restart) {
        let earlier = &self.servers[index];
        let life = earlier.life + 1;
        let id = match restart.id {
            NextId::Same => earlier.id.id.clone(),
            NextId::New => format!("b{index}-{life}"),
            NextId::First => first_id(index).id,
        };
        let started_at_ms = match restart.set_back {
            true => FIRST_START_MS - life * LIFE_MS,
            false => FIRST_START_MS + life * LIFE_MS,
        };
        let addr = match (restart.other_addr, earlier.addr == first_addr(index)) {
            (true, true) => addr(20 + index as u16),
            (true, false) => first_addr(index),
            (false, _) => earlier.addr,
        };
        let up_ms = self.now_ms + restart.down_ms;
        if restart.notice {
            let step = Step::Left { sidecar: index, id: earlier.id.id.clone() };
            self.push(self.now_ms + 1, Event::Claim(step));
        }
        let id = ServerId { id, started_at_ms };
        self.note(format!("server {index} starts as {id:?} at {addr} at {up_ms}"));
        self.servers[index] = BackendServer::new(life, id, addr, up_ms);
        let base_ms = self.sidecar_ms(index);
        self.server_clocks[index].restart(base_ms);
        later(&mut self.calm_ms, up_ms);
        let step = Step::Announce(Process { server: index, life });
        self.push(up_ms + FIRST_ANNOUNCE_MS, Event::Claim(step));
    }
}
