//! Concurrent pulls on a VM's link that is far narrower than declared.

use std::collections::VecDeque;

use rstest::rstest;
use sequoiahold_core::{
    time::Time,
    units::{ByteRate, Bytes, Span},
    weights::{ChunkSource, PullLimit, TransferLimits},
};

const CHUNK: Bytes = Bytes(49_152);
const LIMITS: TransferLimits =
    TransferLimits { rate: ByteRate(1_175_000), max_pulls: 6, time_limit: Some(Span::secs(8)) };
/// The share of a rollout time of 8 s that gateways keep for requests on their way.
const TRANSIT_TIME: Span = Span::millis(1_440);
const PULL_TIMEOUT: Span = Span::secs(1);

/// A link that delivers in order, also the chunks of pulls that were given up.
struct Link {
    rate: ByteRate,
    free_at: Time,
}

impl Link {
    fn deliver(&mut self, now: Time, size: Bytes) -> Time {
        self.free_at = self.free_at.max(now) + self.rate.transfer_time(size);
        self.free_at
    }
}

/// A pull in progress: its start, its end and whether the chunk arrives in time.
struct ActivePull {
    started: Time,
    ends: Time,
    concurrent: u32,
    succeeds: bool,
}

fn source() -> ChunkSource {
    ChunkSource::Peer("vm-1".parse().expect("valid name"))
}

/// Pulls chunks for `length`, starting anew every `restart`, and returns the longest time that data
/// had to wait on the link.
fn max_backlog(rate: ByteRate, length: Span, restart: Span) -> Span {
    let mut link = Link { rate, free_at: Time::default() };
    let mut limit = PullLimit::new(&LIMITS, CHUNK, true);
    let mut active: VecDeque<ActivePull> = VecDeque::new();
    let mut max = Span(0);
    for now in (0..length.0).step_by(1_000).map(Time) {
        if now.0 % restart.0 == 0 {
            limit = PullLimit::new(&LIMITS, CHUNK, true);
            active.clear();
        }
        let (ended, rest): (Vec<_>, Vec<_>) = active.into_iter().partition(|pull| pull.ends <= now);
        active = rest.into();
        for pull in ended {
            let elapsed = pull.ends - pull.started;
            limit.record(&source(), elapsed, pull.concurrent, pull.succeeds);
        }
        while (active.len() as u32) < limit.current() {
            let arrival = link.deliver(now, CHUNK);
            let ends = arrival.min(now + PULL_TIMEOUT);
            let concurrent = active.len() as u32 + 1;
            active.push_back(ActivePull {
                started: now,
                ends,
                concurrent,
                succeeds: arrival == ends,
            });
        }
        max = max.max(link.free_at - now);
    }
    max
}

#[rstest]
#[case::tenth_of_its_rate(ByteRate(113_750))]
#[case::fifth_of_its_rate(ByteRate(235_000))]
fn chunks_on_a_narrow_link_leave_room_for_requests(#[case] rate: ByteRate) {
    let backlog = max_backlog(rate, Span::secs(12), Span::millis(2_300));
    assert!(backlog < TRANSIT_TIME, "a request waits {} ms for chunks", backlog.0 / 1_000);
}

#[test]
fn pulls_use_the_limit_on_a_link_at_its_rate() {
    let mut limit = PullLimit::new(&LIMITS, CHUNK, true);
    let elapsed =
        |concurrent: u32| Span(u64::from(concurrent) * LIMITS.rate.transfer_time(CHUNK).0);
    for _ in 0..LIMITS.max_pulls {
        let concurrent = limit.current();
        limit.record(&source(), elapsed(concurrent), concurrent, true);
    }
    assert_eq!(limit.current(), LIMITS.max_pulls);
}

/// After a loss of power all engines of a fleet hold nothing and wait for the same version.
#[test]
fn engine_that_holds_no_version_does_not_wait_for_its_limit_to_grow() {
    let limit = PullLimit::new(&LIMITS, CHUNK, false);
    assert_eq!(limit.current(), LIMITS.max_pulls);
}
