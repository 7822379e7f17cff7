//! Warm-up of backend servers whose caches are cold, compared with the naive rule, which uses the whole
//! capacity at once.

use briargauge::{coordination::warmup::Warmup, protocol::queue::Resources};

const CORES: u64 = 16;
const COLD_MS: u64 = 2_000;
const TASK_MS: u64 = 200;
/// Factor of the run time of a task on a server that is cold.
const COLD_FACTOR: u64 = 4;

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: 1_000 * count, memory_mb: 100 * count, accelerators: 0 }
}

/// Result of a load.
#[derive(Debug, Default)]
struct Played {
    /// Tasks that started on a server above its warm share.
    above_share: usize,
    done: usize,
    /// When the last task was done, in ms.
    end_ms: u64,
}

/// Load pattern: a data centre of eight servers returns cold while `jobs` tasks of one core wait.
/// `warmup` is the one that limits starts, if any.
fn data_centre_returns(jobs: usize, limited: bool) -> Played {
    let warmup = Warmup::new(0, COLD_MS);
    let mut servers: Vec<Vec<u64>> = vec![Vec::new(); 8];
    let (mut waiting, mut played) = (jobs, Played::default());
    for now_ms in 0..60_000 {
        for ends in &mut servers {
            let running = ends.len();
            ends.retain(|end_ms| *end_ms > now_ms);
            played.done += running - ends.len();
            while waiting > 0 {
                let (idle, used) = (ends.is_empty(), cores(ends.len() as u64 + 1));
                let in_share = warmup.allows(now_ms, &cores(CORES), &used, idle);
                if !cores(CORES).fits(&used) || limited && !in_share {
                    break;
                }
                played.above_share += usize::from(!in_share);
                let factor = if now_ms < COLD_MS { COLD_FACTOR } else { 1 };
                ends.push(now_ms + factor * TASK_MS);
                waiting -= 1;
            }
        }
        if played.done == jobs {
            played.end_ms = now_ms;
            return played;
        }
    }
    panic!("not all tasks were done: {played:?}");
}

/// Guards against a wave of late tasks when a data centre returns with cold servers while jobs wait.
#[test]
fn no_task_starts_above_the_warm_share_of_a_returning_server() {
    let (naive, limited) = (data_centre_returns(600, false), data_centre_returns(600, true));
    println!("all at once: {naive:?}, with the warm-up: {limited:?}");
    assert!(naive.above_share >= 8 * 12, "{naive:?}");
    assert_eq!((limited.above_share, limited.done), (0, 600));
    assert!(limited.end_ms < 2 * naive.end_ms);
}

/// Guards against a share that jumps, or ends early or late.
#[test]
fn the_share_rises_from_a_quarter_to_all() {
    for (cold_until_ms, length_ms) in [(0, 1_000), (5_600, 1_000), (6_000, 1_000), (9_000, 4_000)] {
        let warmup = Warmup::new(5_000, cold_until_ms);
        let shares = [0, 1, 2, 4, 8].map(|quarters| warmup.share(5_000 + quarters * length_ms / 4));
        assert_eq!(shares, [0.25, 0.4375, 0.625, 1.0, 1.0], "{cold_until_ms}");
        assert_eq!(warmup.limit(5_000 + length_ms, &cores(3)), cores(3));
    }
}

/// Guards against a task that never starts as it needs more than the first share.
#[test]
fn one_task_starts_on_an_idle_server_whatever_it_needs() {
    let warmup = Warmup::new(0, 0);
    assert!(warmup.allows(0, &cores(CORES), &cores(CORES), true));
    assert!(!warmup.allows(0, &cores(CORES), &cores(CORES), false));
    let one = Resources { accelerators: 1, ..Resources::default() };
    assert_eq!(warmup.limit(0, &one), one);
}

/// Guards against a server that is limited for long by an announcement of another writer, and against
/// one that is limited in the midst of its work.
#[test]
fn the_newest_announcement_in_a_warm_up_counts() {
    let mut warmup = Warmup::new(0, u64::MAX);
    warmup.update(1_500, 0);
    assert_eq!(warmup.share(1_500), 1.0);
    warmup.update(1_600, 9_000);
    assert_eq!(warmup.share(1_600), 1.0);
    let mut warmup = Warmup::new(0, 0);
    warmup.update(500, 2_000);
    assert_eq!(warmup.share(1_000), 0.625);
}
