//! Encoding of datagrams: the clock of the sender, the release before, sizes, malformed bytes.

use rstest::rstest;
use sequoiahold::node::{
    ChunkOffer, Datagram, EncodeError, LoadingNotice, MAX_DATAGRAM_BYTES, MAX_STAMP_BYTES,
};
use sequoiahold_core::{direct::send_time::SendStamp, ids::Incarnation, time::Time, units::Span};

const STAMP: SendStamp = SendStamp { incarnation: Incarnation(1_790_000_000_000_000), at: Time(7) };

fn notice() -> Datagram {
    let instance = "i-0".parse().expect("valid name");
    Datagram::Loading(LoadingNotice { instance, pause: Span::millis(250) })
}

/// Returns a datagram of `bytes` bytes.
fn offer(bytes: usize) -> Datagram {
    let name = |text: &str| text.parse().expect("valid name");
    let from = "loader".parse().expect("valid name");
    let offer = ChunkOffer { from, model: name("m"), version: 1, bits: vec![1; bytes - 13] };
    Datagram::Holds(offer)
}

#[test]
fn clock_of_the_sender_follows_the_datagram() {
    let bytes = notice().encode(STAMP).expect("an encoding");
    assert_eq!(Datagram::decode(&bytes), Ok((notice(), Some(STAMP))));
}

#[test]
fn process_of_the_release_before_reads_the_datagram_alone() {
    let bytes = notice().encode(STAMP).expect("an encoding");
    assert_eq!(postcard::from_bytes(&bytes), Ok(notice()));
}

#[test]
fn datagram_of_the_release_before_has_no_clock() {
    let bytes = postcard::to_stdvec(&notice()).expect("an encoding");
    assert_eq!(Datagram::decode(&bytes), Ok((notice(), None)));
}

#[test]
fn largest_datagram_is_not_cut_by_either_release() {
    let latest = SendStamp { incarnation: Incarnation(u64::MAX), at: Time(u64::MAX) };
    let bytes = offer(MAX_DATAGRAM_BYTES).encode(latest).expect("an encoding");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES + MAX_STAMP_BYTES, "{} bytes", bytes.len());
    let (datagram, stamp) = Datagram::decode(&bytes).expect("a datagram");
    assert_eq!((datagram, stamp), (offer(MAX_DATAGRAM_BYTES), Some(latest)));
    // The release before receives no more than this.
    let cut = &bytes[..MAX_DATAGRAM_BYTES];
    assert_eq!(postcard::from_bytes(cut), Ok(offer(MAX_DATAGRAM_BYTES)));
    let size = MAX_DATAGRAM_BYTES + 1;
    assert_eq!(offer(size).encode(latest), Err(EncodeError::Size(size)));
}

#[rstest]
#[case::empty(&[])]
#[case::unknown_kind(&[250, 1, 2, 3])]
#[case::truncated(&[2, 3, b'i'])]
fn malformed_bytes_are_rejected(#[case] bytes: &[u8]) {
    assert!(Datagram::decode(bytes).is_err());
}

#[test]
fn truncated_clock_is_none() {
    let bytes = notice().encode(STAMP).expect("an encoding");
    let (datagram, stamp) = Datagram::decode(&bytes[..bytes.len() - 1]).expect("a datagram");
    assert_eq!((datagram, stamp), (notice(), None));
}
