//! Costs of the entry: memory for each backend server, account and task, and time and bytes of a
//! task start.

use briargauge::{
    coordination::dispatch::{
        AccountSettings, Action, Dispatcher, Ended, Settings, Spec, TaskSpec,
    },
    metric,
    protocol::{
        id, job,
        wire::{control, sidecar},
    },
};
use prometheus::Registry;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    control::{bytes, server},
    measure::{cpu, line, memory},
};

/// Backend servers at target size.
const SERVERS: u64 = 3_600;
/// Client accounts at target size.
const ACCOUNTS: usize = 760;
/// Tasks of each job.
const TASKS_PER_JOB: usize = 100;
/// Jobs queued to measure memory.
const QUEUED_JOBS: u64 = 2_000;
/// Length of a task's input and answer, in bytes.
const JSON_BYTES: usize = 100;

pub fn print() {
    let mut dispatcher = measure_memory();
    measure_starts(&mut dispatcher);
    measure_messages();
}

fn account(n: usize) -> id::Account {
    id::Account(format!("team-{:03}", n % ACCOUNTS))
}

fn measure_memory() -> Dispatcher {
    let changed: Vec<control::Server> = (0..SERVERS).map(server).collect();
    let revision = control::Revision { term: 1, number: 1 };
    let servers = control::Servers { revision, full: true, changed, removed: Vec::new() };
    let mut dispatcher = memory("backend_server", SERVERS as usize, || {
        let mut dispatcher = Dispatcher::new(Settings::default());
        dispatcher.set_servers(1, &servers);
        dispatcher
    });
    let accounts: Vec<_> =
        (0..ACCOUNTS).map(|n| (account(n), AccountSettings::default())).collect();
    let shares: Vec<_> =
        (0..ACCOUNTS).map(|n| control::Share { account: account(n), starts_per_s: 1e6 }).collect();
    memory("team_with_quota", ACCOUNTS, || {
        dispatcher.set_accounts(1, &accounts);
        dispatcher.set_shares(1, &shares);
    });
    memory("team_in_metrics", ACCOUNTS, || {
        let registry = Registry::new();
        let response = metric::seconds(&registry, "response", "-", &["team", "class"]);
        let task = metric::seconds(&registry, "task", "-", &["team"]);
        for n in 0..ACCOUNTS {
            let account = account(n).0;
            response.with_label_values(&[account.as_str(), "job"]).observe(0.1);
            task.with_label_values(&[account.as_str()]).observe(0.1);
        }
        registry
    });
    memory("queued_task", QUEUED_JOBS as usize * TASKS_PER_JOB, || {
        for seq in 0..QUEUED_JOBS {
            submit(&mut dispatcher, seq);
        }
    });
    dispatcher
}

fn submit(dispatcher: &mut Dispatcher, seq: u64) {
    let task = TaskSpec {
        kind: format!("kind-{}", seq % 20),
        declared_ms: Some(100),
        needs: job::Needs::default(),
    };
    let spec = Spec {
        account: account(seq as usize),
        tasks: vec![task; TASKS_PER_JOB],
        deadline: 600_000_000,
        restartable: false,
    };
    let execution = id::Execution { epoch: id::Epoch(1), seq };
    // The dispatcher refuses a job only if enough tasks are queued, which is harmless here.
    let _ = dispatcher.submit(1, execution, spec);
}

/// Measures one start decision together with the end of the attempt.
fn measure_starts(dispatcher: &mut Dispatcher) {
    let mut random = Pcg64::seed_from_u64(1);
    let mut seq = QUEUED_JOBS;
    cpu("task_start", 100_000, |n| {
        let now = n as u64 * 40;
        if dispatcher.queued() < TASKS_PER_JOB {
            submit(dispatcher, seq);
            seq += 1;
        }
        if let Some(Action::Start { attempt, .. }) = dispatcher.poll(now, &mut random) {
            let load = sidecar::Load { slots: 8, busy: 4, queued: 0 };
            dispatcher.ended(now, attempt, Some(load), Ended::Done { ran_us: 100_000 });
        }
    });
}

fn measure_messages() {
    let attempt = id::Attempt {
        execution: id::Execution { epoch: id::Epoch(9_000), seq: 1 << 30 },
        task: 7,
        number: 0,
    };
    let call = sidecar::Task {
        attempt,
        incarnation: id::Incarnation(u64::MAX),
        account: account(1),
        kind: "quote".into(),
        input: "x".repeat(JSON_BYTES),
        declared_ms: Some(100),
        needs: job::Needs::default(),
        left_ms: 20_000,
    };
    line("bytes", "run_call", bytes(&call).len() as f64, "bytes");
    let reply = sidecar::Reply {
        attempt,
        load: sidecar::Load::default(),
        result: sidecar::RunResult::Done {
            answer: "x".repeat(JSON_BYTES),
            crc: 1,
            ran_us: 100_000,
        },
    };
    line("bytes", "run_reply", bytes(&reply).len() as f64, "bytes");
    let changed: Vec<control::Server> = (0..SERVERS).map(server).collect();
    line("bytes", "full_member_list", bytes(&changed).len() as f64, "bytes");
}
