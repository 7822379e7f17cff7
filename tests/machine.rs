//! The replicated state against an obvious version of it, and what it promises to operators.

#[path = "machine/naive.rs"]
mod naive;

use briargauge::{
    protocol::{
        id, job,
        wire::{self, control},
    },
    state::machine::{self, Command, Limits, Op, Reply, State},
};
use naive::Naive;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START_MS: u64 = 1_800_000_000_000;
/// Histories tried. With 100, a mutant that forgets earlier runs of a freed key was not found.
const HISTORIES: u64 = 2_000;
const MINUTE_MS: i64 = 60_000;
const HOUR_MS: i64 = 60 * MINUTE_MS;
const VALID: [&str; 3] = ["", "team a share 2 # k: r\n", "# note\nteam a share 3 # k: r\n"];

/// What happens next, in terms of what has happened.
#[derive(Debug, Clone)]
enum Act {
    Register {
        start: u8,
    },
    Admit {
        session: u8,
        seq: u8,
        key: u8,
        digest: u8,
        created: i64,
    },
    Finish {
        job: u8,
        session: u8,
        outcome: u8,
    },
    /// Ends the job that was admitted last, as its own session.
    FinishLast {
        outcome: u8,
    },
    Fence {
        session: u8,
    },
    Abandon {
        session: u8,
    },
    Change {
        id: u8,
        operator: u8,
        back: u8,
        text: u8,
    },
    Retention {
        hours: u8,
    },
    /// An earlier command arrives once more, at its own time.
    Late {
        command: u8,
    },
    Snapshot,
}

#[derive(Debug, Clone)]
struct Step {
    advance_ms: i64,
    act: Act,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let any = u8::arbitrary;
        let small = |g: &mut Gen, n: u8| u8::arbitrary(g) % n;
        let advances = [0, 0, 0, 1, 1, 1_000, -1_000, 10 * MINUTE_MS, HOUR_MS, 13 * HOUR_MS];
        let offsets =
            [0, 0, 0, 0, 0, 0, 1, 5 * MINUTE_MS, 6 * MINUTE_MS, -12 * HOUR_MS, -25 * HOUR_MS];
        let act = match small(g, 24) {
            0 | 1 => Act::Register { start: small(g, 4) },
            2..8 => Act::Admit {
                session: small(g, 4),
                seq: small(g, 6),
                // Few keys, so that most submissions meet a known one.
                key: small(g, 8) / 3,
                digest: u8::from(small(g, 16) == 0),
                created: *g.choose(&offsets).expect("not empty"),
            },
            8 | 9 => Act::Finish { job: any(g), session: small(g, 4), outcome: small(g, 4) },
            10 | 11 | 18 | 19 => Act::FinishLast { outcome: small(g, 6) },
            12 => Act::Fence { session: small(g, 4) },
            13 => Act::Abandon { session: small(g, 4) },
            14 | 15 => Act::Change {
                id: small(g, 6),
                operator: small(g, 3),
                back: small(g, 3) / 2,
                text: small(g, 4),
            },
            16 if small(g, 3) == 0 => Act::Retention { hours: 1 + small(g, 30) },
            17 => Act::Snapshot,
            _ => Act::Late { command: any(g) },
        };
        Step { advance_ms: *g.choose(&advances).expect("not empty"), act }
    }
}

/// Both versions side by side.
struct Pair {
    real: State,
    naive: Naive,
    index: u64,
    clock_ms: i64,
    commands: Vec<Command>,
    epochs: Vec<id::Epoch>,
    jobs: Vec<(id::Job, id::Epoch)>,
}

fn pick<T: Copy>(from: &[T], at: u8) -> Option<T> {
    (!from.is_empty()).then(|| from[from.len() - 1 - at as usize % from.len()])
}

fn outcome(variant: u8) -> wire::Outcome {
    match variant {
        0 => wire::Outcome::Completed(wire::Answer::Inline(vec!["1".into(), "22".into()])),
        1 => wire::Outcome::Failed { reason: job::Failure::TaskFailed, detail: "x".into() },
        _ => wire::Outcome::NotRun { reason: job::Refusal::Overloaded, detail: String::new() },
    }
}

fn key(number: u8) -> id::Key {
    id::Key { account: id::Account("repair".into()), key: format!("key-{number}") }
}

impl Pair {
    fn new() -> Pair {
        Pair {
            real: State::default(),
            naive: Naive::default(),
            index: 0,
            clock_ms: START_MS as i64,
            commands: Vec::new(),
            epochs: Vec::new(),
            jobs: Vec::new(),
        }
    }

    fn op(&self, act: &Act) -> Option<Op> {
        let epoch = |at: u8| pick(&self.epochs, at);
        Some(match *act {
            Act::Register { start } => Op::Register(control::Hello {
                addr: ([127, 0, 0, 1], 1_000 + u16::from(start)).into(),
                data_centre: "Saga".into(),
                start: start.into(),
            }),
            Act::Admit { session, seq, key: number, digest, created } => {
                let created_at_ms = START_MS as i64 + i64::from(number) * HOUR_MS / 2 + created;
                Op::Admit(control::Admit {
                    execution: id::Execution { epoch: epoch(session)?, seq: seq.into() },
                    key: key(number),
                    digest: [digest; 32],
                    created_at_ms: created_at_ms as u64,
                    tasks: 1,
                })
            }
            Act::Finish { job, session, outcome: o } => {
                let (job, _) = pick(&self.jobs, job)?;
                Op::Finish(control::Finish { job, epoch: epoch(session)?, outcome: outcome(o) })
            }
            Act::FinishLast { outcome: o } => {
                let (job, epoch) = pick(&self.jobs, 0)?;
                Op::Finish(control::Finish { job, epoch, outcome: outcome(o) })
            }
            Act::Fence { session } => Op::Fence(vec![epoch(session)?]),
            Act::Abandon { session } => Op::Abandon(vec![epoch(session)?]),
            Act::Change { id, operator, back, text } => Op::Change(control::Change {
                id: format!("id-{id}"),
                operator: format!("operator-{operator}"),
                base: self.real.rules().version.saturating_sub(back.into()),
                text: VALID.get(text as usize).copied().unwrap_or("team a shaer 1").into(),
            }),
            Act::Retention { hours } => Op::Limit(Limits {
                retention_ms: u64::from(hours) * HOUR_MS as u64,
                ..Limits::default()
            }),
            Act::Late { .. } | Act::Snapshot => return None,
        })
    }

    fn step(&mut self, step: &Step) {
        self.clock_ms += step.advance_ms;
        let command = match &step.act {
            Act::Late { command } => {
                let late = self.commands.len().checked_sub(1 + *command as usize % 16);
                late.map(|at| self.commands[at].clone())
            }
            Act::Snapshot => {
                self.snapshot();
                None
            }
            act => self.op(act).map(|op| Command { now_ms: self.clock_ms as u64, op }),
        };
        if let Some(command) = command {
            self.apply(command);
        }
    }

    fn snapshot(&mut self) {
        let bytes = postcard::to_stdvec(&self.real).expect("the state can be written");
        let read: State = postcard::from_bytes(&bytes).expect("the state can be read");
        assert_eq!(read, self.real);
        assert_eq!(postcard::to_stdvec(&read), Ok(bytes));
        self.real = read;
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        let real = self.real.apply(self.index, command.clone());
        let naive = self.naive.apply(self.index, &command);
        assert!(naive.iter().any(|n| alike(n, &real)), "{command:?}: {real:?}, not {naive:?}");
        match (&real, &command.op) {
            (Reply::Registered(epoch), _) if !self.epochs.contains(epoch) => {
                self.epochs.push(*epoch);
            }
            (Reply::Admission(control::Admission::Admitted { job }), Op::Admit(admit))
                if self.jobs.iter().all(|(known, _)| known != job) =>
            {
                self.jobs.push((*job, admit.execution.epoch));
            }
            _ => {}
        }
        self.commands.push(command);
        for number in 0..4 {
            assert_eq!(self.real.lookup(&key(number)), self.naive.lookup(&key(number)));
        }
        assert_eq!(self.real.rules(), &self.naive.rules());
        assert_eq!(self.real.history(3), self.naive.history(3));
        assert_eq!(self.real.sessions().live, self.naive.live());
        assert_eq!(self.real.open_jobs(), self.naive.open_jobs());
    }
}

/// Equal, except that the wording of faults in a rules text is not compared.
fn alike(a: &Reply, b: &Reply) -> bool {
    use control::Changed::Invalid;
    match (a, b) {
        (Reply::Changed(Invalid { .. }), Reply::Changed(Invalid { .. })) => true,
        _ => a == b,
    }
}

/// Guards against answers that differ from those of the obvious version in any history of
/// admissions, ends, fences, rule changes, late copies, clock steps and snapshots.
#[test]
fn agrees_with_naive() {
    fn agrees(steps: Vec<Step>) -> bool {
        let mut pair = Pair::new();
        steps.iter().for_each(|step| pair.step(step));
        pair.snapshot();
        true
    }
    QuickCheck::new().tests(HISTORIES).quickcheck(agrees as fn(Vec<Step>) -> bool);
}

fn command(now_ms: u64, op: Op) -> Command {
    Command { now_ms, op }
}

fn change(id: &str, operator: &str, base: u64, text: &str) -> control::Change {
    control::Change { id: id.into(), operator: operator.into(), base, text: text.into() }
}

/// Guards against two accepted changes on one version, and against a resend that gets another
/// answer than the first, also when later changes and a snapshot lie between.
#[test]
fn racing_operators() {
    let mut state = State::default();
    let first = change("c-1", "kana", 0, VALID[1]);
    let second = change("c-2", "emi", 0, VALID[2]);
    let mut index = 0;
    let mut apply = |state: &mut State, change: &control::Change| {
        index += 1;
        match state.apply(index, command(START_MS, Op::Change(change.clone()))) {
            Reply::Changed(changed) => changed,
            other => panic!("{other:?}"),
        }
    };
    let accepted = apply(&mut state, &first);
    let refused = apply(&mut state, &second);
    assert_eq!(accepted, control::Changed::Accepted { version: 1 });
    assert_eq!(refused, control::Changed::Conflict { version: 1, winner: "kana".into() });
    for version in 1..1_000 {
        let next = change(&format!("n-{version}"), "ito", version, VALID[version as usize % 3]);
        let expected = control::Changed::Accepted { version: version + 1 };
        assert_eq!(apply(&mut state, &next), expected);
    }
    let bytes = postcard::to_stdvec(&state).expect("the state can be written");
    let mut state: State = postcard::from_bytes(&bytes).expect("the state can be read");
    assert_eq!(apply(&mut state, &first), accepted);
    assert_eq!(apply(&mut state, &second), refused);
    assert_eq!(state.rules().version, 1_000);
    let reused = change("c-1", "kana", 0, VALID[2]);
    assert!(matches!(apply(&mut state, &reused), control::Changed::Invalid { .. }));
}

/// Guards against an answer about the history that is too long for a message.
#[test]
fn history_answers_are_bounded() {
    let mut state = State::default();
    let long = |n: u64| format!("# {n:02} {}\n", "x".repeat(machine::RULES_MAX_BYTES - 6));
    for n in 0..20 {
        let next = change(&format!("c-{n}"), "kana", n, &long(n));
        state.apply(n + 1, command(START_MS, Op::Change(next)));
    }
    let newest = state.history(100);
    assert_eq!(newest.len(), 16);
    assert!(newest.iter().zip((0..20).rev()).all(|(a, n)| a.text == long(n)));
}

/// Guards against memory that grows with the number of operators' attempts.
#[test]
fn decisions_are_bounded() {
    let mut state = State::default();
    let mut sizes = Vec::new();
    for n in 0..3 * machine::DECISIONS_MAX as u64 {
        let bad = change(&format!("{n:08}"), "kana", 0, "x");
        state.apply(n + 1, command(START_MS, Op::Change(bad)));
        if (n + 1) % machine::DECISIONS_MAX as u64 == 0 {
            sizes.push(postcard::to_stdvec(&state).expect("the state can be written").len());
        }
    }
    assert_eq!(sizes[1], sizes[2]);
}

fn register(state: &mut State, index: u64) -> id::Epoch {
    let addr = ([127, 0, 0, 1], 1).into();
    let hello = control::Hello { addr, data_centre: "Saga".into(), start: index };
    let reply = state.apply(index, command(START_MS, Op::Register(hello)));
    assert_eq!(reply, Reply::Registered(id::Epoch(index)));
    id::Epoch(index)
}

fn admit(epoch: id::Epoch, seq: u64, number: u64) -> control::Admit {
    control::Admit {
        execution: id::Execution { epoch, seq },
        key: id::Key { account: id::Account("a".into()), key: number.to_string() },
        digest: [0; 32],
        created_at_ms: START_MS + number,
        tasks: 1,
    }
}

/// Guards against a record that grows each time its key is freed and taken again.
#[test]
fn freed_keys_are_bounded() {
    let mut state = State::default();
    let epochs = [register(&mut state, 1), register(&mut state, 2)];
    let mut sizes = Vec::new();
    for n in 0..200 {
        let (epoch, index) = (epochs[n as usize % 2], 1_000 + 2 * n);
        let reply = state.apply(index, command(START_MS, Op::Admit(admit(epoch, n, 0))));
        let job = id::Job(index);
        assert_eq!(reply, Reply::Admission(control::Admission::Admitted { job }));
        let finish = control::Finish { job, epoch, outcome: outcome(2) };
        state.apply(index + 1, command(START_MS, Op::Finish(finish)));
        sizes.push(postcard::to_stdvec(&state).expect("the state can be written").len());
    }
    assert!(sizes[199] <= sizes[9] + 16, "{} and {}", sizes[9], sizes[199]);
}

/// Guards against keys, jobs and answers that outlive their bound, and against a forgotten key
/// that is admitted once more.
#[test]
fn keys_and_answers_are_bounded() {
    let mut state = State::default();
    let limits = Limits { keys_max: 100, answers_max_bytes: 1_000, ..Limits::default() };
    state.apply(1, command(START_MS, Op::Limit(limits)));
    let epoch = register(&mut state, 2);
    let mut index = 2;
    for n in 0..1_000 {
        index += 1;
        state.apply(index, command(START_MS + n, Op::Admit(admit(epoch, n, n))));
        let answer = wire::Answer::Inline(vec!["x".repeat(100)]);
        let outcome = wire::Outcome::Completed(answer);
        let finish = control::Finish { job: id::Job(index), epoch, outcome };
        index += 1;
        state.apply(index, command(START_MS + n, Op::Finish(finish)));
    }
    assert!(state.keys() <= 102, "{}", state.keys());
    assert!(state.answer_bytes() <= 1_100, "{}", state.answer_bytes());
    assert_eq!(state.open_jobs(), 0);
    let again = state.apply(index + 1, command(START_MS + 1_000, Op::Admit(admit(epoch, 5, 5))));
    assert_eq!(again, Reply::Admission(control::Admission::Expired));
    let dropped = state.lookup(&admit(epoch, 950, 950).key);
    let lost = |o: &wire::Outcome| {
        matches!(o, wire::Outcome::Failed { reason: job::Failure::AnswerLost, .. })
    };
    assert!(
        matches!(&dropped, control::Admission::Finished { outcome, .. } if lost(outcome)),
        "{dropped:?}"
    );
}
