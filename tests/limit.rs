//! Token buckets, windows of backend servers, and retry budgets.

use briargauge::coordination::{limit, retry};
use quickcheck::{Gen, QuickCheck};

/// Guards against an account that exceeds its quota in the long run, and against a job larger than
/// the bucket that never starts.
#[test]
fn bucket_keeps_the_rate() {
    fn holds(steps: Vec<(u16, u16)>) -> bool {
        let (rate, mut now, mut taken, mut largest) = (50.0, 0, 0.0, 0.0_f64);
        let mut bucket = limit::Bucket::new(now, rate);
        for (elapsed, starts) in steps {
            now += u64::from(elapsed) * 100;
            let starts = usize::from(starts % 490) + 1;
            if bucket.is_open(now) {
                bucket.take(now, starts);
                taken += starts as f64;
                largest = largest.max(starts as f64);
            }
        }
        taken <= rate + rate * now as f64 / 1e6 + largest
    }
    checker().quickcheck(holds as fn(Vec<(u16, u16)>) -> bool);
    let mut bucket = limit::Bucket::new(0, 1.0);
    assert!(bucket.is_open(0));
    bucket.take(0, 490);
    assert!(!bucket.is_open(400_000_000));
    assert!(bucket.is_open(500_000_000));
}

/// Guards against a window above the slots, with which tasks would queue at the server, and against
/// a window of zero, with which the server would never be used again.
#[test]
fn window_stays_between_one_and_the_slots() {
    fn holds(slots: u8, steps: Vec<(bool, u32)>) -> bool {
        let slots = u16::from(slots % 64) + 1;
        let mut window = limit::Window::new(slots);
        steps.into_iter().all(|(refused, waited)| {
            if refused {
                window.refused()
            } else {
                window.ran(f64::from(waited), 1e6)
            }
            (1.0..=f64::from(slots)).contains(&window.limit())
        })
    }
    checker().quickcheck(holds as fn(u8, Vec<(bool, u32)>) -> bool);
}

/// Guards against a window that stays small after refusals.
#[test]
fn window_grows_back_after_refusals() {
    let mut window = limit::Window::new(8);
    (0..20).for_each(|_| window.refused());
    assert_eq!(window.limit(), 4.0);
    (0..100).for_each(|_| window.ran(0.0, 100_000.0));
    assert_eq!(window.limit(), 8.0);
}

/// Guards against retries that make an overload worse, and against a budget that gives the present
/// as the time to try again: the dispatcher once looped forever.
#[test]
fn budget_bounds_retries() {
    fn holds(steps: Vec<(u16, bool)>) -> bool {
        let (mut now, mut starts, mut retries) = (0, 0, 0);
        let mut budget = retry::Budget::new(now, 0.1);
        for (elapsed, start) in steps {
            now += u64::from(elapsed);
            if start {
                budget.started();
                starts += 1;
            }
            match budget.take(now) {
                Ok(()) => retries += 1,
                Err(at) if at <= now => return false,
                Err(_) => {}
            }
        }
        f64::from(retries) <= 10.0 + 0.1 * f64::from(starts) + 2.0 * now as f64 / 1e6 + 1e-6
    }
    checker().quickcheck(holds as fn(Vec<(u16, bool)>) -> bool);
}

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(500, 3)).tests(200)
}
