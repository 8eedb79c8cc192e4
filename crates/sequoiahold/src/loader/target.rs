//! Determines the version that the engine must hold.

use std::time::Duration;

use anyhow::Context as _;
use sequoiahold_core::{
    direct::{engine_load::LoadEvidence, platform::Codec, view::View},
    ids::ModelId,
    time::Time,
};

use super::{Loader, report, sources};

/// Interval between checks for a newer target version.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A version that the engine must hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Target {
    /// The model.
    pub(super) model: ModelId,
    /// The version to deploy.
    pub(super) version: u64,
    /// The newest version; an earlier one is deployed to replace a corrupt copy of it.
    pub(super) newest: u64,
    /// The start of its rollout, 0 if unknown.
    pub(super) rollout_start: Time,
    /// The version that the engine holds now.
    pub(super) held: Option<u64>,
}

/// Returns the next version to deploy, or `None` if no model is configured, the engine is busy, or
/// the engine holds the target version and the chunk store its chunk list.
pub(super) async fn find<C: Codec>(loader: &Loader<C>) -> anyhow::Result<Option<Target>> {
    let Some(model) = served_model(loader) else { return Ok(None) };
    let report = loader.probe_engine().await?;
    let held = report.versions.get(&model).copied();
    if report.busy {
        return Ok(None);
    }
    let wanted = wanted_version(&loader.node.view.borrow(), &model, held);
    let (newest, rollout_start) = match (wanted, held) {
        (Some(wanted), _) => wanted,
        (None, Some(held)) => (held, Time::default()),
        (None, None) => (sources::newest_version(loader, &model).await?, Time::default()),
    };
    let mut target = Target { model, version: newest, newest, rollout_start, held };
    if loader.evidence() == Some(LoadEvidence::Open) {
        report::judge_found_load(loader, &target, &report).await?;
    }
    if held.is_some() && loader.evidence() == Some(LoadEvidence::Doubtful) {
        // No gateway uses the engine, so that nothing is gained by waiting.
        target.rollout_start = Time::default();
        if held == Some(newest) {
            // An engine ignores an order for the version that it holds.
            let replacement = replacement(loader, &target.model, newest);
            target.version = replacement.context("no version to replace it")?;
            return Ok(Some(target));
        }
    }
    let stored = loader.chunk_store.list(&target.model, newest).is_some();
    let done = held == Some(newest) && stored;
    Ok((!done).then_some(target))
}

/// Returns a version to load in between, so that the engine loads `version` again.
fn replacement<C: Codec>(loader: &Loader<C>, model: &ModelId, version: u64) -> Option<u64> {
    let previous = || version.checked_sub(1).filter(|previous| *previous > 0);
    loader.chunk_store.version_before(model, version).or_else(previous)
}

/// Waits until operators announce a newer version than `target`, and no order for it is open.
pub(super) async fn wait_until_superseded<C: Codec>(loader: &Loader<C>, target: &Target) {
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        if loader.proof.get().has_open_order() {
            continue;
        }
        let view = loader.node.view.borrow();
        if view.target(&target.model).is_some_and(|wanted| wanted.newest() > target.newest) {
            return;
        }
    }
}

/// Returns the model that the engines of the service serve.
fn served_model<C: Codec>(loader: &Loader<C>) -> Option<ModelId> {
    let view = loader.node.view.borrow();
    let service = view.catalog()?.services.get(&loader.settings.service)?;
    service.engine.as_ref()?.models.first().cloned()
}

/// Returns the version set by operators, else the newest one that an engine is known to hold, with
/// the start of its rollout.
fn wanted_version(view: &View, model: &ModelId, held: Option<u64>) -> Option<(u64, Time)> {
    if let Some(wanted) = view.target(model) {
        return Some((wanted.newest(), wanted.rollout_start(held)));
    }
    let loaded = view.endpoints().values().filter_map(|endpoint| endpoint.loaded_model(model));
    loaded.map(|loaded| (loaded.version, Time::default())).max()
}
