//! Follows what the platform publishes: all items once, then each change.

use std::{rc::Rc, time::Duration};

use actix_http::{Method, header::HeaderMap};
use actix_rt::time::timeout;
use bytes::Bytes;
use rand::Rng as _;
use sequoiahold_core::direct::{
    mirror::{Change, Revision, StateDelta},
    platform::{Codec, DecodeError},
};

use super::{Node, gossip};
use crate::h1::{Upstream, UpstreamError};

/// Time that a watch waits at the platform; with `ANSWER` a watch whose connection falls silent is
/// found within half of the 5 s in which a change must be in force after a disruption.
const WATCH: Duration = Duration::from_millis(1_500);
/// Time that the platform has to answer beyond that.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Pause after an answer, so that changes in quick succession come in one.
const BATCH: Duration = Duration::from_millis(120);
/// Time between two looks at whether this process is to watch.
const STAND_BY: Duration = Duration::from_millis(250);
/// First pause after a failure; each further one doubles it.
const PAUSE_MS: u64 = 100;
/// Longest pause after a failure.
const MAX_PAUSE_MS: u64 = 800;
/// Largest answer that is read.
const MAX_ANSWER: usize = 16_000_000;

/// What the platform gave.
struct Read {
    /// The changes that were new here.
    new: Vec<Change>,
    /// What to pass on to peers that know all changes up to `after`.
    told: StateDelta,
    after: Revision,
}

/// Why the platform gave nothing.
#[derive(Debug)]
enum ReadError {
    /// The changes since the revision are no longer held.
    Compacted,
    /// No sound answer.
    Failed(String),
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
pub(super) async fn follow<D: Codec>(node: Rc<Node<D>>) {
    let mut failures = 0;
    let mut compacted = false;
    let mut upstream = None;
    loop {
        if !node.mesh.borrow().is_watcher(node.now())
            && node.mirror.borrow().revision() > Revision(0)
        {
            upstream = None;
            actix_rt::time::sleep(STAND_BY).await;
            continue;
        }
        let whole = compacted || node.mirror.borrow().revision() == Revision(0);
        let read =
            if whole { all(&node, &mut upstream).await } else { next(&node, &mut upstream).await };
        match read {
            Ok(read) => {
                node.platform_answers();
                (failures, compacted) = (0, false);
                if !read.new.is_empty() {
                    gossip::pass_on(&node, read.after, read.told);
                }
                node.take(read.new, !whole);
                actix_rt::time::sleep(BATCH).await;
            }
            Err(ReadError::Compacted) => compacted = true,
            Err(ReadError::Failed(fault)) => {
                upstream = None;
                node.platform_fails(&fault);
                pause(&node, failures).await;
                failures += 1;
            }
        }
    }
}

/// Reads all items; changes made meanwhile come with the next watch.
async fn all<D: Codec>(node: &Node<D>, upstream: &mut Option<Upstream>) -> Result<Read, ReadError> {
    let mut items: Vec<Change> = vec![];
    let mut at = None;
    loop {
        let after = items.last().map(|item| item.key.as_str());
        let body = get(node, upstream, &node.dialect.page_path(after), ANSWER).await?;
        let page = node.dialect.decode_page(&body)?;
        at.get_or_insert(page.revision);
        let more = page.has_more && !page.items.is_empty();
        items.extend(page.items);
        if !more {
            let at = at.unwrap_or(page.revision);
            let new = node.mirror.borrow_mut().apply_snapshot(at, items);
            let told = StateDelta { at, whole: true, changes: vec![] };
            return Ok(Read { new, told, after: at });
        }
    }
}

/// Waits for the next changes.
async fn next<D: Codec>(
    node: &Node<D>,
    upstream: &mut Option<Upstream>,
) -> Result<Read, ReadError> {
    let after = node.mirror.borrow().revision();
    let path = node.dialect.watch_path(after, WATCH.as_millis() as u64);
    let body = get(node, upstream, &path, WATCH + ANSWER).await?;
    let (at, changes) = node.dialect.decode_changes(&body)?;
    let (new, told) = node.mirror.borrow_mut().apply_watch(at, changes);
    Ok(Read { new, told, after })
}

async fn get<D: Codec>(
    node: &Node<D>,
    kept: &mut Option<Upstream>,
    path: &str,
    most: Duration,
) -> Result<Bytes, ReadError> {
    let call = async {
        let idle = kept.take().and_then(|mut upstream| upstream.is_reusable().then_some(upstream));
        let mut upstream = match idle {
            Some(upstream) => upstream,
            None => node.pool.open(node.settings.platform).await?,
        };
        let (status, body) = upstream
            .exchange(Method::GET, path, HeaderMap::new(), &Bytes::new(), MAX_ANSWER)
            .await?;
        *kept = Some(upstream);
        match status.as_u16() {
            200 => Ok(body),
            410 => Err(ReadError::Compacted),
            status => Err(ReadError::Failed(format!("status {status} for {path}"))),
        }
    };
    let silent = |_| ReadError::Failed("no answer in time".to_owned());
    timeout(most, call).await.map_err(silent)?
}

async fn pause<D>(node: &Node<D>, failures: u32) {
    let most = (PAUSE_MS << failures.min(3)).min(MAX_PAUSE_MS);
    let pause = node.rng.borrow_mut().random_range(most / 2..=most);
    actix_rt::time::sleep(Duration::from_millis(pause)).await;
}
