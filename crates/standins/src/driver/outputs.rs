//! Execution of the outputs of the decision cores.

use sequoiahold_core::{
    endpoint::{self, BlobSource, OfferedCall},
    entry::{self, RequestKey},
    ids::{Digest, VmId},
    refusal::Failure,
    suspect::Fingerprint,
    units::Span,
};

use super::{
    CallId, Message, Outcome,
    fleet::model_weights,
    message::Request,
    simulation::{Event, Simulation},
};

/// Time that the origin takes to return a chunk or a manifest.
const ORIGIN_READ_TIME: Span = Span::millis(20);
/// Time after which a heartbeat without a reply counts as lost.
const HEARTBEAT_TIMEOUT: Span = Span::millis(900);
/// Time until a probe reaches the engine.
const PROBE_DELAY: Span = Span::millis(1);

impl Simulation {
    /// Executes the pending outputs of the core of a process.
    pub(super) fn perform_outputs(&mut self, vm: &VmId) {
        let outputs = self.entries.get_mut(vm).map(|node| node.core.take_outputs());
        for output in outputs.unwrap_or_default() {
            self.perform_entry_output(vm, output);
        }
        let outputs = self.endpoints.get_mut(vm).map(|node| node.core.take_outputs());
        for output in outputs.unwrap_or_default() {
            self.perform_endpoint_output(vm, output);
        }
    }

    fn perform_entry_output(&mut self, vm: &VmId, output: entry::Output) {
        match output {
            entry::Output::Send { request, id, vm: to, target_incarnation, left, .. } => {
                let Some(node) = self.entries.get_mut(vm) else { return };
                let Some((call, target)) = node.calls.get_mut(&request) else { return };
                *target = Some(to.clone());
                let call = *call;
                let run_id = (vm.clone(), node.core.heartbeat().incarnation, id);
                let Some(arrival) = node.core.arrival(request) else { return };
                let offered = OfferedCall {
                    run_id,
                    target_incarnation,
                    client: arrival.client.clone(),
                    service: arrival.service.clone(),
                    key: arrival.key.clone(),
                    fingerprint: Fingerprint::from(&arrival.fingerprint),
                };
                self.send(vm, &to, Message::Request(Request { call, request, offered, left }));
            }
            entry::Output::Refuse(key, refusal) => {
                let call = self.entries.get(vm).and_then(|node| node.calls.get(&key));
                let has_key = call.is_some_and(|(call, _)| self.calls[call.0].key.is_some());
                self.finish_call(
                    vm,
                    key,
                    match has_key {
                        true => Outcome::KeyedRefused(refusal.reason),
                        false => Outcome::Refused(refusal.reason, refusal.retry),
                    },
                );
            }
            entry::Output::Fail(key, failure) => {
                self.finish_call(vm, key, Outcome::Failed(failure))
            }
            entry::Output::SendHeartbeat(to, _) => {
                let Some(node) = self.entries.get(vm) else { return };
                let heartbeat = node.core.heartbeat_for(&to);
                let (entry, epoch, sent) = (vm.clone(), self.epochs[vm], self.now);
                self.schedule(
                    HEARTBEAT_TIMEOUT,
                    Event::HeartbeatTimeout { entry, vm: to.clone(), epoch, sent },
                );
                self.send(vm, &to, Message::Heartbeat(heartbeat));
            }
            entry::Output::CloseConnection(to) => {
                self.faults.silent_pairs.remove(&(vm.clone(), to.clone()));
                self.abort_calls(vm, &to);
            }
        }
    }

    fn perform_endpoint_output(&mut self, vm: &VmId, output: endpoint::Output) {
        let epoch = self.epochs[vm];
        match output {
            endpoint::Output::ProbeEngine(probe) => {
                self.schedule(PROBE_DELAY, Event::ProbeEngine { vm: vm.clone(), epoch, probe });
            }
            endpoint::Output::ReadManifest(version, digest, _) => {
                let found = (1..=9).map(|n| model_weights(n).0).find(|m| m.digest() == digest);
                let vm = vm.clone();
                self.schedule(
                    ORIGIN_READ_TIME,
                    Event::ManifestRead { vm, epoch, version, manifest: found },
                );
            }
            endpoint::Output::RequestHandover(to, _, query) => {
                self.send(vm, &to, Message::RequestHandover(query));
            }
            endpoint::Output::RequestChunkBitmap(manifest, to, _) => {
                self.send(vm, &to, Message::QueryChunks(manifest));
            }
            endpoint::Output::PullChunk(digest, BlobSource::Peer(to, _), _) => {
                self.send(vm, &to, Message::FetchChunk(digest));
            }
            endpoint::Output::PullChunk(digest, BlobSource::Origin, _) => {
                let data = origin_chunk(&digest);
                self.schedule(
                    ORIGIN_READ_TIME,
                    Event::ChunkFetched { vm: vm.clone(), epoch, digest, data },
                );
            }
            endpoint::Output::RequestHeartbeat(to, _) => {
                let heartbeat = self.endpoints.get(vm).map(|node| node.core.heartbeat());
                heartbeat
                    .into_iter()
                    .for_each(|heartbeat| self.send(vm, &to, Message::Heartbeat(heartbeat)));
            }
            endpoint::Output::RetainChunks(manifest) => {
                if let Some(node) = self.endpoints.get_mut(vm) {
                    node.chunks.retain(|digest, _| manifest.chunks.contains(digest));
                }
            }
            endpoint::Output::LoadVersion(version, manifest, fence) => {
                self.start_load(vm, version, manifest, fence);
            }
        }
    }

    fn finish_call(&mut self, vm: &VmId, key: RequestKey, outcome: Outcome) {
        let call = self.entries.get_mut(vm).and_then(|node| node.calls.remove(&key));
        if let Some((call, _)) = call {
            self.end_call(call, outcome);
        }
    }

    /// Fails the calls that an entry has in progress at an endpoint, with an unknown outcome.
    fn abort_calls(&mut self, entry: &VmId, vm: &VmId) {
        let Some(node) = self.entries.get(entry) else { return };
        let sent_to_vm = |(_, to): &(CallId, Option<VmId>)| to.as_ref() == Some(vm);
        let affected: Vec<RequestKey> =
            node.calls.iter().filter(|(_, call)| sent_to_vm(call)).map(|(key, _)| *key).collect();
        for key in affected {
            self.on_failed(entry, key, Failure::Unknown);
        }
    }
}

fn origin_chunk(digest: &Digest) -> Option<Vec<u8>> {
    (1..=9).flat_map(|n| model_weights(n).1).find(|chunk| Digest::of(chunk) == *digest)
}
