//! The replicated state: comparison with a reference model, answers to operators, and bounds of
//! what it keeps.

#[path = "machine/reference.rs"]
mod reference;

use briargauge::{
    protocol::{
        id, job,
        wire::{self, control},
    },
    state::machine::{self, Command, Limits, Op, Reply, State},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use reference::Reference;

const START_MS: u64 = 1_800_000_000_000;
/// Number of random command sequences. With 100, a mutant that forgot the earlier executions of a
/// key that was taken over was not detected.
const SEQUENCES: u64 = 2_000;
const MINUTE_MS: i64 = 60_000;
const HOUR_MS: i64 = 60 * MINUTE_MS;
/// Texts of valid rules.
const VALID_RULES: [&str; 3] = ["", "team a share 2 # k: r\n", "# note\nteam a share 3 # k: r\n"];

/// What happens next. Sessions, jobs and commands are numbered from the newest backwards.
#[derive(Debug, Clone)]
enum Action {
    Register {
        start: u8,
    },
    Admit {
        session: u8,
        seq: u8,
        key: u8,
        digest: u8,
        /// Distance of the creation time from the usual one of the key, in ms.
        created_offset_ms: i64,
    },
    Finish {
        job: u8,
        session: u8,
        outcome: u8,
    },
    /// Finishes the job that was admitted last, through its own session.
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
        /// How many versions the base is behind the current one.
        versions_behind: u8,
        /// Position in `VALID_RULES`; beyond its end, the text is not valid.
        text: u8,
    },
    Retention {
        hours: u8,
    },
    /// An earlier command is applied again, with the clock it had the first time.
    Repeat {
        command: u8,
    },
    /// The state is written and read again.
    Snapshot,
}

#[derive(Debug, Clone)]
struct Step {
    advance_ms: i64,
    action: Action,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let any = u8::arbitrary;
        let small = |g: &mut Gen, n: u8| u8::arbitrary(g) % n;
        let advances = [0, 0, 0, 1, 1, 1_000, -1_000, 10 * MINUTE_MS, HOUR_MS, 13 * HOUR_MS];
        let offsets =
            [0, 0, 0, 0, 0, 0, 1, 5 * MINUTE_MS, 6 * MINUTE_MS, -12 * HOUR_MS, -25 * HOUR_MS];
        let action = match small(g, 24) {
            0 | 1 => Action::Register { start: small(g, 4) },
            2..8 => Action::Admit {
                session: small(g, 4),
                seq: small(g, 6),
                // There are few keys, so that most submissions have a known one.
                key: small(g, 8) / 3,
                digest: u8::from(small(g, 16) == 0),
                created_offset_ms: *g.choose(&offsets).expect("not empty"),
            },
            8 | 9 => Action::Finish { job: any(g), session: small(g, 4), outcome: small(g, 4) },
            10 | 11 | 18 | 19 => Action::FinishLast { outcome: small(g, 6) },
            12 => Action::Fence { session: small(g, 4) },
            13 => Action::Abandon { session: small(g, 4) },
            14 | 15 => Action::Change {
                id: small(g, 6),
                operator: small(g, 3),
                versions_behind: small(g, 3) / 2,
                text: small(g, 4),
            },
            16 if small(g, 3) == 0 => Action::Retention { hours: 1 + small(g, 30) },
            17 => Action::Snapshot,
            _ => Action::Repeat { command: any(g) },
        };
        Step { advance_ms: *g.choose(&advances).expect("not empty"), action }
    }
}

/// The state and its reference model, to which the same commands are applied.
struct Pair {
    state: State,
    reference: Reference,
    index: u64,
    clock_ms: i64,
    commands: Vec<Command>,
    epochs: Vec<id::Epoch>,
    jobs: Vec<(id::Job, id::Epoch)>,
}

/// The element `back` places before the last one, counted around the end of the list.
fn pick<T: Copy>(from: &[T], back: u8) -> Option<T> {
    (!from.is_empty()).then(|| from[from.len() - 1 - back as usize % from.len()])
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
            state: State::default(),
            reference: Reference::default(),
            index: 0,
            clock_ms: START_MS as i64,
            commands: Vec::new(),
            epochs: Vec::new(),
            jobs: Vec::new(),
        }
    }

    fn op(&self, action: &Action) -> Option<Op> {
        let epoch = |back: u8| pick(&self.epochs, back);
        Some(match *action {
            Action::Register { start } => Op::Register(control::Hello {
                addr: ([127, 0, 0, 1], 1_000 + u16::from(start)).into(),
                data_centre: "Saga".into(),
                start: start.into(),
            }),
            Action::Admit { session, seq, key: number, digest, created_offset_ms } => {
                let created_at_ms =
                    START_MS as i64 + i64::from(number) * HOUR_MS / 2 + created_offset_ms;
                Op::Admit(control::Admit {
                    execution: id::Execution { epoch: epoch(session)?, seq: seq.into() },
                    key: key(number),
                    digest: [digest; 32],
                    created_at_ms: created_at_ms as u64,
                    tasks: 1,
                })
            }
            Action::Finish { job, session, outcome: o } => {
                let (job, _) = pick(&self.jobs, job)?;
                Op::Finish(control::Finish { job, epoch: epoch(session)?, outcome: outcome(o) })
            }
            Action::FinishLast { outcome: o } => {
                let (job, epoch) = pick(&self.jobs, 0)?;
                Op::Finish(control::Finish { job, epoch, outcome: outcome(o) })
            }
            Action::Fence { session } => Op::Fence(vec![epoch(session)?]),
            Action::Abandon { session } => Op::Abandon(vec![epoch(session)?]),
            Action::Change { id, operator, versions_behind, text } => Op::Change(control::Change {
                id: format!("id-{id}"),
                operator: format!("operator-{operator}"),
                base: self.state.rules().version.saturating_sub(versions_behind.into()),
                text: VALID_RULES.get(text as usize).copied().unwrap_or("team a shaer 1").into(),
            }),
            Action::Retention { hours } => Op::Limit(Limits {
                retention_ms: u64::from(hours) * HOUR_MS as u64,
                ..Limits::default()
            }),
            Action::Repeat { .. } | Action::Snapshot => return None,
        })
    }

    fn step(&mut self, step: &Step) {
        self.clock_ms += step.advance_ms;
        let command = match &step.action {
            Action::Repeat { command } => {
                let position = self.commands.len().checked_sub(1 + *command as usize % 16);
                position.map(|at| self.commands[at].clone())
            }
            Action::Snapshot => {
                self.snapshot();
                None
            }
            action => self.op(action).map(|op| Command { now_ms: self.clock_ms as u64, op }),
        };
        if let Some(command) = command {
            self.apply(command);
        }
    }

    fn snapshot(&mut self) {
        let bytes = postcard::to_stdvec(&self.state).expect("the state serialises");
        let read: State = postcard::from_bytes(&bytes).expect("the serialised state is readable");
        assert_eq!(read, self.state);
        assert_eq!(postcard::to_stdvec(&read), Ok(bytes));
        self.state = read;
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        let reply = self.state.apply(self.index, command.clone());
        let correct = self.reference.apply(self.index, &command);
        assert!(
            correct.iter().any(|c| equivalent(c, &reply)),
            "{command:?}: replied {reply:?}, correct is one of {correct:?}"
        );
        match (&reply, &command.op) {
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
            assert_eq!(self.state.lookup(&key(number)), self.reference.lookup(&key(number)));
        }
        assert_eq!(self.state.rules(), &self.reference.rules());
        assert_eq!(self.state.history(3), self.reference.history(3));
        assert_eq!(self.state.sessions().live, self.reference.live());
        assert_eq!(self.state.open_jobs(), self.reference.open_jobs());
    }
}

/// Whether two replies are equal, apart from the wording of faults in a rules text.
fn equivalent(a: &Reply, b: &Reply) -> bool {
    use control::Changed::Invalid;
    match (a, b) {
        (Reply::Changed(Invalid { .. }), Reply::Changed(Invalid { .. })) => true,
        _ => a == b,
    }
}

/// Guards against replies that differ from those of the reference model in any sequence of
/// admissions, outcomes, fences, rules changes, repeated commands, clock steps and snapshots.
#[test]
fn random_commands_get_the_replies_of_the_reference_model() {
    fn agrees(steps: Vec<Step>) -> bool {
        let mut pair = Pair::new();
        steps.iter().for_each(|step| pair.step(step));
        pair.snapshot();
        true
    }
    QuickCheck::new().tests(SEQUENCES).quickcheck(agrees as fn(Vec<Step>) -> bool);
}

fn command(now_ms: u64, op: Op) -> Command {
    Command { now_ms, op }
}

fn change(id: &str, operator: &str, base: u64, text: &str) -> control::Change {
    control::Change { id: id.into(), operator: operator.into(), base, text: text.into() }
}

/// Guards against two accepted changes of one version, and against a resend that gets a different
/// answer from the first call, even after later changes and a snapshot.
#[test]
fn one_of_two_racing_changes_is_accepted() {
    let mut state = State::default();
    let first = change("c-1", "kana", 0, VALID_RULES[1]);
    let second = change("c-2", "emi", 0, VALID_RULES[2]);
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
        let next =
            change(&format!("n-{version}"), "ito", version, VALID_RULES[version as usize % 3]);
        let expected = control::Changed::Accepted { version: version + 1 };
        assert_eq!(apply(&mut state, &next), expected);
    }
    let bytes = postcard::to_stdvec(&state).expect("the state serialises");
    let mut state: State = postcard::from_bytes(&bytes).expect("the serialised state is readable");
    assert_eq!(apply(&mut state, &first), accepted);
    assert_eq!(apply(&mut state, &second), refused);
    assert_eq!(state.rules().version, 1_000);
    let reused = change("c-1", "kana", 0, VALID_RULES[2]);
    assert!(matches!(apply(&mut state, &reused), control::Changed::Invalid { .. }));
}

/// Guards against an answer about the history that is too large for a message.
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

/// Guards against memory that grows with the number of changes that operators submit.
#[test]
fn decisions_are_bounded() {
    let mut state = State::default();
    let mut sizes = Vec::new();
    for n in 0..3 * machine::DECISIONS_MAX as u64 {
        let bad = change(&format!("{n:08}"), "kana", 0, "x");
        state.apply(n + 1, command(START_MS, Op::Change(bad)));
        if (n + 1) % machine::DECISIONS_MAX as u64 == 0 {
            sizes.push(postcard::to_stdvec(&state).expect("the state serialises").len());
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

/// Guards against a record that grows each time its key is taken over, after an execution that
/// ended as `NotRun`.
#[test]
fn a_key_that_is_taken_over_often_stays_bounded() {
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
        sizes.push(postcard::to_stdvec(&state).expect("the state serialises").len());
    }
    assert!(sizes[199] <= sizes[9] + 16, "{} and {}", sizes[9], sizes[199]);
}

/// Guards against keys and answers that exceed the limits by more than the newest one or two, and
/// against a removed key that is admitted again.
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
    let resent = state.apply(index + 1, command(START_MS + 1_000, Op::Admit(admit(epoch, 5, 5))));
    assert_eq!(resent, Reply::Admission(control::Admission::Expired));
    let dropped = state.lookup(&admit(epoch, 950, 950).key);
    let answer_lost = |o: &wire::Outcome| {
        matches!(o, wire::Outcome::Failed { reason: job::Failure::AnswerLost, .. })
    };
    assert!(
        matches!(&dropped, control::Admission::Finished { outcome, .. } if answer_lost(outcome)),
        "{dropped:?}"
    );
}
