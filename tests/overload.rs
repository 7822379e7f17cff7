//! Scheduling of transient jobs by several entries, on a virtual clock, under high load and
//! overload.

#[path = "overload/world.rs"]
mod world;

use world::{Disturbance, Tally, World};

const LENGTH_MS: u64 = 12_000;
const SEEDS: u64 = 4;
/// Least share of the achievable value that must be earned: while the capacity covers the load, ...
const EARNED: f64 = 0.9;
/// ... and under overload, where jobs of different sizes leave gaps in the capacity.
const EARNED_OVERLOADED: f64 = 0.8;

/// Returns the share of the value that was earned and the share of the jobs that were served,
/// averaged over several seeds.
fn simulate(disturbance: Disturbance) -> (f64, f64) {
    let (mut earned, mut served) = (0.0, 0.0);
    for seed in 0..SEEDS {
        let world = World::simulate(seed, LENGTH_MS, disturbance);
        earned += world.earned() / SEEDS as f64;
        served += world.served() / SEEDS as f64;
        for Tally { jobs, on_time, late, refused, .. } in world.tallies {
            print!("{jobs} jobs: {on_time} on time, {late} late, {refused} refused; ");
        }
        println!();
    }
    let achievable = World::achievable(disturbance);
    println!("achievable {achievable:.3} earned {earned:.3} served {served:.3}");
    (earned, served)
}

fn disturbance(load: f64, down: usize, slow: usize) -> Disturbance {
    Disturbance { from_ms: 2_000, to_ms: LENGTH_MS, load, down, slow }
}

/// Pattern: the usual load. Guards against overload rules that refuse or delay jobs although there
/// is no overload.
#[test]
fn the_usual_load_is_served_in_time() {
    let (earned, served) = simulate(disturbance(1.0, 0, 0));
    assert!(earned >= 0.98 && served >= 0.999, "{earned} {served}");
}

/// Pattern: a burst that nearly fills all servers. Guards against long tasks on servers that are
/// too slow for them, while short tasks that would be in time there occupy the fast servers.
#[test]
fn a_burst_is_served_in_time_by_servers_of_different_speed() {
    let burst = disturbance(1.6, 0, 0);
    let (earned, _) = simulate(burst);
    assert!(earned >= EARNED * World::achievable(burst), "{earned}");
}

/// Pattern: some servers become slow. Guards against jobs that are late because of a single task on
/// a slow server.
#[test]
fn slow_servers_get_only_tasks_that_can_be_in_time_there() {
    let slow = disturbance(1.2, 0, 3);
    let (earned, _) = simulate(slow);
    assert!(earned >= EARNED * World::achievable(slow), "{earned}");
}

/// Pattern: servers are lost during a burst. Guards against work on more jobs than can end in time:
/// started jobs come first, and jobs that would be late are refused.
#[test]
fn jobs_within_the_remaining_capacity_are_served_in_time() {
    let loss = disturbance(1.3, 3, 2);
    let (earned, _) = simulate(loss);
    assert!(earned >= EARNED_OVERLOADED * World::achievable(loss), "{earned}");
}
