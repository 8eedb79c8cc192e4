//! Versions that are announced while the one before them is in transfer.

use rstest::rstest;
use sequoiahold_core::{time::Time, units::Span, weights::Succession};

/// When the older version may no longer be used, 6.5 s after the newer one was announced.
const USABLE_UNTIL: Time = Time(26_500_000);

fn succession(older_ms: u64, newer_ms: u64) -> Succession {
    Succession {
        older: Span::millis(older_ms),
        newer: Span::millis(newer_ms),
        usable_until: USABLE_UNTIL,
    }
}

#[rstest]
#[case::nearly_complete(200, 2_000, 20_000, true)]
#[case::barely_begun(1_900, 2_000, 20_000, false)]
#[case::stuck_until_the_newer_would_come_too_late(200, 2_000, 23_400, false)]
#[case::whole_and_waiting_for_its_load(0, 2_000, 24_600, true)]
#[case::whole_but_about_to_end(0, 2_000, 25_600, false)]
#[case::both_whole(0, 0, 22_000, false)]
#[case::newer_shares_all_chunks(40, 0, 20_000, false)]
fn older_version_is_finished_while_that_bridges_the_newer(
    #[case] older_ms: u64,
    #[case] newer_ms: u64,
    #[case] now_ms: u64,
    #[case] finishes: bool,
) {
    assert_eq!(succession(older_ms, newer_ms).finishes_older(Time(now_ms * 1_000)), finishes);
}

/// The newer version is announced at 20.0 s and the origin stops answering half a second later, for
/// six seconds; one chunk is still missing at the announcement and comes from a peer.
#[test]
fn an_engine_has_a_usable_version_while_the_origin_is_away() {
    let chunk_ms = 42;
    let mut loaded_at = None;
    let mut missing = 5;
    for now in (20_000..26_500).step_by(20) {
        let state = succession(missing * chunk_ms, 48 * chunk_ms);
        assert!(state.finishes_older(Time(now * 1_000)), "given up at {now} ms");
        missing =
            if (now - 20_000).is_multiple_of(60) { missing.saturating_sub(1) } else { missing };
        if missing == 0 && now >= 22_400 {
            loaded_at = Some(now);
            break;
        }
    }
    assert_eq!(loaded_at, Some(22_400));
}
