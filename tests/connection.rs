//! The lease of an entry's connection to a sidecar, as the entry knows it.

use briargauge::coordination::{
    connection::{Lease, Watermark},
    sidecar::LATE_CALL_MAX_MS,
};

const LEASE_MS: u64 = 700;
const BACKEND_LEASE_MAX_MS: u64 = 1_100;

/// A renewal: the pause before it, how long its request and its answer take, and how long the entry
/// waits after the answer, in ms.
type Renewal = (u8, u8, u8, u8);

/// Sidecar's clock, which is ahead of the entry's by `offset_ms` and whose rate differs by `ppm`.
#[derive(Debug, Clone, Copy)]
struct Clock {
    offset_ms: u64,
    ppm: i64,
}

impl Clock {
    fn at(&self, now_ms: u64) -> u64 {
        let drift_ms = (now_ms as i64 * self.ppm).div_euclid(1_000_000);
        self.offset_ms + now_ms.saturating_add_signed(drift_ms)
    }
}

/// Guards against a lease that lasts longer than its length, and against one that counts as over too
/// early, when answers are late or clocks run at different rates.
#[test]
fn a_lease_is_never_longer_than_its_length_and_over_only_after_its_end() {
    fn holds(offset_ms: u16, ppm: i16, renewals: Vec<Renewal>) -> bool {
        let clock = Clock { offset_ms: offset_ms.into(), ppm: i64::from(ppm) % 1_000 };
        let mut now_ms = 1_000;
        let mut lease = Lease::new(clock.at(now_ms), now_ms);
        let mut until_ms = 0;
        for (pause, request, answer, wait) in renewals {
            now_ms += 20 * u64::from(pause);
            let watermark_ms = now_ms - 3 * u64::from(pause);
            let asked_ms = lease.extend(watermark_ms);
            if asked_ms > clock.at(watermark_ms + LEASE_MS) + 1 {
                return false;
            }
            until_ms = until_ms.max(asked_ms);
            let reading_ms = clock.at(now_ms + u64::from(request));
            now_ms += u64::from(request) + u64::from(answer);
            lease.record(reading_ms, now_ms);
            now_ms += 20 * u64::from(wait);
            if lease.over(now_ms) && clock.at(now_ms) <= until_ms + BACKEND_LEASE_MAX_MS {
                return false;
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(u16, i16, Vec<Renewal>) -> bool);
}

/// Guards against leases that become short after a late answer, although an earlier one was quick.
#[test]
fn a_late_answer_does_not_replace_a_closer_reading() {
    let mut lease = Lease::new(10_000, 1_000);
    lease.record(11_010, 2_300);
    assert_eq!(
        lease.clock_lower_bound(2_300),
        11_298,
        "1,300 ms after the first reading, less the drift"
    );
    lease.record(12_000, 3_001);
    assert_eq!(lease.clock_lower_bound(3_001), 12_000);
}

/// Guards against leases that an entry extends after a pause, before it has read which callers have
/// left during the pause.
#[test]
fn a_lease_that_is_extended_after_a_pause_counts_from_before_it() {
    let mut lease = Lease::new(10_000, 1_000);
    let mut watermark = Watermark::new(1_000);
    watermark.tick(1_025);
    watermark.tick(1_050);
    assert_eq!(lease.extend(watermark.until_ms()), 10_724);
    watermark.tick(1_950);
    assert_eq!(lease.extend(watermark.until_ms()), 10_749, "the first tick after the pause");
    lease.record(11_000, 2_000);
    assert_eq!(lease.extend(watermark.until_ms()), 10_749, "950 ms before the reading");
    watermark.tick(1_975);
    assert_eq!(lease.extend(watermark.until_ms()), 11_649);
}

/// Guards against two runs of a task at the same time: a paused entry read a request late and gave it
/// its whole deadline, and its caller had sent the job to another entry.
#[test]
fn the_deadline_of_a_request_that_is_read_after_a_pause_counts_from_before_it() {
    let mut watermark = Watermark::new(1_000);
    watermark.tick(1_025);
    assert_eq!(watermark.leaves_ms(1_500), 2_500);
    watermark.tick(1_050);
    watermark.tick(3_000);
    assert_eq!(watermark.leaves_ms(1_500), 2_550, "the first tick after the pause");
    watermark.tick(3_025);
    assert_eq!(watermark.leaves_ms(1_500), 4_500);
    assert_eq!(watermark.leaves_ms(u64::MAX), u64::MAX, "no deadline");
}

/// Guards against two runs of a task at the same time: an entry counted an attempt as lost by time
/// alone, although the sidecar still answered that the attempt might start.
#[test]
fn a_lease_is_not_over_while_the_sidecar_answers_that_attempts_may_be_left() {
    let mut lease = Lease::new(10_000, 1_000);
    lease.extend(1_000);
    let over_ms = 1_000 + LEASE_MS + BACKEND_LEASE_MAX_MS + 10;
    assert!(lease.over(over_ms));
    lease.record_left(over_ms);
    assert!(!lease.over(over_ms + 500));
    assert!(lease.over(over_ms + 1_000), "the sidecar is silent");
    let late_ms = over_ms + LATE_CALL_MAX_MS + 20;
    lease.record_left(late_ms);
    assert!(lease.over(late_ms), "all late calls have been carried out");
}
