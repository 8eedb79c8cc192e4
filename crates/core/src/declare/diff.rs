//! The changes to a fleet that publishing a set would cause.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Serialize;

use super::{Fleet, Version};
use crate::{
    ids::{ClientId, Digest, ModelId, VersionId, VmId, ZoneId},
    units::Bytes,
    weights::Manifest,
};

/// A change of the version of a model.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct VersionChange {
    /// The model.
    pub model: ModelId,
    /// The old version, `None` for a new model.
    pub from: Option<VersionId>,
    /// The new version.
    pub to: VersionId,
}

/// The weights that the endpoints of a zone would download.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ZoneDownload {
    /// The number of endpoints that load other weights.
    pub endpoints: usize,
    /// The total bytes that they download from the origin and from peers.
    #[serde(rename = "drawn")]
    pub downloaded: Bytes,
    /// The minimum bytes that must enter the zone, each chunk once.
    #[serde(rename = "least")]
    pub min_ingress: Bytes,
}

/// The changes that publishing a set would cause.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Diff {
    /// The models whose version changes.
    #[serde(rename = "moves")]
    pub version_changes: Vec<VersionChange>,
    /// The downloads of each zone.
    #[serde(rename = "draws")]
    pub downloads: BTreeMap<ZoneId, ZoneDownload>,
    /// The endpoints that would load other weights.
    #[serde(rename = "loads")]
    pub loading_vms: Vec<VmId>,
    /// The VMs that are added, removed, or declared with another role, zone or address.
    pub vms: Vec<VmId>,
    /// The zones that are added, removed or changed, or whose VMs change or load weights.
    pub zones: BTreeSet<ZoneId>,
    /// The client accounts that are added, removed or changed.
    pub clients: Vec<ClientId>,
}

impl Diff {
    /// Compares two fleets; with the manifests of both versions, shared chunks are not counted.
    pub fn between(old: &Fleet, new: &Fleet, manifests: &BTreeMap<Digest, Manifest>) -> Self {
        let mut diff = Self {
            version_changes: version_changes(old, new),
            vms: changed_names(&old.vms, &new.vms),
            zones: changed_names(&old.zones, &new.zones).into_iter().collect(),
            clients: changed_names(&old.clients, &new.clients),
            ..Self::default()
        };
        let mut counted = BTreeSet::new();
        for vm in new.vms.values() {
            let version = |fleet: &Fleet| -> Option<Version> {
                fleet.pool_version(&fleet.pool_of(&vm.name)?.name).cloned()
            };
            let Some(to) = version(new) else { continue };
            let from = version(old).filter(|_| !diff.vms.contains(&vm.name));
            if from.as_ref().is_some_and(|from| from.manifest == to.manifest) {
                continue;
            }
            let bytes = missing_bytes(from.as_ref(), &to, manifests);
            let download = diff.downloads.entry(vm.zone.clone()).or_default();
            download.endpoints += 1;
            download.downloaded.0 += bytes.0;
            if counted.insert((vm.zone.clone(), to.manifest)) {
                download.min_ingress.0 += bytes.0;
            }
            diff.loading_vms.push(vm.name.clone());
            diff.zones.insert(vm.zone.clone());
        }
        for vm in &diff.vms {
            let zones = [old, new].into_iter().filter_map(|fleet| fleet.vms.get(vm));
            diff.zones.extend(zones.map(|vm| vm.zone.clone()));
        }
        diff
    }

    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "no change");
        }
        for VersionChange { model, from, to } in &self.version_changes {
            let from = from.as_ref().map_or("none", |from| from.as_str());
            writeln!(f, "model {model}: version {from} -> {to}")?;
        }
        for (zone, ZoneDownload { endpoints, downloaded, min_ingress }) in &self.downloads {
            let summary = format!("{endpoints} endpoints load, {downloaded} downloaded");
            writeln!(
                f,
                "zone {zone}: {summary}, at least {min_ingress} of it from outside the zone"
            )?;
        }
        writeln!(f, "zones affected: {}", join_names(&self.zones))?;
        writeln!(f, "endpoints that load: {}", join_names(&self.loading_vms))?;
        writeln!(f, "VMs added, removed or changed: {}", join_names(&self.vms))?;
        writeln!(f, "client accounts added, removed or changed: {}", join_names(&self.clients))
    }
}

fn version_changes(old: &Fleet, new: &Fleet) -> Vec<VersionChange> {
    let before = |model: &ModelId| old.models.get(model).map(|model| model.version.clone());
    let changed = new
        .models
        .values()
        .filter(|model| before(&model.name).is_none_or(|version| version != model.version));
    changed
        .map(|model| VersionChange {
            model: model.name.clone(),
            from: before(&model.name),
            to: model.version.clone(),
        })
        .collect()
}

/// Returns the names of objects that are in one map only or differ.
fn changed_names<K: Clone + Ord, O: PartialEq>(
    old: &BTreeMap<K, O>,
    new: &BTreeMap<K, O>,
) -> Vec<K> {
    let names: BTreeSet<&K> = old.keys().chain(new.keys()).collect();
    names.into_iter().filter(|name| old.get(name) != new.get(name)).cloned().collect()
}

/// Returns the bytes of `to` that are missing on a VM with the weights of `from`.
fn missing_bytes(
    from: Option<&Version>,
    to: &Version,
    manifests: &BTreeMap<Digest, Manifest>,
) -> Bytes {
    let Some(target) = manifests.get(&to.manifest) else { return to.size };
    let held: BTreeSet<&Digest> = from
        .and_then(|from| manifests.get(&from.manifest))
        .map(|manifest| manifest.chunks.iter().collect())
        .unwrap_or_default();
    let mut seen = BTreeSet::new();
    let missing = |digest: &Digest| !held.contains(digest);
    let chunks = target.chunks.iter().enumerate().filter(|(_, digest)| missing(digest));
    let first: Vec<_> = chunks.filter(|(_, digest)| seen.insert(**digest)).collect();
    Bytes(first.into_iter().map(|(i, _)| target.chunk_size(i).0).sum())
}

fn join_names<'a, N: fmt::Display + 'a>(names: impl IntoIterator<Item = &'a N>) -> String {
    let names: Vec<_> = names.into_iter().map(ToString::to_string).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}
