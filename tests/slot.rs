//! Admission of attempts at a backend server: random steps compared with a naive model, and
//! decisions in single situations.

use std::{
    collections::HashSet,
    sync::atomic::{AtomicUsize, Ordering},
};

use briargauge::{
    coordination::{
        lease::Lease,
        slot::{
            DECLARED_DEFAULT_MS, FENCED_EPOCHS_MAX, Limits, Next, OVERTAKE_MAX_MS, Request, Slots,
            Verdict,
        },
    },
    protocol::{
        id, job,
        wire::{
            control::{Sessions, SidecarView},
            sidecar::{NotStarted, Revoked},
        },
    },
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const INCARNATION: id::Incarnation = id::Incarnation(7);
const EPOCHS: [u64; 2] = [3, 4];
const LIMITS: Limits = Limits {
    slots: 4,
    connections: 3,
    queue: 4,
    kinds: Vec::new(),
    size: job::Needs { cpus: 10, memory_mb: 100, accelerators: 1 },
};
/// The seed is fixed so that a failure can be reproduced.
const SEED: u64 = 20_261_204;

fn view(lease_ms: u64, as_of: u64, live: &[u64]) -> SidecarView {
    let live = live.iter().copied().map(id::Epoch).collect();
    let sessions = Some(Sessions { as_of, live });
    SidecarView { lease_ms, confirmed_age_ms: 0, rules: None, sessions }
}

fn lease() -> Lease {
    let mut lease = Lease::default();
    lease.confirm(0, view(1_000_000_000, 4, &EPOCHS));
    lease
}

fn attempt(seq: u64, task: u16) -> id::Attempt {
    id::Attempt { execution: id::Execution { epoch: id::Epoch(EPOCHS[0]), seq }, task, number: 0 }
}

fn request(seq: u64, account: &str, declared_ms: u32) -> Request {
    Request {
        attempt: attempt(seq, 0),
        incarnation: INCARNATION,
        account: id::Account(account.into()),
        kind: "quote".into(),
        declared_ms: Some(declared_ms),
        needs: job::Needs::default(),
        deadline: 1_000_000_000,
    }
}

/// One step of a random test.
#[derive(Debug, Clone)]
enum Step {
    Offer {
        request: Request,
    },
    /// A running attempt ends, or it turns out that it was not sent to the backend server.
    End {
        /// Position among the running attempts, modulo their number.
        index: usize,
        sent: bool,
    },
    Cancel {
        execution: id::Execution,
    },
    Revoke {
        attempt: id::Attempt,
    },
    Withdraw {
        attempt: id::Attempt,
    },
    Wait {
        ms: u64,
    },
    Confirm {
        lease_ms: u64,
    },
    Fence {
        epoch: u64,
    },
    /// `None` opens admission again.
    SetClosed {
        reason: Option<NotStarted>,
    },
}

fn arbitrary_attempt(g: &mut Gen) -> id::Attempt {
    let execution =
        id::Execution { epoch: id::Epoch(*g.choose(&EPOCHS).unwrap()), seq: u64::arbitrary(g) % 6 };
    id::Attempt { execution, task: u16::arbitrary(g) % 4, number: u16::arbitrary(g) % 2 }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 32 {
            0..=13 => {
                let some = |g: &mut Gen, most: u32| match u8::arbitrary(g) % 3 {
                    0 => u32::arbitrary(g) % (most + 2),
                    _ => 0,
                };
                let needs = job::Needs {
                    cpus: some(g, 10) as u16,
                    memory_mb: some(g, 100),
                    accelerators: some(g, 1) as u16,
                };
                let declared = [None, Some(10), Some(50), Some(400), Some(3_000)];
                let request = Request {
                    attempt: arbitrary_attempt(g),
                    incarnation: id::Incarnation(7 + u64::from(u8::arbitrary(g) % 20 == 0)),
                    account: id::Account((*g.choose(&["a", "b", "c"]).unwrap()).into()),
                    kind: "quote".into(),
                    declared_ms: *g.choose(&declared).unwrap(),
                    needs,
                    deadline: u64::arbitrary(g) % 6_000_000,
                };
                Step::Offer { request }
            }
            14..=20 => Step::End { index: usize::arbitrary(g), sent: u8::arbitrary(g) % 4 > 0 },
            21..=22 => Step::Cancel { execution: arbitrary_attempt(g).execution },
            23..=24 => Step::Revoke { attempt: arbitrary_attempt(g) },
            25 => Step::Withdraw { attempt: arbitrary_attempt(g) },
            26..=28 => Step::Wait { ms: u64::arbitrary(g) % 400 },
            29 => Step::Confirm { lease_ms: u64::arbitrary(g) % 4_000 },
            30 if bool::arbitrary(g) => Step::Fence { epoch: *g.choose(&EPOCHS).unwrap() },
            30 => Step::Wait { ms: 1 },
            _ => {
                let reasons = [None, None, Some(NotStarted::Draining)];
                Step::SetClosed { reason: *g.choose(&reasons).unwrap() }
            }
        }
    }
}

/// State of an attempt in the model.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Queued,
    Running,
    Ended,
    Refused(NotStarted),
}

/// Model of admission: one list of all attempts that ever arrived, which is searched each time.
#[derive(Default)]
struct Naive {
    all: Vec<(Request, State, u64)>,
    cancelled: Vec<id::Execution>,
    revoked: Vec<id::Attempt>,
    fenced: Vec<u64>,
    lease_until: u64,
    closed: Option<NotStarted>,
    virtual_now: u64,
    finish_tags: Vec<(id::Account, u64)>,
}

impl Naive {
    fn in_state(&self, state: State) -> Vec<(Request, u64)> {
        let matching = self.all.iter().filter(|(_, s, _)| *s == state);
        matching.map(|(request, _, since)| (request.clone(), *since)).collect()
    }

    fn state(&self, attempt: id::Attempt) -> Option<State> {
        self.all.iter().find(|(a, ..)| a.attempt == attempt).map(|(_, state, _)| *state)
    }

    fn set(&mut self, attempt: id::Attempt, state: State) {
        for entry in &mut self.all {
            if entry.0.attempt == attempt {
                entry.1 = state;
            }
        }
    }

    fn obstacle(&self, now: u64, request: &Request) -> Option<NotStarted> {
        let execution = request.attempt.execution;
        let checks = [
            (now >= self.lease_until, NotStarted::NoLease),
            (self.fenced.contains(&execution.epoch.0), NotStarted::Fenced),
            (self.closed.is_some(), self.closed.unwrap_or(NotStarted::Draining)),
            (self.cancelled.contains(&execution), NotStarted::Revoked),
            (request.deadline <= now, NotStarted::Expired),
            (!fit(&[request.needs]), NotStarted::TooLarge),
        ];
        checks.into_iter().find(|(fails, _)| *fails).map(|(_, reason)| reason)
    }

    fn fits_now(&self, now: u64, request: &Request) -> bool {
        let mut beside: Vec<job::Needs> =
            self.in_state(State::Running).into_iter().map(|(a, _)| a.needs).collect();
        let free = beside.len() < 3;
        if let Some((first, since)) = self.in_state(State::Queued).into_iter().min_by_key(|w| w.1)
            && first.attempt != request.attempt
            && since + OVERTAKE_MAX_MS * 1_000 <= now
        {
            beside.push(first.needs);
        }
        beside.push(request.needs);
        free && fit(&beside)
    }

    fn start(&mut self, request: &Request) {
        self.virtual_now = self.start_tag(&request.account);
        self.finish_tags.retain(|(account, _)| *account != request.account);
        self.finish_tags.push((request.account.clone(), self.virtual_now + cost(request)));
        self.set(request.attempt, State::Running);
    }

    fn start_tag(&self, account: &id::Account) -> u64 {
        let finish =
            self.finish_tags.iter().find(|(a, _)| a == account).map_or(0, |(_, finish)| *finish);
        finish.max(self.virtual_now)
    }

    fn offer(&mut self, now: u64, request: &Request) -> Verdict {
        if request.incarnation != INCARNATION {
            return Verdict::Refused(NotStarted::WrongIncarnation);
        }
        match self.state(request.attempt) {
            Some(State::Queued | State::Running) => return Verdict::Duplicate,
            Some(State::Ended) => return Verdict::Forgotten,
            Some(State::Refused(reason)) => return Verdict::Refused(reason),
            None => {}
        }
        if self.revoked.contains(&request.attempt) {
            return Verdict::Refused(NotStarted::Revoked);
        }
        let (state, verdict) = match self.obstacle(now, request) {
            Some(reason) => (State::Refused(reason), Verdict::Refused(reason)),
            None if self.fits_now(now, request) => (State::Running, Verdict::Start),
            None if self.in_state(State::Queued).len() < 4 => (State::Queued, Verdict::Queued),
            None => (State::Refused(NotStarted::Full), Verdict::Refused(NotStarted::Full)),
        };
        self.all.push((request.clone(), state, now));
        if state == State::Running {
            self.start(request);
        }
        verdict
    }

    fn next(&mut self, now: u64) -> Option<Next> {
        let queued = self.in_state(State::Queued);
        for (request, _) in &queued {
            if let Some(reason) = self.obstacle(now, request) {
                self.set(request.attempt, State::Refused(reason));
                return Some(Next::Refuse(request.attempt, reason));
            }
        }
        let ready: Vec<(Request, u64)> =
            queued.into_iter().filter(|(request, _)| self.fits_now(now, request)).collect();
        let shortest = ready.iter().map(|(request, _)| cost(request)).min()?;
        let would_miss =
            |request: &Request| request.deadline <= now + (shortest + cost(request)) * 1_000;
        let mut order = ready.clone();
        order.sort_by_key(|(request, since)| {
            (self.start_tag(&request.account), cost(request), *since)
        });
        let mut urgent: Vec<_> =
            ready.into_iter().filter(|(request, _)| would_miss(request)).collect();
        urgent.sort_by_key(|(request, _)| request.deadline);
        let (request, _) = urgent.first().or(order.first())?.clone();
        self.start(&request);
        Some(Next::Start(request.attempt))
    }

    fn cancel(&mut self, execution: id::Execution) -> (Vec<id::Attempt>, Vec<id::Attempt>) {
        self.cancelled.push(execution);
        let attempts_in = |state| -> Vec<id::Attempt> {
            let all = self.in_state(state).into_iter().map(|(a, _)| a.attempt);
            all.filter(|a| a.execution == execution).collect()
        };
        let (queued, running) = (attempts_in(State::Queued), attempts_in(State::Running));
        queued.iter().for_each(|a| self.set(*a, State::Refused(NotStarted::Revoked)));
        (queued, running)
    }

    fn revoke(&mut self, attempt: id::Attempt) -> Revoked {
        match self.state(attempt) {
            Some(State::Running | State::Ended) => return Revoked::Started,
            Some(State::Queued) => self.set(attempt, State::Refused(NotStarted::Revoked)),
            Some(State::Refused(_)) => {}
            None => self.revoked.push(attempt),
        }
        Revoked::NotStarted
    }
}

/// Whether the worker has the resources for all of them together.
fn fit(all: &[job::Needs]) -> bool {
    all.iter().map(|n| u32::from(n.cpus)).sum::<u32>() <= 10
        && all.iter().map(|n| n.memory_mb).sum::<u32>() <= 100
        && all.iter().map(|n| u32::from(n.accelerators)).sum::<u32>() <= 1
}

fn cost(request: &Request) -> u64 {
    u64::from(request.declared_ms.unwrap_or(DECLARED_DEFAULT_MS))
}

/// The implementation and the model side by side, with the outcomes reported so far.
struct Pair {
    slots: Slots,
    lease: Lease,
    naive: Naive,
    now: u64,
    live: Vec<u64>,
    as_of: u64,
    started: HashSet<id::Attempt>,
    refused: HashSet<id::Attempt>,
}

impl Pair {
    fn new() -> Pair {
        Pair {
            slots: Slots::new(INCARNATION, LIMITS),
            lease: Lease::default(),
            naive: Naive::default(),
            now: 0,
            live: EPOCHS.to_vec(),
            as_of: 10,
            started: HashSet::new(),
            refused: HashSet::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        let now = self.now;
        match step {
            Step::Offer { request } => {
                let verdict = self.slots.offer(now, &self.lease, request.clone());
                assert_eq!(verdict, self.naive.offer(now, request));
                match verdict {
                    Verdict::Start => self.start(request.attempt),
                    Verdict::Refused(reason) if reason != NotStarted::WrongIncarnation => {
                        self.refuse(request.attempt);
                    }
                    _ => {}
                }
            }
            Step::End { index, sent } => self.end(*index, *sent),
            Step::Cancel { execution } => {
                let sorted = |mut both: (Vec<id::Attempt>, Vec<id::Attempt>)| {
                    both.0.sort();
                    both.1.sort();
                    both
                };
                let cancelled = sorted(self.slots.cancel(*execution));
                assert_eq!(cancelled, sorted(self.naive.cancel(*execution)));
                cancelled.0.into_iter().for_each(|a| self.refuse(a));
                assert!(
                    self.naive
                        .in_state(State::Queued)
                        .iter()
                        .all(|(a, _)| a.attempt.execution != *execution)
                );
            }
            Step::Revoke { attempt } => {
                let revoked = self.slots.revoke(*attempt);
                assert_eq!(revoked, self.naive.revoke(*attempt));
                match revoked {
                    Revoked::NotStarted => self.refuse(*attempt),
                    _ => assert!(self.started.contains(attempt)),
                }
            }
            Step::Withdraw { attempt } => {
                let queued = self.naive.state(*attempt) == Some(State::Queued);
                assert_eq!(self.slots.withdraw(*attempt), queued);
                if queued {
                    self.naive.revoke(*attempt);
                }
            }
            Step::Wait { ms } => self.now += ms * 1_000,
            Step::Confirm { lease_ms } => {
                self.lease.confirm(now, view(*lease_ms, self.as_of, &self.live));
                let until = now + lease_ms * 1_000;
                self.naive.lease_until = self.naive.lease_until.max(until);
            }
            Step::Fence { epoch } => {
                self.live.retain(|e| e != epoch);
                self.as_of += 1;
                self.lease.confirm(now, view(0, self.as_of, &self.live));
                self.naive.fenced.push(*epoch);
            }
            Step::SetClosed { reason } => {
                let changes = self.naive.closed != *reason;
                assert_eq!(self.slots.set_closed(*reason), changes);
                self.naive.closed = *reason;
            }
        }
        self.pump();
        self.check();
    }

    fn end(&mut self, index: usize, sent: bool) {
        let running = self.naive.in_state(State::Running);
        if running.is_empty() {
            return;
        }
        let attempt = running[index % running.len()].0.attempt;
        if sent {
            assert!(self.slots.ended(attempt));
            self.naive.set(attempt, State::Ended);
        } else {
            self.slots.not_started(attempt, NotStarted::Unreachable);
            self.naive.set(attempt, State::Refused(NotStarted::Unreachable));
            self.started.remove(&attempt);
            self.refuse(attempt);
        }
    }

    fn pump(&mut self) {
        loop {
            let next = self.slots.next(self.now, &self.lease);
            assert_eq!(next, self.naive.next(self.now));
            match next {
                None => return,
                Some(Next::Start(attempt)) => self.start(attempt),
                Some(Next::Refuse(attempt, _)) => self.refuse(attempt),
            }
        }
    }

    fn start(&mut self, attempt: id::Attempt) {
        assert!(self.started.insert(attempt), "{attempt} started twice");
        assert!(
            !self.refused.contains(&attempt),
            "{attempt} started after it was reported as not started"
        );
    }

    fn refuse(&mut self, attempt: id::Attempt) {
        assert!(
            !self.started.contains(&attempt),
            "{attempt} was reported as not started after its start"
        );
        self.refused.insert(attempt);
    }

    fn check(&self) {
        let load = self.slots.load();
        let running: Vec<_> = self.slots.running().collect();
        assert!(load.busy <= LIMITS.slots.min(LIMITS.connections));
        assert!(load.queued <= LIMITS.queue);
        assert_eq!(usize::from(load.busy), running.len());
        assert_eq!(running.len(), self.naive.in_state(State::Running).len());
        let queued = self.naive.in_state(State::Queued);
        assert_eq!(usize::from(load.queued), queued.len());
        let cpus: u16 = self.naive.in_state(State::Running).iter().map(|(a, _)| a.needs.cpus).sum();
        assert!(cpus <= LIMITS.size.cpus);
        let first = queued.iter().map(|(a, _)| a.deadline.min(self.naive.lease_until)).min();
        assert_eq!(self.slots.wake(&self.lease), first);
    }
}

/// Guards against more running attempts than slots or connections, a second start, a refusal that
/// is not final, cancelled work that stays queued, and any other difference from the naive model.
#[test]
fn slots_agree_with_the_naive_model() {
    fn property(steps: Vec<Step>) -> bool {
        let mut pair = Pair::new();
        pair.step(&Step::Confirm { lease_ms: 3_000 });
        steps.iter().for_each(|step| pair.step(step));
        true
    }
    let generator = Gen::from_size_and_seed(200, SEED);
    let mut check = QuickCheck::new().rng(generator).tests(2_000);
    check.quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a second start, or a false report of "not started", after ids have been dropped
/// to bound memory.
#[test]
fn dropped_ids_never_cause_a_second_start() {
    static FORGOTTEN: AtomicUsize = AtomicUsize::new(0);
    fn property(steps: Vec<Step>, remembered: u8) -> bool {
        let lease = lease();
        let mut slots =
            Slots::new(INCARNATION, LIMITS).with_remembered_max(usize::from(remembered % 12));
        let (mut started, mut refused) = (HashSet::new(), HashSet::new());
        for step in steps {
            match step {
                Step::Offer { request } if request.incarnation == INCARNATION => {
                    let attempt = request.attempt;
                    match slots.offer(0, &lease, request) {
                        Verdict::Start => assert!(started.insert(attempt), "second start"),
                        Verdict::Refused(_) => {
                            refused.insert(attempt);
                        }
                        Verdict::Forgotten => {
                            FORGOTTEN.fetch_add(1, Ordering::Relaxed);
                        }
                        _ => {}
                    }
                }
                Step::End { index, .. } => {
                    let running: Vec<_> = slots.running().collect();
                    if !running.is_empty() {
                        slots.ended(running[index % running.len()]);
                    }
                }
                Step::Cancel { execution } => refused.extend(slots.cancel(execution).0),
                Step::Revoke { attempt } if slots.revoke(attempt) == Revoked::NotStarted => {
                    refused.insert(attempt);
                }
                _ => {}
            }
            while let Some(next) = slots.next(0, &lease) {
                match next {
                    Next::Start(attempt) => assert!(started.insert(attempt), "second start"),
                    Next::Refuse(attempt, _) => {
                        refused.insert(attempt);
                    }
                }
            }
            assert!(started.is_disjoint(&refused), "started and reported as not started");
        }
        true
    }
    let generator = Gen::from_size_and_seed(300, SEED);
    let mut check = QuickCheck::new().rng(generator).tests(2_000);
    check.quickcheck(property as fn(Vec<Step>, u8) -> bool);
    assert!(
        FORGOTTEN.load(Ordering::Relaxed) > 1_000,
        "too few attempts were answered as forgotten"
    );
}

/// Fills the only slot, queues `requests` and returns the sequence numbers of their executions in
/// the order in which they start.
fn start_order(now: u64, requests: &[Request]) -> Vec<u64> {
    let (lease, mut slots) = (lease(), Slots::new(INCARNATION, Limits { slots: 1, ..LIMITS }));
    assert_eq!(slots.offer(now, &lease, request(1_000, "filler", 1)), Verdict::Start);
    for request in requests {
        assert_eq!(slots.offer(now, &lease, request.clone()), Verdict::Queued);
    }
    let mut order = Vec::new();
    let mut running = attempt(1_000, 0);
    while slots.ended(running) {
        if let Some(Next::Start(next)) = slots.next(now, &lease) {
            order.push(next.execution.seq);
            running = next;
        }
    }
    order
}

/// Guards against short tasks that wait behind long ones of the same account.
#[test]
fn shorter_tasks_start_first() {
    assert_eq!(
        start_order(0, &[request(1, "a", 3_000), request(2, "a", 50), request(3, "a", 400)]),
        [2, 3, 1]
    );
}

/// Guards against a long task that misses its deadline because short ones always start first.
#[test]
fn long_task_starts_first_if_it_would_miss_its_deadline() {
    let long = Request { deadline: 3_040_000, ..request(1, "a", 3_000) };
    assert_eq!(start_order(0, &[long, request(2, "a", 50), request(3, "a", 400)]), [1, 2, 3]);
}

/// Guards against an account that fills the queue and so delays another account's task.
#[test]
fn accounts_share_the_slots_fairly() {
    let requests =
        [request(1, "a", 100), request(2, "a", 100), request(3, "a", 100), request(4, "b", 100)];
    assert_eq!(start_order(0, &requests), [1, 4, 2, 3]);
}

/// Guards against a large task that never starts because small ones keep using the resources that
/// it needs.
#[test]
fn large_task_is_not_overtaken_forever() {
    let (lease, mut slots) = (lease(), Slots::new(INCARNATION, LIMITS));
    let with_cpus = |seq, cpus| {
        let needs = job::Needs { cpus, ..job::Needs::default() };
        Request { needs, ..request(seq, "a", 50) }
    };
    assert_eq!(slots.offer(0, &lease, with_cpus(1, 6)), Verdict::Start);
    assert_eq!(slots.offer(0, &lease, with_cpus(2, 8)), Verdict::Queued);
    assert_eq!(slots.offer(1, &lease, with_cpus(3, 4)), Verdict::Start);
    slots.ended(attempt(3, 0));
    let later = OVERTAKE_MAX_MS * 1_000;
    assert_eq!(slots.offer(later, &lease, with_cpus(4, 4)), Verdict::Queued);
    slots.ended(attempt(1, 0));
    assert_eq!(slots.next(later, &lease), Some(Next::Start(attempt(2, 0))));
}

/// Guards against a lease that outlasts its confirmation, because it is not shortened by the age
/// that the confirmation already had, and against a session list that is replaced by an older one.
#[test]
fn lease_is_shortened_by_the_age_of_its_confirmation_and_older_lists_are_ignored() {
    let mut lease = Lease::default();
    assert!(!lease.held(0), "lease held before any confirmation");
    let old = SidecarView { confirmed_age_ms: 400, ..view(1_000, 20, &[5, 12]) };
    lease.confirm(5_000_000, old);
    assert!(lease.held(5_599_999));
    assert!(!lease.held(5_600_000));
    lease.confirm(4_000_000, view(1_000, 19, &[5, 12, 13]));
    assert_eq!((lease.until(), lease.as_of()), (5_600_000, Some(20)));
    assert!(lease.fenced(id::Epoch(13)));
    assert!(!lease.fenced(id::Epoch(12)));
    assert!(!lease.fenced(id::Epoch(21)), "epoch registered after the list was made");
}

/// Guards against an attempt that ran and is reported as not started, to the entry whose session
/// has ended meanwhile, once its record has been dropped.
#[test]
fn dropped_attempts_of_fenced_epochs_may_have_started() {
    let mut lease = lease();
    let mut slots = Slots::new(INCARNATION, LIMITS).with_remembered_max(2);
    for seq in 1..=4 {
        assert_eq!(slots.offer(0, &lease, request(seq, "a", 10)), Verdict::Start);
        slots.ended(attempt(seq, 0));
    }
    lease.confirm(1, view(1_000_000_000, 5, &EPOCHS[1..]));
    assert!(lease.fenced(id::Epoch(EPOCHS[0])));
    slots.forget_fenced(&lease);
    assert_eq!(slots.offer(2, &lease, request(1, "a", 10)), Verdict::Forgotten);
    assert_eq!(slots.revoke(attempt(1, 0)), Revoked::Started);
}

/// Guards against a table that grows with each session that an entry ever had.
#[test]
fn dropped_attempts_of_old_epochs_are_forgotten() {
    let mut lease = Lease::default();
    let mut slots = Slots::new(INCARNATION, LIMITS).with_remembered_max(2);
    let epochs = 1..=3 * FENCED_EPOCHS_MAX as u64;
    for epoch in epochs.clone() {
        lease.confirm(epoch, view(1_000_000_000, epoch, &[epoch]));
        for seq in 1..=3 {
            let mut request = request(seq, "a", 10);
            request.attempt.execution.epoch = id::Epoch(epoch);
            let attempt = request.attempt;
            assert_eq!(slots.offer(epoch, &lease, request), Verdict::Start);
            slots.ended(attempt);
        }
        slots.forget_fenced(&lease);
        assert!(slots.epochs_with_dropped_ids() <= FENCED_EPOCHS_MAX + 1);
    }
    let mut newest_fenced = attempt(1, 0);
    newest_fenced.execution.epoch = id::Epoch(epochs.end() - 1);
    assert_eq!(slots.revoke(newest_fenced), Revoked::Started);
}
