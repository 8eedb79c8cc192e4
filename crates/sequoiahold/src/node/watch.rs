//! Follows the published state of the platform: a snapshot first, then each change.

use std::{fmt, rc::Rc, time::Duration};

use actix_http::{Method, header::HeaderMap};
use actix_rt::time::timeout;
use bytes::Bytes;
use rand::Rng as _;
use sequoiahold_core::{
    direct::{
        mirror::{Change, Era, Revision, StateDelta},
        platform::{Codec, DecodeError},
    },
    time::Time,
    units::Span,
};

use super::{Node, gossip};
use crate::h1::{Upstream, UpstreamError, UpstreamResponse};

/// Maximum time that the platform holds a watch without changes.
///
/// Together with [`RESPONSE_TIMEOUT`], a dead connection is detected within 2.5 s, half of the 5 s
/// within which a change must be in force after a disruption.
const WATCH_WAIT: Span = Span::millis(1_500);
/// The same for the first watch of a connection, which tells missed changes from those to come.
const CATCH_UP_WAIT: Span = Span::millis(1);
/// Timeout of a read, in addition to [`WATCH_WAIT`] for a watch.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a waiting read checks that it still waits.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a response, so that the next one combines changes in quick succession.
const BATCH_INTERVAL: Duration = Duration::from_millis(120);
/// Interval between checks whether this process must watch the platform.
const STANDBY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum pause after the first failure; doubles with each further one.
const INITIAL_BACKOFF_MS: u64 = 100;
/// Maximum pause after any failure.
const MAX_BACKOFF_MS: u64 = 800;
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// The result of a successful read.
struct PlatformRead {
    /// The changes with a new value.
    new_changes: Vec<Change>,
    /// Whether the read brought a revision that was not known before.
    is_news: bool,
    /// The delta for peers that know all changes up to `after`.
    delta: StateDelta,
    after: Revision,
    /// The earliest time at which the response can have arrived.
    arrived: Time,
    /// The time for which the platform held the read as there were no changes.
    held: Span,
}

/// A response of the platform.
struct Response {
    /// The era of the state that it is from.
    era: Era,
    body: Bytes,
    /// The earliest time at which it can have arrived, which is before `now` where this process
    /// stood still.
    arrived: Time,
}

/// The reason why a read failed.
#[derive(Debug)]
enum ReadError {
    /// The platform no longer holds the changes since the revision.
    Compacted,
    /// The platform restored its state, so that revisions of before mean nothing.
    Restored,
    /// No response came in time.
    Silent,
    /// The platform gave no usable response.
    Failed(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("the changes are no longer held"),
            Self::Restored => f.write_str("the state was restored from a copy"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Failed(fault) => f.write_str(fault),
        }
    }
}

impl From<UpstreamError> for ReadError {
    fn from(error: UpstreamError) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<DecodeError> for ReadError {
    fn from(error: DecodeError) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<std::io::Error> for ReadError {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Follows the platform for as long as the process runs.
pub(super) async fn follow_platform<C: Codec>(node: Rc<Node<C>>) {
    let mut failures = 0;
    let mut history_lost = false;
    let mut upstream = None;
    loop {
        if !node.membership.borrow().is_watcher()
            && node.mirror.borrow().revision() > Revision::default()
        {
            upstream = None;
            actix_rt::time::sleep(STANDBY_INTERVAL).await;
            continue;
        }
        let needs_snapshot = history_lost || node.mirror.borrow().revision() == Revision::default();
        let (started, was_connected) = (node.now(), upstream.is_some());
        let read = if needs_snapshot {
            read_snapshot(&node, &mut upstream).await
        } else {
            wait_for_changes(&node, &mut upstream).await
        };
        match read {
            Ok(read) => {
                node.record_platform_response();
                (failures, history_lost) = (0, false);
                let mut earliest = node.freshness.borrow().earliest_change();
                let mut current = started + read.held;
                // Changes that arrive at once may have been published before the watch.
                let waited = Duration::from(read.arrived - started) >= POLL_INTERVAL;
                if was_connected && !needs_snapshot && waited && read.held == Span(0) {
                    earliest = earliest.max(Some(read.arrived));
                    current = read.arrived;
                }
                let seen = earliest
                    .filter(|at| was_connected && !needs_snapshot && has_followed(&node, *at));
                node.freshness.borrow_mut().record_read(current);
                if read.is_news {
                    gossip::forward_changes(&node, read.after, read.delta, earliest);
                } else if read.held > Span(0) {
                    gossip::confirm_unchanged(&node, read.delta);
                }
                node.apply_changes(read.new_changes, earliest, seen);
                actix_rt::time::sleep(BATCH_INTERVAL).await;
            }
            Err(ReadError::Compacted | ReadError::Restored) => history_lost = true,
            // Only this connection may be at fault: the next one tells.
            Err(ReadError::Silent) if was_connected => log::info!("platform connection is silent"),
            Err(error) => {
                if !was_connected || upstream.is_some() {
                    node.freshness.borrow_mut().record_outage(started);
                }
                upstream = None;
                node.record_platform_failure(&error.to_string());
                back_off(&node, failures).await;
                failures += 1;
            }
        }
    }
}

/// Returns whether this process followed the platform at `at`, so that a version which was new after
/// it had not been announced before.
fn has_followed<C: Codec>(node: &Node<C>, at: Time) -> bool {
    // A restored state may lack a version that was announced before; operators write it again.
    let is_restored = node.mirror.borrow().revision().era.is_restored();
    let span = if is_restored { node.settings.bounds.version } else { Span(0) };
    node.freshness.borrow().has_followed(at, span)
}

/// Reads all items; changes made during the read are received by the next watch.
async fn read_snapshot<C: Codec>(
    node: &Node<C>,
    upstream: &mut Option<Upstream>,
) -> Result<PlatformRead, ReadError> {
    let known = node.mirror.borrow().revision();
    let mut items: Vec<Change> = vec![];
    let mut at = None;
    loop {
        let after = items.last().map(|item| item.key.as_str());
        let path = node.codec.page_path(after);
        let Response { era, body, arrived } = get(node, upstream, &path, RESPONSE_TIMEOUT).await?;
        let page = node.codec.decode_page(era, &body)?;
        let at = *at.get_or_insert(page.revision);
        check_era(at.era, era)?;
        let more = page.has_more && !page.items.is_empty();
        items.extend(page.items);
        if !more {
            if era < known.era {
                return Err(ReadError::Failed(format!("state of era {era} after {}", known.era)));
            }
            let (revision, known) = (at.number, known.number);
            log::info!(revision, known, items = items.len(); "published state read whole");
            let is_news = at > node.mirror.borrow().revision();
            let new_changes = node.update_mirror(|mirror| mirror.apply_snapshot(at, items));
            let delta = StateDelta { at, is_snapshot: true, changes: vec![] };
            let held = Span(0);
            return Ok(PlatformRead { new_changes, is_news, delta, after: at, arrived, held });
        }
    }
}

/// Waits for the next changes.
async fn wait_for_changes<C: Codec>(
    node: &Node<C>,
    upstream: &mut Option<Upstream>,
) -> Result<PlatformRead, ReadError> {
    let started = node.now();
    let after = node.mirror.borrow().revision();
    let wait = if upstream.is_some() { WATCH_WAIT } else { CATCH_UP_WAIT };
    let path = node.codec.watch_path(after, wait.0 / 1_000);
    let time_limit = Duration::from(wait) + RESPONSE_TIMEOUT;
    let Response { era, body, arrived } = get(node, upstream, &path, time_limit).await?;
    check_era(after.era, era)?;
    let (at, changes) = node.codec.decode_changes(era, &body)?;
    let held = if changes.is_empty() { (arrived - started).min(wait) } else { Span(0) };
    let is_news = at > node.mirror.borrow().revision();
    let (new_changes, delta) = node.update_mirror(|mirror| mirror.apply_watch(at, changes));
    Ok(PlatformRead { new_changes, is_news, delta, after, arrived, held })
}

/// Fails if an answer is of another era than the revision that it continues.
fn check_era(expected: Era, era: Era) -> Result<(), ReadError> {
    if era == expected { Ok(()) } else { Err(ReadError::Restored) }
}

/// Returns the response to a read.
async fn get<C: Codec>(
    node: &Node<C>,
    connection: &mut Option<Upstream>,
    path: &str,
    time_limit: Duration,
) -> Result<Response, ReadError> {
    let call = async {
        let idle =
            connection.take().and_then(|mut upstream| upstream.is_reusable().then_some(upstream));
        let mut upstream = match idle {
            Some(upstream) => upstream,
            None => node.pool.open(node.settings.platform).await?,
        };
        let (response, body) = upstream
            .exchange(Method::GET, path, HeaderMap::new(), &Bytes::new(), MAX_RESPONSE_BYTES)
            .await?;
        *connection = Some(upstream);
        match response.status.as_u16() {
            200 => Ok((era(node, &response)?, body)),
            410 => Err(ReadError::Compacted),
            status => Err(ReadError::Failed(format!("unexpected status {status} for {path}"))),
        }
    };
    let deadline = actix_rt::time::Instant::now() + time_limit;
    let mut call = std::pin::pin!(call);
    // After a pause of this process, the timer may be polled once before the response.
    let mut waiting_at = [node.now(); 2];
    while actix_rt::time::Instant::now() < deadline {
        match timeout(POLL_INTERVAL, &mut call).await {
            Ok(answer) => {
                let (era, body) = answer?;
                return Ok(Response { era, body, arrived: waiting_at[0] });
            }
            Err(_) => waiting_at = [waiting_at[1], node.now()],
        }
    }
    Err(ReadError::Silent)
}

/// Returns the era that a response is of; platforms without eras are in the first one.
fn era<C: Codec>(node: &Node<C>, response: &UpstreamResponse) -> Result<Era, ReadError> {
    let name = node.codec.header_names().era;
    let era = response.header_text(name).map(str::parse::<Era>).transpose();
    era.map(Option::unwrap_or_default)
        .map_err(|error| ReadError::Failed(format!("header {name}: {error}")))
}

async fn back_off<C>(node: &Node<C>, failures: u32) {
    let max_ms = (INITIAL_BACKOFF_MS << failures.min(3)).min(MAX_BACKOFF_MS);
    let delay_ms = node.rng.borrow_mut().random_range(max_ms / 2..=max_ms);
    actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
}
