//! Delay after which an origin that refused a call is asked again.

use std::time::SystemTime;

use rstest::rstest;
use sequoiahold::endpoint::retry_delay;
use sequoiahold_core::units::{ByteRate, Bytes, Span};

// Guards against a header of an origin that ends the pulls of an endpoint for good, or all at once.
#[rstest]
#[case::absent(None, Span::secs(1))]
#[case::seconds(Some("3"), Span::secs(3))]
#[case::decimals(Some("0.25"), Span::millis(250))]
#[case::unreadable(Some("soon"), Span::secs(1))]
#[case::negative(Some("-5"), Span::secs(1))]
#[case::hours(Some("7200"), Span::secs(60))]
#[case::greatest(Some("18446744073709551615"), Span::secs(60))]
fn delay_of_an_origin_is_bounded(#[case] header: Option<&str>, #[case] delay: Span) {
    assert_eq!(retry_delay(header, SystemTime::now()), delay);
}

// Guards against durations that exceed their range and start anew at zero.
#[test]
fn durations_saturate() {
    let longest = Span(u64::MAX);
    assert_eq!((Span::secs(u64::MAX), Span::millis(u64::MAX)), (longest, longest));
    assert_eq!(ByteRate(1).transfer_time(Bytes(u64::MAX)), longest);
}
