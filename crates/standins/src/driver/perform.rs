//! What driven processes do with the outputs of their decisions.

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
    fleet::weights,
    message::Ask,
    world::{Event, World},
};

/// Time that the origin takes for a chunk.
const CHUNK: Span = Span::millis(20);
/// Time after which an unanswered heartbeat is given up.
const SILENT: Span = Span::millis(900);
/// Time that a look at the engine takes.
const LOOK: Span = Span::millis(1);

impl World {
    /// Does what the decisions of a process ask for.
    pub(super) fn perform(&mut self, vm: &VmId) {
        let outputs = self.entries.get_mut(vm).map(|node| node.core.take_outputs());
        for output in outputs.unwrap_or_default() {
            self.perform_entry(vm, output);
        }
        let outputs = self.endpoints.get_mut(vm).map(|node| node.core.take_outputs());
        for output in outputs.unwrap_or_default() {
            self.perform_endpoint(vm, output);
        }
    }

    fn perform_entry(&mut self, vm: &VmId, output: entry::Output) {
        match output {
            entry::Output::Send { request, id, vm: to, target_incarnation, left, .. } => {
                let Some(node) = self.entries.get_mut(vm) else { return };
                let Some((call, at)) = node.calls.get_mut(&request) else { return };
                *at = Some(to.clone());
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
                self.send(vm, &to, Message::Ask(Ask { call, request, offered, left }));
            }
            entry::Output::Refuse(key, refusal) => {
                let call = self.entries.get(vm).and_then(|node| node.calls.get(&key));
                let keyed = call.is_some_and(|(call, _)| self.calls[call.0].key.is_some());
                self.finish(
                    vm,
                    key,
                    match keyed {
                        true => Outcome::Unsaid(refusal.reason),
                        false => Outcome::Refused(refusal.reason, refusal.retry),
                    },
                );
            }
            entry::Output::Fail(key, failure) => self.finish(vm, key, Outcome::Failed(failure)),
            entry::Output::SendHeartbeat(to, _) => {
                let Some(node) = self.entries.get(vm) else { return };
                let beat = node.core.heartbeat_for(&to);
                let (entry, epoch, sent) = (vm.clone(), self.epochs[vm], self.now);
                self.push(SILENT, Event::Silent { entry, vm: to.clone(), epoch, sent });
                self.send(vm, &to, Message::Beat(beat));
            }
            entry::Output::CloseConnection(to) => {
                self.keys.silent.remove(&(vm.clone(), to.clone()));
                self.break_off(vm, &to);
            }
        }
    }

    fn perform_endpoint(&mut self, vm: &VmId, output: endpoint::Output) {
        let epoch = self.epochs[vm];
        match output {
            endpoint::Output::ProbeEngine(look) => {
                self.push(LOOK, Event::Look { vm: vm.clone(), epoch, look });
            }
            endpoint::Output::ReadManifest(version, digest, _) => {
                let found = (1..=9).map(|n| weights(n).0).find(|m| m.digest() == digest);
                let vm = vm.clone();
                self.push(CHUNK, Event::Manifest { vm, epoch, version, manifest: found });
            }
            endpoint::Output::RequestHandover(to, _, ask) => {
                self.send(vm, &to, Message::AskKeys(ask));
            }
            endpoint::Output::RequestChunkBitmap(manifest, to, _) => {
                self.send(vm, &to, Message::AskHave(manifest));
            }
            endpoint::Output::PullChunk(digest, BlobSource::Peer(to, _), _) => {
                self.send(vm, &to, Message::AskChunk(digest));
            }
            endpoint::Output::PullChunk(digest, BlobSource::Origin, _) => {
                let data = origin_chunk(&digest);
                self.push(CHUNK, Event::Drawn { vm: vm.clone(), epoch, digest, data });
            }
            endpoint::Output::RequestHeartbeat(to, _) => {
                let beat = self.endpoints.get(vm).map(|node| node.core.heartbeat());
                beat.into_iter().for_each(|beat| self.send(vm, &to, Message::Beat(beat)));
            }
            endpoint::Output::RetainChunks(manifest) => {
                if let Some(node) = self.endpoints.get_mut(vm) {
                    node.held.retain(|digest, _| manifest.chunks.contains(digest));
                }
            }
            endpoint::Output::LoadVersion(version, manifest, fence) => {
                self.order(vm, version, manifest, fence);
            }
        }
    }

    fn finish(&mut self, vm: &VmId, key: RequestKey, outcome: Outcome) {
        let call = self.entries.get_mut(vm).and_then(|node| node.calls.remove(&key));
        if let Some((call, _)) = call {
            self.end_call(call, outcome);
        }
    }

    /// Breaks off the calls that an entry has in progress at an endpoint.
    fn break_off(&mut self, entry: &VmId, vm: &VmId) {
        let Some(node) = self.entries.get(entry) else { return };
        let at = |(_, to): &(CallId, Option<VmId>)| to.as_ref() == Some(vm);
        let broken: Vec<RequestKey> =
            node.calls.iter().filter(|(_, call)| at(call)).map(|(key, _)| *key).collect();
        for key in broken {
            self.failed(entry, key, Failure::Unknown);
        }
    }
}

fn origin_chunk(digest: &Digest) -> Option<Vec<u8>> {
    (1..=9).flat_map(|n| weights(n).1).find(|chunk| Digest::of(chunk) == *digest)
}
