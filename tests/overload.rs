//! The entries' choice of tasks and servers under more load than usual, or than there is room for.

#[path = "overload/world.rs"]
mod world;

use world::{Tally, Trouble, World};

const LENGTH_MS: u64 = 12_000;
const SEEDS: u64 = 4;
/// Part of the worth of what there is room for that is earned, at least: with room for all, ...
const EARNED: f64 = 0.9;
/// ... and with more load than room, where unlike sizes of jobs leave gaps.
const EARNED_OVERLOADED: f64 = 0.8;

/// Part of the worth earned and of the jobs served, over some seeds.
fn play(trouble: Trouble) -> (f64, f64) {
    let (mut earned, mut served) = (0.0, 0.0);
    for seed in 0..SEEDS {
        let world = World::play(seed, LENGTH_MS, trouble);
        earned += world.earned() / SEEDS as f64;
        served += world.served() / SEEDS as f64;
        for Tally { jobs, on_time, late, refused, .. } in world.tallies {
            print!("{jobs} jobs: {on_time} on time, {late} late, {refused} refused; ");
        }
        println!();
    }
    println!("room {:.3} earned {earned:.3} served {served:.3}", World::room(trouble));
    (earned, served)
}

fn trouble(load: f64, down: usize, slow: usize) -> Trouble {
    Trouble { from_ms: 2_000, to_ms: LENGTH_MS, load, down, slow }
}

/// Pattern: the usual load. Guards against rules for overload that cost jobs when there is none.
#[test]
fn the_usual_load_is_served_in_time() {
    let (earned, served) = play(trouble(1.0, 0, 0));
    assert!(earned >= 0.98 && served >= 0.999, "{earned} {served}");
}

/// Pattern: a burst that nearly fills all servers. Guards against long tasks at servers that are
/// too slow for them, while short ones that would be in time there take the fast servers.
#[test]
fn a_burst_is_served_in_time_by_unlike_servers() {
    let burst = trouble(1.6, 0, 0);
    let (earned, _) = play(burst);
    assert!(earned >= EARNED * World::room(burst), "{earned}");
}

/// Pattern: some servers turn slow. Guards against jobs that are late because of their one task at
/// a slow server.
#[test]
fn slow_servers_get_only_what_can_be_in_time_there() {
    let slow = trouble(1.2, 0, 3);
    let (earned, _) = play(slow);
    assert!(earned >= EARNED * World::room(slow), "{earned}");
}

/// Pattern: servers are lost in a burst. Guards against work on more jobs than can end in time: jobs
/// that have begun go first, and those that would be late are refused.
#[test]
fn what_there_is_room_for_is_served_in_time() {
    let loss = trouble(1.3, 3, 2);
    let (earned, _) = play(loss);
    assert!(earned >= EARNED_OVERLOADED * World::room(loss), "{earned}");
}
