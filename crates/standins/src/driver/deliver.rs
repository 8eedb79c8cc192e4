//! How driven processes take messages and engines run requests.

use std::sync::Arc;

use sequoiahold_core::{
    endpoint::Decision,
    entry::RequestKey,
    gate::{RequestEnd, RunId},
    ids::{Digest, FenceToken, VersionId, VmId},
    once::{Answer, CallOutcome},
    refusal::Failure,
    time::Time,
    units::Span,
    weights::{ChunkOutcome, Manifest, PullError},
};

use super::{
    Message, Outcome,
    fleet::weights,
    message::Ask,
    world::{Event, World},
};

/// Time from a request's hand-over to the head of its answer.
const HEAD: Span = Span::millis(2);
/// Time that the engine takes to load.
const LOAD: Span = Span::millis(300);
/// Time from a request's hand-over to its first token.
const FIRST: Span = Span::millis(50);

impl World {
    pub(super) fn deliver(&mut self, from: &VmId, to: &VmId, message: Message) {
        match message {
            Message::Beat(beat) => {
                let now = self.now;
                let answer = self.endpoints.get_mut(to).map(|node| {
                    node.core.on_entry_heartbeat(now, &beat);
                    Message::Answer(node.core.heartbeat_reply(now, &beat))
                });
                answer.into_iter().for_each(|answer| self.send(to, from, answer));
                self.perform(to);
            }
            Message::Answer(beat) => {
                let now = self.now;
                if let Some(node) = self.entries.get_mut(to) {
                    node.heard.insert(from.clone(), now);
                    node.core.on_heartbeat(now, beat);
                } else if let Some(node) = self.endpoints.get_mut(to) {
                    node.core.on_peer_heartbeat(now, &beat);
                }
                self.perform(to);
            }
            Message::Ask(ask) => self.asked(from, to, ask),
            Message::Refused(key, refusal) => {
                let now = self.now;
                self.refusals += 1;
                if let Some(node) = self.entries.get_mut(to) {
                    node.core.on_refused(now, key, refusal);
                }
                self.perform(to);
            }
            Message::Started(key) => self.started(to, key),
            Message::Ended(key, version) => self.ended(to, key, version),
            Message::Failed(key, failure) => self.failed(to, key, failure),
            Message::AskKeys(ask) => {
                let now = self.now;
                let Some(node) = self.endpoints.get_mut(to) else { return };
                let given = node.core.handover_for(now, &ask);
                self.send(to, from, Message::Keys(given));
            }
            Message::Keys(given) => {
                self.on_endpoint(to, |core, now| core.import_handover(now, from, given));
            }
            Message::AskHave(manifest) => {
                let bits = self.have(to, manifest);
                self.send(to, from, Message::Have(bits));
            }
            Message::Have(bits) => {
                self.on_endpoint(to, |core, now| core.on_chunk_bitmap(now, from, Some(&bits)))
            }
            Message::AskChunk(digest) => {
                let data = self.endpoints.get(to).and_then(|node| node.held.get(&digest).cloned());
                self.send(to, from, Message::Chunk(digest, data));
            }
            Message::Chunk(digest, data) => self.drawn(to, digest, data),
        }
    }

    fn asked(&mut self, from: &VmId, to: &VmId, ask: Ask) {
        let Ask { call, request, offered, .. } = ask;
        let now = self.now;
        let Some(node) = self.endpoints.get_mut(to) else { return };
        match node.core.decide_call(now, &offered) {
            Decision::Run(_) => {}
            Decision::Replay(_) => return self.send(to, from, Message::Ended(request, None)),
            Decision::Refuse(refusal) => {
                return self.send(to, from, Message::Refused(request, refusal));
            }
            Decision::Fail(failure) => {
                return self.send(to, from, Message::Failed(request, failure));
            }
            Decision::Drop => return,
        }
        let (ticket, print) = (offered.run_id.clone(), offered.fingerprint);
        node.open.insert(ticket.clone(), offered);
        self.count_run(call);
        self.began.push((from.clone(), self.calls[call.0].client.clone(), to.clone()));
        let poison = self.keys.poison.contains(&print);
        let began = self.engines.get_mut(to).is_some_and(|e| e.begin(ticket.clone(), call));
        if poison && let Some(engine) = self.engines.get_mut(to) {
            engine.crash();
        }
        let incarnation = self.engines[to].incarnation;
        let vm = to.clone();
        if let Some(limit) = self.engines[to].head() {
            let (vm, epoch, ticket) = (vm.clone(), self.epochs[to], ticket.clone());
            self.push(HEAD, Event::Head { vm, epoch, ticket, limit });
        }
        if !began || poison {
            return self.push(HEAD, Event::Done { vm, ticket, request, incarnation: 0 });
        }
        self.push(FIRST, Event::First { vm, ticket, request, incarnation });
    }

    pub(super) fn first(&mut self, vm: &VmId, ticket: &RunId, key: RequestKey, incarnation: u64) {
        if self.endpoints.contains_key(vm) && self.engines[vm].incarnation == incarnation {
            self.send(vm, &ticket.0, Message::Started(key));
        }
        let (vm, ticket) = (vm.clone(), ticket.clone());
        self.push(self.shape.run, Event::Done { vm, ticket, request: key, incarnation });
    }

    pub(super) fn done(&mut self, vm: &VmId, ticket: &RunId, key: RequestKey, incarnation: u64) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(vm) else { return };
        let whole = engine.incarnation == incarnation;
        let run = engine.running.remove(ticket).filter(|_| whole);
        if run.is_some() {
            engine.finished += 1;
        }
        let engine = engine.incarnation;
        let Some(node) = self.endpoints.get_mut(vm) else { return };
        let Some(offered) = node.open.remove(ticket) else { return };
        let body = Some(vec![].into());
        let ended = if run.is_some() { RequestEnd::Completed } else { RequestEnd::Aborted };
        let (end, message) = match run {
            Some((_, version)) => {
                let answer = Answer { status: 200, content: String::new(), body };
                (CallOutcome::Answered(answer), Message::Ended(key, version))
            }
            None if whole => (CallOutcome::Unknown, Message::Failed(key, Failure::Unknown)),
            None => {
                let failure = node.core.on_engine_crash(now, &offered, engine);
                (CallOutcome::Unknown, Message::Failed(key, failure))
            }
        };
        node.core.on_call_end(now, &offered, end, ended);
        self.send(vm, &ticket.0, message);
        self.perform(vm);
    }

    fn started(&mut self, entry: &VmId, key: RequestKey) {
        let now = self.now;
        let Some(node) = self.entries.get_mut(entry) else { return };
        node.core.on_started(key);
        if let Some((call, _)) = node.calls.get(&key) {
            self.calls[call.0].first.get_or_insert(now);
        }
    }

    fn ended(&mut self, entry: &VmId, key: RequestKey, version: Option<VersionId>) {
        let now = self.now;
        let Some(node) = self.entries.get_mut(entry) else { return };
        node.core.on_completed(now, key);
        if let Some((call, _)) = node.calls.remove(&key) {
            self.end_call(call, Outcome::Answered(version));
        }
        self.perform(entry);
    }

    pub(super) fn failed(&mut self, entry: &VmId, key: RequestKey, failure: Failure) {
        let now = self.now;
        if let Some(node) = self.entries.get_mut(entry) {
            node.core.on_failed(now, key, failure);
        }
        self.perform(entry);
    }

    pub(super) fn check_silence(&mut self, entry: &VmId, vm: &VmId, sent: Time) {
        let Some(node) = self.entries.get_mut(entry) else { return };
        if node.heard.get(vm).is_none_or(|heard| *heard < sent) {
            node.core.on_heartbeat_timeout(vm);
        }
        self.perform(entry);
    }

    pub(super) fn drawn(&mut self, vm: &VmId, digest: Digest, data: Option<Vec<u8>>) {
        let now = self.now;
        if let Some(node) = self.endpoints.get_mut(vm) {
            let outcome = node.core.on_chunk(now, digest, data.as_deref().ok_or(PullError::Absent));
            let kept = matches!(outcome, ChunkOutcome::Accepted | ChunkOutcome::Complete);
            if let Some(data) = data.filter(|_| kept) {
                node.held.insert(digest, data);
            }
        }
        self.perform(vm);
    }

    /// Lets another process give an engine an order to load, with an old fencing number.
    pub fn swap(&mut self, vm: &VmId, version: &VersionId) {
        let manifest = (1..=9).map(|n| weights(n).0).zip(1..);
        let named = manifest.filter(|(_, n): &(_, u64)| format!("llm-{n}") == version.as_str());
        for (manifest, _) in named {
            if let Some(engine) = self.engines.get_mut(vm) {
                engine.load(version, &manifest, FenceToken::default());
            }
        }
    }

    /// Gives the engine an order to load, if the process still may.
    pub(super) fn order(
        &mut self,
        vm: &VmId,
        version: VersionId,
        manifest: Arc<Manifest>,
        fence: FenceToken,
    ) {
        let (now, epoch, vm) = (self.now, self.epochs[vm], vm.clone());
        let Some(node) = self.endpoints.get_mut(&vm) else { return };
        if node.core.confirm_load(now, &version) {
            return self.push(LOAD, Event::Loaded { vm, epoch, version, manifest, fence });
        }
        node.core.on_load_finished(now, &version, false);
        self.perform(&vm);
    }

    pub(super) fn load(
        &mut self,
        vm: &VmId,
        epoch: u64,
        version: &VersionId,
        manifest: &Arc<Manifest>,
        fence: FenceToken,
    ) {
        let Some(engine) = self.engines.get_mut(vm) else { return };
        let taken = engine.load(version, manifest, fence);
        let (vm, version) = (vm.clone(), version.clone());
        self.push(HEAD, Event::Taken { vm, epoch, version, taken });
    }

    fn have(&self, vm: &VmId, manifest: Digest) -> Vec<u8> {
        let Some(node) = self.endpoints.get(vm) else { return vec![] };
        let Some(manifest) = node.core.known_manifest(manifest) else { return vec![] };
        let mut bits = vec![0; manifest.chunks.len().div_ceil(8)];
        let chunks = manifest.chunks.iter().enumerate();
        for (i, _) in chunks.filter(|(_, digest)| node.held.contains_key(*digest)) {
            bits[i / 8] |= 1 << (i % 8);
        }
        bits
    }
}
