//! Costs of a control instance: time, bytes and memory per heartbeat, report, admission and rule
//! change.

use std::{pin::Pin, time::Instant};

use briargauge::{
    coordination::{quota, registry},
    protocol::{
        id, job,
        rule::Rules,
        wire::{
            self,
            control::{self, Admission},
        },
    },
    state::machine::{Command, Limits, Op, Reply, State},
};
use tarpc::tokio_serde::{Deserializer, Serializer, formats::Bincode};

use crate::measure::{cpu, line, memory};

const NOW_MS: u64 = 1_800_000_000_000;
/// Backend servers that report to one instance at target size.
const SERVERS: u64 = 300;
/// Client accounts at target size.
const ACCOUNTS: usize = 760;
/// Entries that share quotas in the measurement.
const ENTRIES: u64 = 12;
/// Accounts for which an entry reports demand.
const ACCOUNTS_WITH_DEMAND: usize = 760;
/// Number of keys, jobs and admissions created for a measurement.
const ITEMS: u64 = 200_000;

pub fn print() {
    // Memory comes first: memory freed by another measurement would be reused without a growth of
    // the resident set.
    measure_memory();
    measure_heartbeats();
    measure_entry_reports();
    measure_admissions();
    measure_rule_changes();
}

pub fn server(n: u64) -> control::Server {
    control::Server {
        incarnation: id::Incarnation(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        addr: ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7_400).into(),
        data_centre: "Fukuoka".into(),
        rack: format!("rack-{}", n / 3),
        slots: 8,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs { cpus: 64, memory_mb: 128_000, accelerators: 1 },
        state: control::ServerState::Serving,
    }
}

pub fn bytes<T: serde::Serialize + Unpin>(item: &T) -> Vec<u8> {
    let mut format = Bincode::<(), T>::default();
    Pin::new(&mut format).serialize(item).expect("messages serialise").to_vec()
}

fn read<T: serde::de::DeserializeOwned + Unpin>(bytes: &[u8]) -> T {
    let mut format = Bincode::<T, ()>::default();
    let item: Result<T, _> = Pin::new(&mut format).deserialize(&bytes.into());
    item.expect("the message deserialises")
}

fn measure_heartbeats() {
    let rules = Rules::parse(&rules_text(0)).expect("valid");
    for servers in [SERVERS, 12 * SERVERS] {
        let mut table = registry::Registry::new(0, 1);
        let syncs: Vec<Vec<u8>> = (0..servers)
            .map(|n| {
                let server = Some(server(n));
                bytes(&control::SidecarSync { server, rules_version: 1, sessions: Some(1) })
            })
            .collect();
        cpu(&format!("heartbeat_of_{servers}"), 200_000, |n| {
            let sync: control::SidecarSync = read(&syncs[n % syncs.len()]);
            let server = sync.server.expect("announced");
            let drained = rules.drains(&server.data_centre, &server.rack, server.addr);
            table.announce(n as u64 / servers, &server, drained);
            bytes(&control::SidecarView {
                lease_ms: 3_000,
                confirmed_age_ms: 1,
                rules: None,
                sessions: None,
            })
        });
        line("bytes", "heartbeat", syncs[0].len() as f64, "bytes");
        cpu(&format!("expiry_look_at_{servers}"), 1_000, |n| table.expire(n as u64 / servers));
    }
}

fn demands(active: usize) -> Vec<control::Demand> {
    let demand = |n| control::Demand {
        account: id::Account(format!("team-{n:03}")),
        starts_per_s: (n % 50) as f64,
        held_per_s: 10.0,
    };
    (0..active).map(demand).collect()
}

fn measure_entry_reports() {
    let rules = Rules::parse(&rules_text(0)).expect("valid");
    let live: Vec<id::Epoch> = (1..=ENTRIES).map(id::Epoch).collect();
    let mut table = quota::Table::default();
    let sync = bytes(&control::EntrySync {
        epoch: live[0],
        number: 1,
        rules_version: 1,
        servers: None,
        demands: demands(ACCOUNTS_WITH_DEMAND),
    });
    cpu("entry_report_760_teams", 2_000, |n| {
        let sync: control::EntrySync = read(&sync);
        let epoch = live[n % live.len()];
        table.report(epoch, n as u64 + 1, &sync.demands);
        bytes(&table.grant(epoch, &rules, &live, &[]))
    });
    line("bytes", "entry_report_760_teams", sync.len() as f64, "bytes");
    let shares = table.grant(live[0], &rules, &live, &[]);
    line("bytes", "entry_view_760_shares", bytes(&shares).len() as f64, "bytes");
}

fn register(state: &mut State, index: u64) -> id::Epoch {
    let addr = ([10, 1, 1, 1], 7_300).into();
    let hello = control::Hello { addr, data_centre: "Fukuoka".into(), start: index };
    state.apply(index, Command { now_ms: NOW_MS, op: Op::Register(hello) });
    id::Epoch(index)
}

fn admit(epoch: id::Epoch, n: u64) -> Command {
    let op = Op::Admit(control::Admit {
        execution: id::Execution { epoch, seq: n },
        key: id::Key {
            account: id::Account("team-001".into()),
            key: format!("order-2026-{n:012}"),
        },
        digest: [7; 32],
        created_at_ms: NOW_MS + n / 2_000,
        tasks: 100,
    });
    Command { now_ms: NOW_MS + n / 2_000, op }
}

fn finish(epoch: id::Epoch, job: id::Job, answer_bytes: usize) -> Command {
    let answers = (0..100).map(|_| "x".repeat(answer_bytes / 100)).collect();
    let outcome = wire::Outcome::Completed(wire::Answer::Inline(answers));
    Command { now_ms: NOW_MS, op: Op::Finish(control::Finish { job, epoch, outcome }) }
}

fn measure_admissions() {
    let mut state = State::default();
    let epoch = register(&mut state, 1);
    let mut jobs = Vec::new();
    cpu("admission_apply", ITEMS as usize, |n| {
        let index = 2 + n as u64;
        let reply = state.apply(index, admit(epoch, n as u64));
        assert!(matches!(reply, Reply::Admission(Admission::Admitted { .. })));
        jobs.push(id::Job(index));
    });
    let half = ITEMS as usize / 2;
    let mut finish_commands: Vec<Option<Command>> = Vec::new();
    finish_commands
        .extend(jobs[..half + half / 10].iter().map(|job| Some(finish(epoch, *job, 1_000))));
    cpu("finish_apply_100_answers_of_10_bytes", half, |n| {
        state.apply(
            10_000_000 + n as u64,
            finish_commands[n].take().expect("each command is applied once"),
        )
    });
    let record = |command: &Command| postcard::to_stdvec(command).expect("serialises").len() as f64;
    line("bytes", "admission_record", record(&admit(epoch, 1)), "bytes");
    line("bytes", "finish_record_1000_bytes", record(&finish(epoch, jobs[0], 1_000)), "bytes");
    let start = Instant::now();
    let snapshot = postcard::to_stdvec(&state).expect("serialises");
    let keys = state.keys() as f64;
    line("cpu", "key_in_snapshot", start.elapsed().as_secs_f64() * 1e6 / keys, "us");
    line("bytes", "key_in_snapshot", snapshot.len() as f64 / keys, "bytes");
    let start = Instant::now();
    let read: State = postcard::from_bytes(&snapshot).expect("reads");
    line("cpu", "key_read_from_snapshot", start.elapsed().as_secs_f64() * 1e6 / keys, "us");
    drop(read);
}

/// Rules of all accounts at target size; `changed` varies the quota of one of them.
fn rules_text(changed: usize) -> String {
    let lines = (0..ACCOUNTS).map(|n| {
        let quota = if n == 17 { 300 + changed % 1_000 } else { 300 };
        format!(
            "team team-{n:03} quota {quota} starts/s # kana: agreed in March, ticket 4711\n\
             team team-{n:03} share {} # kana: weight\n",
            1 + n % 5
        )
    });
    lines.collect()
}

fn measure_rule_changes() {
    let text = rules_text(0);
    line("bytes", "rules_text_760_teams", text.len() as f64, "bytes");
    cpu("rules_parse_760_teams", 200, |_| Rules::parse(&text));
    let rules = Rules::parse(&text).expect("valid");
    cpu("rules_lookup_of_team", 1_000_000, |_| rules.account("team-500"));
    let mut state = State::default();
    let change = |n: usize| {
        let (id, operator) = (format!("change-{n}"), "kana".into());
        let op = Op::Change(control::Change { id, operator, base: n as u64, text: rules_text(n) });
        Command { now_ms: NOW_MS, op }
    };
    cpu("rule_change_apply", 500, |n| state.apply(n as u64 + 1, change(n)));
    let record = postcard::to_stdvec(&change(1)).expect("serialises").len();
    line("bytes", "rule_change_record", record as f64, "bytes");
}

fn measure_memory() {
    let servers = 50_000;
    let _table = memory("backend_server", servers, || {
        let mut table = registry::Registry::new(0, 1);
        (0..servers as u64).for_each(|n| table.announce(0, &server(n), false));
        table
    });
    let sessions = 100_000;
    let _state = memory("session", sessions, || {
        let mut state = State::default();
        (0..sessions as u64).for_each(|n| {
            // A registration searches the live sessions for one of the same process start, so each
            // session is fenced before the next registration.
            let epoch = register(&mut state, n + 1);
            let op = Op::Fence(vec![epoch]);
            state.apply(n + 1, Command { now_ms: NOW_MS, op });
        });
        state
    });
    let rules =
        memory("team_with_rules", ACCOUNTS, || Rules::parse(&rules_text(0)).expect("valid"));
    let live: Vec<id::Epoch> = (1..=ENTRIES).map(id::Epoch).collect();
    let _quotas = memory("team_and_entry_share", ACCOUNTS * ENTRIES as usize, || {
        let mut table = quota::Table::default();
        for epoch in &live {
            table.report(*epoch, 1, &demands(ACCOUNTS_WITH_DEMAND));
            table.grant(*epoch, &rules, &live, &[]);
        }
        table
    });
    let (mut state, epoch) = memory("open_job", ITEMS as usize, || {
        let mut state = State::default();
        let limits = Limits { keys_max: 2 * ITEMS, ..Limits::default() };
        state.apply(1, Command { now_ms: NOW_MS, op: Op::Limit(limits) });
        let epoch = register(&mut state, 2);
        (0..ITEMS).for_each(|n| drop(state.apply(3 + n, admit(epoch, n))));
        (state, epoch)
    });
    let retained = memory("key_with_answer_of_1000_bytes", ITEMS as usize / 10, || {
        let mut state = State::default();
        let epoch = register(&mut state, 2);
        (0..ITEMS / 10).for_each(|n| {
            state.apply(3 + 2 * n, admit(epoch, n));
            state.apply(4 + 2 * n, finish(epoch, id::Job(3 + 2 * n), 1_000));
        });
        state
    });
    assert_eq!(retained.open_jobs(), 0);
    memory("finished_key_beyond_open_job_without_answer", ITEMS as usize, || {
        (0..ITEMS).for_each(|n| {
            let reason = job::Failure::TaskFailed;
            let outcome = wire::Outcome::Failed { reason, detail: String::new() };
            let op = Op::Finish(control::Finish { job: id::Job(3 + n), epoch, outcome });
            state.apply(3 + ITEMS + n, Command { now_ms: NOW_MS, op });
        });
    });
}
