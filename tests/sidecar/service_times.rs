//! Run times that are learnt from few, short, long and broken runs.

use std::time::Duration;

use filbertflow::coordination::sidecar::service_times::{Completion, ServiceTimes};
use filbertflow::state::clock::Instant;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const OBJECTIVE: Duration = ms(1000);

/// Plays runs that begin every `gap` milliseconds and last as given, and returns the run time that is
/// expected `then` milliseconds after the first began.
fn learnt(runs: &[(u64, Completion)], gap: u64, then: u64) -> u128 {
    let start = Instant::now();
    let mut events = Vec::new();
    for (i, &(took, end)) in (0..).zip(runs) {
        events.push((i * gap, i * gap, None));
        events.push((i * gap + took, i * gap, Some(end)));
    }
    events.sort_by_key(|e| e.0);
    let mut times = ServiceTimes::default();
    for (at, begun, end) in events.into_iter().filter(|e| e.0 <= then) {
        match end {
            None => times.record_start(1, OBJECTIVE, start + ms(at)),
            Some(end) => times.record_end(1, start + ms(begun), end, start + ms(at)),
        }
    }
    times.estimate(1, OBJECTIVE, start + ms(then)).as_millis()
}

fn runs(n: usize, took: u64, end: Completion) -> Vec<(u64, Completion)> {
    vec![(took, end); n]
}

macro_rules! expects {
    ($($(#[$doc:meta])* $name:ident: $runs:expr, every $gap:literal, at $then:literal => $range:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let ms = learnt(&$runs, $gap, $then);
            let range: std::ops::RangeInclusive<u128> = $range;
            assert!(range.contains(&ms), "{ms} ms");
        }
    )*};
}

expects! {
    /// The first guess follows the objective.
    nothing: [], every 1, at 0 => 350..=350;
    /// Runs of one length are learnt.
    steady: runs(200, 300, Completion::Answered), every 20, at 4300 => 299..=301;
    /// Guards against a guess that stays in the mean.
    short: runs(200, 20, Completion::Answered), every 20, at 4020 => 20..=21;
    /// Pattern: the first of many runs to end are the short ones.
    first_short: [runs(17, 3000, Completion::Answered), runs(1, 20, Completion::Answered)].concat(), every 1, at 600 => 450..=3000;
    /// Guards against a backend server that answers nothing and looks fast.
    stuck: runs(18, 9000, Completion::Answered), every 1, at 2000 => 1600..=9000;
    /// Guards against one long run that makes all others look long.
    one_long: [runs(100, 80, Completion::Answered), runs(1, 3000, Completion::Answered)].concat(), every 20, at 2700 => 80..=110;
    /// Guards against failures that come at once and look like fast runs.
    failures: [runs(60, 300, Completion::Answered), runs(60, 5, Completion::Failed)].concat(), every 20, at 2420 => 270..=340;
    /// Guards against runs that were ended at their limit and look like short ones.
    cut_off: runs(60, 600, Completion::Interrupted), every 20, at 1800 => 500..=20_000;
}

/// Guards against a queue that takes on as much from a backend server that has just started.
#[test]
fn first_guess_is_longer_while_it_is_slow() {
    let now = Instant::now();
    let mut times = ServiceTimes::default();
    times.set_warming(true);
    assert_eq!(times.estimate(1, OBJECTIVE, now), ms(700));
}

/// Guards against a mean that is told after one run.
#[test]
fn mean_is_told_after_some_runs() {
    let start = Instant::now();
    let mut times = ServiceTimes::default();
    for i in 0..8 {
        assert_eq!(times.mean(start + ms(i * 100)), None);
        times.record_start(1, OBJECTIVE, start + ms(i * 100));
        let begun = start + ms(i * 100);
        times.record_end(1, begun, Completion::Answered, begun + ms(100));
    }
    assert!(times.mean(start + ms(800)).is_some());
}
