//! How an endpoint draws the weights of the wanted version and gives them to its engine.

use std::sync::Arc;

use super::{Endpoint, LifeEvent, Output, Place, Timer, wanted::Wanted};
use crate::{
    declare::Fleet,
    ids::{Digest, VersionId, VmId},
    proto::Heartbeat,
    time::Time,
    units::{Bytes, Span},
    weights::{DrawError, Manifest, Supplier, Topology, TransferOutcome, Turn},
};

/// Pause before a manifest is asked for again.
const MANIFEST: Span = Span::millis(500);
/// Pause before an order that failed is given again.
const LOAD: Span = Span::millis(500);

impl Endpoint {
    /// Takes the manifest of a version, `None` where it could not be read.
    pub fn manifest(
        &mut self,
        now: Time,
        version: &VersionId,
        manifest: Option<Manifest>,
        held: impl Fn(&Digest) -> bool,
    ) {
        let Some(manifest) = manifest else {
            self.timers.schedule(now + MANIFEST, Timer::Manifest);
            return;
        };
        let Some(topology) = self.topology() else { return };
        let Some(wanted) = self.wanted.as_mut().filter(|w| w.version.name == *version) else {
            return;
        };
        wanted.start(manifest, held, topology, &self.own.drawing, now);
        self.outputs.extend(wanted.manifest.clone().map(Output::Retain));
        self.ask_peers(now);
        self.follow(now);
    }

    /// Takes a drawn chunk, or why the draw failed.
    pub fn drawn(
        &mut self,
        now: Time,
        digest: Digest,
        data: Result<&[u8], DrawError>,
    ) -> TransferOutcome {
        self.drawing = self.drawing.saturating_sub(1);
        let transfer = self.wanted.as_mut().and_then(|wanted| wanted.transfer.as_mut());
        let outcome = match (transfer, data) {
            (Some(transfer), Ok(data)) => transfer.arrived(now, digest, data),
            (Some(transfer), Err(error)) => {
                transfer.failed(now, &digest, error);
                TransferOutcome::Unwanted
            }
            (None, _) => TransferOutcome::Unwanted,
        };
        self.draw(now);
        self.follow(now);
        outcome
    }

    /// Takes the chunks that a peer holds, as bits in the order of the manifest, or its silence.
    pub fn have(&mut self, now: Time, peer: &VmId, bits: Option<&[u8]>) {
        let transfer = self.wanted.as_mut().and_then(|wanted| wanted.transfer.as_mut());
        match (transfer, bits) {
            (Some(transfer), Some(bits)) => transfer.have(now, peer, bits),
            (Some(transfer), None) => transfer.silent(peer),
            (None, _) => {}
        }
        self.draw(now);
    }

    /// Takes the state that a peer tells.
    pub fn beat_of(&mut self, now: Time, beat: &Heartbeat) {
        if let Some(wanted) = &mut self.wanted {
            wanted.sees(now, beat);
        }
    }

    /// Takes note that the engine took an order to load, or did not.
    pub fn loaded(&mut self, now: Time, version: &VersionId, taken: bool) {
        if let Some(wanted) = self.wanted.as_mut().filter(|w| w.version.name == *version) {
            wanted.loading = false;
        }
        self.gate.load_ended();
        self.look();
        if !taken {
            self.timers.schedule(now + LOAD, Timer::Load);
        }
    }

    /// Returns the manifest of the wanted version, if it is the one asked for.
    pub fn known_manifest(&self, digest: Digest) -> Option<Arc<Manifest>> {
        let wanted = self.wanted.as_ref().filter(|w| w.version.manifest == digest)?;
        wanted.manifest.clone()
    }

    /// Returns the size of the chunks that are drawn.
    pub fn chunk_size(&self) -> Option<Bytes> {
        Some(self.wanted.as_ref()?.manifest.as_ref()?.chunk)
    }

    /// Returns the number of chunks that are still missing.
    pub fn missing(&self) -> usize {
        self.wanted.as_ref().map_or(0, Wanted::missing)
    }

    pub(super) fn read_manifest(&mut self) {
        let (Some(fleet), Some(topology)) = (self.fleet(), self.topology()) else { return };
        let Some(wanted) = self.wanted.as_mut().filter(|w| w.manifest.is_none()) else { return };
        let (from, origin) = wanted.manifest_from(&topology);
        let places = from.into_iter().filter_map(|vm| place(&fleet, &vm));
        let places = places.chain(origin.then_some(Place::Origin)).collect();
        let version = &wanted.version;
        self.outputs.push(Output::ReadManifest(version.name.clone(), version.manifest, places));
    }

    pub(super) fn ask_peers(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let Some(wanted) = self.wanted.as_mut() else { return };
        let manifest = wanted.version.manifest;
        let Some(transfer) = wanted.transfer.as_mut() else { return };
        for vm in transfer.asks(now) {
            match place(&fleet, &vm) {
                Some(Place::Peer(vm, addr)) => {
                    self.outputs.push(Output::AskHave(manifest, vm, addr));
                }
                _ => transfer.silent(&vm),
            }
        }
        let next = transfer.wake().map(|wake| self.timers.schedule(wake, Timer::Draw));
        if let Some(old) = std::mem::replace(&mut self.round, next) {
            self.timers.cancel(old);
        }
        self.draw(now);
    }

    fn draw(&mut self, now: Time) {
        let Some(fleet) = self.fleet() else { return };
        let transfer = self.wanted.as_mut().and_then(|wanted| wanted.transfer.as_mut());
        let Some(transfer) = transfer else { return };
        while self.drawing < self.own.drawing.draws {
            let Some(draw) = transfer.next(now) else { return };
            let place = match draw.supplier {
                Supplier::Origin => Some(Place::Origin),
                Supplier::Peer(vm) => place(&fleet, &vm),
            };
            let Some(place) = place else {
                transfer.failed(now, &draw.digest, DrawError::Silent);
                continue;
            };
            self.drawing += 1;
            self.outputs.push(Output::Draw(draw.digest, place, draw.timeout));
        }
    }

    /// Follows the engine and the transfer: serves, or gives the engine the whole weights.
    pub(super) fn follow(&mut self, now: Time) {
        let Some(state) = &self.engine else { return };
        let held = self.verified(state);
        let Some(wanted) = self.wanted.as_mut() else {
            self.life.apply(LifeEvent::Serve);
            return;
        };
        if held.as_ref() == Some(&wanted.version.name) {
            self.life.apply(LifeEvent::Serve);
            return;
        }
        if wanted.loading || !wanted.is_whole() || !self.command.may_order() {
            return;
        }
        let Some(manifest) = wanted.manifest.clone() else { return };
        if held.is_some() && !self.may_load(now) {
            return;
        }
        let Some(wanted) = self.wanted.as_mut() else { return };
        self.life.apply(LifeEvent::Whole);
        self.life.apply(LifeEvent::Lost);
        wanted.loading = true;
        let fence = self.command.fence();
        self.outputs.push(Output::Load(wanted.version.name.clone(), manifest, fence));
    }

    /// Returns whether an engine that serves another version may load the wanted one now.
    fn may_load(&mut self, now: Time) -> bool {
        let (Some(fleet), Some(topology)) = (self.fleet(), self.topology()) else { return false };
        let Some(wanted) = self.wanted.as_mut() else { return false };
        let Some(pool) = fleet.pool_of(&self.own.vm) else { return false };
        let (turn, asks) = wanted.turn(now, &topology, pool.step);
        let asks = asks.iter().filter_map(|vm| place(&fleet, vm)).filter_map(|place| match place {
            Place::Peer(vm, addr) => Some(Output::AskBeat(vm, addr)),
            Place::Origin => None,
        });
        self.outputs.extend(asks);
        turn == Turn::Load
    }

    /// Returns the VMs that share the weights of the wanted version.
    pub(super) fn topology(&self) -> Option<Topology> {
        let fleet = self.fleet()?;
        Some(self.wanted.as_ref()?.topology(&fleet, &self.own.vm, &self.own.drawing))
    }
}

fn place(fleet: &Fleet, vm: &VmId) -> Option<Place> {
    fleet.vms.get(vm).map(|vm| Place::Peer(vm.name.clone(), vm.addr))
}
