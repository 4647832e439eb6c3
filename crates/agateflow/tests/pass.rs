//! Mean pass time from pass numbers.

use agateflow::lockstep::pass::Meter;
use agateflow::unit::Millis;

fn meter(samples: impl IntoIterator<Item = (u64, u64)>) -> Meter {
    let mut meter = Meter::default();
    for (step, at) in samples {
        meter.observe(step, Millis::new(at));
    }
    meter
}

#[test]
fn mean_covers_recent_passes() {
    let slow = (0..20).map(|n| (n, n * 100));
    let fast = (1..40).map(|n| (19 + n, 1_900 + n * 20));

    let meter = meter(slow.chain(fast));

    assert_eq!(meter.mean_ms(), Some(20.0));
}

#[test]
fn mean_needs_a_minimum_of_passes() {
    let meter = meter([(1, 0), (2, 100), (3, 200)]);

    assert_eq!(meter.mean_ms(), None);
}

#[test]
fn samples_are_reset_when_pass_numbers_restart() {
    let meter = meter([(500, 0), (600, 100), (1, 150), (2, 200), (4, 300), (5, 350)]);

    assert_eq!(meter.mean_ms(), Some(50.0));
}
