//! One incarnation of the backend server: its clock and lease, assigned attempts, and completions.
//!
//! An attempt is foreign if the backend server lists it as running and it has no assignment here:
//! an earlier process of the sidecar started it, or it was assigned before the server counted as
//! lost.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use indexmap::IndexMap;

use super::{LATE_CALL_MAX_MS, Running, Source, announce::Announcement, progress::Progress};
use crate::{
    coordination::warmup::Warmup,
    protocol::{
        queue::{Attempt, Resources},
        wire::{
            queue::{Completion, Server, Start},
            work,
        },
    },
};

/// Rate of the slowest clock that a backend server may have, relative to the sidecar's clock.
const CLOCK_SLOWEST: f64 = 0.98;
/// Time from the expiry of its lease until a backend server that does not answer counts as lost, in
/// ms.
const LAPSE_SLACK_MS: u64 = 100;
/// Number of consecutive polls without an answer after which no lease is renewed and nothing is
/// started. A single answer may get lost.
const UNANSWERED_MAX: u32 = 2;
/// Number of consecutive refused connections after which the process of a backend server whose lease
/// has expired counts as gone.
const REFUSALS_MAX: u32 = 2;
/// Longest time for which attempts may go on before the server's lease is left to expire, in ms.
const DRAIN_MAX_MS: u64 = 1_500;
/// Time for which the writer of a contradicting announcement has to go on until it is believed, in ms.
/// The server announces itself about every 1,500 ms.
const CONTEND_MIN_MS: u64 = 2_000;
/// Pause before the stop of a foreign attempt is requested again, in ms.
const FOREIGN_STOP_MS: u64 = 300;

/// State of an assigned attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// It waits for free capacity.
    Waiting,
    /// The backend server has been called to start it, and has not confirmed the start yet.
    Sent,
    Running,
    /// The call to start it had no answer. It must be stopped before it counts as not started,
    /// since the server may still carry out the call.
    Unanswered,
    /// The backend server has confirmed a stop: the attempt is ending, or cannot start from now on.
    StopConfirmed {
        /// When the confirmation was received.
        at_ms: u64,
    },
}

impl State {
    /// Whether the backend server was called to start the attempt and has confirmed nothing.
    pub fn is_unconfirmed(self) -> bool {
        matches!(self, State::Sent | State::Unanswered)
    }

    /// Whether the attempt runs or may still start, and no stop was confirmed.
    pub fn may_run(self) -> bool {
        match self {
            State::Sent | State::Running | State::Unanswered => true,
            State::Waiting | State::StopConfirmed { .. } => false,
        }
    }
}

/// What shows that attempts have ended at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proof {
    /// The last lease that the server may have got has expired.
    Lease,
    /// Any call that had no answer has been carried out by now, and what it started has ended.
    LateCalls,
    /// Nothing listens at the server's address, and its lease has expired.
    Refusal,
    /// There was a notice that the server leaves, or it drained, and the same holds as for `Refusal` or
    /// `Incarnation`.
    Leave,
    /// Another server or incarnation has answered, at the same address or after the end of the server.
    Incarnation,
    /// The server's list of running attempts, which answers a call with the present fencing token,
    /// omits them.
    List,
}

impl Proof {
    /// Returns the outcome of the attempts that were called for.
    pub fn outcome(self, assignment: &Assignment) -> work::Outcome {
        let began = assignment.began();
        match self {
            Proof::Refusal => work::Outcome::Lost(work::Loss { began, confirmed: false }),
            Proof::Incarnation => work::Outcome::Lost(work::Loss { began, confirmed: true }),
            Proof::List if assignment.replaced => {
                work::Outcome::Lost(work::Loss { began, confirmed: true })
            }
            Proof::Lease | Proof::LateCalls | Proof::Leave | Proof::List => work::Outcome::Stopped,
        }
    }
}

/// An attempt that the leader or an entry has assigned to this sidecar, and its state.
#[derive(Debug)]
pub(super) struct Assignment {
    pub source: Source,
    pub start: Start,
    /// Latest start at which its job would be on time. Of the waiting attempts, the one with the
    /// lowest value starts first.
    pub due_ms: u64,
    /// Until when it may wait for free capacity.
    pub until_ms: u64,
    pub state: State,
    /// Expiry that the lease of its source had when a stop was requested; `None` without such a
    /// request. Later renewals do not count for it.
    pub stop_lease_ms: Option<u64>,
    /// Whether its job was cancelled; a stop is then reported as `Canceled`.
    pub canceled: bool,
    /// Whether another incarnation has replaced the one that was called to start it, which had not left.
    pub replaced: bool,
    /// When the backend server was called to start it.
    pub called_ms: u64,
}

impl Assignment {
    pub fn new(source: Source, start: Start, due_ms: u64, until_ms: u64) -> Assignment {
        Assignment {
            source,
            start,
            due_ms,
            until_ms,
            state: State::Waiting,
            stop_lease_ms: None,
            canceled: false,
            replaced: false,
            called_ms: 0,
        }
    }

    /// Whether the backend server has confirmed that the attempt runs. After a confirmed stop this is not
    /// known.
    pub fn began(&self) -> bool {
        self.state == State::Running
    }

    /// Whether it runs or may be running, and no stop was requested.
    pub fn is_wanted(&self) -> bool {
        self.state.may_run() && self.stop_lease_ms.is_none()
    }

    /// Records that the backend server has confirmed that the attempt runs.
    pub fn confirm_running(&mut self) {
        if self.state.is_unconfirmed() {
            self.state = State::Running;
        }
    }
}

/// An attempt that was sent to a server that was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Sent {
    pub attempt: Attempt,
    pub source: Source,
    /// Whether the server had confirmed that it runs.
    pub began: bool,
}

/// Whether the server's lease is renewed. Completions that do not count are acknowledged only after
/// it has expired once, so that the server, too, knows that they do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Renewal {
    Granted,
    /// Nothing starts, and what runs may end until `until_ms`.
    Draining {
        until_ms: u64,
    },
    /// No lease is granted, and the last one has certainly expired at `until_ms`.
    Lapsing {
        until_ms: u64,
    },
}

/// Returns the longest time that a lease of `lease_ms` on the backend server's clock lasts on the
/// sidecar's, in ms.
fn longest_ms(lease_ms: u64) -> u64 {
    (lease_ms as f64 / CLOCK_SLOWEST) as u64
}

fn attempts_of_leader(assignments: &IndexMap<Attempt, Assignment>) -> Vec<Attempt> {
    let of_leader = assignments.iter().filter(|(_, a)| a.source == Source::Leader);
    of_leader.map(|(attempt, _)| *attempt).collect()
}

/// How old an answer of the backend server is, relative to the newest one known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Age {
    Newer,
    /// The server made both in the same millisecond, and their polls overlapped.
    Unknown,
    Older,
}

/// State of one incarnation of the backend server.
#[derive(Debug)]
pub(super) struct BackendServer {
    pub server: Server,
    /// Where it has answered.
    pub addr: SocketAddr,
    /// Sequence number of the newest announcement in force.
    seq: u64,
    /// Whether its description was announced more than once.
    repeated: bool,
    /// An announcement that contradicts the one in force, and when its writer was first heard.
    contender: Option<(Announcement, u64)>,
    /// Whether there was a notice that it leaves, and no announcement since.
    leaving: bool,
    /// When it answered for the first time.
    confirmed_ms: u64,
    /// Whether another server or incarnation has answered at its address since its newest answer.
    answered_by_other: bool,
    /// The newest reading of the server's clock, and when it was received on the sidecar's clock.
    clock: Option<(u64, u64)>,
    /// Latest time at which any lease that the server may have got can expire, on the sidecar's clock.
    lease_until_ms: u64,
    /// Consecutive polls without an answer.
    unanswered: u32,
    /// Consecutive refused connections.
    refusals: u32,
    /// Whether the server counts as lost; it does until it answers again.
    pub lost: bool,
    /// When its process counted as gone, until it answers again.
    gone_at_ms: Option<u64>,
    /// Whether a poll has listed no foreign attempt since the server became known or was last lost.
    pub found_clean: bool,
    /// Whether, since then, such a poll has also returned all completions. Before, an attempt that does
    /// not run may have ended with one that is not known here.
    pub accounted: bool,
    /// Time from which polls carry the present fencing token. The list in the answer to an earlier
    /// one may be older than a start that is carried out late.
    fenced_from_ms: u64,
    /// When the server last counted as lost.
    lost_at_ms: u64,
    /// Whether any start was called for since the fencing token was raised last.
    start_called: bool,
    /// Whether any start was called for since the server was lost last.
    called_since_loss: bool,
    /// Whether a call with a lease was built since the fencing token was raised last.
    lease_sent: bool,
    /// Generation of the registration for which the running attempts have been reported.
    pub reported_generation: u64,
    pub assignments: IndexMap<Attempt, Assignment>,
    /// Attempts that the server may run or start late: those that were called for at an earlier
    /// incarnation with the same id, and those whose end was not known when the server was lost.
    /// Those that it lists are foreign.
    pub inherited: IndexMap<Attempt, Assignment>,
    /// Resources of the attempts that run, or may be running.
    pub used: Resources,
    /// Foreign attempts, each with the time of the last call to stop it.
    foreign: IndexMap<Attempt, u64>,
    /// Completions that the leader has not stored yet.
    pub completions: BTreeMap<u64, Completion>,
    newest_completion: u64,
    /// Numbers of completions that do not count and are not acknowledged yet.
    fenced: BTreeSet<u64>,
    renewal: Renewal,
    /// Attempts that were sent to the server before it last counted as lost. They count as lost by a
    /// crash once it is certain that its process is gone.
    pub unaccounted: Vec<Sent>,
    /// Progress of the attempts; `None` if no stalls are detected.
    pub progress: Option<Progress>,
    /// Until when it is cold, by its newest announcement.
    pub cold_until_ms: u64,
    /// The last warm-up.
    pub warmup: Option<Warmup>,
    /// Whether the newest answer has told the progress of all running attempts.
    pub progress_known: bool,
}

impl BackendServer {
    /// A server that has answered. An earlier process of the sidecar may have granted it a lease of
    /// `lease_ms` until now.
    pub fn new(now_ms: u64, announcement: Announcement, lease_ms: u64) -> BackendServer {
        let Announcement { server, addr, seq } = announcement;
        BackendServer {
            server,
            addr,
            seq,
            repeated: false,
            contender: None,
            leaving: false,
            confirmed_ms: now_ms,
            answered_by_other: false,
            clock: None,
            lease_until_ms: now_ms + longest_ms(lease_ms),
            unanswered: 0,
            refusals: 0,
            lost: false,
            gone_at_ms: None,
            found_clean: false,
            accounted: false,
            fenced_from_ms: now_ms,
            lost_at_ms: 0,
            start_called: false,
            called_since_loss: false,
            lease_sent: false,
            reported_generation: 0,
            assignments: IndexMap::new(),
            inherited: IndexMap::new(),
            used: Resources::default(),
            foreign: IndexMap::new(),
            completions: BTreeMap::new(),
            newest_completion: 0,
            fenced: BTreeSet::new(),
            renewal: Renewal::Granted,
            unaccounted: Vec::new(),
            progress: None,
            progress_known: false,
            cold_until_ms: 0,
            warmup: None,
        }
    }

    /// Handles a further announcement of this incarnation. Returns whether its description has
    /// changed. Its address and all but its state do not change while it lives, so that an announcement
    /// with another address is of another writer, and so is one of two with different descriptions.
    pub fn update(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        if announcement.addr != self.addr {
            let Announcement { server, addr, .. } = announcement;
            log::warn!("event=announcement_contradicts server={} addr={addr}", server.id);
            return false;
        }
        let draining = announcement.server.draining;
        let agrees = announcement.server == Server { draining, ..self.server.clone() };
        if agrees && announcement.seq > self.seq {
            self.seq = announcement.seq;
            self.repeated = true;
            self.contender = None;
            self.leaving = false;
            return std::mem::replace(&mut self.server.draining, draining) != draining;
        }
        if announcement.server == self.server && announcement.seq == self.seq {
            return false;
        }
        // A server that drains is left alone, however old the announcement is and whatever else it says.
        let drained = draining && !std::mem::replace(&mut self.server.draining, true);
        self.contend(now_ms, announcement) || drained
    }

    /// Handles an announcement that contradicts the one in force, or is older than that. It comes into
    /// force if its writer goes on, and that of the one in force does not.
    fn contend(&mut self, now_ms: u64, announcement: Announcement) -> bool {
        match &mut self.contender {
            Some((contender, since_ms)) if contender.server == announcement.server => {
                match announcement.seq.cmp(&contender.seq) {
                    Ordering::Greater => *contender = announcement,
                    Ordering::Equal => return false,
                    Ordering::Less => {
                        // Of another writer than the contender, or late.
                        (*contender, *since_ms) = (announcement, now_ms);
                        return false;
                    }
                }
                if self.repeated && now_ms < *since_ms + CONTEND_MIN_MS {
                    return false;
                }
            }
            _ => {
                log::warn!(
                    "event=announcement_contradicts server={} service={} draining={} seq={} known_seq={}",
                    announcement.server.id,
                    announcement.server.service,
                    announcement.server.draining,
                    announcement.seq,
                    self.seq,
                );
                self.contender = Some((announcement, now_ms));
                return false;
            }
        }
        let Some((Announcement { server, seq, .. }, _)) = self.contender.take() else {
            return false;
        };
        log::warn!("event=description_replaced server={} service={}", server.id, server.service);
        self.seq = seq;
        self.repeated = true;
        self.leaving = false;
        let changed = self.server != server;
        self.server = server;
        changed
    }

    /// Handles a notice that the server leaves. Returns whether its description has changed.
    pub fn leave(&mut self) -> bool {
        self.leaving = true;
        !std::mem::replace(&mut self.server.draining, true)
    }

    /// Returns `proof` of the end of the server, or that it has left if there was a notice or it drained.
    pub fn end_proof(&self, proof: Proof) -> Proof {
        if self.leaving || self.server.draining { Proof::Leave } else { proof }
    }

    /// Whether there was a notice that it leaves, and no announcement since.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Whether two writers describe the server differently, and neither description was repeated.
    fn disputed(&self) -> bool {
        // The smaller capacity limits starts, and a drain counts by itself.
        let Server { draining, capacity, .. } = self.server;
        self.contender.as_ref().is_some_and(|(contender, _)| {
            !self.repeated
                && Server { draining, capacity, ..contender.server.clone() } != self.server
        })
    }

    /// Whether attempts may start.
    pub fn may_start(&self) -> bool {
        self.found_clean
            && !self.lost
            && !self.disputed()
            && !self.unresponsive()
            && !self.server.draining
            && self.renewal == Renewal::Granted
    }

    /// Records the reading of the server's clock in the answer to a poll that was sent at `sent_ms`,
    /// if the answer is newer than any that was received before. Answers to polls that overlap may
    /// arrive in either order.
    pub fn record_clock(&mut self, sent_ms: u64, clock_ms: u64, now_ms: u64) -> Age {
        let age = self.age(sent_ms, clock_ms);
        if age == Age::Newer {
            self.clock = Some((clock_ms, now_ms));
            if let Some(gone_at_ms) = self.gone_at_ms.take() {
                // Attempts that counted as ended may have run on meanwhile.
                let for_ms = now_ms.saturating_sub(gone_at_ms);
                log::warn!("event=server_not_gone server={} for_ms={for_ms}", self.server.id);
            }
            self.refusals = 0;
            self.unanswered = 0;
            self.answered_by_other = false;
        }
        age
    }

    fn age(&self, sent_ms: u64, clock_ms: u64) -> Age {
        let Some((newest_ms, read_ms)) = self.clock else { return Age::Newer };
        match clock_ms.cmp(&newest_ms) {
            _ if sent_ms > read_ms => Age::Newer,
            Ordering::Greater => Age::Newer,
            Ordering::Equal => Age::Unknown,
            Ordering::Less => Age::Older,
        }
    }

    /// Whether an answer was received after `sent_ms`.
    pub fn answered_since(&self, sent_ms: u64) -> bool {
        self.clock.is_some_and(|(_, read_ms)| read_ms > sent_ms)
    }

    /// When the newest answer was received.
    pub fn heard_ms(&self) -> u64 {
        self.clock.map_or(self.confirmed_ms, |(_, read_ms)| read_ms.max(self.confirmed_ms))
    }

    /// Whether its newest answer was received, and its newest start called for, before `sent_ms`.
    pub fn called_and_heard_before(&self, sent_ms: u64) -> bool {
        self.heard_ms() < sent_ms
            && self.assignments.values().all(|assignment| assignment.called_ms < sent_ms)
    }

    /// Records that another server or incarnation has answered a poll that was sent at `sent_ms`.
    pub fn record_other(&mut self, sent_ms: u64) {
        self.answered_by_other |= self.called_and_heard_before(sent_ms);
    }

    pub fn answered_by_other(&self) -> bool {
        self.answered_by_other
    }

    /// Time for which the server has counted as lost, in ms.
    pub fn unheard_since_loss(&self, now_ms: u64) -> u64 {
        if self.lost { now_ms.saturating_sub(self.lost_at_ms) } else { 0 }
    }

    /// Grants the server a new lease of `lease_ms`, but not beyond `limit_ms`. Returns its expiry on
    /// the server's clock, if that clock is known and the limit has not passed. An unresponsive server
    /// gets no lease, so that its attempts end, nor does one on which foreign attempts may run or
    /// whose lease has to expire.
    pub fn lease(&mut self, now_ms: u64, lease_ms: u64, limit_ms: Option<u64>) -> Option<u64> {
        self.begin_lapse(now_ms, lease_ms);
        if !self.found_clean || matches!(self.renewal, Renewal::Lapsing { .. }) {
            return None;
        }
        let (clock_ms, read_ms) = self.clock.filter(|_| !self.unresponsive())?;
        let left_ms = limit_ms.map_or(u64::MAX, |limit_ms| limit_ms.saturating_sub(now_ms));
        let lease_ms = lease_ms.min((left_ms as f64 * CLOCK_SLOWEST) as u64);
        if lease_ms == 0 {
            return None;
        }
        let until_ms = now_ms + longest_ms(lease_ms);
        // The server never shortens its lease.
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        self.lease_sent = true;
        let since_ms = now_ms.saturating_sub(read_ms) as f64 * CLOCK_SLOWEST;
        Some(clock_ms + since_ms as u64 + lease_ms)
    }

    /// Whether the lease that the server was granted last may expire after `limit_ms`.
    pub fn lease_expires_after(&self, limit_ms: u64) -> bool {
        self.lease_until_ms > limit_ms
    }

    /// Grants no more leases once a drained server is idle or its time is over. An earlier process of
    /// the sidecar may have granted one of `lease_ms` just before this one started.
    fn begin_lapse(&mut self, now_ms: u64, lease_ms: u64) {
        let Renewal::Draining { until_ms } = self.renewal else { return };
        if self.assignments.is_empty() || until_ms <= now_ms {
            let expired_ms = self.lease_until_ms.max(now_ms + longest_ms(lease_ms));
            self.renewal = Renewal::Lapsing { until_ms: expired_ms + LAPSE_SLACK_MS };
        }
    }

    /// Renews the lease again once the last one has expired, and lets the completions that do not
    /// count be acknowledged.
    pub fn end_lapse(&mut self, now_ms: u64) {
        if matches!(self.renewal, Renewal::Lapsing { until_ms } if until_ms <= now_ms) {
            log::info!("event=lease_lapsed server={} ends={}", self.server.id, self.fenced.len());
            self.fenced.clear();
            self.renewal = Renewal::Granted;
        }
    }

    /// Whether so many consecutive polls had no answer that no lease is renewed and nothing starts.
    /// By itself this does not make the server count as lost.
    pub fn unresponsive(&self) -> bool {
        self.unanswered >= UNANSWERED_MAX
    }

    /// Counts a poll without an answer. Returns whether the server counts as lost from now on, since
    /// its lease has expired.
    pub fn poll_failed(&mut self, now_ms: u64, refused: bool) -> bool {
        self.unanswered += 1;
        self.refusals = if refused { self.refusals + 1 } else { 0 };
        if self.gone() {
            self.gone_at_ms.get_or_insert(now_ms);
        }
        !self.lost && now_ms >= self.lease_until_ms + LAPSE_SLACK_MS
    }

    /// Whether the process of the server counts as gone: nothing listens at its address, and its lease
    /// has expired. Before, connections may be refused while its attempts run, as by a path that is
    /// cut with resets or a closed listener.
    pub fn gone(&self) -> bool {
        self.refusals >= REFUSALS_MAX && self.lost
    }

    /// Returns the attempts that were sent to the server and have not ended.
    pub fn sent(&self) -> Vec<Sent> {
        let sent = self.assignments.iter().filter(|(_, a)| a.state != State::Waiting);
        let sent = sent.map(|(attempt, assignment)| Sent {
            attempt: *attempt,
            source: assignment.source,
            began: assignment.began(),
        });
        sent.collect()
    }

    /// Marks the server as lost until it answers again. Returns the attempts whose end is shown by
    /// `proof`. The end of the last lease shows that of no attempt that may run: a call that had no
    /// answer may be carried out late, and start it or prolong its lease.
    pub fn mark_lost(&mut self, proof: Proof) -> IndexMap<Attempt, Assignment> {
        self.lost = true;
        self.unaccounted = self.sent();
        self.found_clean = false;
        self.accounted = false;
        self.reported_generation = 0;
        self.used = Resources::default();
        let assigned = std::mem::take(&mut self.assignments);
        let (may_run, ended): (IndexMap<_, _>, IndexMap<_, _>) =
            assigned.into_iter().partition(|(_, assignment)| assignment.state.may_run());
        self.inherited.extend(may_run);
        match proof {
            Proof::Lease => ended,
            Proof::LateCalls | Proof::Refusal | Proof::Leave | Proof::Incarnation | Proof::List => {
                let mut lost = std::mem::take(&mut self.inherited);
                lost.extend(ended);
                lost
            }
        }
    }

    /// Records that the server counts as lost since `now_ms`. Returns whether starts were called for
    /// since the loss before, which a higher fencing token has to refuse from now on.
    pub fn record_loss(&mut self, now_ms: u64) -> bool {
        self.lost_at_ms = now_ms;
        std::mem::take(&mut self.called_since_loss)
    }

    /// Whether starts were called for under the present fencing token.
    pub fn start_called(&self) -> bool {
        self.start_called
    }

    /// Records that the fencing token was raised at `now_ms`.
    pub fn record_fence(&mut self, now_ms: u64) {
        self.start_called = false;
        self.lease_sent = false;
        self.fence_after(now_ms);
    }

    /// Whether a call that was sent at `sent_ms` may carry a lease and the present fencing token. One
    /// of the millisecond in which the token was raised may have been sent later.
    pub fn may_prolong(&self, sent_ms: u64) -> bool {
        self.lease_sent && self.is_fenced(sent_ms + 1)
    }

    /// Records that only the answer to a poll sent later than `now_ms` shows that no start from before
    /// the loss is carried out any more.
    pub fn fence_after(&mut self, now_ms: u64) {
        self.fenced_from_ms = now_ms + 1;
    }

    /// Returns the entries' attempts for which the lost server was not heard of for so long that they
    /// have certainly ended. The leader counts this time itself.
    pub fn take_ended_unheard(&mut self, now_ms: u64) -> IndexMap<Attempt, Assignment> {
        if self.unheard_since_loss(now_ms) < LATE_CALL_MAX_MS {
            return IndexMap::new();
        }
        let inherited = std::mem::take(&mut self.inherited);
        let of_leader =
            |(_, assignment): &(Attempt, Assignment)| assignment.source == Source::Leader;
        let (of_leader, ended) = inherited.into_iter().partition(of_leader);
        self.inherited = of_leader;
        ended
    }

    /// Whether a poll that was sent at `sent_ms` carried the present fencing token.
    pub fn is_fenced(&self, sent_ms: u64) -> bool {
        self.fenced_from_ms <= sent_ms
    }

    /// Takes over the attempts of the incarnation before if it had the same id. Returns those that
    /// are certainly lost.
    pub fn inherit(&mut self, mut earlier: BackendServer) -> IndexMap<Attempt, Assignment> {
        let crashed = earlier.end_proof(Proof::Incarnation) == Proof::Incarnation;
        let mut lost = earlier.mark_lost(Proof::Incarnation);
        lost.values_mut().for_each(|assignment| assignment.replaced = crashed);
        if earlier.server.id.id != self.server.id.id {
            return lost;
        }
        let may_run = |(_, assignment): &(Attempt, Assignment)| assignment.state != State::Waiting;
        let (inherited, lost) = lost.into_iter().partition(may_run);
        self.inherited = inherited;
        // The calls that started them also carried a lease.
        self.lease_until_ms = self.lease_until_ms.max(earlier.lease_until_ms);
        lost
    }

    /// Whether another attempt of the same task runs, or may be running, such as one that is being
    /// stopped. The server itself would start this one beside it.
    pub fn runs_other_attempt(&self, attempt: &Attempt) -> bool {
        let sent = self.assignments.iter().filter(|(_, a)| a.state != State::Waiting);
        let mut attempts = sent.map(|(other, _)| other).chain(self.inherited.keys());
        attempts.any(|other| other.task == attempt.task && other != attempt)
    }

    pub fn has_capacity(&self, now_ms: u64, needs: &Resources) -> bool {
        let mut used = self.used;
        used.add(needs);
        if !self.warmup_allows(now_ms, &used) {
            return false;
        }
        let contender = self.contender.as_ref().map(|(contender, _)| &contender.server);
        [Some(&self.server), contender].into_iter().flatten().all(|s| s.capacity.fits(&used))
    }

    /// Returns the attempts that wait for free capacity, the most urgent first.
    pub fn waiting_by_urgency(&self) -> Vec<Attempt> {
        let waiting = self.assignments.iter().filter(|(_, a)| a.state == State::Waiting);
        let mut by_urgency: Vec<(u64, Attempt)> =
            waiting.map(|(attempt, a)| (a.due_ms, *attempt)).collect();
        by_urgency.sort_unstable();
        by_urgency.into_iter().map(|(_, attempt)| attempt).collect()
    }

    pub fn waiting_count(&self) -> usize {
        self.assignments.values().filter(|a| a.state == State::Waiting).count()
    }

    /// Returns the resources of the attempts that wait for free capacity.
    pub fn waiting_resources(&self) -> Resources {
        let mut resources = Resources::default();
        let waiting = self.assignments.values().filter(|a| a.state == State::Waiting);
        waiting.for_each(|assignment| resources.add(&assignment.start.needs));
        resources
    }

    /// Reserves the resources of a waiting attempt and marks it as sent. Returns the start to
    /// request from the backend server.
    pub fn begin(&mut self, now_ms: u64, attempt: &Attempt) -> Option<Start> {
        let assignment = self.assignments.get_mut(attempt)?;
        assignment.state = State::Sent;
        assignment.called_ms = now_ms;
        self.start_called = true;
        self.called_since_loss = true;
        self.used.add(&assignment.start.needs);
        if let Some(progress) = &mut self.progress {
            progress.record_start(*attempt);
        }
        Some(assignment.start.clone())
    }

    /// Removes an attempt and frees its resources.
    pub fn remove(&mut self, attempt: &Attempt) -> Option<Assignment> {
        let assignment = self.assignments.swap_remove(attempt)?;
        if assignment.state != State::Waiting {
            self.used.sub(&assignment.start.needs);
        }
        Some(assignment)
    }

    /// Records the number of a received completion. Returns whether the completion is new.
    pub fn record_completion(&mut self, number: u64) -> bool {
        let new = number > self.newest_completion;
        self.newest_completion = self.newest_completion.max(number);
        new
    }

    /// Number up to which the backend server need not list completions again.
    pub fn acknowledged(&self) -> u64 {
        let first = self.completions.keys().next().into_iter().chain(self.fenced.first()).min();
        first.map_or(self.newest_completion, |first| first - 1)
    }

    /// Drops those of the reported completions that the leader has stored: their numbers are at most
    /// `stored`. The `fenced` ones do not count; they are acknowledged once the lease has expired.
    pub fn drop_stored(
        &mut self,
        now_ms: u64,
        reported: &[Completion],
        stored: u64,
        fenced: &[u64],
    ) {
        for Completion { number, .. } in reported.iter().filter(|c| c.number <= stored) {
            if self.completions.remove(number).is_some() && fenced.contains(number) {
                self.fenced.insert(*number);
            }
        }
        if !self.fenced.is_empty() && self.renewal == Renewal::Granted {
            log::warn!("event=lease_to_lapse server={} ends={}", self.server.id, self.fenced.len());
            self.renewal = Renewal::Draining { until_ms: now_ms + DRAIN_MAX_MS };
        }
    }

    /// Returns the assigned attempts that the leader commanded.
    pub fn of_leader(&self) -> Vec<Attempt> {
        attempts_of_leader(&self.assignments)
    }

    /// Returns the attempts that the leader commanded and that may run or start here, although the
    /// server was lost or has started again since.
    pub fn undecided(&self) -> Vec<Attempt> {
        attempts_of_leader(&self.inherited)
    }

    /// Records a foreign attempt that was listed as running. Returns whether the backend server is
    /// to be called now to stop it; that call is recorded as made.
    pub fn record_foreign(&mut self, now_ms: u64, attempt: Attempt) -> bool {
        let at_ms = self.foreign.entry(attempt).or_insert(0);
        let due = *at_ms == 0 || *at_ms + FOREIGN_STOP_MS <= now_ms;
        if due {
            *at_ms = now_ms;
        }
        due
    }

    /// Whether a stop of the attempt is still wanted and has not been confirmed.
    pub fn stop_due(&self, attempt: &Attempt) -> bool {
        match self.assignments.get(attempt) {
            Some(assignment) => {
                !matches!(assignment.state, State::StopConfirmed { .. })
                    && (assignment.stop_lease_ms.is_some() || assignment.state == State::Unanswered)
            }
            None => false,
        }
    }

    /// Returns the assigned attempts that neither run nor can start any more. Their stops were
    /// confirmed before a poll was sent at `sent_ms`, and its list of `running` attempts omits
    /// them. A poll of the same millisecond may have been sent before, and its list be older than a
    /// late start.
    pub fn absent_after_stop(&self, sent_ms: u64, running: &[Running]) -> Vec<Attempt> {
        let absent = |attempt: &Attempt, assignment: &Assignment| {
            matches!(assignment.state, State::StopConfirmed { at_ms } if at_ms < sent_ms)
                && !running.iter().any(|listed| listed.attempt == *attempt)
        };
        self.assignments
            .iter()
            .filter(|(attempt, a)| absent(attempt, a))
            .map(|(attempt, _)| *attempt)
            .collect()
    }
}
