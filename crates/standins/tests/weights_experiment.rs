//! Limits on time and traffic of weight transfers, in small fleets and virtual time.

use rstest::rstest;
use sequoiahold_standins::experiment::weights::{
    Scheme, measure,
    plan::{Faults, Figures, Plan},
};

fn measure_owned(vms: usize, zones: usize, held: u64, faults: Faults) -> Figures {
    measure(Scheme::Owned, Plan { vms, zones, seed: 7, held, faults }, "test")
}

#[rstest]
#[case(10, 1)]
#[case(50, 1)]
#[case(10, 3)]
#[case(50, 3)]
#[case(50, 8)]
fn a_cold_model_stays_within_the_limits(#[case] vms: usize, #[case] zones: usize) {
    let figures = measure_owned(vms, zones, 0, Faults::default());
    assert_eq!((figures.unfinished, figures.wrong), (0, 0));
    assert!(figures.bounds <= 1.6, "{figures:?}");
    assert!(figures.origin <= 1.2, "{figures:?}");
    assert!(figures.region_in <= 1.2, "{figures:?}");
    assert!(figures.upload <= 2.0 && figures.download <= 2.0, "{figures:?}");
    assert!(figures.control <= 5.0, "{figures:?}");
}

#[rstest]
#[case(50, 1)]
#[case(50, 3)]
fn faults_add_at_most_30_percent_to_the_time(#[case] vms: usize, #[case] zones: usize) {
    let faults = Faults { killed: 50, corrupt: 10, stalled: true };
    let (free, faulty) =
        (measure_owned(vms, zones, 0, Faults::default()), measure_owned(vms, zones, 0, faults));
    assert_eq!((faulty.unfinished, faulty.wrong), (0, 0));
    assert!(faulty.seconds <= 1.3 * free.seconds, "{faulty:?} {free:?}");
    assert!(faulty.origin <= 1.2, "{faulty:?}");
}

#[test]
fn a_change_of_5_percent_transfers_at_most_7_percent() {
    let figures = measure_owned(50, 3, 950, Faults::default());
    assert_eq!(figures.unfinished, 0);
    assert!(figures.moved <= 0.07 && figures.origin <= 0.07, "{figures:?}");
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let faults = Faults { killed: 50, corrupt: 10, stalled: true };
    let run = || format!("{:?}", measure_owned(20, 3, 0, faults));
    assert_eq!(run(), run());
}
