//! Decisions on attempts that make no progress, by the percentages in answers to polls. The naive
//! rule that they are compared with stops an attempt after a multiple of its declared time.

use briargauge::{
    coordination::sidecar::progress::{Admission, Change, Progress, Sample},
    protocol::queue::{Attempt, Id, Outcome, Task},
};
use quickcheck::{TestResult, quickcheck};

const STALL_MS: u64 = 300;
/// Interval of the answers to polls, in ms.
const POLL_MS: u64 = 100;

fn attempt(number: u64) -> Attempt {
    Attempt { task: Task { job: Id(number), step: 0, index: 0 }, number: 1 }
}

/// Time after its start at which the naive rule stops an attempt.
fn naive_ms(estimate_ms: u64) -> u64 {
    5 * estimate_ms + 400
}

/// A task that runs, and how long it takes.
#[derive(Debug, Clone, Copy)]
struct Run {
    attempt: Attempt,
    start_ms: u64,
    estimate_ms: u64,
    takes_ms: u64,
    /// Whether it never advances.
    stuck: bool,
}

impl Run {
    fn new(number: u64, start_ms: u64, estimate_ms: u64, takes_ms: u64) -> Run {
        Run { attempt: attempt(number), start_ms, estimate_ms, takes_ms, stuck: false }
    }
}

/// A backend server with a load, and the decisions on it.
struct World {
    progress: Progress,
    runs: Vec<Run>,
    /// Times in which nothing advances at the server.
    hang: std::ops::Range<u64>,
    /// Stopped attempts and when.
    stops: Vec<(u64, Attempt)>,
    changes: Vec<(u64, Change)>,
}

impl World {
    fn new(runs: Vec<Run>, hang: std::ops::Range<u64>) -> World {
        World {
            progress: Progress::new(STALL_MS),
            runs,
            hang,
            stops: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Time for which a task has advanced by `now_ms`.
    fn advanced_ms(&self, run: &Run, now_ms: u64) -> u64 {
        let hung = self.hang.start.max(run.start_ms)..self.hang.end.min(now_ms);
        let hung_ms = hung.end.saturating_sub(hung.start);
        if run.stuck { 0 } else { now_ms - run.start_ms - hung_ms }
    }

    /// Polls once at `now_ms`. Stopped attempts end at once.
    fn poll(&mut self, now_ms: u64) {
        let mut samples = Vec::new();
        for run in std::mem::take(&mut self.runs) {
            let advanced_ms =
                if run.start_ms <= now_ms { self.advanced_ms(&run, now_ms) } else { 0 };
            if run.start_ms <= now_ms && advanced_ms >= run.takes_ms {
                self.progress.record_end(Outcome::Done);
                continue;
            }
            self.runs.push(run);
            if run.start_ms <= now_ms {
                samples.push(Sample {
                    attempt: run.attempt,
                    percent: (100 * advanced_ms / run.takes_ms) as u8,
                    ran_ms: now_ms - run.start_ms,
                    estimate_ms: run.estimate_ms as u32,
                });
            }
        }
        let verdict = self.progress.observe(now_ms, now_ms, &samples);
        self.changes.extend(verdict.change.map(|change| (now_ms, change)));
        for stopped in verdict.stops {
            self.stops.push((now_ms, stopped));
            self.runs.retain(|run| run.attempt != stopped);
            self.progress.record_end(Outcome::Stopped);
        }
    }

    fn poll_until(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(POLL_MS as usize) {
            self.poll(now_ms);
        }
    }

    fn admission(&self, now_ms: u64) -> Admission {
        self.progress.admission(now_ms, |attempt| self.runs.iter().any(|r| r.attempt == *attempt))
    }

    /// Starts a trial attempt of a task of 500 ms.
    fn start_trial(&mut self, number: u64, now_ms: u64) {
        assert_eq!(self.admission(now_ms), Admission::Trial, "at {now_ms}");
        self.progress.record_start(attempt(number));
        self.runs.push(Run::new(number, now_ms, 500, 500));
        assert_eq!(self.admission(now_ms), Admission::None, "one at a time");
    }
}

/// Eight tasks of 500 ms that have started one after the other, at a server that hangs at 600 ms.
fn hung_server(hang_end_ms: u64) -> World {
    let runs = (0..8).map(|n| Run::new(n, 200 + 50 * n, 500, 500)).collect();
    World::new(runs, 600..hang_end_ms)
}

/// Guards against late detection of a hang under eight tasks of 500 ms: the naive rule stops the first
/// attempt only 2.5 s after the hang began.
#[test]
fn all_attempts_at_a_server_that_hangs_are_stopped_early() {
    let mut world = hung_server(u64::MAX);
    world.poll_until(0, 2_000);
    let naive = 200 + naive_ms(500) - 600;
    let first = world.stops[0].0 - 600;
    println!("first stop {first} ms after the beginning of the hang, by the naive rule {naive} ms");
    assert!(first <= STALL_MS + 2 * POLL_MS, "{first}");
    assert!(3 * first < naive);
    assert_eq!(world.stops.len(), 8);
    let [(at_ms, Change::Stalled { for_ms })] = world.changes[..] else {
        panic!("{:?}", world.changes)
    };
    assert_eq!((at_ms, for_ms), (600 + first, 300));
    assert_eq!(world.admission(600 + first), Admission::None);
}

/// Guards against a hang that is not detected as long as new tasks start at the server: one of 300 ms
/// every 60 ms. The naive rule takes 1.8 s.
#[test]
fn starts_at_a_server_that_hangs_do_not_hide_the_hang() {
    let runs = (0..40).map(|n| Run::new(n, 60 * n, 300, 300)).collect();
    let mut world = World::new(runs, 1_000..u64::MAX);
    world.poll_until(0, 2_400);
    let first = world.stops[0].0 - 1_000;
    println!("first stop {first} ms after the beginning of the hang");
    assert!(first <= STALL_MS + 2 * POLL_MS, "{first}");
    assert!(matches!(world.changes[0].1, Change::Stalled { .. }));
}

/// Guards against a hang that is not detected because a task of 4 s has just started: it may stay at 0
/// percent for 2 s. It is stopped only then.
#[test]
fn a_long_task_that_has_just_started_does_not_hide_a_hang() {
    let mut world = hung_server(u64::MAX);
    world.runs.push(Run::new(8, 650, 4_000, 4_000));
    world.poll_until(0, 1_100);
    assert_eq!(world.changes.len(), 1, "{:?}", world.stops);
    assert_eq!(world.runs.len(), 1);
    world.poll_until(1_100, 2_800);
    let (at_ms, stopped) = *world.stops.last().unwrap();
    assert_eq!((world.stops.len(), stopped), (9, attempt(8)));
    assert!((650 + 2_000..650 + 2_200).contains(&at_ms), "{at_ms}");
}

/// Guards against the loss of the work of tasks that take seven times as long as declared, alone and
/// beside others. The naive rule stops them before they end.
#[test]
fn a_task_that_takes_seven_times_as_long_as_declared_is_not_stopped() {
    for estimate_ms in [300, 1_000, 4_000] {
        let long = Run::new(0, 0, estimate_ms, 7 * estimate_ms);
        assert!(naive_ms(estimate_ms) < 7 * estimate_ms);
        let others = (1..20).map(|n| Run::new(n, estimate_ms * n / 4, estimate_ms, estimate_ms));
        for runs in [vec![long], [long].into_iter().chain(others).collect()] {
            let mut world = World::new(runs, 0..0);
            world.poll_until(0, 8 * estimate_ms);
            assert_eq!((&world.stops[..], &world.changes[..]), (&[][..], &[][..]));
            assert!(world.runs.is_empty());
        }
    }
}

/// Guards against a slow server that counts as stalled: all tasks take ten times as long as declared.
/// The naive rule stops all of them.
#[test]
fn a_slow_server_has_not_stalled() {
    for estimate_ms in [200, 1_000, 10_000] {
        let runs = (0..8).map(|n| Run::new(n, 30 * n, estimate_ms, 10 * estimate_ms)).collect();
        assert!(naive_ms(estimate_ms) < 10 * estimate_ms);
        let mut world = World::new(runs, 0..0);
        world.poll_until(0, 11 * estimate_ms + 500);
        assert_eq!((&world.stops[..], &world.changes[..]), (&[][..], &[][..]));
        assert!(world.runs.is_empty());
    }
}

/// Guards against a conclusion from answers without percentages.
#[test]
fn a_server_without_percentages_has_not_stalled() {
    let mut world = World::new(Vec::new(), 0..0);
    world.poll_until(0, 5_000);
    assert_eq!((&world.stops[..], &world.changes[..]), (&[][..], &[][..]));
    assert_eq!(world.admission(5_000), Admission::All);
}

/// Guards against attempts that are stopped after the sidecar and its server were suspended together:
/// the clocks went on, and the percentages did not.
#[test]
fn the_time_of_a_suspension_does_not_count() {
    for suspended_ms in [250, 700, 3_000] {
        let mut world = hung_server(600 + suspended_ms);
        world.poll_until(0, 600);
        world.poll_until(600 + suspended_ms, 5_000);
        assert_eq!((&world.stops[..], &world.changes[..]), (&[][..], &[][..]));
        assert!(world.runs.is_empty());
    }
}

/// Guards against a stuck task that keeps its place for long, or closes its server, while others
/// advance. The naive rule takes 2.9 s.
#[test]
fn an_attempt_that_stands_still_beside_others_is_stopped_alone() {
    let stuck = Run { stuck: true, ..Run::new(0, 0, 500, 500) };
    let others = (1..40).map(|n| Run::new(n, 100 * n, 500, 500));
    let mut world = World::new([stuck].into_iter().chain(others).collect(), 0..0);
    world.poll_until(0, 5_000);
    let [(at_ms, stopped)] = world.stops[..] else { panic!("{:?}", world.stops) };
    println!("stopped after {at_ms} ms, by the naive rule after {} ms", naive_ms(500));
    assert_eq!(stopped, attempt(0));
    assert!((2 * STALL_MS..naive_ms(500) / 3).contains(&at_ms), "{at_ms}");
    assert_eq!(world.changes, []);
}

/// Guards against work that is sent to a server that hangs on, and against pauses that grow without a
/// bound: trials of 500 ms tasks come one at a time.
#[test]
fn trials_that_stand_still_are_stopped_and_come_at_growing_pauses() {
    let mut world = hung_server(u64::MAX);
    world.poll_until(0, 1_100);
    let [(mut now_ms, Change::Stalled { .. })] = world.changes[..] else {
        panic!("{:?}", world.changes)
    };
    for (number, pause_ms) in [500, 1_000, 2_000, 4_000, 4_000].into_iter().enumerate() {
        assert_eq!(world.admission(now_ms + pause_ms - 1), Admission::None);
        world.poll_until(now_ms + POLL_MS, now_ms + pause_ms);
        world.stops.clear();
        now_ms += pause_ms;
        world.start_trial(100 + number as u64, now_ms);
        while world.stops.is_empty() {
            now_ms += POLL_MS;
            world.poll(now_ms);
            assert!(world.runs.is_empty() || world.admission(now_ms) == Admission::None);
        }
    }
    assert_eq!(world.changes.len(), 1);
}

/// Guards against a server that stays closed after a hang.
#[test]
fn a_server_is_open_again_once_a_trial_advances() {
    let mut world = hung_server(1_200);
    world.poll_until(0, 1_100);
    let (stalled_ms, _) = world.changes[0];
    world.start_trial(100, stalled_ms + 500);
    world.poll_until(stalled_ms + 500, stalled_ms + 800);
    let (at_ms, change) = world.changes[1];
    let after_ms = at_ms - stalled_ms;
    assert_eq!(change, Change::Recovered { after_ms, trials: 1 });
    assert!(after_ms <= 500 + POLL_MS, "{after_ms}");
    assert_eq!(world.admission(at_ms), Admission::All);
}

/// Guards against a server that stays closed after a hang because its trials are too short to be seen
/// to advance.
#[test]
fn a_server_is_open_again_once_a_trial_is_done() {
    let mut world = hung_server(1_200);
    world.poll_until(0, 1_100);
    let (stalled_ms, _) = world.changes[0];
    let trial_ms = stalled_ms + 500;
    world.start_trial(100, trial_ms);
    world.runs[0].takes_ms = 20;
    world.poll(trial_ms + 20);
    assert_eq!(world.admission(trial_ms + 20), Admission::All);
}

/// Guards against a server that stays closed since its trial attempts end by other causes.
#[test]
fn the_next_trial_follows_one_that_was_stopped_for_another_reason() {
    let mut world = hung_server(u64::MAX);
    world.poll_until(0, 1_100);
    let (stalled_ms, _) = world.changes[0];
    world.start_trial(100, stalled_ms + 500);
    world.runs.clear();
    world.progress.record_end(Outcome::Stopped);
    world.poll(stalled_ms + 600);
    world.start_trial(101, stalled_ms + 600);
}

quickcheck! {
    /// Guards against the loss of the work of tasks that advance, however slow they are and however
    /// uneven the polls: each takes up to ten times as long as declared, or is far shorter.
    fn no_task_that_advances_is_stopped(tasks: Vec<(u16, u16, u8)>, pauses: Vec<u8>) -> TestResult {
        if tasks.is_empty() || pauses.is_empty() {
            return TestResult::discard();
        }
        let runs = tasks.iter().zip(0..).map(|((start_ms, estimate_ms, slowness), number)| {
            let estimate_ms = u64::from(estimate_ms % 5_000 + 1);
            let takes_ms = (estimate_ms * u64::from(slowness % 100 + 1) / 10).max(1);
            Run::new(number, u64::from(start_ms % 2_000), estimate_ms, takes_ms)
        });
        let mut world = World::new(runs.collect(), 0..0);
        let (mut now_ms, mut pauses) = (0, pauses.into_iter().cycle());
        while !world.runs.is_empty() {
            world.poll(now_ms);
            now_ms += u64::from(pauses.next().expect("cycles")).max(1);
        }
        TestResult::from_bool(world.stops.is_empty() && world.changes.is_empty())
    }
}
