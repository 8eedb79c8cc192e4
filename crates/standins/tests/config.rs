//! Adoption of configurations by a simulated fleet in virtual time.

use rstest::rstest;
use sequoiahold_standins::experiment::config::{
    DEFAULT_SYNC, ScenarioResult, fleet::FleetSize, run_scenarios,
};

const SMALL_FLEET: FleetSize = FleetSize { zones: 4, entries: 24, endpoints: 96, clients: 40 };
/// Time within which an accepted configuration must be in force everywhere, in seconds.
const IN_FORCE_SECONDS: f64 = 11.0;
/// Calls per second that the platform answers.
const PLATFORM_RATE: u64 = 2_000;

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_change_is_in_force_everywhere_and_never_reverts(#[case] seed: u64) {
    let rows = run_scenarios(SMALL_FLEET, DEFAULT_SYNC, seed, None, |row| println!("{row}"))
        .expect("the scenarios run");
    for row in &rows {
        assert_eq!(row.in_force, row.running, "{row}");
        assert_eq!(row.reverted, 0, "{row}");
        assert!(row.max < IN_FORCE_SECONDS, "{row}");
        assert!(row.peak < PLATFORM_RATE, "{row}");
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let run = || -> Vec<ScenarioResult> {
        run_scenarios(SMALL_FLEET, DEFAULT_SYNC, 7, None, |_| {}).expect("the scenarios run")
    };
    assert_eq!(run(), run());
}
