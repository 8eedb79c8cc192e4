//! Delivery of messages to simulated processes, and the runs of requests in engines.

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
    fleet::model_weights,
    message::Request,
    simulation::{Event, Simulation},
};

/// Time from the start of a request to the head of its answer, and from a load to its result.
const ANSWER_HEAD_DELAY: Span = Span::millis(2);
/// Time that an engine takes to load a version.
const LOAD_TIME: Span = Span::millis(300);
/// Time from the start of a request to its first token.
const FIRST_TOKEN_DELAY: Span = Span::millis(50);

impl Simulation {
    pub(super) fn deliver(&mut self, from: &VmId, to: &VmId, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => {
                let now = self.now;
                let reply = self.endpoints.get_mut(to).map(|node| {
                    node.core.on_entry_heartbeat(now, &heartbeat);
                    Message::HeartbeatReply(node.core.heartbeat_reply(now, &heartbeat))
                });
                reply.into_iter().for_each(|reply| self.send(to, from, reply));
                self.perform_outputs(to);
            }
            Message::HeartbeatReply(heartbeat) => {
                let now = self.now;
                if let Some(node) = self.entries.get_mut(to) {
                    node.last_heard.insert(from.clone(), now);
                    node.core.on_heartbeat(now, heartbeat);
                } else if let Some(node) = self.endpoints.get_mut(to) {
                    node.core.on_peer_heartbeat(now, &heartbeat);
                }
                self.perform_outputs(to);
            }
            Message::Request(request) => self.on_request(from, to, request),
            Message::Refused(key, refusal) => {
                let now = self.now;
                self.gate_refusals += 1;
                if let Some(node) = self.entries.get_mut(to) {
                    node.core.on_refused(now, key, refusal);
                }
                self.perform_outputs(to);
            }
            Message::Started(key) => self.on_started(to, key),
            Message::Completed(key, version) => self.on_completed(to, key, version),
            Message::Failed(key, failure) => self.on_failed(to, key, failure),
            Message::RequestHandover(query) => {
                let now = self.now;
                let Some(node) = self.endpoints.get_mut(to) else { return };
                let handover = node.core.handover_for(now, &query);
                self.send(to, from, Message::Handover(handover));
            }
            Message::Handover(handover) => {
                self.with_endpoint(to, |core, now| core.import_handover(now, from, handover));
            }
            Message::QueryChunks(manifest) => {
                let bits = self.chunk_bitmap(to, manifest);
                self.send(to, from, Message::ChunkBitmap(bits));
            }
            Message::ChunkBitmap(bits) => {
                self.with_endpoint(to, |core, now| core.on_chunk_bitmap(now, from, Some(&bits)))
            }
            Message::FetchChunk(digest) => {
                let data =
                    self.endpoints.get(to).and_then(|node| node.chunks.get(&digest).cloned());
                self.send(to, from, Message::Chunk(digest, data));
            }
            Message::Chunk(digest, data) => self.on_chunk_fetched(to, digest, data),
        }
    }

    fn on_request(&mut self, from: &VmId, to: &VmId, message: Request) {
        let Request { call, request, offered, .. } = message;
        let now = self.now;
        let Some(node) = self.endpoints.get_mut(to) else { return };
        match node.core.decide_call(now, &offered) {
            Decision::Run(_) => {}
            Decision::Replay(_) => return self.send(to, from, Message::Completed(request, None)),
            Decision::Refuse(refusal) => {
                return self.send(to, from, Message::Refused(request, refusal));
            }
            Decision::Fail(failure) => {
                return self.send(to, from, Message::Failed(request, failure));
            }
            Decision::Drop => return,
        }
        let (run_id, fingerprint) = (offered.run_id.clone(), offered.fingerprint);
        node.open_calls.insert(run_id.clone(), offered);
        self.count_run(call);
        self.started_runs.push((from.clone(), self.calls[call.0].client.clone(), to.clone()));
        let poison = self.faults.poison_requests.contains(&fingerprint);
        let started =
            self.engines.get_mut(to).is_some_and(|e| e.start_request(run_id.clone(), call));
        if poison && let Some(engine) = self.engines.get_mut(to) {
            engine.crash();
        }
        let incarnation = self.engines[to].incarnation;
        let vm = to.clone();
        if let Some(limit) = self.engines[to].reported_limit() {
            let (vm, epoch, run_id) = (vm.clone(), self.epochs[to], run_id.clone());
            self.schedule(ANSWER_HEAD_DELAY, Event::AnswerHead { vm, epoch, run_id, limit });
        }
        if !started || poison {
            return self.schedule(
                ANSWER_HEAD_DELAY,
                Event::RunEnd { vm, run_id, request, incarnation: 0 },
            );
        }
        self.schedule(FIRST_TOKEN_DELAY, Event::FirstToken { vm, run_id, request, incarnation });
    }

    pub(super) fn first_token(&mut self, vm: &VmId, id: &RunId, key: RequestKey, incarnation: u64) {
        if self.endpoints.contains_key(vm) && self.engines[vm].incarnation == incarnation {
            self.send(vm, &id.0, Message::Started(key));
        }
        let (vm, run_id) = (vm.clone(), id.clone());
        self.schedule(
            self.config.run_time,
            Event::RunEnd { vm, run_id, request: key, incarnation },
        );
    }

    pub(super) fn on_run_end(&mut self, vm: &VmId, id: &RunId, key: RequestKey, incarnation: u64) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(vm) else { return };
        let same_engine = engine.incarnation == incarnation;
        let run = engine.running.remove(id).filter(|_| same_engine);
        if run.is_some() {
            engine.finished += 1;
        }
        let current_incarnation = engine.incarnation;
        let Some(node) = self.endpoints.get_mut(vm) else { return };
        let Some(offered) = node.open_calls.remove(id) else { return };
        let body = Some(vec![].into());
        let end = if run.is_some() { RequestEnd::Completed } else { RequestEnd::Aborted };
        let (outcome, message) = match run {
            Some((_, version)) => {
                let answer = Answer { status: 200, content: String::new(), body };
                (CallOutcome::Answered(answer), Message::Completed(key, version))
            }
            None if same_engine => (CallOutcome::Unknown, Message::Failed(key, Failure::Unknown)),
            None => {
                let failure = node.core.on_engine_crash(now, &offered, current_incarnation);
                (CallOutcome::Unknown, Message::Failed(key, failure))
            }
        };
        node.core.on_call_end(now, &offered, outcome, end);
        self.send(vm, &id.0, message);
        self.perform_outputs(vm);
    }

    fn on_started(&mut self, entry: &VmId, key: RequestKey) {
        let now = self.now;
        let Some(node) = self.entries.get_mut(entry) else { return };
        node.core.on_started(key);
        if let Some((call, _)) = node.calls.get(&key) {
            self.calls[call.0].first_token.get_or_insert(now);
        }
    }

    fn on_completed(&mut self, entry: &VmId, key: RequestKey, version: Option<VersionId>) {
        let now = self.now;
        let Some(node) = self.entries.get_mut(entry) else { return };
        node.core.on_completed(now, key);
        if let Some((call, _)) = node.calls.remove(&key) {
            self.end_call(call, Outcome::Answered(version));
        }
        self.perform_outputs(entry);
    }

    pub(super) fn on_failed(&mut self, entry: &VmId, key: RequestKey, failure: Failure) {
        let now = self.now;
        if let Some(node) = self.entries.get_mut(entry) {
            node.core.on_failed(now, key, failure);
        }
        self.perform_outputs(entry);
    }

    pub(super) fn check_heartbeat(&mut self, entry: &VmId, vm: &VmId, sent: Time) {
        let Some(node) = self.entries.get_mut(entry) else { return };
        if node.last_heard.get(vm).is_none_or(|at| *at < sent) {
            node.core.on_heartbeat_timeout(vm);
        }
        self.perform_outputs(entry);
    }

    pub(super) fn on_chunk_fetched(&mut self, vm: &VmId, digest: Digest, data: Option<Vec<u8>>) {
        let now = self.now;
        if let Some(node) = self.endpoints.get_mut(vm) {
            let outcome = node.core.on_chunk(now, digest, data.as_deref().ok_or(PullError::Absent));
            let stored = matches!(outcome, ChunkOutcome::Accepted | ChunkOutcome::Complete);
            if let Some(data) = data.filter(|_| stored) {
                node.chunks.insert(digest, data);
            }
        }
        self.perform_outputs(vm);
    }

    /// Orders an engine to load a version with an outdated fencing token, as another process would.
    pub fn load_with_stale_fence(&mut self, vm: &VmId, version: &VersionId) {
        let manifests = (1..=9).map(|n| model_weights(n).0).zip(1..);
        let matching = manifests.filter(|(_, n): &(_, u64)| format!("llm-{n}") == version.as_str());
        for (manifest, _) in matching {
            if let Some(engine) = self.engines.get_mut(vm) {
                engine.load(version, &manifest, FenceToken::default());
            }
        }
    }

    /// Sends the load order to the engine if the endpoint core still confirms it.
    pub(super) fn start_load(
        &mut self,
        vm: &VmId,
        version: VersionId,
        manifest: Arc<Manifest>,
        fence: FenceToken,
    ) {
        let (now, epoch, vm) = (self.now, self.epochs[vm], vm.clone());
        let Some(node) = self.endpoints.get_mut(&vm) else { return };
        if node.core.confirm_load(now, &version) {
            return self.schedule(LOAD_TIME, Event::Load { vm, epoch, version, manifest, fence });
        }
        node.core.on_load_finished(now, &version, false);
        self.perform_outputs(&vm);
    }

    pub(super) fn apply_load(
        &mut self,
        vm: &VmId,
        epoch: u64,
        version: &VersionId,
        manifest: &Arc<Manifest>,
        fence: FenceToken,
    ) {
        let Some(engine) = self.engines.get_mut(vm) else { return };
        let accepted = engine.load(version, manifest, fence);
        let (vm, version) = (vm.clone(), version.clone());
        self.schedule(ANSWER_HEAD_DELAY, Event::LoadResult { vm, epoch, version, accepted });
    }

    fn chunk_bitmap(&self, vm: &VmId, manifest: Digest) -> Vec<u8> {
        let Some(node) = self.endpoints.get(vm) else { return vec![] };
        let Some(manifest) = node.core.known_manifest(manifest) else { return vec![] };
        let mut bits = vec![0; manifest.chunks.len().div_ceil(8)];
        let chunks = manifest.chunks.iter().enumerate();
        for (i, _) in chunks.filter(|(_, digest)| node.chunks.contains_key(*digest)) {
            bits[i / 8] |= 1 << (i % 8);
        }
        bits
    }
}
