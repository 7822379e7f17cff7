//! The memory that counts for a job covers what the job takes, at a leader and after a restart from a
//! snapshot.

use std::sync::Arc;

use briargauge::{
    coordination::{schedule::Scheduler, transient},
    protocol::queue::{Id, Job, Queue, Step},
    state::machine::{
        Command, Op, State,
        queue::{Change, Queues, Submission},
    },
};
use peak_alloc::PeakAlloc;

mod durable;

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

const KEEP_MS: u64 = 1_000;

/// A replicated state with stored jobs, and the leader's scheduler.
struct Leader {
    state: State,
    scheduler: Scheduler,
    index: u64,
}

impl Leader {
    fn new() -> Leader {
        let state = State::default();
        let scheduler = Scheduler::new(1, 0, state.queues());
        let mut leader = Leader { state, scheduler, index: 0 };
        leader.apply(0, Change::Configure(Arc::new(durable::config(2))));
        leader
    }

    fn apply(&mut self, now_ms: u64, change: Change) {
        self.index += 1;
        self.state.apply(self.index, Command { now_ms, op: Op::Queue(vec![change]) });
    }

    fn submit(&mut self, id: Id, job: Job) {
        let (host, path) = (durable::HOST.to_owned(), format!("/q/{id}"));
        let submission = Submission { id, host, path, job, term: 1, keep_ms: KEEP_MS };
        self.apply(0, Change::Submit(submission));
        self.scheduler.accept(0, id, self.state.queues());
    }

    fn queues(&self) -> &Queues {
        self.state.queues()
    }
}

/// Adds transient jobs to the scheduler of an entry. Returns it with the memory that counts for them.
fn submit_transient(job: &Job, count: u64) -> (transient::Scheduler, usize) {
    let mut scheduler = transient::Scheduler::default();
    for id in 0..count {
        scheduler.submit(0, Id(id), &Queue::default(), job.clone());
    }
    (scheduler, count as usize * transient::memory_bytes(job))
}

/// Jobs of which each takes much memory for its size, and a small one.
fn shapes() -> [(&'static str, Job); 4] {
    let step = |tasks| Step { tasks, ..Step::default() };
    let labelled =
        Step { required_label: Some("a".into()), data_rack: Some("b".into()), ..step(1) };
    [
        ("wide", Job::new(String::new(), vec![step(10_000)])),
        ("long", Job::new(String::new(), vec![step(1); 9_000])),
        ("labelled", Job::new(String::new(), vec![labelled; 4_000])),
        ("small", durable::job(4)),
    ]
}

/// Guards against bounds that count less than jobs take, so that an instance exceeds its memory, and
/// against memory that counts as used after the jobs are gone.
#[test]
fn the_memory_of_jobs_is_counted_and_freed() {
    for (shape, job) in shapes() {
        let count = if shape == "small" { 1_000 } else { 10 };
        let before = MEMORY.current_usage();
        let (scheduler, counted) = submit_transient(&job, count);
        let taken = MEMORY.current_usage() - before;
        assert!(taken <= counted, "transient {shape}: {taken} bytes are taken, {counted} counted");
        drop(scheduler);
        let before = MEMORY.current_usage();
        let mut leader = Leader::new();
        for id in 0..count {
            leader.submit(Id(id), job.clone());
        }
        let taken = MEMORY.current_usage() - before;
        let counted = leader.queues().memory_bytes();
        assert!(taken <= counted, "{shape}: {taken} bytes are taken, {counted} counted");
        let snapshot = postcard::to_stdvec(&leader.state).unwrap();
        let restored: State = postcard::from_bytes(&snapshot).unwrap();
        assert_eq!(restored, leader.state, "{shape}");
        for id in 0..count {
            leader.apply(0, Change::Cancel(Id(id)));
        }
        assert!(leader.queues().memory_bytes() < counted, "{shape}");
        // The first change after the retention time removes the records.
        leader.apply(KEEP_MS, Change::Cancel(Id(count)));
        assert_eq!(leader.queues().memory_bytes(), 0, "{shape}");
    }
}
