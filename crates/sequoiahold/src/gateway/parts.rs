//! Prompt parts suspected of crashing endpoints: evidence shared between gateways, and refusals.

use std::collections::VecDeque;

use rand::{Rng as _, seq::IteratorRandom as _, seq::SliceRandom as _};
use sequoiahold_core::{
    direct::{
        membership::Role,
        part_suspects::{Accusation, Block, EngineStart, PartNews, PartSuspects, Survivor},
        platform::Codec,
    },
    ids::{InstanceId, PartId},
    time::Time,
};

use super::{plan::Plan, state::Gateway};
use crate::node::Datagram;

/// Number of times that an item of news is sent, as datagrams may be lost.
const NEWS_SENDS: u32 = 2;
/// Maximum number of items that wait to be sent; the oldest are dropped beyond it.
const MAX_QUEUED_NEWS: usize = 256;
/// Maximum size of the items in one datagram.
const MAX_NEWS_BYTES: usize = 1_200;
/// Estimated size of an encoded accusation without its names and parts.
const ACCUSATION_BYTES: usize = 32;
/// Estimated size of an encoded part.
const PART_BYTES: usize = 11;

/// Prompt parts suspected of crashing endpoints, and news of them for the other gateways.
#[derive(Default)]
pub(super) struct PartTracker {
    suspects: PartSuspects,
    queue: VecDeque<(NewsItem, u32)>,
    blocks: Vec<Block>,
}

enum NewsItem {
    Accusation(Accusation),
    Completed(PartId),
    Survivor(Survivor),
}

impl NewsItem {
    fn estimated_size(&self) -> usize {
        match self {
            Self::Accusation(accusation) => accusation_size(accusation),
            Self::Completed(_) => PART_BYTES,
            Self::Survivor(survivor) => ACCUSATION_BYTES + survivor.engine.instance.as_str().len(),
        }
    }
}

impl PartTracker {
    fn enqueue(&mut self, item: NewsItem) {
        if self.queue.len() >= MAX_QUEUED_NEWS {
            self.queue.pop_front();
        }
        self.queue.push_back((item, NEWS_SENDS));
    }

    /// Takes the news for one datagram from the queue.
    fn take_news(&mut self) -> PartNews {
        let (mut news, mut size, mut again) = (PartNews::default(), 0, vec![]);
        while let Some((item, _)) = self.queue.front()
            && size + item.estimated_size() <= MAX_NEWS_BYTES
        {
            let Some((item, sends)) = self.queue.pop_front() else { break };
            size += item.estimated_size();
            match &item {
                NewsItem::Accusation(accusation) => news.accusations.push(accusation.clone()),
                NewsItem::Completed(part) => news.completed.push(*part),
                NewsItem::Survivor(survivor) => news.survivors.push(survivor.clone()),
            }
            if sends > 1 {
                again.push((item, sends - 1));
            }
        }
        self.queue.extend(again);
        news
    }
}

/// Returns the blocked part for which a request is refused.
pub(super) fn blocked_part<C: Codec>(gateway: &Gateway<C>, plan: &Plan) -> Option<PartId> {
    if plan.parts.is_empty() {
        return None;
    }
    gateway.parts.borrow_mut().suspects.blocked_part(&plan.parts)
}

/// Returns whether a request whose endpoint crashed may be sent to another one.
pub(super) fn allows_retry<C: Codec>(gateway: &Gateway<C>, plan: &Plan) -> bool {
    gateway.parts.borrow_mut().suspects.allows_retry(&plan.parts)
}

/// Accuses the parts of a request whose endpoint crashed before or soon after its first event.
pub(super) fn accuse<C: Codec>(gateway: &Gateway<C>, plan: &Plan, instance: &InstanceId) {
    if plan.parts.is_empty() {
        return;
    }
    let engine = engine_start(gateway, instance);
    let reporter = gateway.node.settings.vm.clone();
    let id = gateway.node.rng.borrow_mut().random();
    let accusation = gateway.parts.borrow().suspects.accusation(id, engine, reporter, &plan.parts);
    record_accusation(gateway, &accusation);
    gateway.parts.borrow_mut().enqueue(NewsItem::Accusation(accusation));
}

/// Clears the parts of a request whose answer completed.
pub(super) fn complete<C: Codec>(gateway: &Gateway<C>, plan: &Plan) {
    if plan.parts.is_empty() {
        return;
    }
    let now = gateway.node.now();
    let cleared = gateway.parts.borrow_mut().suspects.complete(now, &plan.parts);
    if cleared.is_empty() {
        return;
    }
    let parts = join(cleared.iter());
    log::info!(target: "request", parts = parts.as_str(); "prompt parts cleared");
    for part in cleared {
        gateway.parts.borrow_mut().enqueue(NewsItem::Completed(part));
    }
    log_blocks(gateway);
}

/// Records that an endpoint answers a request that was sent to it at `sent`.
pub(super) fn record_answer<C: Codec>(gateway: &Gateway<C>, instance: &InstanceId, sent: Time) {
    if !gateway.parts.borrow().suspects.has_crashes() {
        return;
    }
    let (now, engine) = (gateway.node.now(), engine_start(gateway, instance));
    let survivor = gateway.parts.borrow_mut().suspects.record_answer(now, sent, &engine);
    if let Some(survivor) = survivor {
        log::info!(target: "request", instance = instance.as_str(); "endpoint did not crash");
        gateway.parts.borrow_mut().enqueue(NewsItem::Survivor(survivor));
        log_blocks(gateway);
    }
}

/// Applies news from another gateway.
pub(super) fn receive<C: Codec>(gateway: &Gateway<C>, news: &PartNews) {
    let now = gateway.node.now();
    for accusation in &news.accusations {
        record_accusation(gateway, accusation);
    }
    {
        let suspects = &mut gateway.parts.borrow_mut().suspects;
        suspects.complete(now, &news.completed);
        news.survivors.iter().for_each(|survivor| suspects.record_survivor(now, survivor));
    }
    log_blocks(gateway);
}

/// Sends queued news to all other gateways.
pub(super) fn send_news<C: Codec>(gateway: &Gateway<C>) {
    let news = {
        let mut tracker = gateway.parts.borrow_mut();
        if tracker.queue.is_empty() {
            return;
        }
        tracker.take_news()
    };
    gateway.node.send(gateway.node.peer_addrs(Role::Gateway), &Datagram::Parts(news));
}

/// Sends the evidence against blocked parts to one other gateway, which may have missed it.
pub(super) fn send_evidence<C: Codec>(gateway: &Gateway<C>) {
    let now = gateway.node.now();
    let mut evidence = {
        let suspects = &mut gateway.parts.borrow_mut().suspects;
        suspects.expire(now);
        suspects.evidence(now)
    };
    log_blocks(gateway);
    if evidence.is_empty() {
        return;
    }
    let rng = &mut *gateway.node.rng.borrow_mut();
    evidence.shuffle(rng);
    let mut size = 0;
    let accusations = evidence.into_iter().take_while(|accusation| {
        size += accusation_size(accusation);
        size <= MAX_NEWS_BYTES
    });
    let news = PartNews { accusations: accusations.collect(), ..PartNews::default() };
    let peer = gateway.node.peer_addrs(Role::Gateway).into_iter().choose(rng);
    gateway.node.send(peer, &Datagram::Parts(news));
}

/// Returns the start of an endpoint's engine, as published last.
pub(super) fn engine_start<C: Codec>(gateway: &Gateway<C>, instance: &InstanceId) -> EngineStart {
    let view = gateway.node.view.borrow();
    let endpoint = view.endpoints().get(instance);
    let started_ms = endpoint.and_then(|endpoint| endpoint.entry.started_ms);
    EngineStart { instance: instance.clone(), started_ms }
}

fn record_accusation<C: Codec>(gateway: &Gateway<C>, accusation: &Accusation) {
    let now = gateway.node.now();
    let crashes = {
        let suspects = &mut gateway.parts.borrow_mut().suspects;
        if !suspects.accuse(now, accusation) {
            return;
        }
        let parts: Vec<PartId> = accusation.parts.iter().map(|accused| accused.part).collect();
        suspects.crash_count(&parts)
    };
    let (instance, reporter) = (accusation.engine.instance.as_str(), accusation.reporter.as_str());
    let parts = join(accusation.parts.iter().map(|accused| &accused.part));
    log::info!(
        target: "request",
        instance, reporter, parts = parts.as_str(), crashes;
        "prompt parts accused"
    );
    log_blocks(gateway);
}

/// Logs and counts the parts that have been blocked, and logs those that no longer are.
fn log_blocks<C: Codec>(gateway: &Gateway<C>) {
    let tracker = &mut *gateway.parts.borrow_mut();
    let blocks = tracker.suspects.blocks();
    let absent = |blocks: &[Block], part| blocks.iter().all(|block| block.part != part);
    for block in blocks.iter().filter(|block| absent(&tracker.blocks, block.part)) {
        let (part, common) = (block.part.to_string(), join(block.common.iter()));
        let crashes = block.crashes;
        log::warn!(
            target: "request",
            part = part.as_str(), common = common.as_str(), crashes;
            "prompt part blocked"
        );
        gateway.metrics.add_blocked_part();
    }
    for block in tracker.blocks.iter().filter(|block| absent(blocks, block.part)) {
        let part = block.part.to_string();
        log::info!(target: "request", part = part.as_str(); "prompt part no longer blocked");
    }
    tracker.blocks = blocks.to_vec();
}

fn accusation_size(accusation: &Accusation) -> usize {
    let names = accusation.engine.instance.as_str().len() + accusation.reporter.as_str().len();
    ACCUSATION_BYTES + names + accusation.parts.len() * (PART_BYTES + 1)
}

fn join<'a>(parts: impl Iterator<Item = &'a PartId>) -> String {
    parts.map(PartId::to_string).collect::<Vec<_>>().join(",")
}
